package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Store is a folder with one snapshot and the log of what has changed since. Commit, Compact and Close may come from several
// goroutines; one after the other they wait for the disk.
type Store struct {
	mutex        sync.Mutex
	files        FileSystem
	owner        uint64
	maxSize      int // bytes of a state
	sequence     uint64
	values       map[string][]byte
	log          File
	logRecords   int // of the log
	logSize      int // bytes of the log
	snapshotSize int // bytes of the snapshot
}

// Found is what a folder held.
type RecoveryReport struct {
	SnapshotSequence uint64 // of the snapshot, 0: none
	Values           int
	Unreadable       []string // what could not be read, a line each; an older state stands for it
}

const (
	minLogSize   = 64 << 10 // bytes of a log before it is worth another snapshot
	maxLogGrowth = 4        // times that length, and a commit writes the snapshot itself
)

// Open takes a folder for its owner and reads the newest whole state. Where files are of a newer version or of another owner
// nothing is touched. A state that takes more than most bytes is not kept.
func Open(disk FileSystem, owner uint64, most int) (*Store, RecoveryReport, error) {
	if err := disk.Lock(); err != nil {
		return nil, RecoveryReport{}, err
	}
	s := &Store{files: disk, owner: owner, maxSize: most, values: make(map[string][]byte)}
	found, err := s.recover()
	if err != nil {
		disk.Unlock()
		return nil, found, err
	}
	return s, found, nil
}

// Look reads the newest whole state of a folder without taking it, whoever owns it, and tells who does. A driver that writes
// meanwhile is not disturbed; what it has begun to write is not seen.
func OpenReadOnly(disk FileSystem) (s *Store, owner uint64, found RecoveryReport, err error) {
	names, err := disk.List()
	if err != nil {
		return nil, 0, found, err
	}
	for _, name := range names {
		if _, _, ok := parseFileName(name); ok {
			if text, err := disk.Read(name); err == nil {
				if h, _, err := parseHeader(text); err == nil {
					owner = h.owner
				}
			}
		}
	}
	s = &Store{files: disk, owner: owner, values: make(map[string][]byte)}
	found, err = s.recover()
	return s, owner, found, err
}

// recover reads the newest snapshot that is whole, and its log as far as that is.
func (s *Store) recover() (found RecoveryReport, err error) {
	names, err := s.files.List()
	if err != nil {
		return found, err
	}
	files := make(map[uint16][]uint64)
	for _, name := range names {
		if kind, sequence, ok := parseFileName(name); ok {
			files[kind] = append(files[kind], sequence)
			s.sequence = max(s.sequence, sequence)
		}
	}
	texts := make(map[string][]byte)
	for _, name := range names {
		if _, _, ok := parseFileName(name); !ok {
			continue
		}
		text, err := s.files.Read(name)
		if err != nil {
			return found, fmt.Errorf("%s: %w", name, err)
		}
		switch h, _, err := parseHeader(text); {
		case errors.Is(err, ErrNewerVersion):
			return found, fmt.Errorf("%s: %w: version %d, this one reads up to %d", name, ErrNewerVersion, h.version, version)
		case err == nil && h.owner != s.owner:
			return found, fmt.Errorf("%s: %w", name, ErrWrongOwner)
		}
		texts[name] = text
	}
	slices.Sort(files[kindSnapshot])
	slices.Reverse(files[kindSnapshot])
	base := uint64(0)
	for _, sequence := range files[kindSnapshot] {
		name := snapshotName(sequence)
		values, err := readSnapshot(texts[name], sequence)
		if err == nil {
			s.values, base, s.snapshotSize = values, sequence, len(texts[name])
			break
		}
		found.Unreadable = append(found.Unreadable, fmt.Sprintf("%s: %v", name, err))
	}
	if text, there := texts[logName(base)]; base > 0 && there { // a log goes with its own snapshot only
		if err := s.replay(text, base); err != nil {
			found.Unreadable = append(found.Unreadable, fmt.Sprintf("%s: %v", logName(base), err))
		}
	}
	found.SnapshotSequence, found.Values = base, len(s.values)
	return found, nil
}

func readSnapshot(text []byte, sequence uint64) (map[string][]byte, error) {
	h, rest, err := parseHeader(text)
	if err != nil {
		return nil, err
	}
	if h.kind != kindSnapshot || h.sequence != sequence {
		return nil, errors.New("it is another file under this name")
	}
	values := make(map[string][]byte)
	for index := 0; ; index++ {
		body, next, err := nextRecord(rest, sequence, index)
		if err != nil || body == nil {
			return nil, errCorrupt
		}
		rest = next
		ended := false
		if err := forEachOperation(body, func(what byte, name string, value []byte) {
			if ended = what == opEnd; !ended {
				values[name] = slices.Clone(value)
			}
		}); err != nil {
			return nil, err
		}
		if ended && len(rest) == 0 {
			return values, nil
		} else if ended {
			return nil, errCorrupt
		}
	}
}

