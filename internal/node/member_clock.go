package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// MembersNow returns the current time on the members' clock. Positions in their logs are times on that clock.
func (n *Node) MembersNow() time.Duration { return n.loop.Now() + n.memberClock.Offset() }

// onLocalClock converts the start time of a member from the members' clock, which the endpoint list uses, to the driver's clock.
func (n *Node) onLocalClock(startedAt time.Duration) time.Duration {
	if startedAt == driver.LongAgo {
		return startedAt
	}
	return startedAt - n.memberClock.Offset()
}

// observePosition updates the estimate of the members' clock with the position that a primary reported, 0 for none. If the estimated
// offset to the driver's clock changes, the pools and the module correct the times that they have stored.
func (n *Node) observePosition(position time.Duration) {
	if position == 0 {
		return
	}
	uncertainty := n.memberClock.Uncertainty()
	change := n.memberClock.Observe(n.loop.Now(), position)
	if n.memberClock.Uncertainty() != uncertainty {
		n.module.SetClockUncertainty(n.memberClock.Uncertainty())
	}
	if change == 0 {
		return
	}
	offset := n.memberClock.Offset()
	n.Count("clock_corrections")
	slog.Warn("member clock offset corrected", "change_ms", change.Milliseconds(), "offset_ms", offset.Milliseconds())
	for _, p := range n.members.pools {
		p.SetClockOffset(offset)
	}
	n.module.CorrectClock(change)
}
