package lease

import (
	"encoding/binary"
	"time"
)

// Op is the operation of a message.
type Op uint8

const (
	Request   Op = iota + 1 // a candidate requests a lease, or its extension
	Grant                   // a voter grants the request
	Reject                  // a voter rejects the request
	Release                 // the holder releases the lease, or a candidate releases the grants of a request that failed
	Available               // a voter tells the first candidate in its queue that the lease was released
	lastOp    = Available
)

// Reason says why a voter rejects a request.
type Reason uint8

const (
	HeldByAnother Reason = iota + 1 // the lease is granted to another holder
	StaleToken                      // the fencing token is not higher than all tokens used before
	VoterStarting                   // the voter has started recently and may not know its earlier grants
	StaleVoterSet                   // the voter has seen a newer set of voters than the candidate's
	NotPersisted                    // the voter could not store its promise
	lastReason    = NotPersisted
)

// These texts are shown in the status for operators.
var reasonTexts = [...]string{"", "held", "lower number", "voter has just started", "older set of voters", "promise not on disk"}

// String returns the text shown to operators.
func (r Reason) String() string { return reasonTexts[r] }

// Message is sent between a candidate and a voter, about one lease.
type Message struct {
	Op              Op
	Reason          Reason // of a Reject, else 0
	Lease           string // name, 1 to MaxNameLength bytes
	VoterSetVersion uint32 // highest version that the sender knows
	Round           uint64 // number of a Request; its answers have the same number
	FencingToken    uint64 // in a Reject, the highest token that the voter has seen
	// TTL is the duration of the lease that is requested or granted; in a Reject, the time after which the candidate is to send its next request.
	TTL    time.Duration
	Holder Holder // the candidate; in a Reject, the current holder
}

// MaxNameLength is the maximum length of a lease's name, in bytes.
const MaxNameLength = 32

// headerLength is the length in bytes of an encoded message without the lease's name. The encoding, with numbers in little-endian order, is:
// 1 byte operation, 1 reason, 4 voter set version, 8 round, 8 fencing token, 8 TTL in nanoseconds, 8 node and 8 incarnation of the holder,
// 1 length of the lease's name, then the name.
const headerLength = 1 + 1 + 4 + 8 + 8 + 8 + 8 + 8 + 1

// MaxMessageLength is the maximum length of an encoded message, in bytes.
const MaxMessageLength = headerLength + MaxNameLength

// maxMessageTTL is the longest TTL that is accepted in a message.
const maxMessageTTL = time.Hour

// AppendMessage appends the encoded message to out.
func AppendMessage(out []byte, m Message) []byte {
	out = append(out, byte(m.Op), byte(m.Reason))
	out = binary.LittleEndian.AppendUint32(out, m.VoterSetVersion)
	for _, number := range []uint64{m.Round, m.FencingToken, uint64(m.TTL), uint64(m.Holder.Node), m.Holder.Incarnation} {
		out = binary.LittleEndian.AppendUint64(out, number)
	}
	out = append(out, byte(len(m.Lease)))
	return append(out, m.Lease...)
}

// ParseMessage decodes a message; ok is false if in is not exactly one valid message.
func ParseMessage(in []byte) (m Message, ok bool) {
	if len(in) < headerLength {
		return m, false
	}
	nameLength := int(in[headerLength-1])
	if nameLength == 0 || nameLength > MaxNameLength || len(in) != headerLength+nameLength {
		return m, false
	}
	number := func(index int) uint64 { return binary.LittleEndian.Uint64(in[6+8*index:]) }
	m = Message{
		Op:              Op(in[0]),
		Reason:          Reason(in[1]),
		VoterSetVersion: binary.LittleEndian.Uint32(in[2:]),
		Round:           number(0),
		FencingToken:    number(1),
		TTL:             time.Duration(number(2)),
		Holder:          Holder{Node: Node(number(3)), Incarnation: number(4)},
		Lease:           string(in[headerLength:]),
	}
	return m, m.Op >= Request && m.Op <= lastOp && m.Reason <= lastReason && m.TTL >= 0 && m.TTL <= maxMessageTTL
}
