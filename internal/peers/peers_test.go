package peers

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
)

func TestOnlyWhatPeersSayIsHeard(t *testing.T) {
	l, err := loop.New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	var others [3]net.PacketConn // two peers and a stranger
	var places []netip.AddrPort
	for i := range others {
		if others[i], err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer others[i].Close()
		others[i].SetDeadline(time.Now().Add(10 * time.Second))
		places = append(places, netip.MustParseAddrPort(others[i].LocalAddr().String()))
	}
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(free.LocalAddr().String())
	free.Close()
	heard := ""
	p, err := Listen(l, at, places[1], places[:2], func(from driver.Peer, text []byte) {
		if heard += string(rune('0'+from)) + string(text); string(text) == "end" {
			l.Stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	say := func(i int, text string) { others[i].WriteTo([]byte(text), net.UDPAddrFromAddrPort(at)) }
	say(2, "stray")
	say(0, "one")
	say(0, string(make([]byte, Most+1)))
	say(1, "end")
	if err := l.Run(func() {}); err != nil || heard != "0one1end" {
		t.Fatalf("heard %q, %v", heard, err)
	}
	p.Tell(9, []byte("nobody"))
	p.Tell(0, make([]byte, Most+1))
	p.Tell(0, []byte("a"))
	p.Tell(driver.EveryPeer, []byte("b"))
	for i, want := range []string{"a", "b"} {
		text := make([]byte, 999)
		if n, _, err := others[i].ReadFrom(text); err != nil || !bytes.Equal(text[:n], []byte(want)) {
			t.Errorf("peer %d reads %q, %v", i, text[:n], err)
		}
	}
}
