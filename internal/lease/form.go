package lease

import (
	"encoding/binary"
	"time"
)

// A message is, all numbers little-endian: 1 op, 1 why, 4 version, 8 round, 8 number, 8 lasts in nanoseconds, 8 node and 8 life of the holder,
// 1 length of the lease's name, the name.
const fixed = 1 + 1 + 4 + 8 + 8 + 8 + 8 + 8 + 1

// LongestMessage bounds what Append adds.
const LongestMessage = fixed + LongestName

// longestSpan bounds what a message may say to last.
const longestSpan = time.Hour

// Append adds a message.
func Append(out []byte, m Message) []byte {
	out = append(out, byte(m.Op), byte(m.Why))
	out = binary.LittleEndian.AppendUint32(out, m.Version)
	for _, n := range []uint64{m.Round, m.Number, uint64(m.Lasts), uint64(m.Holder.Node), m.Holder.Life} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return append(append(out, byte(len(m.Lease))), m.Lease...)
}

// Read takes a message off; false: it is none.
func Read(in []byte) (m Message, ok bool) {
	if len(in) < fixed || len(in) != fixed+int(in[fixed-1]) || in[fixed-1] == 0 || in[fixed-1] > LongestName {
		return m, false
	}
	number := func(n int) uint64 { return binary.LittleEndian.Uint64(in[6+8*n:]) }
	m = Message{Op: Op(in[0]), Why: Why(in[1]), Version: binary.LittleEndian.Uint32(in[2:]), Round: number(0), Number: number(1),
		Lasts: time.Duration(number(2)), Holder: Holder{Node(number(3)), number(4)}, Lease: string(in[fixed:])}
	return m, m.Op >= Ask && m.Op <= lastOp && m.Why <= lastWhy && m.Lasts >= 0 && m.Lasts <= longestSpan
}
