// Package peers is the side of the driver that speaks with other drivers, by datagrams that may be lost.
package peers

import (
	"net/netip"

	"passtack/driver"
	"passtack/internal/loop"
)

// Most is the longest text that may be sent.
const MaxDatagramLength = 256

// Peers are the drivers of the same tier.
type Peers struct {
	socket  *loop.Datagrams
	broadcast     netip.AddrPort
	addresses    []netip.AddrPort
	numbers map[netip.AddrPort]driver.Peer
}

// Listen hands on what known peers say.
func Listen(l *loop.Loop, listenOn, broadcast netip.AddrPort, addresses []netip.AddrPort,
	receive func(driver.Peer, []byte)) (*Peers, error) {
	p := new(Peers)
	p.SetAddresses(broadcast, addresses)
	var err error
	p.socket, err = l.Receive(listenOn, func(from netip.AddrPort, datagram []byte) {
		if number, ok := p.numbers[from]; ok && len(datagram) <= MaxDatagramLength {
			receive(number, datagram)
		}
	})
	return p, err
}

// Place tells where the others are from now on.
func (p *Peers) SetAddresses(broadcast netip.AddrPort, addresses []netip.AddrPort) {
	p.broadcast, p.addresses, p.numbers = broadcast, addresses, make(map[netip.AddrPort]driver.Peer)
	for i, a := range addresses {
		p.numbers[a] = driver.Peer(i)
	}
}

// Tell sends to one peer or to all; what is too long or to nobody is not sent.
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
