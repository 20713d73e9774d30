// Package emu models what a driver meets: members with their queues, logs and troubles, groups that elect, and a record
// from which the rules are checked. It decides by events and times only, so that the same models stand behind simulated
// and real sockets.
package emu

import (
	"math"
	"time"

	"passtack/driver"
	"passtack/internal/linkedlist"
	"passtack/internal/pcg"
)

// Timer is where the models get their time from.
type Timer interface {
	Now() time.Duration
	At(at time.Duration, act func())
}

// Build is what a member is made of.
type Build struct {
	Cores    int
	Queue    int           // attempts that may wait; more are turned away
	Cold     float64       // part of its capacity that it has right after a start
	Warm     time.Duration // after a start until it has all of it
	Multiple float64       // of what it can do at that moment: more sent within Tips tips it over while it is cold
	Tips     time.Duration
	Patience time.Duration // a read too far ahead waits so long and is then turned away
	Delay    time.Duration // of the log on its way to a replica
	Apply    time.Duration // of one commit by the one thread that applies
	Window   time.Duration // in which its group drops repeats

	Handshake   time.Duration // work of a new connection
	Connections int           // that it holds at most, 0: as many as come
	Blind       bool          // it answers reads from what it has, however old
	Lies        bool          // it tells a position that it has not reached
}

// Job is one attempt as a member gets it.
type Job struct {
	RPC     string
	Token   string // "": it has none
	Write   bool
	Session bool          // must see what was committed up to After
	After   time.Duration // position, 0: any
	Work    time.Duration // on a core of an idle, warm member
	Hello   bool          // it opens a connection and asks for nothing
	Done    func(Result)  // called once, unless the member dies; never at once

	came  time.Duration
	place linkedlist.Element[*Job]
	began bool
	gone  bool
}

// Result is what the member says.
type Result struct {
	How      driver.Outcome // OK, Miss, Full or Failed
	Position time.Duration  // as it is told
	Truth    time.Duration  // as it is
	Role     driver.Role
	Load     float64 // how busy its cores are, 0 to 1
	Effect   bool    // it had an effect now, which a dropped repeat has not
}

// Member is one process.
type Member struct {
	Name    string
	Build   Build
	Group   *Group
	Slow    float64 // how many times longer work takes, 1: as usual
	Theft   float64 // part of the cores that others on the machine take
	Lagging float64 // how many times longer the log takes to be applied
	timer   Timer
	chance  *pcg.Source
	started time.Duration // LongAgo: warm
	role    driver.Role
	up      bool
	drains  bool
	tipped  bool
	paused  time.Duration // until when it stands still
	busy    int
	waiting linkedlist.List[*Job]
	applied time.Duration // position, while it is a replica
	thread  time.Duration // when the thread that applies is free
	sent    float64       // seconds of work of the last Tips, fading
	sentAt  time.Duration
	life    int // counts starts: what belongs to an earlier one is void
}

// NewMember makes one that has been up for long.
func NewMember(name string, b Build, t Timer, chance *pcg.Source) *Member {
	return &Member{Name: name, Build: b, Slow: 1, Lagging: 1, timer: t, chance: chance, started: driver.LongAgo, up: true}
}

// Up reports whether the member runs.
func (m *Member) Up() bool { return m.up }

// Tipped reports whether the member was overloaded while it was cold and has fallen.
func (m *Member) Tipped() bool { return m.tipped }

// Drains reports whether the member finishes what it has and takes nothing new.
func (m *Member) Drains() bool { return m.drains }

// Role is what it takes itself for.
func (m *Member) Role() driver.Role { return m.role }

// Started tells when it started, LongAgo where that is long ago.
func (m *Member) Started() time.Duration { return m.started }

// Capacity is the part of its cores' speed that it has at the moment.
func (m *Member) Capacity() float64 {
	warmth := 1.0
	if age := m.timer.Now() - m.started; m.started != driver.LongAgo && age < m.Build.Warm {
		warmth = m.Build.Cold + (1-m.Build.Cold)*float64(age)/float64(m.Build.Warm)
	}
	return warmth * (1 - m.Theft) / max(m.Slow, 0.01)
}

// Load is how busy its cores are.
func (m *Member) Load() float64 { return float64(m.busy) / float64(m.Build.Cores) }

// Position is up to where it has the log.
func (m *Member) Position() time.Duration {
	if m.role == driver.Primary {
		return m.timer.Now()
	}
	return m.Group.seenBy(m)
}

// Take gets an attempt. It says whether it was taken at all: a member that is down takes none.
func (m *Member) Take(j *Job) bool {
	if !m.up {
		return false
	}
	j.place.Value, j.came = j, m.timer.Now()
	m.tip(j)
	if !m.up {
		return false
	}
	switch {
	case m.busy >= m.Build.Cores && m.waiting.Len() >= m.Build.Queue, m.drains && m.role == driver.Unknown:
		m.say(j, driver.Full, false)
	case j.Write && m.role != driver.Primary:
		m.say(j, driver.Misdirected, false)
	case !j.Write && !j.Hello && !m.Build.Blind && j.After > m.Position():
		m.wait(j, m.timer.Now()+m.Build.Patience)
	default:
		m.queue(j)
	}
	return true
}

