package eventloop

import (
	"io"
	"time"
)

// halfCloseState is the state of a connection of which the client has shut down its sending side. The zero value stands for
// an open connection.
type halfCloseState struct {
	peerEnded  bool // the client has shut down its sending side and may still read
	confirmed  bool // the client did not answer with a reset within halfCloseGrace, so it still reads
	inputEnded bool // all input from the client has been read
}

// allowsRead reports whether the stream should read input.
func (h *halfCloseState) allowsRead() bool { return !h.peerEnded || h.confirmed && !h.inputEnded }

// clientClosing reports whether the events show that a client has closed the connection or shut down its sending side.
func (s *Stream) clientClosing(events uint32) bool {
	return s.listener != nil && !s.connecting && events&(eventPeerClosed|eventHangup) != 0
}

// halfCloseGrace is the time that a client that has shut down its sending side has for answering with a reset. Until it is
// over, no more input is read from the client. It is short enough that, if the client has closed, its requests do not run on
// for longer than is allowed.
const halfCloseGrace = 50 * time.Millisecond

// handleClientClose closes the stream if the client has closed it, even if input is unread. A client that has only shut down
// its sending side and still reads gets the answers that are outstanding.
func (s *Stream) handleClientClose(events uint32) {
	if s.halfClose.peerEnded && events&eventHangup == 0 {
		return
	}
	if halfCloser, ok := s.handler.(HalfCloser); ok && !s.halfClose.peerEnded && !s.closing && events&eventHangup == 0 {
		if probe := halfCloser.HalfClosed(s.loop.system.Pending(s.fd)); probe != nil {
			s.halfClose.peerEnded = true
			s.Send(probe)
			s.updateInterest()
			s.loop.At(s.loop.now+halfCloseGrace, s.confirmHalfClose)
			return
		}
	}
	s.closeAndNotify(io.EOF)
}

// confirmHalfClose resumes reading from a client that has not answered with a reset.
func (s *Stream) confirmHalfClose() {
	s.halfClose.confirmed = true
	s.updateInterest()
	s.DeliverInput()
}

// ConfirmingHalfClose reports whether the client has shut down its sending side and it is not yet known whether it still
// reads. No new request is started for it in that state.
func (s *Stream) ConfirmingHalfClose() bool { return s.halfClose.peerEnded && !s.halfClose.confirmed }

// InputEnded reports whether the client has shut down its sending side and all its input has been read.
func (s *Stream) InputEnded() bool { return s.halfClose.inputEnded }
