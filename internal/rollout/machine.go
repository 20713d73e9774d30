package rollout

import (
	"slices"
	"time"

	"passtack/internal/lease"
)

// Host connects a Machine to its network, its storage and the drivers and publishers that call it.
type Host interface {
	// Send sends a message to a peer. It may be lost.
	Send(to lease.Node, m Message)
	// Persist writes the state to storage, then calls then with the result. Calls to then come in the order of the calls to Persist.
	Persist(s State, then func(error))
	// VersionCommitted is called when the machine learns of a newer committed entry.
	VersionCommitted(e Entry)
	// PublishDone reports the outcome of a PublishRequest, once for each.
	PublishDone(requestID uint64, o Outcome, version uint64)
	// IncarnationSuperseded is called when a peer knows the given incarnation of this machine. A machine with a lower one must take a higher one.
	IncarnationSuperseded(incarnation uint64)
	// StepDown releases the lease, because a higher ballot was seen.
	StepDown()
}

// Machine is the replica of one control machine. Its methods must not be called concurrently.
type Machine struct {
	host         Host
	self         lease.Node
	peers        []lease.Node
	majority     int                   // of the peers and this machine
	incarnations map[lease.Node]uint64 // the latest seen of each peer
	state        State

	joining      bool                   // the joined state is being persisted
	learnAnswers map[lease.Node]Message // OpLearned of the peers' latest incarnations

	announcedVersion uint64        // in the writer's last OpCommit
	announcedAt      time.Duration // when that came

	term writerTerm
}

// New returns the replica of a machine that starts with the given state from storage.
func New(host Host, self lease.Node, peers []lease.Node, state State) *Machine {
	return &Machine{
		host:         host,
		self:         self,
		peers:        peers,
		majority:     (len(peers)+1)/2 + 1,
		incarnations: make(map[lease.Node]uint64),
		state:        state,
		learnAnswers: make(map[lease.Node]Message),
		announcedAt:  -FreshnessTimeout,
	}
}

// Joined reports whether the machine votes, and so may request the lease.
func (m *Machine) Joined() bool { return m.state.Joined }

// Committed returns the newest entry that the machine knows to be committed.
func (m *Machine) Committed() Entry { return m.state.Committed }

// IsFresh reports whether the machine may claim that no newer version is committed: the writer, or a majority where this machine is the
// writer, has confirmed that within FreshnessTimeout.
func (m *Machine) IsFresh(now time.Duration) bool {
	if !m.IsWriter() {
		return m.state.Joined && now-m.announcedAt < FreshnessTimeout && m.state.Committed.Version >= m.announcedVersion
	}
	confirmed := 1
	for _, at := range m.term.confirmedAt {
		if now-at < FreshnessTimeout {
			confirmed++
		}
	}
	return confirmed >= m.majority
}

// Receive handles a message of a peer. Messages of an earlier incarnation are ignored, and the sender is told the latest one known: its clock
// may have been set back, so that its incarnations went down.
func (m *Machine) Receive(from lease.Node, incarnation uint64, msg Message, now time.Duration) {
	if !slices.Contains(m.peers, from) {
		return
	}
	known := m.incarnations[from]
	if incarnation < known {
		m.host.Send(from, Message{Op: OpStaleIncarnation, Version: known})
		return
	}
	if incarnation > known {
		m.incarnations[from] = incarnation
		m.discardAnswers(from)
	}
	m.raiseFloor(msg.Floor)
	switch msg.Op {
	case OpPrepare:
		m.onPrepare(from, msg)
	case OpAccept:
		m.onAccept(from, msg)
	case OpCommit:
		m.onCommit(from, msg, now)
	case OpReject:
		m.onReject(msg.Ballot)
	case OpPromise:
		m.onPromise(from, msg)
	case OpAccepted:
		m.onAccepted(from, msg)
	case OpCommitAck:
		m.onCommitAck(from, msg, now)
	case OpLearn:
		m.onLearn(from)
	case OpLearned:
		m.onLearned(from, msg)
	case OpStaleIncarnation:
		m.host.IncarnationSuperseded(msg.Version)
	}
}

// discardAnswers drops what an earlier incarnation of a peer has answered, as the peer's storage may be empty now. What a majority had
// answered stays committed: one of the other machines tells the new incarnation before it votes.
func (m *Machine) discardAnswers(peer lease.Node) {
	delete(m.learnAnswers, peer)
	delete(m.term.confirmedAt, peer)
	delete(m.term.promises, peer)
	delete(m.term.acceptedBy, peer)
}

// Tick repeats what may have been lost. The host calls it every HeartbeatInterval.
func (m *Machine) Tick() {
	switch {
	case !m.state.Joined:
		m.requestState()
	case !m.term.active():
	case m.term.promises != nil:
		m.repeatPrepare()
	default:
		m.announce()
		m.repeatAccept()
	}
}

// broadcast sends a message to all peers.
func (m *Machine) broadcast(msg Message) {
	for _, peer := range m.peers {
		m.host.Send(peer, msg)
	}
}

// members returns this machine and its peers.
func (m *Machine) members() []lease.Node {
	return append([]lease.Node{m.self}, m.peers...)
}
