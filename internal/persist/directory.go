package persist

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/storage"
)

// Owner returns the number that identifies a driver as the owner of its directory.
func Owner(driverName string) uint64 { return xxh3.HashString(driverName) }

// Open locks and recovers the directory of a driver. Snapshots are limited to maxSize bytes.
func Open(path, driverName string, maxSize int) (*storage.Store, storage.RecoveryReport, error) {
	directory, err := storage.OpenDirectory(path)
	if err != nil {
		return nil, storage.RecoveryReport{}, fmt.Errorf("open directory: %w", err)
	}
	s, report, err := storage.Open(directory, Owner(driverName), maxSize)
	if errors.Is(err, storage.ErrWrongOwner) {
		err = fmt.Errorf("%w: opened by driver %q", err, driverName)
	}
	return s, report, err
}

// PruneResult holds the size of a directory's snapshot and log in bytes, before and after pruning.
type PruneResult struct {
	SizeBefore, SizeAfter int
}

// Prune deletes the members and sessions of a directory that have not changed for longer than maxAge, and compacts the directory.
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

// lastChange returns when a value was last changed. It returns now for values that do not expire.
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
