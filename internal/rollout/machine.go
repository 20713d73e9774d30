package rollout

import (
	"slices"
	"time"

	"passtack/internal/lease"
)

// Outcome is what becomes of a publication.
type Outcome string

const (
	Published Outcome = "published" // a majority has it
	Outdated  Outcome = "outdated"  // another version came meanwhile than the one it was made from
	NotWriter Outcome = "elsewhere" // another machine writes, or nobody does for now; nothing was written
	Unknown   Outcome = "unknown"   // it may be written yet: to publish it again under the same number tells
	Busy      Outcome = "busy"      // too many at once
	Exhausted Outcome = "exhausted" // there is no higher version
)

// Publish is one text that is to become the next version.
type PublishRequest struct {
	RequestID     uint64 // the host's name for it
	PublicationID uint64 // its publisher's, the same for each try
	BaseVersion   uint64 // the version that it was made from
	Text          string
}

// Host is what a machine acts through.
type Host interface {
	Send(to lease.Node, m Message)
	// Keep brings the state to the disk and calls then, in the order of the calls.
	Persist(s State, then func(error))
	// Newest is called when a newer version is known to count.
	VersionCommitted(e Entry)
	// Answer tells what became of a publication, once for each.
	PublishDone(ticket uint64, o Outcome, version uint64)
	// Outlived tells that another machine has heard of such a life of this one: unless its own is as late, it needs a later one.
	IncarnationSuperseded(life uint64)
	// StepDown gives the lease back: somebody with a higher number was heard.
	StepDown()
}

// Machine is one control machine.
type Machine struct {
	host         Host
	self         lease.Node
	peers        []lease.Node
	incarnations map[lease.Node]uint64 // the latest that was heard of each other
	state        State

	learnAnswers     map[lease.Node]Message // answers to an empty folder, of this life
	joining          bool
	announcedVersion uint64        // the newest version that whoever writes has said to count
	announcedAt      time.Duration // when it said anything last

	ballot           Ballot                 // zero: this one does not write
	promises         map[lease.Node]Message // nil: they are in
	proposal         *Entry
	acceptedBy       map[lease.Node]bool
	confirmedAt      map[lease.Node]time.Duration // when others last confirmed the ballot
	activePublish    *PublishRequest              // that is being written
	pendingPublishes []PublishRequest

	majority int
}

// New makes a machine that has just started with what is on its disk. Of its peers each has a name of its own.
func New(host Host, me lease.Node, others []lease.Node, kept State) *Machine {
	m := &Machine{host: host, self: me, peers: others, incarnations: make(map[lease.Node]uint64), state: kept, learnAnswers: make(map[lease.Node]Message),
		announcedAt: -FreshnessTimeout, majority: (len(others)+1)/2 + 1}
	return m
}

// Joined tells whether the machine votes, and so may ask for the lease.
func (m *Machine) Joined() bool { return m.state.Joined }

// Writes tells whether this is the machine that writes.
func (m *Machine) IsWriter() bool { return m.ballot != Ballot{} && m.promises == nil }

// Newest is the newest version that counts, as far as it knows.
func (m *Machine) Committed() Entry { return m.state.Committed }

// Fresh tells whether it may say of a version that no newer one counts: it heard so from whoever writes, or as whoever writes from a
// majority, a moment ago.
func (m *Machine) IsFresh(now time.Duration) bool {
	if !m.IsWriter() {
		return m.state.Joined && now-m.announcedAt < FreshnessTimeout && m.state.Committed.Version >= m.announcedVersion
	}
	confirmed := 1
	for _, at := range m.confirmedAt {
		if now-at < FreshnessTimeout {
			confirmed++
		}
	}
	return confirmed >= m.majority
}

