package eventloop

// Handler handles the events of one stream. The loop calls its methods on its own goroutine.
type Handler interface {
	// Opened is called when a connect has succeeded.
	Opened()
	// Input is called with the bytes that were received and not yet consumed. It returns the number of bytes it consumed.
	Input(in []byte) int
	// Closed is called after the peer or an error has closed the stream. The cause is io.EOF if the peer closed it in
	// an orderly way.
	Closed(cause error)
	// Panicked is called after a panic while the stream was served. The handler sends its final answer and closes the stream.
	Panicked(cause error)
}

// HalfCloser is a Handler that may have answers outstanding after the peer has shut down its sending side.
type HalfCloser interface {
	// HalfClosed is called when the peer has shut down its sending side. pending is true if input has arrived that is not read.
	// The handler starts no new work for the peer and returns bytes to send as a probe: a peer that has closed answers them
	// with a reset, and a peer that still reads ignores them. It returns nil if no answer is outstanding, or if the protocol
	// has no such bytes.
	HalfClosed(pending bool) []byte
}
