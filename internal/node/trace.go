package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// tracing reports whether each step of each RPC is logged.
func (n *Node) tracing() bool { return n.lines.Level.Level() <= slog.LevelDebug }

// millisLeft is the time to a deadline in milliseconds.
func (n *Node) millisLeft(deadline time.Duration) int64 {
	return (deadline - n.loop.Now()).Milliseconds()
}

// traceTaken logs that an RPC was admitted.
func (n *Node) traceTaken(id driver.RPC, from driver.Client, deadline time.Duration) {
	if n.tracing() {
		slog.Debug("RPC admitted", "rpc", id, "client", from, "left_ms", n.millisLeft(deadline))
	}
}

// traceAttempt logs an attempt, and for a retry how the attempt before it ended.
func (n *Node) traceAttempt(id driver.RPC, q *rpc, to driver.Member, deadline time.Duration) {
	if !n.tracing() {
		return
	}
	after := "none"
	if len(q.attempts) > 0 {
		after = outcomeNames[q.lastOutcome]
	}
	slog.Debug("attempt sent", "rpc", id, "n", len(q.attempts), "member", to, "left_ms", n.millisLeft(deadline), "after", after)
}

// traceEnded logs how an attempt ended.
func (n *Node) traceEnded(id driver.RPC, attempt int, from driver.Member, how driver.Outcome, took time.Duration) {
	if n.tracing() {
		slog.Debug("attempt ended", "rpc", id, "n", attempt, "member", from, "outcome", outcomeNames[how], "took_ms", took.Milliseconds())
	}
}

// traceAnswered logs the final answer of an RPC and, if the module rejected or aborted it, why.
func (n *Node) traceAnswered(id driver.RPC, q *rpc, how conclusion) {
	if !n.tracing() {
		return
	}
	reason := ""
	if how == concludedPushedBack || how == concludedAborted {
		reason = n.module.LastReason().String()
	}
	slog.Debug("RPC answered", "rpc", id, "how", how.String(), "reason", reason, "attempts", len(q.attempts), "in_flight", q.inFlight,
		"left_ms", n.millisLeft(q.deadline))
}
