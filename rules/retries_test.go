package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

// A keyed write whose connection broke late in its retry window must not be sent after the window, even if a primary is found only then.
func TestKeyedWriteIsNotRetriedAfterItsWindow(t *testing.T) {
	c := newSettledCluster(t, "none")
	id := c.request(4, 0)
	q := c.rpcs[id]
	c.router.rpcs[id].Deadline, q.deadline = c.now+3*time.Second, c.now+3*time.Second
	c.advance(1100 * ms)
	c.endAttempt(id, driver.Broken)
	c.primaries[q.group] = 0 // no primary takes over before the window ends
	c.traffic(100, 5*ms)
	c.primaries[q.group] = c.ids[q.group]
	c.advance(500 * ms)
	if !c.aborted[id] {
		t.Fatal("a write past its retry window was not aborted")
	}
}

// Guards against a promise that a retry of a keyed RPC is harmless although it may have run: members drop a duplicate for a time only, and a
// client may retry after that. The promise is kept where the RPC surely has not run.
func TestKeyedRPCThatMayHaveRunIsNotPushedBack(t *testing.T) {
	keyedMethods := map[string]int{"in the group": 4, "anywhere": 6, "in the zone": 7}
	ends := map[string]struct {
		end        func(c *cluster, id driver.RPC)
		mayHaveRun bool
	}{
		"no answer":            {func(c *cluster, id driver.RPC) { c.endAttempt(id, driver.TimedOut) }, true},
		"failed, no time left": {func(c *cluster, id driver.RPC) { c.advance(1900 * ms); c.endAttempt(id, driver.Failed) }, true},
		"broken, no time left": {func(c *cluster, id driver.RPC) { c.advance(1900 * ms); c.endAttempt(id, driver.Broken) }, true},
		"answered in shutdown": {func(c *cluster, id driver.RPC) { c.router.AnswerNow(id) }, true},
		"client half-closed": {func(c *cluster, id driver.RPC) {
			c.router.ClientHalfClosed(id)
			c.endAttempt(id, driver.Failed)
		}, true},
		"not sent": {func(c *cluster, id driver.RPC) { c.endAttempt(id, driver.NotSent) }, false},
		"rejected, client half-closed": {func(c *cluster, id driver.RPC) {
			c.router.ClientHalfClosed(id)
			c.endAttempt(id, driver.Full)
		}, false},
		"never connected, client half-closed": {func(c *cluster, id driver.RPC) {
			c.router.ClientHalfClosed(id)
			c.endAttempt(id, driver.NoConnection)
		}, false},
	}
	for methodName, method := range keyedMethods {
		for name, test := range ends {
			t.Run(methodName+"/"+name, func(t *testing.T) {
				c := newSettledCluster(t, "none")
				c.minDeadlineMillis = 1999
				id := c.request(method, 0)
				if c.rpcs[id].lastAttempt < 0 {
					t.Fatal("the write was not sent at once")
				}
				test.end(c, id)
				c.advance(2 * time.Second)
				if _, pushedBack := c.pushedBack[id]; pushedBack == test.mayHaveRun || c.aborted[id] != test.mayHaveRun {
					t.Errorf("pushed back: %t, aborted: %t; it may have run: %t", pushedBack, c.aborted[id], test.mayHaveRun)
				}
			})
		}
	}
}
