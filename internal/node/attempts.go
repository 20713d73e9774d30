package node

import (
	"time"

	"passtack/driver"
)

// Names of attempt outcomes in the log, and names of the counters for them.
var (
	outcomeNames = [...]string{
		driver.OK: "ok", driver.Failed: "failed", driver.Full: "full", driver.TimedOut: "timed_out",
		driver.NoConnection: "no_connection", driver.Broken: "broken", driver.Cancelled: "cancelled",
		driver.NotSent: "moot", driver.Misdirected: "miss",
	}
	outcomeCounters = [...]string{
		driver.OK: "attempts_ok", driver.Failed: "attempts_failed", driver.Full: "attempts_full", driver.TimedOut: "attempts_timed_out",
		driver.NoConnection: "attempts_no_connection", driver.Broken: "attempts_broken", driver.Cancelled: "attempts_cancelled",
		driver.NotSent: "attempts_moot", driver.Misdirected: "attempts_miss",
	}
)

// attempt sends an RPC to a member. If the request is not completely written by writeDeadline, it is not sent at all. With a
// timeout of 0 the attempt ends at the RPC's deadline at the latest, otherwise after the timeout if that is earlier.
func (t *rpcTable) attempt(id driver.RPC, to driver.Member, writeDeadline, timeout time.Duration) {
	q := t.get(id)
	if q == nil {
		return
	}
	deadline := q.deadline
	if timeout != 0 {
		deadline = min(deadline, t.node.loop.Now()+timeout)
	}
	request := q.listener.front.MemberRequest(q.client)
	if q.answered || len(q.attempts) >= t.maxAttempts || request == nil {
		deadline = 0 // a deadline in the past: the pool reports the attempt as not sent
	}
	t.Count("attempts_sent")
	t.node.traceAttempt(id, q, to, deadline)
	q.inFlight++
	q.attempts = append(q.attempts, q.pool.Attempt(id, len(q.attempts), to, writeDeadline, deadline, request))
}

// cancel cancels an attempt that is in flight.
func (t *rpcTable) cancel(id driver.RPC, attempt int) {
	if q := t.get(id); q != nil && attempt < len(q.attempts) {
		q.pool.Cancel(q.attempts[attempt])
	}
}

// AttemptEnded handles the end of an attempt. The client receives the answer unless the RPC has its final answer already. The
// module receives the outcome in either case.
func (t *rpcTable) AttemptEnded(id driver.RPC, attempt int, from driver.Member, outcome driver.Outcome, took, position time.Duration,
	role driver.Role, report []float64, answer *driver.Answer) {
	n := t.node
	n.Count(outcomeCounters[outcome])
	n.traceEnded(id, attempt, from, outcome, took)
	q := t.get(id)
	if q == nil {
		return
	}
	q.lastOutcome = outcome
	q.mayHaveRun = q.mayHaveRun || outcome.MayHaveRun()
	if role == driver.Primary {
		n.recovery.PrimaryAnswered(uint16(q.group))
		n.observePosition(answer.ReportedPosition)
	}
	if position > 0 {
		position -= n.memberClock.Offset()
	}
	if outcome == driver.OK && t.conclude(id, concludedOK) != nil {
		q.listener.front.Answer(q.client, answer)
	}
	q.inFlight--
	defer t.removeIfDone(id, q)
	n.module.AttemptEnded(id, attempt, from, outcome, took, q.answered, position, role, report)
}

// Probed passes the result of a health check to the module.
func (t *rpcTable) Probed(m driver.Member, ok bool, took time.Duration, report []float64) {
	t.node.module.HealthCheckEnded(m, ok, took, report)
}
