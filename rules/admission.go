package rules

import (
	"math"
	"time"

	"passtack/driver"
	"passtack/internal/settings"
)

const (
	latencyMargin   = 1.5  // factor by which a latency may exceed its prediction
	utilityExponent = 0.25 // how strongly utility per work affects which RPCs are shed; 0: not at all
	maxTimeoutVotes = 16
)

// queueShare is the share of an RPC's remaining time for which it may wait in the queue.
var queueShare = map[settings.Freshness]float64{
	settings.FreshnessAny: 0.15, settings.FreshnessBounded: 0.15, settings.FreshnessSession: 0.15, settings.FreshnessLatest: 0.45, settings.FreshnessWrite: 0.45,
}

// voterLimiter limits how often the tries of one connection count for the usual timeout of a method. Without it, one client that sends more
// than all others together, with another timeout, would make their first tries look like retries.
type voterLimiter struct {
	nextVoteAt [voterSlots]time.Duration // by connection
}

const (
	voterSlots   = 256
	voteInterval = 100 * time.Millisecond // between two votes of a connection
)

// mayVote reports whether a try that came over the connection counts. Each try of an unknown connection does.
func (v *voterLimiter) mayVote(connection driver.Connection, now time.Duration) bool {
	if connection == driver.UnknownConnection {
		return true
	}
	next := &v.nextVoteAt[connection%voterSlots]
	if now < *next {
		return false
	}
	*next = now + voteInterval
	return true
}

// requestedSince returns when the client first requested the answer. A first try has the usual timeout of its method; the timeout of a retry
// may be cut short by the limit for all tries, so a try with another timeout counts as a retry. An RPC that is read at the end of a pause of
// this driver may have arrived earlier: it counts from its deadline minus the usual timeout.
func (r *Router) requestedSince(q Request, now time.Duration) time.Duration {
	meth, timeout, resumed := r.methods[q.Method], q.Deadline-q.ArrivedAt, now == r.ticks.resumedAt
	usual := (timeout - meth.clientTimeout).Abs() < 2*r.ticks.interval
	mayVote := meth.voters.mayVote(q.Connection, now)
	if !usual && !resumed && mayVote {
		if meth.timeoutVotes--; meth.timeoutVotes < 0 {
			meth.clientTimeout, meth.timeoutVotes, usual = timeout, 1, true
		}
	} else if usual && mayVote {
		meth.timeoutVotes = min(meth.timeoutVotes+1, maxTimeoutVotes)
	}
	switch {
	case usual && q.ClientRetry:
		return q.ArrivedAt - meth.SoftDeadline/4 // minus the longest retry delay after TooSlow
	case usual:
		return q.ArrivedAt
	case resumed:
		return min(q.ArrivedAt, q.Deadline-meth.clientTimeout)
	}
	return min(q.ArrivedAt, q.Deadline-meth.TotalLimit)
}

// requiredTime returns the time that must be left for an RPC to be sent. It is longer for RPCs with less utility per work, so that they are
// shed first. The methods with the most utility per work need no margin at a member with no attempt of this driver in flight.
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

// enqueue lets an RPC wait for a member. Its total time in the queue is at most a share of the time that was left when it was first queued.
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

// giveUp gives an RPC the router's own final answer: a rejection with a retry delay if a retry can do no harm, else an abort. A retry of a
// keyed RPC that may have run can do harm: the client may retry after its members have stopped recognizing duplicates.
func (r *Router) giveUp(q *rpc, retryAfter time.Duration, reason Reason) {
	r.lastReason = reason
	r.cancelAttempts(q)
	if q.method.Effect == settings.Idempotent || !q.mayHaveRun && q.openAttempts == 0 {
		r.host.PushBack(q.ID, min(max(retryAfter, 0), r.settings.Duration("caps.longest_wait")))
	} else {
		r.host.Abort(q.ID)
	}
	r.removeIfDone(q)
}
