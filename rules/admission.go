package rules

import (
	"math"
	"time"
)

const (
	latencyMargin   = 1.5  // latencies up to this much over the predicted one are reckoned with
	utilityExponent = 0.25 // how strongly utility for work ranks RPCs; 0: not at all
)

// holdPart is how much of an RPC's time may pass before it is sent.
var queueShare = map[string]float64{anyAge: 0.15, bounded: 0.15, session: 0.15, fresh: 0.45, write: 0.45}

// cautious is the time that must be left for an RPC to be taken: latencies scatter, and what brings less for
// its work makes room first. What brings most needs no time to spare where this driver holds nothing.
func (r *Router) requiredTime(to *member, meth *method, utility float64) time.Duration {
	most := 0.0
	for _, m := range r.methods {
		if to == to.group.primary || m.freshness != write && m.freshness != fresh {
			most = max(most, m.utility/m.typical.Seconds())
		}
	}
	rank := math.Pow(most*meth.typical.Seconds()/utility, utilityExponent)
	if to.inFlight.Count() == 0 && rank < 1.01 {
		return r.predictLatency(to, meth)
	}
	return time.Duration(float64(r.predictLatency(to, meth)) * latencyMargin * rank)
}

func (r *Router) enqueue(q *rpc) {
	now := r.host.Now()
	if q.queueUntil == 0 {
		q.queueUntil = now + time.Duration(queueShare[q.method.freshness]*float64(q.deadline-now))
	}
	if now >= q.queueUntil {
		r.giveUp(q, recheckInterval, NoMember)
		return
	}
	q.queued = true
	r.queue = append(r.queue, q)
}

// giveUp gives the final answer to an RPC that gets no more attempts.
func (r *Router) giveUp(q *rpc, wait time.Duration, why Reason) {
	r.lastReason = why
	r.cancelAttempts(q)
	if q.method.idempotent || !q.mayHaveRun && q.openAttempts == 0 || q.method.keyed && q.method.allDeduplicate {
		r.host.PushBack(q.id, min(max(wait, 0), r.settings.Duration("caps.longest_wait")))
	} else {
		r.host.Abort(q.id)
	}
	r.removeIfDone(q)
}
