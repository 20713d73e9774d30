package rules

import (
	"fmt"
	"slices"
	"time"

	"passtack/driver"
)

const (
	positionRounding = 5 * time.Millisecond // largest error of positions due to rounding and late ticks
	maxSessionPin    = 10 * time.Second     // longest time for which a session's reads stay on the primary after its last write
	commitRetention  = 5 * time.Minute      // how long a session's write is remembered
)

// replicationState is what a member has reported about its position and role.
type replicationState struct {
	position        time.Duration // all commits up to here are applied
	reportedAt      time.Duration // when it last reported
	replicaProvenAt time.Duration // latest proof that it is a replica
}

// recordRole records a proof of a member's role. The newest proof decides which member is the primary of its group.
func (r *Router) recordRole(m *member, role driver.Role, at time.Duration) {
	g := m.group
	if role == driver.Replica {
		m.replication.replicaProvenAt = max(m.replication.replicaProvenAt, at)
		if g.primary == m && at >= g.primaryProvenAt {
			g.primary = nil
		}
	} else if at >= g.primaryProvenAt && at >= m.replication.replicaProvenAt {
		if g.primary != m {
			r.host.Log(fmt.Sprintf("member %012x is primary of its group", uint64(m.id)))
		}
		g.primary, g.primaryProvenAt = m, at
	}
}

// applyReport reads position (column x0) and role (column x1) from a load report. The role is proven as of that position.
func (r *Router) applyReport(m *member, report []float64) {
	x0, x1 := slices.Index(r.reportColumns, "x0"), slices.Index(r.reportColumns, "x1")
	if x0 < 0 || max(x0, x1) >= len(report) || report[x0] <= 0 || report[x0] > (r.host.Now()+r.clockOffset).Seconds()+1 {
		return // a position in the future is invalid
	}
	position := time.Duration(report[x0]*float64(time.Second)) - time.Millisecond - r.clockOffset
	m.replication.position = max(m.replication.position, position)
	if x1 >= 0 {
		role := driver.Replica
		if report[x1] == 1 {
			role = driver.Primary
		}
		r.recordRole(m, role, position)
	}
}

// replicasCaughtUp reports whether every replica of the group is known to have applied the commit.
func (g *group) replicasCaughtUp(commit time.Duration) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m.available && m != g.primary && m.replication.position < commit && !m.presumedGone()
	})
}

func (r *Router) rememberCommit(session driver.Session, commit time.Duration) {
	r.sessionCommits[session] = max(commit, r.sessionCommits[session])
	r.host.SessionWrote(session, r.sessionCommits[session])
}

// RestoreSessionCommit restores the position of a session's write for the rest of its retention.
func (r *Router) RestoreSessionCommit(session driver.Session, commit time.Duration) {
	if now := r.host.Now(); commit <= now && now-commit < commitRetention {
		r.rememberCommit(session, commit)
	}
}
