package front

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an id that runs twice after its client has left, and against a table that grows with the ids of clients that leave.
func TestIDsOfClientsThatLeftAreRefusedForSomeTime(t *testing.T) {
	ids := NewRequestIDs()
	ids.Begin("answered")
	ids.Begin("left")
	ids.End("answered")
	ids.Leave("left", 0)
	for _, check := range []struct {
		id   string
		now  time.Duration
		want bool
	}{{"answered", 0, false}, {"left", 0, true}, {"left", leftIDRetention - 1, true}, {"left", leftIDRetention, false}, {"other", 0, false}} {
		if got := ids.MayHaveRun(check.id, check.now); got != check.want || ids.Active(check.id) {
			t.Errorf("%s after %v: may have run %t, want %t", check.id, check.now, got, check.want)
		}
	}
	for i := range 3 * maxLeftIDs {
		id := fmt.Sprint(i)
		ids.Begin(id)
		ids.Leave(id, 0)
		ids.Leave(id, 0)
	}
	for i := range 3 * maxLeftIDs {
		if got, want := ids.MayHaveRun(fmt.Sprint(i), 1), i >= 2*maxLeftIDs; got != want {
			t.Fatalf("id %d: may have run %t, want %t", i, got, want)
		}
	}
	if len(ids.left) != maxLeftIDs || len(ids.order) != maxLeftIDs || len(ids.active) != 0 {
		t.Errorf("%d ids, %d in order, %d active", len(ids.left), len(ids.order), len(ids.active))
	}
}
