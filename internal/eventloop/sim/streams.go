package sim

import (
	"time"

	"golang.org/x/sys/unix"
)

// Read implements eventloop.System.
func (h *Host) Read(fd int, buffer []byte) (int, error) {
	s := h.sockets[fd]
	switch {
	case s == nil:
		return 0, unix.EBADF
	case len(s.received) > 0:
		n := copy(buffer, s.received)
		if s.received = s.received[n:]; len(s.received) == 0 {
			s.received = nil
		}
		if p := s.peer; p != nil && !p.closed {
			p.inFlight -= n
			p.markActive()
		}
		return n, nil
	case s.failure != nil:
		return 0, s.failure
	case s.peerEnded:
		return 0, nil
	}
	return 0, unix.EAGAIN
}

// Write implements eventloop.System.
func (h *Host) Write(fd int, parts [][]byte) (int, error) {
	s := h.sockets[fd]
	switch {
	case s == nil:
		return 0, unix.EBADF
	case s.failure != nil:
		return 0, s.failure
	case s.writeEnded:
		return 0, unix.EPIPE
	}
	capacity, sent := sendWindow-s.inFlight, []byte(nil)
	for _, part := range parts {
		sent = append(sent, part[:min(len(part), max(capacity-len(sent), 0))]...)
	}
	if len(sent) == 0 {
		return 0, unix.EAGAIN
	}
	s.inFlight += len(sent)
	for rest := sent; len(rest) > 0; {
		segment := rest[:h.world.segmentSize(s, len(rest))]
		rest = rest[len(segment):]
		s.sendToPeer(len(segment), func(p *socket) { p.receive(segment) })
	}
	return len(sent), nil
}

// receive handles the arrival of a segment. A closed socket answers it with a reset.
func (s *socket) receive(payload []byte) {
	if s.closed {
		if p := s.peer; p != nil && !p.closed {
			s.sendToPeer(0, func(p *socket) { p.receiveReset() })
		}
		return
	}
	s.received = append(s.received, payload...)
	s.receivedAt = s.host.world.now
	s.markActive()
}

// receiveReset handles the arrival of a reset, which discards unread bytes.
func (s *socket) receiveReset() {
	if !s.closed && s.failure == nil {
		s.failure, s.received = unix.ECONNRESET, nil
		s.markActive()
	}
}

// resetPeers sends a reset to the peer of a stream, or to the peers of all connections in the backlog of a listener.
func (s *socket) resetPeers() {
	for _, connection := range s.pending {
		connection.sendToPeer(0, func(p *socket) { p.receiveReset() })
	}
	if s.kind == streamSocket {
		s.sendToPeer(0, func(p *socket) { p.receiveReset() })
	}
}

// ConnectError implements eventloop.System.
func (h *Host) ConnectError(fd int) error {
	if s := h.sockets[fd]; s != nil {
		return s.failure
	}
	return unix.EBADF
}

// Idle implements eventloop.System.
func (h *Host) Idle(fd int) bool {
	s := h.sockets[fd]
	return s != nil && len(s.received) == 0 && !s.peerEnded && s.failure == nil
}

// Pending implements eventloop.System.
func (h *Host) Pending(fd int) bool {
	s := h.sockets[fd]
	return s != nil && len(s.received) > 0
}

// LastReceiveAge implements eventloop.System.
func (h *Host) LastReceiveAge(fd int) (age time.Duration, ok bool) {
	if s := h.sockets[fd]; s != nil && s.receivedAt != 0 {
		return (h.world.now - s.receivedAt).Truncate(time.Millisecond), true
	}
	return 0, true
}

// ShutdownWrite implements eventloop.System.
func (h *Host) ShutdownWrite(fd int) {
	if s := h.sockets[fd]; s != nil && !s.writeEnded {
		s.writeEnded = true
		s.sendToPeer(0, func(p *socket) {
			p.peerEnded = true
			p.markActive()
		})
	}
}

// Abort implements eventloop.System. The peer receives a reset.
func (h *Host) Abort(fd int) {
	if s := h.sockets[fd]; s != nil {
		s.resetPeers()
		s.writeEnded, s.received = true, nil
		h.Close(fd)
	}
}
