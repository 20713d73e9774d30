package front

import (
	"log/slog"
	"time"

	"passtack/internal/chain"
	"passtack/internal/loop"
	"passtack/internal/slots"
)

// Connection is one client's connection.
type Connection struct {
	Stream *loop.Stream
	Handle slots.Handle
	Ended  bool // nothing more is read or sent

	set          *Connections
	handler      Handler
	reading      bool          // part of a message was received
	hasRequested bool          // it has sent a request already
	idleSince    time.Duration // or since when part of a message is there
	unsent       int           // bytes that it had not read at the latest check
	link         chain.Element[*Connection]
}

// idleChain returns the chain for the connection while it is idle.
func (s *Connection) idleChain() *chain.List[*Connection] {
	if s.hasRequested {
		return &s.set.recentlyIdle
	}
	return &s.set.newcomers
}

// BeginIdle marks the connection as idle from now on.
func (s *Connection) BeginIdle() {
	r := s.set
	s.idleSince, s.reading = r.loop.Now(), false
	s.idleChain().PushBack(&s.link)
	r.scheduleCheck(s)
}

// BeginRequest marks the connection as having a request in service.
func (s *Connection) BeginRequest() {
	s.link.Remove()
	s.hasRequested = true
	s.set.busy++
}

// EndRequest marks the request in service as answered.
func (s *Connection) EndRequest() {
	s.set.busy--
	s.unsent = 0
}

// BeginRead reports whether the connection may be read. It may not while the client does not read its responses. A read
// starts the timeout of the next message.
func (s *Connection) BeginRead() bool {
	if s.Stream.Unsent() > 0 || s.Stream.ConfirmingHalfClose() {
		return false
	}
	if s.hasRequested && !s.reading {
		s.BeginIdle()
	}
	s.reading = true
	return true
}

// AfterResponse is called after a response was sent and its request consumed. It closes the connection if it serves no further
// request, and reports whether it did. Else it has the stream look for the next request, which may have been received already.
func (s *Connection) AfterResponse() (closed bool) {
	r := s.set
	nothingUnread := len(s.Stream.Unread()) == 0
	switch {
	case s.Stream.InputEnded() && nothingUnread: // the client sends no more
		s.Close(ClosedByClient)
		return true
	case (r.draining || r.toClose > 0) && nothingUnread && s.Stream.Alive():
		r.toClose = max(r.toClose-1, 0)
		if r.draining {
			s.Close(ClosedShutdown)
		} else {
			s.Close(ClosedShare)
		}
		return true
	}
	r.loop.Defer(s.Stream.DeliverInput)
	r.limitIdle()
	return false
}

// Close closes the connection once everything sent has been written.
func (s *Connection) Close(reason CloseReason) {
	s.recordClose(reason)
	s.Ended = true
	s.link.Remove()
	s.Stream.CloseWhenSent()
}

// Release removes a connection that was closed by either side.
func (s *Connection) Release(cause error) {
	slog.Debug("client connection ended", "client", s.Handle, "cause", cause)
	s.set.table.Remove(s.Handle)
	s.link.Remove()
	s.Ended = true
}

// evictable reports whether the connection is idle, with nothing to read or to send.
func (s *Connection) evictable() bool {
	return !s.handler.Busy() && !s.Ended && len(s.Stream.Unread()) == 0 && s.Stream.Unsent() == 0 && s.Stream.Alive()
}
