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

// maxStorageBytes is the maximum size of a machine's directory.
const maxStorageBytes = 8 << 20

// FileStorage is a Storage in a directory. A goroutine commits the changes; those that arrive during a commit are written together by the next
// one. The methods must be called on the loop.
type FileStorage struct {
	store   *storage.Store
	notify  func() // wakes the loop; called by the goroutine
	batches chan []storage.Change
	results chan error

	written          map[string]string // records by name, including those not committed yet
	pendingChanges   map[string][]byte // not passed to the goroutine yet
	pendingCallbacks []func(error)
	activeChanges    map[string][]byte // being committed; nil: no commit is running
	activeCallbacks  []func(error)
}

// stateFields returns pointers to the fields of a replica's state by record name. Records hold the values as JSON.
func stateFields(p *PersistedState) map[string]any {
	return map[string]any{
		"joined":    &p.State.Joined,
		"promised":  &p.State.Promised,
		"accepted":  &p.State.Accepted,
		"committed": &p.State.Committed,
		"floor":     &p.State.Floor,
	}
}

// encodeRecords returns all records of a state by name.
func encodeRecords(p PersistedState) (map[string][]byte, error) {
	records := make(map[string][]byte)
	for name, field := range stateFields(&p) {
		text, err := json.Marshal(field)
		if err != nil {
			return nil, fmt.Errorf("encode record %s: %w", name, err)
		}
		records[name] = text
	}
	for name, promise := range p.Promises {
		change := persist.PromiseChange(name, promise)
		records[change.Name] = change.Value
	}
	return records, nil
}

// OpenFileStorage opens a machine's directory and reads its state. Another goroutine calls notify each time HandleResults must be called on the
// loop. If the directory has a corrupt file, the machine must join again, since it may have lost a promise.
func OpenFileStorage(path, machine string, notify func()) (*FileStorage, PersistedState, error) {
	store, found, err := persist.Open(path, "control machine "+machine, maxStorageBytes)
	if err != nil {
		return nil, PersistedState{}, err
	}
	f := &FileStorage{
		store:          store,
		notify:         notify,
		batches:        make(chan []storage.Change, 1),
		results:        make(chan error, 1),
		written:        make(map[string]string),
		pendingChanges: make(map[string][]byte),
	}
	persisted, err := f.read()
	if err != nil {
		store.Close()
		return nil, PersistedState{}, fmt.Errorf("folder %s: %w", path, err)
	}
	for _, lost := range found.Unreadable {
		persisted.State.Joined = false
		slog.Warn("control machine found a corrupt file", "machine", machine, "file", lost)
	}
	go f.commitBatches()
	return f, persisted, nil
}

// read decodes all records of the store.
func (f *FileStorage) read() (PersistedState, error) {
	var persisted PersistedState
	var failed error
	fields := stateFields(&persisted)
	f.store.ForEach(func(name string, value []byte) {
		f.written[name] = string(value)
		target, known := fields[name]
		if !known {
			return
		}
		if err := json.Unmarshal(value, target); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", name, err))
		}
	})
	persisted.Promises = persist.RestorePromises(f.store)
	return persisted, failed
}

// commitBatches commits the batches. It runs on its own goroutine until Close.
func (f *FileStorage) commitBatches() {
	for changes := range f.batches {
		var err error
		if len(changes) > 0 {
			err = f.store.Commit(changes)
		}
		f.results <- err
		f.notify()
	}
}

// Persist implements Storage.
func (f *FileStorage) Persist(p PersistedState, done func(error)) {
	f.pendingCallbacks = append(f.pendingCallbacks, done)
	records, err := encodeRecords(p)
	if err != nil { // cannot happen: all values are of types that JSON can encode
		panic(err)
	}
	for name, value := range records {
		if f.written[name] != string(value) {
			f.written[name], f.pendingChanges[name] = string(value), value
		}
	}
	f.startWrite()
}

// startWrite passes all pending changes to the goroutine, unless a commit is running.
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

// HandleResults calls the done functions of finished writes. Changes that could not be written are written again with the next ones.
func (f *FileStorage) HandleResults() {
	for {
		select {
		case err := <-f.results:
			f.handleResult(err)
		default:
			return
		}
	}
}

func (f *FileStorage) handleResult(err error) {
	callbacks, changes := f.activeCallbacks, f.activeChanges
	f.activeCallbacks, f.activeChanges = nil, nil
	if err != nil {
		maps.Copy(changes, f.pendingChanges) // newer values replace older ones
		f.pendingChanges = changes
	}
	for _, callback := range callbacks {
		callback(err)
	}
	f.startWrite()
}

// Close waits for the current write and closes the directory.
func (f *FileStorage) Close() {
	if f.activeChanges != nil {
		<-f.results
	}
	close(f.batches)
	f.store.Close()
}
