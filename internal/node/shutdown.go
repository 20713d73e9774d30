package node

import (
	"log/slog"
	"time"

	"passtack/internal/shutdown"
)

const (
	shutdownCheckInterval = 20 * time.Millisecond  // between two checks of whether a graceful shutdown is complete
	earlyCloseIdle        = 700 * time.Millisecond // time without a request after which a connection is closed before its phase
)

// gracefulShutdown stops the driver by a plan in phases: listeners are closed, then connections between two requests, and
// finally each RPC gets its answer.
type gracefulShutdown struct {
	node      *Node
	begun     bool
	plan      shutdown.Plan
	startedAt time.Duration
	phase     shutdown.Phase // the last one that was logged
}

// begin starts the shutdown. Its signal may have been sent at any time since the previous iteration of the loop.
func (s *gracefulShutdown) begin() {
	if s.begun {
		return
	}
	n := s.node
	now, sentAt := n.loop.Now(), n.loop.PreviousNow()
	s.begun, s.startedAt = true, now
	s.plan = shutdown.New(sentAt, now, n.site.maxDeadline())
	slog.Info("graceful shutdown started", "rpcs", n.rpcs.Len(), "clients", n.listeners.openClients(), "max_signal_delay_ms", (now - sentAt).Milliseconds())
	if n.leases != nil {
		n.leases.resign()
	}
	if n.membership != nil {
		n.membership.list.Leave()
	}
	s.advance()
}

// advance carries out the current phase and stops the loop once no client is left. It schedules its next call first, so that a
// panic does not end the shutdown.
func (s *gracefulShutdown) advance() {
	n := s.node
	now := n.loop.Now()
	phase := s.plan.Phase(now)
	next := now + shutdownCheckInterval
	if begins, ok := s.plan.Next(now); ok {
		next = min(next, begins)
	}
	n.loop.At(next, s.advance)
	s.logPhase(phase, now)
	if phase == shutdown.Accepting {
		return
	}
	if phase == shutdown.Finished {
		n.rpcs.forceAnswers()
	}
	if n.listeners.closeClients(phase) == 0 {
		n.loop.Stop()
	}
}

func (s *gracefulShutdown) logPhase(phase shutdown.Phase, now time.Duration) {
	if phase == s.phase {
		return
	}
	s.phase = phase
	n := s.node
	slog.Info("graceful shutdown phase", "phase", phase, "after_ms", (now - s.startedAt).Milliseconds(), "rpcs", n.rpcs.Len(),
		"clients", n.listeners.openClients())
}

// bound limits the deadline of an RPC that has just been read to the end of a shutdown in progress, and reports whether the RPC
// may still be sent to a member.
func (s *gracefulShutdown) bound(deadline time.Duration) (bounded time.Duration, accepts bool) {
	if !s.begun {
		return deadline, true
	}
	return s.plan.BoundDeadline(deadline), s.plan.Forwards(s.node.loop.Now())
}
