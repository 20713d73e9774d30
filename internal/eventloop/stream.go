package eventloop

import (
	"errors"

	"passtack/internal/slotmap"
)

// ErrNoDescriptors is returned by Dial when all descriptors are in use.
var ErrNoDescriptors = errors.New("no descriptor is free")

// errUnreadInput is the cause passed to Closed when a connection ended while it had unread input.
var errUnreadInput = errors.New("connection closed before all input was read")

// Stream is one TCP connection.
type Stream struct {
	loop       *Loop
	fd         int
	handle     slotmap.Handle
	handler    Handler
	listener   *Listener // listener that accepted the connection; nil for a dialed connection
	connecting bool
	closing    bool // the stream closes once all output is written
	closed     bool
	input      inputBuffer
	output     outputQueue
	halfClose  halfCloseState
	arrivals   arrivalLog
}

// newStream creates a stream for a connected or connecting descriptor. It closes the descriptor on error.
func (l *Loop) newStream(fd int, handler Handler, maxInput int, connecting bool) (*Stream, error) {
	s := &Stream{loop: l, fd: fd, handler: handler, input: inputBuffer{maxBytes: maxInput}, connecting: connecting}
	var err error
	if s.handle, err = l.register(fd, s, s.interest()); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return s, nil
}

// interest returns the events that the stream waits for in its present state.
func (s *Stream) interest() uint32 {
	events := uint32(eventPeerClosed)
	if s.halfClose.peerEnded || s.input.starved && s.listener == nil {
		// The event of a peer's close stays ready until the descriptor is closed: a loop that waits for it would spin.
		events = 0
	}
	if !s.ReadPaused() && !s.connecting && !s.closing && s.halfClose.allowsRead() {
		events |= eventReadable
	}
	if s.connecting || s.Unsent() > 0 {
		events |= eventWritable
	}
	return events
}

func (s *Stream) updateInterest() {
	if !s.closed {
		s.loop.modify(s.fd, s.handle, s.interest())
	}
}

func (s *Stream) onReady(events uint32) {
	if s.connecting {
		s.finishConnect()
		return
	}
	if events&eventWritable != 0 {
		s.flush()
	}
	if s.closed {
		return
	}
	if s.clientClosing(events) {
		s.handleClientClose(events)
		return
	}
	if events&eventReadable != 0 && s.input.unfinished && !s.closing {
		s.markReadPaused() // the rest is delivered in this iteration, and more is read in the next one
	} else if events&eventReadable != 0 && !s.ReadPaused() && !s.closing {
		s.read()
	} else if events&eventHangup != 0 || events&eventPeerClosed != 0 && !s.input.starved {
		// Unread input is lost, so this is not reported as an orderly end of the stream.
		s.closeAndNotify(errUnreadInput)
	}
}

func (s *Stream) onPanic(cause error) {
	if s.input.delivering = false; !s.closed {
		s.handler.Panicked(cause)
	}
}

// Alive reports whether the stream is open and the kernel holds neither unread bytes nor the end of its input.
func (s *Stream) Alive() bool {
	return !s.closed && s.loop.system.Idle(s.fd)
}
