package sim

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slotmap"
)

const (
	sendWindow = 64 << 10 // maximum bytes of a stream that are in flight or unread
	maxQueued  = 1024     // maximum number of connections in a backlog, and of unread datagrams of a socket
)

// socketKind tells streams, listeners and datagram sockets apart.
type socketKind uint8

const (
	streamSocket socketKind = iota
	listenerSocket
	datagramSocket
)

// socket is one descriptor of a host, or a connection in the backlog of a listener.
type socket struct {
	host     *Host
	fd       int
	kind     socketKind
	address  netip.AddrPort
	handle   slotmap.Handle
	interest uint32 // events passed to Watch
	active   bool   // the socket is in Host.active
	closed   bool

	streamState
	pending   []*socket  // backlog of a listener, not yet accepted
	datagrams []datagram // unread datagrams of a datagram socket
}

// streamState is one end of a stream.
type streamState struct {
	path        path    // path to the peer
	peer        *socket // other end; nil until the connect has arrived
	connecting  bool
	failure     error         // error that ended the connect or the stream
	received    []byte        // bytes that arrived and are not read
	receivedAt  time.Duration // time at which the latest bytes arrived
	peerEnded   bool          // the peer has shut down its sending side
	inFlight    int           // number of bytes sent that the peer's program has not read
	lastArrival time.Duration // arrival time of the latest segment sent; later segments arrive after it
	writeEnded  bool          // this end has shut down its sending side
}

// open assigns a new descriptor of the host to a socket.
func (h *Host) open(s *socket) int {
	s.host, s.fd = h, h.nextFD
	h.nextFD++
	h.sockets[s.fd] = s
	return s.fd
}

// markActive records that the socket may be ready.
func (s *socket) markActive() {
	s.host.touch()
	if !s.active && !s.closed {
		s.active = true
		s.host.active = append(s.host.active, s)
	}
}

// readyEvents returns the events that are ready among those that the loop waits for. Errors and hangups are always included.
func (s *socket) readyEvents() (events uint32) {
	switch {
	case s.closed || s.interest == 0 && s.failure == nil:
		return 0
	case s.kind == listenerSocket && len(s.pending) > 0, s.kind == datagramSocket && len(s.datagrams) > 0:
		events = unix.EPOLLIN
	case s.kind != streamSocket:
		return 0
	case s.connecting:
		return 0
	default:
		if len(s.received) > 0 || s.peerEnded || s.failure != nil {
			events |= unix.EPOLLIN
		}
		if s.peerEnded || s.failure != nil {
			events |= unix.EPOLLRDHUP
		}
		if s.failure != nil {
			events |= unix.EPOLLERR | unix.EPOLLHUP
		}
		if s.inFlight < sendWindow || s.failure != nil {
			events |= unix.EPOLLOUT
		}
	}
	return events & (s.interest | unix.EPOLLERR | unix.EPOLLHUP)
}
