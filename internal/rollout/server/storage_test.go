package server

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"passtack/internal/lease"
	"passtack/internal/rollout"
)

// persistAll persists all states and waits until they are in storage.
func persistAll(t *testing.T, f *FileStorage, notified chan bool, states ...PersistedState) {
	t.Helper()
	remaining := len(states)
	for _, state := range states {
		f.Persist(state, func(err error) {
			if remaining--; err != nil {
				t.Error(err)
			}
		})
	}
	for remaining > 0 {
		<-notified
		f.HandleResults()
	}
}

// A persisted state is read back as it was. A directory that is in use, missing or that of another machine is not opened.
func TestFileStorageRoundTrip(t *testing.T) {
	path := t.TempDir()
	notified := make(chan bool, 100)
	open := func() (*FileStorage, PersistedState) {
		f, state, err := OpenFileStorage(path, "c0", func() { notified <- true })
		if err != nil {
			t.Fatal(err)
		}
		return f, state
	}
	f, state := open()
	if state.State.Joined || state.State.Accepted.Version != 0 {
		t.Fatalf("an empty directory is read as %+v", state)
	}
	last := PersistedState{
		Promises: map[string]lease.Promise{"configuration": {FencingToken: 1 << 60, VoterSetVersion: 1}},
		State: rollout.State{
			Joined:   true,
			Floor:    7,
			Promised: rollout.Ballot{Number: 1<<60 + 1, Node: 1<<63 + 5},
			Accepted: rollout.Entry{
				Version: 4,
				Ballot:  rollout.Ballot{Number: 9, Node: 3},
				Text:    strings.Repeat("é", 100),
				Recent:  []rollout.Publication{{ID: 1<<64 - 1, Version: 3}},
			},
			Committed: rollout.Entry{Version: 3, Text: "{}"},
		},
	}
	first := last
	first.State.Accepted.Version, first.State.Floor = 2, 1
	persistAll(t, f, notified, first, last, last)
	f.Close()
	f, state = open()
	if !reflect.DeepEqual(state, last) {
		t.Errorf("persisted %+v, read %+v", last, state)
	}
	if _, _, err := OpenFileStorage(path, "c0", func() {}); err == nil {
		t.Error("a directory is opened twice")
	}
	f.Close()
	if _, _, err := OpenFileStorage(path, "c1", func() {}); err == nil {
		t.Error("the directory of another machine is opened")
	}
	if _, _, err := OpenFileStorage(filepath.Join(path, "none"), "c0", func() {}); err == nil {
		t.Error("a missing directory is opened")
	}
}

// A machine with a corrupt file must join again before it votes, since the file may have held a promise.
func TestCorruptStorageRevokesVote(t *testing.T) {
	path := t.TempDir()
	notified := make(chan bool, 100)
	f, _, err := OpenFileStorage(path, "c0", func() { notified <- true })
	if err != nil {
		t.Fatal(err)
	}
	persistAll(t, f, notified, PersistedState{State: rollout.State{Joined: true}}, PersistedState{State: rollout.State{Joined: true, Floor: 3}})
	persistAll(t, f, notified, PersistedState{State: rollout.State{Joined: true, Floor: 5}})
	f.Close()
	files, err := filepath.Glob(filepath.Join(path, "log-*"))
	if err != nil || len(files) == 0 {
		t.Fatal(err, files)
	}
	text, err := os.ReadFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-3] ^= 1
	if err := os.WriteFile(files[len(files)-1], text, 0o600); err != nil {
		t.Fatal(err)
	}
	f, state, err := OpenFileStorage(path, "c0", func() {})
	if err != nil || state.State.Joined || state.State.Floor >= 5 {
		t.Fatalf("%v, %+v", err, state.State)
	}
	f.Close()
}
