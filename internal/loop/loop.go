// Package loop is the one loop of the program: it waits for sockets and due times and serves each in turn.
// All that it serves runs on its goroutine and nothing there may block.
package loop

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/due"
	"passtack/internal/slots"
)

// source is a descriptor that the loop waits for.
type source interface {
	ready(events uint32)
	broken(cause error) // a panic came while it was served
}

// Loop owns the descriptors and the due times.
type Loop struct {
	poll          int
	bell          int
	sources       slots.Table[source]
	dues          due.Queue[func()]
	began         time.Time
	zero          time.Duration
	now           time.Duration
	events        [512]unix.EpollEvent
	stopped       bool
	spare         [][]byte  // read buffers of the common size that nobody uses
	larger        int       // bytes that buffers of both directions take past the common size
	budget        int       // beyond which no more is read into larger ones
	starved       []*Stream // which wait for some of them
	held          int       // descriptors from before
	most, highest int       // more of them: that may be held, that ever were
	freed         []func()  // called when a descriptor is free again
	// MakeRoom closes something that is idle; it tells whether it found anything.
	MakeRoom func() bool
}

// New makes a loop that holds no more descriptors than most, and no more bytes of long messages than budget.
func New(most, budget int) (*Loop, error) {
	poll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	bell, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	// What is open already counts too: the runtime holds some for itself and others were handed down. The one
	// through which they are counted leaves room for one in hand.
	held, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil, err
	}
	if most <= len(held) {
		return nil, fmt.Errorf("%d descriptors are too few: %d are open already", most, len(held))
	}
	l := &Loop{poll: poll, bell: bell, began: time.Now(), held: len(held)}
	l.Limit(most, budget)
	l.MakeRoom = func() bool { return false }
	l.zero = time.Duration(l.began.UnixNano())
	l.now = l.clock()
	event := unix.EpollEvent{Events: unix.EPOLLIN}
	return l, unix.EpollCtl(poll, unix.EPOLL_CTL_ADD, bell, &event)
}

// Limit changes what New was told. What is held beyond it goes as it ends.
func (l *Loop) Limit(most, budget int) { l.most, l.budget = max(most-l.held, 1), budget }

// Most tells how many descriptors may be held.
func (l *Loop) Most() int { return l.most }

// clock counts from the start of Unix time, by the clock that never goes back.
func (l *Loop) clock() time.Duration { return l.zero + time.Since(l.began) }

// Now is the time of this turn: all that happens in one turn happens at once.
func (l *Loop) Now() time.Duration { return l.now }

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
func (l *Loop) Ring() {
	one := [8]byte{1}
	unix.Write(l.bell, one[:])
}

// Stop ends the loop after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop. Rung is called after each Ring.
func (l *Loop) Run(rung func()) error {
	for !l.stopped {
		wait := -1
		if at, ok := l.dues.First(); ok {
			wait = int(min(max(0, (at-l.clock()+time.Millisecond-1)/time.Millisecond), 60000))
		}
		n, err := unix.EpollWait(l.poll, l.events[:], wait)
		if err != nil && err != unix.EINTR {
			return err
		}
		l.now = l.clock()
		for _, e := range l.events[:max(n, 0)] {
			if s := l.sources.Get(slots.Handle(e.Fd)); s != nil {
				l.guard(func() { s.ready(e.Events) }, s.broken)
			} else if e.Fd == 0 {
				var count [8]byte
				unix.Read(l.bell, count[:])
				l.guard(rung, nil)
			}
		}
		for act, ok := l.dues.Pop(l.now); ok; act, ok = l.dues.Pop(l.now) {
			l.guard(act, nil)
		}
	}
	return nil
}

type panicked struct{ cause any }

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

// room tells whether one more descriptor may be opened; what is idle goes first.
func (l *Loop) room() bool {
	return l.sources.Count() < l.most || l.MakeRoom() && l.sources.Count() < l.most
}

// Open counts the descriptors that are held, and the most that ever were.
func (l *Loop) Open() (now, most int) { return l.sources.Count() + l.held, l.highest + l.held }

func (l *Loop) add(fd int, s source, events uint32) (slots.Handle, error) {
	h := l.sources.Put(s)
	l.highest = max(l.highest, l.sources.Count())
	event := unix.EpollEvent{Events: events, Fd: int32(h)}
	if err := unix.EpollCtl(l.poll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		l.sources.Drop(h)
		return 0, err
	}
	return h, nil
}

func (l *Loop) change(fd int, h slots.Handle, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(h)}
	if err := unix.EpollCtl(l.poll, unix.EPOLL_CTL_MOD, fd, &event); err != nil {
		slog.Error("poll_change_failed", "cause", err)
	}
}

func (l *Loop) drop(fd int, h slots.Handle) {
	l.sources.Drop(h)
	unix.Close(fd)
	waiting := l.freed
	l.freed = nil
	for _, act := range waiting {
		l.Later(act)
	}
}
