// Package peers is the side of the driver that speaks with other drivers, by datagrams that may be lost.
package peers

import (
	"net/netip"

	"passtack/driver"
	"passtack/internal/loop"
)

// Most is the longest text that may be sent.
const Most = 256

// Peers are the drivers of the same tier.
type Peers struct {
	socket  *loop.Datagrams
	all     netip.AddrPort
	each    []netip.AddrPort
	numbers map[netip.AddrPort]driver.Peer
}

// Listen hands on what known peers say.
func Listen(l *loop.Loop, at, all netip.AddrPort, each []netip.AddrPort,
	told func(driver.Peer, []byte)) (*Peers, error) {
	p := new(Peers)
	p.Place(all, each)
	var err error
	p.socket, err = l.Receive(at, func(from netip.AddrPort, text []byte) {
		if number, ok := p.numbers[from]; ok && len(text) <= Most {
			told(number, text)
		}
	})
	return p, err
}

// Place tells where the others are from now on.
func (p *Peers) Place(all netip.AddrPort, each []netip.AddrPort) {
	p.all, p.each, p.numbers = all, each, make(map[netip.AddrPort]driver.Peer)
	for i, a := range each {
		p.numbers[a] = driver.Peer(i)
	}
}

// Tell sends to one peer or to all; what is too long or to nobody is not sent.
func (p *Peers) Tell(to driver.Peer, text []byte) {
	if len(text) > Most {
		return
	}
	if to == driver.EveryPeer {
		p.socket.Send(p.all, text)
	} else if int(to) < len(p.each) {
		p.socket.Send(p.each[to], text)
	}
}
