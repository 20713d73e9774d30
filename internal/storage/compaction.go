package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// CompactionDue reports whether the log is larger than both its snapshot and minLogSize, so that a compaction is worthwhile.
func (s *Store) CompactionDue() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log != nil && s.logSize > max(s.snapshotSize, minLogSize)
}

// Compact writes a new snapshot and starts an empty log.
func (s *Store) Compact() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.compact()
}

func (s *Store) compact() error {
	s.abandonLog()
	s.sequence++ // the sequence number is not reused, even if writing fails
	name := snapshotName(s.sequence)
	size, err := s.writeSnapshot(name+temporarySuffix, s.sequence)
	if err != nil {
		return err
	}
	if err := s.files.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	log, err := s.createLog(s.sequence)
	if err != nil {
		return err
	}
	s.log = log
	s.logRecords = 0
	s.logSize = headerSize
	s.snapshotSize = size
	s.removeObsolete(s.sequence)
	return nil
}

// createLog creates the log that belongs to a snapshot and makes the directory entries of both files durable.
func (s *Store) createLog(sequence uint64) (File, error) {
	log, err := s.files.Create(logName(sequence))
	if err != nil {
		return nil, err
	}
	header := fileHeader{version: formatVersion, kind: kindLog, sequence: sequence, owner: s.owner}
	_, err = log.Write(header.append(nil))
	if err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = s.files.Sync()
	}
	if err != nil {
		log.Close()
		return nil, err
	}
	return log, nil
}

// writeSnapshot writes all values to a new file and returns its size in bytes. If the size exceeds maxSize, the file is removed.
func (s *Store) writeSnapshot(name string, sequence uint64) (size int, err error) {
	file, err := s.files.Create(name)
	if err != nil {
		return 0, err
	}
	w := &snapshotWriter{file: file, sequence: sequence, maxSize: s.maxSize}
	header := fileHeader{version: formatVersion, kind: kindSnapshot, sequence: sequence, owner: s.owner}
	w.write(header.append(nil))
	s.ForEach(func(name string, value []byte) {
		w.add(entry{operation: opPut, name: name, value: value})
	})
	w.finish()
	if w.err == nil {
		w.err = file.Sync()
	}
	err = errors.Join(w.err, file.Close())
	if errors.Is(err, ErrTooLarge) {
		s.files.Remove(name)
	}
	return w.size, err
}

// snapshotWriter writes entries in records of about minLogSize bytes. After the first error it writes nothing.
type snapshotWriter struct {
	file     File
	sequence uint64
	maxSize  int // bytes
	size     int // bytes, including those not written because of an error
	records  int
	body     []byte // entries of the next record
	err      error
}

func (w *snapshotWriter) add(e entry) {
	w.body = e.append(w.body)
	if len(w.body) > minLogSize {
		w.flush()
	}
}

// finish writes the remaining entries and the end mark.
func (w *snapshotWriter) finish() {
	w.flush()
	records := binary.LittleEndian.AppendUint64(nil, uint64(w.records))
	w.body = entry{operation: opEnd, value: records}.append(w.body)
	w.flush()
}

// flush writes the collected entries as one record.
func (w *snapshotWriter) flush() {
	if len(w.body) == 0 {
		return
	}
	w.write(appendRecord(nil, w.sequence, w.records, w.body))
	w.records++
	w.body = w.body[:0]
}

func (w *snapshotWriter) write(bytes []byte) {
	w.size += len(bytes)
	if w.err != nil {
		return
	}
	if w.size > w.maxSize {
		w.err = fmt.Errorf("%w: snapshot has more than %d bytes", ErrTooLarge, w.maxSize)
		return
	}
	_, w.err = w.file.Write(bytes)
}

// removeObsolete removes unfinished snapshots and all files older than the snapshot before the newest. That snapshot is kept as a
// fallback in case the newest turns out to be corrupt. Files that cannot be removed are removed after a later compaction.
func (s *Store) removeObsolete(newest uint64) {
	names, _ := s.files.List()
	for _, name := range names {
		finalName, unfinished := strings.CutSuffix(name, temporarySuffix)
		_, sequence, ok := parseFileName(finalName)
		if ok && (unfinished || sequence+1 < newest) {
			s.files.Remove(name)
		}
	}
}
