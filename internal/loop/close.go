package loop

import "time"

const (
	closeLinger       = 100 * time.Millisecond // between shutting down the sending side and closing
	finalFlushTimeout = 2 * time.Second        // for the peer to accept the output before a close
)

// CloseWhenSent shuts down the sending side once all output is written, and closes the stream, with a call of the handler's
// Closed, a moment later. It stops reading at once, so the peer knows that a request that crossed the end was not accepted.
// An immediate close would answer such a request with a reset, which can overtake the output.
func (s *Stream) CloseWhenSent() {
	if s.closing || s.closed {
		return
	}
	s.closing = true
	s.updateInterest()
	if s.Unsent() == 0 {
		s.shutdownWrite()
	} else {
		s.loop.At(s.loop.now+finalFlushTimeout, func() { s.fail(nil) })
	}
}

// shutdownWrite shuts down the sending side and closes the stream after closeLinger.
func (s *Stream) shutdownWrite() {
	s.loop.system.ShutdownWrite(s.fd)
	s.loop.At(s.loop.now+closeLinger, func() { s.fail(nil) })
}

// Close closes the stream at once. The handler is not notified.
func (s *Stream) Close() {
	if !s.closed {
		s.detach(s.loop.system.Close)
		s.releaseBuffer()
	}
}

// Reset is like Close but sends a reset, which discards output that the peer has not read.
func (s *Stream) Reset() {
	if !s.closed {
		s.detach(s.loop.system.Abort)
		s.releaseBuffer()
	}
}

// detach closes the descriptor with closeFD and removes the stream from the loop and its listener.
func (s *Stream) detach(closeFD func(fd int)) {
	s.closed = true
	if s.listener != nil {
		s.listener.connections--
	}
	s.loop.unregister(s.fd, s.handle, closeFD)
	s.accountOutput()
}

// fail closes the stream and notifies the handler, which may still use Unread.
func (s *Stream) fail(cause error) {
	if s.closed {
		return
	}
	s.detach(s.loop.system.Close)
	s.handler.Closed(cause)
	s.releaseBuffer()
}
