package rules

import (
	"math"
	"time"

	"passtack/internal/settings"
)

const (
	latencyMargin   = 1.5  // by which a latency may exceed its prediction
	utilityExponent = 0.25 // how strongly utility per work ranks RPCs; 0: not at all
	maxTimeoutVotes = 16
)

// queueShare is the share of an RPC's time for which it may wait in the queue.
var queueShare = map[settings.Freshness]float64{
	settings.FreshnessAny: 0.15, settings.FreshnessBounded: 0.15, settings.FreshnessSession: 0.15, settings.FreshnessLatest: 0.45, settings.FreshnessWrite: 0.45,
}

// requestedSince returns since when the client has wanted the answer. A client waits as long as usual for a try, or until its limit for all
// tries: a try with another timeout is a retry. What waited during a pause of this driver is older.
func (r *Router) requestedSince(q Request, now time.Duration) time.Duration {
	meth, patience, resumed := r.methods[q.Method], q.Deadline-q.ArrivedAt, now == r.ticks.resumedAt
	usual := (patience - meth.clientTimeout).Abs() < 2*r.ticks.interval
	if !usual && !resumed {
		if meth.timeoutVotes--; meth.timeoutVotes < 0 {
			meth.clientTimeout, meth.timeoutVotes, usual = patience, 1, true
		}
	} else if usual {
		meth.timeoutVotes = min(meth.timeoutVotes+1, maxTimeoutVotes)
	}
	switch {
	case usual && q.ClientRetry:
		return q.ArrivedAt - meth.SoftDeadline/4 // the longest wait that giveUp tells a client
	case usual:
		return q.ArrivedAt
	case resumed:
		return min(q.ArrivedAt, q.Deadline-meth.clientTimeout)
	}
	return min(q.ArrivedAt, q.Deadline-meth.TotalLimit)
}

// requiredTime returns the time that must be left for an RPC to be sent: more for less utility per work, so that it is shed first. The most
// useful methods need no margin at a member that has nothing of this driver in flight.
func (r *Router) requiredTime(target *member, meth *method, utility float64) time.Duration {
	highest := 0.0
	for _, m := range r.methods {
		if target == target.group.primary || !m.Freshness.PrefersPrimary() {
			highest = max(highest, m.Utility/m.typical.value.Seconds())
		}
	}
	rank := math.Pow(highest*meth.typical.value.Seconds()/utility, utilityExponent)
	if target.inFlight.Len() == 0 && rank < 1.01 {
		return r.predictLatency(target, meth)
	}
	return time.Duration(float64(r.predictLatency(target, meth)) * latencyMargin * rank)
}

// enqueue lets an RPC wait for a member, once for a share of its time.
func (r *Router) enqueue(q *rpc) {
	now := r.host.Now()
	if q.queueUntil == 0 {
		q.queueUntil = now + time.Duration(queueShare[q.method.Freshness]*float64(q.Deadline-now))
	}
	if now >= q.queueUntil {
		r.giveUp(q, recheckInterval, NoMember)
		return
	}
	q.queued = true
	r.queue = append(r.queue, q)
}

// giveUp gives an RPC its final answer without a member's: an abort, or a rejection with the time to retry after if that can do no harm.
func (r *Router) giveUp(q *rpc, wait time.Duration, why Reason) {
	meth := q.method
	r.lastReason = why
	r.cancelAttempts(q)
	if meth.Effect == settings.Idempotent || !q.mayHaveRun && q.openAttempts == 0 || meth.Effect == settings.Keyed && meth.Duplicates == settings.DuplicatesAnywhere {
		r.host.PushBack(q.ID, min(max(wait, 0), r.settings.Duration("caps.longest_wait")))
	} else {
		r.host.Abort(q.ID)
	}
	r.removeIfDone(q)
}
