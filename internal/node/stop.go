package node

import (
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/shutdown"
	"passtack/internal/slots"
)

const (
	look       = 20 * time.Millisecond  // between looks whether a planned stop is done
	longRested = 700 * time.Millisecond // a connection that has asked nothing for so long is ended early in a planned stop
)

// stop is a planned stop under way.
type stop struct {
	plan  shutdown.Plan
	heard time.Duration
	phase shutdown.Phase // that was logged
}

// leave begins a planned stop. The signal may have been sent at any time since the turn before this one.
func (n *Node) leave() {
	if n.stop != nil {
		return
	}
	heard := n.loop.Now()
	n.stop = &stop{plan: shutdown.New(n.loop.Before(), heard, n.site.longest()), heard: heard}
	slog.Info("leaving", "rpcs", n.rpcs.Count(), "clients", n.open(), "sent_at_most_ms_ago", (heard - n.loop.Before()).Milliseconds())
	if n.leases != nil {
		n.leases.leave()
	}
	if n.membership != nil {
		n.membership.list.Leave()
	}
	n.followStop()
}

// followStop does what the phase of the planned stop asks for, until no client is left. It comes again whatever befalls it.
func (n *Node) followStop() {
	now := n.loop.Now()
	phase := n.stop.plan.Phase(now)
	at := now + look
	if next, ok := n.stop.plan.Next(now); ok {
		at = min(at, next)
	}
	n.loop.At(at, n.followStop)
	n.logPhase(phase, now)
	if phase > shutdown.Accepting && n.endClients(phase) == 0 {
		n.loop.Stop()
	}
}

func (n *Node) logPhase(phase shutdown.Phase, now time.Duration) {
	if phase == n.stop.phase {
		return
	}
	n.stop.phase = phase
	slog.Info("shutdown", "phase", phase, "after_ms", (now - n.stop.heard).Milliseconds(), "rpcs", n.rpcs.Count(), "clients", n.open())
}

// endClients ends the connections that may go in a phase, and counts what is left: connections, and RPCs of which nobody
// waits for the outcome yet may ask for it.
func (n *Node) endClients(phase shutdown.Phase) (left int) {
	if phase == shutdown.Over {
		n.answerAll()
	}
	for _, d := range n.doors {
		idle := longRested
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
func (n *Node) answerAll() {
	n.rpcs.Each(func(h slots.Handle, q *rpc) {
		if !q.answered {
			n.loop.Later(func() { n.cutOff(driver.RPC(h)) })
		}
	})
}

// cutOff lets the module answer an RPC, and aborts it where that has failed before.
func (n *Node) cutOff(id driver.RPC) {
	q := n.get(id)
	if q == nil || q.answered {
		return
	}
	if q.cutOff {
		n.Abort(id)
		return
	}
	q.cutOff = true
	n.Count("rpcs_cut_off")
	n.module.CutOff(id)
}

// mayForward tells whether an RPC that is read now may still go to a member, and bounds the time by which it has its answer.
func (n *Node) mayForward(until time.Duration) (time.Duration, bool) {
	if n.stop == nil {
		return until, true
	}
	return n.stop.plan.Until(until), n.stop.plan.MayForward(n.loop.Now())
}
