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
	Elsewhere Outcome = "elsewhere" // another machine writes, or nobody does for now; nothing was written
	Unknown   Outcome = "unknown"   // it may be written yet: to publish it again under the same number tells
	Busy      Outcome = "busy"      // too many at once
	Exhausted Outcome = "exhausted" // there is no higher version
)

// Publish is one text that is to become the next version.
type Publish struct {
	Ticket uint64 // the host's name for it
	ID     uint64 // its publisher's, the same for each try
	Base   uint64 // the version that it was made from
	Text   string
}

// Host is what a machine acts through.
type Host interface {
	Send(to lease.Node, m Message)
	// Keep brings the state to the disk and calls then, in the order of the calls.
	Keep(s State, then func(error))
	// Newest is called when a newer version is known to count.
	Newest(e Entry)
	// Answer tells what became of a publication, once for each.
	Answer(ticket uint64, o Outcome, version uint64)
	// Outlived tells that another machine has heard of such a life of this one: unless its own is as late, it needs a later one.
	Outlived(life uint64)
	// StepDown gives the lease back: somebody with a higher number was heard.
	StepDown()
}

// Machine is one control machine.
type Machine struct {
	host   Host
	me     lease.Node
	others []lease.Node
	lives  map[lease.Node]uint64 // the latest that was heard of each other
	state  State

	learned map[lease.Node]Message // answers to an empty folder, of this life
	joining bool
	told    uint64        // the newest version that whoever writes has said to count
	toldAt  time.Duration // when it said anything last

	ballot   Ballot                 // zero: this one does not write
	promises map[lease.Node]Message // nil: they are in
	writing  *Entry
	wrote    map[lease.Node]bool
	heard    map[lease.Node]time.Duration // when others last confirmed the ballot
	inHand   *Publish                     // that is being written
	waiting  []Publish

	majority int
}

// New makes a machine that has just started with what is on its disk. Of its peers each has a name of its own.
func New(host Host, me lease.Node, others []lease.Node, kept State) *Machine {
	m := &Machine{host: host, me: me, others: others, lives: make(map[lease.Node]uint64), state: kept, learned: make(map[lease.Node]Message),
		toldAt: -Quiet, majority: (len(others)+1)/2 + 1}
	return m
}

// Joined tells whether the machine votes, and so may ask for the lease.
func (m *Machine) Joined() bool { return m.state.Joined }

// Writes tells whether this is the machine that writes.
func (m *Machine) Writes() bool { return m.ballot != Ballot{} && m.promises == nil }

// Newest is the newest version that counts, as far as it knows.
func (m *Machine) Newest() Entry { return m.state.Committed }

// Fresh tells whether it may say of a version that no newer one counts: it heard so from whoever writes, or as whoever writes from a
// majority, a moment ago.
func (m *Machine) Fresh(now time.Duration) bool {
	if !m.Writes() {
		return m.state.Joined && now-m.toldAt < Quiet && m.state.Committed.Version >= m.told
	}
	confirmed := 1
	for _, at := range m.heard {
		if now-at < Quiet {
			confirmed++
		}
	}
	return confirmed >= m.majority
}

// Take hears another machine in one of its lives. What comes late of an earlier one is not heard; where a clock that was set back makes a
// machine's lives go down, it is told so.
func (m *Machine) Take(from lease.Node, life uint64, g Message, now time.Duration) {
	switch known := m.lives[from]; {
	case !slices.Contains(m.others, from):
		return
	case life < known:
		m.host.Send(from, Message{Op: Outlived, Version: known})
		return
	case life > known:
		m.lives[from] = life
		m.forget(from)
	}
	m.raise(g.Floor)
	switch g.Op {
	case Prepare:
		m.prepare(from, g)
	case Accept:
		m.accept(from, g)
	case Commit:
		m.hearCommit(from, g, now)
	case Refuse:
		m.refused(g.Ballot)
	case Promise:
		m.promised(from, g)
	case Accepted:
		m.accepted(from, g)
	case Heard:
		m.confirmed(from, g, now)
	case Learn:
		m.host.Send(from, Message{Op: Learned, Ballot: m.state.Promised, Joined: m.state.Joined, Floor: m.state.Floor, Entry: copied(m.state.Accepted), Committed: copied(m.state.Committed)})
	case Learned:
		m.learn(from, g)
	case Outlived:
		m.host.Outlived(g.Version)
	}
}

func copied(e Entry) *Entry {
	if e.Version == 0 {
		return nil
	}
	return &e
}

// forget takes back what an earlier life of a machine has said: its folder may be empty now. What a majority had said already counts, as one
// of those others tells the new life before that votes.
func (m *Machine) forget(of lease.Node) {
	delete(m.learned, of)
	delete(m.heard, of)
	delete(m.promises, of)
	delete(m.wrote, of)
}

// raise notes the newest version that some driver has had.
func (m *Machine) raise(floor uint64) {
	if floor > m.state.Floor && floor <= max(m.state.Floor, m.state.Committed.Version)+mostAhead {
		m.state.Floor = floor
		m.host.Keep(m.state, func(error) {})
	}
}

