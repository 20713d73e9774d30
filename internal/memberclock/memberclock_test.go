package memberclock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	start = 1000 * time.Hour
)

// However far the clock was stepped before the start, it is known after four seconds of answers, and then stays.
func TestAStepBeforeTheStartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := time.Duration(rapid.SampledFrom([]int{-3600000, -90000, -5000, 5000, 61000, 3600000}).Draw(t, "step")) * ms
		var c Estimator
		changes := 0
		for now := start; now < start+10*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * ms {
			late := time.Duration(rapid.IntRange(0, 80).Draw(t, "late")) * ms
			if c.Observe(now, now+step-late) != 0 {
				changes++
			}
			if now > start+4*time.Second && (c.Offset()-step).Abs() > 200*ms {
				t.Fatalf("after %v the offset is %v, the step was %v", now-start, c.Offset(), step)
			}
			if step < 0 && changes == 0 && c.Uncertainty() < -step-time.Second {
				t.Fatalf("it doubts only %v of a step of %v", c.Uncertainty(), step)
			}
		}
		if changes != 1 || c.Uncertainty() != 0 {
			t.Fatalf("%d changes, a doubt of %v", changes, c.Uncertainty())
		}
	})
}

// A clock that is right is never changed by positions that cannot be read, by primaries with nothing to do, or both.
func TestARightClockIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Estimator
		idleSince := start - time.Duration(rapid.IntRange(3, 4000).Draw(t, "idle"))*time.Second
		busy := rapid.Bool().Draw(t, "busy")
		for now := start; now < start+20*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * ms {
			told := idleSince
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind < 6 && busy:
				told = now - time.Duration(rapid.IntRange(0, 300).Draw(t, "late"))*ms
			case kind == 9:
				told = now + time.Duration(rapid.IntRange(-100000, 100000).Draw(t, "odd"))*time.Second
			}
			if c.Observe(now, told); c.Offset() != 0 {
				t.Fatalf("after %v the clock is moved by %v", now-start, c.Offset())
			}
		}
	})
}
