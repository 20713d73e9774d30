// Package eventloop implements an event loop over sockets and timers. Each iteration waits for ready sockets, serves each of them
// once, and then runs the timers that have expired. All handlers and callbacks run on the loop's goroutine and must not
// block.
package eventloop

import (
	"fmt"
	"time"

	"passtack/internal/slotmap"
	"passtack/internal/timerqueue"
)

// source is an open descriptor that the loop watches.
type source interface {
	onReady(events uint32)
	onPanic(cause error) // called after a panic in onReady
	updateInterest()     // registers the events that the source waits for in its present state
	Close()
}

// Loop owns the descriptors, the timers and the buffers of its streams. Only Wake may be called from another goroutine.
type Loop struct {
	system           System
	sources          slotmap.Map[source]
	timers           timerqueue.Queue[func()]
	now, previousNow time.Duration // start of the current iteration, and of the previous one
	iteration        uint64        // number of the current iteration
	unfinished       []*Stream     // streams whose input is delivered further in the next iteration
	events           []Event       // one per possible descriptor, so that an iteration sees all connections that have closed
	stopped          bool
	memory           bufferMemory
	descriptors      descriptorLimits

	// EvictIdle closes an idle connection to free its descriptor. It reports whether there was one.
	EvictIdle func() bool
}

// New creates a loop on the sockets of the kernel. The process may have up to maxDescriptors descriptors open. All buffers
// together may hold up to maxExtraBytes bytes, for long messages, beyond the standard size of each.
func New(maxDescriptors, maxExtraBytes int) (*Loop, error) {
	k, err := newKernel()
	if err != nil {
		return nil, err
	}
	return NewWithSystem(k, maxDescriptors, maxExtraBytes)
}

// NewWithSystem is like New but uses another implementation of the system calls.
func NewWithSystem(system System, maxDescriptors, maxExtraBytes int) (*Loop, error) {
	inherited, err := system.OpenDescriptors()
	if err != nil {
		return nil, err
	}
	if maxDescriptors <= inherited {
		return nil, fmt.Errorf("limit of %d descriptors is too low: %d are already open", maxDescriptors, inherited)
	}
	l := &Loop{system: system, descriptors: descriptorLimits{inherited: inherited}}
	l.SetLimits(maxDescriptors, maxExtraBytes)
	l.EvictIdle = func() bool { return false }
	l.now = system.Clock()
	l.previousNow = l.now
	return l, nil
}

// Now returns the time at which this iteration began. It stays the same throughout the iteration.
func (l *Loop) Now() time.Duration { return l.now }

// PreviousNow returns the time at which the previous iteration began. Events that the current iteration handles may have
// occurred at any time since then.
func (l *Loop) PreviousNow() time.Duration { return l.previousNow }

// Clock returns the current time, which may be later than Now. It is used to measure how long work takes.
func (l *Loop) Clock() time.Duration { return l.system.Clock() }

// Wake wakes the loop. It may be called from any goroutine.
func (l *Loop) Wake() { l.system.Wake() }

// Stop makes Run return after the current iteration.
func (l *Loop) Stop() { l.stopped = true }

// Close closes all descriptors. It is called after Run has returned. The handlers are not notified.
func (l *Loop) Close() {
	l.sources.ForEach(func(_ slotmap.Handle, s source) { s.Close() })
	l.system.Release()
}

// Run iterates until Stop is called. It calls onWake after each Wake, on the loop's goroutine.
func (l *Loop) Run(onWake func()) error {
	for !l.stopped {
		wait := time.Duration(-1)
		if dueAt, ok := l.NextTimer(); ok {
			wait = max(0, dueAt-l.system.Clock())
		}
		if err := l.RunOnce(wait, onWake); err != nil {
			return err
		}
	}
	return nil
}

// RunOnce runs one iteration: it waits for events up to maxWait (without limit if maxWait is negative), serves each ready
// descriptor once and then runs the timers that have expired. It calls onWake if Wake was called.
func (l *Loop) RunOnce(maxWait time.Duration, onWake func()) error {
	n, err := l.system.Wait(l.events, maxWait)
	if err != nil {
		return err
	}
	l.previousNow, l.now = l.now, l.system.Clock()
	l.iteration++
	unfinished := l.unfinished
	l.unfinished = nil
	for _, e := range l.events[:n] { // clients that have closed are handled first, so that nothing more is sent on their behalf
		if s, ok := l.sources.Get(e.Handle).(*Stream); ok && s.clientClosing(e.Ready) {
			l.guard(func() { s.onReady(e.Ready) }, s.onPanic)
		}
	}
	for _, e := range l.events[:n] {
		if s := l.sources.Get(e.Handle); s != nil {
			if stream, ok := s.(*Stream); ok && stream.clientClosing(e.Ready) {
				continue
			}
			l.guard(func() { s.onReady(e.Ready) }, s.onPanic)
		} else if e.Handle == 0 {
			l.guard(onWake, nil)
		}
	}
	for _, stream := range unfinished { // after the others, which have had no turn yet
		stream.input.unfinished = false
		l.guard(stream.DeliverInput, stream.onPanic)
	}
	for callback, ok := l.timers.PopDue(l.now); ok; callback, ok = l.timers.PopDue(l.now) {
		l.guard(callback, nil)
	}
	return nil
}

// Stopped reports whether Stop was called.
func (l *Loop) Stopped() bool { return l.stopped }
