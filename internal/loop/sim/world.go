// Package sim is a network of hosts in simulated time. Each host is a loop.System, so that what runs on a loop runs
// here unchanged, many programs in one process. One seed gives one course: nothing here asks the real clock, and whatever
// happens at one moment happens in one order.
package sim

import (
	"net/netip"
	"slices"
	"time"

	"passtack/internal/due"
	"passtack/internal/loop"
	"passtack/internal/pcg"
)

// Link is how bytes go from one host to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // at most as much more, for each piece anew
	Loss   float64       // part of the pieces that are lost: a stream sends them again later, a datagram is gone
	Resend time.Duration // after which a stream sends again what was lost
	Piece  int           // bytes that go at once at most; less is drawn
	Cut    bool          // nothing arrives until it is mended

	Double  float64       // part of the datagrams that arrive twice
	Reorder float64       // part of the datagrams that others overtake
	Late    time.Duration // by which those are overtaken at most
	Rate    int           // bytes a second that a stream carries; 0: as many as come
	Refuse  bool          // no connection is taken
}

// Plain is a link within one data centre.
var Plain = Link{Delay: 200 * time.Microsecond, Jitter: 100 * time.Microsecond, Resend: 200 * time.Millisecond, Piece: 16 << 10}

// World is simulated time.
type World struct {
	now     time.Duration
	chance  *pcg.Source
	queue   due.Queue[func()]
	hosts   []*Host
	wakes   due.Queue[*Host]           // hosts by when they have something to do
	touched []*Host                    // of which that may not hold any more, since the latest look
	changed []*Host                    // and before it, each once
	turns   []*Host                    // of this moment
	places  map[netip.AddrPort]*socket // who listens, or takes datagrams
	links   map[[2]*Host]Link
	roads   map[road][2]Link
	crowds  map[netip.AddrPort][]netip.AddrPort
	ordinal int

	Between func(from, to *Host) (Link, bool)                // how bytes go where nothing else is said; false: Plain
	Posted  func(from *Host, to netip.AddrPort, text []byte) // hears of each datagram as it is sent, once if it is for a crowd
}

// road is the way between a host and one of the places that another host listens at.
type road struct {
	caller *Host
	place  netip.AddrPort
}

// way is one direction of it.
type way struct {
	road
	from, to *Host
	back     bool
}

