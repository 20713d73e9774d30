package rules

import (
	"slices"
	"time"
)

const (
	primaryReadShare   = 0.1 // of the reads that a replica could serve
	maxPrimarySlowdown = 1.5 // times the usual latency: the most a primary shows that takes a share
	explorationShare   = 0.2 // of the reads that may go to a replica unheard of
)

var zoneCost = map[bool]float64{true: 1, false: 1.3} // as it seems, by sharing our zone

// route is the ordinary path: it sends the RPC where the design says, holds it briefly, or gives it up.
func (r *Router) route(q *rpc) {
	now, g, m := r.host.Now(), q.group, q.method
	if now >= q.sendBy-r.tick {
		r.giveUp(q, 0, NoTimeLeft)
		return
	}
	primary := g.primary
	if primary != nil && !r.accepts(primary, q, now) {
		primary = nil
	}
	var to *member
	switch m.freshness {
	case write:
		to = primary
		if to == nil && g.exploratoryAttempts == 0 {
			to = r.choosePrimaryCandidate(q, now)
		}
	case fresh:
		to = primary
		if to == nil {
			to = r.chooseReplica(q, q.arrivedAt+positionRounding, now)
		}
	case session:
		if now-q.commit < maxSessionPin && !g.replicasCaughtUp(q.commit) {
			to = primary
		}
		if to == nil {
			to = r.chooseReplica(q, q.commit, now)
		}
	case bounded:
		to = r.chooseReplica(q, now-m.maxStaleness+positionRounding, now)
		if primary != nil && (to == nil || r.random.Float() < primaryReadShare) && r.slowdown(primary, now) < maxPrimarySlowdown {
			to = primary
		}
	case anyAge:
		to = r.chooseReplica(q, unknownTime, now)
	}
	if to == nil && (m.freshness == session || m.freshness == anyAge) {
		to = primary
	}
	if to == nil {
		r.enqueue(q)
		return
	}
	scout := m.freshness == write && to != primary
	left, utility := min(q.requestedAt+m.softDeadline, q.deadline)-now, m.utility
	if left <= 0 && m.lateUtility > 0 {
		left, utility = q.deadline-now, m.lateUtility*m.utility
	}
	if int(q.tenant) < len(r.quotaLeft) && r.quotaLeft[q.tenant] < 1 {
		utility *= r.settings.Number("over_share", 1)
	}
	if predicted := r.requiredTime(to, m, utility); predicted > left && !scout {
		to = r.chooseAlternative(q, to, primary, now)
		if to == nil || r.requiredTime(to, m, utility) > left {
			r.giveUp(q, min(predicted-left, m.softDeadline/4), TooSlow)
			return
		}
	}
	timeout := time.Duration(0)
	if m.lateUtility == 0 && m.idempotent {
		timeout = min(q.arrivedAt+m.softDeadline, q.deadline) - now
	}
	r.send(q, to, timeout, scout)
}

// other is where an RPC may go that would be shed: a pinned read to a replica known past its token, a read
// for replicas to the primary at ease. It keeps neither from its ordinary path.
func (r *Router) chooseAlternative(q *rpc, to, primary *member, now time.Duration) *member {
	need := q.method.freshness
	if need == session && to == primary {
		return r.chooseReplica(q, q.commit, now)
	}
	if (need == bounded || need == anyAge) && primary != nil && r.slowdown(primary, now) < maxPrimarySlowdown {
		return primary
	}
	return nil
}

// open tells whether a member may get this RPC now: it is ready, its trickle and its cold budget have room.
func (r *Router) accepts(m *member, q *rpc, now time.Duration) bool {
	if !m.available || m.presumedGone() && m.inFlight.Count() > 0 || q.mayHaveRun && q.method.zoneDeduplicates && m.zone != q.firstRunZone ||
		m.allowance > 0 && (m.inFlight.Count() >= m.allowance || now < m.nextAttemptAt) {
		return false
	}
	lately := func(c attempt) bool {
		return c.member == m && c.rejectedAt > now-recheckInterval*time.Duration(len(q.attempts))
	}
	return !slices.ContainsFunc(q.attempts, lately) && r.slowStartAdmits(m, q, now)
}

// companion picks the replica for a read: the quickest known past the floor, but one idle and unheard of goes
// first, or what it knows would be forgotten; after some seconds even unproven, where it checks by itself.
func (r *Router) chooseReplica(q *rpc, floor, now time.Duration) *member {
	var best *member
	all := q.group.members
	for n, start := 0, r.random.Below(len(all)+1); n < len(all); n++ {
		m := all[(start+n)%len(all)]
		unheard := m.inFlight.Count() == 0 && now-m.positionAt > recheckInterval
		mayAsk := r.membersCheckFreshness && unheard && now-m.positionAt > maxProbationBackoff
		reach := m.position
		if r.membersCheckFreshness && m.positionAt != unknownTime { // it turns the read away if it fell behind meanwhile
			reach += now - m.positionAt
		}
		if m == q.group.primary || reach < floor && !mayAsk || !r.accepts(m, q, now) {
			continue
		}
		if unheard && r.random.Float() < explorationShare && 2*r.predictLatency(m, q.method) < q.method.softDeadline {
			return m
		}
		if best == nil || r.cost(m, q.method) < r.cost(best, q.method) {
			best = m
		}
	}
	return best
}

func (r *Router) cost(m *member, meth *method) float64 {
	return float64(r.predictLatency(m, meth)) * zoneCost[m.zone == r.zone]
}

// scout picks the member most likely to be the primary that nobody has told of yet.
func (r *Router) choosePrimaryCandidate(q *rpc, now time.Duration) *member {
	var best *member
	for _, m := range q.group.members {
		if m != q.group.primary && now-m.replicaProvenAt >= recheckInterval && r.accepts(m, q, now) &&
			(best == nil || m.replicaProvenAt < best.replicaProvenAt) {
			best = m
		}
	}
	return best
}
