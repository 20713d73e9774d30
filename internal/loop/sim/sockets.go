package sim

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/loop"
	"passtack/internal/slots"
)

const (
	window  = 64 << 10 // bytes of a stream that may be under way or unread
	backlog = 1024     // connections that wait to be taken in
)

type kind uint8

const (
	stream kind = iota
	listener
	datagrams
)

type packet struct {
	from netip.AddrPort
	text []byte
}

// socket is one descriptor.
type socket struct {
	host     *Host
	fd       int
	kind     kind
	at       netip.AddrPort
	way      way // of a stream: how what it sends goes
	handle   slots.Handle
	wants    uint32
	isActive bool
	closed   bool
	peer     *socket // of a stream; nil before it is known
	opening  bool
	failure  error // of a connect, or what a broken stream gives
	in       []byte
	underway int           // bytes that this end has sent and that have not been read
	ended    bool          // the other side sends no more
	saidEnd  bool          // this side sends no more
	latest   time.Duration // when the latest byte came
	last     time.Duration // when what was sent last arrives: order is kept
	waiting  []*socket     // of a listener
	packets  []packet
}

func (h *Host) add(s *socket) int {
	s.host, s.fd = h, h.next
	h.next++
	h.sockets[s.fd] = s
	return s.fd
}

// touch notes that the socket may be ready.
func (s *socket) touch() {
	s.host.change()
	if !s.isActive && !s.closed {
		s.isActive = true
		s.host.active = append(s.host.active, s)
	}
}

// ready is what of the socket is ready of that which is waited for.
func (s *socket) ready() (events uint32) {
	switch {
	case s.closed || s.wants == 0 && s.failure == nil:
		return 0
	case s.kind == listener && len(s.waiting) > 0, s.kind == datagrams && len(s.packets) > 0:
		events = unix.EPOLLIN
	case s.kind != stream:
		return 0
	case s.opening:
		return 0
	default:
		if len(s.in) > 0 || s.ended || s.failure != nil {
			events |= unix.EPOLLIN
		}
		if s.ended || s.failure != nil {
			events |= unix.EPOLLRDHUP
		}
		if s.failure != nil {
			events |= unix.EPOLLERR | unix.EPOLLHUP
		}
		if s.underway < window || s.failure != nil {
			events |= unix.EPOLLOUT
		}
	}
	return events & (s.wants | unix.EPOLLERR | unix.EPOLLHUP)
}

// Clock implements loop.System by simulated time and the host's offset.
func (h *Host) Clock() time.Duration { return h.world.now + h.Ahead }

// Held implements loop.System: a new process holds three descriptors.
func (h *Host) Held() (int, error) { return 3, nil }

// Ring implements loop.System.
func (h *Host) Ring() {
	h.bell = true
	h.change()
}

// Wait gives what is ready now: simulated time passes between turns only.
func (h *Host) Wait(events []loop.Event, most time.Duration) (n int, err error) {
	if h.bell {
		h.bell = false
		events[n] = loop.Event{}
		n++
	}
	kept := h.active[:0]
	for _, s := range h.active {
		ready := s.ready()
		if ready == 0 {
			s.isActive = false
			continue
		}
		kept = append(kept, s)
		if n < len(events) {
			events[n] = loop.Event{Handle: s.handle, Ready: ready}
			n++
		}
	}
	h.active = kept
	return n, nil
}

// Watch implements loop.System.
func (h *Host) Watch(fd int, handle slots.Handle, events uint32, anew bool) error {
	s := h.sockets[fd]
	if s == nil {
		return unix.EBADF
	}
	s.handle, s.wants = handle, events
	s.touch()
	return nil
}

// Listen implements loop.System.
func (h *Host) Listen(at netip.AddrPort) (int, error) { return h.bind(at, listener) }

// Receive implements loop.System.
func (h *Host) Receive(at netip.AddrPort) (int, error) { return h.bind(at, datagrams) }

func (h *Host) bind(at netip.AddrPort, k kind) (int, error) {
	if h.world.places[at] != nil {
		return 0, unix.EADDRINUSE
	}
	s := &socket{kind: k, at: at}
	h.world.places[at] = s
	return h.add(s), nil
}

// Dial sends word to the other host, which answers as soon as the word has come, whatever its program does.
func (h *Host) Dial(to netip.AddrPort) (int, error) {
	w := h.world
	s := &socket{kind: stream, opening: true, at: netip.AddrPortFrom(to.Addr(), uint16(w.ordinal))}
	w.ordinal++
	fd := h.add(s)
	place := w.places[to]
	if place == nil { // nobody has ever listened there, or no more
		w.at(w.now+2*Plain.Delay, func() { s.refuse(unix.ECONNREFUSED) })
		return fd, nil
	}
	s.way = way{road: road{h, to}, from: h, to: place.host}
	w.carry(s.way, 0, func() bool { return !s.closed }, 0, func() { w.knock(s, place, to) })
	return fd, nil
}

