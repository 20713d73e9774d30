package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slotmap"
)

// Listener accepts TCP connections.
type Listener struct {
	AcceptLimiter
	loop        *Loop
	fd          int
	handle      slotmap.Handle
	maxInput    int
	accept      func(open func(Handler) *Stream)
	evict       func(urgent bool)
	connections int  // number of open streams that the listener accepted
	extraBytes  int  // bytes that their buffers hold beyond the standard size
	paused      bool // connections are left in the backlog
	draining    bool // the listener closes once the backlog is empty
	closed      bool
}

// Listen accepts connections at the address, each of which may buffer up to maxInput bytes of unread input. It calls accept
// for each connection; accept passes its handler to open, which returns the stream, or nil on failure. When the number of
// connections comes near the maximum set by the limiter, Listen calls evict, which should close a connection; urgent is true
// if the maximum is reached.
func (l *Loop) Listen(address netip.AddrPort, maxInput int, limiter AcceptLimiter, accept func(open func(Handler) *Stream),
	evict func(urgent bool)) (*Listener, error) {
	fd, err := l.system.Listen(address)
	if err != nil {
		return nil, err
	}
	n := &Listener{AcceptLimiter: limiter, loop: l, fd: fd, maxInput: maxInput, accept: accept, evict: evict}
	if n.handle, err = l.register(fd, n, eventReadable); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return n, nil
}

// Limits per iteration, so that new connections do not delay the established ones.
const (
	maxAcceptsPerIteration = 64
	maxAcceptFailures      = 16 // the listener then pauses for acceptRetryDelay
)

// acceptRetryDelay is the time after which a paused listener resumes if no descriptor is freed earlier.
const acceptRetryDelay = 100 * time.Millisecond

func (n *Listener) onReady(uint32) { n.acceptPending() }

// acceptPending accepts connections from the backlog. It reports whether the backlog may hold more that can be accepted.
func (n *Listener) acceptPending() bool {
	failures := 0
	for range maxAcceptsPerIteration {
		if n.connections >= n.MaxConnections() {
			n.evict(true)
			n.pause()
			return false
		}
		if !n.loop.hasCapacity(n.loop.descriptors.reserved) {
			n.pause()
			return false
		}
		fd, err := n.loop.system.Accept(n.fd)
		if err == unix.EAGAIN {
			if n.draining {
				n.Close()
			}
			return false
		}
		if err != nil {
			if failures++; isPerConnectionError(err) && failures < maxAcceptFailures {
				continue
			}
			n.pause()
			return false
		}
		n.accept(func(handler Handler) *Stream {
			s, err := n.loop.newStream(fd, handler, n.maxInput, false)
			if err != nil {
				return nil
			}
			s.listener = n
			n.connections++
			return s
		})
		if n.connections > n.MaxConnections()*4/5 { // an evicted connection takes a moment to close
			n.evict(false)
		}
	}
	return true
}

func (n *Listener) onPanic(error) {}

// isPerConnectionError reports whether an error of accept concerns only one connection, which no longer exists, according to
// the list in accept(2). Other connections may be queued behind it.
func isPerConnectionError(err error) bool {
	switch err {
	case unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENOPROTOOPT, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN,
		unix.EHOSTUNREACH, unix.ENONET, unix.EOPNOTSUPP, unix.ETIMEDOUT, unix.EPERM:
		return true
	}
	return false
}

func (n *Listener) updateInterest() {
	if n.closed {
		return
	}
	events := uint32(eventReadable)
	if n.paused {
		events = 0
	}
	n.loop.modify(n.fd, n.handle, events)
}

// pause makes the listener leave new connections in the backlog until a descriptor is freed or acceptRetryDelay has passed.
func (n *Listener) pause() {
	if n.paused {
		return
	}
	n.paused = true
	n.updateInterest()
	resume := func() {
		if n.paused && !n.closed {
			n.paused = false
			n.updateInterest()
		}
	}
	n.loop.descriptors.onFreed = append(n.loop.descriptors.onFreed, resume)
	n.loop.At(n.loop.now+acceptRetryDelay, resume)
}

// Close closes the listener. Connections in the backlog are reset.
func (n *Listener) Close() {
	if !n.closed {
		n.closed = true
		n.loop.unregister(n.fd, n.handle, n.loop.system.Close)
	}
}

// Drain accepts the connections in the backlog, as soon as the limits allow, and then closes the listener.
func (n *Listener) Drain() {
	n.draining = true
	for !n.closed && !n.paused && n.acceptPending() {
	}
}

// Closed reports whether the listener is closed.
func (n *Listener) Closed() bool { return n.closed }
