package server

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/lease"
	"passtack/internal/rollout"
)

var update = flag.Bool("update", false, "rewrite golden files")

// compareGolden compares bytes with a file of testdata.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n got  %s\n want %s", path, got, want)
	}
}

var (
	goldenEntry = rollout.Entry{Version: 4, Ballot: rollout.Ballot{Number: 9, Node: 1<<63 + 5}, Text: "{\"settings\":{\"x\":\"<é\\n>\"}}",
		Recent: []rollout.Publication{{ID: 1<<64 - 1, Version: 3}, {ID: 7, Version: 4}}}
	goldenCommitted = rollout.Entry{Version: 3, Ballot: rollout.Ballot{Number: 8, Node: 2}, Text: "{}"}
	goldenState     = PersistedState{Promises: map[string]lease.Promise{"configuration": {FencingToken: 1 << 60, VoterSetVersion: 1}},
		State: rollout.State{Joined: true, Floor: 7, Promised: rollout.Ballot{Number: 1<<60 + 1, Node: 3}, Accepted: goldenEntry, Committed: goldenCommitted}}
)

// A stored folder of an earlier build must be read completely, and the same state must be written with the same bytes.
func TestGoldenStorage(t *testing.T) {
	source, path, notified := filepath.Join("testdata", "machine"), t.TempDir(), make(chan bool, 1)
	if *update {
		f, _, err := OpenFileStorage(path, "c0", func() { notified <- true })
		if err != nil {
			t.Fatal(err)
		}
		persistAll(t, f, notified, goldenState)
		f.Close()
		if err := os.CopyFS(source, os.DirFS(path)); err != nil {
			t.Fatal(err)
		}
		path = t.TempDir()
	}
	if err := os.CopyFS(path, os.DirFS(source)); err != nil {
		t.Fatal(err)
	}
	f, found, err := OpenFileStorage(path, "c0", func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !reflect.DeepEqual(found, goldenState) {
		t.Errorf("read %+v, want %+v", found, goldenState)
	}
	written, err := encodeRecords(goldenState)
	if err != nil || len(written) != len(f.written) {
		t.Fatal(err, len(written), len(f.written))
	}
	for name, value := range written {
		if f.written[name] != string(value) {
			t.Errorf("record %s is written as %q, the folder has %q", name, value, f.written[name])
		}
	}
}

// Machines of different builds exchange these messages during an upgrade, so their encoding must not change.
func TestGoldenMessages(t *testing.T) {
	var messages []envelope
	for _, op := range []rollout.Op{rollout.OpPrepare, rollout.OpPromise, rollout.OpAccept, rollout.OpAccepted, rollout.OpCommit, rollout.OpCommitAck, rollout.OpReject, rollout.OpLearn, rollout.OpLearned, rollout.OpStaleIncarnation} {
		messages = append(messages, envelope{Rollout: &rollout.Message{Op: op}}, envelope{Rollout: &rollout.Message{Op: op, Ballot: goldenEntry.Ballot, Version: 4, Floor: 7, Joined: true, Entry: &goldenEntry, Committed: &goldenCommitted}})
	}
	messages = append(messages, envelope{Lease: []byte{1, 2, 255}})
	var lines bytes.Buffer
	for i, e := range messages {
		e.Fleet, e.From, e.Incarnation = "bureau", "c0", uint64(1767225600000+i)
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s\n", text)
		var decoded envelope
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, e) {
			t.Errorf("%s is read as %+v: %v", text, decoded, err)
		}
	}
	compareGolden(t, "messages.jsonl", lines.Bytes())
}

