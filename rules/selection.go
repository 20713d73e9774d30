package rules

import (
	"cmp"
	"slices"
	"time"

	"passtack/internal/settings"
)

const (
	primaryReadShare   = 0.1 // share of bounded reads that go to the primary though a replica could serve them
	maxPrimarySlowdown = 1.5 // slowdown of the primary from which on it gets no reads that replicas could serve
	explorationShare   = 0.2 // share of reads that go to an idle replica with no recent report
	otherZoneCost      = 1.3 // factor on predicted latencies in another zone when members are compared
)

// route sends the RPC to a member, queues it briefly, or gives it up.
func (r *Router) route(q *rpc) {
	now, meth, primary := r.host.Now(), q.method, q.group.primary
	if now >= q.sendBy-r.ticks.interval {
		r.giveUp(q, 0, NoTimeLeft)
		return
	}
	if primary != nil && !r.accepts(primary, q, now) {
		primary = nil
	}
	target := r.chooseMember(q, primary, now)
	if target == nil {
		r.enqueue(q)
		return
	}
	exploratory := meth.Freshness == settings.FreshnessWrite && target != primary
	left, utility := min(q.requestedAt+meth.SoftDeadline, q.Deadline)-now, meth.Utility
	if left <= 0 && meth.LateUtility > 0 {
		left, utility = q.Deadline-now, meth.LateUtility*meth.Utility
	}
	if int(q.Tenant) < len(r.quotaLeft) && r.quotaLeft[q.Tenant] < 1 {
		utility *= r.settings.Number("over_share", 1)
	}
	if required := r.requiredTime(target, meth, utility); required > left && !exploratory {
		target = r.chooseAlternative(q, target, primary, now)
		if target == nil || r.requiredTime(target, meth, utility) > left {
			r.giveUp(q, min(required-left, meth.SoftDeadline/4), TooSlow)
			return
		}
	}
	timeout := time.Duration(0)
	if meth.LateUtility == 0 && meth.Effect == settings.Idempotent {
		timeout = min(q.takenAt+meth.SoftDeadline, q.Deadline) - now
	}
	r.send(q, target, timeout, exploratory)
}

// chooseMember returns the member for an RPC, nil if none qualifies. The primary is passed as nil if it is unknown or
// does not accept this RPC now.
func (r *Router) chooseMember(q *rpc, primary *member, now time.Duration) *member {
	switch q.method.Freshness {
	case settings.FreshnessWrite:
		if primary == nil && q.group.exploratoryAttempts == 0 {
			return r.choosePrimaryCandidate(q, now)
		}
		return primary
	case settings.FreshnessLatest:
		if primary == nil {
			return r.chooseReplica(q, q.takenAt+positionRounding, now)
		}
		return primary
	case settings.FreshnessSession:
		if primary != nil && now-q.commit < maxSessionPin && !q.group.replicasCaughtUp(q.commit) {
			return primary
		}
		return cmp.Or(r.chooseReplica(q, q.commit, now), primary)
	case settings.FreshnessBounded:
		replica := r.chooseReplica(q, now-q.method.MaxStaleness+positionRounding, now)
		if primary != nil && (replica == nil || r.random.Float() < primaryReadShare) && r.slowdown(primary, now) < maxPrimarySlowdown {
			return primary
		}
		return replica
	case settings.FreshnessAny:
		return cmp.Or(r.chooseReplica(q, unknownTime, now), primary)
	}
	return nil
}

// chooseAlternative returns another member for an RPC that would be shed at the target: a replica that has caught up for a session read
// that is pinned to the primary; the primary, unless it is slow, for a read that replicas serve.
func (r *Router) chooseAlternative(q *rpc, target, primary *member, now time.Duration) *member {
	f := q.method.Freshness
	if f == settings.FreshnessSession && target == primary {
		return r.chooseReplica(q, q.commit, now)
	}
	if (f == settings.FreshnessBounded || f == settings.FreshnessAny) && primary != nil && r.slowdown(primary, now) < maxPrimarySlowdown {
		return primary
	}
	return nil
}

// accepts reports whether the member may get this RPC now.
func (r *Router) accepts(m *member, q *rpc, now time.Duration) bool {
	inFlight := m.inFlight.Len()
	if !m.available || m.presumedGone() && inFlight > 0 || m.health.ejected() && (inFlight >= m.health.allowance || now < m.health.nextAttemptAt) ||
		q.mayHaveRun && q.method.Duplicates == settings.DuplicatesInZone && m.zone != q.firstRunZone {
		return false
	}
	retryAfter := recheckInterval * time.Duration(len(q.attempts))
	rejected := func(a attempt) bool { return a.member == m && a.rejectedAt > now-retryAfter }
	return !slices.ContainsFunc(q.attempts, rejected) && r.slowStartAdmits(m, q, now)
}

// chooseReplica returns the replica of lowest cost among those known to have reached a position. Some reads go to an idle replica with no
// recent report, so that its state stays known; if members check freshness themselves, also to one that has not reported for some seconds
// and is not known to have reached the position.
func (r *Router) chooseReplica(q *rpc, required, now time.Duration) (best *member) {
	all := q.group.members
	for n, start := 0, r.random.Below(len(all)+1); n < len(all); n++ {
		m := all[(start+n)%len(all)]
		sinceReport, position := now-m.replication.reportedAt, m.replication.position
		unreported := m.inFlight.Len() == 0 && sinceReport > recheckInterval
		mayExplore := r.membersCheckFreshness && unreported && sinceReport > maxProbationBackoff
		if r.membersCheckFreshness && m.replication.reportedAt != unknownTime { // a member that has not advanced this far rejects the read
			position += sinceReport
		}
		if m == q.group.primary || position < required && !mayExplore || !r.accepts(m, q, now) {
			continue
		}
		if unreported && r.random.Float() < explorationShare && 2*r.predictLatency(m, q.method) < q.method.SoftDeadline {
			return m
		}
		if best == nil || r.cost(m, q.method) < r.cost(best, q.method) {
			best = m
		}
	}
	return best
}

func (r *Router) cost(m *member, meth *method) float64 {
	cost := float64(r.predictLatency(m, meth))
	if m.zone != r.zone {
		cost *= otherZoneCost
	}
	return cost
}

// choosePrimaryCandidate returns the member whose last proof of being a replica is oldest.
func (r *Router) choosePrimaryCandidate(q *rpc, now time.Duration) (best *member) {
	for _, m := range q.group.members {
		if m != q.group.primary && now-m.replication.replicaProvenAt >= recheckInterval && r.accepts(m, q, now) &&
			(best == nil || m.replication.replicaProvenAt < best.replication.replicaProvenAt) {
			best = m
		}
	}
	return best
}
