package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/settings"
)

// Request is an RPC as its client sent it. Times are by Host.Now.
type Request struct {
	ID          driver.RPC
	Connection  driver.Connection // over which it came
	Method      driver.Method
	Group       driver.Group
	Tenant      driver.Tenant
	ClientRetry bool // the client declares that it has tried before
	Session     driver.Session
	Key         driver.Key
	ArrivedAt   time.Duration // when its last byte arrived
	Deadline    time.Duration // when the client stops waiting
	SinceWrite  time.Duration // time since the session's write that a read must include; 0: there is none
}

// Take starts serving an RPC, which gets exactly one final answer.
func (r *Router) Take(request Request) {
	now := r.host.Now()
	if int(request.Method) >= len(r.methods) {
		r.host.PushBack(request.ID, 0)
		return
	}
	q := &rpc{Request: request, method: r.methods[request.Method], group: r.groupOf(request.Group), takenAt: now, sendBy: request.Deadline, commit: unknownTime}
	r.rpcs[q.ID], q.inFlightLink.Value = q, q
	r.boundByEarlierTries(q, now)
	r.runSkippedScans(now)
	r.detectPause(now)
	r.healthCheckBudget = min(r.healthCheckBudget+healthChecksPerRPC, maxHealthCheckBudget)
	q.requestedAt = r.requestedSince(request, now)
	work := q.method.typical.value.Seconds()
	r.load.requested.Add(work, now, r.loadWindow())
	if q.requestedAt != request.ArrivedAt {
		work = 0
	}
	r.load.firstTries.Add(work, now, r.loadWindow())
	if commit, ok := r.sessionCommits[q.Session]; ok {
		q.commit = commit
	} else if q.SinceWrite > 0 {
		q.commit = now - q.SinceWrite + time.Millisecond
	}
	r.route(q)
}

// AttemptEnded reports the outcome of an attempt, and the position, role and load that the member reported with it.
func (r *Router) AttemptEnded(id driver.RPC, n int, from driver.Member, outcome driver.Outcome, took time.Duration,
	complete bool, position time.Duration, role driver.Role, report []float64) {
	now := r.host.Now()
	q := r.rpcs[id]
	if q == nil || n >= len(q.attempts) || !q.attempts[n].open {
		return
	}
	r.detectPause(now)
	a := &q.attempts[n]
	m := a.member
	a.open = false
	q.openAttempts--
	overtaken := !q.inFlightLink.InList(&m.inFlight) && !m.health.lostReply
	q.inFlightLink.Remove()
	if a.exploratory {
		q.group.exploratoryAttempts--
	}
	r.recordOutcome(q, a, outcome, overtaken, took, now)
	if role != driver.Unknown {
		m.replication.position, m.replication.reportedAt = max(m.replication.position, position), now
		r.recordRole(m, role, now)
	}
	r.applyReport(m, report)
	if outcome == driver.OK && q.method.Freshness == settings.FreshnessWrite && r.settings.Text("family_info.token") == "remembered" {
		r.rememberCommit(q.Session, max(position, a.sentAt))
	}
	q.answered = q.answered || complete
	if !outcome.MayHaveRun() {
		a.rejectedAt = now
	} else {
		r.rememberRun(q, a)
		if !q.mayHaveRun {
			q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, a.sentAt, m.zone
		}
	}
	r.removeIfDone(q)
	if !q.answered {
		r.retry(q, outcome)
	}
}

// HealthCheckEnded reports the result of a health check.
func (r *Router) HealthCheckEnded(id driver.Member, ok bool, took time.Duration, report []float64) {
	if m := r.members[id]; m != nil && ok {
		m.replication.reportedAt = r.host.Now()
		r.applyReport(m, report)
	}
}

// PeerMessage receives a message from another driver. No decision depends on it.
func (r *Router) PeerMessage(from driver.Peer, text []byte) {}

// ClientLeft ends an RPC whose client no longer waits.
func (r *Router) ClientLeft(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		r.cancelAttempts(q)
		r.removeIfDone(q)
	}
}

// AnswerNow gives an RPC its final answer because the driver stops before the client's deadline.
func (r *Router) AnswerNow(id driver.RPC) {
	if q := r.rpcs[id]; q != nil && !q.answered {
		r.giveUp(q, 0, ShuttingDown)
	}
}

// ClientHalfClosed makes the attempt in flight the last one of an RPC. A queued RPC is given up.
func (r *Router) ClientHalfClosed(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		if q.sendBy = r.host.Now(); q.queued {
			r.giveUp(q, 0, ClientHalfClosed)
		}
	}
}