// Drivers, publishers and scripts depend on the encoding of these values, which must not change.
func TestGoldenValues(t *testing.T) {
	var lines bytes.Buffer
	for _, value := range []any{
		WatchRequest{}, WatchRequest{Fleet: "bureau", Driver: "d0", Version: 4, RejectedVersion: 5, RejectReason: "no", NeedsRestart: []string{"tick_us"}, MaxWaitMS: 800},
		PublishResult{}, PublishResult{Version: 4, Outcome: rollout.Published, Writer: "c0", Error: "no"},
		Status{}, Status{Machine: "c0", Writer: "c1", Votes: true, Fresh: true, Version: 4, Floor: 7, Counters: map[string]int{"calls": 1},
			Drivers: []DriverStatus{{}, {Name: "d0", Version: 4, VersionAgeMS: 1, LastSeenMS: 2, RejectedVersion: 5, RejectReason: "no", NeedsRestart: []string{"tick_us"}}}},
	} {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s\n", text)
		decoded := reflect.New(reflect.TypeOf(value))
		if err := json.Unmarshal(text, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), value) {
			t.Errorf("%s is read as %+v: %v", text, decoded.Elem(), err)
		}
	}
	compareGolden(t, "values.jsonl", lines.Bytes())
}

// Drivers and publishers depend on the exact requests and answers, which must not change.
func TestGoldenExchanges(t *testing.T) {
	f := newFleet(t)
	var exchanges bytes.Buffer
	exchange := func(machine int, text string) {
		c := f.send(machine, text)
		f.run(700 * time.Millisecond)
		fmt.Fprintf(&exchanges, "---- request\n%s\n---- answer\n%s\n", text, c.received)
	}
	w := f.writer()
	exchange(w, request("GET", "/configuration", "", ""))
	exchange(w, watch("d0", 0, 300))
	exchange((w+1)%3, publish(7, 0, validText))
	exchange(w, publish(7, 0, " "+validText+"\n"))
	exchange(w, publish(7, 0, validText))
	exchange(w, publish(8, 0, validText))
	exchange(w, publish(9, 1, "{"))
	exchange(w, watch("d0", 0, 300))
	exchange(w, watch("d0", 1, 300))
	exchange(w, watch("d0", 1<<62, 300))
	exchange(w, request("GET", "/configuration", "", ""))
	exchange(w, request("GET", "/secrets", "", ""))
	exchange(w, request("POST", "/machine", "", `{"fleet":"test","from":"c9","life":1}`))
	peer := fmt.Sprint("c", (w+1)%3)
	exchange(w, request("POST", "/machine", "", `{"fleet":"test","from":"`+peer+`","life":1,"rollout":{"Op":"learn","Ballot":{"Number":0,"Node":0}}}`))
	for _, o := range []int{(w + 1) % 3, (w + 2) % 3} {
		f.world.SetLink(f.hosts[w], f.hosts[o], sim.Link{Cut: true, ResendDelay: 100 * time.Millisecond})
	}
	f.run(2 * time.Second)
	exchange(w, watch("d0", 1, 300))
	compareGolden(t, "exchanges.txt", exchanges.Bytes())
}

// The bytes of a request between machines, with its header, must stay as they are.
func TestGoldenMachineRequest(t *testing.T) {
	world := sim.New(3, epoch)
	var loops []*eventloop.Loop
	for n := range 2 {
		h := world.AddHost(fmt.Sprint("c", n))
		l, err := eventloop.NewWithSystem(h, 1000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		loops = append(loops, l)
	}
	received := &testConnection{}
	if _, err := loops[1].Listen(addressOf(1), 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) { received.stream = open(received) }, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	config := MachineConfig{Fleet: "test", Name: "c0", Listen: addressOf(0), Peers: []Peer{{"c1", addressOf(1)}}}
	if _, err := New(loops[0], config, &memoryStorage{world: world}, PersistedState{State: rollout.State{Floor: 5}}, 1); err != nil {
		t.Fatal(err)
	}
	world.Run(world.Now() + 100*time.Millisecond)
	if !strings.HasPrefix(string(received.received), "POST /machine") {
		t.Errorf("received %q", received.received)
	}
	compareGolden(t, "machine_request.txt", received.received)
}
