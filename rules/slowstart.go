package rules

import (
	"math"
	"slices"
	"time"
)

const slowStartShare = 0.4 // of the cold budget; the rest is for bursts and for what was not seen

func (r *Router) memberLoad(m *member, now time.Duration) float64 {
	return r.decayedLoad(m.recentLoad, now-m.recentLoadAt)
}

// recent is what still counts of work after some time.
func (r *Router) decayedLoad(work float64, age time.Duration) float64 {
	if work == 0 {
		return 0
	}
	return work * math.Exp(-float64(age)/float64(max(r.settings.Duration("rules.cold_window"), r.tick)))
}

func (r *Router) warmingUp(m *member, now time.Duration) bool {
	return m.startedAt != unknownTime && r.age(m, now) < r.settings.Duration("rules.cold_lasts")
}

// age is how long ago a member started, at least: starts are told by another clock.
func (r *Router) age(m *member, now time.Duration) time.Duration {
	return now - r.clockUncertainty - m.startedAt
}

// coldRoom keeps the fourth rule: what a cold member gets stays within this driver's part of a budget taken
// from what warm ones answer, rounded to whole RPCs by dice that are cast once a window. A driver that has
// an RPC for it in few windows only would use little of its part: there the dice count for what it asks of
// the member in a window, more where all ask for more, this RPC has waited or has few members left to go to.
// Where nothing warm is known, half of what clients ask for holds until more is shown, parted among all that
// there were of late: the few that are left can do no more for being few. What a member has
// answered in a window it can do, and root(k) times that in the next is under k times it, bursts and all.
func (r *Router) slowStartAdmits(m *member, q *rpc, now time.Duration) bool {
	if !r.warmingUp(m, now) {
		return true
	}
	window := max(r.settings.Duration("rules.cold_window"), r.tick)
	if g := m.group; now-g.drawnAt > window {
		g.draw, g.drawnAt = r.random.Float(), now
	}
	multiple, share := r.settings.Number("rules.cold_multiple", 1), r.settings.Number("rules.cold_share", 1)
	share += (1 - share) * max(0, float64(r.age(m, now))/float64(r.settings.Duration("rules.cold_lasts")))
	all, left := m.group.eligibleMembers(q)
	work, borne := q.method.typical.Seconds(), max(r.carriedLoad, r.decayedLoad(r.firstTryLoad, now-r.requestedLoadAt)/float64(len(r.memberList))/2)
	asked := max(borne, (r.decayedLoad(r.requestedLoad, now-r.requestedLoadAt)-work)/max(r.availableMembers, 1)) * all / left
	asked *= 1 + max(0, (now-q.requestedAt).Seconds()/window.Seconds())
	room := max(slowStartShare*share*multiple*borne, math.Sqrt(multiple)*r.decayedLoad(m.servedLoad, now-m.servedLoadAt))
	return r.memberLoad(m, now)+min(work, asked)*m.group.draw <= room
}

// takers are how many of the group's members RPCs like this one go to on usual days, and to how many of them
// this one still may.
func (g *group) eligibleMembers(q *rpc) (all, left float64) {
	for _, m := range g.members {
		if m.available && (m == g.primary) == (q.method.freshness == write || q.method.freshness == fresh) {
			all++
			if m.allowance == 0 && !slices.ContainsFunc(q.attempts, func(c attempt) bool { return c.member == m }) {
				left++
			}
		}
	}
	return max(all, 1), max(left, 1)
}

// survey measures how often members fail and what warm ones bear. Once none is left, what they bore holds.
func (r *Router) measureMembers(now time.Duration) {
	total, count := make(map[bool]float64), make(map[bool]float64) // of replicas and of primaries
	r.failingShare, r.availableMembers = 0, 0
	for _, m := range r.memberList {
		if m.available {
			r.availableMembers++
		}
		r.failingShare += math.Ceil(m.failureRate-failureWeight/2) / float64(len(r.memberList)) // 1 for each that failed of late
		if m.available && m.allowance == 0 && !r.warmingUp(m, now) {
			kind := m == m.group.primary
			total[kind] += r.memberLoad(m, now)
			count[kind]++
		}
	}
	if len(count) > 0 {
		r.carriedLoad = max(total[false]/max(count[false], 1), total[true]/max(count[true], 1))
	}
}
