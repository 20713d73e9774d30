package rules

import (
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

// Guards against a table of first runs that grows with the keys of clients, and against one that keeps keys that members have forgotten.
func TestFirstRunsAreBounded(t *testing.T) {
	var runs firstRuns
	for i := range 3 * maxFirstRuns {
		runs.add(&firstRun{key: runKey{key: driver.Key(i)}, forgottenAt: time.Second}, 0)
	}
	for i := range 3 * maxFirstRuns {
		if found := runs.find(runKey{key: driver.Key(i)}, 1) != nil; found != (i >= 2*maxFirstRuns) {
			t.Fatalf("key %d is known: %t", i, found)
		}
	}
	if runs.find(runKey{group: 1, key: driver.Key(3*maxFirstRuns - 1)}, 1) != nil || runs.find(runKey{key: driver.Key(3*maxFirstRuns - 1)}, time.Second) != nil {
		t.Error("a run of another group, or one that members have forgotten, was found")
	}
	runs.add(&firstRun{key: runKey{key: 1}, forgottenAt: 3 * time.Second}, 2*time.Second)
	if len(runs.byKey) != 1 || runs.oldest.Len() != 1 {
		t.Errorf("%d keys and %d runs are left, want 1", len(runs.byKey), runs.oldest.Len())
	}
}
