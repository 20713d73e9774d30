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
	q := &rpc{id: id, method: r.methods[meth], group: r.groupOf(in), session: who, arrivedAt: now, deadline: until,
		sendBy: until}
	r.rpcs[id], q.commit, q.tenant, q.inFlightLink.Value = q, unknownTime, whose, q
	r.runSkippedScans(now)
	r.detectPause(now)
	r.healthCheckBudget = min(r.healthCheckBudget+healthChecksPerRPC, maxHealthCheckBudget)
	q.requestedAt = r.requestedSince(q.method, now, came, until, repeat)
	r.requestedLoad, r.firstTryLoad = r.decayedLoad(r.requestedLoad, now-r.requestedLoadAt)+q.method.typical.Seconds(), r.decayedLoad(r.firstTryLoad, now-r.requestedLoadAt)
	if r.requestedLoadAt = now; q.requestedAt == came {
		r.firstTryLoad += q.method.typical.Seconds()
	}
	if token, ok := r.sessionCommits[who]; ok {
		q.commit = token
	} else if wrote > 0 {
		q.commit = now - wrote + time.Millisecond
	}
	r.route(q)
}

// firstSeen tells since when the client wants the answer. A try lasts as usual or until the client's limit
// for all tries: another length gives an earlier try away. What waited out a halt of this driver is older.
func (r *Router) requestedSince(m *method, now, came, until time.Duration, repeat bool) time.Duration {
	usual := (until - came - m.attemptTimeout).Abs() < 2*r.tick
	if !usual && now != r.resumedAt {
		if m.timeoutVotes--; m.timeoutVotes < 0 {
			m.attemptTimeout, m.timeoutVotes, usual = until-came, 1, true
		}
	} else if usual {
		m.timeoutVotes = min(m.timeoutVotes+1, maxProbationAllowance)
	}
	if usual && repeat {
		return came - m.softDeadline/4 // the time to come back is that at most
	} else if usual {
		return came
	} else if now == r.resumedAt {
		return min(came, until-m.attemptTimeout)
	}
	return min(came, until-m.totalLimit)
}

// Ended tells how an attempt ended, and what the member said of itself.
func (r *Router) AttemptEnded(id driver.RPC, n int, from driver.Member, how driver.Outcome, took time.Duration,
	complete bool, pos time.Duration, role driver.Role, report []float64) {
	now := r.host.Now()
	q := r.rpcs[id]
	if q == nil || n >= len(q.attempts) || !q.attempts[n].open {
		return
	}
	r.detectPause(now)
	c := &q.attempts[n]
	c.open = false
	q.openAttempts--
	m := c.member
	lost := !q.inFlightLink.In(&m.inFlight) && !m.lostReply
	q.inFlightLink.Leave()
	if c.exploratory {
		q.group.exploratoryAttempts--
	}
	r.recordOutcome(q, c, how, lost, took, now)
	if role != driver.Unknown {
		m.position, m.positionAt = max(m.position, pos), now
		r.recordRole(m, role, now)
	}
	r.applyReport(m, report)
	if how == driver.OK && q.method.freshness == write && r.settings.Text("family_info.token") == "remembered" {
		r.rememberCommit(q.session, max(pos, c.sentAt))
	}
	q.answered = q.answered || complete
	if surelyNotRun(how) {
		c.rejectedAt = now
	} else if !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, c.sentAt, m.zone
	}
	if q.answered {
		r.removeIfDone(q)
		return
	}
	r.retry(q, how, now)
}

// Probed brings the result of a probe; Told brings another driver's words, which are not needed here.
func (r *Router) HealthCheckEnded(id driver.Member, ok bool, took time.Duration, report []float64) {
	if m := r.members[id]; m != nil && ok {
		m.positionAt = r.host.Now()
		r.applyReport(m, report)
	}
}

// Told takes a message of another driver. No decision needs one.
func (r *Router) PeerMessage(from driver.Peer, text []byte) {}

// ClientLeft ends an RPC for which nobody waits any more.
func (r *Router) ClientLeft(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		r.cancelAttempts(q)
		r.removeIfDone(q)
	}
}

// CutOff gives an RPC its final answer now: the driver ends before its client's deadline.
func (r *Router) AnswerNow(id driver.RPC) {
	if q := r.rpcs[id]; q != nil && !q.answered {
		r.giveUp(q, 0, ShuttingDown)
	}
}

// ClientParts takes what is out as the last attempt of an RPC.
func (r *Router) ClientHalfClosed(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		if q.sendBy = r.host.Now(); q.queued {
			r.giveUp(q, 0, ClientHalfClosed)
		}
	}
}
