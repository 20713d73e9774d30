package eventloop

import (
	"io"

	"golang.org/x/sys/unix"
)

// readBufferSize is the standard size of a buffer, in bytes. Only the memory of a buffer beyond it counts against the limits.
const readBufferSize = 8 << 10

// inputBuffer holds the input of a stream that was read and not consumed.
type inputBuffer struct {
	buffer     []byte // bytes read from the kernel
	consumed   int    // number of bytes at the start of buffer that the handler has consumed
	maxBytes   int    // maximum size of the buffer
	full       bool   // reading is paused: the buffer holds maxBytes
	starved    bool   // reading is paused until the memory limits allow the buffer to grow
	delivering bool   // the handler's Input is running
	unfinished bool   // the rest of the input is delivered in the next iteration
	turns      turnCounter
}

// maxTurns is how many times the Input of one stream is called in one iteration, and so the number of messages that it may handle.
// A peer that sends many small messages does not keep the other streams waiting for longer.
const maxTurns = 8

// turnCounter counts the calls of a stream's Input in one iteration.
type turnCounter struct {
	iteration uint64
	count     int
}

// take reports whether the stream may have one more turn in the iteration.
func (t *turnCounter) take(iteration uint64) bool {
	if t.iteration != iteration {
		*t = turnCounter{iteration: iteration}
	}
	t.count++
	return t.count <= maxTurns
}

// isTransient reports whether a connection is still usable after an error of read or write, so that the call can be repeated.
func isTransient(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR || err == unix.ENOBUFS || err == unix.ENOMEM
}

// read reads once from the kernel and passes the input to the handler.
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
		s.closeAndNotify(err)
		return
	case n == 0 && s.halfClose.peerEnded:
		s.halfClose.inputEnded = true
		if s.updateInterest(); s.handler.(HalfCloser).HalfClosed(false) == nil {
			s.closeAndNotify(io.EOF)
		}
		return
	case n == 0:
		s.closeAndNotify(io.EOF)
		return
	}
	s.input.buffer = s.input.buffer[:len(s.input.buffer)+n]
	if s.listener != nil {
		s.recordArrival(n)
	}
	s.DeliverInput()
}

// ensureSpace makes space in the buffer. It returns false if the buffer is full and may not grow.
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
	growth := size - cap(in.buffer)
	if !s.loop.memory.admits(growth) || s.listener != nil && !s.listener.admitsBytes(growth) {
		return false
	}
	s.accountBytes(growth)
	larger := make([]byte, len(in.buffer), size)
	copy(larger, in.buffer)
	in.buffer = larger
	return true
}

// DeliverInput passes the unread input to the handler's Input until the handler consumes no more of it.
func (s *Stream) DeliverInput() {
	in := &s.input
	if in.delivering || s.closed {
		return
	}
	in.delivering = true
	for !s.closed && in.consumed < len(in.buffer) {
		if !in.turns.take(s.loop.iteration) {
			s.finishInNextIteration()
			break
		}
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

// finishInNextIteration schedules the delivery of the rest of the input. Nothing more is read before that.
func (s *Stream) finishInNextIteration() {
	if !s.input.unfinished {
		s.input.unfinished = true
		s.loop.unfinished = append(s.loop.unfinished, s)
	}
}

// ReadPaused reports whether reading is paused. Input may have arrived in the kernel meanwhile.
func (s *Stream) ReadPaused() bool { return s.input.full || s.input.starved }

// InputHidden reports whether more input may wait in the kernel, or at the peer, than has been read. The end of the input is hidden behind it.
func (s *Stream) InputHidden() bool { return s.ReadPaused() || s.arrivals.delayedSince > 0 }

// Unread returns the input that was read and not consumed.
func (s *Stream) Unread() []byte { return s.input.buffer[s.input.consumed:] }

// Skip consumes n bytes of Unread that Input did not consume. Call DeliverInput to continue with the rest.
func (s *Stream) Skip(n int) { s.input.consumed += n }

// releaseBuffer releases the input buffer and discards its content.
func (s *Stream) releaseBuffer() {
	if buffer := s.input.buffer; cap(buffer) == readBufferSize {
		s.loop.memory.putBuffer(buffer)
	} else if buffer != nil {
		s.accountBytes(readBufferSize - cap(buffer))
	}
	s.input.buffer, s.input.consumed = nil, 0
	s.arrivals.reset()
}
