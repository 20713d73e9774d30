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
const Drift = 50

// Mistakes that can be planted, to see that tests find them.
const (
	nothingPlanted   = ""
	countsFromAnswer = "counts-from-answer" // the hold
	answersAtOnce    = "answers-at-once"    // a voter after its start
	halfDecides      = "half-decides"       // in place of a majority
	reusesNumber     = "reuses-number"
)

// LongestName bounds the name of a lease.
const LongestName = 32

// Node is a driver by its name.
type Node uint64

// NodeOf gives the number of a name.
func NodeOf(name string) Node { return Node(xxh3.HashString(name)) }

// Holder is a driver in one of its lives: what starts again is another.
type Holder struct {
	Node Node
	Life uint64
}

// Op is what a message says.
type Op uint8

const (
	Ask     Op = iota + 1 // for a lease, or for more time of it
	Grant                 // one voter's
	Refuse                // why: Why
	Release               // the holder, or who asked in vain, gives it back
	Free                  // to the first who waits: it was given back
	lastOp  = Free
)

// Why is why a voter refuses.
type Why uint8

const (
	Held    Why = iota + 1 // another has it
	Lower                  // the number is used up
	Silent                 // the voter has just started, and may have promised what it does not know
	Older                  // the asker goes by an older set of voters
	Unkept                 // the voter's disk does not take its promise
	lastWhy = Unkept
)

var whys = [...]string{"", "held", "lower number", "voter has just started", "older set of voters", "promise not on disk"}

func (w Why) String() string { return whys[w] }

// Message is what drivers tell each other. Spans are spans, not dates.
type Message struct {
	Op      Op
	Why     Why
	Lease   string
	Version uint32        // of the set of voters that the sender goes by
	Round   uint64        // of a question; its answer has the same
	Number  uint64        // fencing number; in a refusal the highest that is used up
	Lasts   time.Duration // asked for; in a refusal when to ask again
	Holder  Holder        // who asks; in a refusal who has it
}

// Set is who votes. A change goes by way of a set that has both: then majorities of both are wanted.
type Set struct {
	Version uint32
	Voters  []Node
	Former  []Node // nil: no change is under way
}

// All are the voters of both, each once.
func (s Set) All() []Node {
	all := slices.Clone(s.Voters)
	for _, n := range s.Former {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// majority tells whether those who said yes decide.
func (s Set) majority(yes func(Node) bool) bool {
	most := func(of []Node) bool {
		count := 0
		for _, n := range of {
			if yes(n) {
				count++
			}
		}
		if plant == halfDecides {
			return count >= len(of)/2
		}
		return count > len(of)/2
	}
	return most(s.Voters) && (len(s.Former) == 0 || most(s.Former))
}

// possible tells whether they still may, where those who said no never will.
func (s Set) possible(no func(Node) bool) bool {
	return s.majority(func(n Node) bool { return !no(n) })
}
