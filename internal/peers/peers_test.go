package peers

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
)

// TestOnlyPeersAreReceived checks that datagrams from unknown senders, to unknown receivers and of excessive length are dropped.
func TestOnlyPeersAreReceived(t *testing.T) {
	l, err := eventloop.New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	var others [3]net.PacketConn // two peers and an unknown sender
	var addresses []netip.AddrPort
	for i := range others {
		if others[i], err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer others[i].Close()
		others[i].SetDeadline(time.Now().Add(10 * time.Second))
		addresses = append(addresses, netip.MustParseAddrPort(others[i].LocalAddr().String()))
	}
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listenAddress := netip.MustParseAddrPort(free.LocalAddr().String())
	free.Close()
	received := ""
	p, err := Listen(l, listenAddress, addresses[1], addresses[:2], func(from driver.Peer, datagram []byte) {
		if received += string(rune('0'+from)) + string(datagram); string(datagram) == "end" {
			l.Stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	send := func(i int, datagram string) {
		others[i].WriteTo([]byte(datagram), net.UDPAddrFromAddrPort(listenAddress))
	}
	send(2, "stray")
	send(0, "one")
	send(0, string(make([]byte, MaxDatagramLength+1)))
	send(1, "end")
	if err := l.Run(func() {}); err != nil || received != "0one1end" {
		t.Fatalf("received %q, want \"0one1end\"; error %v", received, err)
	}
	p.Send(9, []byte("nobody"))
	p.Send(0, make([]byte, MaxDatagramLength+1))
	p.Send(0, []byte("a"))
	p.Send(driver.EveryPeer, []byte("b"))
	for i, want := range []string{"a", "b"} {
		datagram := make([]byte, 999)
		if n, _, err := others[i].ReadFrom(datagram); err != nil || !bytes.Equal(datagram[:n], []byte(want)) {
			t.Errorf("peer %d reads %q, which is not the datagram sent to it; error %v", i, datagram[:n], err)
		}
	}
}
