// Package driver is the interface between the decision module (package rules) and the hosts that run it: the types of
// identifiers, the events that are reported to the module, and the actions that the module may take. It decides nothing.
package driver

import "time"

type (
	// RPC identifies one request of a client while the host serves it. A retry by the client is another RPC.
	RPC uint32
	// Member identifies a database process. A number is not used again after the member was forgotten.
	Member uint64
	// Session identifies a client session; 0 means that the request belongs to none.
	Session uint64
	// Key is a checksum of the idempotency key by which the members of a group recognize duplicates of an RPC; 0 means that it is unknown.
	Key uint64
	// Group identifies a primary and its replicas.
	Group uint16
	// Method is the index of a method in the settings.
	Method uint16
	// Tenant is the index of a tenant in the settings.
	Tenant uint16
	// Zone is the index of an availability zone in the settings.
	Zone uint16
	// Peer identifies another driver of the fleet.
	Peer uint32
)

// EveryPeer addresses all other drivers at once.
const EveryPeer Peer = 1<<32 - 1

// LongAgo is an unknown time, earlier than all others: the start of a member for which the endpoint list gives no time.
const LongAgo = time.Duration(-1 << 62)

// Outcome is the result of an attempt or of a health check.
type Outcome uint8

const (
	// OK means that the member answered and the request succeeded.
	OK           Outcome = iota
	Failed               // the member answered with an error; the request may have run
	Full                 // the member rejected the request for lack of capacity; it did not run
	TimedOut             // no answer in time; the request may still run
	NoConnection         // the request did not reach the member
	Broken               // the connection broke while the attempt was in flight; the request may have run
	Cancelled            // the driver cancelled the attempt; the request may have run
	NotSent              // the driver did not send the request
	Misdirected          // the member rejected the request, as the member is not the primary or too stale; the request did not run
)

// MayHaveRun reports whether a member may have run the request of an attempt with this outcome, or may yet.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Full, NoConnection, NotSent, Misdirected:
		return false
	}
	return true
}

// Execution says whether a member has run an RPC that got no member's answer.
type Execution uint8

const (
	// NotRun means that no attempt has run or can still run.
	NotRun Execution = iota
	// MayHaveRun means that an attempt may have run, or may yet.
	MayHaveRun
)

// Role is the role that a member reports of itself.
type Role uint8

const (
	// Unknown means that the answer did not include the member's role.
	Unknown Role = iota
	// Primary accepts writes.
	Primary
	// Replica applies the primary's log and serves reads.
	Replica
)

// MemberState is the state of a member in the endpoint list.
type MemberState uint8

const (
	// Draining members finish the requests that they have and take no new ones.
	Draining MemberState = iota
	// Ready members take requests.
	Ready
	// Gone members were removed from the list.
	Gone
)

// ListKind is the kind of an update of the endpoint list.
type ListKind uint8

const (
	Changes ListKind = iota // only the entries that changed
	// Complete lists every member.
	Complete
	Cached // lists every member, but may be out of date
	NoList // a list call failed or the watch broke; there are no entries
)

// MemberSnapshot is the learned state of a member that may be saved and restored after a restart. Times are by Host.Now.
type MemberSnapshot struct {
	Position time.Duration // of the member's log, as last reported
	Replica  time.Duration // latest proof that the member is a replica
	Timed    time.Duration // when its latency was last measured
	Ratio    float64       // its latency / the typical latency
}

// Host carries out the actions of the decision module. Times are durations since the zero point of log positions, so that
// a position and a time can be compared.
type Host interface {
	Now() time.Duration
	// Attempt sends an RPC to a member. The request is completely sent by writeDeadline or not at all. Timeout 0 means until
	// the client stops waiting.
	Attempt(rpc RPC, to Member, writeDeadline, timeout time.Duration)
	Cancel(rpc RPC, attempt int)
	PushBack(rpc RPC, retryAfter time.Duration) // gives the final answer: a rejection after which a retry is safe; retryAfter 0: no retry delay is given
	Abort(rpc RPC)                              // gives the final answer: an error after which the RPC may have run
	Probe(m Member)                             // sends a health check
	CloseIdle(m Member)                         // closes the idle connections to the member
	SetAvailable(m Member, available bool)      // whether the member may get attempts: not while it drains or is gone
	// SessionWrote reports the position of a session's latest write, which may be saved and restored after a restart.
	SessionWrote(session Session, commit time.Duration)
	Forget(m Member) // the module sends nothing more to the member; if it is listed again, it gets another number
	Watch(on bool)   // starts or stops watching the endpoint list
	FetchList()
	Tell(to Peer, text []byte)
	WakeAfter(wait time.Duration)
	Log(line string)
	Fault(reason string) // the module cannot continue
}
