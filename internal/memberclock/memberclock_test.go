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

// The driver's clock is wrong by a random step at the start. The offset must be found within four seconds of responses and must not
// change afterwards.
func TestOffsetIsFoundAfterAWrongStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := time.Duration(rapid.SampledFrom([]int{-3600000, -90000, -5000, 5000, 61000, 3600000}).Draw(t, "step")) * ms
		var e Estimator
		changes := 0
		for now := start; now < start+10*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * ms {
			delay := time.Duration(rapid.IntRange(0, 80).Draw(t, "delay")) * ms
			if e.Observe(now, now+step-delay) != 0 {
				changes++
			}
			if now > start+4*time.Second && (e.Offset()-step).Abs() > 200*ms {
				t.Fatalf("after %v the offset is %v, the step was %v", now-start, e.Offset(), step)
			}
			if step < 0 && changes == 0 && e.Uncertainty() < -step-time.Second {
				t.Fatalf("the uncertainty is only %v with a step of %v", e.Uncertainty(), step)
			}
		}
		if changes != 1 || e.Uncertainty() != 0 {
			t.Fatalf("%d changes of the offset, want 1; uncertainty %v, want 0", changes, e.Uncertainty())
		}
	})
}

// The clock is correct, but positions are corrupted, or primaries are idle and report old ones, or both. The offset must stay 0.
func TestCorrectClockIsNotChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		idleSince := start - time.Duration(rapid.IntRange(3, 4000).Draw(t, "idle"))*time.Second
		busy := rapid.Bool().Draw(t, "busy")
		for now := start; now < start+20*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * ms {
			position := idleSince
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind < 6 && busy:
				position = now - time.Duration(rapid.IntRange(0, 300).Draw(t, "delay"))*ms
			case kind == 9:
				position = now + time.Duration(rapid.IntRange(-100000, 100000).Draw(t, "garbled"))*time.Second
			}
			if e.Observe(now, position); e.Offset() != 0 {
				t.Fatalf("after %v the offset is %v", now-start, e.Offset())
			}
		}
	})
}
