// Package memberclock decides how far the clock that members tell positions and starts by is ahead of the driver's own. The
// driver's clock is the wall clock at its start and counts real time from then on; a wall clock that was stepped before the
// start is off by seconds or an hour for as long as the driver lives. Positions that primaries tell show it: a primary has
// applied all that is committed, so its position is the time of the members' clock where it says so at once.
package memberclock

import "time"

const (
	tolerance = 2 * time.Second        // a smaller difference is delay, rounding or drift
	steady    = 200 * time.Millisecond // by which the differences of a clock that runs on may stray
	apart     = 250 * time.Millisecond // what is told sooner after the one before counts as one with it
	leastTold = 5                      // a difference holds once it was told so often
	trusted   = 10 * time.Second       // in which one position that fits speaks for the clock as it is
)

// Clock is how the driver's clock stands to that of the members. Its zero value trusts the driver's own.
type Estimator struct {
	offset time.Duration // of the members' clock against the driver's own

	fits     bool // a position has fitted since the start or the latest change
	fittedAt time.Duration

	differs bool
	by      time.Duration // what is told beyond the offset
	toldAt  time.Duration // of those that count
	times   int
}

// Offset is how far the members' clock is ahead of the driver's own, by what is proven.
func (c *Estimator) Offset() time.Duration { return c.offset }

// Doubt is how far the members' clock may be behind what Offset says. It is not proven: a primary that has nothing to do may
// tell an old position.
func (c *Estimator) Uncertainty() time.Duration {
	if c.differs && !c.fits && c.by < 0 {
		return -c.by
	}
	return 0
}

// Heard takes the position that a primary told, at a time of the driver's own clock. It tells by how much the offset has
// changed, 0 for not.
func (c *Estimator) Observe(now, position time.Duration) (change time.Duration) {
	difference := position - now - c.offset
	switch {
	case difference.Abs() <= tolerance:
		c.fits, c.fittedAt, c.differs = true, now, false
		return 0
	case c.fits && now-c.fittedAt < trusted:
		return 0
	case !c.differs || difference > c.by+steady:
		c.differs, c.by, c.toldAt, c.times = true, difference, now, 1
		return 0
	case difference < c.by-steady: // an old position: another primary tells a later one
		return 0
	case now-c.toldAt < apart:
		return 0
	}
	c.toldAt = now
	if c.times++; c.times < leastTold {
		return 0
	}
	change = c.by
	c.offset += change
	c.differs, c.fits, c.fittedAt = false, true, now
	return change
}
