package rules

import (
	"slices"
	"testing"
	"time"

	"passtack/driver"
)

// A keyed write that may have run must keep the retry window that it began with when a longer or shorter one is configured. Later RPCs get
// the new window.
func TestRPCInFlightKeepsItsRetryWindow(t *testing.T) {
	for text, window := range map[string]time.Duration{"5000000": 5 * time.Second, "100000": 100 * ms} {
		c := newSettledCluster(t, "none")
		id := c.request(4, 0)
		c.router.ApplySettings(testSettings("none", "methods.4.window="+text))
		c.advance(200 * ms)
		before := c.attempts
		c.endAttempt(id, driver.Broken)
		if c.attempts != before+1 {
			t.Errorf("window %s: no retry within the window that it began with", text)
		}
		if by, want := c.router.rpcs[id].sendBy, c.rpcs[id].firstRunAt+1200*ms-deliveryTime; by != min(want, c.rpcs[id].deadline) {
			t.Errorf("window %s: it may be sent until %v, want %v", text, by, want)
		}
		c.endAttempt(id, driver.OK)
		if got := c.router.methods[4].RetryWindow; got != window {
			t.Errorf("later RPCs have window %v", got)
		}
	}
}

// An RPC must keep the effect that it was taken with when its method becomes non-idempotent. Later RPCs are not retried.
func TestEffectChangeAppliesToLaterRPCs(t *testing.T) {
	c := newSettledCluster(t, "none")
	old := c.request(0, 0)
	c.advance(5 * ms)
	c.router.ApplySettings(testSettings("none", "methods.0.effect=non-idempotent"))
	before := c.attempts
	c.endAttempt(old, driver.Broken)
	if c.attempts != before+1 {
		t.Error("an RPC that was taken as idempotent is not retried")
	}
	c.endAttempt(old, driver.OK)
	next := c.request(0, 0)
	c.advance(5 * ms)
	before = c.attempts
	c.endAttempt(next, driver.Broken)
	if c.attempts != before || !c.aborted[next] {
		t.Errorf("an RPC that was taken as non-idempotent: %d retries, aborted %v", c.attempts-before, c.aborted[next])
	}
}

// A change of settings must not discard what was learned about methods and members. New methods begin with a latency derived from their soft
// deadline; quotas and the slow-start budget apply at once.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	c := newSettledCluster(t, "none")
	before := c.router.TypicalLatencies()
	more := testSettings("none", "methods.count=9", "methods.8.effect=idempotent", "methods.8.utility=4", "methods.8.soft_deadline=800000", "methods.0.soft_deadline=100000",
		"tenants.count=1", "tenants.0.quota=30", "drivers=3", "rules.cold_multiple=7", "caps.attempts=2")
	more["family_info.needs"] += ",any"
	more["family_info.bounds"] += ",0"
	c.router.ApplySettings(more)
	if got := c.router.TypicalLatencies(); !slices.Equal(got[:8], before) || got[8] != 200*ms {
		t.Errorf("typical latencies were %v and are %v", before, got)
	}
	if m := c.router.methods[0]; m.SoftDeadline != 100*ms || m.Freshness != "bounded" || m.MaxStaleness != 500*ms {
		t.Errorf("%+v", m)
	}
	if !slices.Equal(c.router.quotas, []float64{10}) || !slices.Equal(c.router.quotaLeft, c.router.quotas) || c.router.settings.Number("rules.cold_multiple", 0) != 7 {
		t.Errorf("quotas %v, left %v", c.router.quotas, c.router.quotaLeft)
	}
	id := c.request(2, 0)
	for range 3 {
		c.advance(5 * ms)
		if q := c.rpcs[id]; !q.answered {
			c.endAttempt(id, driver.Failed)
		}
	}
	if q := c.rpcs[id]; !q.answered || q.lastAttempt != 1 {
		t.Errorf("at most two attempts are allowed: %d, ended %v", q.lastAttempt+1, q.answered)
	}
	c.traffic(50, 20*ms, 0, 1, 2, 4, 5)
}
