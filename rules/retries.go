package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/linkedlist"
	"passtack/internal/settings"
)

const deliveryTime = 20 * time.Millisecond // time allowed between sending an RPC and its arrival at the member

// rpc is a client's RPC. It is kept until it is answered and no attempt is in flight.
type rpc struct {
	Request
	method               *method
	group                *group
	takenAt, requestedAt time.Duration // when it was taken; when the client first requested the answer, over all its tries
	sendBy               time.Duration // latest time at which it may be completely sent to a member
	commit               time.Duration // position of the session's latest write
	attempts             []attempt
	openAttempts         int           // attempts without an outcome yet
	firstRunAt           time.Duration // when the first attempt that may have run at a member was sent
	queueUntil           time.Duration // end of its time in the queue; 0: it was not queued yet
	firstRunZone         driver.Zone
	mayHaveRun           bool // an attempt may have run at a member
	queued, answered     bool
	inFlightLink         linkedlist.Element[*rpc] // in member.inFlight
}

// attempt is one transmission of an RPC to a member.
type attempt struct {
	member            *member
	sentAt            time.Duration
	depth             int           // attempts in flight at the member when it was sent
	rejectedAt        time.Duration // when the member rejected it or could not be reached
	open, exploratory bool          // open: without an outcome yet; exploratory: a write to a member that may be the primary
}

func (q *rpc) lastSentAt() time.Duration { return q.attempts[len(q.attempts)-1].sentAt }

// send makes an attempt. With timeout 0 it may last until the client stops waiting.
func (r *Router) send(q *rpc, to *member, timeout time.Duration, exploratory bool) {
	now, depth := r.host.Now(), to.inFlight.Len()
	if depth == 0 {
		to.health.lastReplyAt = max(to.health.lastReplyAt, now)
	}
	q.attempts = append(q.attempts, attempt{member: to, sentAt: now, depth: depth, rejectedAt: unknownTime, open: true, exploratory: exploratory})
	q.openAttempts++
	to.inFlight.PushBack(&q.inFlightLink)
	if r.warmingUp(to, now) {
		to.load.Add(q.method.typical.value.Seconds(), now, r.loadWindow())
	}
	if exploratory {
		q.group.exploratoryAttempts++
	}
	if len(q.attempts) == 1 && int(q.Tenant) < len(r.quotaLeft) {
		r.quotaLeft[q.Tenant] = max(r.quotaLeft[q.Tenant]-1, 0)
	}
	r.host.Attempt(q.ID, to.id, q.sendBy, timeout)
}

// retry makes another attempt if that is safe after this outcome, else gives the RPC up.
func (r *Router) retry(q *rpc, outcome driver.Outcome) {
	repeatable := q.method.Effect == settings.Idempotent || q.method.Effect == settings.Keyed
	switch {
	case outcome == driver.TimedOut, outcome == driver.Cancelled:
		r.giveUp(q, r.settings.Duration("caps.longest_wait"), NoAnswer)
	case outcome != driver.NotSent && len(q.attempts) < int(r.settings.Number("caps.attempts", 1)) && (!q.mayHaveRun || repeatable):
		q.boundByRetryWindow()
		r.route(q)
	default:
		r.giveUp(q, 0, NoRetry)
	}
}

// cancelAttempts marks an RPC as answered and cancels its attempts in flight where the host can.
func (r *Router) cancelAttempts(q *rpc) {
	q.answered, q.queued = true, false
	for i := range q.attempts {
		a := &q.attempts[i]
		switch {
		case !a.open:
		case r.settings.Bool("caps.cancel"):
			r.host.Cancel(q.ID, i)
		default:
			r.rememberRun(q, a)
		}
	}
}

func (r *Router) removeIfDone(q *rpc) {
	if q.answered && q.openAttempts == 0 {
		delete(r.rpcs, q.ID)
	}
}
