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
