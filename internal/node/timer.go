package node

import (
	"time"

	"passtack/internal/loop"
)

// moduleTimer wakes the decision module. It is the driver's only periodic timer: other periodic work is done on its ticks,
// and ticks that would do nothing are left out.
type moduleTimer struct {
	node     *Node
	timer    loop.Timer
	last     time.Duration // when the module last asked to be woken
	next     time.Duration // when it will be woken
	interval time.Duration // between two ticks while the module does not rest
}

// wakeAfter schedules the next tick, on behalf of the module.
func (t *moduleTimer) wakeAfter(wait time.Duration) {
	t.last, t.interval = t.node.loop.Now(), wait
	t.schedule(t.last + wait)
}

func (t *moduleTimer) schedule(at time.Duration) {
	t.node.loop.Cancel(t.timer)
	t.next = at
	t.timer = t.node.loop.At(at, t.tick)
}

// tick wakes the module, does the periodic work that is due, and leaves out the ticks through which the module rests.
func (t *moduleTimer) tick() {
	n := t.node
	now := n.loop.Now()
	delay := now - t.next
	n.module.Wake()
	if now >= n.recovery.nextCheck {
		n.background.scheduler.ReportLateness(delay, now)
		n.recovery.check()
	}
	if rest := n.module.WakeDelay(); rest > t.interval {
		t.schedule(now + rest)
	}
}

// resume ends a rest: the next tick comes when it would have come without one.
func (t *moduleTimer) resume() {
	missed := (t.node.loop.Now() - t.last + t.interval - 1) / t.interval
	if at := t.last + missed*t.interval; at < t.next {
		t.schedule(at)
	}
}