// New makes a world whose clock stands at start, counted as Unix time.
func New(seed uint64, start time.Duration) *World {
	return &World{now: start, chance: pcg.New(seed), places: make(map[netip.AddrPort]*socket), links: make(map[[2]*Host]Link), roads: make(map[road][2]Link),
		crowds: make(map[netip.AddrPort][]netip.AddrPort)}
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

// At calls once the time has come.
func (w *World) At(at time.Duration, act func()) {
	w.at(at, func() {
		act()
		w.allChanged() // it may have touched anything
	})
}

// at is At for what tells of each host that it changes.
func (w *World) at(at time.Duration, act func()) { w.queue.Push(max(at, w.now), act) }

// Hosts are the machines, as they were added.
func (w *World) Hosts() []*Host { return w.hosts }

// Host adds a machine.
func (w *World) Host(name string) *Host {
	h := &Host{Name: name, world: w, number: len(w.hosts), sockets: make(map[int]*socket), next: 3, Cost: 20 * time.Microsecond}
	w.hosts = append(w.hosts, h)
	return h
}

// Join says how bytes go between two hosts, both ways.
func (w *World) Join(a, b *Host, l Link) { w.links[[2]*Host{a, b}], w.links[[2]*Host{b, a}] = l, l }

// OneWay says how bytes go from one host to another.
func (w *World) OneWay(from, to *Host, l Link) { w.links[[2]*Host{from, to}] = l }

// Bend says how bytes go between a host and a place that another listens at, there and back. It goes over what Join says.
func (w *World) Bend(caller *Host, place netip.AddrPort, there, back Link) {
	w.roads[road{caller, place}] = [2]Link{there, back}
}

// Crowd lets datagrams to an address go to each of some places but the sender's own.
func (w *World) Crowd(at netip.AddrPort, places []netip.AddrPort) { w.crowds[at] = places }

// Straighten takes back what Bend said.
func (w *World) Straighten(caller *Host, place netip.AddrPort) { delete(w.roads, road{caller, place}) }

// Break resets the streams between a host and a place.
func (w *World) Break(caller *Host, place netip.AddrPort) {
	for fd := 3; fd < caller.next; fd++ {
		if s := caller.sockets[fd]; s != nil && s.kind == stream && s.way.road == (road{caller, place}) && !s.opening {
			if p := s.peer; p != nil {
				p.broken()
			}
			s.broken()
		}
	}
}

func (w *World) link(by way) Link {
	if l, told := w.roads[by.road]; told && by.back {
		return l[1]
	} else if told {
		return l[0]
	}
	if l, told := w.links[[2]*Host{by.from, by.to}]; told {
		return l
	}
	if w.Between != nil {
		if l, told := w.Between(by.from, by.to); told {
			return l
		}
	}
	return Plain
}

// Run goes on until the time, or until nothing is left that could happen.
func (w *World) Run(until time.Duration) {
	w.allChanged() // by whoever called
	for {
		for act, ok := w.queue.Pop(w.now); ok; act, ok = w.queue.Pop(w.now) {
			act()
		}
		w.turn()
		next, any := w.queue.First()
		if at, ok := w.wakes.First(); ok && (!any || at < next) {
			next, any = at, true
		}
		if !any || next > until {
			w.now = max(w.now, until)
			return
		}
		w.now = max(w.now, next)
	}
}

// turn lets each host that has something to do now turn once, in the order of their numbers. One that another has given something to do in
// this turn has its own yet if its number is the higher one.
func (w *World) turn() {
	w.look(nil)
	w.order()
	w.turns = w.turns[:0]
	for h, ok := w.wakes.Pop(w.now); ok; h, ok = w.wakes.Pop(w.now) {
		h.wake = nil
		w.turns = append(w.turns, h)
	}
	slices.SortFunc(w.turns, byNumber)
	for i := 0; i < len(w.turns); i++ {
		h := w.turns[i]
		h.turn()
		h.change()
		w.look(h)
	}
	w.order()
}

func byNumber(a, b *Host) int { return a.number - b.number }

// look notes who was touched; who has something to do now and comes behind a host whose turn it was, has its own next.
func (w *World) look(behind *Host) {
	for _, h := range w.touched {
		if !h.changed {
			h.changed = true
			w.changed = append(w.changed, h)
		}
		if behind == nil || h.number <= behind.number {
			continue
		}
		if at, ok := h.wakes(); ok && at <= w.now {
			if place, there := slices.BinarySearchFunc(w.turns, h, byNumber); !there {
				w.turns = slices.Insert(w.turns, place, h)
			}
		}
	}
	w.touched = w.touched[:0]
}

// order brings the order of wakes up to date.
func (w *World) order() {
	for _, h := range w.changed {
		h.changed = false
		w.wakes.Remove(h.wake)
		h.wake = nil
		if at, ok := h.wakes(); ok {
			h.wake = w.wakes.Push(at, h)
		}
	}
	w.changed = w.changed[:0]
}

func (w *World) allChanged() {
	for _, h := range w.hosts {
		h.change()
	}
}

// Host is one machine with one program on its loop.
type Host struct {
	Name  string
	Cost  time.Duration // of a turn of its loop, in which it does nothing else
	Turns int           // of its loops so far
	Ahead time.Duration // of the world's clock, by which its own is; to be set before its loop is made

	world   *World
	number  int
	wake    *due.Item[*Host] // nil: it has nothing to do, or is having its turn
	changed bool             // it is among those
	loop    *loop.Loop
	rung    func()
	bell    bool
	sockets map[int]*socket
	next    int       // descriptor
	active  []*socket // that may be ready, in the order in which they came to be
	free    time.Duration
	paused  time.Duration // until when the program stands still
	dead    bool
}

// Serve lets the world turn a loop that was made on this host. Rung is called after each Ring.
func (h *Host) Serve(l *loop.Loop, rung func()) {
	h.loop, h.rung = l, rung
	h.change()
}

// Do lets the program's loop call, in its next turn.
func (h *Host) Do(act func()) {
	if h.loop != nil {
		h.loop.At(h.world.now+h.Ahead, act)
		h.change()
	}
}

// Pause lets the program stand still; its machine goes on taking what comes.
func (h *Host) Pause(until time.Duration) {
	h.paused = max(h.paused, until)
	h.change()
}

// Kill ends the program at once: its connections are reset and new ones refused.
func (h *Host) Kill() {
	h.dead, h.loop = true, nil
	h.change()
	for fd := 3; fd < h.next; fd++ {
		if s := h.sockets[fd]; s != nil {
			s.reset()
			h.Close(fd)
		}
	}
	h.active = nil
}

// Start lets another program run on the host.
func (h *Host) Start() { h.dead = false }

// change notes that the host may have something to do at another time than before.
func (h *Host) change() {
	if w := h.world; len(w.touched) == 0 || w.touched[len(w.touched)-1] != h {
		w.touched = append(w.touched, h)
	}
}

// wakes tells when the host has something to do.
func (h *Host) wakes() (at time.Duration, ok bool) {
	if h.loop == nil || h.loop.Stopped() {
		return 0, false
	}
	if h.bell || h.anyReady() {
		at, ok = h.world.now, true
	} else if at, ok = h.loop.NextDue(); !ok {
		return 0, false
	} else {
		at -= h.Ahead
	}
	return max(at, h.free, h.paused), true
}

func (h *Host) anyReady() bool {
	for _, s := range h.active {
		if s.ready() != 0 {
			return true
		}
	}
	return false
}

func (h *Host) turn() {
	if at, ok := h.wakes(); !ok || at > h.world.now {
		return
	}
	h.free = h.world.now + h.Cost
	h.Turns++
	h.loop.Turn(0, h.rung)
}
