package eventloop

import "time"

const (
	closeLinger       = 100 * time.Millisecond // time between shutting down the sending side and closing the stream
	finalFlushTimeout = 2 * time.Second        // time within which the peer must accept the output before the stream is closed
)

// CloseWhenSent shuts down the sending side once all output is written. After closeLinger it closes the stream and calls the
// handler's Closed. It stops reading at once, so that a request which the peer sent before it saw the end of the stream is
// not accepted. Closing immediately would answer such a request with a reset, which can overtake the output.
func (s *Stream) CloseWhenSent() {
	if s.closing || s.closed {
		return
	}
	s.closing = true
	s.updateInterest()
	if s.Unsent() == 0 {
		s.shutdownWrite()
	} else {
		s.loop.At(s.loop.now+finalFlushTimeout, func() { s.closeAndNotify(nil) })
	}
}

// shutdownWrite shuts down the sending side and closes the stream after closeLinger.
func (s *Stream) shutdownWrite() {
	s.loop.system.ShutdownWrite(s.fd)
	s.loop.At(s.loop.now+closeLinger, func() { s.closeAndNotify(nil) })
}

// Close closes the stream immediately. The handler is not notified.
func (s *Stream) Close() {
	if !s.closed {
		s.detach(s.loop.system.Close)
		s.releaseBuffer()
	}
}

// Reset is like Close but sends a reset, on which the peer discards output that it has not read.
func (s *Stream) Reset() {
	if !s.closed {
		s.detach(s.loop.system.Abort)
		s.releaseBuffer()
	}
}

// detach closes the descriptor with closeFD and removes the stream from the loop and from its listener's count.
func (s *Stream) detach(closeFD func(fd int)) {
	s.closed = true
	if s.listener != nil {
		s.listener.connections--
	}
	s.loop.unregister(s.fd, s.handle, closeFD)
	s.accountOutput()
}

// closeAndNotify closes the stream and notifies the handler, which may still use Unread.
func (s *Stream) closeAndNotify(cause error) {
	if s.closed {
		return
	}
	s.detach(s.loop.system.Close)
	s.handler.Closed(cause)
	s.releaseBuffer()
}
