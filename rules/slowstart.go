package rules

import (
	"math"
	"slices"
	"time"
)

const coldPart = 0.4 // of the cold budget; the rest is for bursts and for what was not seen

func (r *Router) loadOf(m *member, now time.Duration) float64 { return r.recent(m.load, now-m.loadAt) }

// recent is what still counts of work after some time.
func (r *Router) recent(work float64, age time.Duration) float64 {
	if work == 0 {
		return 0
	}
	return work * math.Exp(-float64(age)/float64(max(r.terms.Duration("rules.cold_window"), r.tick)))
}

func (r *Router) cold(m *member, now time.Duration) bool {
	return m.started != never && r.age(m, now) < r.terms.Duration("rules.cold_lasts")
}

// age is how long ago a member started, at least: starts are told by another clock.
func (r *Router) age(m *member, now time.Duration) time.Duration { return now - r.doubt - m.started }

// coldRoom keeps the fourth rule: what a cold member gets stays within this driver's part of a budget taken
// from what warm ones answer, rounded to whole RPCs by dice that are cast once a window. A driver that has
// an RPC for it in few windows only would use little of its part: there the dice count for what it asks of
// the member in a window, more where all ask for more, this RPC has waited or has few members left to go to.
// Where nothing warm is known, half of what clients ask for holds until more is shown, parted among all that
// there were of late: the few that are left can do no more for being few. What a member has
// answered in a window it can do, and root(k) times that in the next is under k times it, bursts and all.
func (r *Router) coldRoom(m *member, q *rpc, now time.Duration) bool {
	if !r.cold(m, now) {
		return true
	}
	window := max(r.terms.Duration("rules.cold_window"), r.tick)
	if g := m.group; now-g.diceAt > window {
		g.dice, g.diceAt = r.chance.Float(), now
	}
	multiple, share := r.terms.Number("rules.cold_multiple", 1), r.terms.Number("rules.cold_share", 1)
	share += (1 - share) * max(0, float64(r.age(m, now))/float64(r.terms.Duration("rules.cold_lasts")))
	all, left := m.group.takers(q)
	work, borne := q.method.usual.Seconds(), max(r.borne, r.recent(r.fresh, now-r.cameAt)/float64(len(r.all))/2)
	asked := max(borne, (r.recent(r.came, now-r.cameAt)-work)/max(r.ready, 1)) * all / left
	asked *= 1 + max(0, (now-q.wanted).Seconds()/window.Seconds())
	room := max(coldPart*share*multiple*borne, math.Sqrt(multiple)*r.recent(m.shown, now-m.shownAt))
	return r.loadOf(m, now)+min(work, asked)*m.group.dice <= room
}

// takers are how many of the group's members RPCs like this one go to on usual days, and to how many of them
// this one still may.
func (g *group) takers(q *rpc) (all, left float64) {
	for _, m := range g.members {
		if m.sendable && (m == g.primary) == (q.method.need == write || q.method.need == fresh) {
			all++
			if m.trickle == 0 && !slices.ContainsFunc(q.calls, func(c attempt) bool { return c.to == m }) {
				left++
			}
		}
	}
	return max(all, 1), max(left, 1)
}

// survey measures how often members fail and what warm ones bear. Once none is left, what they bore holds.
func (r *Router) survey(now time.Duration) {
	total, count := make(map[bool]float64), make(map[bool]float64) // of replicas and of primaries
	r.failing, r.ready = 0, 0
	for _, m := range r.all {
		if m.sendable {
			r.ready++
		}
		r.failing += math.Ceil(m.fails-memory/2) / float64(len(r.all)) // 1 for each that failed of late
		if m.sendable && m.trickle == 0 && !r.cold(m, now) {
			kind := m == m.group.primary
			total[kind] += r.loadOf(m, now)
			count[kind]++
		}
	}
	if len(count) > 0 {
		r.borne = max(total[false]/max(count[false], 1), total[true]/max(count[true], 1))
	}
}
