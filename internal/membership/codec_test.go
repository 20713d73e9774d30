package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

// Malformed messages change nothing, whatever they hold; valid ones are decoded.
func TestMalformedMessagesAreRejected(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.Byte(), 0, MaxDatagramSize+10).Draw(t, "datagram")
		if m, ok := decodeMessage(in); ok && len(m.entries) > 10 {
			t.Fatalf("%+v", m)
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
		t.Fatalf("%+v, %v", m, ok)
	}
	for size := range datagram {
		if _, ok := decodeMessage(datagram[:size]); ok {
			t.Fatalf("%d bytes of %d are decoded", size, len(datagram))
		}
	}
}

// Whatever a datagram holds, Receive neither panics nor lets the driver's own entry change its name.
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
			t.Fatalf("the driver is named %q", list.self.Name)
		}
	})
}

// anyNameHost bears names of drivers that the simulation does not have.
type anyNameHost struct{ *simHost }

func (anyNameHost) StatusChanged(Entry, string) {}
