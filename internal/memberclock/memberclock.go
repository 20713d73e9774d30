// Package memberclock estimates the offset between the driver's clock and that of the cluster members, which report positions and starts by
// theirs. The driver's clock is the wall clock at its start and counts real time from then on, so a wall clock that was wrong at the start is off
// by seconds or hours for as long as the driver runs. Positions of primaries show it: a primary has applied all that is committed, so the position
// that it reports is the current time of the members' clock.
package memberclock

import "time"

const (
	// maxJitter is the largest difference that delay, rounding or drift explain.
	maxJitter = 2 * time.Second
	// maxSpread is how far observations of a running clock may be apart.
	maxSpread = 200 * time.Millisecond
	// minInterval is how long after one observation the next counts.
	minInterval = 250 * time.Millisecond
	// minObservations is how many observations prove a difference.
	minObservations = 5
	// trustDuration is for how long one position that agrees with the offset confirms it.
	trustDuration = 10 * time.Second
)

// Estimator estimates the offset of the members' clock. Its zero value takes both clocks to be equal.
type Estimator struct {
	offset time.Duration // of the members' clock to the driver's own

	confirmed   bool // a position has agreed with the offset since the start or its latest change
	confirmedAt time.Duration

	deviation deviation
}

// deviation is a difference from the offset that is not proven yet. Its zero value is none.
type deviation struct {
	present      bool
	difference   time.Duration
	observedAt   time.Duration // the latest observation that counts
	observations int
}

// Offset is how far the members' clock is ahead of the driver's own, as far as that is proven.
func (e *Estimator) Offset() time.Duration { return e.offset }

// Uncertainty is how far the members' clock may be behind what Offset says. That is not proven: an idle primary may report an old position.
func (e *Estimator) Uncertainty() time.Duration {
	if e.deviation.present && !e.confirmed && e.deviation.difference < 0 {
		return -e.deviation.difference
	}
	return 0
}

// Observe takes the position that a primary reported at a time of the driver's own clock. It returns the change of the offset, 0 for none.
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

// observe counts an observation, and reports whether the difference is proven by it.
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
