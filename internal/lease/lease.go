// Package lease decides about leases that drivers grant each other, so that one driver at a time does some work for all.
//
// A lease is granted by a majority of named voters. A voter grants it to one driver at a time and grants it to nobody else for the TTL,
// counted from when it received the request. The holder counts from before it sent the request, and a little less than the TTL. So two
// drivers never hold a lease at once while clocks run at the same rate within a stated bound; docs/leases.md has the proof. Each
// acquisition has a fencing token higher than any before: a resource rejects tokens lower than the highest it has seen, which is safe
// whatever clocks do.
//
// The package does no I/O. Candidate and Voter take messages and times and send messages through a host. Times are readings of the
// driver's own monotonic clock; messages hold durations and never times of day.
package lease

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// driftDivisor bounds clock drift: over a span the clocks of two drivers differ by at most span/driftDivisor.
const driftDivisor = 50

// Node identifies a driver: the xxh3 hash of its name.
type Node uint64

// NodeOf returns the node of the driver of that name.
func NodeOf(name string) Node { return Node(xxh3.HashString(name)) }

// Holder is a driver process that may hold a lease. After a restart the driver is another holder.
type Holder struct {
	Node        Node
	Incarnation uint64 // of the process, drawn at its start
}

// VoterSet names who votes. One set replaces another by way of a joint set, in which majorities of both are needed.
type VoterSet struct {
	Version uint32 // rises with each change
	Voters  []Node
	Former  []Node // the voters before, in a joint set only
}

// All returns the voters of both sets, each once.
func (s VoterSet) All() []Node {
	all := slices.Clone(s.Voters)
	for _, n := range s.Former {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// majority reports whether the nodes for which votedFor is true are a majority, of both sets in a joint set.
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

// majorityPossible reports whether a majority may still come together without the nodes for which votedAgainst is true.
func (s VoterSet) majorityPossible(votedAgainst func(Node) bool) bool {
	return s.majority(func(n Node) bool { return !votedAgainst(n) })
}
