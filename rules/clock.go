package rules

import (
	"slices"
	"time"
)

const (
	beat = 50 * time.Millisecond // between two looks at every member; later means a halt of this driver
	lull = 5 * beat              // between them while nothing is under way
)

// noticeHalt tells a halt of this driver by its late timer. What came meanwhile is handled all at once:
// neither the members' silence nor the latencies of that moment mean anything.
func (r *Router) noticeHalt(now time.Duration) {
	r.woken, r.rests = max(r.woken, min(now, r.rests-r.tick)), 0 // what was left out counts as come
	if now-r.woken > beat {
		r.halted = now
	}
}

// Wake is the one periodic timer.
func (r *Router) Wake() {
	now := r.host.Now()
	r.catchUp(now - r.tick)
	r.noticeHalt(now)
	r.woken = now
	r.host.WakeAfter(r.tick)
	for act, ok := r.dues.Pop(now); ok; act, ok = r.dues.Pop(now) {
		act()
	}
	if now >= r.beatAt { // with hundreds of drivers and members a look at each at every tick takes too long
		r.beatAt = now + beat
		r.survey(now)
		for i, first := 0, r.chance.Below(len(r.all)+1); i < len(r.all); i++ {
			r.watchOver(r.all[(first+i)%len(r.all)], now)
		}
	}
	for i, quota := range r.quota {
		r.room[i] = min(r.room[i]+quota*r.tick.Seconds(), quota)
	}
	waiting := r.held
	r.held = nil
	for _, q := range waiting {
		if q.held {
			q.held = false
			r.route(q)
		}
	}
}

// Rest tells after its call of Wake how long a host may leave the ticks out unless an RPC or a list comes:
// they would do nothing before the next look at every member, which itself may wait where nobody is watched
// over. A later tick still tells a halt.
func (r *Router) Rest() time.Duration {
	if r.rests = r.woken + r.tick; len(r.rpcs) == 0 && slices.Equal(r.room, r.quota) {
		if r.rests = max(r.rests, r.beatAt); r.idle() {
			r.rests += lull - beat
		}
		if at, ok := r.dues.First(); ok {
			r.rests = min(r.rests, max(at, r.woken+r.tick))
		}
	}
	return r.rests - r.woken
}

// idle tells that no member holds anything, and that none may be probed: what was learned only fades.
func (r *Router) idle() bool {
	return len(r.rpcs) == 0 && (r.probes < 1 || !r.terms.Bool("caps.probe"))
}

// catchUp takes the latest of the looks that were left out, before what ends the rest changes anything.
func (r *Router) catchUp(now time.Duration) {
	if now = min(now, r.rests-r.tick); r.rests > 0 && now >= r.beatAt {
		for ; now >= r.beatAt; r.beatAt += beat {
			r.chance.Below(len(r.all) + 1) // the dice of each
		}
		r.survey(r.beatAt - beat)
	}
}

// DoubtClock tells how far the clock by which members' starts are told may be behind what the host takes it for. Until that
// is known, members count as younger by as much: none that has just started is taken for warm.
func (r *Router) DoubtClock(behind time.Duration) { r.doubt = behind }

// CorrectClock tells that the members' clock is further ahead of the host's than it was taken for, or less where that is
// below 0. What was told by it before is set right: starts, positions and commits.
func (r *Router) CorrectClock(ahead time.Duration) {
	r.offset += ahead
	for _, m := range r.all {
		m.started = corrected(m.started, ahead)
		m.pos = corrected(m.pos, ahead)
	}
	for session, commit := range r.tokens {
		r.tokens[session] = corrected(commit, ahead)
	}
	for _, q := range r.rpcs {
		q.token = corrected(q.token, ahead)
	}
}

// corrected leaves alone what stands for no time.
func corrected(at, ahead time.Duration) time.Duration {
	if at == never || at == 0 {
		return at
	}
	return at - ahead
}
