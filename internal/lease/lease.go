// Package lease implements leases that drivers grant each other, so that one driver at a time does some work on behalf of all.
//
// A lease is granted by a majority of named voters. A voter that has granted a lease to a driver grants it to no other driver for the TTL,
// counted from when the voter received the request. The holder counts from before it sent the request, and for a little less than the TTL.
// So two drivers never hold a lease at the same time while the rates of their clocks differ by less than a stated bound; docs/leases.md has
// the proof. Each acquisition has a fencing token higher than any earlier one: a resource rejects tokens lower than the highest it has seen,
// which is safe whatever the clocks do.
//
// The package does no I/O. Candidate and Voter are given messages and times and send messages through a host. Times are readings of the
// driver's own monotonic clock; messages hold durations and never times of day.
package lease

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// driftDivisor bounds clock drift: over any time span the clocks of two drivers differ by at most span/driftDivisor.
const driftDivisor = 50

// Node identifies a driver by the xxh3 hash of its name.
type Node uint64

// NodeOf returns the Node of the driver with the given name.
func NodeOf(name string) Node { return Node(xxh3.HashString(name)) }

// Holder is a driver process that may hold a lease. After a restart the driver counts as a different holder.
type Holder struct {
	Node        Node
	Incarnation uint64 // identifies the process; assigned when it starts
}

// VoterSet names the drivers that vote. Between two sets comes a joint set, in which a lease needs a majority of the new and a majority of the
// former voters.
type VoterSet struct {
	Version uint32 // increases with each change
	Voters  []Node
	Former  []Node // voters of the previous set; empty except in a joint set
}

// All returns the voters and the former voters, each once.
func (s VoterSet) All() []Node {
	all := slices.Clone(s.Voters)
	for _, n := range s.Former {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// majority reports whether the nodes for which votedFor is true are a majority; in a joint set, a majority of each of the two sets.
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

// majorityPossible reports whether a majority is still possible without the nodes for which votedAgainst is true.
func (s VoterSet) majorityPossible(votedAgainst func(Node) bool) bool {
	return s.majority(func(n Node) bool { return !votedAgainst(n) })
}