// Take hears another machine in one of its lives. What comes late of an earlier one is not heard; where a clock that was set back makes a
// machine's lives go down, it is told so.
func (m *Machine) Receive(from lease.Node, life uint64, g Message, now time.Duration) {
	switch known := m.incarnations[from]; {
	case !slices.Contains(m.peers, from):
		return
	case life < known:
		m.host.Send(from, Message{Op: OpStaleIncarnation, Version: known})
		return
	case life > known:
		m.incarnations[from] = life
		m.discardIncarnation(from)
	}
	m.raiseFloor(g.Floor)
	switch g.Op {
	case OpPrepare:
		m.onPrepare(from, g)
	case OpAccept:
		m.onAccept(from, g)
	case OpCommit:
		m.onCommit(from, g, now)
	case OpReject:
		m.onReject(g.Ballot)
	case OpPromise:
		m.onPromise(from, g)
	case OpAccepted:
		m.onAccepted(from, g)
	case OpCommitAck:
		m.onCommitAck(from, g, now)
	case OpLearn:
		m.host.Send(from, Message{Op: OpLearned, Ballot: m.state.Promised, Joined: m.state.Joined, Floor: m.state.Floor, Entry: entryOrNil(m.state.Accepted), Committed: entryOrNil(m.state.Committed)})
	case OpLearned:
		m.onLearned(from, g)
	case OpStaleIncarnation:
		m.host.IncarnationSuperseded(g.Version)
	}
}

func entryOrNil(e Entry) *Entry {
	if e.Version == 0 {
		return nil
	}
	return &e
}

// forget takes back what an earlier life of a machine has said: its folder may be empty now. What a majority had said already counts, as one
// of those others tells the new life before that votes.
func (m *Machine) discardIncarnation(of lease.Node) {
	delete(m.learnAnswers, of)
	delete(m.confirmedAt, of)
	delete(m.promises, of)
	delete(m.acceptedBy, of)
}

// raise notes the newest version that some driver has had.
func (m *Machine) raiseFloor(floor uint64) {
	if floor > m.state.Floor && floor <= max(m.state.Floor, m.state.Committed.Version)+maxVersionGap {
		m.state.Floor = floor
		m.host.Persist(m.state, func(error) {})
	}
}

// Ahead tells of a driver that has a version; false: it cannot be one of this fleet.
func (m *Machine) ObserveVersion(version uint64) bool {
	m.raiseFloor(version)
	return version <= max(m.state.Floor, m.state.Committed.Version)
}

// What a machine does as one of those who vote.

func (m *Machine) onPrepare(from lease.Node, g Message) {
	if !m.state.Joined {
		return
	}
	if g.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	m.state.Promised = g.Ballot
	m.host.Persist(m.state, func(err error) {
		if err == nil && m.state.Promised == g.Ballot {
			m.reply(from, Message{Op: OpPromise, Ballot: g.Ballot, Floor: m.state.Floor, Entry: entryOrNil(m.state.Accepted), Committed: entryOrNil(m.state.Committed)})
		}
	})
}

func (m *Machine) onAccept(from lease.Node, g Message) {
	if !m.state.Joined || g.Entry == nil {
		return
	}
	if g.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	e := *g.Entry
	if e.Ballot = g.Ballot; m.state.Accepted.acceptedAfter(&e) {
		return
	}
	m.state.Promised, m.state.Accepted = g.Ballot, e
	m.host.Persist(m.state, func(err error) {
		if err == nil {
			m.reply(from, Message{Op: OpAccepted, Ballot: g.Ballot, Version: e.Version, Floor: m.state.Floor})
		}
	})
}

// refuse tells of the higher ballot that was promised.
func (m *Machine) sendReject(to lease.Node) {
	if to == m.self {
		m.onReject(m.state.Promised)
		return
	}
	m.host.Send(to, Message{Op: OpReject, Ballot: m.state.Promised})
}

// refused ends a term in which somebody with a higher ballot was heard.
func (m *Machine) onReject(by Ballot) {
	if m.ballot != (Ballot{}) && m.ballot.Less(by) {
		m.LeaseLost()
		m.host.StepDown()
	}
}

// say sends, or tells this machine itself.
func (m *Machine) reply(to lease.Node, g Message) {
	switch {
	case to != m.self:
		m.host.Send(to, g)
	case g.Op == OpPromise:
		m.onPromise(to, g)
	case g.Op == OpAccepted:
		m.onAccepted(to, g)
	}
}

