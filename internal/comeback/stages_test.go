package comeback

import (
	"testing"
	"time"
)

// walk looks every 50 ms until a time, and notes when each stage began.
func walk(r *Return, from, until time.Duration, waits int, each func(now time.Duration)) (began [Whole + 1]time.Duration) {
	for now := from; now <= until; now += 50 * ms {
		each(now)
		if r.Look(now, waits) {
			began[r.Stage()] = now
		}
	}
	return began
}

func TestStagesMoveOnByWhatComes(t *testing.T) {
	r := NewReturn(0)
	began := walk(r, 0, 5*time.Second, 0, func(now time.Duration) {
		r.Asked(3)
		r.Asked(4)
		if now == 200*ms {
			r.Listed()
		}
		if now == 300*ms {
			r.Proven(3)
			r.Proven(3)
		}
		if now == 600*ms {
			r.Proven(4)
		}
		r.Answered(now > 600*ms && now < 1200*ms)
	})
	want := [Whole + 1]time.Duration{0, 200 * ms, 600 * ms}
	if began[Proving] != want[Proving] || began[Warming] != want[Warming] || began[Whole] < 1600*ms || began[Whole] > 1900*ms {
		t.Errorf("stages began at %v", began)
	}
	if r.Ready() != 1 {
		t.Error("who is whole is not ready")
	}
}

// What does not come is not waited for: no list, no primary, pushbacks without end, attempts that wait.
func TestStagesEndWithTheirTime(t *testing.T) {
	for _, waits := range []int{0, 7} {
		r := NewReturn(0)
		began := walk(r, 0, 20*time.Second, waits, func(time.Duration) {
			r.Asked(1)
			r.Answered(true)
		})
		if began[Proving] != time.Second || began[Warming] != 4*time.Second || began[Whole] != 14*time.Second {
			t.Errorf("stages began at %v", began)
		}
	}
}

// A driver that stood still knows nothing that holds: it begins anew, once.
func TestAHaltBeginsAnew(t *testing.T) {
	r := NewReturn(0)
	walk(r, 0, 20*time.Second, 0, func(time.Duration) { r.Listed() })
	if r.Stage() != Whole {
		t.Fatalf("it is %v after 20 s", r.Stage())
	}
	if !r.Look(30*time.Second, 0) || r.Stage() != Listing || r.Age(30*time.Second) != 0 || r.Ready() != 0 {
		t.Errorf("it is %v after it stood still", r.Stage())
	}
	if r.Look(30*time.Second+900*ms, 0) {
		t.Error("a look that is a little late began anew")
	}
}
