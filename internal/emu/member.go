// Package emu models the systems that a driver talks to: members with queues, logs and faults, groups that elect a
// primary, and a record of events from which the rules are checked. The models depend on events and times only, so the
// same code runs behind simulated and real sockets.
package emu

import (
	"math"
	"time"

	"passtack/driver"
	"passtack/internal/linkedlist"
	"passtack/internal/pcg"
)

// Timer is the clock and scheduler of the models.
type Timer interface {
	Now() time.Duration
	At(at time.Duration, action func())
}

// MemberSpec describes the capacity and behaviour of a member.
type MemberSpec struct {
	Cores          int
	Queue          int           // attempts that may wait; further ones are rejected
	ColdShare      float64       // part of its capacity that a member has right after a start
	WarmUp         time.Duration // time from a start to full capacity
	ColdMultiple   float64       // of the current capacity: a cold member that is sent more than this within OverloadWindow crashes
	OverloadWindow time.Duration
	MaxReadWait    time.Duration // longest time that a read waits for the log before it is rejected
	LogDelay       time.Duration // time for a log entry to reach a replica
	ApplyTime      time.Duration // time to apply one log entry; a replica applies them in one thread
	DedupWindow    time.Duration // in which the group drops writes with a token that has run

	Handshake      time.Duration // work for a new connection
	MaxConnections int           // 0: no limit
	ServesStale    bool          // answers reads from its current data, however old
	Lies           bool          // reports a position that it has not reached
}

// Job is one attempt at a member.
type Job struct {
	RPC             string
	Token           string // empty: none
	Write           bool
	Session         bool          // must see all writes up to After
	After           time.Duration // position; 0: any
	Work            time.Duration // on one core of an idle, warm member
	OpensConnection bool          // a handshake, with no request
	Done            func(Result)  // called once, unless the member dies; never from within Submit

	arrivedAt time.Duration
	element   linkedlist.Element[*Job]
	started   bool
	cancelled bool
}

// Result is a member's answer to an attempt.
type Result struct {
	Outcome          driver.Outcome // OK, Misdirected, Full or Failed
	ReportedPosition time.Duration  // as the member reports it
	ActualPosition   time.Duration  // as it really is
	Role             driver.Role
	Load             float64 // busy part of the cores, 0 to 1
	Effect           bool    // the attempt had an effect; false for a dropped repeat
}

// Member is one process.
type Member struct {
	Name          string
	Spec          MemberSpec
	Group         *Group
	Slowdown      float64 // factor on the duration of work; 1: normal
	StolenCPU     float64 // part of the cores that other processes on the machine take
	ApplySlowdown float64 // factor on the duration of applying the log
	timer         Timer
	rng           *pcg.Source
	started       time.Duration // LongAgo: warm
	role          driver.Role
	up            bool
	draining      bool
	overloaded    bool
	pausedUntil   time.Duration // the process is suspended until then
	busy          int
	waiting       linkedlist.List[*Job]
	applied       time.Duration // position, while the member is a replica
	applierFreeAt time.Duration // when the applying thread is free
	recentWork    float64       // seconds of work in the last OverloadWindow, decaying exponentially
	recentWorkAt  time.Duration
	incarnation   int // number of starts and stops; events scheduled in an earlier one are ignored
}

// NewMember returns a warm member that is up.
func NewMember(name string, spec MemberSpec, t Timer, rng *pcg.Source) *Member {
	return &Member{Name: name, Spec: spec, Slowdown: 1, ApplySlowdown: 1, timer: t, rng: rng, started: driver.LongAgo, up: true}
}

// Up reports whether the member runs.
func (m *Member) Up() bool { return m.up }

// Overloaded reports whether the member crashed because it was overloaded while cold.
func (m *Member) Overloaded() bool { return m.overloaded }

// Draining reports whether the member finishes its work and takes nothing new.
func (m *Member) Draining() bool { return m.draining }

// Role returns the role that the member claims.
func (m *Member) Role() driver.Role { return m.role }

// Started returns the time of the last start, LongAgo for a member that was up from the beginning.
func (m *Member) Started() time.Duration { return m.started }

// Capacity returns the available part of the cores' full speed.
func (m *Member) Capacity() float64 {
	warmth := 1.0
	if age := m.timer.Now() - m.started; m.started != driver.LongAgo && age < m.Spec.WarmUp {
		warmth = m.Spec.ColdShare + (1-m.Spec.ColdShare)*float64(age)/float64(m.Spec.WarmUp)
	}
	return warmth * (1 - m.StolenCPU) / max(m.Slowdown, 0.01)
}

// Load returns the busy part of the cores.
func (m *Member) Load() float64 { return float64(m.busy) / float64(m.Spec.Cores) }

// Position returns the position up to which the member has the log.
func (m *Member) Position() time.Duration {
	if m.role == driver.Primary {
		return m.timer.Now()
	}
	return m.Group.applyLog(m)
}

// Submit hands an attempt to the member and reports whether it was taken: a member that is down takes none.
func (m *Member) Submit(j *Job) bool {
	if !m.up {
		return false
	}
	j.element.Value, j.arrivedAt = j, m.timer.Now()
	m.recordWork(j)
	if !m.up {
		return false
	}
	switch {
	case m.busy >= m.Spec.Cores && m.waiting.Len() >= m.Spec.Queue, m.draining && m.role == driver.Unknown:
		m.respond(j, driver.Full, false)
	case j.Write && m.role != driver.Primary:
		m.respond(j, driver.Misdirected, false)
	case !j.Write && !j.OpensConnection && !m.Spec.ServesStale && j.After > m.Position():
		m.waitForLog(j, m.timer.Now()+m.Spec.MaxReadWait)
	default:
		m.enqueue(j)
	}
	return true
}

