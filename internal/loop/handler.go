package loop

// Handler handles the events of one stream. All its methods are called on the loop's goroutine.
type Handler interface {
	// Opened is called when a connect has succeeded.
	Opened()
	// Input gets the bytes received and not yet consumed and returns how many of them it has consumed.
	Input(in []byte) int
	// Closed is called after the peer or an error has closed the stream. The cause is io.EOF for an orderly end by the peer.
	Closed(cause error)
	// Panicked is called after a panic while the stream was served. The handler sends its last answer and closes the stream.
	Panicked(cause error)
}

// HalfCloser is a Handler that may still owe an answer after the peer has shut down its sending side.
type HalfCloser interface {
	// HalfClosed tells the handler that the peer sends no more; pending reports that input has arrived that was not read. The
	// handler begins nothing new for the peer and returns bytes that are harmless to send: a peer that has closed answers
	// them with a reset, one that still reads ignores them. Nil means that nothing is owed, or that there are no such bytes.
	HalfClosed(pending bool) []byte
}
