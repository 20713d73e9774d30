// Package memberclock estimates the offset between the driver's clock and the clock of the cluster members, by which members report
// positions and start times. The driver's clock is set from the wall clock when the driver starts and is monotonic from then on, so if
// the wall clock was wrong at the start, the driver's clock is off by seconds or hours for as long as the driver runs. The positions of
// primaries reveal this: a primary has applied all committed writes, so the position that it reports is the current time of the
// members' clock.
package memberclock

import "time"

const (
	// maxJitter is the largest difference that can be due to delay, rounding or drift.
	maxJitter = 2 * time.Second
	// maxSpread is the largest difference between two observations of the same offset.
	maxSpread = 200 * time.Millisecond
	// minInterval is the shortest time between two observations that count.
	minInterval = 250 * time.Millisecond
	// minObservations is the number of observations that prove a difference.
	minObservations = 5
	// trustDuration is the time for which a position that agrees with the offset confirms it.
	trustDuration = 10 * time.Second
)

// Estimator estimates the offset of the members' clock. Its zero value has the offset 0.
type Estimator struct {
	offset time.Duration // by which the members' clock is ahead of the driver's clock

	confirmed   bool // a position has agreed with the offset since the start or the latest change of the offset
	confirmedAt time.Duration

	deviation deviation
}

// deviation is an observed difference from the offset that is not proven yet. Its zero value means that there is none.
type deviation struct {
	present      bool
	difference   time.Duration
	observedAt   time.Duration // time of the latest observation that counts
	observations int
}

// Offset returns by how much the members' clock is proven to be ahead of the driver's clock.
func (e *Estimator) Offset() time.Duration { return e.offset }

// Uncertainty returns by how much the members' clock may be behind the time that Offset gives. This is not proven, since an idle primary
// may report an old position.
func (e *Estimator) Uncertainty() time.Duration {
	if e.deviation.present && !e.confirmed && e.deviation.difference < 0 {
		return -e.deviation.difference
	}
	return 0
}

// Observe processes the position that a primary reported; now is the time of the driver's clock. It returns the change of the offset, 0
// if there is none.
func (e *Estimator) Observe(now, position time.Duration) (change time.Duration) {
	difference := position - now - e.offset
	if difference.Abs() <= maxJitter {
		e.confirm(now)
		return 0
	}
	if e.confirmed && now-e.confirmedAt < trustDuration {
		return 0
	}
	if !e.deviation.observe(now, difference) {
		return 0
	}
	change = e.deviation.difference
	e.offset += change
	e.confirm(now)
	return change
}

func (e *Estimator) confirm(now time.Duration) {
	e.confirmed, e.confirmedAt = true, now
	e.deviation.present = false
}

// observe counts an observation and reports whether the difference is proven now.
func (d *deviation) observe(now, difference time.Duration) bool {
	switch {
	case !d.present || difference > d.difference+maxSpread:
		*d = deviation{present: true, difference: difference, observedAt: now, observations: 1}
		return false
	case difference < d.difference-maxSpread: // an old position: another primary has reported a later one
		return false
	case now-d.observedAt < minInterval:
		return false
	}
	d.observedAt = now
	d.observations++
	return d.observations >= minObservations
}
