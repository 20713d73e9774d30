package rules

import (
	"time"

	"passtack/driver"
)

// Learned gives what may outlast this driver, of some members from that place on; next is 0 at the end.
func (r *Router) LearnedMembers(from, most int, each func(driver.Member, driver.Known)) (next int) {
	to := min(from+most, len(r.memberList))
	for _, m := range r.memberList[min(from, to):to] {
		each(m.id, driver.Known{Position: m.position, Replica: m.replicaProvenAt, Timed: m.sampledAt, Ratio: m.ratio})
	}
	return to % max(len(r.memberList), 1)
}

// Recall takes what an earlier life of this driver learned of a member until it was saved, unless that has
// started since. None of it proves anything: who was a replica is asked last for the primary, who was primary
// is asked first and alone as any scout is; positions only go forward; a latency fades by its age.
func (r *Router) RestoreMember(id driver.Member, k driver.Known, saved time.Duration) {
	m, now := r.members[id], r.host.Now()
	if m == nil || m.startedAt >= saved || max(saved, k.Position, k.Replica, k.Timed) > now {
		return
	}
	m.position, m.replicaProvenAt = max(m.position, k.Position), max(m.replicaProvenAt, k.Replica)
	if m.lastReplyAt == unknownTime {
		m.ratio, m.sampledAt = k.Ratio, k.Timed
	}
}

// Usual gives the methods' usual latencies, after it has taken over those that an earlier life gave, if any.
func (r *Router) TypicalLatencies(recalled ...time.Duration) (all []time.Duration) {
	for i, m := range r.methods {
		if len(recalled) == len(r.methods) {
			m.typical = max(recalled[i], time.Millisecond)
		}
		all = append(all, m.typical)
	}
	return all
}
