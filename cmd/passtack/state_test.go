package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// The commands read a state directory while its driver uses it, and verify names the damaged file.
func TestStateIsShownAndVerified(t *testing.T) {
	path := t.TempDir()
	s, _, err := persist.Open(path, "n0", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	v := persist.NewSaver(s, 1<<20)
	v.SessionWrote(7, time.Hour)
	v.SetEndpoint("s-9", []byte(`{"uid":"s-9"}`))
	v.SetListVersion(persist.ListVersion{Revision: 4})
	v.BeginRound()
	v.SaveMember("s-1", driver.MemberSnapshot{Position: time.Hour, Replica: driver.LongAgo, Timed: time.Hour, Ratio: 1.25})
	changes := v.FinishRound(time.Hour)
	if err := s.Commit(changes); err != nil {
		t.Fatal(err)
	}
	if err := s.Commit([]storage.Change{{Name: "member/s-1"}}); err != nil {
		t.Fatal(err)
	}
	if out, ok := passtack(t, "state", "verify", path); !ok || !strings.Contains(out, "snapshot=1 values=4 members=0 sessions=1 listed=1 saved=1970-01-01T01:00:00Z") {
		t.Errorf("verify: %s", out)
	}
	s.Close()
	logs, _ := filepath.Glob(filepath.Join(path, "log-*"))
	text, _ := os.ReadFile(logs[0])
	os.WriteFile(logs[0], text[:len(text)-1], 0o600)
	if out, ok := passtack(t, "state", "verify", path); ok || !strings.Contains(out, filepath.Base(logs[0])) {
		t.Errorf("verify of a truncated log: %s", out)
	}
	if out, ok := passtack(t, "state", "show", path); !ok || !strings.Contains(out, "s-1") || !strings.Contains(out, "never") || !strings.Contains(out, "1.25") {
		t.Errorf("show: %s", out)
	}
	if out, ok := passtack(t, "state", "show", "--json", path); !ok || !strings.Contains(out, `"Ratio": 1.25`) {
		t.Errorf("show as JSON: %s", out)
	}
	if out, ok := passtack(t, "state", "export", path); !ok || !strings.Contains(out, "s-1,3600000000000,0,3600000000000,1.25") {
		t.Errorf("export: %s", out)
	}
	if out, ok := passtack(t, "state", "export", "--of", "sessions", path); !ok || !strings.Contains(out, "7,3600000000000") {
		t.Errorf("export of sessions: %s", out)
	}
	if out, ok := passtack(t, "state", "prune", path); !ok || !strings.Contains(out, "bytes_after=") {
		t.Errorf("prune: %s", out)
	}
	if out, ok := passtack(t, "state", "verify", path); !ok || !strings.Contains(out, "members=0 sessions=0 listed=1") {
		t.Errorf("verify after all that is old was pruned: %s", out)
	}
}

// Scripts read the output of the state commands: for a directory that an earlier version wrote it has to stay byte for byte the same.
func TestOutputOfStateCommandsIsUnchanged(t *testing.T) {
	const directory = "../../internal/persist/testdata/folder"
	for _, c := range []struct {
		golden string
		args   []string
	}{
		{"state-show.txt", []string{"state", "show", directory}},
		{"state-show.json", []string{"state", "show", "--json", directory}},
		{"state-verify.txt", []string{"state", "verify", directory}},
		{"state-export-members.csv", []string{"state", "export", directory}},
		{"state-export-sessions.csv", []string{"state", "export", "--of", "sessions", directory}},
	} {
		want, err := os.ReadFile(filepath.Join("testdata", c.golden))
		if err != nil {
			t.Fatal(err)
		}
		if out, ok := passtack(t, c.args...); !ok || out != string(want) {
			t.Errorf("%v prints\n%s\nwant\n%s", c.args, out, want)
		}
	}
}
