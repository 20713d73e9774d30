package sim

import (
	"net/netip"
	"time"
)

// Link describes how bytes travel from one host to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // maximum of a random delay added for each segment
	Loss   float64       // probability that a segment or datagram is lost; a stream sends the segment again
	Resend time.Duration // delay after which a stream resends a lost segment
	Piece  int           // maximum bytes of a segment; 0: no maximum
	Cut    bool          // nothing arrives; streams resend until the link is restored

	Double  float64       // probability that a datagram arrives twice
	Reorder float64       // probability that a datagram is delayed further, so that later ones overtake it
	Late    time.Duration // maximum of that delay
	Rate    int           // bytes per second of a stream; 0: unlimited
	Refuse  bool          // connects are refused
}

// Plain is a link within one data centre.
var Plain = Link{Delay: 200 * time.Microsecond, Jitter: 100 * time.Microsecond, Resend: 200 * time.Millisecond, Piece: 16 << 10}

// route is the connection between a host and an address at which another host listens.
type route struct {
	caller  *Host
	address netip.AddrPort
}

// path is one direction of a route.
type path struct {
	route
	from, to *Host
	isReply  bool // from the listening host to the caller
}

// Join sets the link between two hosts, in both directions.
func (w *World) Join(a, b *Host, link Link) {
	w.links[[2]*Host{a, b}], w.links[[2]*Host{b, a}] = link, link
}

// OneWay sets the link from one host to another.
func (w *World) OneWay(from, to *Host, link Link) { w.links[[2]*Host{from, to}] = link }

// Bend sets the links between a host and an address at which another host listens, one for each direction. It overrides Join
// and OneWay.
func (w *World) Bend(caller *Host, address netip.AddrPort, request, reply Link) {
	w.routes[route{caller, address}] = [2]Link{request, reply}
}

// Straighten removes the links that Bend set.
func (w *World) Straighten(caller *Host, address netip.AddrPort) {
	delete(w.routes, route{caller, address})
}

// Break resets the established streams between a host and an address.
func (w *World) Break(caller *Host, address netip.AddrPort) {
	for fd := firstFD; fd < caller.nextFD; fd++ {
		if s := caller.sockets[fd]; s != nil && s.kind == streamSocket && s.path.route == (route{caller, address}) && !s.connecting {
			if p := s.peer; p != nil {
				p.receiveReset()
			}
			s.receiveReset()
		}
	}
}

// link returns the link that applies to a path now.
func (w *World) link(path path) Link {
	if l, found := w.routes[path.route]; found && path.isReply {
		return l[1]
	} else if found {
		return l[0]
	}
	if l, found := w.links[[2]*Host{path.from, path.to}]; found {
		return l
	}
	if w.Between != nil {
		if l, found := w.Between(path.from, path.to); found {
			return l
		}
	}
	return Plain
}
