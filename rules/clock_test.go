package rules

import (
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

// After a pause of the driver, all events of that time are handled late. Members must neither be ejected nor look slow because of it.
func TestDriverPauseEjectsNoMember(t *testing.T) {
	c := newSettledCluster(t, "wait")
	for range 20 {
		c.request(2, 0)
	}
	before := c.router.predictLatency(c.router.members[c.ids[4]], c.router.methods[2])
	c.now += 700 * ms
	for len(c.openRPCs) > 10 {
		c.endAttempt(c.openRPCs[0], driver.OK)
	}
	c.router.Wake()
	c.traffic(1, 0)
	if after := c.router.predictLatency(c.router.members[c.ids[4]], c.router.methods[2]); after > 2*before {
		t.Fatalf("predicted %v after a pause, %v before", after, before)
	}
	if slices.ContainsFunc(c.router.memberList, func(m *member) bool { return m.health.allowance > 0 }) {
		t.Fatal("a member was ejected for the driver's pause")
	}
}

// The driver's clock is an hour ahead, so a member that has just started seems to have started an hour ago. It must be in slow start while
// the clock is uncertain and after it was corrected. Unknown times stay unknown.
func TestUncertainClockKeepsMembersInSlowStart(t *testing.T) {
	c := newSettledCluster(t, "none")
	fresh, old := c.router.members[102], c.router.members[103]
	fresh.startedAt = c.now - time.Hour
	pos, session, commit := fresh.replication.position, driver.Session(7), c.now-time.Hour-ms
	c.router.sessionCommits[session] = commit
	if c.router.warmingUp(fresh, c.now) {
		t.Fatal("the test shows nothing: the member is in slow start before")
	}
	c.router.SetClockUncertainty(time.Hour)
	if !c.router.warmingUp(fresh, c.now) || c.router.warmingUp(old, c.now) {
		t.Errorf("uncertain clock: slow start of the member that started %t, of the other %t", c.router.warmingUp(fresh, c.now), c.router.warmingUp(old, c.now))
	}
	c.router.SetClockUncertainty(0)
	c.router.CorrectClock(-time.Hour)
	if !c.router.warmingUp(fresh, c.now) || c.router.warmingUp(old, c.now) || fresh.startedAt != c.now || old.startedAt != unknownTime {
		t.Errorf("corrected: started %v before now, the other at %v", c.now-fresh.startedAt, old.startedAt)
	}
	if fresh.replication.position != pos+time.Hour || c.router.sessionCommits[session] != commit+time.Hour {
		t.Errorf("position %v, want %v; commit %v, want %v", fresh.replication.position, pos+time.Hour, c.router.sessionCommits[session], commit+time.Hour)
	}
}

// playDay simulates bursts and idle times with failing and restarting members, endpoint lists, failed list calls and pauses of the driver. It
// returns the router's actions and the number of ticks.
func playDay(t *testing.T, seed uint64, skipsTicks bool) (lines string, ticks int) {
	c := newCluster(t, seed, "wait", "tenants.count=1", "tenants.0.quota=8", "over_share=0.5")
	c.skipsTicks = skipsTicks
	actions := &actionLog{cluster: c}
	c.router.host = actions
	random := pcg.New(seed)
	outcomeOf := func(*simulatedRPC) driver.Outcome {
		return []driver.Outcome{driver.OK, driver.OK, driver.OK, driver.Full, driver.Failed, driver.NoConnection, noAnswer}[random.Below(7)]
	}
	for round := range 120 {
		switch random.Below(8) {
		case 0:
			c.announce(driver.NoList)
		case 1:
			m := c.ids[random.Below(len(c.ids))]
			c.members[m].startedAt = c.now
			c.announce(driver.Changes, m)
		case 2: // the driver is paused while it is busy (TestPauseDuringSkippedTicksIsDetected covers idle ones)
			if pause := time.Duration(100+5*random.Below(200)) * ms; len(c.router.rpcs) > 0 {
				c.now += pause
			}
		}
		for range random.Below(4) {
			c.trafficWithOutcomes(1+random.Below(3), time.Duration(5+5*random.Below(8))*ms, outcomeOf, random.Below(len(testMethods)), random.Below(4))
			actions.record("round %d, resumed at %v", round, c.router.ticks.resumedAt)
		}
		c.advance(time.Duration(5*random.Below(300)) * ms)
	}
	c.advance(3 * time.Second)
	return actions.lines.String(), c.ticks
}

// If the host skips ticks as WakeDelay permits, decisions, random draws and detected pauses must be the same as with all ticks.
func TestSkippedTicksChangeNoDecision(t *testing.T) {
	for seed := range uint64(12) {
		all, ticks := playDay(t, seed, false)
		skipping, fewer := playDay(t, seed, true)
		if all != skipping {
			a, b := strings.Split(all, "\n"), strings.Split(skipping, "\n")
			for i := range min(len(a), len(b)) {
				if a[i] != b[i] {
					t.Fatalf("seed %d, line %d: %q with all ticks, %q with skipped ones", seed, i, a[i], b[i])
				}
			}
			t.Fatalf("seed %d: %d lines with all ticks, %d with skipped ones", seed, len(a), len(b))
		}
		if fewer > ticks-1000 { // unanswered RPCs keep the driver busy for up to two seconds each
			t.Errorf("seed %d: %d of %d ticks came", seed, fewer, ticks)
		}
		t.Logf("seed %d: %d lines, %d of %d ticks", seed, strings.Count(all, "\n"), fewer, ticks)
	}
}

// A pause must also be detected while ticks are skipped, at the first RPC or the next tick. Skipped ticks alone are not a pause.
func TestPauseDuringSkippedTicksIsDetected(t *testing.T) {
	for _, pause := range []time.Duration{0, 40 * ms, 300 * ms, 2 * time.Second} {
		for _, firstEvent := range []string{"RPC", "tick"} {
			for phase := time.Duration(0); phase < idleScanInterval; phase += 5 * ms {
				c := newSettledCluster(t, "wait")
				c.skipsTicks = true
				c.advance(3*time.Second + phase)
				if len(c.router.rpcs) > 0 || c.wakeAt <= c.now && pause == 0 {
					t.Fatal("the host skips no ticks")
				}
				before := c.router.ticks.resumedAt
				if c.now += pause; firstEvent == "RPC" {
					c.request(2, 0)
				} else if c.now >= c.wakeAt {
					c.router.Wake()
				}
				if detected := c.router.ticks.resumedAt != before; detected != (pause >= 300*ms) {
					t.Errorf("pause of %[2]v, %[1]v after the last tick, first event %[3]s: detected %[4]t", phase, pause, firstEvent, detected)
				}
			}
		}
	}
}
