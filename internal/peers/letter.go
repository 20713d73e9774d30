package peers

import (
	"encoding/binary"
	"errors"

	"github.com/zeebo/xxh3"
)

// Kind is what a letter is about.
type Kind uint8

const (
	Hello    Kind = iota + 1 // only who and where
	Lease                    // leases
	CollectDigests                  // the holder of a lease asks all for a digest
	Digest                   // one
	Revision                 // the holder tells which list it has
	Membership                    // the view of the fleet
	Drain                    // members that drain
	lastKind = Drain
)

// Letter is what drivers of one fleet tell each other, in one datagram.
type Message struct {
	Kind Kind
	From uint64 // the sender's name, as a number
	Incarnation uint64 // drawn anew at each start
	Body []byte
}

// A letter is: 2 bytes f7 70, 1 version, 1 kind, 8 sender, 8 life, 8 checksum by the fleet's name; the body. Numbers are little-endian.
const (
	magicFirst, magicSecond = 0xf7, 'p'
	formatVersion          = 1
	headerLength          = 2 + 1 + 1 + 8 + 8 + 8
)

// MostBody is how long the body of a letter may be.
const MaxBodyLength = MaxDatagramLength - headerLength

// Why a text is no letter of the fleet.
var (
	ErrNoMessage    = errors.New("no letter")
	ErrUnknownVersion  = errors.New("a letter of another version")
	ErrChecksum = errors.New("a letter of another fleet, or spoilt")
)

// Write gives the text of a letter for drivers of the fleet.
func (m Message) Encode(fleet uint64) []byte {
	out := make([]byte, 0, headerLength+len(m.Body))
	out = append(out, magicFirst, magicSecond, formatVersion, byte(m.Kind))
	out = binary.LittleEndian.AppendUint64(out, m.From)
	out = binary.LittleEndian.AppendUint64(out, m.Incarnation)
	out = binary.LittleEndian.AppendUint64(out, 0)
	out = append(out, m.Body...)
	binary.LittleEndian.PutUint64(out[20:], checksum(out, fleet))
	return out
}

// sum is taken with its own place left out.
func checksum(encoded []byte, fleet uint64) uint64 {
	hash := xxh3.NewSeed(fleet)
	hash.Write(encoded[:20])
	hash.Write(encoded[headerLength:])
	return hash.Sum64()
}

// ReadLetter takes a letter of the fleet; its body is part of the text.
func ParseMessage(encoded []byte, fleet uint64) (m Message, err error) {
	if len(encoded) < 4 || encoded[0] != magicFirst || encoded[1] != magicSecond {
		return m, ErrNoMessage
	}
	if encoded[2] != formatVersion || encoded[3] == 0 || Kind(encoded[3]) > lastKind {
		return m, ErrUnknownVersion
	}
	if len(encoded) < headerLength || len(encoded) > MaxDatagramLength || checksum(encoded, fleet) != binary.LittleEndian.Uint64(encoded[20:]) {
		return m, ErrChecksum
	}
	return Message{Kind: Kind(encoded[3]), From: binary.LittleEndian.Uint64(encoded[4:]), Incarnation: binary.LittleEndian.Uint64(encoded[12:]), Body: encoded[headerLength:]}, nil
}
