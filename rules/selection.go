package rules

import (
	"slices"
	"time"
)

const (
	primaryShare = 0.1 // of the reads that a replica could serve
	atEase       = 1.5 // times the usual latency: the most a primary shows that takes a share
	exploring    = 0.2 // of the reads that may go to a replica unheard of
)

var distance = map[bool]float64{true: 1, false: 1.3} // as it seems, by sharing our zone

// route is the ordinary path: it sends the RPC where the design says, holds it briefly, or gives it up.
func (r *Router) route(q *rpc) {
	now, g, m := r.host.Now(), q.group, q.method
	if now >= q.by-r.tick {
		r.giveUp(q, 0, NoTimeLeft)
		return
	}
	primary := g.primary
	if primary != nil && !r.open(primary, q, now) {
		primary = nil
	}
	var to *member
	switch m.need {
	case write:
		to = primary
		if to == nil && g.scouts == 0 {
			to = r.scout(q, now)
		}
	case fresh:
		to = primary
		if to == nil {
			to = r.companion(q, q.arrived+early, now)
		}
	case session:
		if now-q.token < pinLimit && !g.allPast(q.token) {
			to = primary
		}
		if to == nil {
			to = r.companion(q, q.token, now)
		}
	case bounded:
		to = r.companion(q, now-m.bound+early, now)
		if primary != nil && (to == nil || r.chance.Float() < primaryShare) && r.slowness(primary, now) < atEase {
			to = primary
		}
	case anyAge:
		to = r.companion(q, never, now)
	}
	if to == nil && (m.need == session || m.need == anyAge) {
		to = primary
	}
	if to == nil {
		r.hold(q)
		return
	}
	scout := m.need == write && to != primary
	left, utility := min(q.wanted+m.soft, q.until)-now, m.utility
	if left <= 0 && m.late > 0 {
		left, utility = q.until-now, m.late*m.utility
	}
	if int(q.tenant) < len(r.room) && r.room[q.tenant] < 1 {
		utility *= r.terms.Number("over_share", 1)
	}
	if predicted := r.cautious(to, m, utility); predicted > left && !scout {
		to = r.other(q, to, primary, now)
		if to == nil || r.cautious(to, m, utility) > left {
			r.giveUp(q, min(predicted-left, m.soft/4), TooSlow)
			return
		}
	}
	timeout := time.Duration(0)
	if m.late == 0 && m.idempotent {
		timeout = min(q.arrived+m.soft, q.until) - now
	}
	r.send(q, to, timeout, scout)
}

// other is where an RPC may go that would be shed: a pinned read to a replica known past its token, a read
// for replicas to the primary at ease. It keeps neither from its ordinary path.
func (r *Router) other(q *rpc, to, primary *member, now time.Duration) *member {
	need := q.method.need
	if need == session && to == primary {
		return r.companion(q, q.token, now)
	}
	if (need == bounded || need == anyAge) && primary != nil && r.slowness(primary, now) < atEase {
		return primary
	}
	return nil
}

// open tells whether a member may get this RPC now: it is ready, its trickle and its cold budget have room.
func (r *Router) open(m *member, q *rpc, now time.Duration) bool {
	if !m.sendable || m.doubted() && m.out.Count() > 0 || q.mayHaveRun && q.method.zoned && m.zone != q.ranIn ||
		m.trickle > 0 && (m.out.Count() >= m.trickle || now < m.nextTry) {
		return false
	}
	lately := func(c attempt) bool { return c.to == m && c.turned > now-askAgain*time.Duration(len(q.calls)) }
	return !slices.ContainsFunc(q.calls, lately) && r.coldRoom(m, q, now)
}

// companion picks the replica for a read: the quickest known past the floor, but one idle and unheard of goes
// first, or what it knows would be forgotten; after some seconds even unproven, where it checks by itself.
func (r *Router) companion(q *rpc, floor, now time.Duration) *member {
	var best *member
	all := q.group.members
	for n, start := 0, r.chance.Below(len(all)+1); n < len(all); n++ {
		m := all[(start+n)%len(all)]
		unheard := m.out.Count() == 0 && now-m.posAt > askAgain
		mayAsk := r.checks && unheard && now-m.posAt > lastPause
		reach := m.pos
		if r.checks && m.posAt != never { // it turns the read away if it fell behind meanwhile
			reach += now - m.posAt
		}
		if m == q.group.primary || reach < floor && !mayAsk || !r.open(m, q, now) {
			continue
		}
		if unheard && r.chance.Float() < exploring && 2*r.predict(m, q.method) < q.method.soft {
			return m
		}
		if best == nil || r.cost(m, q.method) < r.cost(best, q.method) {
			best = m
		}
	}
	return best
}

func (r *Router) cost(m *member, meth *method) float64 {
	return float64(r.predict(m, meth)) * distance[m.zone == r.zone]
}

// scout picks the member most likely to be the primary that nobody has told of yet.
func (r *Router) scout(q *rpc, now time.Duration) *member {
	var best *member
	for _, m := range q.group.members {
		if m != q.group.primary && now-m.replicaAt >= askAgain && r.open(m, q, now) &&
			(best == nil || m.replicaAt < best.replicaAt) {
			best = m
		}
	}
	return best
}
