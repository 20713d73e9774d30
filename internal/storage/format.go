package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// A file consists of a header and records. All numbers are little-endian.
//
//	header  8 bytes "passtack", 2 version, 2 kind (1 snapshot, 2 log), 4 zero, 8 sequence, 8 owner, 8 checksum of the preceding bytes
//	record  4 length of the body, 8 checksum of sequence, index, length and body; then the body
//	body    for each entry: 1 operation (1 put, 2 delete, 3 end), 2 length of the name, 4 length of the value, the name, the value
//
// The index is the number of the record in its file, counted from 0. All changes of a commit are entries of one record, so that
// they are recovered together or not at all. A snapshot ends with an "end" entry whose value is the number of records before it; a
// log has no end mark.
const (
	magic         = "passtack"
	formatVersion = 1

	magicSize        = 8  // bytes
	headerSize       = 40 // bytes
	recordHeaderSize = 12 // bytes
	entryHeaderSize  = 7  // bytes

	maxRecordSize = 16 << 20 // bytes
	maxNameLength = 1 << 10  // bytes
)

// fileKind distinguishes snapshots from logs.
type fileKind uint16

const (
	kindSnapshot fileKind = 1
	kindLog      fileKind = 2
)

// operation is the type of an entry: how it changes the value of its name.
type operation byte

const (
	opPut    operation = 1
	opDelete operation = 2
	opEnd    operation = 3 // marks the end of a snapshot
)

// Change sets the value of a name, or deletes the name if Value is nil.
type Change struct {
	Name  string
	Value []byte
}

var (
	// ErrNewerVersion is returned for files that a newer version of the program has written.
	ErrNewerVersion = errors.New("written by a newer version of the program")
	// ErrWrongOwner is returned for a directory that belongs to another driver.
	ErrWrongOwner = errors.New("directory belongs to another driver")

	errCorrupt   = errors.New("truncated or checksum mismatch")
	errWrongName = errors.New("header does not match the file name")
)

// fileHeader is the header of a snapshot or log.
type fileHeader struct {
	version  uint16
	kind     fileKind
	sequence uint64 // shared by a snapshot and its log
	owner    uint64
}

func (h fileHeader) append(out []byte) []byte {
	start := len(out)
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint16(out, h.version)
	out = binary.LittleEndian.AppendUint16(out, uint16(h.kind))
	out = binary.LittleEndian.AppendUint32(out, 0)
	out = binary.LittleEndian.AppendUint64(out, h.sequence)
	out = binary.LittleEndian.AppendUint64(out, h.owner)
	return binary.LittleEndian.AppendUint64(out, xxh3.Hash(out[start:]))
}

// parseHeader parses the header of a file and returns the content after it. With ErrNewerVersion the version is set too: only the
// magic and the version are at the same offsets in all versions of the format.
func parseHeader(in []byte) (h fileHeader, rest []byte, err error) {
	if len(in) < magicSize+2 || string(in[:magicSize]) != magic {
		return h, nil, errCorrupt
	}
	h.version = binary.LittleEndian.Uint16(in[magicSize:])
	if h.version > formatVersion {
		return h, nil, ErrNewerVersion
	}
	if len(in) < headerSize || xxh3.Hash(in[:headerSize-8]) != binary.LittleEndian.Uint64(in[headerSize-8:]) {
		return h, nil, errCorrupt
	}
	h.kind = fileKind(binary.LittleEndian.Uint16(in[10:]))
	h.sequence = binary.LittleEndian.Uint64(in[16:])
	h.owner = binary.LittleEndian.Uint64(in[24:])
	return h, in[headerSize:], nil
}

// recordChecksum includes the sequence number of the file and the index of the record, so that a record from another file or with
// another index is not accepted.
func recordChecksum(sequence uint64, index int, body []byte) uint64 {
	var location [20]byte
	binary.LittleEndian.PutUint64(location[:], sequence)
	binary.LittleEndian.PutUint64(location[8:], uint64(index))
	binary.LittleEndian.PutUint32(location[16:], uint32(len(body)))
	h := xxh3.New()
	h.Write(location[:])
	h.Write(body)
	return h.Sum64()
}

func appendRecord(out []byte, sequence uint64, index int, body []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	out = binary.LittleEndian.AppendUint64(out, recordChecksum(sequence, index, body))
	return append(out, body...)
}

// nextRecord returns the body of the first record and the input after that record. The body is nil at the end of the input.
func nextRecord(in []byte, sequence uint64, index int) (body, rest []byte, err error) {
	if len(in) == 0 {
		return nil, nil, nil
	}
	if len(in) < recordHeaderSize {
		return nil, nil, errCorrupt
	}
	size := int(binary.LittleEndian.Uint32(in))
	if size == 0 || size > maxRecordSize || size > len(in)-recordHeaderSize {
		return nil, nil, errCorrupt
	}
	body = in[recordHeaderSize : recordHeaderSize+size]
	if recordChecksum(sequence, index, body) != binary.LittleEndian.Uint64(in[4:]) {
		return nil, nil, errCorrupt
	}
	return body, in[recordHeaderSize+size:], nil
}

// entry is one operation in the body of a record.
type entry struct {
	operation operation
	name      string
	value     []byte
}

func (c Change) entry() entry {
	if c.Value == nil {
		return entry{operation: opDelete, name: c.Name}
	}
	return entry{operation: opPut, name: c.Name, value: c.Value}
}

func (e entry) append(out []byte) []byte {
	out = append(out, byte(e.operation))
	out = binary.LittleEndian.AppendUint16(out, uint16(len(e.name)))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(e.value)))
	out = append(out, e.name...)
	return append(out, e.value...)
}

// forEachEntry calls visit for each entry in the body of a record. The value of an entry is only valid during the call of visit.
func forEachEntry(body []byte, visit func(entry)) error {
	for len(body) > 0 {
		if len(body) < entryHeaderSize {
			return errCorrupt
		}
		op := operation(body[0])
		nameLength := int(binary.LittleEndian.Uint16(body[1:]))
		valueLength := int(binary.LittleEndian.Uint32(body[3:]))
		body = body[entryHeaderSize:]
		end := nameLength + valueLength
		if end > len(body) || op < opPut || op > opEnd {
			return errCorrupt
		}
		visit(entry{operation: op, name: string(body[:nameLength]), value: body[nameLength:end]})
		body = body[end:]
	}
	return nil
}

const (
	snapshotPrefix  = "state"
	logPrefix       = "log"
	temporarySuffix = ".new" // of a snapshot until it is complete
	sequenceDigits  = 16     // hexadecimal, in file names
)

func snapshotName(sequence uint64) string {
	return fmt.Sprintf("%s-%0*x", snapshotPrefix, sequenceDigits, sequence)
}

func logName(sequence uint64) string {
	return fmt.Sprintf("%s-%0*x", logPrefix, sequenceDigits, sequence)
}

// parseFileName returns the kind and the sequence number in the name of a snapshot or log; ok is false for any other name.
func parseFileName(name string) (kind fileKind, sequence uint64, ok bool) {
	prefix, digits, found := strings.Cut(name, "-")
	if !found || len(digits) != sequenceDigits {
		return 0, 0, false
	}
	sequence, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return 0, 0, false
	}
	switch prefix {
	case snapshotPrefix:
		return kindSnapshot, sequence, true
	case logPrefix:
		return kindLog, sequence, true
	}
	return 0, 0, false
}
