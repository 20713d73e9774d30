package rollout

import (
	"time"

	"passtack/internal/lease"
)

// writerTerm is the state of a machine while it holds the lease. The zero value means that it does not hold the lease.
type writerTerm struct {
	ballot           Ballot                       // ballot of the term; zero: no term
	promises         map[lease.Node]Message       // answers to OpPrepare; nil once a majority has promised
	proposal         *Entry                       // entry being written; nil: none
	acceptedBy       map[lease.Node]bool          // machines that have the proposal in storage
	confirmedAt      map[lease.Node]time.Duration // when each peer last acknowledged a heartbeat
	activePublish    *PublishRequest              // request that the proposal was made for; nil: none
	pendingPublishes []PublishRequest
}

func (t *writerTerm) active() bool { return t.ballot != Ballot{} }

// IsWriter reports whether this machine is the writer: it holds the lease, and a majority has promised.
func (m *Machine) IsWriter() bool { return m.term.active() && m.term.promises == nil }

// LeaseGained begins a term under the lease's fencing token. Before the machine writes anything, it asks for the entries accepted so far.
func (m *Machine) LeaseGained(fencingToken uint64) {
	m.term.ballot = Ballot{fencingToken, m.self}
	m.term.promises = make(map[lease.Node]Message)
	m.term.confirmedAt = make(map[lease.Node]time.Duration)
	prepare := Message{Op: OpPrepare, Ballot: m.term.ballot}
	m.broadcast(prepare)
	m.onPrepare(m.self, prepare)
}

// LeaseLost ends the term. The next writer may still write the current proposal, so the outcome of its request is unknown.
func (m *Machine) LeaseLost() {
	active, pending := m.term.activePublish, m.term.pendingPublishes
	m.term = writerTerm{}
	if active != nil {
		m.host.PublishDone(active.RequestID, Unknown, 0)
	}
	for _, request := range pending {
		m.host.PublishDone(request.RequestID, NotWriter, 0)
	}
}

// onReject ends the term if a machine has promised a higher ballot.
func (m *Machine) onReject(promised Ballot) {
	if m.term.active() && m.term.ballot.Less(promised) {
		m.LeaseLost()
		m.host.StepDown()
	}
}

// onPromise counts the promises. Once a majority has promised, the newest entry that any of these machines has accepted is proposed again.
func (m *Machine) onPromise(from lease.Node, msg Message) {
	if m.term.promises == nil || msg.Ballot != m.term.ballot {
		return
	}
	m.term.promises[from] = msg
	if len(m.term.promises) < m.majority {
		return
	}
	var newest Entry
	for _, promise := range m.term.promises {
		if promise.Entry != nil && promise.Entry.acceptedAfter(&newest) {
			newest = *promise.Entry
		}
	}
	m.term.promises = nil
	if newest.Version > 0 {
		m.propose(newest)
	} else {
		m.announce()
	}
}

// propose asks all machines to accept an entry.
func (m *Machine) propose(entry Entry) {
	entry.Ballot = m.term.ballot
	m.term.proposal = &entry
	m.term.acceptedBy = make(map[lease.Node]bool)
	accept := Message{Op: OpAccept, Ballot: m.term.ballot, Entry: &entry}
	m.broadcast(accept)
	m.onAccept(m.self, accept)
}

// onAccepted counts the machines that have the proposal in storage, and commits it once they are a majority.
func (m *Machine) onAccepted(from lease.Node, msg Message) {
	if m.term.proposal == nil || msg.Ballot != m.term.ballot || msg.Version != m.term.proposal.Version {
		return
	}
	m.term.acceptedBy[from] = true
	if len(m.term.acceptedBy) < m.majority {
		return
	}
	entry := *m.term.proposal
	m.term.proposal, m.term.acceptedBy = nil, nil
	m.commit(entry)
	m.announce()
	if request := m.term.activePublish; request != nil {
		m.term.activePublish = nil
		m.host.PublishDone(request.RequestID, Published, entry.Version)
	}
	m.publishNext()
}

// announce sends the committed version to all peers, as a heartbeat.
func (m *Machine) announce() {
	m.broadcast(Message{Op: OpCommit, Ballot: m.term.ballot, Version: m.state.Committed.Version, Floor: m.state.Floor})
}

// onCommitAck records that a peer acknowledges the heartbeat, and sends the committed entry if the peer does not have it.
func (m *Machine) onCommitAck(from lease.Node, msg Message, now time.Duration) {
	if !m.IsWriter() || msg.Ballot != m.term.ballot {
		return
	}
	m.term.confirmedAt[from] = now
	committed := m.state.Committed
	if msg.Version < committed.Version && committed.Ballot == m.term.ballot && m.term.proposal == nil {
		m.host.Send(from, Message{Op: OpAccept, Ballot: m.term.ballot, Entry: &committed})
	}
	m.publishNext()
}

// resendPrepare sends OpPrepare again to the machines that have not promised.
func (m *Machine) resendPrepare() {
	for _, node := range m.allNodes() {
		if _, promised := m.term.promises[node]; promised {
			continue
		}
		prepare := Message{Op: OpPrepare, Ballot: m.term.ballot}
		if node == m.self {
			m.onPrepare(node, prepare)
		} else {
			m.host.Send(node, prepare)
		}
	}
}

// resendAccept sends the proposal again to the machines that have not accepted it.
func (m *Machine) resendAccept() {
	if m.term.proposal == nil {
		return
	}
	for _, node := range m.allNodes() {
		if m.term.acceptedBy[node] {
			continue
		}
		accept := Message{Op: OpAccept, Ballot: m.term.ballot, Entry: m.term.proposal}
		if node == m.self {
			m.onAccept(node, accept)
		} else {
			m.host.Send(node, accept)
		}
	}
}
