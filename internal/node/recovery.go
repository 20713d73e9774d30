package node

import (
	"log/slog"
	"time"

	"passtack/internal/recovery"
)

// recoveryCheckInterval is the time between two checks of the recovery stage.
const recoveryCheckInterval = 50 * time.Millisecond

// recoveryMonitor advances the driver's recovery stage after a start or after the process was suspended.
type recoveryMonitor struct {
	*recovery.Tracker
	node      *Node
	nextCheck time.Duration
}

func newRecoveryMonitor(n *Node) recoveryMonitor {
	return recoveryMonitor{Tracker: recovery.NewTracker(n.loop.Now()), node: n}
}

// check advances the stage, and lets listeners close borrowed connections that other listeners need.
func (r *recoveryMonitor) check() {
	n := r.node
	now := n.loop.Now()
	r.nextCheck = now + recoveryCheckInterval
	if r.Check(now, n.members.waitingAttempts()) {
		stage := r.Stage()
		if stage == recovery.AwaitingList { // the process was suspended, and its endpoint list is out of date
			n.Count("suspensions")
			n.discovery.Fetch()
		}
		slog.Info("recovery stage changed", "stage", stage, "after_ms", r.Age(now).Milliseconds())
	}
	n.listeners.rebalanceConnections()
}
