package rules

import (
	"slices"
	"testing"

	"passtack/driver"
	"passtack/internal/pcg"
)

// A member that answers with fast errors must be ejected like a silent one, though its latencies look best, and be reinstated when it
// answers again.
func TestFailingMemberIsEjectedAndReinstated(t *testing.T) {
	for _, outcome := range []driver.Outcome{noAnswer, driver.Failed} {
		c := newSettledCluster(t, "wait")
		dead := c.ids[4]
		c.trafficWithOutcomes(400, 5*ms, func(q *simulatedRPC) driver.Outcome {
			if q.member == dead {
				return outcome
			}
			return driver.OK
		}, 2)
		if c.router.members[dead].health.allowance == 0 {
			t.Fatalf("a failing member is not ejected, outcome %d", outcome)
		}
		c.traffic(2000, 5*ms, 2)
		if c.router.members[dead].health.allowance != 0 {
			t.Fatalf("a member that answers again is still ejected, outcome %d before", outcome)
		}
	}
}

// An answer to an attempt that was sent before the ejection shows that the member was only paused: it must be reinstated at once.
func TestPausedMemberIsReinstatedByAnEarlierAttemptsAnswer(t *testing.T) {
	c := newSettledCluster(t, "wait")
	m := c.router.members[c.ids[4]]
	for i := 0; i < 400 && m.health.allowance == 0; i++ {
		c.trafficWithOutcomes(1, 5*ms, func(q *simulatedRPC) driver.Outcome {
			if q.member == m.id {
				return noAnswer
			}
			return driver.OK
		}, 2)
	}
	unanswered := slices.Clone(c.openRPCs)
	if m.health.allowance == 0 || c.rpcs[unanswered[0]].member != m.id {
		t.Fatal("the member is not ejected")
	}
	if c.endAttempt(unanswered[0], driver.OK); m.health.allowance != 0 {
		t.Fatalf("the member is still ejected, its allowance is %d", m.health.allowance)
	}
}

// Occasional broken connections or lost answers, or errors of half of all attempts, must eject few members: no single one is at fault.
func TestScatteredFailuresEjectFewMembers(t *testing.T) {
	for outcome, odds := range map[driver.Outcome]int{driver.Broken: 8, noAnswer: 8, driver.Failed: 2} {
		c, ejected := newSettledCluster(t, "wait"), 0
		for range 16 {
			c.trafficWithOutcomes(20, 50*ms, func(q *simulatedRPC) driver.Outcome {
				if q.lastAttempt == 0 && pcg.New(uint64(q.arrivedAt)+uint64(q.member)).Below(odds) == 0 {
					return outcome
				}
				return driver.OK
			}, 2, 2, 2, 2)
			for _, m := range c.router.memberList {
				if m.health.allowance > 0 && m.health.allowance < 4 {
					ejected++
				}
			}
		}
		if ejected > 34 {
			t.Fatalf("members were ejected in %d of 128 cases, outcome %d", ejected, outcome)
		}
	}
}
