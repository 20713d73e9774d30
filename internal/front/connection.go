package front

import (
	"log/slog"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/linkedlist"
	"passtack/internal/slotmap"
)

// Connection is one client's connection.
type Connection struct {
	Stream *eventloop.Stream
	Handle slotmap.Handle
	Ended  bool // nothing more is read or sent

	connections  *Connections
	handler      Handler
	reading      bool          // part of a message was received
	hasRequested bool          // the client has sent a request
	idleSince    time.Duration // start of the idle time, or of the wait for the rest of a message
	liveness     liveness
	unsent       int // bytes that the client had not read at the latest check
	link         linkedlist.Element[*Connection]
}

// idleChain returns the list that holds the connection while it is idle.
func (c *Connection) idleList() *linkedlist.List[*Connection] {
	if c.hasRequested {
		return &c.connections.recentlyIdle
	}
	return &c.connections.newConnections
}

// BeginIdle marks the connection as idle from now on.
func (c *Connection) BeginIdle() {
	cs := c.connections
	c.idleSince, c.reading = cs.loop.Now(), false
	c.idleList().PushBack(&c.link)
	cs.scheduleCheck(c)
}

// BeginRequest marks the connection as having a request in service.
func (c *Connection) BeginRequest() {
	c.link.Remove()
	c.hasRequested = true
	c.connections.busy++
}

// EndRequest marks the request in service as answered.
func (c *Connection) EndRequest() {
	c.connections.busy--
	c.unsent = 0
}

// BeginRead reports whether input may be read from the connection. No input is read while the client does not read its
// responses, nor while a half-close or the client's presence is being confirmed. The first read of a message starts its timeout.
func (c *Connection) BeginRead() bool {
	if c.Stream.Unsent() > 0 || c.Stream.ConfirmingHalfClose() || !c.confirmLiveness() {
		return false
	}
	if c.hasRequested && !c.reading {
		c.BeginIdle()
	}
	c.reading = true
	return true
}

// AfterResponse is called after a response was sent and its request consumed. It closes the connection if no further request is
// to be served on it, and reports whether it did. Otherwise it schedules the delivery of input that was received already.
func (c *Connection) AfterResponse() (closed bool) {
	cs := c.connections
	nothingUnread := len(c.Stream.Unread()) == 0
	switch {
	case c.Stream.InputEnded() && nothingUnread: // the client has closed its sending side
		c.Close(ClosedByClient)
		return true
	case (cs.draining || cs.toClose > 0) && nothingUnread && c.Stream.Alive():
		cs.toClose = max(cs.toClose-1, 0)
		if cs.draining {
			c.Close(ClosedShutdown)
		} else {
			c.Close(ClosedShare)
		}
		return true
	}
	cs.loop.Defer(c.Stream.DeliverInput)
	cs.limitIdle()
	return false
}

// Close closes the connection once everything sent has been written.
func (c *Connection) Close(reason CloseReason) {
	c.recordClose(reason)
	c.Ended = true
	c.link.Remove()
	c.Stream.CloseWhenSent()
}

// Release removes a connection that was closed by either side.
func (c *Connection) Release(cause error) {
	slog.Debug("client connection ended", "client", c.Handle, "cause", cause)
	c.connections.table.Remove(c.Handle)
	c.link.Remove()
	c.Ended = true
}

// evictable reports whether the connection is idle, with no input to read and no output to send.
func (c *Connection) evictable() bool {
	return !c.handler.Busy() && !c.Ended && len(c.Stream.Unread()) == 0 && c.Stream.Unsent() == 0 && c.Stream.Alive()
}
