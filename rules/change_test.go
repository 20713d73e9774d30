package rules

import (
	"slices"
	"testing"
	"time"

	"passtack/driver"
)

// A tokened write that may have run goes by the window under which it began, where a shorter one holds by now, or a longer, by which the world
// itself would see it sent too late; what comes later goes by the new one.
func TestWhatIsUnderWayKeepsItsWindow(t *testing.T) {
	for text, window := range map[string]time.Duration{"5000000": 5 * time.Second, "100000": 100 * ms} {
		w := settled(t, "none")
		id := w.take(4, 0)
		w.r.Change(settingsOf("none", "methods.4.window="+text))
		w.step(200 * ms)
		before := w.calls
		w.end(id, driver.Broken)
		if w.calls != before+1 {
			t.Errorf("window %s: within the one that it began with it was not sent again", text)
		}
		if by, want := w.r.rpcs[id].by, w.rpcs[id].ranAt+1200*ms-way; by != min(want, w.rpcs[id].until) {
			t.Errorf("window %s: it may be sent until %v, %v is wanted", text, by, want)
		}
		w.end(id, driver.OK)
		if got := w.r.methods[4].window; got != window {
			t.Errorf("what comes later has %v", got)
		}
	}
}

// An RPC of a method that becomes one which must not run twice is finished by the effect under which it was taken; the next is not sent again.
func TestAChangeOfEffectHoldsForWhatBeginsLater(t *testing.T) {
	w := settled(t, "none")
	old := w.take(0, 0)
	w.step(5 * ms)
	w.r.Change(settingsOf("none", "methods.0.effect=non-idempotent"))
	before := w.calls
	w.end(old, driver.Broken)
	if w.calls != before+1 {
		t.Error("what was taken as idempotent is not sent again")
	}
	w.end(old, driver.OK)
	next := w.take(0, 0)
	w.step(5 * ms)
	before = w.calls
	w.end(next, driver.Broken)
	if w.calls != before || !w.aborted[next] {
		t.Errorf("what was taken as non-idempotent: %d further attempts, aborted %v", w.calls-before, w.aborted[next])
	}
}

// What was learned of methods and members outlasts a change; methods that come behind begin with what their deadline says, and tenants' quotas
// and the cold budget hold at once.
func TestAChangeForgetsNothing(t *testing.T) {
	w := settled(t, "none")
	usual := w.r.Usual()
	more := settingsOf("none", "methods.count=9", "methods.8.effect=idempotent", "methods.8.utility=4", "methods.8.soft_deadline=800000", "methods.0.soft_deadline=100000",
		"tenants.count=1", "tenants.0.quota=30", "drivers=3", "rules.cold_multiple=7", "caps.attempts=2")
	more["family_info.needs"] += ",any"
	more["family_info.bounds"] += ",0"
	w.r.Change(more)
	if got := w.r.Usual(); !slices.Equal(got[:8], usual) || got[8] != 200*ms {
		t.Errorf("latencies were %v and are %v", usual, got)
	}
	if m := w.r.methods[0]; m.soft != 100*ms || m.need != "bounded" || m.bound != 500*ms {
		t.Errorf("%+v", m)
	}
	if !slices.Equal(w.r.quota, []float64{10}) || !slices.Equal(w.r.room, w.r.quota) || w.r.terms.Number("rules.cold_multiple", 0) != 7 {
		t.Errorf("quotas %v, room %v", w.r.quota, w.r.room)
	}
	id := w.take(2, 0)
	for range 3 {
		w.step(5 * ms)
		if q := w.rpcs[id]; !q.ended {
			w.end(id, driver.Failed)
		}
	}
	if q := w.rpcs[id]; !q.ended || q.last != 1 {
		t.Errorf("with two attempts at the most: %d, ended %v", q.last+1, q.ended)
	}
	w.traffic(50, 20*ms, 0, 1, 2, 4, 5)
}