// knock lets a connect arrive. One that was given up meanwhile would be reset at once: it is not let in.
func (w *World) knock(s, place *socket, to netip.AddrPort) {
	if s.closed {
		return
	}
	target := w.places[to]
	back := way{road: s.way.road, from: place.host, to: s.host, back: true}
	if target == nil || target.kind != listener || len(target.waiting) >= backlog || w.link(s.way).Refuse {
		w.carry(back, 0, always, 0, func() { s.refuse(unix.ECONNREFUSED) })
		return
	}
	other := &socket{kind: stream, at: to, peer: s, latest: w.now, way: back}
	s.peer = other
	other.host = target.host
	target.waiting = append(target.waiting, other)
	target.touch()
	w.carry(back, 0, always, 0, func() {
		if !s.closed {
			s.opening, s.latest = false, w.now
			s.touch()
		}
	})
}

func (s *socket) refuse(cause error) {
	if !s.closed {
		s.opening, s.failure = false, cause
		s.touch()
	}
}

// Accept implements loop.System.
func (h *Host) Accept(fd int) (int, error) {
	s := h.sockets[fd]
	for s != nil && len(s.waiting) > 0 {
		other := s.waiting[0]
		s.waiting = s.waiting[1:]
		return h.add(other), nil
	}
	return 0, unix.EAGAIN
}

func always() bool { return true }

// carry lets something arrive at another host. What a stream sends arrives in order, however late; while the link is cut
// it is sent again for as long as its sender does that. A datagram is not (nil), and is gone.
func (w *World) carry(by way, after time.Duration, again func() bool, bytes int, arrive func()) (at time.Duration) {
	l := w.link(by)
	at = w.now + l.Delay
	if l.Jitter > 0 {
		at += time.Duration(w.chance.Float() * float64(l.Jitter))
	}
	for l.Loss > 0 && w.chance.Float() < l.Loss {
		if again == nil {
			return at
		}
		at += max(l.Resend, time.Millisecond)
	}
	if again == nil && l.Reorder > 0 && w.chance.Float() < l.Reorder {
		at += time.Duration(w.chance.Float() * float64(l.Late))
	}
	if at = max(at, after); l.Rate > 0 && bytes > 0 {
		at += time.Duration(bytes) * time.Second / time.Duration(l.Rate)
	}
	var land func()
	land = func() {
		if now := w.link(by); now.Cut {
			if again != nil && again() {
				w.at(w.now+max(now.Resend, time.Millisecond), land)
			}
			return
		}
		arrive()
	}
	w.at(at, land)
	if again == nil && l.Double > 0 && w.chance.Float() < l.Double {
		w.at(at+time.Duration(w.chance.Float()*float64(max(l.Late, l.Delay))), land)
	}
	return at
}

// toPeer lets something arrive at the other end behind all that was sent before.
func (s *socket) toPeer(bytes int, arrive func(p *socket)) {
	p := s.peer
	if p == nil {
		return
	}
	turn := s.last
	s.last = s.host.world.carry(s.way, turn, always, bytes, func() { arrive(p) })
	s.last = max(s.last, turn) + 1 // one behind the other
}

// Read implements loop.System.
func (h *Host) Read(fd int, into []byte) (int, error) {
	s := h.sockets[fd]
	switch {
	case s == nil:
		return 0, unix.EBADF
	case len(s.in) > 0:
		n := copy(into, s.in)
		if s.in = s.in[n:]; len(s.in) == 0 {
			s.in = nil
		}
		if p := s.peer; p != nil && !p.closed {
			p.underway -= n
			p.touch()
		}
		return n, nil
	case s.failure != nil:
		return 0, s.failure
	case s.ended:
		return 0, nil
	}
	return 0, unix.EAGAIN
}

// Write implements loop.System.
func (h *Host) Write(fd int, parts [][]byte) (int, error) {
	s := h.sockets[fd]
	switch {
	case s == nil:
		return 0, unix.EBADF
	case s.failure != nil:
		return 0, s.failure
	case s.saidEnd:
		return 0, unix.EPIPE
	}
	room, sent := window-s.underway, []byte(nil)
	for _, part := range parts {
		sent = append(sent, part[:min(len(part), max(room-len(sent), 0))]...)
	}
	if len(sent) == 0 {
		return 0, unix.EAGAIN
	}
	s.underway += len(sent)
	for rest := sent; len(rest) > 0; {
		piece := rest[:h.world.piece(s, len(rest))]
		rest = rest[len(piece):]
		s.toPeer(len(piece), func(p *socket) { p.take(piece) })
	}
	return len(sent), nil
}

