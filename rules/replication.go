package rules

import (
	"fmt"
	"slices"
	"time"

	"passtack/driver"
)

const positionRounding = 5 * time.Millisecond // rounding of positions and late ticks

// doubted tells of a member that the list dropped and that has said nothing since.
func (m *member) presumedGone() bool { return m.delistedAt > m.positionAt }

// toldRole keeps the newest proof of who is primary.
func (r *Router) recordRole(m *member, role driver.Role, at time.Duration) {
	g := m.group
	if role == driver.Replica {
		m.replicaProvenAt = max(m.replicaProvenAt, at)
		if g.primary == m && at >= g.primaryProvenAt {
			g.primary = nil
		}
	} else if at >= g.primaryProvenAt && at >= m.replicaProvenAt {
		if g.primary != m {
			r.host.Log(fmt.Sprintf("member %012x is primary of its group", uint64(m.id)))
		}
		g.primary, g.primaryProvenAt = m, at
	}
}

// reported reads a load report. Its position is also how old it is at most as a proof of the role.
func (r *Router) applyReport(m *member, report []float64) {
	x0, x1 := slices.Index(r.reportColumns, "x0"), slices.Index(r.reportColumns, "x1")
	if x0 < 0 || max(x0, x1) >= len(report) || report[x0] <= 0 || report[x0] > (r.host.Now()+r.clockOffset).Seconds()+1 {
		return // nobody has applied what was not written yet
	}
	pos := time.Duration(report[x0]*float64(time.Second)) - time.Millisecond - r.clockOffset
	m.position = max(m.position, pos)
	if x1 >= 0 {
		role := driver.Replica
		if report[x1] == 1 {
			role = driver.Primary
		}
		r.recordRole(m, role, pos)
	}
}
