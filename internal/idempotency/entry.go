package idempotency

import (
	"encoding/binary"
	"slices"
	"time"

	"passtack/internal/linkedlist"
)

// Entry is one request with an idempotency key.
type Entry struct {
	Deadline time.Duration // no attempt may start at or after it
	Response []byte        // to a completed request; nil if it was too long to keep
	Waiters  []uint32      // handles of the requests that wait for the same response
	Runner   uint32        // handle of the request that runs

	request      Request
	state        state
	mayHaveRun   bool
	allRunsKnown bool          // no other driver or earlier process has run it
	startedAt    time.Duration // when it was last allowed to run
	firstRunAt   time.Duration // when the first run that may have taken effect was allowed; set if mayHaveRun is
	finishedAt   time.Duration
	link         linkedlist.Element[*Entry] // in Registry.finished
}

// state is the state of an entry. The numeric values are stored.
type state uint8

const (
	inProgress state = iota
	completed
	unresolved // finished without a response to replay
)

// RemoveWaiter removes a request that no longer waits for the response.
func (e *Entry) RemoveWaiter(waiter uint32) {
	if i := slices.Index(e.Waiters, waiter); i >= 0 {
		e.Waiters = slices.Delete(e.Waiters, i, i+1)
	}
}

// surelyNotRun reports whether a finished request has not run anywhere.
func (e *Entry) surelyNotRun() bool {
	return e.state == unresolved && e.allRunsKnown && !e.mayHaveRun
}

// size returns the memory that the entry takes, in bytes.
func (e *Entry) size() int { return entryOverhead + len(e.request.Key) + len(e.Response) }

// A stored entry is a header, the key and the response. All numbers are little-endian.
//
//	header  1 byte encodingVersion, 1 state, 1 mayHaveRun, 1 noResponse, 4 zero,
//	        8 digest, 8 firstSent, 8 window, 8 finishedAt, 4 length of the key
const (
	encodingVersion = 1
	flagsSize       = 8                   // bytes of the header before the 8-byte numbers
	entryHeaderSize = flagsSize + 4*8 + 4 // bytes
)

func (e *Entry) encode() []byte {
	q := &e.request
	out := make([]byte, flagsSize, entryHeaderSize+len(q.Key)+len(e.Response))
	out[0] = encodingVersion
	out[1] = byte(e.state)
	if e.mayHaveRun {
		out[2] = 1
	}
	if e.state == completed && e.Response == nil {
		out[3] = 1
	}
	for _, n := range []uint64{q.Digest, uint64(q.FirstSent), uint64(q.Window), uint64(e.finishedAt)} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	out = binary.LittleEndian.AppendUint32(out, uint32(len(q.Key)))
	out = append(out, q.Key...)
	return append(out, e.Response...)
}

// decodeEntry decodes a stored entry. It returns nil if the entry is truncated or has another version or an unknown state.
func decodeEntry(in []byte) *Entry {
	if len(in) < entryHeaderSize || in[0] != encodingVersion {
		return nil
	}
	entryState := state(in[1])
	if entryState != completed && entryState != unresolved {
		return nil
	}
	noResponse := in[3] != 0
	number := func(i int) uint64 { return binary.LittleEndian.Uint64(in[flagsSize+8*i:]) }
	keyLength := int(binary.LittleEndian.Uint32(in[entryHeaderSize-4:]))
	rest := in[entryHeaderSize:]
	if keyLength > len(rest) {
		return nil
	}
	e := &Entry{
		request: Request{
			Key:       string(rest[:keyLength]),
			Digest:    number(0),
			FirstSent: time.Duration(number(1)),
			Window:    time.Duration(number(2)),
		},
		state:      entryState,
		mayHaveRun: true,
		firstRunAt: time.Duration(number(3)), // at the latest
		finishedAt: time.Duration(number(3)),
	}
	if entryState == completed && !noResponse {
		e.Response = rest[keyLength:]
	}
	return e
}
