package peers

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

// Letters come through as they were written; those of other fleets, other versions and spoilt ones are told apart, and nothing else is one.
func TestMessageRoundTrip(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		message := Message{Kind: Kind(rapid.IntRange(1, int(lastKind)).Draw(t, "kind")), From: rapid.Uint64().Draw(t, "from"), Incarnation: rapid.Uint64().Draw(t, "life"),
			Body: rapid.SliceOfN(rapid.Byte(), 0, MaxBodyLength).Draw(t, "body")}
		encoded := message.Encode(7)
		got, err := ParseMessage(encoded, 7)
		if err != nil || got.Kind != message.Kind || got.From != message.From || got.Incarnation != message.Incarnation || !bytes.Equal(got.Body, message.Body) || len(encoded) > MaxDatagramLength {
			t.Fatalf("%+v is read as %+v, %v", message, got, err)
		}
		if _, err := ParseMessage(encoded, 8); !errors.Is(err, ErrChecksum) {
			t.Fatalf("another fleet's: %v", err)
		}
		at := rapid.IntRange(0, len(encoded)-1).Draw(t, "at")
		corrupted := bytes.Clone(encoded)
		corrupted[at] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		if _, err := ParseMessage(corrupted, 7); err == nil {
			t.Fatalf("byte %d may be spoilt", at)
		}
		if _, err := ParseMessage(encoded[:at], 7); err == nil {
			t.Fatal("half a letter is read")
		}
	})
	newer := Message{Kind: Hello}.Encode(7)
	newer[2] = formatVersion + 1
	if _, err := ParseMessage(newer, 7); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("a newer version: %v", err)
	}
	if _, err := ParseMessage([]byte("what the module says"), 7); !errors.Is(err, ErrNoMessage) {
		t.Errorf("no letter: %v", err)
	}
}

func FuzzParseMessage(f *testing.F) {
	f.Add(Message{Kind: Lease, From: 1, Incarnation: 2, Body: []byte("body")}.Encode(7))
	f.Fuzz(func(t *testing.T, in []byte) {
		if l, err := ParseMessage(in, 7); err == nil && !bytes.Equal(l.Encode(7), in) {
			t.Errorf("%x is read as %+v", in, l)
		}
	})
}

// A driver is where it was heard last. One that starts again is another life; two lives that are both there are told.
func TestAddressBook(t *testing.T) {
	b, now := NewAddressBook(), time.Hour
	if _, known := b.Address(1); known {
		t.Error("somebody is known who was never heard")
	}
	if b.Record(4, Message{From: 1, Incarnation: 1}, now) || b.Record(5, Message{From: 1, Incarnation: 1}, now+time.Second) {
		t.Error("a driver that moves is told as two")
	}
	if at, _ := b.Address(1); at != 5 {
		t.Errorf("it is at %d", at)
	}
	if b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Second) {
		t.Error("a start is told as two drivers")
	}
	if !b.Record(6, Message{From: 1, Incarnation: 1}, now+3*time.Second) {
		t.Error("two lives of one name are not told")
	}
	if b.Record(6, Message{From: 1, Incarnation: 1}, now+time.Minute) || b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Minute) {
		t.Error("a life of long ago is told")
	}
	for n := range uint64(2 * maxNames) {
		b.Record(1, Message{From: 100 + n}, now)
	}
	if len(b.entries) > maxNames {
		t.Errorf("%d names are known", len(b.entries))
	}
	if b.Record(1, Message{From: 99}, now+2*expiry); len(b.entries) > maxNames {
		t.Error("nobody is forgotten")
	}
	if _, known := b.Address(99); !known {
		t.Error("a newcomer finds no place though others were not heard for long")
	}
}
