package loop

import (
	"io"

	"golang.org/x/sys/unix"
)

// readBufferSize is the standard size of a buffer, in bytes. Only what a buffer takes beyond it counts against the limits.
const readBufferSize = 8 << 10

// inputBuffer is the input of a stream that was read and not consumed.
type inputBuffer struct {
	buffer     []byte // unread from consumed on
	consumed   int
	maxBytes   int  // that the buffer may hold
	full       bool // reading is paused: the buffer holds maxBytes
	starved    bool // reading is paused: all buffers together have reached their limit
	delivering bool // the handler is in Input
}

// isTransient reports whether an error of read or write leaves the connection usable, so that the call can be repeated.
func isTransient(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR || err == unix.ENOBUFS || err == unix.ENOMEM
}

// read reads once from the kernel and shows the input to the handler.
func (s *Stream) read() {
	if !s.ensureSpace() {
		s.input.starved = true
		s.markReadPaused()
		s.loop.memory.starved = append(s.loop.memory.starved, s)
		s.updateInterest()
		return
	}
	n, err := s.loop.system.Read(s.fd, s.input.buffer[len(s.input.buffer):cap(s.input.buffer)])
	switch {
	case isTransient(err):
		return
	case err != nil:
		s.fail(err)
		return
	case n == 0 && s.halfClose.peerEnded:
		s.halfClose.inputEnded = true
		if s.updateInterest(); s.handler.(HalfCloser).HalfClosed(false) == nil {
			s.fail(io.EOF)
		}
		return
	case n == 0:
		s.fail(io.EOF)
		return
	}
	s.input.buffer = s.input.buffer[:len(s.input.buffer)+n]
	if s.listener != nil {
		s.recordArrival(n)
	}
	s.DeliverInput()
}

// ensureSpace makes space in the buffer. It reports false if all of it is used and it may not grow.
func (s *Stream) ensureSpace() bool {
	in := &s.input
	if in.buffer == nil {
		in.buffer = s.loop.memory.takeBuffer()
	}
	if len(in.buffer) < cap(in.buffer) {
		return true
	}
	if in.consumed > 0 {
		in.buffer, in.consumed = in.buffer[:copy(in.buffer, in.buffer[in.consumed:])], 0
		return true
	}
	size := min(2*cap(in.buffer), in.maxBytes)
	more := size - cap(in.buffer)
	if !s.loop.memory.admits(more) || s.listener != nil && !s.listener.admitsBytes(more) {
		return false
	}
	s.accountBytes(more)
	larger := make([]byte, len(in.buffer), size)
	copy(larger, in.buffer)
	in.buffer = larger
	return true
}

// DeliverInput calls the handler's Input with the unread input until it consumes no more of it.
func (s *Stream) DeliverInput() {
	in := &s.input
	if in.delivering || s.closed {
		return
	}
	in.delivering = true
	for !s.closed && in.consumed < len(in.buffer) {
		used := s.handler.Input(in.buffer[in.consumed:])
		if s.closed || used == 0 {
			break
		}
		in.consumed += used
	}
	in.delivering = false
	if s.closed {
		return
	}
	if in.consumed == len(in.buffer) {
		s.releaseBuffer()
	}
	if full := len(in.buffer)-in.consumed >= in.maxBytes; full != in.full {
		if in.full = full; full {
			s.markReadPaused()
		}
		s.updateInterest()
	}
}

// ReadPaused reports that reading is paused, although input may have arrived.
func (s *Stream) ReadPaused() bool { return s.input.full || s.input.starved }

// Unread returns the input that was read and not consumed.
func (s *Stream) Unread() []byte { return s.input.buffer[s.input.consumed:] }

// Skip consumes n bytes of Unread that Input had left. Call DeliverInput to continue with the rest.
func (s *Stream) Skip(n int) { s.input.consumed += n }

// releaseBuffer gives the input buffer back; its content is discarded.
func (s *Stream) releaseBuffer() {
	if buffer := s.input.buffer; cap(buffer) == readBufferSize {
		s.loop.memory.putBuffer(buffer)
	} else if buffer != nil {
		s.accountBytes(readBufferSize - cap(buffer))
	}
	s.input.buffer, s.input.consumed = nil, 0
	s.arrivals.reset()
}
