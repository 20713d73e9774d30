package lease

import (
	"encoding/binary"
	"time"
)

// A message is, all numbers little-endian: 1 op, 1 why, 4 version, 8 round, 8 number, 8 lasts in nanoseconds, 8 node and 8 life of the holder,
// 1 length of the lease's name, the name.
const headerLength = 1 + 1 + 4 + 8 + 8 + 8 + 8 + 8 + 1

// LongestMessage bounds what Append adds.
const MaxMessageLength = headerLength + MaxNameLength

// longestSpan bounds what a message may say to last.
const maxTTL = time.Hour

// Append adds a message.
func AppendMessage(out []byte, m Message) []byte {
	out = append(out, byte(m.Op), byte(m.Reason))
	out = binary.LittleEndian.AppendUint32(out, m.VoterSetVersion)
	for _, number := range []uint64{m.Round, m.FencingToken, uint64(m.TTL), uint64(m.Holder.Node), m.Holder.Incarnation} {
		out = binary.LittleEndian.AppendUint64(out, number)
	}
	return append(append(out, byte(len(m.Lease))), m.Lease...)
}

// Read takes a message off; false: it is none.
func ParseMessage(in []byte) (m Message, ok bool) {
	if len(in) < headerLength || len(in) != headerLength+int(in[headerLength-1]) || in[headerLength-1] == 0 || in[headerLength-1] > MaxNameLength {
		return m, false
	}
	number := func(index int) uint64 { return binary.LittleEndian.Uint64(in[6+8*index:]) }
	m = Message{Op: Op(in[0]), Reason: Reason(in[1]), VoterSetVersion: binary.LittleEndian.Uint32(in[2:]), Round: number(0), FencingToken: number(1),
		TTL: time.Duration(number(2)), Holder: Holder{Node(number(3)), number(4)}, Lease: string(in[headerLength:])}
	return m, m.Op >= Request && m.Op <= lastOp && m.Reason <= lastReason && m.TTL >= 0 && m.TTL <= maxTTL
}
