package rules

import (
	"math"
	"slices"
	"time"

	"passtack/internal/decay"
)

const slowStartShare = 0.4 // used share of a member's slow-start budget; the rest is a reserve for bursts and unknown load

// driverLoad is the load that clients request of this driver and that its members carry: seconds of typical latency, each weighted by its
// age (decay.Sum) with the time constant loadWindow.
type driverLoad struct {
	requested, firstTries          decay.Sum // load requested by clients: with all RPCs; with first tries only
	carried                        float64   // load of a warm member of the busier role, as in member.load
	availableMembers, failingShare float64   // number of available members; share of members with recent failures
}

func (r *Router) loadWindow() time.Duration {
	return max(r.settings.Duration("rules.cold_window"), r.ticks.interval)
}

// age returns the shortest possible time since the member started. The start is given by the members' clock, whose offset is uncertain.
func (r *Router) age(m *member, now time.Duration) time.Duration {
	return now - r.clockUncertainty - m.startedAt
}

// warmingUp reports whether the member is in slow start.
func (r *Router) warmingUp(m *member, now time.Duration) bool {
	return m.startedAt != unknownTime && r.age(m, now) < r.settings.Duration("rules.cold_lasts")
}

// slowStartAdmits reports whether a member's slow-start budget has capacity for this RPC. The budget is this driver's part of the load of a
// warm member, or a multiple of the work that the member has answered (docs/recovery.md). It is rounded to whole RPCs by a random draw per
// window; the draw is weighted by the work expected for the member in a window, so that drivers with few RPCs use their part as well.
func (r *Router) slowStartAdmits(m *member, q *rpc, now time.Duration) bool {
	if !r.warmingUp(m, now) {
		return true
	}
	window, g := r.loadWindow(), m.group
	if now-g.drawnAt > window {
		g.draw, g.drawnAt = r.random.Float(), now
	}
	multiple, share := r.settings.Number("rules.cold_multiple", 1), r.settings.Number("rules.cold_share", 1)
	share += (1 - share) * max(0, float64(r.age(m, now))/float64(r.settings.Duration("rules.cold_lasts")))
	// If the load of warm members is not known, half of a member's part of the load that clients request is used instead.
	carried := max(r.load.carried, r.load.firstTries.At(now, window)/float64(len(r.memberList))/2)
	budget := max(slowStartShare*share*multiple*carried, math.Sqrt(multiple)*m.servedLoad.At(now, window))
	work := q.method.typical.value.Seconds()
	usual, left := g.eligibleMembers(q)
	expected := max(carried, (r.load.requested.At(now, window)-work)/max(r.load.availableMembers, 1)) * usual / left
	expected *= 1 + max(0, (now-q.requestedAt).Seconds()/window.Seconds())
	return m.load.At(now, window)+min(work, expected)*g.draw <= budget
}

// eligibleMembers counts the members of the group that usually serve such RPCs, and those of them that are left for this RPC.
func (g *group) eligibleMembers(q *rpc) (usual, left float64) {
	for _, m := range g.members {
		if m.available && (m == g.primary) == q.method.Freshness.PrefersPrimary() {
			usual++
			if !m.health.ejected() && !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.member == m }) {
				left++
			}
		}
	}
	return max(usual, 1), max(left, 1)
}

// measureMembers measures the share of failing members and the load of warm members. If no warm member is left, the latest load is kept.
func (r *Router) measureMembers(now time.Duration) {
	load, count := make(map[bool]float64), make(map[bool]float64) // by whether the members are primaries
	r.load.failingShare, r.load.availableMembers = 0, 0
	for _, m := range r.memberList {
		if m.available {
			r.load.availableMembers++
		}
		r.load.failingShare += math.Ceil(m.health.failureRate-failureWeight/2) / float64(len(r.memberList)) // the numerator is 1 if the member failed recently, else 0
		if m.available && !m.health.ejected() && !r.warmingUp(m, now) {
			isPrimary := m == m.group.primary
			load[isPrimary] += m.load.At(now, r.loadWindow())
			count[isPrimary]++
		}
	}
	if len(count) > 0 {
		r.load.carried = max(load[false]/max(count[false], 1), load[true]/max(count[true], 1))
	}
}
