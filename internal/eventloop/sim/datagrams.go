package sim

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// datagram is a datagram received by a socket and not yet read.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// ReceiveFrom implements eventloop.System.
func (h *Host) ReceiveFrom(fd int, buffer []byte) (int, netip.AddrPort, error) {
	s := h.sockets[fd]
	if s == nil || len(s.datagrams) == 0 {
		return 0, netip.AddrPort{}, unix.EAGAIN
	}
	d := s.datagrams[0]
	s.datagrams = s.datagrams[1:]
	return copy(buffer, d.payload), d.from, nil
}

// SendTo implements eventloop.System.
func (h *Host) SendTo(fd int, address netip.AddrPort, payload []byte) {
	if h.world.OnDatagram != nil {
		h.world.OnDatagram(h, address, payload)
	}
	if s := h.sockets[fd]; s != nil {
		for _, member := range h.world.multicast[address] {
			if member != s.address {
				h.sendDatagram(fd, member, payload)
			}
		}
	}
	h.sendDatagram(fd, address, payload)
}

// sendDatagram sends a datagram to one address. The datagram is dropped if no datagram socket is bound to the address.
func (h *Host) sendDatagram(fd int, address netip.AddrPort, payload []byte) {
	s, target := h.sockets[fd], h.world.bound[address]
	if s == nil || target == nil {
		return
	}
	d := datagram{s.address, append([]byte(nil), payload...)}
	h.world.transmit(path{route: route{h, address}, from: h, to: target.host}, 0, nil, len(payload), func() {
		if receiver := h.world.bound[address]; receiver != nil && receiver.kind == datagramSocket && len(receiver.datagrams) < maxQueued {
			receiver.datagrams = append(receiver.datagrams, d)
			receiver.markActive()
		}
	})
}

// SetMulticast makes an address a multicast address: datagrams to it are delivered to all members except the sender.
func (w *World) SetMulticast(address netip.AddrPort, members []netip.AddrPort) {
	w.multicast[address] = members
}