// Ahead tells of a driver that has a version; false: it cannot be one of this fleet.
func (m *Machine) Ahead(version uint64) bool {
	m.raise(version)
	return version <= max(m.state.Floor, m.state.Committed.Version)
}

// What a machine does as one of those who vote.

func (m *Machine) prepare(from lease.Node, g Message) {
	if !m.state.Joined {
		return
	}
	if g.Ballot.Less(m.state.Promised) {
		m.refuse(from)
		return
	}
	m.state.Promised = g.Ballot
	m.host.Keep(m.state, func(err error) {
		if err == nil && m.state.Promised == g.Ballot {
			m.say(from, Message{Op: Promise, Ballot: g.Ballot, Floor: m.state.Floor, Entry: copied(m.state.Accepted), Committed: copied(m.state.Committed)})
		}
	})
}

func (m *Machine) accept(from lease.Node, g Message) {
	if !m.state.Joined || g.Entry == nil {
		return
	}
	if g.Ballot.Less(m.state.Promised) {
		m.refuse(from)
		return
	}
	e := *g.Entry
	if e.Ballot = g.Ballot; m.state.Accepted.newer(&e) {
		return
	}
	m.state.Promised, m.state.Accepted = g.Ballot, e
	m.host.Keep(m.state, func(err error) {
		if err == nil {
			m.say(from, Message{Op: Accepted, Ballot: g.Ballot, Version: e.Version, Floor: m.state.Floor})
		}
	})
}

// refuse tells of the higher ballot that was promised.
func (m *Machine) refuse(to lease.Node) {
	if to == m.me {
		m.refused(m.state.Promised)
		return
	}
	m.host.Send(to, Message{Op: Refuse, Ballot: m.state.Promised})
}

// refused ends a term in which somebody with a higher ballot was heard.
func (m *Machine) refused(by Ballot) {
	if m.ballot != (Ballot{}) && m.ballot.Less(by) {
		m.Lost()
		m.host.StepDown()
	}
}

// say sends, or tells this machine itself.
func (m *Machine) say(to lease.Node, g Message) {
	switch {
	case to != m.me:
		m.host.Send(to, g)
	case g.Op == Promise:
		m.promised(to, g)
	case g.Op == Accepted:
		m.accepted(to, g)
	}
}

// hearCommit takes the word of whoever writes. Who has not what counts says so by what it has.
func (m *Machine) hearCommit(from lease.Node, g Message, now time.Duration) {
	if g.Ballot.Less(m.state.Promised) {
		m.refuse(from)
		return
	}
	m.told, m.toldAt = g.Version, now
	has := uint64(0)
	if a := &m.state.Accepted; a.Ballot == g.Ballot && a.Version <= g.Version {
		m.commit(*a)
	}
	if m.state.Committed.Version == g.Version {
		has = g.Version
	}
	m.host.Send(from, Message{Op: Heard, Ballot: g.Ballot, Version: has, Floor: m.state.Floor})
}

// commit takes an entry that counts.
func (m *Machine) commit(e Entry) {
	if e.Version <= m.state.Committed.Version {
		return
	}
	m.state.Committed = e
	m.state.Floor = max(m.state.Floor, e.Version)
	m.host.Keep(m.state, func(error) {})
	m.host.Newest(e)
}

// learn fills an empty folder: only once all others have told what they know does the machine vote, as what it had promised and accepted
// before may be known to just one of them.
func (m *Machine) learn(from lease.Node, g Message) {
	if m.state.Joined || m.joining {
		return
	}
	m.learned[from] = g
	for _, o := range m.others {
		if _, told := m.learned[o]; !told {
			return
		}
	}
	next := m.state
	next.Joined = true
	for _, g := range m.learned {
		if next.Promised.Less(g.Ballot) {
			next.Promised = g.Ballot
		}
		if g.Entry != nil && g.Entry.newer(&next.Accepted) {
			next.Accepted = *g.Entry
		}
		if g.Committed != nil && g.Committed.Version > next.Committed.Version {
			next.Committed = *g.Committed
		}
	}
	m.joining = true
	m.host.Keep(next, func(err error) {
		if m.joining = false; err != nil {
			return
		}
		floor := m.state.Floor
		m.state = next
		m.state.Floor = max(floor, next.Floor)
		if next.Committed.Version > 0 {
			m.host.Newest(next.Committed)
		}
	})
}

// What a machine does as the one that writes.

// Gained begins a term. The machine asks what is known before it writes anything.
func (m *Machine) Gained(number uint64) {
	m.ballot, m.promises, m.heard = Ballot{number, m.me}, make(map[lease.Node]Message), make(map[lease.Node]time.Duration)
	m.toAll(Message{Op: Prepare, Ballot: m.ballot})
	m.prepare(m.me, Message{Op: Prepare, Ballot: m.ballot})
}

