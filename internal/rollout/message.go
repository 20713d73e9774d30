package rollout

import "passtack/internal/lease"

// Ballot is the right to write: the fencing token of a lease and its holder.
type Ballot struct {
	Number uint64
	Node   lease.Node
}

// Less reports whether b is lower than o: by number, then by node.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Node < o.Node
}

// Publication is a publication that was written: the ID that its publisher chose, and the version that it became.
type Publication struct {
	ID, Version uint64
}

// Entry is one version with its text.
type Entry struct {
	Version uint64        // 0: none yet
	Ballot  Ballot        // under which it was last written
	Text    string        // the configuration, as JSON
	Recent  []Publication // the last publications, newest last
}

// acceptedAfter reports whether e was accepted later than o.
func (e *Entry) acceptedAfter(o *Entry) bool {
	return o.Ballot.Less(e.Ballot) || e.Ballot == o.Ballot && e.Version > o.Version
}

// publishedVersion returns the version that a publication became, or 0 if it is not among the recent ones.
func (e *Entry) publishedVersion(id uint64) uint64 {
	for _, p := range e.Recent {
		if p.ID == id {
			return p.Version
		}
	}
	return 0
}

// entryOrNil returns a pointer to a copy of e, or nil if e is empty, for the optional fields of Message.
func entryOrNil(e Entry) *Entry {
	if e.Version == 0 {
		return nil
	}
	return &e
}

// State is what a machine must have in storage before it answers.
type State struct {
	Joined    bool   // it may vote, as it has learned what its peers know
	Promised  Ballot // it rejects messages of lower ballots
	Accepted  Entry  // the newest entry it has written, whether or not a majority has
	Committed Entry  // the newest entry it knows to be committed
	Floor     uint64 // the newest version that any driver has reported
}

// Op is the kind of a message between machines.
type Op string

// The kinds of messages.
const (
	OpPrepare          Op = "prepare"  // from a new writer: asks for a promise, and for what was accepted
	OpPromise          Op = "promise"  // answers OpPrepare
	OpAccept           Op = "accept"   // from the writer: asks to write Entry
	OpAccepted         Op = "accepted" // answers OpAccept once Version is in storage
	OpCommit           Op = "commit"   // from the writer, at each heartbeat: Version is committed
	OpCommitAck        Op = "heard"    // answers OpCommit; Version is 0 if the machine lacks the entry
	OpReject           Op = "refuse"   // the sender has promised the higher Ballot
	OpLearn            Op = "learn"    // from a machine with empty storage: asks for all that the receiver knows
	OpLearned          Op = "learned"  // answers OpLearn
	OpStaleIncarnation Op = "outlived" // a later incarnation of the receiver is known; Version has its number
)

// Message is what machines send each other, as JSON by field names.
type Message struct {
	Op        Op
	Ballot    Ballot
	Version   uint64 `json:",omitempty"` // a version; with OpStaleIncarnation an incarnation
	Floor     uint64 `json:",omitempty"` // the sender's State.Floor
	Joined    bool   `json:",omitempty"`
	Entry     *Entry `json:",omitempty"` // to accept, or as accepted; nil: none
	Committed *Entry `json:",omitempty"` // nil: none
}
