// Package front manages client connections for every protocol: it accepts them, closes those whose client sends no request or
// does not read its responses, evicts idle ones when file descriptors are needed for others, and drains them during a shutdown.
// Its subpackages implement the protocols. All calls come from the goroutine of the event loop.
package front

import (
	"hash/fnv"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/linkedlist"
	"passtack/internal/slotmap"
)

// DeliveryMargin is the time reserved for delivering a response to a client. It includes the rounding of the kernel's timers.
const DeliveryMargin = 10 * time.Millisecond

// SessionOf returns the session for a key. Every listener returns the same one, so that a client may change its listener.
func SessionOf(key []byte) driver.Session {
	hash := fnv.New64a()
	hash.Write(key)
	return driver.Session(max(1, hash.Sum64()))
}

// Handler is the protocol on one connection.
type Handler interface {
	eventloop.Handler
	// Busy reports whether a request of the connection is in service.
	Busy() bool
	// RejectIncomplete answers a request that was not completely received in time, and closes the connection.
	RejectIncomplete()
	// RejectUnstarted answers a request that was received but not started when the driver shuts down, and closes the
	// connection.
	RejectUnstarted()
}

// Connections holds the connections of one listener.
type Connections struct {
	loop       *eventloop.Loop
	count      func(name string)
	newHandler func(connection *Connection) Handler
	listener   *eventloop.Listener
	table      slotmap.Map[*Connection]
	busy       int  // connections with a request in service
	draining   bool // each connection is closed after its request
	toClose    int  // number of connections to close after their request, as another listener needs descriptors

	// Connections without a request in service. Each list starts with the one that has been idle for longest.
	newConnections linkedlist.List[*Connection] // no request received so far
	recentlyIdle   linkedlist.List[*Connection] // idle for less than clientTimeout
	longIdle       linkedlist.List[*Connection] // idle for longer
	checkScheduled bool                         // a check of newConnections and recentlyIdle is scheduled
}

// Listen accepts connections. maxUnread bounds the bytes of each one that were received and not consumed.
func Listen(l *eventloop.Loop, address netip.AddrPort, maxUnread int, limits eventloop.AcceptLimiter, count func(name string),
	newHandler func(*Connection) Handler) (*Connections, error) {
	cs := &Connections{loop: l, count: count, newHandler: newHandler}
	var err error
	cs.listener, err = l.Listen(address, maxUnread, limits, cs.accept, func(urgent bool) { cs.evict(urgent) })
	return cs, err
}

func (cs *Connections) accept(open func(eventloop.Handler) *eventloop.Stream) {
	c := &Connection{connections: cs}
	c.link.Value = c
	c.handler = cs.newHandler(c)
	if c.Stream = open(c.handler); c.Stream == nil {
		return
	}
	if c.Handle = cs.table.Insert(c); c.Handle == 0 {
		c.Stream.Close()
		return
	}
	cs.count("clients_accepted")
	c.BeginIdle()
}

// SetMaxUnread changes the bound on received bytes that are not consumed, for connections accepted from now on.
func (cs *Connections) SetMaxUnread(bytes int) { cs.listener.SetMaxInput(bytes) }

// Usage returns the number of connections and the bytes of their buffers beyond the standard size.
func (cs *Connections) Usage() (connections, bytes int) { return cs.listener.Usage() }

// Count returns the number of connections.
func (cs *Connections) Count() int { return cs.table.Len() }

// Handler returns the handler of a connection, nil if the handle is stale.
func (cs *Connections) Handler(h slotmap.Handle) Handler {
	if c := cs.table.Get(h); c != nil {
		return c.handler
	}
	return nil
}

// StopAccepting stops listening. Connections in the kernel's accept queue are still accepted.
func (cs *Connections) StopAccepting() { cs.listener.Drain() }

// Drain closes each connection once none of its requests is in service.
func (cs *Connections) Drain() { cs.draining = true }

// CloseIdle closes connections that have been idle for the given time, as part of a shutdown. It returns the number of open
// connections, plus one while the kernel's accept queue may still hold some.
func (cs *Connections) CloseIdle(idle time.Duration) int {
	cs.table.ForEach(func(_ slotmap.Handle, c *Connection) {
		if c.evictable() && cs.loop.Now()-c.idleSince >= idle {
			c.Close(ClosedShutdown)
		}
	})
	if !cs.listener.Closed() {
		return cs.table.Len() + 1
	}
	return cs.table.Len()
}

// CloseAll closes all connections without a request in service, and reads no more input. A request that was received but not
// started is rejected, as it was not forwarded. A request that is still unread in the kernel stays unread, which tells its
// client that it may be sent to another driver.
func (cs *Connections) CloseAll() {
	cs.listener.Close()
	cs.table.ForEach(func(_ slotmap.Handle, c *Connection) {
		switch {
		case c.Ended || c.handler.Busy():
		case len(c.Stream.Unread()) > 0:
			c.handler.RejectUnstarted()
		default:
			c.Close(ClosedShutdown)
		}
	})
}