// replay applies a log as far as it is whole.
func (s *Store) replay(text []byte, sequence uint64) error {
	h, rest, err := parseHeader(text)
	if err != nil {
		return err
	}
	if h.kind != kindLog || h.sequence != sequence {
		return errors.New("it is another file under this name")
	}
	for index := 0; ; index++ {
		body, next, err := nextRecord(rest, sequence, index)
		if err != nil || body == nil {
			return err
		}
		rest = next
		if err := forEachOperation(body, s.apply); err != nil {
			return err
		}
	}
}

func (s *Store) apply(what byte, name string, value []byte) {
	if what == opDelete {
		delete(s.values, name)
	} else {
		s.values[name] = slices.Clone(value)
	}
}

// Each gives all values, in the order of their names.
func (s *Store) ForEach(call func(name string, value []byte)) {
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		call(name, s.values[name])
	}
}

// ErrTooMuch tells that a state takes more than it may.
var ErrTooLarge = errors.New("the state takes more than it may")

// Commit brings changes to the disk, all of them or none. Where it fails the store goes on without them, though they may be found if
// the machine goes down before the next Commit; and the log is not used again, as an error of a write or a sync tells nothing of what
// came before it either. The next Commit begins with a snapshot. The store keeps the values as they are: nobody may change them.
func (s *Store) Commit(changes []Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	body := []byte(nil)
	for _, c := range changes {
		if len(c.Name) == 0 || len(c.Name) > maxNameLength {
			return fmt.Errorf("%d bytes are no length of a name", len(c.Name))
		}
		body = appendChange(body, c)
	}
	if len(body) > maxRecordSize {
		return ErrTooLarge
	}
	undo := s.change(changes)
	if s.log == nil || s.logSize > maxLogGrowth*max(s.snapshotSize, minLogSize) {
		if err := s.compact(); err != nil {
			s.change(undo)
			return err
		}
		return nil
	}
	frame := appendRecord(nil, s.sequence, s.logRecords, body)
	_, err := s.log.Write(frame)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.abandonLog()
		s.change(undo)
		return err
	}
	s.logRecords++
	s.logSize += len(frame)
	return nil
}

// change applies changes, and gives what takes them back.
func (s *Store) change(changes []Change) (undo []Change) {
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

func (s *Store) abandonLog() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// Worth tells whether the log has grown so long that a snapshot in its place is worth its writing.
func (s *Store) CompactionDue() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log != nil && s.logSize > max(s.snapshotSize, minLogSize)
}

// Compact writes a snapshot in place of the log.
func (s *Store) Compact() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.compact()
}

// snapshot writes the whole state under a new sequence, and takes away what is older.
func (s *Store) compact() error {
	s.abandonLog()
	next := s.sequence + 1
	s.sequence = next // whatever comes of it, the name is not used again
	name := snapshotName(next)
	saved, err := s.writeSnapshot(name+temporarySuffix, next)
	if err != nil {
		return err
	}
	if err := s.files.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	log, err := s.files.Create(logName(next))
	if err != nil {
		return err
	}
	if _, err = log.Write(fileHeader{version, kindLog, next, s.owner}.append(nil)); err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = s.files.Sync()
	}
	if err != nil {
		log.Close()
		return err
	}
	s.log, s.logRecords, s.logSize, s.snapshotSize = log, 0, headerSize, saved
	s.removeObsolete(next)
	return nil
}

// write brings the whole state to a file, a frame after the other, and tells how long it is.
func (s *Store) writeSnapshot(name string, sequence uint64) (size int, err error) {
	f, err := s.files.Create(name)
	if err != nil {
		return 0, err
	}
	index, body := 0, []byte(nil)
	put := func(text []byte) {
		if size += len(text); err == nil && size > s.maxSize {
			err = fmt.Errorf("%w: over %d bytes", ErrTooLarge, s.maxSize)
		} else if err == nil {
			_, err = f.Write(text)
		}
	}
	flush := func() {
		if len(body) > 0 {
			put(appendRecord(nil, sequence, index, body))
			index, body = index+1, body[:0]
		}
	}
	put(fileHeader{version, kindSnapshot, sequence, s.owner}.append(nil))
	s.ForEach(func(name string, value []byte) {
		if body = appendChange(body, Change{name, value}); len(body) > minLogSize {
			flush()
		}
	})
	flush()
	body = appendChange(body, Change{Value: binary.LittleEndian.AppendUint64(nil, uint64(index))})
	body[0] = opEnd
	if flush(); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); errors.Is(err, ErrTooLarge) {
		s.files.Remove(name)
	}
	return size, err
}

// tidy takes away what is older than the snapshot before the newest: should the newest turn out spoilt, that one is there. What
// cannot be taken away now is so by the next.
func (s *Store) removeObsolete(sequence uint64) {
	names, _ := s.files.List()
	for _, name := range names {
		if _, n, ok := parseFileName(strings.TrimSuffix(name, temporarySuffix)); ok && (n+1 < sequence || strings.HasSuffix(name, temporarySuffix)) {
			s.files.Remove(name)
		}
	}
}

// Size tells how many bytes the snapshot and the log take.
func (s *Store) Size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshotSize + s.logSize
}

// Close lets the folder go.
func (s *Store) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.abandonLog()
	s.files.Unlock()
}
