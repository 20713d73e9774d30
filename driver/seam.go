package driver

import "time"

// Client names who waits at a front for the answer to one RPC; each front gives its own.
type Client uint32

// Form is the protocol that the members of a group are spoken to in.
type Form uint8

const (
	Statements Form = iota // one statement for each RPC
	Requests               // one request for each RPC, of a method, a path, fields and a body
	Forms                  // how many there are
)

// Ask is what an RPC asks of a member, in the form in which its group takes it. It is good for as long as the RPC
// is served.
type Ask struct {
	Form          Form
	Before, After []byte // a statement: what stands around the milliseconds that are left
	Verb, Path    string // a request
	Fields        []byte // of the request, each ended by CR and LF; that of the time left is added
	Body          []byte
}

// Copy gives an ask that shares nothing with this one.
func (a *Ask) Copy() *Ask {
	c := *a
	all := make([]byte, 0, len(a.Before)+len(a.After)+len(a.Fields)+len(a.Body))
	for _, part := range []*[]byte{&c.Before, &c.After, &c.Fields, &c.Body} {
		from := len(all)
		all = append(all, *part...)
		*part = all[from:len(all):len(all)]
	}
	return &c
}

// Answer is what a member gave. It is good during the call only.
type Answer struct {
	Form     Form
	Parts    [][]byte      // of a statement's answer: the messages as they came
	Value    []byte        // the value that was asked for, or the body of a request's answer
	Status   int           // of a request's answer
	Fields   []byte        // of a request's answer, as they came
	Position time.Duration // of the member's log, for a write its commit; 0: not told
	Told     time.Duration // the same as it was told, also where it is not believed
}

// Front is one protocol with clients. Each of its clients hears one answer for each RPC.
type Front interface {
	Ask(from Client) *Ask // nil: nobody waits any more
	Answer(to Client, a *Answer)
	PushBack(to Client, comeBack time.Duration) // comeBack 0: none said
	Abort(to Client)
	Shut()                        // takes no new connections; those that wait to be taken in still are
	Leave()                       // ends each connection as soon as nothing of it is served
	Sweep(idle time.Duration) int // ends what has rested for so long; counts what is left
	Finish()                      // ends all connections on which nothing is served, and reads no more
	Open() int                    // connections
}

// Clerk takes the RPCs that fronts bring: came is when the last byte had, until when its client may leave. What RPC 0 was
// asked for has been answered already.
type Clerk interface {
	Take(by Front, from Client, method Method, group Group, session Session, came, until, wrote time.Duration, repeat bool) RPC
	ClientLeft(rpc RPC)
	ClientParts(rpc RPC) // it may have left, or only reads on: what is out is waited for, nothing more is sent
	FormOf(group Group) Form
	Count(what string)
	MembersNow() time.Duration // the time by the clock that members tell positions by
}

// Side is one protocol with members, and the connections to those who speak it.
type Side interface {
	Attempt(rpc RPC, n int, to Member, by, until time.Duration, ask *Ask) (call uint32) // written whole by then, or never
	Cancel(call uint32)
	Withdraw(call uint32) // ends it unless it was written whole
	Probe(m Member)
	CloseIdle(m Member)
	Forget(m Member)
}

// Ledger is told how attempts and probes end.
type Ledger interface {
	AttemptEnded(rpc RPC, n int, from Member, how Outcome, took, pos time.Duration, role Role, report []float64, a *Answer)
	Probed(m Member, ok bool, took time.Duration, report []float64)
	Count(what string)
}
