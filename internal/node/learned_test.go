package node

import (
	"fmt"
	"strings"
	"testing"

	"passtack/internal/persist"
	"passtack/internal/storage"
)

// A driver that stops has saved its learned state in its folder, and its next process restores it. A second driver cannot use the folder
// while the first one has it open.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	folder := t.TempDir()
	m := startFakeMember(t, respondAsLeader)
	newDriver := func() *Node {
		return buildDriverWithConfig(t, "", 100, endpointList(1, true, endpointEntry(0, 0, m.listener.Addr(), "in_service")), testSettings, func(string) string {
			return fmt.Sprintf("state {\n  folder = %q\n  every = \"100ms\"\n}\n", folder)
		})
	}
	first := newDriver()
	if first.learned == nil || first.learned.restored.SavedAt != 0 {
		t.Fatalf("from an empty folder the driver restored %+v", first.learned)
	}
	if other := newDriver(); other.learned != nil || other.counters["state_unusable"] != 1 {
		t.Error("a second driver opened a folder that is in use")
	}
	d := runDriver(t, first)
	if a := dialPG(t, d.address).query(t, taggedStatement("x1", "order", 1900, 0)); !strings.HasPrefix(a, "ok") {
		t.Fatalf("the RPC is answered %s, want ok", a)
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
	saved := persist.Restore(s).Members["s-0"]
	if saved.Position == 0 || saved.Timed == 0 {
		t.Errorf("saved state of the member: %+v, want a position and a latency", saved)
	}
	second := newDriver()
	if second.learned == nil || second.learned.restored.SavedAt == 0 || len(second.learned.restored.Members) != 0 {
		t.Errorf("the next process restored %+v", second.learned)
	}
	runDriver(t, second).stop()
}
