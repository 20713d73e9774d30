package loop

import (
	"io"
	"time"
)

// halfCloseState tells how far a client has got with closing its connection. All is false while it is open.
type halfCloseState struct {
	peerEnded  bool // the client has shut down its sending side and may still read
	confirmed  bool // it did not answer with a reset within halfCloseGrace, so it still reads
	inputEnded bool // all that the client sent has been read
}

// allowsRead reports whether there may be input that should be read.
func (h *halfCloseState) allowsRead() bool { return !h.peerEnded || h.confirmed && !h.inputEnded }

// clientClosing reports whether the events say that a client has closed the connection or shut down its sending side.
func (s *Stream) clientClosing(events uint32) bool {
	return s.listener != nil && !s.connecting && events&(eventPeerClosed|eventHangup) != 0
}

// halfCloseGrace is how long a client that has shut down its sending side has to answer with a reset. Until then no more of
// its input is read, and no request that waits has run on for longer than is allowed after a client has closed.
const halfCloseGrace = 50 * time.Millisecond

// handleClientClose closes the stream of a client that has closed it, even if its input is unread. A client that only shut
// down its sending side and still reads gets the answers that it is owed.
func (s *Stream) handleClientClose(events uint32) {
	if s.halfClose.peerEnded && events&eventHangup == 0 {
		return
	}
	if halfCloser, ok := s.handler.(HalfCloser); ok && !s.halfClose.peerEnded && !s.closing && events&eventHangup == 0 {
		if filler := halfCloser.HalfClosed(s.loop.system.Pending(s.fd)); filler != nil {
			s.halfClose.peerEnded = true
			s.Send(filler)
			s.updateInterest()
			s.loop.At(s.loop.now+halfCloseGrace, s.confirmHalfClose)
			return
		}
	}
	s.fail(io.EOF)
}

// confirmHalfClose continues reading from a client that has not answered with a reset.
func (s *Stream) confirmHalfClose() {
	s.halfClose.confirmed = true
	s.updateInterest()
	s.DeliverInput()
}

// ConfirmingHalfClose reports that the client has shut down its sending side and it is not yet known whether it still reads. No new
// request is begun for it.
func (s *Stream) ConfirmingHalfClose() bool { return s.halfClose.peerEnded && !s.halfClose.confirmed }

// InputEnded reports that the client has shut down its sending side and that all its input was read.
func (s *Stream) InputEnded() bool { return s.halfClose.inputEnded }
