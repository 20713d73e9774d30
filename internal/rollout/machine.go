package rollout

import (
	"slices"
	"time"

	"passtack/internal/lease"
)

// Host connects a Machine to its network, its storage and the drivers and publishers that call it.
type Host interface {
	// Send sends a message to a peer. The message may be lost.
	Send(to lease.Node, m Message)
	// Persist writes the state to storage, then calls done with the result. The done functions are called in the order of the Persist calls.
	Persist(s State, done func(error))
	// VersionCommitted is called when the machine learns of a newer committed entry.
	VersionCommitted(e Entry)
	// PublishDone reports the outcome of a PublishRequest, exactly once for each request.
	PublishDone(requestID uint64, o Outcome, version uint64)
	// IncarnationSuperseded is called when a peer knows the given incarnation of this machine. A machine whose own is lower must adopt a higher
	// one.
	IncarnationSuperseded(incarnation uint64)
	// StepDown releases the lease. It is called when a peer has promised a higher ballot.
	StepDown()
}

// Machine is the replica of one control machine. Its methods must not be called concurrently.
type Machine struct {
	host         Host
	self         lease.Node
	peers        []lease.Node
	majority     int                   // of all machines, this one included
	incarnations map[lease.Node]uint64 // latest known incarnation of each peer
	state        State

	joining      bool                   // the state learned from the peers is being persisted
	learnAnswers map[lease.Node]Message // OpLearned messages of the peers' latest incarnations

	announcedVersion uint64        // committed version in the writer's last OpCommit
	announcedAt      time.Duration // when the last OpCommit arrived

	term writerTerm
}

// New returns the replica of a machine. The state is the one found in storage at the start.
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

// Joined reports whether the machine votes. Only then may it request the lease.
func (m *Machine) Joined() bool { return m.state.Joined }

// Committed returns the newest entry that the machine knows to be committed.
func (m *Machine) Committed() Entry { return m.state.Committed }

// IsFresh reports whether the machine may claim that no newer version is committed. The writer must have confirmed this within
// FreshnessTimeout; if this machine is the writer, a majority must have acknowledged its heartbeat within that time.
func (m *Machine) IsFresh(now time.Duration) bool {
	if !m.IsWriter() {
		return m.state.Joined && now-m.announcedAt < FreshnessTimeout && m.state.Committed.Version >= m.announcedVersion
	}
	confirmed := 1
	for _, acknowledgedAt := range m.term.confirmedAt {
		if now-acknowledgedAt < FreshnessTimeout {
			confirmed++
		}
	}
	return confirmed >= m.majority
}

// Receive handles a message of a peer. A message of an earlier incarnation is ignored and answered with the latest incarnation known: the
// sender's clock may have been set back, which lowers the incarnation it derives from the clock.
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

// discardAnswers removes the answers of a peer's earlier incarnation, since the peer's storage may be empty now. An entry that a majority had
// accepted stays committed: the new incarnation learns it from one of the other machines before it votes.
func (m *Machine) discardAnswers(peer lease.Node) {
	delete(m.learnAnswers, peer)
	delete(m.term.confirmedAt, peer)
	delete(m.term.promises, peer)
	delete(m.term.acceptedBy, peer)
}

// Tick resends messages that may have been lost. The host calls it every HeartbeatInterval.
func (m *Machine) Tick() {
	switch {
	case !m.state.Joined:
		m.requestState()
	case !m.term.active():
	case m.term.promises != nil:
		m.resendPrepare()
	default:
		m.announce()
		m.resendAccept()
	}
}

// broadcast sends a message to all peers.
func (m *Machine) broadcast(msg Message) {
	for _, peer := range m.peers {
		m.host.Send(peer, msg)
	}
}

// allNodes returns this machine and its peers.
func (m *Machine) allNodes() []lease.Node {
	return append([]lease.Node{m.self}, m.peers...)
}
