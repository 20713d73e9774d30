package sim

import (
	"slices"
	"time"
)

// Run advances the simulated time to until and runs all callbacks and iterations that are due by then.
func (w *World) Run(until time.Duration) {
	w.touchAll() // the caller may have changed any host
	for {
		for callback, ok := w.callbacks.PopDue(w.now); ok; callback, ok = w.callbacks.PopDue(w.now) {
			callback()
		}
		w.runHosts()
		next, pending := w.callbacks.NextDue()
		if wakeAt, ok := w.wakeups.NextDue(); ok && (!pending || wakeAt < next) {
			next, pending = wakeAt, true
		}
		if !pending || next > until {
			w.now = max(w.now, until)
			return
		}
		w.now = max(w.now, next)
	}
}

// runHosts runs one iteration of each host whose next iteration is due, in the order of their numbers. A host whose iteration
// becomes due because of a host with a lower number runs in the same call.
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

// byNumber compares two hosts by number.
func byNumber(a, b *Host) int { return a.number - b.number }

// collectTouched moves the touched hosts to stale. If current, the host that has just run, is not nil, touched hosts with a
// higher number whose next iteration is due become runnable.
func (w *World) collectTouched(current *Host) {
	for _, h := range w.touched {
		if !h.stale {
			h.stale = true
			w.stale = append(w.stale, h)
		}
		if current == nil || h.number <= current.number {
			continue
		}
		if wakeAt, ok := h.nextWakeup(); ok && wakeAt <= w.now {
			if index, found := slices.BinarySearchFunc(w.runnable, h, byNumber); !found {
				w.runnable = slices.Insert(w.runnable, index, h)
			}
		}
	}
	w.touched = w.touched[:0]
}

// updateWakeups recomputes the wakeups of the stale hosts and empties stale.
func (w *World) updateWakeups() {
	for _, h := range w.stale {
		h.stale = false
		w.wakeups.Remove(h.wakeup)
		h.wakeup = nil
		if wakeAt, ok := h.nextWakeup(); ok {
			h.wakeup = w.wakeups.Push(wakeAt, h)
		}
	}
	w.stale = w.stale[:0]
}

// touchAll calls touch for all hosts.
func (w *World) touchAll() {
	for _, h := range w.hosts {
		h.touch()
	}
}
