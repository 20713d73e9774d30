// Package sim simulates a network of hosts. Each host implements loop.System in simulated time, so a program that runs on a
// loop runs here unchanged, and several run in one process. The course of events is determined by the seed: nothing uses the
// real clock, and simultaneous events have a fixed order.
package sim

import (
	"net/netip"
	"time"

	"passtack/internal/due"
	"passtack/internal/pcg"
)

// World is the simulated time and the network between its hosts.
type World struct {
	now       time.Duration // since the Unix epoch
	random    *pcg.Source
	callbacks due.Queue[func()]
	hosts     []*Host // by number

	wakeups  due.Queue[*Host] // hosts by the time of their next iteration
	touched  []*Host          // since collectTouched was last called; their wakeups may be outdated
	stale    []*Host          // collected from touched, each once, until updateWakeups
	runnable []*Host          // that run at the present time, by number

	bound     map[netip.AddrPort]*socket // listeners and datagram sockets
	links     map[[2]*Host]Link
	routes    map[route][2]Link // request and reply direction
	multicast map[netip.AddrPort][]netip.AddrPort
	dialCount int // makes the addresses of dialed streams distinct

	// DefaultLink gives the link between two hosts for which none was set; if it is nil or returns false, the link is LocalLink.
	DefaultLink func(from, to *Host) (Link, bool)
	// OnDatagram is called for each datagram that is sent; once for a datagram to a multicast address.
	OnDatagram func(from *Host, to netip.AddrPort, payload []byte)
}

// New makes a world whose clock begins at start, the time since the Unix epoch.
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

// At schedules callback, which may change anything in the world. A time in the past stands for now.
func (w *World) At(when time.Duration, callback func()) {
	w.schedule(when, func() {
		callback()
		w.touchAll()
	})
}

// schedule is like At, for a callback that touches each host that it changes.
func (w *World) schedule(when time.Duration, callback func()) {
	w.callbacks.Push(max(when, w.now), callback)
}
