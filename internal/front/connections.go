// Package front manages the connections of clients for every protocol: it accepts them, closes those that send nothing or read
// nothing, evicts idle ones where others need the descriptors, and drains them in a shutdown. The protocols are in its
// subpackages. All calls come from the goroutine of the event loop.
package front

import (
	"hash/fnv"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
	"passtack/internal/loop"
	"passtack/internal/slots"
)

// DeliveryMargin is the time reserved for delivering a response to a client. It includes the rounding of the kernel's timers.
const DeliveryMargin = 10 * time.Millisecond

// ActiveIDs holds the ids of the RPCs in service at all listeners together.
type ActiveIDs map[string]bool

// SessionOf returns the session of a key. It is the same at every listener, so that a client may move between them.
func SessionOf(key []byte) driver.Session {
	hash := fnv.New64a()
	hash.Write(key)
	return driver.Session(max(1, hash.Sum64()))
}

// Handler is the protocol on one connection.
type Handler interface {
	loop.Handler
	// Busy reports whether a request of the connection is in service.
	Busy() bool
	// RejectIncomplete answers a request whose rest did not come in time, and closes the connection.
	RejectIncomplete()
	// RejectUnstarted answers a request that was received but not started when the driver shuts down, and closes the
	// connection.
	RejectUnstarted()
}

// Connections holds the connections of one listener.
type Connections struct {
	loop       *loop.Loop
	count      func(name string)
	newHandler func(connection *Connection) Handler
	listener   *loop.Listener
	table      slots.Map[*Connection]
	busy       int  // connections with a request in service
	draining   bool // connections are closed after their request
	toClose    int  // connections that another listener needs, to be closed after their request

	// Connections without a request in service, each the longest idle first.
	newcomers      chain.List[*Connection] // without any request so far
	recentlyIdle   chain.List[*Connection] // for less than clientTimeout
	dormant        chain.List[*Connection] // for longer
	checkScheduled bool                    // of newcomers and recentlyIdle
}

// Listen accepts connections. Each may have maxUnread bytes received and not consumed.
func Listen(l *loop.Loop, address netip.AddrPort, maxUnread int, limits loop.AcceptLimiter, count func(name string),
	newHandler func(*Connection) Handler) (*Connections, error) {
	r := &Connections{loop: l, count: count, newHandler: newHandler}
	var err error
	r.listener, err = l.Listen(address, maxUnread, limits, r.accept, func(urgent bool) { r.evict(urgent) })
	return r, err
}

func (r *Connections) accept(open func(loop.Handler) *loop.Stream) {
	s := &Connection{set: r}
	s.link.Value = s
	s.handler = r.newHandler(s)
	if s.Stream = open(s.handler); s.Stream == nil {
		return
	}
	if s.Handle = r.table.Insert(s); s.Handle == 0 {
		s.Stream.Close()
		return
	}
	r.count("clients_accepted")
	s.BeginIdle()
}

// SetMaxUnread changes how many bytes each new connection may have received and not consumed.
func (r *Connections) SetMaxUnread(bytes int) { r.listener.SetMaxInput(bytes) }

// Usage returns the number of connections and the bytes of their buffers beyond the common size.
func (r *Connections) Usage() (connections, bytes int) { return r.listener.Usage() }

// Count returns the number of connections.
func (r *Connections) Count() int { return r.table.Len() }

// Handler returns the handler of a connection, nil if the handle is stale.
func (r *Connections) Handler(h slots.Handle) Handler {
	if s := r.table.Get(h); s != nil {
		return s.handler
	}
	return nil
}

// StopAccepting stops listening. Connections in the kernel's queue are still accepted.
func (r *Connections) StopAccepting() { r.listener.Drain() }

// Drain closes each connection once none of its requests is in service.
func (r *Connections) Drain() { r.draining = true }

// CloseIdle closes connections that have been idle for the time given, as part of a shutdown. It returns how many remain,
// counting those in the kernel's queue as one.
func (r *Connections) CloseIdle(idle time.Duration) int {
	r.table.ForEach(func(_ slots.Handle, s *Connection) {
		if s.evictable() && r.loop.Now()-s.idleSince >= idle {
			s.Close(ClosedShutdown)
		}
	})
	if !r.listener.Closed() {
		return r.table.Len() + 1
	}
	return r.table.Len()
}

// CloseAll closes all connections without a request in service, and reads no more. A request that was received is rejected, as
// it was not forwarded. What is unread remains so, which tells its client that it may be sent elsewhere.
func (r *Connections) CloseAll() {
	r.listener.Close()
	r.table.ForEach(func(_ slots.Handle, s *Connection) {
		switch {
		case s.Ended || s.handler.Busy():
		case len(s.Stream.Unread()) > 0:
			s.handler.RejectUnstarted()
		default:
			s.Close(ClosedShutdown)
		}
	})
}
