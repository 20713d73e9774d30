package rules

import "time"

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
