package rules

import (
	"maps"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/decay"
	"passtack/internal/linkedlist"
)

// MaxListRetryWait is the longest wait between a failed call to discovery and the next one; internal/discovery relies on it.
const MaxListRetryWait = 500 * time.Millisecond

// endpoint is the state of a member according to the endpoint list.
type endpoint struct {
	zone                        driver.Zone
	listed, draining, available bool          // draining: the member was listed as draining since its latest start; available: it may get RPCs
	startedAt, delistedAt       time.Duration // its latest start that was listed; when it left the list, unknownTime while it is listed
}

// member is a database process.
type member struct {
	endpoint
	id          driver.Member
	group       *group
	replication replicationState
	health      health
	latency     latencyEstimate
	load        decay.Sum             // work sent to it during slow start, else work that it answered; in seconds of typical latency
	servedLoad  decay.Sum             // work that it answered during slow start
	inFlight    linkedlist.List[*rpc] // in the order of sending
}

// group is a primary and its replicas.
type group struct {
	members                  []*member     // in the order of their first listing
	primary                  *member       // nil: unknown
	primaryProvenAt, drawnAt time.Duration // drawnAt: when draw was drawn
	exploratoryAttempts      int           // writes in flight at members that may be the primary but are not known to be
	draw                     float64       // random number that rounds slow-start budgets to whole RPCs; shared by the members, since each RPC goes to one of them
}

func (r *Router) groupOf(id driver.Group) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{primaryProvenAt: unknownTime, drawnAt: unknownTime}
		r.groups[id] = g
	}
	return g
}

// ListBegins starts an update of the endpoint list; EndpointListed follows for each entry, then ListEnds.
func (r *Router) ListBegins(kind driver.ListKind) {
	r.runSkippedScans(r.host.Now())
	for _, m := range r.memberList {
		m.listed = m.listed && kind != driver.Complete && kind != driver.Cached
	}
}

// EndpointListed takes one entry of the endpoint list.
func (r *Router) EndpointListed(id driver.Member, zone driver.Zone, groupID driver.Group, state driver.MemberState,
	weight float64, startedAt time.Duration, primary bool) {
	m, g := r.members[id], r.groupOf(groupID)
	if m == nil {
		m = &member{
			id: id, group: g, endpoint: endpoint{zone: zone, startedAt: startedAt, delistedAt: unknownTime},
			replication: replicationState{position: unknownTime, reportedAt: unknownTime, replicaProvenAt: unknownTime},
			health:      health{lastReplyAt: unknownTime, checkedAt: unknownTime, backoff: recheckInterval},
			latency:     latencyEstimate{ratio: 1, sampledAt: r.host.Now()},
		}
		r.members[id], r.memberList, g.members = m, append(r.memberList, m), append(g.members, m)
	}
	if startedAt > m.startedAt {
		m.latency.ratio, m.latency.depth, m.load, m.servedLoad, m.draining = 1, 0, decay.Sum{}, decay.Sum{}, false
	}
	m.startedAt = max(m.startedAt, startedAt)
	m.draining = state == driver.Draining || m.draining && (r.onlyDrainingBinds || state == driver.Gone)
	m.listed = state != driver.Gone
	if primary && m.listed && !m.draining && g.primary == nil && m.replication.replicaProvenAt == unknownTime {
		g.primary = m
	}
}

// ListEnds decides which members may get RPCs. Under rules.only_draining_binds a member that is not listed gets one RPC at a time until it
// answers, so that a wrong list does not stop the service.
func (r *Router) ListEnds(kind driver.ListKind) {
	for _, m := range r.memberList {
		if m.listed {
			m.delistedAt = unknownTime
		} else if m.delistedAt == unknownTime {
			m.delistedAt = r.host.Now()
		}
		r.setAvailable(m, !m.draining && (m.listed || r.onlyDrainingBinds))
	}
	r.memberList = slices.DeleteFunc(r.memberList, r.removeIfExpired)
	maps.DeleteFunc(r.groups, func(_ driver.Group, g *group) bool { return len(g.members) == 0 })
	maps.DeleteFunc(r.sessionCommits, func(_ driver.Session, at time.Duration) bool { return r.host.Now()-at >= commitRetention })
	if kind == driver.NoList {
		wait := time.Duration((1 + r.random.Float()) / 2 * float64(MaxListRetryWait))
		r.timers.Push(r.host.Now()+wait, func() { r.host.Watch(true) })
	}
}

func (r *Router) setAvailable(m *member, available bool) {
	if m.available != available {
		m.available = available
		r.host.SetAvailable(m.id, available)
	}
	if !available && m.group.primary == m {
		m.group.primary = nil
	}
}

// removeIfExpired removes a member that has been off the list and silent for long, unless rules.only_draining_binds needs it
// to be remembered as draining. It reports whether the member was removed; the caller then removes it from memberList.
func (r *Router) removeIfExpired(m *member) bool {
	silent := r.host.Now() - max(m.delistedAt, m.replication.reportedAt)
	if m.listed || m.inFlight.Len() > 0 || silent < maxSessionPin || r.onlyDrainingBinds && (m.draining || silent < commitRetention) {
		return false
	}
	delete(r.members, m.id)
	r.host.Forget(m.id)
	m.group.members = slices.DeleteFunc(m.group.members, func(other *member) bool { return other == m })
	return true
}

// presumedGone reports whether the member left the list and has not answered since.
func (m *member) presumedGone() bool { return m.delistedAt > m.replication.reportedAt }

// LearnedMembers visits at most limit members from an index on, with their learned state to be saved. It returns the next index, 0 at the end.
func (r *Router) LearnedMembers(from, limit int, visit func(driver.Member, driver.MemberSnapshot)) (next int) {
	end := min(from+limit, len(r.memberList))
	for _, m := range r.memberList[min(from, end):end] {
		s, l := &m.replication, &m.latency
		visit(m.id, driver.MemberSnapshot{Position: s.position, Replica: s.replicaProvenAt, Timed: l.sampledAt, Ratio: l.ratio})
	}
	return end % max(len(r.memberList), 1)
}

// RestoreMember restores what a previous process learned about a member, unless the member has started since it was saved or the clock went
// back. The restored state proves no role: a former replica is the last candidate for primary, a former primary the first, with one
// exploratory write.
func (r *Router) RestoreMember(id driver.Member, saved driver.MemberSnapshot, savedAt time.Duration) {
	m, now := r.members[id], r.host.Now()
	if m == nil || m.startedAt >= savedAt || max(savedAt, saved.Position, saved.Replica, saved.Timed) > now {
		return
	}
	s := &m.replication
	s.position, s.replicaProvenAt = max(s.position, saved.Position), max(s.replicaProvenAt, saved.Replica)
	if m.health.lastReplyAt == unknownTime {
		m.latency.ratio, m.latency.sampledAt = saved.Ratio, saved.Timed
	}
}
