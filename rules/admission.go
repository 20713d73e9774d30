package rules

import (
	"math"
	"time"
)

const (
	scatter = 1.5  // latencies up to this much over the predicted one are reckoned with
	ranking = 0.25 // how strongly utility for work ranks RPCs; 0: not at all
)

// holdPart is how much of an RPC's time may pass before it is sent.
var holdPart = map[string]float64{anyAge: 0.15, bounded: 0.15, session: 0.15, fresh: 0.45, write: 0.45}

// cautious is the time that must be left for an RPC to be taken: latencies scatter, and what brings less for
// its work makes room first. What brings most needs no time to spare where this driver holds nothing.
func (r *Router) cautious(to *member, meth *method, utility float64) time.Duration {
	most := 0.0
	for _, m := range r.methods {
		if to == to.group.primary || m.need != write && m.need != fresh {
			most = max(most, m.utility/m.usual.Seconds())
		}
	}
	rank := math.Pow(most*meth.usual.Seconds()/utility, ranking)
	if to.out.Count() == 0 && rank < 1.01 {
		return r.predict(to, meth)
	}
	return time.Duration(float64(r.predict(to, meth)) * scatter * rank)
}

func (r *Router) hold(q *rpc) {
	now := r.host.Now()
	if q.holdUntil == 0 {
		q.holdUntil = now + time.Duration(holdPart[q.method.need]*float64(q.until-now))
	}
	if now >= q.holdUntil {
		r.giveUp(q, askAgain, NoMember)
		return
	}
	q.held = true
	r.held = append(r.held, q)
}

// giveUp gives the final answer to an RPC that gets no more attempts.
func (r *Router) giveUp(q *rpc, wait time.Duration, why Reason) {
	r.reason = why
	r.callOff(q)
	if q.method.idempotent || !q.mayHaveRun && q.out == 0 || q.method.tokened && q.method.everywhere {
		r.host.PushBack(q.id, min(max(wait, 0), r.terms.Duration("caps.longest_wait")))
	} else {
		r.host.Abort(q.id)
	}
	r.forget(q)
}
