package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/proptest"
)

// TestMessageRoundTrip checks that decoding an encoded message returns an equal message, and that truncated messages are rejected.
func TestMessageRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := Message{Op: Op(rapid.IntRange(1, int(lastOp)).Draw(t, "op")), Reason: Reason(rapid.IntRange(0, int(lastReason)).Draw(t, "reason")),
			Lease: rapid.StringMatching(`[a-z0-9/]{1,32}`).Draw(t, "lease"), VoterSetVersion: rapid.Uint32().Draw(t, "version"), Round: rapid.Uint64().Draw(t, "round"),
			FencingToken: rapid.Uint64().Draw(t, "fencing token"), TTL: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "TTL")),
			Holder: Holder{Node(rapid.Uint64().Draw(t, "node")), rapid.Uint64().Draw(t, "incarnation")}}
		encoded := AppendMessage(nil, m)
		if got, ok := ParseMessage(encoded); !ok || got != m || len(encoded) > MaxMessageLength {
			t.Fatalf("%+v is decoded as %+v", m, got)
		}
		if _, ok := ParseMessage(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "length")]); ok {
			t.Fatal("a truncated message is decoded")
		}
	})
}

// FuzzParseMessage checks that a datagram that is accepted is the encoding of the decoded message.
func FuzzParseMessage(f *testing.F) {
	f.Add(AppendMessage(nil, Message{Op: Request, Lease: "summary", Round: 1, FencingToken: 2, TTL: time.Second}))
	f.Fuzz(func(t *testing.T, in []byte) {
		if m, ok := ParseMessage(in); ok && fmt.Sprint(AppendMessage(nil, m)) != fmt.Sprint(in) {
			t.Errorf("%x is decoded as %+v", in, m)
		}
	})
}
