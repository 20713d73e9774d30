package rollout

import "passtack/internal/lease"

// Ballot identifies a writer's term: the fencing token of its lease and the lease holder. Ballots are ordered by Less.
type Ballot struct {
	Number uint64
	Node   lease.Node
}

// Less reports whether b is lower than o: by number, then by node.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Node < o.Node
}

// Publication records a publication that has been proposed: the ID that its publisher chose, and the version number it was given.
type Publication struct {
	ID, Version uint64
}

// Entry is one version of the configuration.
type Entry struct {
	Version uint64        // 0: no version yet
	Ballot  Ballot        // ballot under which the entry was last written
	Text    string        // the configuration, as JSON
	Recent  []Publication // latest publications, newest last, up to maxRecentPublications
}

// acceptedAfter reports whether e was accepted later than o.
func (e *Entry) acceptedAfter(o *Entry) bool {
	return o.Ballot.Less(e.Ballot) || e.Ballot == o.Ballot && e.Version > o.Version
}

// publishedVersion returns the version number of a publication, or 0 if the publication is not in Recent.
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

// State is the durable state of a machine. The machine must have it in storage before it answers a message.
type State struct {
	Joined    bool   // the machine may vote, as it has learned its peers' state
	Promised  Ballot // messages of lower ballots are rejected
	Accepted  Entry  // newest entry that this machine has accepted, whether or not a majority has
	Committed Entry  // newest entry known to be committed
	Floor     uint64 // newest version that any driver has reported
}

// Op is the type of a message between machines.
type Op string

// The message types.
const (
	OpPrepare          Op = "prepare"  // from a new writer: asks for a promise and the accepted entry
	OpPromise          Op = "promise"  // answers OpPrepare
	OpAccept           Op = "accept"   // from the writer: asks to persist Entry
	OpAccepted         Op = "accepted" // answers OpAccept once Version is in storage
	OpCommit           Op = "commit"   // from the writer, at each heartbeat: Version is committed
	OpCommitAck        Op = "heard"    // answers OpCommit; Version is 0 if the machine does not have the entry
	OpReject           Op = "refuse"   // the sender has promised the higher Ballot
	OpLearn            Op = "learn"    // from a machine with empty storage: asks for the receiver's state
	OpLearned          Op = "learned"  // answers OpLearn
	OpStaleIncarnation Op = "outlived" // a later incarnation of the receiver is known; Version is its number
)

// Message is a message between machines. It is sent as JSON under its Go field names.
type Message struct {
	Op        Op
	Ballot    Ballot
	Version   uint64 `json:",omitempty"` // a version number; in OpStaleIncarnation an incarnation
	Floor     uint64 `json:",omitempty"` // the sender's State.Floor
	Joined    bool   `json:",omitempty"`
	Entry     *Entry `json:",omitempty"` // the entry to accept, or the accepted entry; nil: none
	Committed *Entry `json:",omitempty"` // the committed entry; nil: none
}
