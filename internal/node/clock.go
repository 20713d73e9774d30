package node

import (
	"log/slog"
	"time"

	"passtack/driver"
)

// MembersNow is the time by the clock that members tell positions by.
func (n *Node) MembersNow() time.Duration { return n.loop.Now() + n.clock.Offset() }

// byOwnClock gives the time of the driver's own clock at which a member started, from what a list tells.
func (n *Node) byOwnClock(started time.Duration) time.Duration {
	if started == driver.LongAgo {
		return started
	}
	return started - n.clock.Offset()
}

// hearClock takes the position that a primary told. Where the members' clock proves to be another than the driver's, all
// that was taken from it before is set right.
func (n *Node) hearClock(told time.Duration) {
	if told == 0 {
		return
	}
	doubt := n.clock.Doubt()
	change := n.clock.Heard(n.loop.Now(), told)
	if n.clock.Doubt() != doubt {
		n.module.DoubtClock(n.clock.Doubt())
	}
	if change == 0 {
		return
	}
	n.Count("clock_corrections")
	slog.Warn("clock_corrected", "by_ms", change.Milliseconds(), "ahead_ms", n.clock.Offset().Milliseconds())
	for _, p := range n.members.pools {
		p.Offset(n.clock.Offset())
	}
	n.module.CorrectClock(change)
}
