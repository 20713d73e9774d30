package rollout

import "passtack/internal/lease"

// requestState asks all peers for what they know. A machine with empty storage does so until it has joined.
func (m *Machine) requestState() {
	if !m.joining {
		m.broadcast(Message{Op: OpLearn, Floor: m.state.Floor})
	}
}

// onLearn sends all that this machine knows to a peer with empty storage.
func (m *Machine) onLearn(from lease.Node) {
	m.host.Send(from, Message{
		Op:        OpLearned,
		Ballot:    m.state.Promised,
		Joined:    m.state.Joined,
		Floor:     m.state.Floor,
		Entry:     entryOrNil(m.state.Accepted),
		Committed: entryOrNil(m.state.Committed),
	})
}

// onLearned joins once all peers have answered. All are needed, since what this machine had promised or accepted before it lost its storage
// may be known to only one of them.
func (m *Machine) onLearned(from lease.Node, msg Message) {
	if m.state.Joined || m.joining {
		return
	}
	m.learnAnswers[from] = msg
	for _, peer := range m.peers {
		if _, answered := m.learnAnswers[peer]; !answered {
			return
		}
	}
	next := m.learnedState()
	m.joining = true
	m.host.Persist(next, func(err error) {
		m.joining = false
		if err == nil {
			m.join(next)
		}
	})
}

// learnedState merges the answers of all peers into the machine's own state.
func (m *Machine) learnedState() State {
	next := m.state
	next.Joined = true
	for _, answer := range m.learnAnswers {
		if next.Promised.Less(answer.Ballot) {
			next.Promised = answer.Ballot
		}
		if answer.Entry != nil && answer.Entry.acceptedAfter(&next.Accepted) {
			next.Accepted = *answer.Entry
		}
		if answer.Committed != nil && answer.Committed.Version > next.Committed.Version {
			next.Committed = *answer.Committed
		}
	}
	return next
}

// join takes over the learned state, now in storage. Drivers may have raised the floor in the meantime.
func (m *Machine) join(next State) {
	next.Floor = max(m.state.Floor, next.Floor)
	m.state = next
	if next.Committed.Version > 0 {
		m.host.VersionCommitted(next.Committed)
	}
}
