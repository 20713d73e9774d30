package membership

import "encoding/binary"

// messageKind is the kind of a message.
type messageKind uint8

const (
	kindPing                messageKind = iota + 1
	kindAck                             // answers a ping
	kindPingRequest                     // asks the receiver to ping the target
	kindPingRequestAccepted             // answers a ping request: the target is being pinged
	kindIndirectAck                     // answers a ping request: the target has answered
	kindSyncRequest                     // requests the entries with IDs above the target, of the ranges whose checksums differ
	kindSyncResponse                    // the first of these entries that fit in a message
	lastKind                = kindSyncResponse
)

// header is the start of each message.
type header struct {
	kind     messageKind
	more     bool   // of a sync response: more entries follow
	sequence uint32 // of the probe or sync request; 0 if no answer is expected
	target   NodeID
	checksum uint64 // of the sender's list
}

// message is a decoded datagram between two drivers.
type message struct {
	header
	sender         Entry
	entries        []Entry
	rangeChecksums []byte // of a sync request, salted with its sequence number; absent in requests from older builds
}

// MaxDatagramSize is the maximum size of a message, in bytes.
const MaxDatagramSize = 228

// maxNameLength is the maximum length of a driver's name in a message, in bytes.
const maxNameLength = 24

// Offsets and sizes within a message, in bytes. Numbers are little-endian. The header is followed by the sender's entry, the other entries and, in
// a sync request, the range checksums.
const (
	kindOffset       = 0
	moreOffset       = kindOffset + 1
	sequenceOffset   = moreOffset + 1
	targetOffset     = sequenceOffset + 4
	checksumOffset   = targetOffset + 8
	entryCountOffset = checksumOffset + 8
	headerSize       = entryCountOffset + 1
)

// Offsets and sizes within an entry, in bytes. A compact entry, which stands for a change of neither name nor summary, has a flag in its status
// byte and ends after the suspector.
const (
	idOffset           = 0
	incarnationOffset  = idOffset + 8
	refutationOffset   = incarnationOffset + 8
	statusOffset       = refutationOffset + 4
	suspectorOffset    = statusOffset + 1
	compactEntrySize   = suspectorOffset + 4
	summarySeqOffset   = compactEntrySize
	readyOffset        = summarySeqOffset + 4
	requestRateOffset  = readyOffset + 1
	listRevisionOffset = requestRateOffset + 2
	nameLengthOffset   = listRevisionOffset + 4
	minEntrySize       = nameLengthOffset + 1

	compactEntryFlag = 0x80
)

// encoder encodes one message with as many entries as fit.
type encoder struct {
	out            []byte
	rangeChecksums []byte
}

func newEncoder(h header, sender *Entry, rangeChecksums []byte) *encoder {
	out := make([]byte, headerSize, MaxDatagramSize)
	out[kindOffset] = byte(h.kind)
	binary.LittleEndian.PutUint32(out[sequenceOffset:], h.sequence)
	binary.LittleEndian.PutUint64(out[targetOffset:], uint64(h.target))
	binary.LittleEndian.PutUint64(out[checksumOffset:], h.checksum)
	e := &encoder{out: appendEntry(out, sender), rangeChecksums: rangeChecksums}
	if h.more {
		e.setMore()
	}
	return e
}

// fits reports whether size more bytes fit in the message.
func (e *encoder) fits(size int) bool {
	return len(e.out)+size+len(e.rangeChecksums) <= MaxDatagramSize
}

// setMore sets the flag that more entries follow, which did not fit in this message.
func (e *encoder) setMore() { e.out[moreOffset] = 1 }

// appendEntry adds a full entry and reports whether it fits.
func (e *encoder) appendEntry(entry *Entry) bool {
	if !e.fits(minEntrySize + len(entry.Name)) {
		return false
	}
	e.out = appendEntry(e.out, entry)
	e.out[entryCountOffset]++
	return true
}

// appendCompactEntry adds a compact entry and reports whether it fits.
func (e *encoder) appendCompactEntry(entry *Entry) bool {
	if !e.fits(compactEntrySize) {
		return false
	}
	e.out = appendCompactEntry(e.out, entry)
	e.out[entryCountOffset]++
	return true
}

