// Package storage persists small values by name in a directory, as a snapshot and a write-ahead log. A crash at any moment leaves
// either the complete older or the complete newer state, never a mixture.
//
// Calls block on the disk. An event loop lets a worker goroutine make them.
package storage

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Store holds the values of one directory. Commit, CompactionDue, Compact, Size and Close may be called from several goroutines;
// they are executed one after the other.
type Store struct {
	files   FileSystem
	owner   uint64
	maxSize int // bytes of a snapshot

	mutex        sync.Mutex
	values       map[string][]byte
	sequence     uint64 // highest that any file name has used
	snapshotSize int    // bytes
	log          File   // nil: the next commit writes a snapshot
	logRecords   int
	logSize      int // bytes
}

// minLogSize is the size in bytes below which a log is not worth a compaction.
const minLogSize = 64 << 10

// maxLogGrowth is how many times as long as its snapshot a log may become before a commit compacts by itself.
const maxLogGrowth = 4

// ErrTooLarge reports a commit or a state that exceeds its maximum size.
var ErrTooLarge = errors.New("state exceeds its maximum size")

// Owner returns the owner of the directory.
func (s *Store) Owner() uint64 { return s.owner }

// ForEach calls visit for all values, sorted by name. Visit must not change a value.
func (s *Store) ForEach(visit func(name string, value []byte)) {
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		visit(name, s.values[name])
	}
}

// Commit makes changes durable, all or none. The store keeps references to the values: callers must not change them afterwards.
//
// After an error the store continues without the changes, although they may be recovered if the process ends before the next
// commit. The log is not used again, since a failed write or sync leaves in doubt what came before it too: the next commit
// begins with a snapshot.
func (s *Store) Commit(changes []Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	body, err := recordBody(changes)
	if err != nil {
		return err
	}
	undo := s.apply(changes)
	if s.log == nil || s.logSize > maxLogGrowth*max(s.snapshotSize, minLogSize) {
		err = s.compact()
	} else {
		err = s.appendToLog(body)
	}
	if err != nil {
		s.apply(undo)
	}
	return err
}

func recordBody(changes []Change) (body []byte, err error) {
	for _, c := range changes {
		if len(c.Name) == 0 || len(c.Name) > maxNameLength {
			return nil, fmt.Errorf("name of %d bytes, must be 1 to %d", len(c.Name), maxNameLength)
		}
		body = c.entry().append(body)
	}
	if len(body) > maxRecordSize {
		return nil, ErrTooLarge
	}
	return body, nil
}

// apply changes the values in memory and returns the changes that revert it.
func (s *Store) apply(changes []Change) (undo []Change) {
	for _, c := range changes {
		undo = append(undo, Change{c.Name, s.values[c.Name]})
		if c.Value == nil {
			delete(s.values, c.Name)
		} else {
			s.values[c.Name] = c.Value
		}
	}
	slices.Reverse(undo)
	return undo
}

func (s *Store) appendToLog(body []byte) error {
	record := appendRecord(nil, s.sequence, s.logRecords, body)
	_, err := s.log.Write(record)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.abandonLog()
		return err
	}
	s.logRecords++
	s.logSize += len(record)
	return nil
}

func (s *Store) abandonLog() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// Size returns the bytes of the snapshot and the log together.
func (s *Store) Size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshotSize + s.logSize
}

// Close unlocks the directory. The store must not be used afterwards.
func (s *Store) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.abandonLog()
	s.files.Unlock()
}
