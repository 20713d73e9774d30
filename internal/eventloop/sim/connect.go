package sim

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial implements eventloop.System. As with a real kernel, the other host answers the connect even while its program is paused.
func (h *Host) Dial(address netip.AddrPort) (int, error) {
	w := h.world
	s := &socket{
		kind:        streamSocket,
		address:     netip.AddrPortFrom(address.Addr(), uint16(w.dialCount)),
		streamState: streamState{connecting: true},
	}
	w.dialCount++
	fd := h.open(s)
	target := w.bound[address]
	if target == nil { // nothing is bound to the address
		w.schedule(w.now+2*LocalLink.Delay, func() { s.failConnect(unix.ECONNREFUSED) })
		return fd, nil
	}
	s.path = path{route: route{h, address}, from: h, to: target.host}
	w.transmit(s.path, 0, func() bool { return !s.closed }, 0, func() { w.deliverConnect(s, target, address) })
	return fd, nil
}

// deliverConnect handles the arrival of a connect at the other host. It drops a connect whose socket has been closed in the
// meantime, because the connection would be reset immediately.
func (w *World) deliverConnect(s, target *socket, address netip.AddrPort) {
	if s.closed {
		return
	}
	listener := w.bound[address]
	reply := path{route: s.path.route, from: target.host, to: s.host, isReply: true}
	if listener == nil || listener.kind != listenerSocket || len(listener.pending) >= maxQueued || w.link(s.path).RefuseConnects {
		w.transmit(reply, 0, alwaysResend, 0, func() { s.failConnect(unix.ECONNREFUSED) })
		return
	}
	accepted := &socket{
		kind:        streamSocket,
		address:     address,
		streamState: streamState{peer: s, receivedAt: w.now, path: reply},
	}
	s.peer = accepted
	accepted.host = listener.host
	listener.pending = append(listener.pending, accepted)
	listener.markActive()
	w.transmit(reply, 0, alwaysResend, 0, func() {
		if !s.closed {
			s.connecting, s.receivedAt = false, w.now
			s.markActive()
		}
	})
}

// failConnect makes a connect fail with the given error.
func (s *socket) failConnect(cause error) {
	if !s.closed {
		s.connecting, s.failure = false, cause
		s.markActive()
	}
}

// Accept implements eventloop.System.
func (h *Host) Accept(fd int) (int, error) {
	s := h.sockets[fd]
	if s == nil || len(s.pending) == 0 {
		return 0, unix.EAGAIN
	}
	accepted := s.pending[0]
	s.pending = s.pending[1:]
	return h.open(accepted), nil
}
