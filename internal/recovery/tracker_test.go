package recovery

import (
	"testing"
	"time"
)

// walk checks every 50 ms until a time, and returns when each stage began.
func walk(r *Tracker, from, until time.Duration, waiting int, step func(now time.Duration)) (began [Complete + 1]time.Duration) {
	for now := from; now <= until; now += 50 * ms {
		step(now)
		if r.Check(now, waiting) {
			began[r.Stage()] = now
		}
	}
	return began
}

func TestStagesAdvanceOnTheirConditions(t *testing.T) {
	r := NewTracker(0)
	began := walk(r, 0, 5*time.Second, 0, func(now time.Duration) {
		r.GroupUsed(3)
		r.GroupUsed(4)
		if now == 200*ms {
			r.ListReceived()
		}
		if now == 300*ms {
			r.PrimaryAnswered(3)
			r.PrimaryAnswered(3)
		}
		if now == 600*ms {
			r.PrimaryAnswered(4)
		}
		r.RPCAnswered(now > 600*ms && now < 1200*ms)
	})
	want := [Complete + 1]time.Duration{0, 200 * ms, 600 * ms}
	if began[ProvingPrimaries] != want[ProvingPrimaries] || began[WarmingUp] != want[WarmingUp] || began[Complete] < 1600*ms || began[Complete] > 1900*ms {
		t.Errorf("stages began at %v", began)
	}
	if r.Ready() != 1 {
		t.Error("a driver that has recovered is not ready")
	}
}

// Each stage ends after its limit: with no list, no primary, only rejected RPCs, and attempts that wait.
func TestStagesEndAfterTheirLimits(t *testing.T) {
	for _, waiting := range []int{0, 7} {
		r := NewTracker(0)
		began := walk(r, 0, 20*time.Second, waiting, func(time.Duration) {
			r.GroupUsed(1)
			r.RPCAnswered(true)
		})
		if began[ProvingPrimaries] != time.Second || began[WarmingUp] != 4*time.Second || began[Complete] != 14*time.Second {
			t.Errorf("stages began at %v", began)
		}
	}
}

// A process that was suspended knows nothing that is still valid: its recovery restarts, once.
func TestRecoveryRestartsAfterASuspension(t *testing.T) {
	r := NewTracker(0)
	walk(r, 0, 20*time.Second, 0, func(time.Duration) { r.ListReceived() })
	if r.Stage() != Complete {
		t.Fatalf("it is %v after 20 s", r.Stage())
	}
	if !r.Check(30*time.Second, 0) || r.Stage() != AwaitingList || r.Age(30*time.Second) != 0 || r.Ready() != 0 {
		t.Errorf("it is %v after a suspension", r.Stage())
	}
	if r.Check(30*time.Second+900*ms, 0) {
		t.Error("a check that is a little late restarted the recovery")
	}
}
