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
type Folder struct {
	store   *storage.Store
	ring    func()
	jobs    chan []storage.Change
	done    chan error
	written map[string]string // as the folder has it, or will
	waiting []func(error)
	changes map[string][]byte
	out     []func(error)     // of what is being written
	writing map[string][]byte // nil: nothing is
}

const folderMost = 8 << 20 // bytes that a machine's folder may take

// parts are what a folder has under each name.
func parts(k Kept) (map[string][]byte, error) {
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
func OpenFolder(path, machine string, ring func()) (*Folder, Kept, error) {
	var k Kept
	store, found, err := persist.Open(path, "control machine "+machine, folderMost)
	if err != nil {
		return nil, k, err
	}
	f := &Folder{store: store, ring: ring, jobs: make(chan []storage.Change, 1), done: make(chan error, 1), written: make(map[string]string), changes: make(map[string][]byte)}
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
		for changes := range f.jobs {
			err := error(nil)
			if len(changes) > 0 {
				err = store.Commit(changes)
			}
			f.done <- err
			f.ring()
		}
	}()
	return f, k, nil
}

// Keep lets a worker write what has changed.
func (f *Folder) Keep(k Kept, then func(error)) {
	f.waiting = append(f.waiting, then)
	all, err := parts(k)
	if err != nil { // it is all plain values
		panic(err)
	}
	for name, value := range all {
		if f.written[name] != string(value) {
			f.written[name], f.changes[name] = string(value), value
		}
	}
	f.write()
}

func (f *Folder) write() {
	if f.writing != nil || len(f.waiting) == 0 {
		return
	}
	f.out, f.waiting = f.waiting, nil
	f.writing, f.changes = f.changes, make(map[string][]byte)
	var changes []storage.Change
	for name, value := range f.writing {
		changes = append(changes, storage.Change{Name: name, Value: value})
	}
	f.jobs <- changes
}

// Hear tells whoever waits what became of it.
func (f *Folder) Hear() {
	for {
		select {
		case err := <-f.done:
			done, was := f.out, f.writing
			if f.out, f.writing = nil, nil; err != nil { // it goes with the next, but for what is newer by now
				maps.Copy(was, f.changes)
				f.changes = was
			}
			for _, then := range done {
				then(err)
			}
			f.write()
		default:
			return
		}
	}
}

// Close waits for what is being written, and lets the folder go.
func (f *Folder) Close() {
	if f.writing != nil {
		<-f.done
	}
	close(f.jobs)
	f.store.Close()
}
