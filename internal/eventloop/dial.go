package eventloop

import "net/netip"

// Dial starts to connect to an address and notifies the handler of the result. The stream buffers up to maxInput bytes of
// unread input. Dial returns ErrNoDescriptors if no descriptor is free.
func (l *Loop) Dial(address netip.AddrPort, handler Handler, maxInput int) (*Stream, error) {
	return l.dial(address, handler, maxInput, l.descriptors.reserved)
}

// DialReserved is like Dial but may use the reserved descriptors. It is for connections without which the process cannot
// continue to operate.
func (l *Loop) DialReserved(address netip.AddrPort, handler Handler, maxInput int) (*Stream, error) {
	return l.dial(address, handler, maxInput, 0)
}

func (l *Loop) dial(address netip.AddrPort, handler Handler, maxInput, reserved int) (*Stream, error) {
	if !l.hasCapacity(reserved) {
		return nil, ErrNoDescriptors
	}
	fd, err := l.system.Dial(address)
	if err != nil {
		return nil, err
	}
	return l.newStream(fd, handler, maxInput, true)
}

// finishConnect notifies the handler of the result of a connect.
func (s *Stream) finishConnect() {
	err := s.loop.system.ConnectError(s.fd)
	if err != nil {
		s.closeAndNotify(err)
		return
	}
	s.connecting = false
	s.updateInterest()
	s.handler.Opened()
}
