package node

import (
	"time"

	"passtack/internal/eventloop"
)

// moduleTimer wakes the decision module. It is the driver's only periodic timer: other periodic work is done on its ticks.
// Ticks on which the module would have nothing to do are skipped.
type moduleTimer struct {
	node        *Node
	timer       eventloop.Timer
	requestedAt time.Duration // when the module last requested a tick
	nextTick    time.Duration // when the module will be woken
	interval    time.Duration // time between two ticks while none are skipped
}

// wakeAfter schedules the next tick at the request of the module.
func (t *moduleTimer) wakeAfter(wait time.Duration) {
	t.requestedAt, t.interval = t.node.loop.Now(), wait
	t.schedule(t.requestedAt + wait)
}

func (t *moduleTimer) schedule(at time.Duration) {
	t.node.loop.Cancel(t.timer)
	t.nextTick = at
	t.timer = t.node.loop.At(at, t.tick)
}

// tick wakes the module, does the periodic work that is due, and skips the ticks on which the module will have nothing to do.
func (t *moduleTimer) tick() {
	n := t.node
	now := n.loop.Now()
	delay := now - t.nextTick
	n.module.Wake()
	if now >= n.recovery.nextCheck {
		n.background.scheduler.ReportLateness(delay, now)
		n.recovery.check()
	}
	if wait := n.module.WakeDelay(); wait > t.interval {
		t.schedule(now + wait)
	}
}

// resume stops skipping ticks. The next tick comes at the time at which it would have come if none had been skipped.
func (t *moduleTimer) resume() {
	elapsed := (t.node.loop.Now() - t.requestedAt + t.interval - 1) / t.interval
	if at := t.requestedAt + elapsed*t.interval; at < t.nextTick {
		t.schedule(at)
	}
}
