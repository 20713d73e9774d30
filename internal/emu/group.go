package emu

import (
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

// Election is how a group gets another primary.
type Election struct {
	Notice   [2]time.Duration // a dead or hung primary is given up after a time between these
	Takeover [2]time.Duration // then a replica takes over after a time between these
	HandOver [2]time.Duration // a draining primary hands over
	Contest  time.Duration    // a primary that was only hung may claim its role for so long beside the new one
}

// commitment is one write in the log.
type commitment struct {
	at time.Duration // its position
}

// Group is a primary and its replicas.
type Group struct {
	Number   driver.Group
	Members  []*Member
	Election Election
	timer    Timer
	chance   *pcg.Source
	primary  *Member
	log      []commitment             // of the last minute, by position
	repeats  map[string]time.Duration // when a token first ran
	swept    time.Duration
	term     int // counts primaries
	giving   bool

	Changed func(primary *Member) // told of each new primary, and by nil that there is none; may be nil
}

// kept is how long the log reaches back: replicas further behind than that get the rest at once.
const kept = time.Minute

// NewGroup makes a group whose first member is primary.
func NewGroup(number driver.Group, e Election, t Timer, chance *pcg.Source, members ...*Member) *Group {
	g := &Group{Number: number, Members: members, Election: e, timer: t, chance: chance, repeats: make(map[string]time.Duration)}
	for i, m := range members {
		m.Group, m.role, m.applied, m.thread = g, driver.Replica, t.Now(), t.Now()
		if i == 0 {
			m.role, g.primary = driver.Primary, m
		}
	}
	return g
}

// Primary is the member that the group follows, nil while there is none.
func (g *Group) Primary() *Member { return g.primary }

func (g *Group) draw(between [2]time.Duration) time.Duration {
	return between[0] + time.Duration(g.chance.Float()*float64(between[1]-between[0]))
}

// commit puts a write into the log, unless it repeats one of the window. It tells whether it had an effect.
func (g *Group) commit(m *Member, j *Job) bool {
	now := g.timer.Now()
	if now-g.swept > time.Second {
		g.swept = now
		for token, at := range g.repeats {
			if now-at > 4*m.Build.Window {
				delete(g.repeats, token)
			}
		}
	}
	if at, known := g.repeats[j.Token]; j.Token != "" && known && j.came-at <= m.Build.Window { // what waits here is no later for it
		return false
	}
	if j.Token != "" {
		g.repeats[j.Token] = now
	}
	if g.primary != m { // the group follows another: what this one writes is lost to it
		return true
	}
	g.log = append(g.log, commitment{now})
	for len(g.log) > 0 && g.log[0].at < now-kept {
		g.log = g.log[1:]
	}
	return true
}

// seenBy lets a replica apply what has reached it by now, one commit after the other, and tells how far it has come: to
// the last commit applied, or to now less the log's delay where nothing is left.
func (g *Group) seenBy(m *Member) time.Duration {
	now := g.timer.Now()
	reached := min(now, max(m.paused, now)) - m.Build.Delay
	if g.primary == nil {
		return m.applied
	}
	for _, c := range g.log {
		if c.at <= m.applied {
			continue
		}
		if c.at > reached {
			return m.applied
		}
		took := time.Duration(float64(m.Build.Apply) * m.Lagging * (1 + m.Load()) / max(1-m.Theft, 0.05))
		done := max(m.thread, c.at+m.Build.Delay) + took
		if done > now {
			return m.applied
		}
		m.thread, m.applied = done, c.at
	}
	m.applied = max(m.applied, reached)
	return m.applied
}

func (g *Group) follow(m *Member) {
	g.primary = m
	if g.Changed != nil {
		g.Changed(m)
	}
}

// lost hears that a member died.
func (g *Group) lost(m *Member) {
	if g.primary == m {
		g.giveUp(m, g.draw(g.Election.Notice))
	}
}

// Suspect hears that the primary stands still: it is given up like a dead one unless it comes back in time.
func (g *Group) Suspect(m *Member) {
	if g.primary != m {
		return
	}
	term := g.term
	g.timer.At(g.timer.Now()+g.draw(g.Election.Notice), func() {
		if g.term == term && g.primary == m && (m.Paused() || !m.up) {
			g.giveUp(m, 0)
		}
	})
}

// giveUp lets the replica with most of the log take over. The old one, where it was only hung, may claim its role for
// a while beside the new one, before it hears of it.
func (g *Group) giveUp(old *Member, after time.Duration) {
	if g.giving {
		return
	}
	g.giving = true
	g.timer.At(g.timer.Now()+after, func() {
		for _, m := range g.Members {
			if m.up {
				g.seenBy(m)
			}
		}
		if g.primary == old {
			g.follow(nil)
		}
		until := g.timer.Now()
		g.timer.At(until+g.draw(g.Election.Takeover), func() { g.elect(old, until, false) })
	})
}

// elect lets a replica take over. The old primary was followed until then; where nobody else is left it may come back.
func (g *Group) elect(old *Member, until time.Duration, again bool) {
	var best *Member
	for _, m := range g.Members {
		if m.up && !m.drains && !m.Paused() && (m != old || again) && (best == nil || m.applied > best.applied) {
			best = m
		}
	}
	if best == nil { // nobody is left: look again
		g.timer.At(g.timer.Now()+100*time.Millisecond, func() { g.elect(old, until, true) })
		return
	}
	g.giving = false
	g.term++
	best.role = driver.Primary
	g.follow(best)
	if best != old && old.up && old.role == driver.Primary {
		life := old.life
		g.timer.At(max(g.timer.Now(), old.paused)+g.Election.Contest, func() {
			if old.life == life && g.primary != old {
				old.yield(until)
			}
		})
	}
}

// handOver lets a draining primary give its role to another.
func (g *Group) handOver(m *Member) {
	if g.primary != m || g.giving {
		return
	}
	g.giving = true
	g.timer.At(g.timer.Now()+g.draw(g.Election.HandOver), func() {
		for _, o := range g.Members {
			if o.up {
				g.seenBy(o)
			}
		}
		m.yield(g.timer.Now())
		if g.primary == m {
			g.follow(nil)
		}
		g.elect(m, g.timer.Now(), false)
	})
}
