package rules

import (
	"time"

	"passtack/driver"
)

// Take is the ordinary path's start: a client's RPC, which came whole a while ago, gets one final answer.
func (r *Router) Take(id driver.RPC, meth driver.Method, in driver.Group, whose driver.Tenant,
	who driver.Session, came, until, wrote time.Duration, repeat bool) {
	now := r.host.Now()
	if int(meth) >= len(r.methods) {
		r.host.PushBack(id, 0)
		return
	}
	q := &rpc{id: id, method: r.methods[meth], group: r.groupOf(in), session: who, arrived: now, until: until,
		by: until}
	r.rpcs[id], q.token, q.tenant, q.place.Value = q, never, whose, q
	r.catchUp(now)
	r.noticeHalt(now)
	r.probes = min(r.probes+probePart, probeCredit)
	q.wanted = r.firstSeen(q.method, now, came, until, repeat)
	r.came, r.fresh = r.recent(r.came, now-r.cameAt)+q.method.usual.Seconds(), r.recent(r.fresh, now-r.cameAt)
	if r.cameAt = now; q.wanted == came {
		r.fresh += q.method.usual.Seconds()
	}
	if token, ok := r.tokens[who]; ok {
		q.token = token
	} else if wrote > 0 {
		q.token = now - wrote + time.Millisecond
	}
	r.route(q)
}

// firstSeen tells since when the client wants the answer. A try lasts as usual or until the client's limit
// for all tries: another length gives an earlier try away. What waited out a halt of this driver is older.
func (r *Router) firstSeen(m *method, now, came, until time.Duration, repeat bool) time.Duration {
	usual := (until - came - m.tryLasts).Abs() < 2*r.tick
	if !usual && now != r.halted {
		if m.trySure--; m.trySure < 0 {
			m.tryLasts, m.trySure, usual = until-came, 1, true
		}
	} else if usual {
		m.trySure = min(m.trySure+1, trusted)
	}
	if usual && repeat {
		return came - m.soft/4 // the time to come back is that at most
	} else if usual {
		return came
	} else if now == r.halted {
		return min(came, until-m.tryLasts)
	}
	return min(came, until-m.limit)
}

// Ended tells how an attempt ended, and what the member said of itself.
func (r *Router) Ended(id driver.RPC, n int, from driver.Member, how driver.Outcome, took time.Duration,
	complete bool, pos time.Duration, role driver.Role, report []float64) {
	now := r.host.Now()
	q := r.rpcs[id]
	if q == nil || n >= len(q.calls) || !q.calls[n].open {
		return
	}
	r.noticeHalt(now)
	c := &q.calls[n]
	c.open = false
	q.out--
	m := c.to
	lost := !q.place.In(&m.out) && !m.missed
	q.place.Leave()
	if c.scout {
		q.group.scouts--
	}
	r.learn(q, c, how, lost, took, now)
	if role != driver.Unknown {
		m.pos, m.posAt = max(m.pos, pos), now
		r.toldRole(m, role, now)
	}
	r.reported(m, report)
	if how == driver.OK && q.method.need == write && r.terms.Text("family_info.token") == "remembered" {
		r.remember(q.session, max(pos, c.sent))
	}
	q.answered = q.answered || complete
	if neverRan(how) {
		c.turned = now
	} else if !q.mayHaveRun {
		q.mayHaveRun, q.ranAt, q.ranIn = true, c.sent, m.zone
	}
	if q.answered {
		r.forget(q)
		return
	}
	r.again(q, how, now)
}

// Probed brings the result of a probe; Told brings another driver's words, which are not needed here.
func (r *Router) Probed(id driver.Member, ok bool, took time.Duration, report []float64) {
	if m := r.members[id]; m != nil && ok {
		m.posAt = r.host.Now()
		r.reported(m, report)
	}
}

// Told takes a message of another driver. No decision needs one.
func (r *Router) Told(from driver.Peer, text []byte) {}

// ClientLeft ends an RPC for which nobody waits any more.
func (r *Router) ClientLeft(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		r.callOff(q)
		r.forget(q)
	}
}

// CutOff gives an RPC its final answer now: the driver ends before its client's deadline.
func (r *Router) CutOff(id driver.RPC) {
	if q := r.rpcs[id]; q != nil && !q.answered {
		r.giveUp(q, 0, ShuttingDown)
	}
}

// ClientParts takes what is out as the last attempt of an RPC.
func (r *Router) ClientParts(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		if q.by = r.host.Now(); q.held {
			r.giveUp(q, 0, ClientParted)
		}
	}
}