// appendChange adds the latest change of a driver and reports whether it fits.
func (e *encoder) appendChange(node *nodeState) bool {
	if node.compact {
		return e.appendCompactEntry(&node.Entry)
	}
	return e.appendEntry(&node.Entry)
}

// finish returns the encoded message.
func (e *encoder) finish() []byte { return append(e.out, e.rangeChecksums...) }

func appendCompactEntry(out []byte, e *Entry) []byte {
	out = binary.LittleEndian.AppendUint64(out, uint64(e.ID))
	out = binary.LittleEndian.AppendUint64(out, e.Incarnation)
	out = binary.LittleEndian.AppendUint32(out, e.Refutation)
	out = append(out, byte(e.Status)|compactEntryFlag)
	return binary.LittleEndian.AppendUint32(out, uint32(e.Suspector))
}

func appendEntry(out []byte, e *Entry) []byte {
	status := len(out) + statusOffset
	out = appendCompactEntry(out, e)
	out[status] &^= compactEntryFlag
	out = binary.LittleEndian.AppendUint32(out, e.Summary.Sequence)
	out = append(out, e.Summary.ReadyPercent)
	out = binary.LittleEndian.AppendUint16(out, e.Summary.RequestRate)
	out = binary.LittleEndian.AppendUint32(out, e.Summary.ListRevision)
	out = append(out, byte(len(e.Name)))
	return append(out, e.Name...)
}

// decodeEntry decodes an entry and returns the bytes that follow it; ok is false if the entry is malformed.
func decodeEntry(in []byte) (e Entry, rest []byte, ok bool) {
	if len(in) < compactEntrySize {
		return e, nil, false
	}
	e = Entry{
		ID:          NodeID(binary.LittleEndian.Uint64(in[idOffset:])),
		Incarnation: binary.LittleEndian.Uint64(in[incarnationOffset:]),
		Refutation:  binary.LittleEndian.Uint32(in[refutationOffset:]),
		Status:      Status(in[statusOffset] &^ compactEntryFlag),
		Suspector:   SuspectorID(binary.LittleEndian.Uint32(in[suspectorOffset:])),
	}
	if e.Status > Left {
		return e, nil, false
	}
	if in[statusOffset]&compactEntryFlag != 0 {
		return e, in[compactEntrySize:], true
	}
	if len(in) < minEntrySize {
		return e, nil, false
	}
	e.Summary = Summary{
		Sequence:     binary.LittleEndian.Uint32(in[summarySeqOffset:]),
		ReadyPercent: in[readyOffset],
		RequestRate:  binary.LittleEndian.Uint16(in[requestRateOffset:]),
		ListRevision: binary.LittleEndian.Uint32(in[listRevisionOffset:]),
	}
	end := minEntrySize + int(in[nameLengthOffset])
	if end > min(minEntrySize+maxNameLength, len(in)) {
		return e, nil, false
	}
	e.Name = string(in[minEntrySize:end])
	return e, in[end:], true
}

// decodeMessage decodes a message; ok is false if it is malformed.
func decodeMessage(in []byte) (m message, ok bool) {
	if len(in) < headerSize || len(in) > MaxDatagramSize {
		return m, false
	}
	m.header = header{
		kind:     messageKind(in[kindOffset]),
		more:     in[moreOffset] == 1,
		sequence: binary.LittleEndian.Uint32(in[sequenceOffset:]),
		target:   NodeID(binary.LittleEndian.Uint64(in[targetOffset:])),
		checksum: binary.LittleEndian.Uint64(in[checksumOffset:]),
	}
	if m.kind == 0 || m.kind > lastKind || in[moreOffset] > 1 {
		return m, false
	}
	rest := in[headerSize:]
	if m.sender, rest, ok = decodeEntry(rest); !ok || m.sender.Name == "" {
		return m, false
	}
	for range in[entryCountOffset] {
		var e Entry
		if e, rest, ok = decodeEntry(rest); !ok {
			return m, false
		}
		m.entries = append(m.entries, e)
	}
	if m.kind == kindSyncRequest && len(rest) == syncRanges {
		m.rangeChecksums, rest = rest, nil
	}
	return m, len(rest) == 0
}
