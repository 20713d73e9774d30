package peers

import (
	"encoding/binary"
	"errors"

	"github.com/zeebo/xxh3"
)

// Kind is the kind of a message.
type Kind uint8

const (
	Hello          Kind = iota + 1 // announces the sender and its address; with a body of one byte it answers another Hello
	Lease                          // body is a lease.Message
	CollectDigests                 // the holder of the summary lease requests a Digest from all drivers
	Digest                         // a driver's counters for the summary
	Revision                       // revision of the endpoint list of the holder of the discovery lease
	Membership                     // message of package membership
	Drain                          // drain notices of package draingossip
	lastKind       = Drain
)

// Message is a message between two drivers of a fleet. It is sent as one datagram.
type Message struct {
	Kind        Kind
	From        uint64 // xxh3 hash of the sender's name
	Incarnation uint64 // of the sender's process, assigned when it starts
	Body        []byte // at most MaxBodyLength bytes; the encoding depends on Kind
}

// A datagram consists of 2 bytes f7 70, 1 byte version, 1 kind, 8 sender, 8 incarnation, 8 checksum seeded with the hash of the fleet's name, and the
// body. Numbers are little-endian.
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

// Encode returns the datagram of the message; fleet is the xxh3 hash of the fleet's name.
func (m Message) Encode(fleet uint64) []byte {
	out := make([]byte, 0, headerLength+len(m.Body))
	out = append(out, magicFirst, magicSecond, formatVersion, byte(m.Kind))
	out = binary.LittleEndian.AppendUint64(out, m.From)
	out = binary.LittleEndian.AppendUint64(out, m.Incarnation)
	out = binary.LittleEndian.AppendUint64(out, 0) // the checksum, which is set below
	out = append(out, m.Body...)
	binary.LittleEndian.PutUint64(out[checksumOffset:], checksum(out, fleet))
	return out
}

// checksum returns the checksum over the datagram except for the checksum itself.
func checksum(encoded []byte, fleet uint64) uint64 {
	hash := xxh3.NewSeed(fleet)
	hash.Write(encoded[:checksumOffset])
	hash.Write(encoded[headerLength:])
	return hash.Sum64()
}

// ParseMessage decodes a datagram; fleet is the xxh3 hash of the fleet's name. The body shares the datagram's memory. The error is one of
// ErrNoMessage, ErrUnknownVersion and ErrChecksum.
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
