package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// A file is a head and frames. All numbers are little-endian.
//
//	head   8 bytes "passtack", 2 version, 2 kind (1 snapshot, 2 log), 4 zero, 8 sequence, 8 owner, 8 checksum of what is before
//	frame  4 length of the body, 8 checksum of sequence, index, length and body; the body
//	body   1 what (1 put, 2 delete, 3 end), 2 length of the name, the name, the value
//
// Index counts the frames of a file from 0. A snapshot ends with a frame "end" whose value is the number of frames before it; a log just
// ends. Frames of one batch of changes are one frame, one behind the other in its body, so that a batch is there as a whole or not at all.
const (
	magic      = "passtack"
	version    = 1
	headerSize = 40

	kindSnapshot = 1
	kindLog      = 2

	opPut    = 1
	opDelete = 2
	opEnd    = 3

	maxRecordSize = 16 << 20
	maxNameLength = 1 << 10
)

// Change puts a value under a name, or takes the name away where Value is nil.
type Change struct {
	Name  string
	Value []byte
}

var (
	errCorrupt = errors.New("it ends in the middle or its checksum does not fit")
	// ErrNewer tells of files that a newer version of the program has written.
	ErrNewerVersion = errors.New("written by a newer version of the program")
	// ErrOwner tells of a folder that belongs to another driver.
	ErrWrongOwner = errors.New("the folder belongs to another driver")
)

type fileHeader struct {
	version, kind   uint16
	sequence, owner uint64
}

func (h fileHeader) append(out []byte) []byte {
	from := len(out)
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint16(out, h.version)
	out = binary.LittleEndian.AppendUint16(out, h.kind)
	out = binary.LittleEndian.AppendUint32(out, 0)
	out = binary.LittleEndian.AppendUint64(out, h.sequence)
	out = binary.LittleEndian.AppendUint64(out, h.owner)
	return binary.LittleEndian.AppendUint64(out, xxh3.Hash(out[from:]))
}

// readHead gives the head of a file. One of a newer version is told even though the rest of its head may be another.
func parseHeader(in []byte) (h fileHeader, rest []byte, err error) {
	if len(in) < 10 || string(in[:8]) != magic {
		return h, nil, errCorrupt
	}
	if h.version = binary.LittleEndian.Uint16(in[8:]); h.version > version {
		return h, nil, ErrNewerVersion
	}
	if len(in) < headerSize || xxh3.Hash(in[:headerSize-8]) != binary.LittleEndian.Uint64(in[headerSize-8:]) {
		return h, nil, errCorrupt
	}
	h.kind, h.sequence, h.owner = binary.LittleEndian.Uint16(in[10:]), binary.LittleEndian.Uint64(in[16:]), binary.LittleEndian.Uint64(in[24:])
	return h, in[headerSize:], nil
}

func recordChecksum(sequence uint64, index int, body []byte) uint64 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[:], sequence)
	binary.LittleEndian.PutUint64(place[8:], uint64(index))
	binary.LittleEndian.PutUint32(place[16:], uint32(len(body)))
	h := xxh3.New()
	h.Write(place[:])
	h.Write(body)
	return h.Sum64()
}

func appendRecord(out []byte, sequence uint64, index int, body []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	out = binary.LittleEndian.AppendUint64(out, recordChecksum(sequence, index, body))
	return append(out, body...)
}

// nextFrame cuts a frame off; a nil body tells that nothing is left.
func nextRecord(in []byte, sequence uint64, index int) (body, rest []byte, err error) {
	if len(in) == 0 {
		return nil, nil, nil
	}
	if len(in) < 12 {
		return nil, nil, errCorrupt
	}
	size := int(binary.LittleEndian.Uint32(in))
	if size == 0 || size > maxRecordSize || size > len(in)-12 {
		return nil, nil, errCorrupt
	}
	body = in[12 : 12+size]
	if recordChecksum(sequence, index, body) != binary.LittleEndian.Uint64(in[4:]) {
		return nil, nil, errCorrupt
	}
	return body, in[12+size:], nil
}

func appendChange(out []byte, c Change) []byte {
	what := byte(opPut)
	if c.Value == nil {
		what = opDelete
	}
	out = append(out, what)
	out = binary.LittleEndian.AppendUint16(out, uint16(len(c.Name)))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(c.Value)))
	return append(append(out, c.Name...), c.Value...)
}

// eachChange reads the changes of one frame.
func forEachOperation(body []byte, each func(what byte, name string, value []byte)) error {
	for len(body) > 0 {
		if len(body) < 7 {
			return errCorrupt
		}
		what, name, value := body[0], int(binary.LittleEndian.Uint16(body[1:])), int(binary.LittleEndian.Uint32(body[3:]))
		if body = body[7:]; name+value > len(body) || what < opPut || what > opEnd {
			return errCorrupt
		}
		each(what, string(body[:name]), body[name:name+value])
		body = body[name+value:]
	}
	return nil
}

// Names of files: what they are and their sequence.
func snapshotName(sequence uint64) string { return fmt.Sprintf("state-%016x", sequence) }
func logName(sequence uint64) string      { return fmt.Sprintf("log-%016x", sequence) }

const temporarySuffix = ".new" // behind the name of a snapshot that is not whole yet

func parseFileName(name string) (kind uint16, sequence uint64, ok bool) {
	prefix, digits, found := strings.Cut(name, "-")
	sequence, err := strconv.ParseUint(digits, 16, 64)
	kind = map[string]uint16{"state": kindSnapshot, "log": kindLog}[prefix]
	return kind, sequence, found && err == nil && len(digits) == 16 && kind != 0
}
