package node

import (
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/shutdown"
	"passtack/internal/slots"
)

const (
	shutdownCheckInterval = 20 * time.Millisecond  // between looks whether a planned stop is done
	earlyCloseIdle        = 700 * time.Millisecond // a connection that has asked nothing for so long is ended early in a planned stop
)

// stop is a planned stop under way.
type gracefulShutdown struct {
	plan      shutdown.Plan
	startedAt time.Duration
	phase     shutdown.Phase // that was logged
}

// leave begins a planned stop. The signal may have been sent at any time since the turn before this one.
func (n *Node) beginShutdown() {
	if n.shutdown != nil {
		return
	}
	heard := n.loop.Now()
	n.shutdown = &gracefulShutdown{plan: shutdown.New(n.loop.Before(), heard, n.site.maxDeadline()), startedAt: heard}
	slog.Info("leaving", "rpcs", n.rpcs.Count(), "clients", n.openClients(), "sent_at_most_ms_ago", (heard - n.loop.Before()).Milliseconds())
	if n.leases != nil {
		n.leases.resign()
	}
	if n.view != nil {
		n.view.seen.Leave(n.loop.Clock())
	}
	n.advanceShutdown()
}

// followStop does what the phase of the planned stop asks for, until no client is left. It comes again whatever befalls it.
func (n *Node) advanceShutdown() {
	now := n.loop.Now()
	phase := n.shutdown.plan.Phase(now)
	at := now + shutdownCheckInterval
	if next, ok := n.shutdown.plan.Next(now); ok {
		at = min(at, next)
	}
	n.loop.At(at, n.advanceShutdown)
	n.logPhase(phase, now)
	if phase > shutdown.Accepting && n.closeClients(phase) == 0 {
		n.loop.Stop()
	}
}

func (n *Node) logPhase(phase shutdown.Phase, now time.Duration) {
	if phase == n.shutdown.phase {
		return
	}
	n.shutdown.phase = phase
	slog.Info("shutdown", "phase", phase, "after_ms", (now - n.shutdown.startedAt).Milliseconds(), "rpcs", n.rpcs.Count(), "clients", n.openClients())
}

// endClients ends the connections that may go in a phase, and counts what is left: connections, and RPCs of which nobody
// waits for the outcome yet may ask for it.
func (n *Node) closeClients(phase shutdown.Phase) (left int) {
	if phase == shutdown.Over {
		n.forceAnswers()
	}
	for _, d := range n.listeners {
		idle := earlyCloseIdle
		d.front.Shut()
		if phase >= shutdown.Closing {
			d.front.Leave()
			idle = 0
		}
		if phase == shutdown.Over {
			d.front.Finish()
		}
		left += d.front.Sweep(idle) + d.rpcs
	}
	return left
}

// answerAll gives a final answer to each RPC that has none: its client has more time, this driver has not. Each is answered by
// itself, so that a fault of the module at one leaves the others alone.
func (n *Node) forceAnswers() {
	n.rpcs.Each(func(h slots.Handle, q *rpc) {
		if !q.answered {
			n.loop.Later(func() { n.forceAnswer(driver.RPC(h)) })
		}
	})
}

// cutOff lets the module answer an RPC, and aborts it where that has failed before.
func (n *Node) forceAnswer(id driver.RPC) {
	q := n.get(id)
	if q == nil || q.answered {
		return
	}
	if q.answerForced {
		n.Abort(id)
		return
	}
	q.answerForced = true
	n.Count("rpcs_cut_off")
	n.module.CutOff(id)
}

// mayForward tells whether an RPC that is read now may still go to a member, and bounds the time by which it has its answer.
func (n *Node) mayForward(until time.Duration) (time.Duration, bool) {
	if n.shutdown == nil {
		return until, true
	}
	return n.shutdown.plan.Until(until), n.shutdown.plan.MayForward(n.loop.Now())
}
