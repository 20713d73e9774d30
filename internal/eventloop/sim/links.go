package sim

import (
	"net/netip"
	"time"
)

// Link describes how segments and datagrams travel from one host to another.
type Link struct {
	Delay       time.Duration // one-way delay
	Jitter      time.Duration // maximum of the random delay that is added for each segment or datagram
	Loss        float64       // probability that a segment or datagram is lost; a stream resends a lost segment
	ResendDelay time.Duration // delay after which a stream resends a lost segment
	MaxSegment  int           // maximum bytes of a segment; 0: no maximum
	Cut         bool          // nothing arrives, and streams resend until the link is restored

	Duplicate      float64       // probability that a datagram arrives twice
	Reorder        float64       // probability that a datagram is delayed further, so that later ones overtake it
	ReorderDelay   time.Duration // maximum of the further delay
	BytesPerSecond int           // bandwidth in bytes per second; 0: unlimited
	RefuseConnects bool          // connects are refused
}

// LocalLink is the link between two hosts in the same data centre.
var LocalLink = Link{Delay: 200 * time.Microsecond, Jitter: 100 * time.Microsecond, ResendDelay: 200 * time.Millisecond, MaxSegment: 16 << 10}

// route identifies the traffic between a host and an address at which another host listens.
type route struct {
	caller  *Host
	address netip.AddrPort
}

// path is one direction of a route.
type path struct {
	route
	from, to *Host
	isReply  bool // direction from the listening host to the caller
}

// SetLink sets the link between two hosts, in both directions.
func (w *World) SetLink(a, b *Host, link Link) {
	w.links[[2]*Host{a, b}], w.links[[2]*Host{b, a}] = link, link
}

// SetLinkOneWay sets the link from one host to another, in this direction only.
func (w *World) SetLinkOneWay(from, to *Host, link Link) { w.links[[2]*Host{from, to}] = link }

// SetRoute sets the links between a host and an address at which another host listens, one for each direction. They take
// precedence over links set by SetLink and SetLinkOneWay.
func (w *World) SetRoute(caller *Host, address netip.AddrPort, request, reply Link) {
	w.routes[route{caller, address}] = [2]Link{request, reply}
}

// ClearRoute removes the links set by SetRoute.
func (w *World) ClearRoute(caller *Host, address netip.AddrPort) {
	delete(w.routes, route{caller, address})
}

// ResetRoute resets the established streams between a host and an address at which another host listens.
func (w *World) ResetRoute(caller *Host, address netip.AddrPort) {
	for fd := firstFD; fd < caller.nextFD; fd++ {
		if s := caller.sockets[fd]; s != nil && s.kind == streamSocket && s.path.route == (route{caller, address}) && !s.connecting {
			if p := s.peer; p != nil {
				p.receiveReset()
			}
			s.receiveReset()
		}
	}
}

// link returns the link that currently applies to a path.
func (w *World) link(path path) Link {
	if l, found := w.routes[path.route]; found && path.isReply {
		return l[1]
	} else if found {
		return l[0]
	}
	if l, found := w.links[[2]*Host{path.from, path.to}]; found {
		return l
	}
	if w.DefaultLink != nil {
		if l, found := w.DefaultLink(path.from, path.to); found {
			return l
		}
	}
	return LocalLink
}
