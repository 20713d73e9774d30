package driver

import "time"

// Client identifies a client that waits for the answer to one RPC. Each front assigns its own numbers.
type Client uint32

// Connection identifies the connection over which a client's RPCs come. A number is used again after its connection was closed.
type Connection uint32

// UnknownConnection is that of RPCs whose connection is not known.
const UnknownConnection Connection = 0

// Form is the protocol that the members of a group speak.
type Form uint8

const (
	Statements Form = iota // one SQL statement for each RPC
	Requests               // one HTTP request for each RPC, with a method, a path, header fields and a body
	FormCount              // number of forms
)

// MemberRequest is the request that an RPC sends to a member, in the form of the member's group. It is valid while the RPC is served.
type MemberRequest struct {
	Form          Form
	Before, After []byte // of a statement: the text before and after the time left in milliseconds
	Verb, Path    string // of an HTTP request
	Fields        []byte // of an HTTP request, each ended by CR and LF; the field with the time left is added to them
	Body          []byte
}

// Copy returns a deep copy.
func (r *MemberRequest) Copy() *MemberRequest {
	c := *r
	all := make([]byte, 0, len(r.Before)+len(r.After)+len(r.Fields)+len(r.Body))
	for _, part := range []*[]byte{&c.Before, &c.After, &c.Fields, &c.Body} {
		from := len(all)
		all = append(all, *part...)
		*part = all[from:len(all):len(all)]
	}
	return &c
}

// Answer is the response of a member. It is valid only during the call that it is passed to.
type Answer struct {
	Form             Form
	Parts            [][]byte      // of a statement: the messages as they were received
	Value            []byte        // of a statement: the value that was queried; of an HTTP response: the body
	Status           int           // of an HTTP response
	Fields           []byte        // of an HTTP response, as they were received
	Position         time.Duration // of the member's log, for a write that of its commit; 0: not reported
	ReportedPosition time.Duration // the position as it was reported, even if it is implausible
}

// Front is a listener of one protocol for clients. Each client gets one answer to each of its RPCs.
type Front interface {
	MemberRequest(from Client) *MemberRequest // the client's request; nil: the client no longer waits
	Connection(of Client) Connection          // the client's connection
	Answer(to Client, a *Answer)
	PushBack(to Client, execution Execution, retryAfter time.Duration) // retryAfter 0: no retry delay is given
	Abort(to Client, execution Execution)
	StopAccepting()                   // takes no new connections, except those that already wait to be accepted
	Drain()                           // closes each connection as soon as no RPC of it is served
	CloseIdle(idle time.Duration) int // closes connections that were idle for this long; returns the number of those left
	CloseAll()                        // closes all connections on which no RPC is served, and stops reading
	Open() int                        // number of connections
}

// IncomingRPC is an RPC as a front received it from a client. The fields are described in rules.Request.
type IncomingRPC struct {
	Method              Method
	Group               Group
	Session             Session
	Key                 Key
	ArrivedAt, Deadline time.Duration
	SinceWrite          time.Duration
	ClientRetry         bool
}

// RPCHandler takes the RPCs of the fronts' clients and tells fronts about groups and the members' clock.
type RPCHandler interface {
	Take(front Front, from Client, incoming *IncomingRPC) RPC // admits an RPC; one for which it returns 0 has already been answered
	ClientLeft(rpc RPC)                                       // the client no longer waits
	ClientHalfClosed(rpc RPC)                                 // the client closed its sending side and may still read: attempts in flight go on, no others are sent
	FormOf(group Group) Form
	Count(name string)         // adds 1 to a counter
	MembersNow() time.Duration // the time by the members' clock, in which positions are given
}

// MemberPool holds the connections to the members that speak one protocol.
type MemberPool interface {
	// Attempt sends a request to a member, completely by writeDeadline or not at all. The attempt ends at the deadline at the latest.
	Attempt(rpc RPC, n int, to Member, writeDeadline, deadline time.Duration, request *MemberRequest) (handle uint32)
	Cancel(handle uint32)
	Withdraw(handle uint32)            // cancels an attempt unless it is completely sent
	Execution(handle uint32) Execution // of an attempt without an outcome; NotRun for any other
	Probe(m Member)
	CloseIdle(m Member)
	Forget(m Member)
}

// OutcomeHandler receives the outcomes of attempts and health checks.
type OutcomeHandler interface {
	AttemptEnded(rpc RPC, n int, from Member, outcome Outcome, took, position time.Duration, role Role, report []float64, a *Answer)
	Probed(m Member, ok bool, took time.Duration, report []float64)
	Count(name string) // adds 1 to a counter
}
