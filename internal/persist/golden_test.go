package persist

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/idempotency"
	"passtack/internal/lease"
	"passtack/internal/storage"
)

var update = flag.Bool("update", false, "rewrite golden files")

const goldenDirectory = "testdata/folder"

var (
	goldenDiscovery = netip.MustParseAddrPort("127.0.0.1:7001")
	goldenMembers   = map[string]driver.MemberSnapshot{
		"s-1": {Position: time.Hour, Replica: time.Hour - time.Second, Timed: time.Hour - time.Minute, Ratio: 1.25},
		"s-2": {Position: time.Hour + time.Second, Replica: driver.LongAgo, Timed: 59 * time.Minute, Ratio: 0.5},
		"s-3": {Position: time.Hour + 9*time.Second, Replica: time.Hour, Timed: time.Hour, Ratio: 2},
	}
	goldenPromise = lease.Promise{FencingToken: 7, VoterSetVersion: 3}
)

// writeGolden writes a directory with one snapshot and two log records.
func writeGolden(t *testing.T, path string) {
	s := openStore(t, path)
	defer s.Close()
	v := NewSaver(s, 32<<20)
	registry := idempotency.New(0)
	registry.Retention, registry.MaxBytes, registry.MaxInProgress = time.Hour, 1<<20, 10
	registry.Persist = func(key string, e []byte) { v.SetRequest("offices", xxh3.HashString(key), e) }
	commit := func(now time.Duration, members ...string) {
		v.BeginRound()
		for _, uid := range members {
			v.SaveMember(uid, goldenMembers[uid])
		}
		v.SaveUsualLatencies([]time.Duration{3 * ms, 40 * ms})
		changes := v.FinishRound(now)
		err := s.Commit(changes)
		if v.Committed(err); err != nil {
			t.Fatal(err)
		}
	}
	run := func(key string, outcome idempotency.Outcome) {
		_, e := registry.Begin(idempotency.Request{Key: key, Digest: 11, FirstSent: time.Second, Window: 2 * time.Second}, time.Second)
		registry.Finish(e, outcome, []byte("answer of "+key), 1500*ms)
	}
	v.SessionWrote(0xbeef, time.Hour)
	v.SessionWrote(5, time.Hour-time.Second)
	v.SetEndpoint("s-1", []byte(`{"uid":"s-1"}`))
	v.SetEndpoint("s-2", []byte(`{"uid":"s-2"}`))
	v.SetListVersion(ListVersion{Revision: 4, Discovery: goldenDiscovery})
	run("done", idempotency.Completed)
	run("gone", idempotency.NotRun)
	commit(time.Hour, "s-1", "s-2")
	v.SessionWrote(5, time.Hour+time.Second)
	v.SetEndpoint("s-1", nil)
	v.SetListVersion(ListVersion{Revision: 5, Discovery: goldenDiscovery})
	run("unsure", idempotency.Uncertain)
	v.SetRequest("offices", xxh3.HashString("gone"), nil)
	commit(time.Hour+2*time.Second, "s-2", "s-3")
	if err := s.Commit([]storage.Change{PromiseChange("summary", goldenPromise)}); err != nil {
		t.Fatal(err)
	}
}

// goldenFiles returns the snapshots and logs of a directory by name.
func goldenFiles(t *testing.T, path string) map[string][]byte {
	names, err := filepath.Glob(filepath.Join(path, "*-*"))
	if err != nil || len(names) == 0 {
		t.Fatalf("files of %s: %d, %v", path, len(names), err)
	}
	files := make(map[string][]byte)
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(name)] = content
	}
	return files
}

// Guards against an unintended change of the file format: the same changes must be written as the same bytes as by earlier versions.
func TestGoldenDirectoryIsWritten(t *testing.T) {
	path := t.TempDir()
	writeGolden(t, path)
	files := goldenFiles(t, path)
	if *update {
		if err := os.MkdirAll(goldenDirectory, 0o755); err != nil {
			t.Fatal(err)
		}
		for name, text := range files {
			if err := os.WriteFile(filepath.Join(goldenDirectory, name), text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	want := goldenFiles(t, goldenDirectory)
	for name, text := range want {
		if !bytes.Equal(files[name], text) {
			t.Errorf("%s differs from the golden file", name)
		}
	}
	if len(files) != len(want) {
		t.Errorf("%d files, want %d", len(files), len(want))
	}
}

// Guards against losing learned state in an upgrade: a directory that an earlier version wrote must be restored to the same values.
func TestGoldenDirectoryIsRead(t *testing.T) {
	path := t.TempDir()
	for name, text := range goldenFiles(t, goldenDirectory) {
		if err := os.WriteFile(filepath.Join(path, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := openStore(t, path)
	defer s.Close()
	r := Restore(s)
	requests := r.Requests["offices"]
	r.Requests = nil
	want := &LearnedState{
		SavedAt:        time.Hour + 2*time.Second,
		Members:        map[string]driver.MemberSnapshot{"s-2": goldenMembers["s-2"], "s-3": goldenMembers["s-3"]},
		SessionWrites:  3,
		UsualLatencies: []time.Duration{3 * ms, 40 * ms},
		ListVersion:    ListVersion{Revision: 5, Discovery: goldenDiscovery},
		Endpoints:      [][]byte{[]byte(`{"uid":"s-2"}`)},
	}
	if !reflect.DeepEqual(r, want) {
		t.Errorf("read %+v, want %+v", r, want)
	}
	if got, want := string(r.EndpointList()), `{"all":true,"rev":5,"targets":[{"uid":"s-2"}]}`; got != want {
		t.Errorf("endpoint list %s, want %s", got, want)
	}
	wantWrites := map[driver.Session]time.Duration{0xbeef: time.Hour, 5: time.Hour + time.Second}
	if got := sessionWrites(s); !reflect.DeepEqual(got, wantWrites) {
		t.Errorf("session writes %v, want %v", got, wantWrites)
	}
	if got := RestorePromises(s); !reflect.DeepEqual(got, map[string]lease.Promise{"summary": goldenPromise}) {
		t.Errorf("lease promises %v", got)
	}
	registry := idempotency.New(0)
	registry.Retention, registry.MaxBytes, registry.MaxInProgress = time.Hour, 1<<20, 10
	if n := registry.Restore(requests, 2*time.Second); n != 2 {
		t.Fatalf("%d requests were restored, want 2", n)
	}
	verdict, e := registry.Begin(idempotency.Request{Key: "done", Digest: 11, FirstSent: time.Second, Window: 2 * time.Second}, 2*time.Second)
	if verdict != idempotency.Replay || string(e.Response) != "answer of done" {
		t.Errorf("a repeat of a completed request gets %v", verdict)
	}
	if verdict, _ := registry.Begin(idempotency.Request{Key: "unsure", Digest: 11, FirstSent: time.Second, Window: 2 * time.Second}, 4*time.Second); verdict != idempotency.TooLate {
		t.Errorf("a late repeat of a request that may have run gets %v", verdict)
	}
}
