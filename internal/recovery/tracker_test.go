package recovery

import (
	"testing"
	"time"
)

// checkPeriodically calls step and Check every 50 ms and returns when each stage was entered.
func checkPeriodically(tracker *Tracker, from, until time.Duration, waiting int, step func(now time.Duration)) (enteredAt [Complete + 1]time.Duration) {
	for now := from; now <= until; now += 50 * ms {
		step(now)
		if tracker.Check(now, waiting) {
			enteredAt[tracker.Stage()] = now
		}
	}
	return enteredAt
}

func TestStagesAdvanceOnTheirConditions(t *testing.T) {
	tracker := NewTracker(0)
	enteredAt := checkPeriodically(tracker, 0, 5*time.Second, 0, func(now time.Duration) {
		tracker.GroupUsed(3)
		tracker.GroupUsed(4)
		if now == 200*ms {
			tracker.ListReceived()
		}
		if now == 300*ms {
			tracker.PrimaryAnswered(3)
			tracker.PrimaryAnswered(3)
		}
		if now == 600*ms {
			tracker.PrimaryAnswered(4)
		}
		tracker.RPCAnswered(now > 600*ms && now < 1200*ms)
	})
	want := [Complete + 1]time.Duration{0, 200 * ms, 600 * ms}
	if enteredAt[ProvingPrimaries] != want[ProvingPrimaries] || enteredAt[WarmingUp] != want[WarmingUp] || enteredAt[Complete] < 1600*ms || enteredAt[Complete] > 1900*ms {
		t.Errorf("stages were entered at %v", enteredAt)
	}
	if tracker.Ready() != 1 {
		t.Error("a driver that has recovered is not fully ready")
	}
}

// Each stage must end after its limit, even without a list, an answer of a primary or an accepted RPC, and while attempts wait.
func TestStagesEndAfterTheirLimits(t *testing.T) {
	for _, waiting := range []int{0, 7} {
		tracker := NewTracker(0)
		enteredAt := checkPeriodically(tracker, 0, 20*time.Second, waiting, func(time.Duration) {
			tracker.GroupUsed(1)
			tracker.RPCAnswered(true)
		})
		if enteredAt[ProvingPrimaries] != time.Second || enteredAt[WarmingUp] != 4*time.Second || enteredAt[Complete] != 14*time.Second {
			t.Errorf("stages were entered at %v", enteredAt)
		}
	}
}

// The learned state of a process that was suspended is outdated: its recovery must restart, once.
func TestRecoveryRestartsAfterASuspension(t *testing.T) {
	tracker := NewTracker(0)
	checkPeriodically(tracker, 0, 20*time.Second, 0, func(time.Duration) { tracker.ListReceived() })
	if tracker.Stage() != Complete {
		t.Fatalf("the stage is %v after 20 s", tracker.Stage())
	}
	if !tracker.Check(30*time.Second, 0) || tracker.Stage() != AwaitingList || tracker.Age(30*time.Second) != 0 || tracker.Ready() != 0 {
		t.Errorf("the stage is %v after a suspension", tracker.Stage())
	}
	if tracker.Check(30*time.Second+900*ms, 0) {
		t.Error("a check that was less than suspendThreshold late restarted the recovery")
	}
}
