package lease

import (
	"encoding/binary"
	"time"
)

// Op is the operation of a message.
type Op uint8

const (
	Request   Op = iota + 1 // a candidate asks for a lease, or for an extension
	Grant                   // a voter grants it
	Reject                  // a voter rejects it
	Release                 // the holder gives the lease back, or a candidate gives back the grants of a request that failed
	Available               // a voter tells the first candidate in its queue that the lease was given back
	lastOp    = Available
)

// Reason is why a voter rejects a request.
type Reason uint8

const (
	HeldByAnother Reason = iota + 1 // the lease is granted to another holder
	StaleToken                      // the fencing token is not above all that were used
	VoterStarting                   // the voter has just started, and may not know what it granted before
	StaleVoterSet                   // the candidate's set of voters is older than one that the voter has seen
	NotPersisted                    // the voter's storage failed
	lastReason    = NotPersisted
)

// The status for operators shows these texts.
var reasonTexts = [...]string{"", "held", "lower number", "voter has just started", "older set of voters", "promise not on disk"}

// String returns the text that operators read.
func (r Reason) String() string { return reasonTexts[r] }

// Message is what drivers tell each other about a lease.
type Message struct {
	Op              Op
	Reason          Reason // of a Reject
	Lease           string // name, 1 to MaxNameLength bytes
	VoterSetVersion uint32 // newest that the sender knows
	Round           uint64 // of a Request; its answers have the same
	FencingToken    uint64 // in a Reject the highest that the voter has seen
	// TTL is the duration of the lease that is asked for or granted; in a Reject it is the time after which to ask again.
	TTL    time.Duration
	Holder Holder // the candidate; in a Reject the current holder
}

// MaxNameLength is the maximum length of a lease's name, in bytes.
const MaxNameLength = 32

// An encoded message is, with numbers in little-endian order: 1 byte operation, 1 reason, 4 voter set version, 8 round, 8 fencing token,
// 8 TTL in nanoseconds, 8 node and 8 incarnation of the holder, 1 length of the lease's name, the name.
const headerLength = 1 + 1 + 4 + 8 + 8 + 8 + 8 + 8 + 1

// MaxMessageLength is the maximum length of an encoded message, in bytes.
const MaxMessageLength = headerLength + MaxNameLength

// maxMessageTTL is the longest TTL that a message may hold.
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

// ParseMessage decodes a message; ok is false where in is not exactly one valid message.
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
