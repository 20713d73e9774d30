// Package peers sends and receives datagrams between the drivers of a tier. Datagrams may be lost. The package handles the framing of messages
// and the addresses of drivers, but not the contents of message bodies.
package peers

import (
	"net/netip"

	"passtack/driver"
	"passtack/internal/eventloop"
)

// MaxDatagramLength is the maximum length of a datagram, in bytes.
const MaxDatagramLength = 256

// Peers is a UDP socket for datagrams to and from known addresses.
type Peers struct {
	socket        *eventloop.DatagramSocket
	broadcast     netip.AddrPort
	addresses     []netip.AddrPort
	peerByAddress map[netip.AddrPort]driver.Peer
}

// Listen opens the socket. It passes each datagram from a known address to receive; the datagram is valid only during that call.
func Listen(l *eventloop.Loop, listenOn, broadcast netip.AddrPort, addresses []netip.AddrPort,
	receive func(driver.Peer, []byte)) (*Peers, error) {
	p := new(Peers)
	p.SetAddresses(broadcast, addresses)
	var err error
	p.socket, err = l.ListenUDP(listenOn, func(from netip.AddrPort, datagram []byte) {
		if peer, ok := p.peerByAddress[from]; ok && len(datagram) <= MaxDatagramLength {
			receive(peer, datagram)
		}
	})
	return p, err
}

// SetAddresses replaces the broadcast address and the addresses of the other drivers.
func (p *Peers) SetAddresses(broadcast netip.AddrPort, addresses []netip.AddrPort) {
	p.broadcast, p.addresses, p.peerByAddress = broadcast, addresses, make(map[netip.AddrPort]driver.Peer)
	for i, a := range addresses {
		p.peerByAddress[a] = driver.Peer(i)
	}
}

// Send sends a datagram to one driver, or to all of them if the receiver is driver.EveryPeer. It drops datagrams that are too long or whose
// receiver is unknown.
func (p *Peers) Send(to driver.Peer, datagram []byte) {
	if len(datagram) > MaxDatagramLength {
		return
	}
	if to == driver.EveryPeer {
		p.socket.Send(p.broadcast, datagram)
	} else if int(to) < len(p.addresses) {
		p.socket.Send(p.addresses[to], datagram)
	}
}
