package rules

import (
	"slices"
	"time"
)

const (
	minTick          = 5 * time.Millisecond
	scanInterval     = 50 * time.Millisecond // between scans of all members; a timer later than this shows a pause of the driver
	idleScanInterval = 5 * scanInterval      // while nothing is in flight and no health check may be sent
)

// ticks is the state of the driver's one periodic timer.
type ticks struct {
	interval, lastWakeAt, nextScanAt time.Duration
	resumedAt, wakeDueAt             time.Duration // end of the latest pause of this driver; ticks before may be skipped, 0: none
}

// detectPause notices a pause of the driver by its late timer. Neither silence nor latencies of members mean anything at its end.
func (r *Router) detectPause(now time.Duration) {
	t := &r.ticks
	t.lastWakeAt, t.wakeDueAt = max(t.lastWakeAt, min(now, t.wakeDueAt-t.interval)), 0 // skipped ticks count as taken
	if now-t.lastWakeAt > scanInterval {
		t.resumedAt = now
	}
}

// Wake is called on each tick. Hundreds of members are too many to scan on each one.
func (r *Router) Wake() {
	now, t := r.host.Now(), &r.ticks
	r.runSkippedScans(now - t.interval)
	r.detectPause(now)
	t.lastWakeAt = now
	r.host.WakeAfter(t.interval)
	for act, ok := r.timers.PopDue(now); ok; act, ok = r.timers.PopDue(now) {
		act()
	}
	if now >= t.nextScanAt {
		t.nextScanAt = now + scanInterval
		r.measureMembers(now)
		for i, first := 0, r.random.Below(len(r.memberList)+1); i < len(r.memberList); i++ {
			r.checkHealth(r.memberList[(first+i)%len(r.memberList)], now)
		}
	}
	for i, rate := range r.quotas {
		r.quotaLeft[i] = min(r.quotaLeft[i]+rate*t.interval.Seconds(), rate)
	}
	waiting := r.queue
	r.queue = nil
	for _, q := range waiting {
		if q.queued {
			q.queued = false
			r.route(q)
		}
	}
}

// WakeDelay returns, after a call of Wake, for how long a host may skip ticks unless an RPC or a list comes: until the next scan, or longer
// if that could send no health check. A later tick still shows a pause.
func (r *Router) WakeDelay() time.Duration {
	t := &r.ticks
	if t.wakeDueAt = t.lastWakeAt + t.interval; len(r.rpcs) == 0 && slices.Equal(r.quotaLeft, r.quotas) {
		if t.wakeDueAt = max(t.wakeDueAt, t.nextScanAt); r.healthCheckBudget < 1 || !r.settings.Bool("caps.probe") {
			t.wakeDueAt += idleScanInterval - scanInterval
		}
		if at, ok := r.timers.NextDue(); ok {
			t.wakeDueAt = min(t.wakeDueAt, max(at, t.lastWakeAt+t.interval))
		}
	}
	return t.wakeDueAt - t.lastWakeAt
}

// runSkippedScans makes the latest of the scans that were skipped, and the random draws of all, before an event changes anything.
func (r *Router) runSkippedScans(now time.Duration) {
	t := &r.ticks
	if now = min(now, t.wakeDueAt-t.interval); t.wakeDueAt > 0 && now >= t.nextScanAt {
		for ; now >= t.nextScanAt; t.nextScanAt += scanInterval {
			r.random.Below(len(r.memberList) + 1)
		}
		r.measureMembers(t.nextScanAt - scanInterval)
	}
}

// SetClockUncertainty tells by how much the members' clock may be behind what the host takes it for. Members count as younger by as much.
func (r *Router) SetClockUncertainty(behind time.Duration) { r.clockUncertainty = behind }

// CorrectClock tells that the members' clock is further ahead of the host's than it was taken for, and corrects the times told by it.
func (r *Router) CorrectClock(ahead time.Duration) {
	r.clockOffset += ahead
	for _, m := range r.memberList {
		m.startedAt = shifted(m.startedAt, ahead)
		m.replication.position = shifted(m.replication.position, ahead)
	}
	for session, commit := range r.sessionCommits {
		r.sessionCommits[session] = shifted(commit, ahead)
	}
	for _, q := range r.rpcs {
		q.commit = shifted(q.commit, ahead)
	}
}

// shifted leaves alone what stands for no time.
func shifted(at, ahead time.Duration) time.Duration {
	if at == unknownTime || at == 0 {
		return at
	}
	return at - ahead
}
