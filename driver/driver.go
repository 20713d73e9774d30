// Package driver is what the decision module is handed by whatever hosts it: the types of ids, the
// words for what is told, and the few things that the module may do. It decides nothing.
package driver

import "time"

type (
	// RPC identifies one request of a client while the host serves it.
	RPC uint32 // one try of a client
	// Member identifies a database process; a number is not used again once the member was forgotten.
	Member uint64 // the address of a database process
	// Session identifies a client session; 0 means that the request belongs to none.
	Session uint64 // 0: none
	// Group identifies a primary and its replicas.
	Group uint16 // a primary and its replicas
	// Method is the index of a method in the settings.
	Method uint16
	// Tenant is the index of a tenant in the settings.
	Tenant uint16
	// Zone is the index of an availability zone in the settings.
	Zone uint16
	// Peer identifies another driver of the fleet.
	Peer uint32 // another driver
)

// EveryPeer addresses all other drivers at once.
const EveryPeer Peer = 1<<32 - 1

// LongAgo stands for a start that the list gives no time for.
const LongAgo = time.Duration(-1 << 62)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	// OK means that the member answered and the request succeeded.
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
	// Unknown means that the answer did not tell the member's role.
	Unknown Role = iota
	// Primary accepts writes.
	Primary
	// Replica applies the primary's log and serves reads.
	Replica
)

// Standing is what the member list says of a member.
type Standing uint8

const (
	// Draining members finish what they have and take nothing new.
	Draining Standing = iota
	// Ready members take requests.
	Ready
	// Gone members were removed.
	Gone
)

// Listing tells what a list of members holds.
type Listing uint8

const (
	Changes Listing = iota // only the entries that changed
	// Whole holds every member.
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
