// Package sim simulates a network of hosts. Each host implements eventloop.System in simulated time, so that programs written for
// a loop run on it unchanged, several of them in one process. The seed determines the whole run: nothing uses the real clock,
// and simultaneous events have a fixed order.
package sim

import (
	"net/netip"
	"time"

	"passtack/internal/pcg"
	"passtack/internal/timerqueue"
)

// World holds the simulated time, the hosts and the network between them.
type World struct {
	now       time.Duration // since the Unix epoch
	random    *pcg.Source
	callbacks timerqueue.Queue[func()]
	hosts     []*Host // index: Host.number

	wakeups  timerqueue.Queue[*Host] // hosts by the time of their next iteration
	touched  []*Host                 // hosts touched since the last collectTouched; their wakeups may be outdated
	stale    []*Host                 // hosts collected from touched, each once, until the next updateWakeups
	runnable []*Host                 // hosts that run at the present time, in order of their number

	bound     map[netip.AddrPort]*socket // listeners and datagram sockets
	links     map[[2]*Host]Link
	routes    map[route][2]Link                   // links of the request and the reply direction
	multicast map[netip.AddrPort][]netip.AddrPort // members by multicast address
	dialCount int                                 // number of dials; makes the addresses of dialed streams distinct

	// DefaultLink returns the link between two hosts for which none was set. If it is nil or returns false, the link is
	// LocalLink.
	DefaultLink func(from, to *Host) (Link, bool)
	// OnDatagram, if not nil, is called for each datagram that is sent, and only once for a datagram to a multicast address.
	OnDatagram func(from *Host, to netip.AddrPort, payload []byte)
}

// New creates a world whose clock starts at the given time since the Unix epoch.
func New(seed uint64, start time.Duration) *World {
	return &World{
		now:       start,
		random:    pcg.New(seed),
		bound:     make(map[netip.AddrPort]*socket),
		links:     make(map[[2]*Host]Link),
		routes:    make(map[route][2]Link),
		multicast: make(map[netip.AddrPort][]netip.AddrPort),
	}
}

// Now returns the simulated time since the Unix epoch.
func (w *World) Now() time.Duration { return w.now }

// At schedules callback, which may change anything in the world. If the time has passed, callback runs at the present time.
func (w *World) At(when time.Duration, callback func()) {
	w.schedule(when, func() {
		callback()
		w.touchAll()
	})
}

// schedule is like At, but callback must call touch for each host that it changes.
func (w *World) schedule(when time.Duration, callback func()) {
	w.callbacks.Push(max(when, w.now), callback)
}
