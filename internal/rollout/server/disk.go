package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"

	"passtack/internal/persist"
	"passtack/internal/storage"
)

// Folder is a machine's disk: what changes is committed by a worker, all that waits together.
type FileStorage struct {
	store            *storage.Store
	notify           func()
	batches          chan []storage.Change
	results          chan error
	written          map[string]string // as the folder has it, or will
	pendingCallbacks []func(error)
	pendingChanges   map[string][]byte
	activeCallbacks  []func(error)     // of what is being written
	activeChanges    map[string][]byte // nil: nothing is
}

const maxStorageBytes = 8 << 20 // bytes that a machine's folder may take

// parts are what a folder has under each name.
func encodeRecords(k PersistedState) (map[string][]byte, error) {
	all := make(map[string][]byte)
	for name, value := range map[string]any{"joined": k.State.Joined, "promised": k.State.Promised, "accepted": k.State.Accepted, "committed": k.State.Committed, "floor": k.State.Floor} {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		all[name] = text
	}
	for name, p := range k.Promises {
		c := persist.PromiseChange(name, p)
		all[c.Name] = c.Value
	}
	return all, nil
}

// OpenFolder takes a machine's folder and gives what it has. Ring is called when Hear should be, on the loop.
func OpenFileStorage(path, machine string, notify func()) (*FileStorage, PersistedState, error) {
	var k PersistedState
	store, found, err := persist.Open(path, "control machine "+machine, maxStorageBytes)
	if err != nil {
		return nil, k, err
	}
	f := &FileStorage{store: store, notify: notify, batches: make(chan []storage.Change, 1), results: make(chan error, 1), written: make(map[string]string), pendingChanges: make(map[string][]byte)}
	var wrong error
	store.ForEach(func(name string, value []byte) {
		f.written[name] = string(value)
		var into any
		switch name {
		case "joined":
			into = &k.State.Joined
		case "promised":
			into = &k.State.Promised
		case "accepted":
			into = &k.State.Accepted
		case "committed":
			into = &k.State.Committed
		case "floor":
			into = &k.State.Floor
		default:
			return
		}
		if err := json.Unmarshal(value, into); err != nil {
			wrong = errors.Join(wrong, fmt.Errorf("folder %s: %s: %w", path, name, err))
		}
	})
	if wrong != nil {
		store.Close()
		return nil, k, wrong
	}
	for _, lost := range found.Unreadable { // it may have promised what it does not know any more: it learns from the others, as with an empty folder
		k.State.Joined = false
		slog.Warn("configuration_lost", "machine", machine, "file", lost)
	}
	k.Promises = persist.RestorePromises(store)
	go func() {
		for changes := range f.batches {
			err := error(nil)
			if len(changes) > 0 {
				err = store.Commit(changes)
			}
			f.results <- err
			f.notify()
		}
	}()
	return f, k, nil
}

// Keep lets a worker write what has changed.
func (f *FileStorage) Persist(k PersistedState, then func(error)) {
	f.pendingCallbacks = append(f.pendingCallbacks, then)
	all, err := encodeRecords(k)
	if err != nil { // it is all plain values
		panic(err)
	}
	for name, value := range all {
		if f.written[name] != string(value) {
			f.written[name], f.pendingChanges[name] = string(value), value
		}
	}
	f.startWrite()
}

func (f *FileStorage) startWrite() {
	if f.activeChanges != nil || len(f.pendingCallbacks) == 0 {
		return
	}
	f.activeCallbacks, f.pendingCallbacks = f.pendingCallbacks, nil
	f.activeChanges, f.pendingChanges = f.pendingChanges, make(map[string][]byte)
	var changes []storage.Change
	for name, value := range f.activeChanges {
		changes = append(changes, storage.Change{Name: name, Value: value})
	}
	f.batches <- changes
}

// Hear tells whoever waits what became of it.
func (f *FileStorage) HandleResults() {
	for {
		select {
		case err := <-f.results:
			done, was := f.activeCallbacks, f.activeChanges
			if f.activeCallbacks, f.activeChanges = nil, nil; err != nil { // it goes with the next, but for what is newer by now
				maps.Copy(was, f.pendingChanges)
				f.pendingChanges = was
			}
			for _, then := range done {
				then(err)
			}
			f.startWrite()
		default:
			return
		}
	}
}

// Close waits for what is being written, and lets the folder go.
func (f *FileStorage) Close() {
	if f.activeChanges != nil {
		<-f.results
	}
	close(f.batches)
	f.store.Close()
}
