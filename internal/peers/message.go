package peers

import (
	"encoding/binary"
	"errors"

	"github.com/zeebo/xxh3"
)

// Kind is what a message is about.
type Kind uint8

const (
	Hello          Kind = iota + 1 // tells only who and where the sender is; a body of one byte makes it the answer to another Hello
	Lease                          // a lease.Message
	CollectDigests                 // the holder of the summary's lease asks all drivers for a Digest
	Digest                         // a driver's counters for the summary
	Revision                       // the revision of the endpoint list that the holder of discovery's lease has
	Membership                     // of the fleet
	Drain                          // cluster members that drain
	lastKind       = Drain
)

// Message is what drivers of a fleet send each other, in one datagram.
type Message struct {
	Kind        Kind
	From        uint64 // xxh3 of the sender's name
	Incarnation uint64 // of the sender's process, drawn at its start
	Body        []byte // at most MaxBodyLength bytes; its form depends on Kind
}

// A datagram is: 2 bytes f7 70, 1 version, 1 kind, 8 sender, 8 incarnation, 8 checksum that is seeded with the hash of the fleet's name;
// then the body. Numbers are little-endian.
const (
	magicFirst, magicSecond = 0xf7, 'p'

	formatVersion  = 1
	checksumOffset = 2 + 1 + 1 + 8 + 8
	headerLength   = checksumOffset + 8
)

// MaxBodyLength is the maximum length of a message's body, in bytes.
const MaxBodyLength = MaxDatagramLength - headerLength

// Errors of ParseMessage.
var (
	ErrNoMessage      = errors.New("datagram is not a message between drivers")
	ErrUnknownVersion = errors.New("message has an unknown version or kind")
	ErrChecksum       = errors.New("message is of another fleet or corrupted")
)

// Encode returns the datagram for drivers of the fleet; fleet is xxh3 of its name.
func (m Message) Encode(fleet uint64) []byte {
	out := make([]byte, 0, headerLength+len(m.Body))
	out = append(out, magicFirst, magicSecond, formatVersion, byte(m.Kind))
	out = binary.LittleEndian.AppendUint64(out, m.From)
	out = binary.LittleEndian.AppendUint64(out, m.Incarnation)
	out = binary.LittleEndian.AppendUint64(out, 0) // the checksum, below
	out = append(out, m.Body...)
	binary.LittleEndian.PutUint64(out[checksumOffset:], checksum(out, fleet))
	return out
}

// checksum covers the datagram except for the checksum itself.
func checksum(encoded []byte, fleet uint64) uint64 {
	hash := xxh3.NewSeed(fleet)
	hash.Write(encoded[:checksumOffset])
	hash.Write(encoded[headerLength:])
	return hash.Sum64()
}

// ParseMessage decodes a datagram of the fleet. The body shares the datagram's memory. The error is one of ErrNoMessage, ErrUnknownVersion and
// ErrChecksum.
func ParseMessage(encoded []byte, fleet uint64) (m Message, err error) {
	if len(encoded) < 4 || encoded[0] != magicFirst || encoded[1] != magicSecond {
		return m, ErrNoMessage
	}
	version, kind := encoded[2], Kind(encoded[3])
	if version != formatVersion || kind == 0 || kind > lastKind {
		return m, ErrUnknownVersion
	}
	if len(encoded) < headerLength || len(encoded) > MaxDatagramLength {
		return m, ErrChecksum
	}
	if checksum(encoded, fleet) != binary.LittleEndian.Uint64(encoded[checksumOffset:]) {
		return m, ErrChecksum
	}
	m = Message{
		Kind:        kind,
		From:        binary.LittleEndian.Uint64(encoded[4:]),
		Incarnation: binary.LittleEndian.Uint64(encoded[12:]),
		Body:        encoded[headerLength:],
	}
	return m, nil
}
