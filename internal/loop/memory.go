package loop

// spareBufferShare is the divisor that gives the part of maxExtraBytes that unused buffers may hold.
const spareBufferShare = 4

// bufferMemory is the memory of the buffers of all streams.
type bufferMemory struct {
	spareBuffers  [][]byte  // unused buffers of the standard size
	extraBytes    int       // bytes that input buffers and output queues hold beyond the standard size of each
	maxExtraBytes int       // limit of extraBytes for growing input buffers
	starved       []*Stream // streams whose reading is paused until memory is released
}

// takeBuffer returns an empty buffer of the standard size.
func (m *bufferMemory) takeBuffer() []byte {
	n := len(m.spareBuffers)
	if n == 0 {
		return make([]byte, 0, readBufferSize)
	}
	buffer := m.spareBuffers[n-1]
	m.spareBuffers = m.spareBuffers[:n-1]
	return buffer
}

// putBuffer keeps a buffer of the standard size for reuse unless there are enough of them.
func (m *bufferMemory) putBuffer(buffer []byte) {
	if len(m.spareBuffers) < max(m.maxExtraBytes/spareBufferShare/readBufferSize, 1) {
		m.spareBuffers = append(m.spareBuffers, buffer[:0])
	}
}

// admits reports whether input buffers may grow by so many bytes.
func (m *bufferMemory) admits(more int) bool { return m.extraBytes+more <= m.maxExtraBytes }

// accountBytes adds to the extra bytes that the buffers of this stream hold; more is negative when they shrink.
func (s *Stream) accountBytes(more int) {
	if s.listener != nil {
		s.listener.extraBytes += more
	}
	s.loop.accountBytes(more)
}

// accountBytes adds to the extra bytes of all buffers. When they shrink, the starved streams resume reading.
func (l *Loop) accountBytes(more int) {
	if l.memory.extraBytes += more; more >= 0 {
		return
	}
	waiting := l.memory.starved
	l.memory.starved = nil
	for _, stream := range waiting {
		stream.input.starved = false
		stream.updateInterest()
	}
}

// accountOutput accounts for the output that the peer has not accepted yet. Output is queued even beyond the limit, which
// only stops the growth of input buffers.
func (s *Stream) accountOutput() {
	extra := max(cap(s.output.queue)-readBufferSize, 0)
	if s.closed {
		s.output.queue, extra = nil, 0
	}
	if more := extra - s.output.accounted; more != 0 {
		s.output.accounted = extra
		s.accountBytes(more)
	}
}
