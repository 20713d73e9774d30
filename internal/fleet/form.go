package fleet

import (
	"encoding/binary"
	"slices"

	"passtack/driver"
)

// op is what a message is about.
type op uint8

const (
	opPing    op = iota + 1 // are you there
	opAck                   // yes
	opAskFor                // ask another for me
	opTries                 // it is being asked
	opAnswers               // it has answered
	opPull                  // your view, behind this driver and in those ranges that differ from these
	opGive                  // a part of it
	lastOp    = opGive
)

// message is what drivers tell each other. The sender's own entry is in each.
type message struct {
	op      op
	number  uint32
	target  Node
	view    uint64 // sum of the sender's view
	more    bool   // entries are left
	sender  Entry
	entries []Entry

	about *known  // to be told first: what is said of whom it is sent to
	part  []Entry // of a view, in place of what has changed
	sums  []byte  // of each range of the sender's view, salted with the number; none: from a program that does not know them
}

// A message is, all numbers little-endian: 1 op, 1 more, 4 number, 8 target, 8 sum of the view, 1 entries; the sender's entry, the entries; the sums of the ranges.
// A brief entry has bit 7 of its status set and ends behind who suspects it. An entry: 8 node, 8 life, 4 incarnation, 1 status, 4 who suspects it, 4 count, 1 ready, 2 load, 4 revision, 1 length of the name, the name.
const (
	headSize  = 1 + 1 + 4 + 8 + 8 + 1
	entrySize = 8 + 8 + 4 + 1 + 4 + 4 + 1 + 2 + 4 + 1
)

// Most is how long a message may be.
const Most = 228

const (
	briefSize = 8 + 8 + 4 + 1 + 4
	briefMark = 0x80
)

// appendBrief adds what is new where all else of a driver is known to whoever it is told.
func appendBrief(out []byte, e *Entry) []byte {
	out = binary.LittleEndian.AppendUint64(out, uint64(e.Node))
	out = binary.LittleEndian.AppendUint64(out, e.Life)
	out = binary.LittleEndian.AppendUint32(out, e.Incarnation)
	out = append(out, byte(e.Status)|briefMark)
	return binary.LittleEndian.AppendUint32(out, e.By)
}

func appendEntry(out []byte, e *Entry) []byte {
	out = binary.LittleEndian.AppendUint64(out, uint64(e.Node))
	out = binary.LittleEndian.AppendUint64(out, e.Life)
	out = binary.LittleEndian.AppendUint32(out, e.Incarnation)
	out = append(out, byte(e.Status))
	out = binary.LittleEndian.AppendUint32(out, e.By)
	out = binary.LittleEndian.AppendUint32(out, e.Digest.Count)
	out = append(out, e.Digest.Ready)
	out = binary.LittleEndian.AppendUint16(out, e.Digest.Load)
	out = binary.LittleEndian.AppendUint32(out, e.Digest.Revision)
	return append(append(out, byte(len(e.Name))), e.Name...)
}

func readEntry(in []byte) (e Entry, rest []byte, ok bool) {
	if len(in) >= briefSize && in[20]&briefMark != 0 {
		e = Entry{Node: Node(binary.LittleEndian.Uint64(in)), Life: binary.LittleEndian.Uint64(in[8:]), Incarnation: binary.LittleEndian.Uint32(in[16:]),
			Status: Status(in[20] &^ briefMark), By: binary.LittleEndian.Uint32(in[21:])}
		return e, in[briefSize:], e.Status <= Left
	}
	if len(in) < entrySize || int(in[entrySize-1]) > min(longest, len(in)-entrySize) || Status(in[20]) > Left {
		return e, nil, false
	}
	name := int(in[entrySize-1])
	e = Entry{Node: Node(binary.LittleEndian.Uint64(in)), Life: binary.LittleEndian.Uint64(in[8:]), Incarnation: binary.LittleEndian.Uint32(in[16:]),
		Status: Status(in[20]), By: binary.LittleEndian.Uint32(in[21:]),
		Digest: Digest{binary.LittleEndian.Uint32(in[25:]), in[29], binary.LittleEndian.Uint16(in[30:]), binary.LittleEndian.Uint32(in[32:])},
		Name:   string(in[entrySize : entrySize+name])}
	return e, in[entrySize+name:], true
}

// send writes a message with what has changed of late, the newest first, as far as there is room.
func (v *View) send(to driver.Peer, m message) {
	out := make([]byte, headSize, Most)
	out[0] = byte(m.op)
	binary.LittleEndian.PutUint32(out[2:], m.number)
	binary.LittleEndian.PutUint64(out[6:], uint64(m.target))
	binary.LittleEndian.PutUint64(out[14:], v.Sum())
	out = appendEntry(out, &v.self.Entry)
	count := byte(0)
	room := Most - len(m.sums)
	put := func(e *Entry) bool {
		if len(out)+entrySize+len(e.Name) > room {
			return false
		}
		out = appendEntry(out, e)
		count++
		return true
	}
	if m.op == opGive {
		for i := range m.part {
			if !put(&m.part[i]) {
				out[1] = 1
				break
			}
		}
	} else {
		if m.about != nil && m.about != v.self && m.about.Status != Alive {
			put(&m.about.Entry)
		}
		v.ride(m.about, put, func(e *Entry) bool {
			if len(out)+briefSize > room {
				return false
			}
			out = appendBrief(out, e)
			count++
			return true
		})
	}
	out[22] = count
	out = append(out, m.sums...)
	v.Sent++
	v.Bytes += len(out)
	v.host.Send(to, out)
}

// ride puts changes on a message: who is suspect, denies it or is gone before who is new, of each those that were told least, of them the newest.
// Those that were told often enough are not told again.
func (v *View) ride(about *known, put, brief func(*Entry) bool) {
	most := v.tells()
	slices.SortStableFunc(v.fresh, func(a, b Node) int { return v.told(a) - v.told(b) })
	left := v.fresh[:0]
	full := false
	for _, n := range v.fresh {
		k := v.nodes[n]
		if k == nil || k.told >= most {
			continue
		}
		if k != v.self && k != about && !full {
			if k.brief {
				full = !brief(&k.Entry)
			} else {
				full = !put(&k.Entry)
			}
			if !full {
				k.told++
			}
		} else if k == v.self {
			k.told++
		}
		left = append(left, n)
	}
	v.fresh = left
}

// waits is more often than any change is told.
const waits = 1000

// told is how often a driver's latest change was told; what can wait counts as told more often.
func (v *View) told(n Node) int {
	k := v.nodes[n]
	if k == nil {
		return 0
	}
	if k.brief {
		return k.told
	}
	return k.told + waits
}

func readMessage(in []byte) (m message, ok bool) {
	if len(in) < headSize || len(in) > Most || op(in[0]) == 0 || op(in[0]) > lastOp || in[1] > 1 {
		return m, false
	}
	m = message{op: op(in[0]), more: in[1] == 1, number: binary.LittleEndian.Uint32(in[2:]), target: Node(binary.LittleEndian.Uint64(in[6:])), view: binary.LittleEndian.Uint64(in[14:])}
	count, rest := int(in[22]), in[headSize:]
	if m.sender, rest, ok = readEntry(rest); !ok || m.sender.Name == "" {
		return m, false
	}
	for range count {
		var e Entry
		if e, rest, ok = readEntry(rest); !ok {
			return m, false
		}
		m.entries = append(m.entries, e)
	}
	if m.op == opPull && len(rest) == ranges {
		m.sums, rest = rest, nil
	}
	return m, len(rest) == 0
}
