package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/chain"
)

const way = 20 * time.Millisecond // to a member, from the moment at which an RPC is written

type attempt struct {
	to          *member
	sent        time.Duration
	depth       int
	turned      time.Duration // when it was turned away or found nobody
	open, scout bool
}

type rpc struct {
	id                         driver.RPC
	method                     *method
	group                      *group
	session                    driver.Session
	arrived, until, by         time.Duration // by: when it must be whole at a member, if at any
	tenant                     driver.Tenant
	wanted, token              time.Duration // wanted: since when, over all tries
	calls                      []attempt
	out                        int           // attempts without an outcome yet
	ranAt, holdUntil           time.Duration // send of the first attempt that may have run; end of its wait
	ranIn                      driver.Zone
	mayHaveRun, held, answered bool
	place                      chain.Link[*rpc] // among what its member holds
}

func (q *rpc) lastSent() time.Duration { return q.calls[len(q.calls)-1].sent }

func (r *Router) send(q *rpc, to *member, timeout time.Duration, scout bool) {
	now := r.host.Now()
	if to.out.Count() == 0 {
		to.heard = max(to.heard, now)
	}
	c := attempt{to: to, sent: now, depth: to.out.Count(), turned: never, open: true, scout: scout}
	q.calls = append(q.calls, c)
	q.out++
	to.out.Push(&q.place)
	if r.cold(to, now) {
		to.load, to.loadAt = r.loadOf(to, now)+q.method.usual.Seconds(), now
	}
	if scout {
		q.group.scouts++
	}
	if len(q.calls) == 1 && int(q.tenant) < len(r.room) {
		r.room[q.tenant] = max(r.room[q.tenant]-1, 0)
	}
	r.host.Attempt(q.id, to.id, q.by, timeout)
}

func (r *Router) again(q *rpc, how driver.Outcome, now time.Duration) {
	m := q.method
	switch {
	case how == driver.TimedOut, how == driver.Cancelled:
		r.giveUp(q, r.terms.Duration("caps.longest_wait"), NoAnswer)
	case how != driver.Moot && len(q.calls) < int(r.terms.Number("caps.attempts", 1)) &&
		(!q.mayHaveRun || m.idempotent || m.tokened):
		if q.mayHaveRun && !m.idempotent {
			q.by = min(q.by, q.ranAt+m.window-way)
		}
		r.route(q)
	default:
		r.giveUp(q, 0, NoRetry)
	}
}

func neverRan(o driver.Outcome) bool {
	return o == driver.Full || o == driver.NoConnection || o == driver.Moot || o == driver.Miss
}

func (r *Router) callOff(q *rpc) {
	q.answered, q.held = true, false
	for i, c := range q.calls {
		if c.open && r.terms.Bool("caps.cancel") {
			r.host.Cancel(q.id, i)
		}
	}
}

func (r *Router) forget(q *rpc) {
	if q.answered && q.out == 0 {
		delete(r.rpcs, q.id)
	}
}
