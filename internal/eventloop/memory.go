package eventloop

// spareBufferDivisor is the divisor that gives the part of maxExtraBytes that unused buffers may hold.
const spareBufferDivisor = 4

// bufferMemory manages and counts the memory of the buffers of all streams.
type bufferMemory struct {
	spareBuffers  [][]byte  // unused buffers of the standard size
	extraBytes    int       // bytes that input buffers and output queues hold beyond the standard size of each
	maxExtraBytes int       // value of extraBytes beyond which no input buffer may grow
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

// putBuffer keeps a buffer of the standard size for reuse, unless enough of them are kept.
func (m *bufferMemory) putBuffer(buffer []byte) {
	if len(m.spareBuffers) < max(m.maxExtraBytes/spareBufferDivisor/readBufferSize, 1) {
		m.spareBuffers = append(m.spareBuffers, buffer[:0])
	}
}

// admits reports whether input buffers may grow by the given number of bytes.
func (m *bufferMemory) admits(growth int) bool { return m.extraBytes+growth <= m.maxExtraBytes }

// accountBytes adds delta to the number of extra bytes that the buffers of this stream hold. delta is negative when they
// shrink.
func (s *Stream) accountBytes(delta int) {
	if s.listener != nil {
		s.listener.extraBytes += delta
	}
	s.loop.accountBytes(delta)
}

// accountBytes adds delta to the number of extra bytes of all buffers. When they shrink, the starved streams resume reading.
func (l *Loop) accountBytes(delta int) {
	if l.memory.extraBytes += delta; delta >= 0 {
		return
	}
	waiting := l.memory.starved
	l.memory.starved = nil
	for _, stream := range waiting {
		stream.input.starved = false
		stream.updateInterest()
	}
}

// accountOutput counts the queued output that the kernel has not accepted. Output is queued even beyond the limit, which only
// stops the growth of input buffers.
func (s *Stream) accountOutput() {
	extra := max(cap(s.output.queue)-readBufferSize, 0)
	if s.closed {
		s.output.queue, extra = nil, 0
	}
	if delta := extra - s.output.accounted; delta != 0 {
		s.output.accounted = extra
		s.accountBytes(delta)
	}
}
