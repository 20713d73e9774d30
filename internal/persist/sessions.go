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
	sessionWriteSize   = 2 * numberSize   // bytes: the session and the time of its latest write
	maxPendingSessions = 200_000          // sessions between two commits
	sessionRetention   = 10 * time.Minute // longer than a driver keeps the time of a write
)

// ForEachSessionWrite calls visit for each stored write of a session. For a session with several stored writes the latest one counts.
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

// decodeLegacySession decodes a session in the format of versions up to 0.3.
func decodeLegacySession(name string, value []byte) (session driver.Session, writtenAt time.Duration, ok bool) {
	digits, found := strings.CutPrefix(name, legacySessionPrefix)
	if !found || len(value) != numberSize {
		return 0, 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return driver.Session(n), durationAt(value, 0), err == nil
}

// sessionBatch is a stored value that holds the session writes of one commit.
type sessionBatch struct {
	savedAt time.Duration
	size    int // bytes
}

// sessionSaver collects the latest writes of sessions and stores them in one batch per commit. Batches are never rewritten, only
// deleted as a whole, so that a commit contains only new writes.
type sessionSaver struct {
	maxSize    int                              // of all batches, bytes
	pending    map[driver.Session]time.Duration // not in a commit yet
	committing map[driver.Session]time.Duration // in the commit in progress
	batches    []sessionBatch                   // stored batches, the oldest first
	dropped    int                              // batches and writes dropped for lack of space
}

func (s *sessionSaver) add(session driver.Session, writtenAt time.Duration) {
	if _, known := s.pending[session]; !known && len(s.pending) >= maxPendingSessions {
		s.dropped++
		return
	}
	s.pending[session] = writtenAt
}

// prepare moves the pending writes to a batch. It deletes batches that have expired and, starting with the oldest, batches that exceed
// maxSize.
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

// dropOldest deletes the oldest batches that do not fit into maxSize together with a new one of newSize bytes.
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

// commitFailed makes the writes of the failed commit pending again, except those of sessions that have written since.
func (s *sessionSaver) commitFailed() {
	for session, writtenAt := range s.committing {
		if _, newer := s.pending[session]; !newer {
			s.add(session, writtenAt)
		}
	}
	s.committing = nil
}

// batchStored records that a batch is on disk.
func (s *sessionSaver) batchStored(savedAt time.Duration, size int) {
	s.batches = append(s.batches, sessionBatch{savedAt, size})
}

// batchDeleted records that a batch was deleted from the disk.
func (s *sessionSaver) batchDeleted(savedAt time.Duration) {
	s.batches = slices.DeleteFunc(s.batches, func(b sessionBatch) bool { return b.savedAt == savedAt })
}
