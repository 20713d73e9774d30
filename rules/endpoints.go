package rules

import (
	"maps"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
)

// ListPause is the longest until discovery is asked again after a failed call: internal/list has the sum.
const MaxListRetryWait = 500 * time.Millisecond

var delistedRetention = map[bool]time.Duration{true: commitRetention, false: maxSessionPin} // of one off the list, by its use

type member struct {
	id                                 driver.Member
	zone                               driver.Zone
	group                              *group
	listed, draining, available        bool              // drains: seen draining since its latest start
	lostReply                          bool              // its latest single RPC got no answer in time
	startedAt, delistedAt, ejectedAt   time.Duration     // latest start listed; when it was dropped, set aside
	position, positionAt               time.Duration     // it has applied all commits up to pos; when that was told
	replicaProvenAt                    time.Duration     // latest proof that it is a replica
	lastReplyAt                        time.Duration     // latest answer, or start of being busy
	ratio, typicalDepth                float64           // its latencies against the usual; attempts out then
	failureRate                        float64           // part of its latest attempts without a connection
	recentLoad, servedLoad             float64           // recent work: load is sent while cold, else answered
	inFlight                           chain.Chain[*rpc] // in the order in which they were sent
	ratioDecay                         decayCache
	allowance                          int           // attempts it may hold, 0: trusted
	backoff, nextAttemptAt             time.Duration // between trickles that fail
	sampledAt, recentLoadAt, checkedAt time.Duration // latest latency, work and probe
	servedLoadAt                       time.Duration
}

type group struct {
	members             []*member // in the order in which they were first listed
	primary             *member
	primaryProvenAt     time.Duration // when the primary was proven so
	exploratoryAttempts int
	draw                float64 // which RPCs go to its cold members now: one for all, as each RPC goes to one of them
	drawnAt             time.Duration
}

func (r *Router) groupOf(id driver.Group) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{primaryProvenAt: unknownTime, drawnAt: unknownTime}
		r.groups[id] = g
	}
	return g
}

// ListBegins starts an update of the endpoint list; Listed follows for each entry, then ListEnds.
func (r *Router) ListBegins(how driver.Listing) {
	r.runSkippedScans(r.host.Now())
	for _, m := range r.memberList {
		m.listed = m.listed && how != driver.Whole && how != driver.Cached
	}
}

// Listed takes one entry of the endpoint list.
func (r *Router) EndpointListed(id driver.Member, zone driver.Zone, in driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	m := r.members[id]
	g := r.groupOf(in)
	if m == nil {
		m = &member{
			id: id, zone: zone, group: g, position: unknownTime, positionAt: unknownTime, replicaProvenAt: unknownTime, lastReplyAt: unknownTime,
			ratio: 1, sampledAt: r.host.Now(), backoff: recheckInterval, checkedAt: unknownTime, recentLoadAt: unknownTime / 2,
			startedAt: started, delistedAt: unknownTime,
		}
		r.members[id] = m
		r.memberList = append(r.memberList, m)
		g.members = append(g.members, m)
	}
	if started > m.startedAt {
		m.ratio, m.typicalDepth, m.recentLoad, m.servedLoad, m.draining = 1, 0, 0, 0, false
	}
	m.startedAt = max(m.startedAt, started)
	m.draining = state == driver.Draining || m.draining && (r.onlyDrainingBinds || state == driver.Gone)
	m.listed = state != driver.Gone
	if primary && m.listed && !m.draining && g.primary == nil && m.replicaProvenAt == unknownTime {
		g.primary = m
	}
}

// ListEnds judges who may be sent to. Where only draining binds, being left out proves nothing: such a member
// gets one RPC at a time until it says something. So an empty, shrunken or old list stops no service.
func (r *Router) ListEnds(how driver.Listing) {
	for _, m := range r.memberList {
		if m.listed {
			m.delistedAt = unknownTime
		} else if m.delistedAt == unknownTime {
			m.delistedAt = r.host.Now()
		}
		if m.available = !m.draining && (m.listed || r.onlyDrainingBinds); !m.available && m.group.primary == m {
			m.group.primary = nil
		}
	}
	r.memberList = slices.DeleteFunc(r.memberList, r.removeIfExpired)
	maps.DeleteFunc(r.groups, func(_ driver.Group, g *group) bool { return len(g.members) == 0 })
	maps.DeleteFunc(r.sessionCommits, func(_ driver.Session, at time.Duration) bool { return r.host.Now()-at >= commitRetention })
	if how == driver.NoList {
		wait := time.Duration((1 + r.random.Float()) / 2 * float64(MaxListRetryWait))
		r.timers.Push(r.host.Now()+wait, func() { r.host.Watch(true) })
	}
}

// forgotten drops a member that was off the list and silent for long, but no drain that may still bind.
func (r *Router) removeIfExpired(m *member) bool {
	silent := r.host.Now() - max(m.delistedAt, m.positionAt)
	if m.listed || m.inFlight.Count() > 0 || r.onlyDrainingBinds && m.draining || silent < delistedRetention[r.onlyDrainingBinds] {
		return false
	}
	delete(r.members, m.id)
	r.host.Forget(m.id)
	m.group.members = slices.DeleteFunc(m.group.members, func(o *member) bool { return o == m })
	return true
}
