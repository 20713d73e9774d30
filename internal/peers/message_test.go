package peers

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"passtack/internal/proptest"
)

// TestMessageRoundTrip checks that decoding an encoded message returns an equal message, and that messages of other fleets and versions and corrupted
// and truncated messages are rejected.
func TestMessageRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		message := Message{Kind: Kind(rapid.IntRange(1, int(lastKind)).Draw(t, "kind")), From: rapid.Uint64().Draw(t, "from"), Incarnation: rapid.Uint64().Draw(t, "life"),
			Body: rapid.SliceOfN(rapid.Byte(), 0, MaxBodyLength).Draw(t, "body")}
		encoded := message.Encode(7)
		got, err := ParseMessage(encoded, 7)
		if err != nil || got.Kind != message.Kind || got.From != message.From || got.Incarnation != message.Incarnation || !bytes.Equal(got.Body, message.Body) ||
			len(encoded) > MaxDatagramLength {
			t.Fatalf("%+v is decoded as %+v, %v", message, got, err)
		}
		if _, err := ParseMessage(encoded, 8); !errors.Is(err, ErrChecksum) {
			t.Fatalf("message of another fleet: error %v, want ErrChecksum", err)
		}
		index := rapid.IntRange(0, len(encoded)-1).Draw(t, "at")
		corrupted := bytes.Clone(encoded)
		corrupted[index] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		if _, err := ParseMessage(corrupted, 7); err == nil {
			t.Fatalf("a message with a corrupted byte %d is decoded", index)
		}
		if _, err := ParseMessage(encoded[:index], 7); err == nil {
			t.Fatal("a truncated message is decoded")
		}
	})
	newer := Message{Kind: Hello}.Encode(7)
	newer[2] = formatVersion + 1
	if _, err := ParseMessage(newer, 7); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("message of a newer version: error %v, want ErrUnknownVersion", err)
	}
	if _, err := ParseMessage([]byte("what the module says"), 7); !errors.Is(err, ErrNoMessage) {
		t.Errorf("datagram that is not a message: error %v, want ErrNoMessage", err)
	}
}

// FuzzParseMessage checks that a datagram that is accepted is the encoding of the decoded message.
func FuzzParseMessage(f *testing.F) {
	f.Add(Message{Kind: Lease, From: 1, Incarnation: 2, Body: []byte("body")}.Encode(7))
	f.Fuzz(func(t *testing.T, in []byte) {
		if m, err := ParseMessage(in, 7); err == nil && !bytes.Equal(m.Encode(7), in) {
			t.Errorf("%x is decoded as %+v", in, m)
		}
	})
}
