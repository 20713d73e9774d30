package storage

import (
	"errors"
	"fmt"
	"slices"
)

// RecoveryReport describes what was recovered from a directory.
type RecoveryReport struct {
	SnapshotSequence uint64 // 0: there was no readable snapshot
	Values           int
	Unreadable       []string // one line for each damaged file; an older state was recovered instead
}

// Open locks a directory for its owner and recovers the newest complete state. If a file was written by a newer version or belongs
// to another owner, Open changes no file and returns ErrNewerVersion or ErrWrongOwner. Snapshots are limited to maxSize bytes.
func Open(files FileSystem, owner uint64, maxSize int) (*Store, RecoveryReport, error) {
	if err := files.Lock(); err != nil {
		return nil, RecoveryReport{}, err
	}
	s := &Store{files: files, owner: owner, maxSize: maxSize, values: make(map[string][]byte)}
	report, err := s.recover()
	if err != nil {
		files.Unlock()
		return nil, report, err
	}
	return s, report, nil
}

// OpenReadOnly recovers the newest complete state of a directory without locking it, regardless of its owner. It does not affect a
// process that is writing to the directory. Commit and Compact must not be called on the returned store.
func OpenReadOnly(files FileSystem) (*Store, RecoveryReport, error) {
	owner, err := findOwner(files)
	if err != nil {
		return nil, RecoveryReport{}, err
	}
	s := &Store{files: files, owner: owner, values: make(map[string][]byte)}
	report, err := s.recover()
	return s, report, err
}

// findOwner returns the owner in the header of the last readable file, 0 if no file is readable.
func findOwner(files FileSystem) (owner uint64, err error) {
	names, err := files.List()
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		if _, _, ok := parseFileName(name); !ok {
			continue
		}
		content, err := files.Read(name)
		if err != nil {
			continue
		}
		if header, _, err := parseHeader(content); err == nil {
			owner = header.owner
		}
	}
	return owner, nil
}

// recover loads the newest complete snapshot and replays its log up to the first damaged record.
func (s *Store) recover() (report RecoveryReport, err error) {
	contents, snapshots, err := s.readFiles()
	if err != nil {
		return report, err
	}
	unreadable := func(name string, err error) {
		report.Unreadable = append(report.Unreadable, fmt.Sprintf("%s: %v", name, err))
	}
	for _, sequence := range snapshots {
		name := snapshotName(sequence)
		values, err := readSnapshot(contents[name], sequence)
		if err != nil {
			unreadable(name, err)
			continue
		}
		s.values = values
		s.snapshotSize = len(contents[name])
		report.SnapshotSequence = sequence
		break
	}
	// A log applies only to the snapshot with the same sequence number.
	name := logName(report.SnapshotSequence)
	if log, found := contents[name]; found && report.SnapshotSequence > 0 {
		if err := s.replay(log, report.SnapshotSequence); err != nil {
			unreadable(name, err)
		}
	}
	report.Values = len(s.values)
	return report, nil
}

// readFiles reads all snapshots and logs. It returns their contents by file name, and the sequence numbers of the snapshots, newest
// first.
func (s *Store) readFiles() (contents map[string][]byte, snapshots []uint64, err error) {
	names, err := s.files.List()
	if err != nil {
		return nil, nil, err
	}
	contents = make(map[string][]byte)
	for _, name := range names {
		kind, sequence, ok := parseFileName(name)
		if !ok {
			continue
		}
		s.sequence = max(s.sequence, sequence)
		if kind == kindSnapshot {
			snapshots = append(snapshots, sequence)
		}
		content, err := s.files.Read(name)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		if err := s.checkHeader(content); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		contents[name] = content
	}
	slices.Sort(snapshots)
	slices.Reverse(snapshots)
	return contents, snapshots, nil
}

// checkHeader returns an error for a file that this process must not change. A damaged header is no error: recovery skips the file.
func (s *Store) checkHeader(content []byte) error {
	header, _, err := parseHeader(content)
	if errors.Is(err, ErrNewerVersion) {
		return fmt.Errorf("%w: file has version %d, newest supported is %d", ErrNewerVersion, header.version, formatVersion)
	}
	if err == nil && header.owner != s.owner {
		return ErrWrongOwner
	}
	return nil
}

// readSnapshot returns the values of a snapshot, which must be complete up to its end mark.
func readSnapshot(content []byte, sequence uint64) (map[string][]byte, error) {
	rest, err := recordsOf(content, kindSnapshot, sequence)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte)
	ended := false
	for index := 0; !ended; index++ {
		body, next, err := nextRecord(rest, sequence, index)
		if err != nil || body == nil {
			return nil, errCorrupt
		}
		rest = next
		err = forEachEntry(body, func(e entry) {
			ended = e.operation == opEnd
			if !ended {
				values[e.name] = slices.Clone(e.value)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if len(rest) > 0 {
		return nil, errCorrupt
	}
	return values, nil
}

// replay applies the records of a log up to its end or to the first damaged record, for which it returns an error.
func (s *Store) replay(content []byte, sequence uint64) error {
	rest, err := recordsOf(content, kindLog, sequence)
	if err != nil {
		return err
	}
	for index := 0; ; index++ {
		body, next, err := nextRecord(rest, sequence, index)
		if err != nil || body == nil {
			return err
		}
		rest = next
		if err := forEachEntry(body, s.applyEntry); err != nil {
			return err
		}
	}
}

func (s *Store) applyEntry(e entry) {
	if e.operation == opDelete {
		delete(s.values, e.name)
	} else {
		s.values[e.name] = slices.Clone(e.value)
	}
}

// recordsOf returns the content after the header of a file, which must have this kind and sequence number.
func recordsOf(content []byte, kind fileKind, sequence uint64) ([]byte, error) {
	header, rest, err := parseHeader(content)
	if err != nil {
		return nil, err
	}
	if header.kind != kind || header.sequence != sequence {
		return nil, errWrongName
	}
	return rest, nil
}
