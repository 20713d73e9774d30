package rules

import (
	"slices"
	"testing"
	"time"

	"passtack/driver"
)

// A tokened write that may have run goes by the window under which it began, where a shorter one holds by now, or a longer, by which the world
// itself would see it sent too late; what comes later goes by the new one.
func TestRPCInFlightKeepsItsRetryWindow(t *testing.T) {
	for text, window := range map[string]time.Duration{"5000000": 5 * time.Second, "100000": 100 * ms} {
		w := newSettledCluster(t, "none")
		id := w.request(4, 0)
		w.router.ApplySettings(testSettings("none", "methods.4.window="+text))
		w.advance(200 * ms)
		before := w.attempts
		w.endAttempt(id, driver.Broken)
		if w.attempts != before+1 {
			t.Errorf("window %s: within the one that it began with it was not sent again", text)
		}
		if by, want := w.router.rpcs[id].sendBy, w.rpcs[id].firstRunAt+1200*ms-deliveryTime; by != min(want, w.rpcs[id].deadline) {
			t.Errorf("window %s: it may be sent until %v, %v is wanted", text, by, want)
		}
		w.endAttempt(id, driver.OK)
		if got := w.router.methods[4].RetryWindow; got != window {
			t.Errorf("what comes later has %v", got)
		}
	}
}

// An RPC of a method that becomes one which must not run twice is finished by the effect under which it was taken; the next is not sent again.
func TestEffectChangeAppliesToLaterRPCs(t *testing.T) {
	w := newSettledCluster(t, "none")
	old := w.request(0, 0)
	w.advance(5 * ms)
	w.router.ApplySettings(testSettings("none", "methods.0.effect=non-idempotent"))
	before := w.attempts
	w.endAttempt(old, driver.Broken)
	if w.attempts != before+1 {
		t.Error("what was taken as idempotent is not sent again")
	}
	w.endAttempt(old, driver.OK)
	next := w.request(0, 0)
	w.advance(5 * ms)
	before = w.attempts
	w.endAttempt(next, driver.Broken)
	if w.attempts != before || !w.aborted[next] {
		t.Errorf("what was taken as non-idempotent: %d further attempts, aborted %v", w.attempts-before, w.aborted[next])
	}
}

// What was learned of methods and members outlasts a change; methods that come behind begin with what their deadline says, and tenants' quotas
// and the cold budget hold at once.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	w := newSettledCluster(t, "none")
	usual := w.router.TypicalLatencies()
	more := testSettings("none", "methods.count=9", "methods.8.effect=idempotent", "methods.8.utility=4", "methods.8.soft_deadline=800000", "methods.0.soft_deadline=100000",
		"tenants.count=1", "tenants.0.quota=30", "drivers=3", "rules.cold_multiple=7", "caps.attempts=2")
	more["family_info.needs"] += ",any"
	more["family_info.bounds"] += ",0"
	w.router.ApplySettings(more)
	if got := w.router.TypicalLatencies(); !slices.Equal(got[:8], usual) || got[8] != 200*ms {
		t.Errorf("latencies were %v and are %v", usual, got)
	}
	if m := w.router.methods[0]; m.SoftDeadline != 100*ms || m.Freshness != "bounded" || m.MaxStaleness != 500*ms {
		t.Errorf("%+v", m)
	}
	if !slices.Equal(w.router.quotas, []float64{10}) || !slices.Equal(w.router.quotaLeft, w.router.quotas) || w.router.settings.Number("rules.cold_multiple", 0) != 7 {
		t.Errorf("quotas %v, room %v", w.router.quotas, w.router.quotaLeft)
	}
	id := w.request(2, 0)
	for range 3 {
		w.advance(5 * ms)
		if q := w.rpcs[id]; !q.answered {
			w.endAttempt(id, driver.Failed)
		}
	}
	if q := w.rpcs[id]; !q.answered || q.lastAttempt != 1 {
		t.Errorf("with two attempts at the most: %d, ended %v", q.lastAttempt+1, q.answered)
	}
	w.traffic(50, 20*ms, 0, 1, 2, 4, 5)
}
