package loop

import (
	"time"

	"passtack/internal/due"
)

// Due is a timer: a callback and the time at which it runs.
type Due = *due.Item[func()]

// At schedules callback for the given time of the loop's clock. If that time has passed, callback runs at the end of this
// iteration, never before At returns.
func (l *Loop) At(when time.Duration, callback func()) Due { return l.timers.Push(when, callback) }

// Forget cancels a timer. It does nothing if the timer is nil or has fired.
func (l *Loop) Forget(timer Due) { l.timers.Remove(timer) }

// Dues returns the number of pending timers.
func (l *Loop) Dues() int { return l.timers.Count() }

// Later runs callback at the end of this iteration.
func (l *Loop) Later(callback func()) { l.timers.Push(l.now, callback) }

// NextDue returns the time of the earliest pending timer; ok is false if there is none.
func (l *Loop) NextDue() (at time.Duration, ok bool) { return l.timers.First() }
