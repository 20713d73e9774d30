package rollout

import (
	"time"

	"passtack/internal/lease"
)

// raiseFloor raises the floor to a version that a driver has reported. A version more than maxVersionGap above all known ones is ignored.
func (m *Machine) raiseFloor(floor uint64) {
	if floor > m.state.Floor && floor <= max(m.state.Floor, m.state.Committed.Version)+maxVersionGap {
		m.state.Floor = floor
		m.host.Persist(m.state, func(error) {})
	}
}

// ObserveVersion records a version that a driver has reported. It returns false if the version is too high to belong to this fleet.
func (m *Machine) ObserveVersion(version uint64) bool {
	m.raiseFloor(version)
	return version <= max(m.state.Floor, m.state.Committed.Version)
}

// onPrepare promises to reject lower ballots, and answers with the accepted and the committed entry.
func (m *Machine) onPrepare(from lease.Node, msg Message) {
	if !m.state.Joined {
		return
	}
	if msg.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	m.state.Promised = msg.Ballot
	m.host.Persist(m.state, func(err error) {
		if err != nil || m.state.Promised != msg.Ballot {
			return
		}
		m.reply(from, Message{
			Op:        OpPromise,
			Ballot:    msg.Ballot,
			Floor:     m.state.Floor,
			Entry:     entryOrNil(m.state.Accepted),
			Committed: entryOrNil(m.state.Committed),
		})
	})
}

// onAccept persists the writer's entry, and answers once it is in storage. Entries older than the accepted one are ignored.
func (m *Machine) onAccept(from lease.Node, msg Message) {
	if !m.state.Joined || msg.Entry == nil {
		return
	}
	if msg.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	entry := *msg.Entry
	entry.Ballot = msg.Ballot
	if m.state.Accepted.acceptedAfter(&entry) {
		return
	}
	m.state.Promised, m.state.Accepted = msg.Ballot, entry
	m.host.Persist(m.state, func(err error) {
		if err == nil {
			m.reply(from, Message{Op: OpAccepted, Ballot: msg.Ballot, Version: entry.Version, Floor: m.state.Floor})
		}
	})
}

// onCommit handles the writer's heartbeat. The answer has version 0 if this machine does not have the committed entry.
func (m *Machine) onCommit(from lease.Node, msg Message, now time.Duration) {
	if msg.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	m.announcedVersion, m.announcedAt = msg.Version, now
	if accepted := &m.state.Accepted; accepted.Ballot == msg.Ballot && accepted.Version <= msg.Version {
		m.commit(*accepted)
	}
	confirmed := uint64(0)
	if m.state.Committed.Version == msg.Version {
		confirmed = msg.Version
	}
	m.host.Send(from, Message{Op: OpCommitAck, Ballot: msg.Ballot, Version: confirmed, Floor: m.state.Floor})
}

// commit records an entry that a majority has accepted.
func (m *Machine) commit(entry Entry) {
	if entry.Version <= m.state.Committed.Version {
		return
	}
	m.state.Committed = entry
	m.state.Floor = max(m.state.Floor, entry.Version)
	m.host.Persist(m.state, func(error) {})
	m.host.VersionCommitted(entry)
}

// sendReject informs a writer of the higher ballot that this machine has promised.
func (m *Machine) sendReject(to lease.Node) {
	if to == m.self {
		m.onReject(m.state.Promised)
		return
	}
	m.host.Send(to, Message{Op: OpReject, Ballot: m.state.Promised})
}

// reply sends an answer to the writer. If this machine is the writer, the answer is handled directly.
func (m *Machine) reply(to lease.Node, msg Message) {
	switch {
	case to != m.self:
		m.host.Send(to, msg)
	case msg.Op == OpPromise:
		m.onPromise(to, msg)
	case msg.Op == OpAccepted:
		m.onAccepted(to, msg)
	}
}
