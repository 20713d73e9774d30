package rules

import (
	"maps"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
)

// ListPause is the longest until discovery is asked again after a failed call: internal/list has the sum.
const ListPause = 500 * time.Millisecond

var absent = map[bool]time.Duration{true: kept, false: pinLimit} // of one off the list, by its use

type member struct {
	id                        driver.Member
	zone                      driver.Zone
	group                     *group
	listed, drains, sendable  bool              // drains: seen draining since its latest start
	missed                    bool              // its latest single RPC got no answer in time
	started, doubtAt, asideAt time.Duration     // latest start listed; when it was dropped, set aside
	pos, posAt                time.Duration     // it has applied all commits up to pos; when that was told
	replicaAt                 time.Duration     // latest proof that it is a replica
	heard                     time.Duration     // latest answer, or start of being busy
	ratio, depth              float64           // its latencies against the usual; attempts out then
	fails                     float64           // part of its latest attempts without a connection
	load, shown               float64           // recent work: load is sent while cold, else answered
	out                       chain.Chain[*rpc] // in the order in which they were sent
	fades                     fade
	trickle                   int           // attempts it may hold, 0: trusted
	pause, nextTry            time.Duration // between trickles that fail
	timedAt, loadAt, probedAt time.Duration // latest latency, work and probe
	shownAt                   time.Duration
}

type group struct {
	members   []*member // in the order in which they were first listed
	primary   *member
	primaryAt time.Duration // when the primary was proven so
	scouts    int
	dice      float64 // which RPCs go to its cold members now: one for all, as each RPC goes to one of them
	diceAt    time.Duration
}

func (r *Router) groupOf(id driver.Group) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{primaryAt: never, diceAt: never}
		r.groups[id] = g
	}
	return g
}

// ListBegins starts an update of the endpoint list; Listed follows for each entry, then ListEnds.
func (r *Router) ListBegins(how driver.Listing) {
	r.catchUp(r.host.Now())
	for _, m := range r.all {
		m.listed = m.listed && how != driver.Whole && how != driver.Cached
	}
}

// Listed takes one entry of the endpoint list.
func (r *Router) Listed(id driver.Member, zone driver.Zone, in driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	m := r.members[id]
	g := r.groupOf(in)
	if m == nil {
		m = &member{
			id: id, zone: zone, group: g, pos: never, posAt: never, replicaAt: never, heard: never,
			ratio: 1, timedAt: r.host.Now(), pause: askAgain, probedAt: never, loadAt: never / 2,
			started: started, doubtAt: never,
		}
		r.members[id] = m
		r.all = append(r.all, m)
		g.members = append(g.members, m)
	}
	if started > m.started {
		m.ratio, m.depth, m.load, m.shown, m.drains = 1, 0, 0, 0, false
	}
	m.started = max(m.started, started)
	m.drains = state == driver.Draining || m.drains && (r.lax || state == driver.Gone)
	m.listed = state != driver.Gone
	if primary && m.listed && !m.drains && g.primary == nil && m.replicaAt == never {
		g.primary = m
	}
}

// ListEnds judges who may be sent to. Where only draining binds, being left out proves nothing: such a member
// gets one RPC at a time until it says something. So an empty, shrunken or old list stops no service.
func (r *Router) ListEnds(how driver.Listing) {
	for _, m := range r.all {
		if m.listed {
			m.doubtAt = never
		} else if m.doubtAt == never {
			m.doubtAt = r.host.Now()
		}
		if m.sendable = !m.drains && (m.listed || r.lax); !m.sendable && m.group.primary == m {
			m.group.primary = nil
		}
	}
	r.all = slices.DeleteFunc(r.all, r.forgotten)
	maps.DeleteFunc(r.groups, func(_ driver.Group, g *group) bool { return len(g.members) == 0 })
	maps.DeleteFunc(r.tokens, func(_ driver.Session, at time.Duration) bool { return r.host.Now()-at >= kept })
	if how == driver.NoList {
		wait := time.Duration((1 + r.chance.Float()) / 2 * float64(ListPause))
		r.dues.Push(r.host.Now()+wait, func() { r.host.Watch(true) })
	}
}

// forgotten drops a member that was off the list and silent for long, but no drain that may still bind.
func (r *Router) forgotten(m *member) bool {
	silent := r.host.Now() - max(m.doubtAt, m.posAt)
	if m.listed || m.out.Count() > 0 || r.lax && m.drains || silent < absent[r.lax] {
		return false
	}
	delete(r.members, m.id)
	r.host.Forget(m.id)
	m.group.members = slices.DeleteFunc(m.group.members, func(o *member) bool { return o == m })
	return true
}
