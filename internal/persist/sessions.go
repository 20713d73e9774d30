package persist

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/storage"
)

const (
	sessionWriteSize   = 2 * numberSize   // bytes: the session and the time of its write
	maxPendingSessions = 200_000          // between two commits
	sessionRetention   = 10 * time.Minute // longer than a driver remembers writes
)

// ForEachSessionWrite calls visit for the stored writes of sessions. A session may come several times: its latest write counts.
func ForEachSessionWrite(s *storage.Store, visit func(driver.Session, time.Duration)) {
	s.ForEach(func(name string, value []byte) {
		if strings.HasPrefix(name, sessionBatchPrefix) {
			for ; len(value) >= sessionWriteSize; value = value[sessionWriteSize:] {
				visit(driver.Session(durationAt(value, 0)), durationAt(value, 1))
			}
		} else if session, writtenAt, ok := decodeLegacySession(name, value); ok {
			visit(session, writtenAt)
		}
	})
}

// decodeLegacySession reads a session as versions up to 0.3 stored it.
func decodeLegacySession(name string, value []byte) (session driver.Session, writtenAt time.Duration, ok bool) {
	digits, found := strings.CutPrefix(name, legacySessionPrefix)
	if !found || len(value) != numberSize {
		return 0, 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return driver.Session(n), durationAt(value, 0), err == nil
}

// sessionBatch is the stored value with the sessions' writes of one commit.
type sessionBatch struct {
	savedAt time.Duration
	size    int // bytes
}

// sessionSaver collects the latest writes of sessions and stores them in a batch for each commit. Batches are never rewritten,
// only deleted as a whole: this keeps a commit as small as what is new.
type sessionSaver struct {
	maxSize    int                              // bytes of all batches
	pending    map[driver.Session]time.Duration // not in a commit yet
	committing map[driver.Session]time.Duration // in the commit in progress
	batches    []sessionBatch                   // stored, the oldest first
	dropped    int                              // batches and writes given up for lack of space
}

func (s *sessionSaver) add(session driver.Session, writtenAt time.Duration) {
	if _, known := s.pending[session]; !known && len(s.pending) >= maxPendingSessions {
		s.dropped++
		return
	}
	s.pending[session] = writtenAt
}

// prepare moves the pending writes to a batch and deletes batches that are expired or, the oldest first, exceed maxSize.
func (s *sessionSaver) prepare(now time.Duration) (changes []storage.Change) {
	s.committing = nil
	if len(s.pending) > 0 {
		value := encodeSessionWrites(s.pending)
		changes = s.dropOldest(len(value))
		changes = append(changes, storage.Change{Name: sessionBatchName(now), Value: value})
		s.committing, s.pending = s.pending, make(map[driver.Session]time.Duration)
	}
	for _, b := range s.batches {
		clockWentBack := b.savedAt > now+sessionRetention
		if now-b.savedAt > sessionRetention || clockWentBack {
			changes = append(changes, storage.Change{Name: sessionBatchName(b.savedAt)})
		}
	}
	return changes
}

// dropOldest deletes the oldest batches for which there is no space beside a new one.
func (s *sessionSaver) dropOldest(newSize int) (changes []storage.Change) {
	size := newSize
	for _, b := range slices.Backward(s.batches) {
		size += b.size
		if size > s.maxSize {
			changes = append(changes, storage.Change{Name: sessionBatchName(b.savedAt)})
			s.dropped++
		}
	}
	return changes
}

func encodeSessionWrites(writes map[driver.Session]time.Duration) []byte {
	value := make([]byte, 0, sessionWriteSize*len(writes))
	for _, session := range slices.Sorted(maps.Keys(writes)) {
		value = appendDuration(value, time.Duration(session))
		value = appendDuration(value, writes[session])
	}
	return value
}

// failed makes the writes of the failed commit pending again, unless a session has written since.
func (s *sessionSaver) failed() {
	for session, writtenAt := range s.committing {
		if _, newer := s.pending[session]; !newer {
			s.add(session, writtenAt)
		}
	}
	s.committing = nil
}

// stored takes note of a batch on the disk.
func (s *sessionSaver) stored(savedAt time.Duration, size int) {
	s.batches = append(s.batches, sessionBatch{savedAt, size})
}

// deleted takes note of a batch that is no longer on the disk.
func (s *sessionSaver) deleted(savedAt time.Duration) {
	s.batches = slices.DeleteFunc(s.batches, func(b sessionBatch) bool { return b.savedAt == savedAt })
}
