package eventloop

import (
	"time"

	"passtack/internal/timerqueue"
)

// Timer is a scheduled callback.
type Timer = *timerqueue.Item[func()]

// At schedules callback for the given time on the loop's clock. If that time has passed, callback runs at the end of the
// current iteration, never before At returns.
func (l *Loop) At(when time.Duration, callback func()) Timer { return l.timers.Push(when, callback) }

// Cancel cancels a timer. It does nothing if the timer is nil or has expired.
func (l *Loop) Cancel(timer Timer) { l.timers.Remove(timer) }

// PendingTimers returns the number of pending timers.
func (l *Loop) PendingTimers() int { return l.timers.Len() }

// Defer schedules callback for the end of the current iteration.
func (l *Loop) Defer(callback func()) { l.timers.Push(l.now, callback) }

// NextTimer returns the time at which the next iteration is due without an event: that of the earliest pending timer, or now if input
// is left to deliver. ok is false if neither is.
func (l *Loop) NextTimer() (dueAt time.Duration, ok bool) {
	if len(l.unfinished) > 0 {
		return l.now, true
	}
	return l.timers.NextDue()
}
