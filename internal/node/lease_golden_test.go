package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"passtack/internal/discovery"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/lease"
	"passtack/internal/peers"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// checkGolden compares an encoded value with a file of testdata, and returns the file's bytes.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s is encoded as %q, want %q", name, encoded, golden)
	}
	return golden
}

// TestGoldenTaskDatagrams checks the bytes of the datagrams that the tasks of lease holders send.
func TestGoldenTaskDatagrams(t *testing.T) {
	const fleet, revision = 0x1122334455667788, 987_654_321
	own := digest{RPCs: 1000, OK: 900, Rejected: 50, InFlight: 7, Revision: revision, ReadyPercent: 95}
	encoded := peers.Message{Kind: peers.Digest, From: 5, Incarnation: 6, Body: own.encode()}.Encode(fleet)
	message, err := peers.ParseMessage(checkGolden(t, "digest.datagram", encoded), fleet)
	if err != nil || message.Kind != peers.Digest {
		t.Fatalf("a digest is decoded as %+v, %v", message, err)
	}
	s := &summaryTask{holding: true, digests: make(map[lease.Node]digest)}
	if s.receive(5, message); !maps.Equal(s.digests, map[lease.Node]digest{5: own}) {
		t.Errorf("the digest is %+v, want %+v", s.digests, own)
	}
	encoded = peers.Message{Kind: peers.Revision, From: 5, Incarnation: 6, Body: encodeRevision(revision)}.Encode(fleet)
	message, err = peers.ParseMessage(checkGolden(t, "revision.datagram", encoded), fleet)
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := decodeRevision(message); !ok || got != revision {
		t.Errorf("a revision is decoded as %d, %v", got, ok)
	}
}

// TestGoldenLeaseJSON checks the JSON of the status for operators and of the summary that the holder uploads.
func TestGoldenLeaseJSON(t *testing.T) {
	l, err := eventloop.NewWithSystem(sim.New(1, epoch).AddHost("n0"), 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{loop: l, discovery: new(discovery.Client)}
	service := &leaseService{node: n}
	s := &summaryTask{leases: service, upload: &summaryUpload{node: n, accepted: 5, rejected: 1, failed: 2}}
	status := LeasesStatus{Name: "n0", Version: 2, Voters: []string{"n0", "n1", "n2"}, Former: []string{"n0", "n1", "n3"}, SilentForMS: 10,
		Leases: []LeaseStatus{
			{Lease: "summary", Holder: "n0", FencingToken: 77, HeldForMS: 20, RemainingMS: 30,
				RejectionReasons: map[string]string{"n1": lease.StaleToken.String()}, LastHeardMS: map[string]int64{"n2": 40}, Task: s.status()},
			{Lease: "watch-discovery", Task: (&discoveryWatcher{leases: service}).status()},
		},
		Grants: []GrantStatus{{Lease: "summary", Holder: "n0", FencingToken: 77, RemainingMS: 30, Waiting: 4}}}
	sum := FleetSummary{FencingToken: 77, Holder: "n0", HeldAt: 3 * time.Second, Drivers: 3, ReadyDrivers: 2, RPCs: 1000, OK: 900, Rejected: 50, InFlight: 7,
		OldestRevision: 8, NewestRevision: 9}
	for name, want := range map[string]any{"leases-status.json": status, "summary.json": sum} {
		encoded, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(want))
		if err := json.Unmarshal(checkGolden(t, name, encoded), got.Interface()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if again, err := json.Marshal(got.Interface()); err != nil || !bytes.Equal(again, encoded) {
			t.Errorf("%s is decoded as %+v", name, got.Elem())
		}
	}
	s.upload.latest = l.Now()
	if got, err := json.Marshal(s.status()); err != nil || string(got) != `{"failed":2,"latest_ms":0,"put":5,"refused":1}` {
		t.Errorf("the status of a summary is %s, %v", got, err)
	}
}

// TestGoldenPromises checks that promises that a voter of an earlier release stored are restored unchanged.
func TestGoldenPromises(t *testing.T) {
	const name = "n0"
	want := map[string]lease.Promise{"summary": {FencingToken: 1_700_000_000_456, VoterSetVersion: 2}, "watch-discovery": {FencingToken: 1_700_000_000_123, VoterSetVersion: 1}}
	golden := filepath.Join("testdata", "lease-promises")
	if *update {
		if err := errors.Join(os.RemoveAll(golden), os.Mkdir(golden, 0o755)); err != nil {
			t.Fatal(err)
		}
		store, _, err := persist.Open(golden, name, maxPromiseStorage)
		if err != nil {
			t.Fatal(err)
		}
		for lease, promise := range want {
			if err := store.Commit([]storage.Change{persist.PromiseChange(lease, promise)}); err != nil {
				t.Fatal(err)
			}
		}
		store.Close()
	}
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(golden)); err != nil {
		t.Fatal(err)
	}
	store, found, err := persist.Open(folder, name, maxPromiseStorage)
	if err != nil || len(found.Unreadable) > 0 {
		t.Fatalf("the golden folder is opened with error %v, unreadable files %v", err, found.Unreadable)
	}
	defer store.Close()
	if got := persist.RestorePromises(store); !maps.Equal(got, want) {
		t.Errorf("promises are %v, want %v", got, want)
	}
}
