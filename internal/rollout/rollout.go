// Package rollout decides about versions of the configuration that operators publish for a whole fleet: which one counts, who may write the
// next, what a driver has in force and whom it asks. It does no I/O; it takes messages and times, and gives messages to a host.
//
// Three control machines keep the newest version together. One of them at a time writes, under the number of a lease (internal/lease); a
// version counts once a majority has it on its disk. That is the Synod protocol of Paxos with one register whose every value names its
// version: whoever writes asks a majority first, takes over the newest that any of them has accepted, and writes it anew under its own
// number before anything else. docs/configuration.md has the argument.
package rollout

import (
	"time"

	"passtack/internal/lease"
)

const (
	// LongestText bounds a configuration, in bytes.
	MaxTextBytes = 512 << 10
	// LongestName bounds the names of drivers and machines, in bytes.
	MaxNameBytes = 64
	// Beat is the time between two words of the machine that writes, and between two tries of one that waits for answers.
	HeartbeatInterval = 200 * time.Millisecond
	// Quiet is for how long a machine trusts that it has the newest version after it last heard that.
	FreshnessTimeout = 700 * time.Millisecond

	maxRecentPublications = 16      // publications that are remembered, to know one that comes again
	maxPendingPublishes   = 16      // publications at once
	maxVersionGap         = 1000000 // by which a driver may be ahead of all that a machine has heard of; more is no version of this fleet

)

// Ballot is the right to write: the number of a lease, and who holds it.
type Ballot struct {
	Number uint64
	Node   lease.Node
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Node < o.Node
}

// Publication is one that was written, by the number that its publisher gave it.
type Publication struct {
	ID, Version uint64
}

// Entry is a version with what it says.
type Entry struct {
	Version uint64 // 0: there is none yet
	Ballot  Ballot // under which it was written last
	Text    string
	Recent  []Publication // the newest last
}

// newer tells whether an entry was accepted after another.
func (e *Entry) acceptedAfter(o *Entry) bool {
	return o.Ballot.Less(e.Ballot) || e.Ballot == o.Ballot && e.Version > o.Version
}

// published gives the version under which a publication was written; 0: it was not, as far as is remembered.
func (e *Entry) publishedVersion(id uint64) uint64 {
	for _, p := range e.Recent {
		if p.ID == id {
			return p.Version
		}
	}
	return 0
}

// State is what has to outlast a machine.
type State struct {
	Joined    bool // it may vote: it has learned what the others know
	Promised  Ballot
	Accepted  Entry  // the newest that it has written, whether or not a majority has
	Committed Entry  // the newest of which it knows that a majority has
	Floor     uint64 // the newest version that any driver has had in force
}

// Op is what a message between machines says.
type Op string

const (
	OpPrepare          Op = "prepare"  // whoever is about to write asks what is known
	OpPromise          Op = "promise"  // and hears that, and that nobody with a lower ballot is heard any more
	OpAccept           Op = "accept"   // write this
	OpAccepted         Op = "accepted" // it is on the disk
	OpCommit           Op = "commit"   // a majority has it; said again and again, for who has not heard it and to be heard at all
	OpCommitAck        Op = "heard"
	OpReject           Op = "refuse" // a higher ballot was promised
	OpLearn            Op = "learn"  // a machine with an empty folder asks
	OpLearned          Op = "learned"
	OpStaleIncarnation Op = "outlived" // a later life of the machine that spoke is known
)

// Message is what machines tell each other.
type Message struct {
	Op        Op
	Ballot    Ballot
	Version   uint64 `json:",omitempty"` // of Outlived the life
	Floor     uint64 `json:",omitempty"`
	Joined    bool   `json:",omitempty"`
	Entry     *Entry `json:",omitempty"`
	Committed *Entry `json:",omitempty"`
}
