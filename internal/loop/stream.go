package loop

import (
	"errors"

	"passtack/internal/slots"
)

// ErrNoDescriptors is returned by Dial when all descriptors are in use.
var ErrNoDescriptors = errors.New("no descriptor is free")

// errUnreadInput is the cause of Closed when a connection was closed with input that was not read.
var errUnreadInput = errors.New("connection closed before all input was read")

// Stream is one TCP connection.
type Stream struct {
	loop       *Loop
	fd         int
	handle     slots.Handle
	handler    Handler
	listener   *Listener // that accepted the connection; nil for a dialed one
	connecting bool
	closing    bool // closes once all output is written
	closed     bool
	input      inputBuffer
	output     outputQueue
	halfClose  halfCloseState
	arrivals   arrivalLog
}

// newStream wraps a connected or connecting descriptor; it closes the descriptor on error.
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
		// A peer's close stays ready until the descriptor is closed: waiting for it would keep the loop from sleeping.
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
	if events&eventReadable != 0 && !s.ReadPaused() && !s.closing {
		s.read()
	} else if events&eventHangup != 0 || events&eventPeerClosed != 0 && !s.input.starved {
		// Unread input is lost, so this does not count as an orderly end of the stream.
		s.fail(errUnreadInput)
	}
}

func (s *Stream) onPanic(cause error) {
	if s.input.delivering = false; !s.closed {
		s.handler.Panicked(cause)
	}
}

// Alive reports whether the stream is open and has no unread input in the kernel, neither bytes nor an end.
func (s *Stream) Alive() bool {
	return !s.closed && s.loop.system.Idle(s.fd)
}
