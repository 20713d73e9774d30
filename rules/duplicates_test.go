package rules

import (
	"fmt"
	"testing"
	"time"

	"passtack/driver"
)

// repeatable requests a keyed RPC with a key and a timeout, and returns it once it is sent or answered.
func (c *cluster) repeatable(method int, key driver.Key, timeout time.Duration) driver.RPC {
	c.nextKey, c.nextTimeout = key, timeout
	defer func() { c.nextKey, c.nextTimeout = 0, 0 }()
	return c.request(method, 0)
}

// Guards against an attempt of a client's repeat after members have forgotten the first try, and against a rejection of such a repeat with the
// promise that a retry is harmless. A repeat of an RPC that surely has not run is not limited.
func TestRepeatIsBoundByTheFirstRun(t *testing.T) {
	for name, test := range map[string]struct {
		firstEnd   func(c *cluster, id driver.RPC)
		mayHaveRun bool
	}{
		"no answer":   {func(c *cluster, id driver.RPC) { c.endAttempt(id, driver.TimedOut) }, true},
		"broken":      {func(c *cluster, id driver.RPC) { c.router.ClientHalfClosed(id); c.endAttempt(id, driver.Broken) }, true},
		"client left": {func(c *cluster, id driver.RPC) { c.rpcs[id].answered = true; c.router.ClientLeft(id) }, true},
		"answered":    {func(c *cluster, id driver.RPC) { c.endAttempt(id, driver.OK) }, true},
		"rejected":    {func(c *cluster, id driver.RPC) { c.router.ClientHalfClosed(id); c.endAttempt(id, driver.Full) }, false},
	} {
		for _, cancel := range []string{"true", "false"} {
			t.Run(name+", cancel "+cancel, func(t *testing.T) {
				c := newSettledCluster(t, "none", "caps.cancel="+cancel)
				c.groupOfRequests = 1
				sentAt := c.now
				first := c.repeatable(6, 77, 1900*ms)
				test.firstEnd(c, first)
				c.advance(1000 * ms)
				repeat := c.repeatable(6, 77, 1900*ms)
				if c.rpcs[repeat].lastAttempt < 0 {
					t.Fatal("the repeat inside the window was not sent")
				}
				c.advance(250 * ms)
				c.endAttempt(repeat, driver.NoConnection)
				c.advance(300 * ms)
				sentLate := c.rpcs[repeat].lastAttempt > 0 && c.rpcs[repeat].sentAt >= sentAt+1200*ms
				if sentLate == test.mayHaveRun {
					t.Errorf("the repeat was sent after the window: %t; the first try may have run: %t", sentLate, test.mayHaveRun)
				}
				if _, pushedBack := c.pushedBack[repeat]; pushedBack && test.mayHaveRun {
					t.Error("the repeat was pushed back though the first try may have run")
				}
			})
		}
	}
}

// Repeats keyed RPCs at random, with attempts that end in every way. The cluster checks at each attempt and answer that a repeat is bound by the
// first run of its key.
func TestRandomRepeatsAreBoundByTheFirstRun(t *testing.T) {
	outcomes := []driver.Outcome{driver.OK, driver.Full, driver.Failed, driver.NoConnection, driver.Broken, driver.TimedOut}
	for seed := range uint64(40) {
		c := newCluster(t, seed, "none", fmt.Sprintf("caps.cancel=%t", seed%2 == 0), "mixed=true")
		c.traffic(60, 5*ms, 4, 6, 7)
		bound := 0
		for range 1500 {
			switch draw := c.random.Below(100); {
			case draw < 30:
				id := c.repeatable([]int{4, 6, 7}[c.random.Below(3)], driver.Key(1+c.random.Below(8)), time.Duration(100+c.random.Below(1900))*ms)
				if c.rpcs[id].duplicatesUntil > 0 {
					bound++
				}
			case draw < 60 && len(c.openRPCs) > 0:
				c.endAttempt(c.openRPCs[c.random.Below(len(c.openRPCs))], outcomes[c.random.Below(len(outcomes))])
			case draw < 63 && len(c.openRPCs) > 0:
				c.router.ClientHalfClosed(c.openRPCs[c.random.Below(len(c.openRPCs))])
			case draw < 66 && len(c.openRPCs) > 0:
				if id := c.openRPCs[c.random.Below(len(c.openRPCs))]; !c.rpcs[id].answered {
					c.router.AnswerNow(id)
				}
			default:
				c.advance(time.Duration(5+c.random.Below(60)) * ms)
			}
		}
		if bound < 50 {
			t.Errorf("seed %d: only %d repeats inside a window", seed, bound)
		}
	}
}

// Guards against a table of runs that grows with the keys of clients, and against one that keeps keys that members have forgotten.
func TestRunsByKeyAreBounded(t *testing.T) {
	var runs runsByKey
	for i := range 3 * maxRunKeys {
		runs.add(&keyRuns{key: runKey{key: driver.Key(i)}, forgottenAt: time.Second}, 0)
	}
	for i := range 3 * maxRunKeys {
		if found := runs.find(runKey{key: driver.Key(i)}, 1) != nil; found != (i >= 2*maxRunKeys) {
			t.Fatalf("key %d is known: %t", i, found)
		}
	}
	if runs.find(runKey{group: 1, key: driver.Key(3*maxRunKeys - 1)}, 1) != nil || runs.find(runKey{key: driver.Key(3*maxRunKeys - 1)}, time.Second) != nil {
		t.Error("a run of another group, or one that members have forgotten, was found")
	}
	runs.add(&keyRuns{key: runKey{key: 1}, forgottenAt: 3 * time.Second}, 2*time.Second)
	if len(runs.keys) != 1 || runs.oldest.Len() != 1 {
		t.Errorf("%d keys and %d runs are left, want 1", len(runs.keys), runs.oldest.Len())
	}
}
