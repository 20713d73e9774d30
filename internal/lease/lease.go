// Package lease decides about leases that drivers grant each other: work that one of them is to do for all. It does no I/O; it takes
// messages and times, and gives messages to a host. Time is each side's own steady clock: no message holds a date.
//
// A lease is granted by a majority of named voters. A voter grants it to one driver at a time and keeps to that for as long as was asked
// for, counted from when it heard the question. The holder counts from before it asked, and less of it. So two of them never hold at once
// as long as clocks run level within a stated bound; docs/leases.md has the argument. Each term of a holder has a fencing number, higher than any
// before: whoever is acted on refuses lower ones than it has seen, which holds whatever clocks do.
package lease

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Drift is by how much of a span two clocks may be apart: a part in fifty for both together.
const driftDivisor = 50

// Mistakes that can be planted, to see that tests find them.
const (
	noMutation   = ""
	holdCountedFromAnswer = "counts-from-answer" // the hold
	noSilenceAfterStart    = "answers-at-once"    // a voter after its start
	halfIsMajority      = "half-decides"       // in place of a majority
	reusedToken     = "reuses-number"
)

// LongestName bounds the name of a lease.
const MaxNameLength = 32

// Node is a driver by its name.
type Node uint64

// NodeOf gives the number of a name.
func NodeOf(name string) Node { return Node(xxh3.HashString(name)) }

// Holder is a driver in one of its lives: what starts again is another.
type Holder struct {
	Node Node
	Incarnation uint64
}

// Op is what a message says.
type Op uint8

const (
	Request     Op = iota + 1 // for a lease, or for more time of it
	Grant                 // one voter's
	Reject                // why: Why
	Release               // the holder, or who asked in vain, gives it back
	Available                  // to the first who waits: it was given back
	lastOp  = Available
)

// Why is why a voter refuses.
type Reason uint8

const (
	HeldByAnother    Reason = iota + 1 // another has it
	StaleToken                  // the number is used up
	VoterStarting                 // the voter has just started, and may have promised what it does not know
	StaleVoterSet                  // the asker goes by an older set of voters
	NotPersisted                 // the voter's disk does not take its promise
	lastReason = NotPersisted
)

var reasonTexts = [...]string{"", "held", "lower number", "voter has just started", "older set of voters", "promise not on disk"}

func (r Reason) String() string { return reasonTexts[r] }

// Message is what drivers tell each other. Spans are spans, not dates.
type Message struct {
	Op      Op
	Reason     Reason
	Lease   string
	VoterSetVersion uint32        // of the set of voters that the sender goes by
	Round   uint64        // of a question; its answer has the same
	FencingToken  uint64        // fencing number; in a refusal the highest that is used up
	TTL   time.Duration // asked for; in a refusal when to ask again
	Holder  Holder        // who asks; in a refusal who has it
}

// Set is who votes. A change goes by way of a set that has both: then majorities of both are wanted.
type VoterSet struct {
	Version uint32
	Voters  []Node
	Former  []Node // nil: no change is under way
}

// All are the voters of both, each once.
func (s VoterSet) All() []Node {
	voters := slices.Clone(s.Voters)
	for _, n := range s.Former {
		if !slices.Contains(voters, n) {
			voters = append(voters, n)
		}
	}
	return voters
}

// majority tells whether those who said yes decide.
func (s VoterSet) majority(votedFor func(Node) bool) bool {
	majorityOf := func(voters []Node) bool {
		count := 0
		for _, n := range voters {
			if votedFor(n) {
				count++
			}
		}
		if mutation == halfIsMajority {
			return count >= len(voters)/2
		}
		return count > len(voters)/2
	}
	return majorityOf(s.Voters) && (len(s.Former) == 0 || majorityOf(s.Former))
}

// possible tells whether they still may, where those who said no never will.
func (s VoterSet) majorityPossible(votedAgainst func(Node) bool) bool {
	return s.majority(func(n Node) bool { return !votedAgainst(n) })
}
