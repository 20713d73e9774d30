// Package loop is the one loop of the program: it waits for sockets and due times and serves each in turn.
// All that it serves runs on its goroutine and nothing there may block.
package loop

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"passtack/internal/due"
	"passtack/internal/slots"
)

// source is a descriptor that the loop waits for.
type source interface {
	ready(events uint32)
	broken(cause error) // a panic came while it was served
	update()            // waits for the events that it needs now
	Close()
}

// shortage is how long a call is left alone that the system had too little memory for.
const shortage = 10 * time.Millisecond

// Loop owns the descriptors and the due times.
type Loop struct {
	system        System
	sources       slots.Table[source]
	dues          due.Queue[func()]
	now, before   time.Duration // of this turn, and of the one before it
	events        []Event       // as many as there may be descriptors: all that has closed is heard in one turn
	stopped       bool
	spare         [][]byte  // read buffers of the common size that nobody uses
	larger        int       // bytes that buffers of both directions take past the common size
	budget        int       // beyond which no more is read into larger ones
	starved       []*Stream // which wait for some of them
	held          int       // descriptors from before
	most, highest int       // more of them: that may be held, that ever were
	kept          int       // of most, for DialKept alone
	freed         []func()  // called when a descriptor is free again
	// MakeRoom closes something that is idle; it tells whether it found anything.
	MakeRoom func() bool
}

// New makes a loop on this machine that holds no more descriptors than most, and no more bytes of long messages than
// budget.
func New(most, budget int) (*Loop, error) {
	k, err := newKernel()
	if err != nil {
		return nil, err
	}
	return On(k, most, budget)
}

// On is New on another system.
func On(system System, most, budget int) (*Loop, error) {
	held, err := system.Held()
	if err != nil {
		return nil, err
	}
	if most <= held {
		return nil, fmt.Errorf("%d descriptors are too few: %d are open already", most, held)
	}
	l := &Loop{system: system, held: held}
	l.Limit(most, budget)
	l.MakeRoom = func() bool { return false }
	l.now = system.Clock()
	l.before = l.now
	return l, nil
}

// Limit changes what New was told. What is held beyond it goes as it ends.
func (l *Loop) Limit(most, budget int) {
	l.most, l.budget = max(most-l.held, 1), budget
	l.kept = min(2, l.most/16)
	if size := max(512, l.most+1); len(l.events) < size {
		l.events = make([]Event, size)
	}
}

// Most tells how many descriptors may be held.
func (l *Loop) Most() int { return l.most }

// Now is the time of this turn: all that happens in one turn happens at once.
func (l *Loop) Now() time.Duration { return l.now }

// Before is the time of the turn before this one. What is heard in this turn may have come at any time since.
func (l *Loop) Before() time.Duration { return l.before }

// Clock is the time this moment, which may be later than that of the turn: for who measures what work takes.
func (l *Loop) Clock() time.Duration { return l.system.Clock() }

// Due is a call that is to come.
type Due = *due.Item[func()]

// At calls once the time has come, in this turn if it has come already, but never at once.
func (l *Loop) At(at time.Duration, act func()) Due { return l.dues.Push(at, act) }

// Forget takes a call back that has not come yet.
func (l *Loop) Forget(d Due) { l.dues.Remove(d) }

// Dues counts the calls that are to come.
func (l *Loop) Dues() int { return l.dues.Count() }

// Later calls in this turn, after what is being served.
func (l *Loop) Later(act func()) { l.dues.Push(l.now, act) }

// Ring ends the loop's wait from another goroutine.
func (l *Loop) Ring() { l.system.Ring() }

// Stop ends the loop after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Close ends all that is open, once the loop has ended. Nobody is told.
func (l *Loop) Close() {
	l.sources.Each(func(_ slots.Handle, s source) { s.Close() })
	l.system.End()
}

// Run serves until Stop. Rung is called after each Ring.
func (l *Loop) Run(rung func()) error {
	for !l.stopped {
		wait := time.Duration(-1)
		if at, ok := l.dues.First(); ok {
			wait = max(0, at-l.system.Clock())
		}
		if err := l.Turn(wait, rung); err != nil {
			return err
		}
	}
	return nil
}

// Turn waits no longer than told, serves what is ready once, and then all that is due.
func (l *Loop) Turn(wait time.Duration, rung func()) error {
	n, err := l.system.Wait(l.events, wait)
	if err != nil {
		return err
	}
	l.before, l.now = l.now, l.system.Clock()
	for _, e := range l.events[:n] { // who has gone is heard before anything that could still be sent for it
		if s, ok := l.sources.Get(e.Handle).(*Stream); ok && s.leaves(e.Ready) {
			l.guard(func() { s.ready(e.Ready) }, s.broken)
		}
	}
	for _, e := range l.events[:n] {
		if s := l.sources.Get(e.Handle); s != nil {
			if c, ok := s.(*Stream); ok && c.leaves(e.Ready) {
				continue
			}
			l.guard(func() { s.ready(e.Ready) }, s.broken)
		} else if e.Handle == 0 {
			l.guard(rung, nil)
		}
	}
	for act, ok := l.dues.Pop(l.now); ok; act, ok = l.dues.Pop(l.now) {
		l.guard(act, nil)
	}
	return nil
}

// NextDue tells when something is due next.
func (l *Loop) NextDue() (at time.Duration, ok bool) { return l.dues.First() }

// Stopped tells whether the loop has ended.
func (l *Loop) Stopped() bool { return l.stopped }

type panicked struct{ cause any }

// Error implements error.
func (p panicked) Error() string { return "panic while it was served" }

// guard stops a panic at what was being served.
func (l *Loop) guard(act func(), broken func(error)) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			if broken != nil {
				l.guard(func() { broken(panicked{cause}) }, nil)
			}
		}
	}()
	act()
}

// room tells whether one more descriptor may be opened and so many are left; what is idle goes first.
func (l *Loop) room(kept int) bool {
	return l.sources.Count() < l.most-kept || l.MakeRoom() && l.sources.Count() < l.most-kept
}

// Open counts the descriptors that are held, and the most that ever were.
func (l *Loop) Open() (now, most int) { return l.sources.Count() + l.held, l.highest + l.held }

func (l *Loop) add(fd int, s source, events uint32) (slots.Handle, error) {
	h := l.sources.Put(s)
	l.highest = max(l.highest, l.sources.Count())
	if err := l.system.Watch(fd, h, events, true); err != nil {
		l.sources.Drop(h)
		return 0, err
	}
	return h, nil
}

// change waits for other events of a descriptor. Where the system is short of memory it is tried again: without it the
// descriptor would never be served again.
func (l *Loop) change(fd int, h slots.Handle, events uint32) {
	err := l.system.Watch(fd, h, events, false)
	if err == nil {
		return
	}
	slog.Warn("poll_change_failed", "cause", err)
	l.At(l.now+shortage, func() {
		if s := l.sources.Get(h); s != nil {
			s.update()
		}
	})
}

func (l *Loop) drop(fd int, h slots.Handle, how func(fd int)) {
	l.sources.Drop(h)
	how(fd)
	waiting := l.freed
	l.freed = nil
	for _, act := range waiting {
		l.Later(act)
	}
}