// tip keeps the sum of what came lately, and lets a cold member fall that got too much of it.
func (m *Member) tip(j *Job) {
	now := m.timer.Now()
	m.sent = m.sent*math.Exp(-float64(now-m.sentAt)/float64(m.Build.Tips)) + j.Work.Seconds()
	m.sentAt = now
	cold := m.started != driver.LongAgo && now-m.started < m.Build.Warm
	if cold && m.sent > m.room() {
		m.tipped = true
		m.Die()
	}
}

// room is the work that it bears within Tips while it is cold.
func (m *Member) room() float64 {
	return m.Build.Multiple * m.Capacity() * float64(m.Build.Cores) * m.Build.Tips.Seconds()
}

// ColdPart is how much of what it bears it was sent lately, 0 once it is warm.
func (m *Member) ColdPart() float64 {
	if now := m.timer.Now(); m.up && m.started != driver.LongAgo && now-m.started < m.Build.Warm {
		return m.sent / m.room()
	}
	return 0
}

// wait holds a read until the log has come as far as it needs.
func (m *Member) wait(j *Job, until time.Duration) {
	life := m.life
	m.timer.At(min(m.timer.Now()+2*time.Millisecond, until), func() {
		switch {
		case m.life != life || j.gone:
		case j.After <= m.Position():
			m.queue(j)
		case m.timer.Now() >= until:
			m.say(j, driver.Misdirected, false)
		default:
			m.wait(j, until)
		}
	})
}

func (m *Member) queue(j *Job) {
	if m.busy < m.Build.Cores {
		m.begin(j)
		return
	}
	m.waiting.PushBack(&j.place)
}

func (m *Member) begin(j *Job) {
	m.busy++
	j.began = true
	m.finish(j, m.timer.Now()+time.Duration(float64(j.Work)/max(m.Capacity(), 0.001)))
}

// finish ends the work at the time; what a pause takes is added.
func (m *Member) finish(j *Job, at time.Duration) {
	life, before := m.life, m.timer.Now()
	m.timer.At(at, func() {
		if m.life != life {
			return
		}
		if now := m.timer.Now(); now < m.paused {
			m.finish(j, m.paused+max(0, at-max(before, now)))
			return
		}
		m.busy--
		m.end(j)
		if next := m.waiting.Front(); next != nil {
			next.Remove()
			m.begin(next.Value)
		}
	})
}

func (m *Member) end(j *Job) {
	effect := false
	if j.Write {
		if m.role != driver.Primary { // it has lost the role meanwhile
			m.say(j, driver.Misdirected, false)
			return
		}
		effect = m.Group.commit(m, j)
	}
	m.say(j, driver.OK, effect)
}

// say answers an attempt, in a moment of its own.
func (m *Member) say(j *Job, how driver.Outcome, effect bool) {
	if j.gone && how != driver.OK {
		return
	}
	r := Result{how, m.Position(), m.Position(), m.role, m.Load(), effect}
	if m.Build.Lies {
		r.Position = m.timer.Now()
	}
	life := m.life
	m.timer.At(max(m.timer.Now(), m.paused), func() {
		if m.life == life {
			j.Done(r)
		}
	})
}

// Drop lets an attempt go whose driver has given it up: waiting work is dropped, running work goes on.
func (m *Member) Drop(j *Job) {
	j.gone = true
	if !j.began {
		j.place.Remove()
	}
}

// Pause lets the process stand still.
func (m *Member) Pause(until time.Duration) { m.paused = max(m.paused, until) }

// Paused tells whether it stands still.
func (m *Member) Paused() bool { return m.timer.Now() < m.paused }

// Drain lets it finish what it has and hand its role over.
func (m *Member) Drain() {
	m.drains = true
	m.Group.handOver(m)
}

// Die ends the process; whatever it held is gone.
func (m *Member) Die() {
	m.up, m.busy, m.waiting = false, 0, linkedlist.List[*Job]{}
	m.life++
	m.yield(m.timer.Now())
	m.Group.lost(m)
}

// yield ends its role; it has the log up to then.
func (m *Member) yield(at time.Duration) {
	if m.role == driver.Primary {
		m.applied = at
	}
	m.role, m.thread = driver.Replica, m.timer.Now()
}

// Start lets it come back, cold, with the log up to where it had it, or that of a copy so old.
func (m *Member) Start(copyAge time.Duration) {
	now := m.timer.Now()
	m.up, m.drains, m.tipped, m.started, m.paused, m.sent = true, false, false, now, 0, 0
	m.life++
	m.role, m.thread = driver.Replica, now
	if copyAge > 0 {
		m.applied = min(m.applied, now-copyAge)
	}
}