// hearCommit takes the word of whoever writes. Who has not what counts says so by what it has.
func (m *Machine) onCommit(from lease.Node, g Message, now time.Duration) {
	if g.Ballot.Less(m.state.Promised) {
		m.sendReject(from)
		return
	}
	m.announcedVersion, m.announcedAt = g.Version, now
	has := uint64(0)
	if a := &m.state.Accepted; a.Ballot == g.Ballot && a.Version <= g.Version {
		m.commit(*a)
	}
	if m.state.Committed.Version == g.Version {
		has = g.Version
	}
	m.host.Send(from, Message{Op: OpCommitAck, Ballot: g.Ballot, Version: has, Floor: m.state.Floor})
}

// commit takes an entry that counts.
func (m *Machine) commit(e Entry) {
	if e.Version <= m.state.Committed.Version {
		return
	}
	m.state.Committed = e
	m.state.Floor = max(m.state.Floor, e.Version)
	m.host.Persist(m.state, func(error) {})
	m.host.VersionCommitted(e)
}

// learn fills an empty folder: only once all others have told what they know does the machine vote, as what it had promised and accepted
// before may be known to just one of them.
func (m *Machine) onLearned(from lease.Node, g Message) {
	if m.state.Joined || m.joining {
		return
	}
	m.learnAnswers[from] = g
	for _, o := range m.peers {
		if _, told := m.learnAnswers[o]; !told {
			return
		}
	}
	next := m.state
	next.Joined = true
	for _, g := range m.learnAnswers {
		if next.Promised.Less(g.Ballot) {
			next.Promised = g.Ballot
		}
		if g.Entry != nil && g.Entry.acceptedAfter(&next.Accepted) {
			next.Accepted = *g.Entry
		}
		if g.Committed != nil && g.Committed.Version > next.Committed.Version {
			next.Committed = *g.Committed
		}
	}
	m.joining = true
	m.host.Persist(next, func(err error) {
		if m.joining = false; err != nil {
			return
		}
		floor := m.state.Floor
		m.state = next
		m.state.Floor = max(floor, next.Floor)
		if next.Committed.Version > 0 {
			m.host.VersionCommitted(next.Committed)
		}
	})
}

// What a machine does as the one that writes.

// Gained begins a term. The machine asks what is known before it writes anything.
func (m *Machine) LeaseGained(number uint64) {
	m.ballot, m.promises, m.confirmedAt = Ballot{number, m.self}, make(map[lease.Node]Message), make(map[lease.Node]time.Duration)
	m.broadcast(Message{Op: OpPrepare, Ballot: m.ballot})
	m.onPrepare(m.self, Message{Op: OpPrepare, Ballot: m.ballot})
}

// Lost ends it. What is being written may be written yet, by whoever comes next.
func (m *Machine) LeaseLost() {
	m.ballot, m.promises, m.proposal, m.acceptedBy, m.confirmedAt = Ballot{}, nil, nil, nil, nil
	if p := m.activePublish; p != nil {
		m.activePublish = nil
		m.host.PublishDone(p.RequestID, Unknown, 0)
	}
	for _, p := range m.pendingPublishes {
		m.host.PublishDone(p.RequestID, NotWriter, 0)
	}
	m.pendingPublishes = nil
}

func (m *Machine) broadcast(g Message) {
	for _, o := range m.peers {
		m.host.Send(o, g)
	}
}

func (m *Machine) onPromise(from lease.Node, g Message) {
	if m.promises == nil || g.Ballot != m.ballot {
		return
	}
	m.promises[from] = g
	if len(m.promises) < m.majority {
		return
	}
	var newest Entry
	for _, g := range m.promises {
		if g.Entry != nil && g.Entry.acceptedAfter(&newest) {
			newest = *g.Entry
		}
	}
	if m.promises = nil; newest.Version > 0 {
		m.propose(newest)
	} else {
		m.announce()
	}
}

// write brings an entry to all.
func (m *Machine) propose(e Entry) {
	e.Ballot = m.ballot
	m.proposal, m.acceptedBy = &e, make(map[lease.Node]bool)
	m.broadcast(Message{Op: OpAccept, Ballot: m.ballot, Entry: &e})
	m.onAccept(m.self, Message{Op: OpAccept, Ballot: m.ballot, Entry: &e})
}

