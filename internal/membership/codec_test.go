package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/proptest"
)

// TestMalformedMessagesAreRejected checks that decoding arbitrary bytes neither panics nor returns more entries than a datagram can hold, that a
// valid message is decoded, and that each truncation of it is rejected.
func TestMalformedMessagesAreRejected(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.Byte(), 0, MaxDatagramSize+10).Draw(t, "datagram")
		if m, ok := decodeMessage(in); ok && len(m.entries) > 10 {
			t.Fatalf("decoded message has more entries than a datagram can hold: %+v", m)
		}
	})
	sim := newSimulation(8, 3)
	sim.startAll(0)
	sim.advance(3 * time.Second)
	var datagram []byte
	list := sim.hosts[0].list
	list.host = &capturingHost{simHost: sim.hosts[0], datagram: &datagram}
	list.sendSyncResponse(1, message{})
	m, ok := decodeMessage(datagram)
	if !ok || len(m.entries) != 2 || m.sender.Name != "d0" || len(datagram) > MaxDatagramSize {
		t.Fatalf("sync response is too long or not from sender d0 with 2 entries: decoded as %+v, %v", m, ok)
	}
	for size := range datagram {
		if _, ok := decodeMessage(datagram[:size]); ok {
			t.Fatalf("a message truncated to %d of %d bytes is decoded", size, len(datagram))
		}
	}
}

// FuzzReceive checks that Receive does not panic on any datagram, and that no datagram changes the name in the driver's own entry.
func FuzzReceive(f *testing.F) {
	sim := newSimulation(8, 3)
	sim.startAll(0)
	sim.advance(3 * time.Second)
	list := sim.hosts[0].list
	list.host = anyNameHost{sim.hosts[0]}
	f.Add([]byte{1, 0, 0, 0})
	f.Add([]byte("\x01\x00000000000A200000000\x10\x0000\x00\x10\x00\x0000000000000000\x00000+00000000000\x1100000000066660000"))
	f.Fuzz(func(t *testing.T, in []byte) {
		list.Receive(1, in, sim.now)
		if list.self.Name != "d0" {
			t.Fatalf("the driver's own entry is named %q, want d0", list.self.Name)
		}
	})
}

// anyNameHost accepts status changes of drivers that the simulation does not have.
type anyNameHost struct{ *simHost }

func (anyNameHost) StatusChanged(Entry, string) {}