// recordWork updates the sum of recent work, and crashes a cold member that was sent too much of it.
func (m *Member) recordWork(j *Job) {
	now := m.timer.Now()
	m.recentWork = m.recentWork*math.Exp(-float64(now-m.recentWorkAt)/float64(m.Spec.OverloadWindow)) + j.Work.Seconds()
	m.recentWorkAt = now
	cold := m.started != driver.LongAgo && now-m.started < m.Spec.WarmUp
	if cold && m.recentWork > m.coldCapacity() {
		m.overloaded = true
		m.Kill()
	}
}

// coldCapacity returns the seconds of work that a cold member can take within OverloadWindow.
func (m *Member) coldCapacity() float64 {
	return m.Spec.ColdMultiple * m.Capacity() * float64(m.Spec.Cores) * m.Spec.OverloadWindow.Seconds()
}

// ColdLoad returns the recent work of a cold member as a part of its cold capacity, and 0 for a warm one.
func (m *Member) ColdLoad() float64 {
	if now := m.timer.Now(); m.up && m.started != driver.LongAgo && now-m.started < m.Spec.WarmUp {
		return m.recentWork / m.coldCapacity()
	}
	return 0
}

// waitForLog holds a read until the log has reached the position that it needs.
func (m *Member) waitForLog(j *Job, until time.Duration) {
	incarnation := m.incarnation
	m.timer.At(min(m.timer.Now()+2*time.Millisecond, until), func() {
		switch {
		case m.incarnation != incarnation || j.cancelled:
		case j.After <= m.Position():
			m.enqueue(j)
		case m.timer.Now() >= until:
			m.respond(j, driver.Misdirected, false)
		default:
			m.waitForLog(j, until)
		}
	})
}

func (m *Member) enqueue(j *Job) {
	if m.busy < m.Spec.Cores {
		m.run(j)
		return
	}
	m.waiting.PushBack(&j.element)
}

func (m *Member) run(j *Job) {
	m.busy++
	j.started = true
	m.scheduleEnd(j, m.timer.Now()+time.Duration(float64(j.Work)/max(m.Capacity(), 0.001)))
}

// scheduleEnd completes the work at the given time, plus the time for which the member is paused until then.
func (m *Member) scheduleEnd(j *Job, at time.Duration) {
	incarnation, before := m.incarnation, m.timer.Now()
	m.timer.At(at, func() {
		if m.incarnation != incarnation {
			return
		}
		if now := m.timer.Now(); now < m.pausedUntil {
			m.scheduleEnd(j, m.pausedUntil+max(0, at-max(before, now)))
			return
		}
		m.busy--
		m.complete(j)
		if next := m.waiting.Front(); next != nil {
			next.Remove()
			m.run(next.Value)
		}
	})
}

func (m *Member) complete(j *Job) {
	effect := false
	if j.Write {
		if m.role != driver.Primary { // the member has lost the role since the write arrived
			m.respond(j, driver.Misdirected, false)
			return
		}
		effect = m.Group.commit(m, j)
	}
	m.respond(j, driver.OK, effect)
}

// respond answers an attempt in an event of its own, after the end of a pause.
func (m *Member) respond(j *Job, how driver.Outcome, effect bool) {
	if j.cancelled && how != driver.OK {
		return
	}
	r := Result{how, m.Position(), m.Position(), m.role, m.Load(), effect}
	if m.Spec.Lies {
		r.ReportedPosition = m.timer.Now()
	}
	incarnation := m.incarnation
	m.timer.At(max(m.timer.Now(), m.pausedUntil), func() {
		if m.incarnation == incarnation {
			j.Done(r)
		}
	})
}

// Cancel gives up an attempt that its driver has abandoned: waiting work is dropped, running work goes on.
func (m *Member) Cancel(j *Job) {
	j.cancelled = true
	if !j.started {
		j.element.Remove()
	}
}

// Pause suspends the process.
func (m *Member) Pause(until time.Duration) { m.pausedUntil = max(m.pausedUntil, until) }

// Paused reports whether the process is suspended.
func (m *Member) Paused() bool { return m.timer.Now() < m.pausedUntil }

// Drain lets the member finish its work and hand its role over.
func (m *Member) Drain() {
	m.draining = true
	m.Group.handOver(m)
}

// Kill ends the process and drops all its work.
func (m *Member) Kill() {
	m.up, m.busy, m.waiting = false, 0, linkedlist.List[*Job]{}
	m.incarnation++
	m.demote(m.timer.Now())
	m.Group.memberLost(m)
}

// demote makes the member a replica that has the log up to the given time.
func (m *Member) demote(at time.Duration) {
	if m.role == driver.Primary {
		m.applied = at
	}
	m.role, m.applierFreeAt = driver.Replica, m.timer.Now()
}

// Start starts the process again, cold, with the log up to its last position, or from a copy of the given age.
func (m *Member) Start(copyAge time.Duration) {
	now := m.timer.Now()
	m.up, m.draining, m.overloaded, m.started, m.pausedUntil, m.recentWork = true, false, false, now, 0, 0
	m.incarnation++
	m.role, m.applierFreeAt = driver.Replica, now
	if copyAge > 0 {
		m.applied = min(m.applied, now-copyAge)
	}
}