// piece draws how much of a text goes at once.
func (w *World) piece(s *socket, most int) int {
	limit := most
	if s.peer != nil {
		if l := w.link(s.way); l.Piece > 0 {
			limit = min(limit, l.Piece)
		}
	}
	if limit > 1 && w.chance.Float() < 0.1 { // now and then a text comes in two
		return 1 + w.chance.Below(limit)
	}
	return limit
}

// take gets bytes of the other side; who has closed answers them with a reset.
func (s *socket) take(text []byte) {
	if s.closed {
		if p := s.peer; p != nil && !p.closed {
			s.toPeer(0, func(p *socket) { p.broken() })
		}
		return
	}
	s.in = append(s.in, text...)
	s.latest = s.host.world.now
	s.touch()
}

func (s *socket) broken() {
	if !s.closed && s.failure == nil {
		s.failure, s.in = unix.ECONNRESET, nil
		s.touch()
	}
}

// reset tells the other end that this one is gone.
func (s *socket) reset() {
	for _, o := range s.waiting {
		o.toPeer(0, func(p *socket) { p.broken() })
	}
	if s.kind == stream {
		s.toPeer(0, func(p *socket) { p.broken() })
	}
}

// Outcome implements loop.System.
func (h *Host) Outcome(fd int) error {
	if s := h.sockets[fd]; s != nil {
		return s.failure
	}
	return unix.EBADF
}

// Quiet implements loop.System.
func (h *Host) Quiet(fd int) bool {
	s := h.sockets[fd]
	return s != nil && len(s.in) == 0 && !s.ended && s.failure == nil
}

// Pending implements loop.System.
func (h *Host) Pending(fd int) bool {
	s := h.sockets[fd]
	return s != nil && len(s.in) > 0
}

// Arrived implements loop.System.
func (h *Host) Arrived(fd int) (ago time.Duration, ok bool) {
	if s := h.sockets[fd]; s != nil && s.latest != 0 {
		return (h.world.now - s.latest).Truncate(time.Millisecond), true
	}
	return 0, true
}

// Goodbye implements loop.System.
func (h *Host) Goodbye(fd int) {
	if s := h.sockets[fd]; s != nil && !s.saidEnd {
		s.saidEnd = true
		s.toPeer(0, func(p *socket) {
			p.ended = true
			p.touch()
		})
	}
}

// End implements loop.System.
func (h *Host) End() {}

// Abort ends a stream and lets the other side see that it was no planned end.
func (h *Host) Abort(fd int) {
	if s := h.sockets[fd]; s != nil {
		s.reset()
		s.saidEnd, s.in = true, nil
		h.Close(fd)
	}
}

// Close ends a socket; what was not read is answered with a reset, as the kernel does.
func (h *Host) Close(fd int) {
	s := h.sockets[fd]
	if s == nil {
		return
	}
	if s.kind != stream {
		delete(h.world.places, s.at)
		s.reset()
	} else if len(s.in) > 0 {
		s.reset()
	} else {
		h.Goodbye(fd)
	}
	s.closed = true
	delete(h.sockets, fd)
}

// Take implements loop.System.
func (h *Host) Take(fd int, into []byte) (int, netip.AddrPort, error) {
	s := h.sockets[fd]
	if s == nil || len(s.packets) == 0 {
		return 0, netip.AddrPort{}, unix.EAGAIN
	}
	p := s.packets[0]
	s.packets = s.packets[1:]
	return copy(into, p.text), p.from, nil
}

// Send implements loop.System.
func (h *Host) Send(fd int, to netip.AddrPort, text []byte) {
	if h.world.Posted != nil {
		h.world.Posted(h, to, text)
	}
	if s := h.sockets[fd]; s != nil {
		for _, each := range h.world.crowds[to] {
			if each != s.at {
				h.post(fd, each, text)
			}
		}
	}
	h.post(fd, to, text)
}

func (h *Host) post(fd int, to netip.AddrPort, text []byte) {
	s, place := h.sockets[fd], h.world.places[to]
	if s == nil || place == nil {
		return
	}
	p := packet{s.at, append([]byte(nil), text...)}
	h.world.carry(way{road: road{h, to}, from: h, to: place.host}, 0, nil, len(text), func() {
		if o := h.world.places[to]; o != nil && o.kind == datagrams && len(o.packets) < backlog {
			o.packets = append(o.packets, p)
			o.touch()
		}
	})
}
