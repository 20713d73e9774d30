package node

import (
	"time"

	"passtack/driver"
)

// Names of the outcomes of attempts, in the log and in counters.
var (
	outcomeNames = [...]string{
		driver.OK: "ok", driver.Failed: "failed", driver.Full: "full", driver.TimedOut: "timed_out",
		driver.NoConnection: "no_connection", driver.Broken: "broken", driver.Cancelled: "cancelled",
		driver.Moot: "moot", driver.Miss: "miss",
	}
	outcomeCounters = [...]string{
		driver.OK: "attempts_ok", driver.Failed: "attempts_failed", driver.Full: "attempts_full", driver.TimedOut: "attempts_timed_out",
		driver.NoConnection: "attempts_no_connection", driver.Broken: "attempts_broken", driver.Cancelled: "attempts_cancelled",
		driver.Moot: "attempts_moot", driver.Miss: "attempts_miss",
	}
)

// attempt sends an RPC to a member, to be written completely by a time or not at all. With a timeout of 0 it may last until
// the deadline of the RPC.
func (t *rpcTable) attempt(id driver.RPC, to driver.Member, writtenBy, timeout time.Duration) {
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
		deadline = 0 // the pool ends it as not sent
	}
	t.Count("attempts_sent")
	t.node.traceAttempt(id, q, to, deadline)
	q.inFlight++
	q.attempts = append(q.attempts, q.pool.Attempt(id, len(q.attempts), to, writtenBy, deadline, request))
}

// cancel cancels an attempt that is in flight.
func (t *rpcTable) cancel(id driver.RPC, attempt int) {
	if q := t.get(id); q != nil && attempt < len(q.attempts) {
		q.pool.Cancel(q.attempts[attempt])
	}
}

// AttemptEnded takes the outcome of an attempt. An answer is passed on to the client unless the RPC is answered. The outcome
// is passed on to the module in any case.
func (t *rpcTable) AttemptEnded(id driver.RPC, attempt int, from driver.Member, how driver.Outcome, took, position time.Duration,
	role driver.Role, report []float64, answer *driver.Answer) {
	n := t.node
	n.Count(outcomeCounters[how])
	n.traceEnded(id, attempt, from, how, took)
	q := t.get(id)
	if q == nil {
		return
	}
	q.lastOutcome = how
	if role == driver.Primary {
		n.recovery.PrimaryAnswered(uint16(q.group))
		n.observePosition(answer.ReportedPosition)
	}
	if position > 0 {
		position -= n.memberClock.Offset()
	}
	if how == driver.OK && t.conclude(id, concludedOK) != nil {
		q.listener.front.Answer(q.client, answer)
	}
	q.inFlight--
	defer t.removeIfDone(id, q)
	n.module.AttemptEnded(id, attempt, from, how, took, q.answered, position, role, report)
}

// Probed passes the result of a health check on to the module.
func (t *rpcTable) Probed(m driver.Member, ok bool, took time.Duration, report []float64) {
	t.node.module.HealthCheckEnded(m, ok, took, report)
}