func (m *Machine) onAccepted(from lease.Node, g Message) {
	if m.proposal == nil || g.Ballot != m.ballot || g.Version != m.proposal.Version {
		return
	}
	if m.acceptedBy[from] = true; len(m.acceptedBy) < m.majority {
		return
	}
	e := *m.proposal
	m.proposal, m.acceptedBy = nil, nil
	m.commit(e)
	m.announce()
	if p := m.activePublish; p != nil {
		m.activePublish = nil
		m.host.PublishDone(p.RequestID, Published, e.Version)
	}
	m.publishNext()
}

// speak tells all what counts.
func (m *Machine) announce() {
	m.broadcast(Message{Op: OpCommit, Ballot: m.ballot, Version: m.state.Committed.Version, Floor: m.state.Floor})
}

// confirmed hears who follows. Who lacks what counts is given it.
func (m *Machine) onCommitAck(from lease.Node, g Message, now time.Duration) {
	if !m.IsWriter() || g.Ballot != m.ballot {
		return
	}
	m.confirmedAt[from] = now
	if e := m.state.Committed; g.Version < e.Version && e.Ballot == m.ballot && m.proposal == nil {
		m.host.Send(from, Message{Op: OpAccept, Ballot: m.ballot, Entry: &e})
	}
	m.publishNext()
}

// Publish takes a text in. It is answered at once or when it is decided.
func (m *Machine) Publish(p PublishRequest) {
	if !m.IsWriter() {
		m.host.PublishDone(p.RequestID, NotWriter, 0)
	} else if len(m.pendingPublishes) >= maxPendingPublishes {
		m.host.PublishDone(p.RequestID, Busy, 0)
	} else {
		m.pendingPublishes = append(m.pendingPublishes, p)
		m.publishNext()
	}
}

// goOn writes the next publication, once nothing is being written. Where drivers have had a newer version than any that the machines know,
// as these have lost their folders, what counts is written anew above that: else those drivers would never take it.
func (m *Machine) publishNext() {
	for m.IsWriter() && m.proposal == nil {
		newest := m.state.Committed
		following := max(newest.Version, m.state.Floor) + 1
		if newest.Version > 0 && m.state.Floor > newest.Version {
			m.propose(Entry{Version: following, Text: newest.Text, Recent: newest.Recent})
			return
		}
		if len(m.pendingPublishes) == 0 {
			return
		}
		p := m.pendingPublishes[0]
		m.pendingPublishes = m.pendingPublishes[1:]
		switch was := newest.publishedVersion(p.PublicationID); {
		case was > 0:
			m.host.PublishDone(p.RequestID, Published, was)
		case p.BaseVersion != newest.Version:
			m.host.PublishDone(p.RequestID, Outdated, newest.Version)
		case following == 0:
			m.host.PublishDone(p.RequestID, Exhausted, 0)
		default:
			recent := append(slices.Clone(newest.Recent), Publication{p.PublicationID, following})
			m.activePublish = &p
			m.propose(Entry{Version: following, Text: p.Text, Recent: recent[max(0, len(recent)-maxRecentPublications):]})
		}
	}
}

// Wake does again, every Beat, what may have been lost.
func (m *Machine) Tick() {
	switch {
	case !m.state.Joined:
		if !m.joining {
			m.broadcast(Message{Op: OpLearn, Floor: m.state.Floor})
		}
	case m.ballot == Ballot{}:
	case m.promises != nil:
		for _, o := range append([]lease.Node{m.self}, m.peers...) {
			if _, told := m.promises[o]; told {
				continue
			}
			if g := (Message{Op: OpPrepare, Ballot: m.ballot}); o == m.self {
				m.onPrepare(o, g)
			} else {
				m.host.Send(o, g)
			}
		}
	default:
		m.announce()
		if m.proposal == nil {
			return
		}
		for _, o := range append([]lease.Node{m.self}, m.peers...) {
			if m.acceptedBy[o] {
				continue
			}
			if g := (Message{Op: OpAccept, Ballot: m.ballot, Entry: m.proposal}); o == m.self {
				m.onAccept(o, g)
			} else {
				m.host.Send(o, g)
			}
		}
	}
}
