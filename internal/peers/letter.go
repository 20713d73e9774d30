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
	Collect                  // the holder of a lease asks all for a digest
	Digest                   // one
	Revision                 // the holder tells which list it has
	Fleet                    // the view of the fleet
	Drain                    // members that drain
	lastKind = Drain
)

// Letter is what drivers of one fleet tell each other, in one datagram.
type Letter struct {
	Kind Kind
	From uint64 // the sender's name, as a number
	Life uint64 // drawn anew at each start
	Body []byte
}

// A letter is: 2 bytes f7 70, 1 version, 1 kind, 8 sender, 8 life, 8 checksum by the fleet's name; the body. Numbers are little-endian.
const (
	first, second = 0xf7, 'p'
	form          = 1
	head          = 2 + 1 + 1 + 8 + 8 + 8
)

// MostBody is how long the body of a letter may be.
const MostBody = Most - head

// Why a text is no letter of the fleet.
var (
	ErrOther    = errors.New("no letter")
	ErrVersion  = errors.New("a letter of another version")
	ErrStranger = errors.New("a letter of another fleet, or spoilt")
)

// Write gives the text of a letter for drivers of the fleet.
func (l Letter) Write(fleet uint64) []byte {
	out := make([]byte, 0, head+len(l.Body))
	out = append(out, first, second, form, byte(l.Kind))
	out = binary.LittleEndian.AppendUint64(out, l.From)
	out = binary.LittleEndian.AppendUint64(out, l.Life)
	out = binary.LittleEndian.AppendUint64(out, 0)
	out = append(out, l.Body...)
	binary.LittleEndian.PutUint64(out[20:], sum(out, fleet))
	return out
}

// sum is taken with its own place left out.
func sum(text []byte, fleet uint64) uint64 {
	h := xxh3.NewSeed(fleet)
	h.Write(text[:20])
	h.Write(text[head:])
	return h.Sum64()
}

// ReadLetter takes a letter of the fleet; its body is part of the text.
func ReadLetter(text []byte, fleet uint64) (l Letter, err error) {
	if len(text) < 4 || text[0] != first || text[1] != second {
		return l, ErrOther
	}
	if text[2] != form || text[3] == 0 || Kind(text[3]) > lastKind {
		return l, ErrVersion
	}
	if len(text) < head || len(text) > Most || sum(text, fleet) != binary.LittleEndian.Uint64(text[20:]) {
		return l, ErrStranger
	}
	return Letter{Kind: Kind(text[3]), From: binary.LittleEndian.Uint64(text[4:]), Life: binary.LittleEndian.Uint64(text[12:]), Body: text[head:]}, nil
}
