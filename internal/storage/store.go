// Package storage stores small named values in a directory, in a snapshot and a write-ahead log. After a crash at any moment the
// directory holds either the complete state before a commit or the complete state after it, never a mixture.
//
// Calls block on disk I/O. An event loop makes them on a worker goroutine.
package storage

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Store holds the values of one directory. Commit, CompactionDue, Compact, Size and Close may be called from several goroutines;
// concurrent calls are serialized.
type Store struct {
	files   FileSystem
	owner   uint64
	maxSize int // of a snapshot, bytes

	mutex        sync.Mutex
	values       map[string][]byte
	sequence     uint64 // highest sequence number that a file name has used
	snapshotSize int    // bytes
	log          File   // nil: the next commit writes a snapshot
	logRecords   int
	logSize      int // bytes
}

// minLogSize is the log size in bytes up to which a compaction is not worthwhile.
const minLogSize = 64 << 10

// maxLogGrowth is the ratio of log size to snapshot size beyond which a commit writes a new snapshot instead of appending to the log.
const maxLogGrowth = 4

// ErrTooLarge is returned for a commit or a snapshot that exceeds its maximum size.
var ErrTooLarge = errors.New("state exceeds its maximum size")

// Owner returns the number of the driver that owns the directory.
func (s *Store) Owner() uint64 { return s.owner }

// ForEach calls visit for all values in the order of their names. visit must not change a value.
func (s *Store) ForEach(visit func(name string, value []byte)) {
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		visit(name, s.values[name])
	}
}

// Commit makes all changes durable, or none of them. The store keeps references to the values: callers must not change them
// afterwards.
//
// If Commit fails, the store keeps its previous values, but the changes may still be recovered if the process ends before the next
// commit. After a failed write or sync it is uncertain which earlier records of the log are durable, so the log is abandoned and
// the next commit writes a snapshot.
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
			return nil, fmt.Errorf("name of a value has %d bytes, expected 1 to %d", len(c.Name), maxNameLength)
		}
		body = c.entry().append(body)
	}
	if len(body) > maxRecordSize {
		return nil, ErrTooLarge
	}
	return body, nil
}

// apply applies changes to the values in memory and returns the changes that undo them.
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

// Size returns the size of the snapshot and the log together, in bytes.
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
