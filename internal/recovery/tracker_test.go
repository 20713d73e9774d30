package recovery

import (
	"testing"
	"time"
)

// checkPeriodically calls step and Check every 50 ms and returns when each stage was entered.
func checkPeriodically(r *Tracker, from, until time.Duration, waiting int, step func(now time.Duration)) (enteredAt [Complete + 1]time.Duration) {
	for now := from; now <= until; now += 50 * ms {
		step(now)
		if r.Check(now, waiting) {
			enteredAt[r.Stage()] = now
		}
	}
	return enteredAt
}

func TestStagesAdvanceOnTheirConditions(t *testing.T) {
	r := NewTracker(0)
	enteredAt := checkPeriodically(r, 0, 5*time.Second, 0, func(now time.Duration) {
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
	if enteredAt[ProvingPrimaries] != want[ProvingPrimaries] || enteredAt[WarmingUp] != want[WarmingUp] || enteredAt[Complete] < 1600*ms || enteredAt[Complete] > 1900*ms {
		t.Errorf("stages were entered at %v", enteredAt)
	}
	if r.Ready() != 1 {
		t.Error("a driver that has recovered is not fully ready")
	}
}

// Each stage must end after its limit, even without a list, an answer of a primary or an accepted RPC, and while attempts wait.
func TestStagesEndAfterTheirLimits(t *testing.T) {
	for _, waiting := range []int{0, 7} {
		r := NewTracker(0)
		enteredAt := checkPeriodically(r, 0, 20*time.Second, waiting, func(time.Duration) {
			r.GroupUsed(1)
			r.RPCAnswered(true)
		})
		if enteredAt[ProvingPrimaries] != time.Second || enteredAt[WarmingUp] != 4*time.Second || enteredAt[Complete] != 14*time.Second {
			t.Errorf("stages were entered at %v", enteredAt)
		}
	}
}

// The learned state of a process that was suspended is outdated: its recovery must restart, once.
func TestRecoveryRestartsAfterASuspension(t *testing.T) {
	r := NewTracker(0)
	checkPeriodically(r, 0, 20*time.Second, 0, func(time.Duration) { r.ListReceived() })
	if r.Stage() != Complete {
		t.Fatalf("the stage is %v after 20 s", r.Stage())
	}
	if !r.Check(30*time.Second, 0) || r.Stage() != AwaitingList || r.Age(30*time.Second) != 0 || r.Ready() != 0 {
		t.Errorf("the stage is %v after a suspension", r.Stage())
	}
	if r.Check(30*time.Second+900*ms, 0) {
		t.Error("a check that was less than suspendThreshold late restarted the recovery")
	}
}
