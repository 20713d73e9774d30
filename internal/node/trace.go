package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// tracing reports whether the log level is low enough for the steps of each RPC to be logged.
func (n *Node) tracing() bool { return n.lines.Level.Level() <= slog.LevelDebug }

// millisLeft returns the time until a deadline in milliseconds.
func (n *Node) millisLeft(deadline time.Duration) int64 {
	return (deadline - n.loop.Now()).Milliseconds()
}

// traceTaken logs that an RPC was admitted.
func (n *Node) traceTaken(id driver.RPC, from driver.Client, deadline time.Duration) {
	if n.tracing() {
		slog.Debug("RPC admitted", "rpc", id, "client", from, "left_ms", n.millisLeft(deadline))
	}
}

// traceAttempt logs an attempt and, for a retry, the outcome that the RPC received last.
func (n *Node) traceAttempt(id driver.RPC, q *rpc, to driver.Member, deadline time.Duration) {
	if !n.tracing() {
		return
	}
	lastOutcome := "none"
	if len(q.attempts) > 0 {
		lastOutcome = outcomeNames[q.lastOutcome]
	}
	slog.Debug("attempt sent", "rpc", id, "n", len(q.attempts), "member", to, "left_ms", n.millisLeft(deadline), "after", lastOutcome)
}

// traceEnded logs the outcome of an attempt.
func (n *Node) traceEnded(id driver.RPC, attempt int, from driver.Member, outcome driver.Outcome, took time.Duration) {
	if n.tracing() {
		slog.Debug("attempt ended", "rpc", id, "n", attempt, "member", from, "outcome", outcomeNames[outcome], "took_ms", took.Milliseconds())
	}
}

// traceAnswered logs the final answer of an RPC and, if it was rejected or aborted, the module's reason.
func (n *Node) traceAnswered(id driver.RPC, q *rpc, result conclusion) {
	if !n.tracing() {
		return
	}
	reason := ""
	if result == concludedPushedBack || result == concludedAborted {
		reason = n.module.LastReason().String()
	}
	slog.Debug("RPC answered", "rpc", id, "how", result.String(), "reason", reason, "attempts", len(q.attempts), "in_flight", q.inFlight,
		"left_ms", n.millisLeft(q.deadline))
}
