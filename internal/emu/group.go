package emu

import (
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

// Election holds the durations of an election, each drawn at random between two bounds where it has two.
type Election struct {
	Detection [2]time.Duration // from the failure of a primary until the group gives it up
	Takeover  [2]time.Duration // from then until a replica takes over
	HandOver  [2]time.Duration // from the drain of a primary until it hands over
	DualClaim time.Duration    // for which a primary that was only hung may still claim its role beside the new one
}

// logEntry is one write in the log.
type logEntry struct {
	position time.Duration
}

// Group is a primary and its replicas.
type Group struct {
	Number     driver.Group
	Members    []*Member
	Election   Election
	timer      Timer
	rng        *pcg.Source
	primary    *Member
	log        []logEntry               // the last minute, in rising order of position
	tokenTimes map[string]time.Duration // when a write with this token first ran
	lastSweep  time.Duration
	term       int // number of elections so far
	electing   bool

	OnPrimaryChange func(primary *Member) // called with each new primary, and with nil when there is none; may be nil
}

// logRetention is how far back the log reaches. A replica that is further behind gets everything older at once.
const logRetention = time.Minute

// NewGroup returns a group whose first member is primary.
func NewGroup(number driver.Group, e Election, t Timer, rng *pcg.Source, members ...*Member) *Group {
	g := &Group{Number: number, Members: members, Election: e, timer: t, rng: rng, tokenTimes: make(map[string]time.Duration)}
	for i, m := range members {
		m.Group, m.role, m.applied, m.applierFreeAt = g, driver.Replica, t.Now(), t.Now()
		if i == 0 {
			m.role, g.primary = driver.Primary, m
		}
	}
	return g
}

// Primary returns the member that the group currently follows, or nil.
func (g *Group) Primary() *Member { return g.primary }

func (g *Group) randomBetween(bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(g.rng.Float()*float64(bounds[1]-bounds[0]))
}

// commit appends a write to the log, unless its token ran within the deduplication window. It reports whether the
// write had an effect.
func (g *Group) commit(m *Member, j *Job) bool {
	now := g.timer.Now()
	if now-g.lastSweep > time.Second {
		g.lastSweep = now
		for token, at := range g.tokenTimes {
			if now-at > 4*m.Spec.DedupWindow {
				delete(g.tokenTimes, token)
			}
		}
	}
	if at, known := g.tokenTimes[j.Token]; j.Token != "" && known && j.arrivedAt-at <= m.Spec.DedupWindow { // measured from arrival: time spent in the member's queue does not count
		return false
	}
	if j.Token != "" {
		g.tokenTimes[j.Token] = now
	}
	if g.primary != m { // the group follows another primary, so this write is lost
		return true
	}
	g.log = append(g.log, logEntry{now})
	for len(g.log) > 0 && g.log[0].position < now-logRetention {
		g.log = g.log[1:]
	}
	return true
}

// applyLog applies the log entries that have reached a replica by now, one after the other, and returns the replica's
// position: that of the last entry applied, or now less the log delay if none is left.
func (g *Group) applyLog(m *Member) time.Duration {
	now := g.timer.Now()
	reached := min(now, max(m.pausedUntil, now)) - m.Spec.LogDelay
	if g.primary == nil {
		return m.applied
	}
	for _, c := range g.log {
		if c.position <= m.applied {
			continue
		}
		if c.position > reached {
			return m.applied
		}
		took := time.Duration(float64(m.Spec.ApplyTime) * m.ApplySlowdown * (1 + m.Load()) / max(1-m.StolenCPU, 0.05))
		done := max(m.applierFreeAt, c.position+m.Spec.LogDelay) + took
		if done > now {
			return m.applied
		}
		m.applierFreeAt, m.applied = done, c.position
	}
	m.applied = max(m.applied, reached)
	return m.applied
}

func (g *Group) setPrimary(m *Member) {
	g.primary = m
	if g.OnPrimaryChange != nil {
		g.OnPrimaryChange(m)
	}
}

// memberLost starts an election if the member that died was the primary.
func (g *Group) memberLost(m *Member) {
	if g.primary == m {
		g.replacePrimary(m, g.randomBetween(g.Election.Detection))
	}
}

// Suspect reports that the primary has stopped responding. It is replaced like a dead one unless it responds again
// before it is given up.
func (g *Group) Suspect(m *Member) {
	if g.primary != m {
		return
	}
	term := g.term
	g.timer.At(g.timer.Now()+g.randomBetween(g.Election.Detection), func() {
		if g.term == term && g.primary == m && (m.Paused() || !m.up) {
			g.replacePrimary(m, 0)
		}
	})
}

// replacePrimary starts an election in which the replica with most of the log takes over. An old primary that was only
// hung may claim its role beside the new one for a while, until it learns of the election.
func (g *Group) replacePrimary(old *Member, after time.Duration) {
	if g.electing {
		return
	}
	g.electing = true
	g.timer.At(g.timer.Now()+after, func() {
		for _, m := range g.Members {
			if m.up {
				g.applyLog(m)
			}
		}
		if g.primary == old {
			g.setPrimary(nil)
		}
		until := g.timer.Now()
		g.timer.At(until+g.randomBetween(g.Election.Takeover), func() { g.elect(old, until, false) })
	})
}

// elect makes the most advanced available replica primary. The old primary was followed until the given time; it may
// be elected again if no other member is available.
func (g *Group) elect(old *Member, until time.Duration, again bool) {
	var best *Member
	for _, m := range g.Members {
		if m.up && !m.draining && !m.Paused() && (m != old || again) && (best == nil || m.applied > best.applied) {
			best = m
		}
	}
	if best == nil { // no member is available: try again
		g.timer.At(g.timer.Now()+100*time.Millisecond, func() { g.elect(old, until, true) })
		return
	}
	g.electing = false
	g.term++
	best.role = driver.Primary
	g.setPrimary(best)
	if best != old && old.up && old.role == driver.Primary {
		incarnation := old.incarnation
		g.timer.At(max(g.timer.Now(), old.pausedUntil)+g.Election.DualClaim, func() {
			if old.incarnation == incarnation && g.primary != old {
				old.demote(until)
			}
		})
	}
}

// handOver transfers the role of a draining primary to a replica.
func (g *Group) handOver(m *Member) {
	if g.primary != m || g.electing {
		return
	}
	g.electing = true
	g.timer.At(g.timer.Now()+g.randomBetween(g.Election.HandOver), func() {
		for _, o := range g.Members {
			if o.up {
				g.applyLog(o)
			}
		}
		m.demote(g.timer.Now())
		if g.primary == m {
			g.setPrimary(nil)
		}
		g.elect(m, g.timer.Now(), false)
	})
}
