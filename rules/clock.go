package rules

import (
	"slices"
	"time"
)

const (
	scanInterval     = 50 * time.Millisecond // between two looks at every member; later means a halt of this driver
	idleScanInterval = 5 * scanInterval      // between them while nothing is under way
)

// noticeHalt tells a halt of this driver by its late timer. What came meanwhile is handled all at once:
// neither the members' silence nor the latencies of that moment mean anything.
func (r *Router) detectPause(now time.Duration) {
	r.lastWakeAt, r.wakeDueAt = max(r.lastWakeAt, min(now, r.wakeDueAt-r.tick)), 0 // what was left out counts as come
	if now-r.lastWakeAt > scanInterval {
		r.resumedAt = now
	}
}

// Wake is the one periodic timer.
func (r *Router) Wake() {
	now := r.host.Now()
	r.runSkippedScans(now - r.tick)
	r.detectPause(now)
	r.lastWakeAt = now
	r.host.WakeAfter(r.tick)
	for act, ok := r.timers.Pop(now); ok; act, ok = r.timers.Pop(now) {
		act()
	}
	if now >= r.nextScanAt { // with hundreds of drivers and members a look at each at every tick takes too long
		r.nextScanAt = now + scanInterval
		r.measureMembers(now)
		for i, first := 0, r.random.Below(len(r.memberList)+1); i < len(r.memberList); i++ {
			r.checkHealth(r.memberList[(first+i)%len(r.memberList)], now)
		}
	}
	for i, quota := range r.quotas {
		r.quotaLeft[i] = min(r.quotaLeft[i]+quota*r.tick.Seconds(), quota)
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

// Rest tells after its call of Wake how long a host may leave the ticks out unless an RPC or a list comes:
// they would do nothing before the next look at every member, which itself may wait where nobody is watched
// over. A later tick still tells a halt.
func (r *Router) WakeDelay() time.Duration {
	if r.wakeDueAt = r.lastWakeAt + r.tick; len(r.rpcs) == 0 && slices.Equal(r.quotaLeft, r.quotas) {
		if r.wakeDueAt = max(r.wakeDueAt, r.nextScanAt); r.idle() {
			r.wakeDueAt += idleScanInterval - scanInterval
		}
		if at, ok := r.timers.First(); ok {
			r.wakeDueAt = min(r.wakeDueAt, max(at, r.lastWakeAt+r.tick))
		}
	}
	return r.wakeDueAt - r.lastWakeAt
}

// idle tells that no member holds anything, and that none may be probed: what was learned only fades.
func (r *Router) idle() bool {
	return len(r.rpcs) == 0 && (r.healthCheckBudget < 1 || !r.settings.Bool("caps.probe"))
}

// catchUp takes the latest of the looks that were left out, before what ends the rest changes anything.
func (r *Router) runSkippedScans(now time.Duration) {
	if now = min(now, r.wakeDueAt-r.tick); r.wakeDueAt > 0 && now >= r.nextScanAt {
		for ; now >= r.nextScanAt; r.nextScanAt += scanInterval {
			r.random.Below(len(r.memberList) + 1) // the dice of each
		}
		r.measureMembers(r.nextScanAt - scanInterval)
	}
}

// DoubtClock tells how far the clock by which members' starts are told may be behind what the host takes it for. Until that
// is known, members count as younger by as much: none that has just started is taken for warm.
func (r *Router) SetClockUncertainty(behind time.Duration) { r.clockUncertainty = behind }

// CorrectClock tells that the members' clock is further ahead of the host's than it was taken for, or less where that is
// below 0. What was told by it before is set right: starts, positions and commits.
func (r *Router) CorrectClock(ahead time.Duration) {
	r.clockOffset += ahead
	for _, m := range r.memberList {
		m.startedAt = shifted(m.startedAt, ahead)
		m.position = shifted(m.position, ahead)
	}
	for session, commit := range r.sessionCommits {
		r.sessionCommits[session] = shifted(commit, ahead)
	}
	for _, q := range r.rpcs {
		q.commit = shifted(q.commit, ahead)
	}
}

// corrected leaves alone what stands for no time.
func shifted(at, ahead time.Duration) time.Duration {
	if at == unknownTime || at == 0 {
		return at
	}
	return at - ahead
}
