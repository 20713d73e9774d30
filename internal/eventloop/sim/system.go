package sim

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/eventloop"
	"passtack/internal/slotmap"
)

// Clock implements eventloop.System. It returns the simulated time plus the host's offset.
func (h *Host) Clock() time.Duration { return h.world.now + h.ClockOffset }

// OpenDescriptors implements eventloop.System. A new program has the descriptors below firstFD open.
func (h *Host) OpenDescriptors() (int, error) { return firstFD, nil }

// Wake implements eventloop.System.
func (h *Host) Wake() {
	h.wakePending = true
	h.touch()
}

// Wait implements eventloop.System without waiting: simulated time passes only between iterations.
func (h *Host) Wait(events []eventloop.Event, maxWait time.Duration) (n int, err error) {
	if h.wakePending {
		h.wakePending = false
		events[n] = eventloop.Event{}
		n++
	}
	active := h.active[:0]
	for _, s := range h.active {
		ready := s.readyEvents()
		if ready == 0 {
			s.active = false
			continue
		}
		active = append(active, s)
		if n < len(events) {
			events[n] = eventloop.Event{Handle: s.handle, Ready: ready}
			n++
		}
	}
	h.active = active
	return n, nil
}

// Watch implements eventloop.System.
func (h *Host) Watch(fd int, handle slotmap.Handle, events uint32, isNew bool) error {
	s := h.sockets[fd]
	if s == nil {
		return unix.EBADF
	}
	s.handle, s.interest = handle, events
	s.markActive()
	return nil
}

// Listen implements eventloop.System.
func (h *Host) Listen(address netip.AddrPort) (int, error) { return h.bind(address, listenerSocket) }

// ListenUDP implements eventloop.System.
func (h *Host) ListenUDP(address netip.AddrPort) (int, error) { return h.bind(address, datagramSocket) }

// bind opens a listener or datagram socket at an address.
func (h *Host) bind(address netip.AddrPort, kind socketKind) (int, error) {
	if h.world.bound[address] != nil {
		return 0, unix.EADDRINUSE
	}
	s := &socket{kind: kind, address: address}
	h.world.bound[address] = s
	return h.open(s), nil
}

// Release implements eventloop.System.
func (h *Host) Release() {}

// Close implements eventloop.System. A stream with unread bytes answers them with a reset, as the kernel does.
func (h *Host) Close(fd int) {
	s := h.sockets[fd]
	if s == nil {
		return
	}
	if s.kind != streamSocket {
		delete(h.world.bound, s.address)
		s.resetPeers()
	} else if len(s.received) > 0 {
		s.resetPeers()
	} else {
		h.ShutdownWrite(fd)
	}
	s.closed = true
	delete(h.sockets, fd)
}