// Lost ends it. What is being written may be written yet, by whoever comes next.
func (m *Machine) Lost() {
	m.ballot, m.promises, m.writing, m.wrote, m.heard = Ballot{}, nil, nil, nil, nil
	if p := m.inHand; p != nil {
		m.inHand = nil
		m.host.Answer(p.Ticket, Unknown, 0)
	}
	for _, p := range m.waiting {
		m.host.Answer(p.Ticket, Elsewhere, 0)
	}
	m.waiting = nil
}

func (m *Machine) toAll(g Message) {
	for _, o := range m.others {
		m.host.Send(o, g)
	}
}

func (m *Machine) promised(from lease.Node, g Message) {
	if m.promises == nil || g.Ballot != m.ballot {
		return
	}
	m.promises[from] = g
	if len(m.promises) < m.majority {
		return
	}
	var newest Entry
	for _, g := range m.promises {
		if g.Entry != nil && g.Entry.newer(&newest) {
			newest = *g.Entry
		}
	}
	if m.promises = nil; newest.Version > 0 {
		m.write(newest)
	} else {
		m.speak()
	}
}

// write brings an entry to all.
func (m *Machine) write(e Entry) {
	e.Ballot = m.ballot
	m.writing, m.wrote = &e, make(map[lease.Node]bool)
	m.toAll(Message{Op: Accept, Ballot: m.ballot, Entry: &e})
	m.accept(m.me, Message{Op: Accept, Ballot: m.ballot, Entry: &e})
}

func (m *Machine) accepted(from lease.Node, g Message) {
	if m.writing == nil || g.Ballot != m.ballot || g.Version != m.writing.Version {
		return
	}
	if m.wrote[from] = true; len(m.wrote) < m.majority {
		return
	}
	e := *m.writing
	m.writing, m.wrote = nil, nil
	m.commit(e)
	m.speak()
	if p := m.inHand; p != nil {
		m.inHand = nil
		m.host.Answer(p.Ticket, Published, e.Version)
	}
	m.goOn()
}

// speak tells all what counts.
func (m *Machine) speak() {
	m.toAll(Message{Op: Commit, Ballot: m.ballot, Version: m.state.Committed.Version, Floor: m.state.Floor})
}

// confirmed hears who follows. Who lacks what counts is given it.
func (m *Machine) confirmed(from lease.Node, g Message, now time.Duration) {
	if !m.Writes() || g.Ballot != m.ballot {
		return
	}
	m.heard[from] = now
	if e := m.state.Committed; g.Version < e.Version && e.Ballot == m.ballot && m.writing == nil {
		m.host.Send(from, Message{Op: Accept, Ballot: m.ballot, Entry: &e})
	}
	m.goOn()
}

// Publish takes a text in. It is answered at once or when it is decided.
func (m *Machine) Publish(p Publish) {
	if !m.Writes() {
		m.host.Answer(p.Ticket, Elsewhere, 0)
	} else if len(m.waiting) >= mostWaiting {
		m.host.Answer(p.Ticket, Busy, 0)
	} else {
		m.waiting = append(m.waiting, p)
		m.goOn()
	}
}

// goOn writes the next publication, once nothing is being written. Where drivers have had a newer version than any that the machines know,
// as these have lost their folders, what counts is written anew above that: else those drivers would never take it.
func (m *Machine) goOn() {
	for m.Writes() && m.writing == nil {
		newest := m.state.Committed
		following := max(newest.Version, m.state.Floor) + 1
		if newest.Version > 0 && m.state.Floor > newest.Version {
			m.write(Entry{Version: following, Text: newest.Text, Recent: newest.Recent})
			return
		}
		if len(m.waiting) == 0 {
			return
		}
		p := m.waiting[0]
		m.waiting = m.waiting[1:]
		switch was := newest.published(p.ID); {
		case was > 0:
			m.host.Answer(p.Ticket, Published, was)
		case p.Base != newest.Version:
			m.host.Answer(p.Ticket, Outdated, newest.Version)
		case following == 0:
			m.host.Answer(p.Ticket, Exhausted, 0)
		default:
			recent := append(slices.Clone(newest.Recent), Publication{p.ID, following})
			m.inHand = &p
			m.write(Entry{Version: following, Text: p.Text, Recent: recent[max(0, len(recent)-mostRecent):]})
		}
	}
}

// Wake does again, every Beat, what may have been lost.
func (m *Machine) Wake() {
	switch {
	case !m.state.Joined:
		if !m.joining {
			m.toAll(Message{Op: Learn, Floor: m.state.Floor})
		}
	case m.ballot == Ballot{}:
	case m.promises != nil:
		for _, o := range append([]lease.Node{m.me}, m.others...) {
			if _, told := m.promises[o]; told {
				continue
			}
			if g := (Message{Op: Prepare, Ballot: m.ballot}); o == m.me {
				m.prepare(o, g)
			} else {
				m.host.Send(o, g)
			}
		}
	default:
		m.speak()
		if m.writing == nil {
			return
		}
		for _, o := range append([]lease.Node{m.me}, m.others...) {
			if m.wrote[o] {
				continue
			}
			if g := (Message{Op: Accept, Ballot: m.ballot, Entry: m.writing}); o == m.me {
				m.accept(o, g)
			} else {
				m.host.Send(o, g)
			}
		}
	}
}
