package member

import (
	"slices"
	"time"

	"passtack/driver"
)

// settleTime is how long a connection stays unused after a response if there is another one.
const settleTime = 2 * time.Millisecond

// becomeIdle makes the connection available for the next attempt.
func (c *connection) becomeIdle() {
	p, m := c.pool, c.member
	c.idleSince = p.loop.Now()
	m.idle = append(m.idle, c)
	if m.idleTimer == nil {
		p.closeIdleAt(m, c.idleSince+p.idleTimeout)
	}
	if m.waiting.Len() > 0 {
		p.loop.Defer(func() { p.serveQueue(m) })
	}
}

// takeIdle removes and returns the most recently used idle connection, preferably one whose settleTime has passed, nil if there is
// none. It closes connections that the member may have closed.
func (p *Pool) takeIdle(m *member) *connection {
	for len(m.idle) > 0 {
		i := len(m.idle) - 1
		for i > 0 && p.loop.Now()-m.idle[i].respondedAt < settleTime {
			i--
		}
		c := m.idle[i]
		m.idle = slices.Delete(m.idle, i, i+1)
		if p.loop.Now()-c.idleSince < p.idleTimeout && c.stream.Alive() {
			return c
		}
		c.close()
	}
	return nil
}

// closeIdleAt schedules a check at the given time that closes connections idle for too long and repeats while any is idle.
func (p *Pool) closeIdleAt(m *member, at time.Duration) {
	m.idleTimer = p.loop.At(at, func() {
		m.idleTimer = nil
		for len(m.idle) > 0 && p.loop.Now()-m.idle[0].idleSince >= p.idleTimeout {
			m.idle[0].close()
		}
		if len(m.idle) > 0 {
			p.closeIdleAt(m, m.idle[0].idleSince+p.idleTimeout)
		}
	})
}

// CloseIdle closes the idle connections to a member.
func (p *Pool) CloseIdle(id driver.Member) {
	if m := p.members[id]; m != nil {
		for len(m.idle) > 0 {
			m.idle[0].close()
		}
	}
}

// CloseExcess closes idle connections to members to which the driver has more connections than it may have.
func (p *Pool) CloseExcess() {
	for _, m := range p.members {
		for excess := p.connectLimiter.Excess(&m.connections); excess > 0 && len(m.idle) > 0; excess-- {
			m.idle[0].close()
		}
	}
}

// OldestIdle returns the start of the idle time of the connection that has been idle for longest. ok is false if none is idle.
func (p *Pool) OldestIdle() (since time.Duration, ok bool) {
	c := p.oldestIdle()
	if c == nil {
		return 0, false
	}
	return c.idleSince, true
}

func (p *Pool) oldestIdle() (oldest *connection) {
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].idleSince < oldest.idleSince) {
			oldest = m.idle[0]
		}
	}
	return oldest
}

// EvictIdle closes the connection that has been idle for longest, and reports whether there was one.
func (p *Pool) EvictIdle() bool {
	oldest := p.oldestIdle()
	if oldest == nil {
		return false
	}
	p.outcomes.Count("members_closed_idle")
	oldest.close()
	return true
}
