package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// tracing tells whether each step of each RPC is logged.
func (n *Node) tracing() bool { return n.lines.Level.Level() <= slog.LevelDebug }

// traceTaken logs that an RPC was taken.
func (n *Node) traceTaken(id driver.RPC, from driver.Client, until time.Duration) {
	if n.tracing() {
		slog.Debug("rpc_taken", "rpc", id, "client", from, "left_ms", (until - n.loop.Now()).Milliseconds())
	}
}

// traceAttempt logs an attempt and, where it is a retry, how the one before it ended.
func (n *Node) traceAttempt(id driver.RPC, q *rpc, to driver.Member, until time.Duration) {
	if !n.tracing() {
		return
	}
	after := "none"
	if len(q.attempts) > 0 {
		after = outcomeNames[q.lastOutcome]
	}
	slog.Debug("attempt", "rpc", id, "n", len(q.attempts), "member", to, "left_ms", (until - n.loop.Now()).Milliseconds(), "after", after)
}

// traceEnded logs how an attempt ended.
func (n *Node) traceEnded(id driver.RPC, call int, from driver.Member, how driver.Outcome, took time.Duration) {
	if n.tracing() {
		slog.Debug("attempt_ended", "rpc", id, "n", call, "member", from, "outcome", outcomeNames[how], "took_ms", took.Milliseconds())
	}
}

// traceAnswered logs the final answer of an RPC, and why the module gave it up if it did.
func (n *Node) traceAnswered(id driver.RPC, q *rpc, how string) {
	if !n.tracing() {
		return
	}
	reason := ""
	if how == "pushed_back" || how == "aborted" {
		reason = n.module.LastReason().String()
	}
	slog.Debug("rpc_answered", "rpc", id, "how", how, "reason", reason, "attempts", len(q.attempts), "out", q.inFlight,
		"left_ms", (q.deadline - n.loop.Now()).Milliseconds())
}
