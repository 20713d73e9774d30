package eventloop

// outputQueue holds the output of a stream that the kernel has not accepted.
type outputQueue struct {
	queue     []byte
	flushed   int       // number of bytes of queue that the kernel has accepted
	accounted int       // number of extra bytes of queue that are counted in bufferMemory
	iovec     [1][]byte // argument of Write, stored here to avoid an allocation
}

// Send writes as much of the parts as the kernel accepts without blocking and queues the rest.
func (s *Stream) Send(parts ...[]byte) {
	if s.closed {
		return
	}
	accepted := 0
	var err error
	if !s.connecting && s.Unsent() == 0 {
		if accepted, err = s.loop.system.Write(s.fd, parts); err != nil {
			accepted = 0
		}
	}
	for _, part := range parts {
		written := min(accepted, len(part))
		accepted -= written
		s.output.queue = append(s.output.queue, part[written:]...)
	}
	s.accountOutput()
	if err != nil && !isTransient(err) {
		s.loop.Defer(func() { s.closeAndNotify(err) })
	} else if s.Unsent() > 0 {
		s.updateInterest()
	}
}

// Unsent returns the number of queued bytes that the kernel has not accepted.
func (s *Stream) Unsent() int { return len(s.output.queue) - s.output.flushed }

// flush writes queued output. Once all of it is written, it continues a pending close or passes unread input to the handler.
func (s *Stream) flush() {
	s.output.iovec[0] = s.output.queue[s.output.flushed:]
	n, err := s.loop.system.Write(s.fd, s.output.iovec[:])
	if isTransient(err) {
		return
	} else if err != nil {
		s.closeAndNotify(err)
		return
	}
	if s.output.flushed += n; s.Unsent() > 0 {
		return
	}
	s.output.flushed = 0
	if s.output.queue = s.output.queue[:0]; cap(s.output.queue) > readBufferSize {
		s.output.queue = nil
	}
	s.accountOutput()
	s.updateInterest()
	if s.closing {
		s.shutdownWrite()
		return
	}
	s.DeliverInput() // the handler may have left input unconsumed until its output was written
}
