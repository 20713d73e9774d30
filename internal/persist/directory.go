package persist

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/storage"
)

// Owner returns the number under which a driver owns its directory.
func Owner(driverName string) uint64 { return xxh3.HashString(driverName) }

// Open locks and recovers the directory of a driver. Snapshots are limited to maxSize bytes.
func Open(path, driverName string, maxSize int) (*storage.Store, storage.RecoveryReport, error) {
	directory, err := storage.OpenDirectory(path)
	if err != nil {
		return nil, storage.RecoveryReport{}, fmt.Errorf("open directory: %w", err)
	}
	s, report, err := storage.Open(directory, Owner(driverName), maxSize)
	if errors.Is(err, storage.ErrWrongOwner) {
		err = fmt.Errorf("%w, this one is %q", err, driverName)
	}
	return s, report, err
}

// PruneResult is the size of a directory's files in bytes, before and after it was pruned.
type PruneResult struct {
	SizeBefore, SizeAfter int
}

// Prune deletes members and sessions that have not changed for longer than maxAge, and compacts the directory.
func Prune(path string, owner uint64, maxAge, now time.Duration, maxSize int) (PruneResult, error) {
	directory, err := storage.OpenDirectory(path)
	if err != nil {
		return PruneResult{}, err
	}
	s, _, err := storage.Open(directory, owner, maxSize)
	if err != nil {
		return PruneResult{}, err
	}
	defer s.Close()
	result := PruneResult{SizeBefore: s.Size()}
	var deletions []storage.Change
	s.ForEach(func(name string, value []byte) {
		if now-lastChange(name, value, now) > maxAge {
			deletions = append(deletions, storage.Change{Name: name})
		}
	})
	err = s.Commit(deletions)
	if err == nil {
		err = s.Compact()
	}
	result.SizeAfter = s.Size()
	return result, err
}

// lastChange returns when a value was last changed, now for values that do not age.
func lastChange(name string, value []byte, now time.Duration) time.Duration {
	if strings.HasPrefix(name, memberPrefix) {
		if k, ok := decodeMember(value); ok {
			return max(k.Position, k.Replica, k.Timed)
		}
	}
	if savedAt, ok := parseSessionBatchName(name); ok {
		return savedAt
	}
	if strings.HasPrefix(name, legacySessionPrefix) && len(value) == numberSize {
		return durationAt(value, 0)
	}
	return now
}
