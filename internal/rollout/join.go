package rollout

import "passtack/internal/lease"

// requestState asks all peers for their state. A machine with empty storage repeats this until it has joined.
func (m *Machine) requestState() {
	if !m.joining {
		m.broadcast(Message{Op: OpLearn, Floor: m.state.Floor})
	}
}

// onLearn sends this machine's state to a peer with empty storage.
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

// onLearned joins once all peers have answered. A majority is not enough: a promise or an accepted entry that this machine lost with its
// storage may be known to only one peer.
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
	learned := m.learnedState()
	m.joining = true
	m.host.Persist(learned, func(err error) {
		m.joining = false
		if err == nil {
			m.join(learned)
		}
	})
}

// learnedState returns the machine's state merged with the answers of all peers.
func (m *Machine) learnedState() State {
	learned := m.state
	learned.Joined = true
	for _, answer := range m.learnAnswers {
		if learned.Promised.Less(answer.Ballot) {
			learned.Promised = answer.Ballot
		}
		if answer.Entry != nil && answer.Entry.acceptedAfter(&learned.Accepted) {
			learned.Accepted = *answer.Entry
		}
		if answer.Committed != nil && answer.Committed.Version > learned.Committed.Version {
			learned.Committed = *answer.Committed
		}
	}
	return learned
}

// join adopts the learned state, which is now in storage. The floor may have been raised while the state was being persisted.
func (m *Machine) join(learned State) {
	learned.Floor = max(m.state.Floor, learned.Floor)
	m.state = learned
	if learned.Committed.Version > 0 {
		m.host.VersionCommitted(learned.Committed)
	}
}
