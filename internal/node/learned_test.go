package node

import (
	"fmt"
	"strings"
	"testing"

	"passtack/internal/persist"
	"passtack/internal/storage"
)

// What a driver has learned is in its folder once it has ended, and restored by its next process. No other driver may use the folder meanwhile.
func TestLearnedStateSurvivesARestart(t *testing.T) {
	folder := t.TempDir()
	m := startFakeMember(t, respondAsLeader)
	next := func() *Node {
		return buildDriverWithConfig(t, "", 100, endpointList(1, true, endpointEntry(0, 0, m.listener.Addr(), "in_service")), testSettings, func(string) string {
			return fmt.Sprintf("state {\n  folder = %q\n  every = \"100ms\"\n}\n", folder)
		})
	}
	first := next()
	if first.learned == nil || first.learned.restored.SavedAt != 0 {
		t.Fatalf("an empty folder gives %+v", first.learned)
	}
	if other := next(); other.learned != nil || other.counters["state_unusable"] != 1 {
		t.Error("two drivers use one folder")
	}
	d := runDriver(t, first)
	if a := dialPG(t, d.address).query(t, taggedStatement("x1", "order", 1900, 0)); !strings.HasPrefix(a, "ok") {
		t.Fatalf("it is answered by %s", a)
	}
	d.stop()
	directory, err := storage.OpenDirectory(folder)
	if err != nil {
		t.Fatal(err)
	}
	s, report, err := storage.OpenReadOnly(directory)
	if err != nil || s.Owner() != persist.Owner("n0") || len(report.Unreadable) > 0 {
		t.Fatalf("%+v, %v", report, err)
	}
	k := persist.Restore(s).Members["s-0"]
	if k.Position == 0 || k.Timed == 0 {
		t.Errorf("saved of the member: %+v", k)
	}
	second := next()
	if second.learned == nil || second.learned.restored.SavedAt == 0 || len(second.learned.restored.Members) != 0 {
		t.Errorf("the next process restores %+v", second.learned)
	}
	runDriver(t, second).stop()
}
