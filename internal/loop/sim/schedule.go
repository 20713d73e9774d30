package sim

import (
	"slices"
	"time"
)

// Run advances the simulated time to until and runs all that is due by then.
func (w *World) Run(until time.Duration) {
	w.touchAll() // the caller may have changed any host
	for {
		for callback, ok := w.callbacks.PopDue(w.now); ok; callback, ok = w.callbacks.PopDue(w.now) {
			callback()
		}
		w.runHosts()
		next, pending := w.callbacks.NextDue()
		if at, ok := w.wakeups.NextDue(); ok && (!pending || at < next) {
			next, pending = at, true
		}
		if !pending || next > until {
			w.now = max(w.now, until)
			return
		}
		w.now = max(w.now, next)
	}
}

// runHosts runs one iteration of each host that has something to do now, in the order of their numbers. A host that gets
// something to do from one with a lower number runs in the same round.
func (w *World) runHosts() {
	w.collectTouched(nil)
	w.updateWakeups()
	w.runnable = w.runnable[:0]
	for h, ok := w.wakeups.PopDue(w.now); ok; h, ok = w.wakeups.PopDue(w.now) {
		h.wakeup = nil
		w.runnable = append(w.runnable, h)
	}
	slices.SortFunc(w.runnable, byNumber)
	for i := 0; i < len(w.runnable); i++ {
		h := w.runnable[i]
		h.runIteration()
		h.touch()
		w.collectTouched(h)
	}
	w.updateWakeups()
}

func byNumber(a, b *Host) int { return a.number - b.number }

// collectTouched moves the touched hosts to stale. Those that have something to do now and a higher number than current, the
// host that has just run, become runnable.
func (w *World) collectTouched(current *Host) {
	for _, h := range w.touched {
		if !h.stale {
			h.stale = true
			w.stale = append(w.stale, h)
		}
		if current == nil || h.number <= current.number {
			continue
		}
		if at, ok := h.nextWakeup(); ok && at <= w.now {
			if index, found := slices.BinarySearchFunc(w.runnable, h, byNumber); !found {
				w.runnable = slices.Insert(w.runnable, index, h)
			}
		}
	}
	w.touched = w.touched[:0]
}

// updateWakeups updates the wakeups of the stale hosts.
func (w *World) updateWakeups() {
	for _, h := range w.stale {
		h.stale = false
		w.wakeups.Remove(h.wakeup)
		h.wakeup = nil
		if at, ok := h.nextWakeup(); ok {
			h.wakeup = w.wakeups.Push(at, h)
		}
	}
	w.stale = w.stale[:0]
}

// touchAll touches all hosts.
func (w *World) touchAll() {
	for _, h := range w.hosts {
		h.touch()
	}
}
