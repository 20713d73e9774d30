package rules

import (
	"slices"
	"time"
)

const (
	minTick          = 5 * time.Millisecond
	scanInterval     = 50 * time.Millisecond // between scans of all members; a tick that is later than this shows that the driver was paused
	idleScanInterval = 5 * scanInterval      // used while no RPC is served and no health check may be sent
)

// ticks is the state of the driver's one periodic timer.
type ticks struct {
	interval, lastWakeAt, nextScanAt time.Duration
	resumedAt, wakeDueAt             time.Duration // end of this driver's latest pause; time before which ticks may be skipped, 0: none
}

// detectPause detects a pause of the driver by a late tick. Measurements of members' silence and latencies at the end of a pause are ignored,
// as they include the pause.
func (r *Router) detectPause(now time.Duration) {
	t := &r.ticks
	t.lastWakeAt, t.wakeDueAt = max(t.lastWakeAt, min(now, t.wakeDueAt-t.interval)), 0 // skipped ticks count as made
	if now-t.lastWakeAt > scanInterval {
		t.resumedAt = now
	}
}

// Wake is called on each tick. Members are scanned less often, since hundreds of them are too many to scan on each tick.
func (r *Router) Wake() {
	now, t := r.host.Now(), &r.ticks
	r.runSkippedScans(now - t.interval)
	r.detectPause(now)
	t.lastWakeAt = now
	r.host.WakeAfter(t.interval)
	for callback, ok := r.timers.PopDue(now); ok; callback, ok = r.timers.PopDue(now) {
		callback()
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

// WakeDelay returns, after a call of Wake, for how long the host may skip ticks if no RPC and no endpoint list arrives: until the next scan,
// or longer if that scan could not send a health check. A later tick still shows a pause.
func (r *Router) WakeDelay() time.Duration {
	t := &r.ticks
	if t.wakeDueAt = t.lastWakeAt + t.interval; len(r.rpcs) == 0 && slices.Equal(r.quotaLeft, r.quotas) {
		if t.wakeDueAt = max(t.wakeDueAt, t.nextScanAt); r.healthCheckBudget < 1 || !r.settings.Bool("caps.probe") {
			t.wakeDueAt += idleScanInterval - scanInterval
		}
		if dueAt, ok := r.timers.NextDue(); ok {
			t.wakeDueAt = min(t.wakeDueAt, max(dueAt, t.lastWakeAt+t.interval))
		}
	}
	return t.wakeDueAt - t.lastWakeAt
}

// runSkippedScans makes up for skipped scans before an event changes the state. It repeats the random draw of each skipped scan, but only the
// measurement of the latest one.
func (r *Router) runSkippedScans(now time.Duration) {
	t := &r.ticks
	if now = min(now, t.wakeDueAt-t.interval); t.wakeDueAt > 0 && now >= t.nextScanAt {
		for ; now >= t.nextScanAt; t.nextScanAt += scanInterval {
			r.random.Below(len(r.memberList) + 1)
		}
		r.measureMembers(t.nextScanAt - scanInterval)
	}
}

// SetClockUncertainty sets how far the members' clock may be behind the host's estimate of it. Members count as younger by this time.
func (r *Router) SetClockUncertainty(behind time.Duration) { r.clockUncertainty = behind }

// CorrectClock corrects the estimate of how far the members' clock is ahead of the host's, and all times that were converted with it.
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

// shifted returns a time corrected by ahead. An unknown or unset time stays as it is.
func shifted(t, ahead time.Duration) time.Duration {
	if t == unknownTime || t == 0 {
		return t
	}
	return t - ahead
}
