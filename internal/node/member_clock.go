package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// MembersNow is the time by the clock of the members, which their positions are by.
func (n *Node) MembersNow() time.Duration { return n.loop.Now() + n.memberClock.Offset() }

// onLocalClock converts the start of a member, as an endpoint list tells it, to the driver's own clock.
func (n *Node) onLocalClock(startedAt time.Duration) time.Duration {
	if startedAt == driver.LongAgo {
		return startedAt
	}
	return startedAt - n.memberClock.Offset()
}

// observePosition takes the position that a primary reported, 0 for none. Where it proves that the members' clock differs from the driver's,
// the pools and the module correct what they know by it.
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
