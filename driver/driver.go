// Package driver is what the decision module is handed by whatever hosts it: the types of ids, the
// words for what is told, and the few things that the module may do. It decides nothing.
package driver

import "time"

type (
	RPC     uint32 // one try of a client
	Member  uint64 // the address of a database process
	Session uint64 // 0: none
	Group   uint16 // a primary and its replicas
	Method  uint16
	Tenant  uint16
	Zone    uint16
	Peer    uint32 // another driver
)

// EveryPeer addresses all other drivers at once.
const EveryPeer Peer = 1<<32 - 1

// LongAgo stands for a start that the list gives no time for.
const LongAgo = time.Duration(-1 << 62)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	OK           Outcome = iota
	Failed               // the member answered with an error; it may have run
	Full                 // turned away unseen
	TimedOut             // no answer in time; it may still run
	NoConnection         // never reached the member
	Broken               // the connection broke while it was out
	Cancelled            // called off; it may have run
	Moot                 // not sent
	Miss                 // turned away untouched: not the primary, or too far behind
)

// Role is what a member says of itself.
type Role uint8

const (
	Unknown Role = iota
	Primary
	Replica
)

// Standing is what the member list says of a member.
type Standing uint8

const (
	Draining Standing = iota
	Ready
	Gone
)

// Listing tells what a list of members holds.
type Listing uint8

const (
	Changes Listing = iota // only the entries that changed
	Whole
	Cached // whole, but perhaps out of date
	NoList // a call failed or the watch broke; nothing is listed
)

// Known is what is known of a member and may outlast a driver. Times are as Host.Now gives them.
type Known struct {
	Position time.Duration // of its log, as it was told
	Replica  time.Duration // when it last proved to be a replica
	Timed    time.Duration // when its latencies were last seen
	Ratio    float64       // they against the usual
}

// Host is what the module acts through. Times are spans since the count of log positions started, so
// that a position and a time compare.
type Host interface {
	Now() time.Duration
	// Attempt sends an RPC that is whole at the member's by that time, or not at all. Timeout 0: until the client stops waiting.
	Attempt(rpc RPC, to Member, by, timeout time.Duration)
	Cancel(rpc RPC, attempt int)
	PushBack(rpc RPC, comeBack time.Duration) // final; comeBack 0: none said
	Abort(rpc RPC)                            // final
	Probe(m Member)
	CloseIdle(m Member)
	Remembered(who Session, commit time.Duration) // the latest write of a session, which may outlast the driver
	Forget(m Member)                              // nothing more is sent to it; listed again, it is another
	Watch(on bool)
	FetchList()
	Tell(to Peer, text []byte)
	WakeAfter(wait time.Duration)
	Log(line string)
	Fault(why string) // the module cannot go on
}
