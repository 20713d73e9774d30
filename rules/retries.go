package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/chain"
)

const deliveryTime = 20 * time.Millisecond // to a member, from the moment at which an RPC is written

type attempt struct {
	member            *member
	sentAt            time.Duration
	depth             int
	rejectedAt        time.Duration // when it was turned away or found nobody
	open, exploratory bool
}

type rpc struct {
	id                           driver.RPC
	method                       *method
	group                        *group
	session                      driver.Session
	arrivedAt, deadline, sendBy  time.Duration // by: when it must be whole at a member, if at any
	tenant                       driver.Tenant
	requestedAt, commit          time.Duration // wanted: since when, over all tries
	attempts                     []attempt
	openAttempts                 int           // attempts without an outcome yet
	firstRunAt, queueUntil       time.Duration // send of the first attempt that may have run; end of its wait
	firstRunZone                 driver.Zone
	mayHaveRun, queued, answered bool
	inFlightLink                 chain.Link[*rpc] // among what its member holds
}

func (q *rpc) lastSentAt() time.Duration { return q.attempts[len(q.attempts)-1].sentAt }

func (r *Router) send(q *rpc, to *member, timeout time.Duration, scout bool) {
	now := r.host.Now()
	if to.inFlight.Count() == 0 {
		to.lastReplyAt = max(to.lastReplyAt, now)
	}
	c := attempt{member: to, sentAt: now, depth: to.inFlight.Count(), rejectedAt: unknownTime, open: true, exploratory: scout}
	q.attempts = append(q.attempts, c)
	q.openAttempts++
	to.inFlight.Push(&q.inFlightLink)
	if r.warmingUp(to, now) {
		to.recentLoad, to.recentLoadAt = r.memberLoad(to, now)+q.method.typical.Seconds(), now
	}
	if scout {
		q.group.exploratoryAttempts++
	}
	if len(q.attempts) == 1 && int(q.tenant) < len(r.quotaLeft) {
		r.quotaLeft[q.tenant] = max(r.quotaLeft[q.tenant]-1, 0)
	}
	r.host.Attempt(q.id, to.id, q.sendBy, timeout)
}

func (r *Router) retry(q *rpc, how driver.Outcome, now time.Duration) {
	m := q.method
	switch {
	case how == driver.TimedOut, how == driver.Cancelled:
		r.giveUp(q, r.settings.Duration("caps.longest_wait"), NoAnswer)
	case how != driver.Moot && len(q.attempts) < int(r.settings.Number("caps.attempts", 1)) &&
		(!q.mayHaveRun || m.idempotent || m.keyed):
		if q.mayHaveRun && !m.idempotent {
			q.sendBy = min(q.sendBy, q.firstRunAt+m.retryWindow-deliveryTime)
		}
		r.route(q)
	default:
		r.giveUp(q, 0, NoRetry)
	}
}

func surelyNotRun(o driver.Outcome) bool {
	return o == driver.Full || o == driver.NoConnection || o == driver.Moot || o == driver.Miss
}

func (r *Router) cancelAttempts(q *rpc) {
	q.answered, q.queued = true, false
	for i, c := range q.attempts {
		if c.open && r.settings.Bool("caps.cancel") {
			r.host.Cancel(q.id, i)
		}
	}
}

func (r *Router) removeIfDone(q *rpc) {
	if q.answered && q.openAttempts == 0 {
		delete(r.rpcs, q.id)
	}
}
