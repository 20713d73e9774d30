package loop

import (
	"errors"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slots"
)

// Handler handles the events of one stream. All its methods are called on the loop's goroutine.
type Handler interface {
	Opened()              // a connect has succeeded
	Input(in []byte) int  // the bytes received and not yet consumed; returns how many it has consumed
	Closed(cause error)   // by the other side or by an error; the stream is closed already
	Panicked(cause error) // a panic while the stream was served; the handler sends its last answer and closes
}

// HalfCloser is a handler that may still owe an answer when the other side has ended its sending side. It begins nothing new
// for that side and returns bytes that are harmless to send: a peer that has closed answers them with a reset, one that still
// reads ignores them. Nil means that nothing is owed, or that nothing harmless can be sent.
type HalfCloser interface {
	Parting(pending bool) []byte // pending: bytes have come that were not read
}

// ErrNoRoom tells that all descriptors are in use.
var ErrNoRoom = errors.New("no descriptor is free")

var errCutShort = errors.New("it ended before all was read")

const (
	common = 8 << 10 // bytes of a read buffer
	spared = 4       // the part of the bytes for long messages that unused read buffers may take
)

// Stream is one TCP connection.
type Stream struct {
	loop    *Loop
	fd      int
	handle  slots.Handle
	handler Handler
	from    *Listener // that took it in, if any
	opening bool
	parted  bool // the other side sends no more, and may read on
	weighed bool // it does read on
	spent   bool // all that it sent has been read
	full    bool // reading rests, since the buffer is full
	starved bool // reading rests, since all buffers together are full
	last    bool // closes once all is written
	closed  bool
	busy    bool   // its handler is looking at the input
	buffer  []byte // read and not taken, from taken on
	taken   int
	most    int // bytes that buffer may hold
	out     []byte
	heavy   int // bytes of out past the common size, as the loop knows of
	written int // bytes of out that are gone
	rest    [1][]byte

	came     int64         // bytes of input, of all that ever came
	arrivals []arrival     // of what was not taken, in order
	grain    time.Duration // by how much too early an arrival may be told, as there were many
	behind   time.Duration // since when input has waited in the kernel, as reading rested; 0: it does not
}

// arrival tells when input came, up to a place that is counted from the start of the stream.
type arrival struct {
	upTo int64
	at   time.Duration
}

const mostArrivals = 64 // of one stream; where it gets more, those close to each other are one and count from the earliest

func (l *Loop) stream(fd int, handler Handler, most int, opening bool) (*Stream, error) {
	s := &Stream{loop: l, fd: fd, handler: handler, most: most, opening: opening}
	var err error
	if s.handle, err = l.add(fd, s, s.interest()); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return s, nil
}

// Dial begins a connect; the handler is told how it ends. No more than most bytes of input are held.
func (l *Loop) Dial(to netip.AddrPort, handler Handler, most int) (*Stream, error) {
	return l.dial(to, handler, most, l.kept)
}

// DialKept is Dial that may take one of the descriptors that are kept back: without it nothing else goes on.
func (l *Loop) DialKept(to netip.AddrPort, handler Handler, most int) (*Stream, error) {
	return l.dial(to, handler, most, 0)
}

func (l *Loop) dial(to netip.AddrPort, handler Handler, most, kept int) (*Stream, error) {
	if !l.room(kept) {
		return nil, ErrNoRoom
	}
	fd, err := l.system.Dial(to)
	if err != nil {
		return nil, err
	}
	return l.stream(fd, handler, most, true)
}

func (s *Stream) interest() uint32 {
	events := uint32(ended)
	if s.parted || s.starved && s.from == nil { // it is told of for as long as the stream stands
		events = 0
	}
	if !s.full && !s.starved && !s.opening && !s.last && (!s.parted || s.weighed && !s.spent) {
		events |= readable
	}
	if s.opening || s.Unsent() > 0 {
		events |= writable
	}
	return events
}

func (s *Stream) update() {
	if !s.closed {
		s.loop.change(s.fd, s.handle, s.interest())
	}
}

func (s *Stream) ready(events uint32) {
	if s.opening {
		s.opened()
		return
	}
	if events&writable != 0 {
		s.flush()
	}
	if s.closed {
		return
	}
	if s.leaves(events) {
		s.parts(events)
		return
	}
	if events&readable != 0 && !s.full && !s.starved && !s.last {
		s.read()
	} else if events&broken != 0 || events&ended != 0 && !s.starved { // what was not read is lost: that is no end
		s.fail(errCutShort)
	}
}

// leaves tells of a client that has gone, or sends no more.
func (s *Stream) leaves(events uint32) bool {
	return s.from != nil && !s.opening && events&(ended|broken) != 0
}

// readsOn is how long a client that sends no more is given to answer with a reset. Until then nothing more of it is
// read, and nothing that waits has gone on for longer than it may after a client has gone.
const readsOn = 50 * time.Millisecond

// parts ends the stream of a client that has gone: who came and left waits for nothing, whatever was said. Who only ended
// the sending side and reads on is owed what it asked for.
func (s *Stream) parts(events uint32) {
	if s.parted && events&broken == 0 {
		return
	}
	if p, ok := s.handler.(HalfCloser); ok && !s.parted && !s.last && events&broken == 0 {
		if words := p.Parting(s.loop.system.Pending(s.fd)); words != nil {
			s.parted = true
			s.Send(words)
			s.update()
			s.loop.At(s.loop.now+readsOn, func() {
				s.weighed = true
				s.update()
				s.Look()
			})
			return
		}
	}
	s.fail(io.EOF)
}

// Weighs tells that the other side sends no more, and it is not yet known whether it reads on: nothing more is begun for it.
func (s *Stream) Weighs() bool { return s.parted && !s.weighed }

// Spent tells that the other side has sent all that it will, and that all of it was read.
func (s *Stream) Spent() bool { return s.spent }

func (s *Stream) broken(cause error) {
	if s.busy = false; !s.closed {
		s.handler.Panicked(cause)
	}
}

func (s *Stream) opened() {
	err := s.loop.system.Outcome(s.fd)
	if err != nil {
		s.fail(err)
		return
	}
	s.opening = false
	s.update()
	s.handler.Opened()
}

// passes tells of an error of read or write that says nothing of the connection: the call is made again.
func passes(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR || err == unix.ENOBUFS || err == unix.ENOMEM
}

func (s *Stream) read() {
	if !s.space() {
		s.starved = true
		s.fallBehind()
		s.loop.starved = append(s.loop.starved, s)
		s.update()
		return
	}
	n, err := s.loop.system.Read(s.fd, s.buffer[len(s.buffer):cap(s.buffer)])
	switch {
	case passes(err):
		return
	case err != nil:
		s.fail(err)
		return
	case n == 0 && s.parted:
		s.spent = true
		if s.update(); s.handler.(HalfCloser).Parting(false) == nil {
			s.fail(io.EOF)
		}
		return
	case n == 0:
		s.fail(io.EOF)
		return
	}
	s.buffer = s.buffer[:len(s.buffer)+n]
	if s.from != nil {
		s.arrived(n)
	}
	s.Look()
}

// arrived notes when the input came that was just read.
func (s *Stream) arrived(n int) {
	s.came += int64(n)
	taken := s.came - int64(len(s.Unread()))
	for len(s.arrivals) > 0 && s.arrivals[0].upTo <= taken {
		s.arrivals = append(s.arrivals[:0], s.arrivals[1:]...)
	}
	at := s.loop.before // where the system does not tell: no earlier than the turn before, which would have read it
	if ago, ok := s.loop.system.Arrived(s.fd); ok {
		at = s.loop.now - ago
	}
	if s.behind > 0 {
		if at = min(at, s.behind); !s.loop.system.Pending(s.fd) { // all that waited has been read
			s.behind = 0
		}
	}
	s.arrivals = joined(append(s.arrivals, arrival{s.came, at}), s.grain)
	for len(s.arrivals) > mostArrivals {
		s.grain = max(2*s.grain, time.Millisecond)
		s.arrivals = joined(s.arrivals, s.grain)
	}
}

// joined makes one of arrivals that are no more than grain apart, in place; it has the earliest of their times.
func joined(all []arrival, grain time.Duration) []arrival {
	kept := all[:1]
	for _, a := range all[1:] {
		if last := &kept[len(kept)-1]; a.at <= last.at+grain {
			last.upTo = a.upTo
		} else {
			kept = append(kept, a)
		}
	}
	return kept
}

// fallBehind notes that reading rests: what comes from now on may have come at any time since.
func (s *Stream) fallBehind() {
	if s.behind == 0 {
		s.behind = s.loop.now
	}
}

// Came tells when the last of the first n bytes of Unread came, in the kernel or before it was taken in; of what came while
// reading rested, when that began. Only streams that a listener took in know.
func (s *Stream) Came(n int) time.Duration {
	place := s.came - int64(len(s.Unread())-n)
	for _, a := range s.arrivals {
		if place <= a.upTo {
			return a.at
		}
	}
	return s.loop.now
}

// space leaves some room behind what was read, if there is any to be had.
func (s *Stream) space() bool {
	if s.buffer == nil {
		if n := len(s.loop.spare); n > 0 {
			s.buffer, s.loop.spare = s.loop.spare[n-1], s.loop.spare[:n-1]
		} else {
			s.buffer = make([]byte, 0, common)
		}
	}
	if len(s.buffer) < cap(s.buffer) {
		return true
	}
	if s.taken > 0 {
		s.buffer, s.taken = s.buffer[:copy(s.buffer, s.buffer[s.taken:])], 0
		return true
	}
	size := min(2*cap(s.buffer), s.most)
	more := size - cap(s.buffer)
	if s.loop.larger+more > s.loop.budget || s.from != nil && !s.from.bears(more) {
		return false
	}
	s.weigh(more)
	larger := make([]byte, len(s.buffer), size)
	copy(larger, s.buffer)
	s.buffer = larger
	return true
}

// Look shows the handler what has not been taken.
func (s *Stream) Look() {
	if s.busy || s.closed {
		return
	}
	s.busy = true
	for !s.closed && s.taken < len(s.buffer) {
		used := s.handler.Input(s.buffer[s.taken:])
		if s.closed || used == 0 {
			break
		}
		s.taken += used
	}
	s.busy = false
	if s.closed {
		return
	}
	if s.taken == len(s.buffer) {
		s.release()
	}
	if full := len(s.buffer)-s.taken >= s.most; full != s.full {
		if s.full = full; full {
			s.fallBehind()
		}
		s.update()
	}
}

// Rests tells that nothing more is read for now, though it may have come.
func (s *Stream) Rests() bool { return s.full || s.starved }

// Unread is what has been read and not taken.
func (s *Stream) Unread() []byte { return s.buffer[s.taken:] }

// Skip takes input that the handler had left; Look then shows it the rest.
func (s *Stream) Skip(n int) { s.taken += n }

func (s *Stream) release() {
	l := s.loop
	if cap(s.buffer) == common {
		if len(l.spare) < max(l.budget/spared/common, 1) {
			l.spare = append(l.spare, s.buffer[:0])
		}
	} else if s.buffer != nil {
		s.weigh(common - cap(s.buffer))
	}
	s.buffer, s.taken = nil, 0
	s.grain = 0
	if s.arrivals = s.arrivals[:0]; cap(s.arrivals) > 4 {
		s.arrivals = nil
	}
}

// weigh counts what this stream's buffers take past the common size.
func (s *Stream) weigh(more int) {
	if s.from != nil {
		s.from.larger += more
	}
	s.loop.weigh(more)
}

// weigh counts what buffers take past the common size; what gets lighter lets others read on.
func (l *Loop) weigh(more int) {
	if l.larger += more; more >= 0 {
		return
	}
	waiting := l.starved
	l.starved = nil
	for _, o := range waiting {
		o.starved = false
		o.update()
	}
}

// weighOut counts what the other side has not taken yet. It is taken from the answers in any case; while it is too
// much, no more of them are read.
func (s *Stream) weighOut() {
	heavy := max(cap(s.out)-common, 0)
	if s.closed {
		s.out, heavy = nil, 0
	}
	if more := heavy - s.heavy; more != 0 {
		s.heavy = heavy
		s.weigh(more)
	}
}

// Send writes the parts at once as far as the other side takes them, and the rest when it does.
func (s *Stream) Send(parts ...[]byte) {
	if s.closed {
		return
	}
	sent := 0
	var err error
	if !s.opening && s.Unsent() == 0 {
		if sent, err = s.loop.system.Write(s.fd, parts); err != nil {
			sent = 0
		}
	}
	for _, part := range parts {
		gone := min(sent, len(part))
		sent -= gone
		s.out = append(s.out, part[gone:]...)
	}
	s.weighOut()
	if err != nil && !passes(err) {
		s.loop.Later(func() { s.fail(err) })
	} else if s.Unsent() > 0 {
		s.update()
	}
}

// Unsent counts the bytes that the other side has not taken yet.
func (s *Stream) Unsent() int { return len(s.out) - s.written }

func (s *Stream) flush() {
	s.rest[0] = s.out[s.written:]
	n, err := s.loop.system.Write(s.fd, s.rest[:])
	if passes(err) {
		return
	} else if err != nil {
		s.fail(err)
		return
	}
	if s.written += n; s.Unsent() > 0 {
		return
	}
	s.written = 0
	if s.out = s.out[:0]; cap(s.out) > common {
		s.out = nil
	}
	s.weighOut()
	s.update()
	if s.last {
		s.goodbye()
		return
	}
	s.Look() // an handler may have waited for this with more input
}

// Alive looks whether the other side has closed the stream or said something that was not read yet.
func (s *Stream) Alive() bool {
	return !s.closed && s.loop.system.Quiet(s.fd)
}

const (
	linger = 100 * time.Millisecond // the other side may take to see the end of a stream
	unread = 2 * time.Second        // it may take to read what comes before the end
)

// CloseWhenSent says goodbye once all is written; the handler is told when the other side has seen it. Nothing more
// is read: what crosses the goodbye was not taken, and the other side can tell that. To close at once would
// answer it with a reset, which can overtake what was said.
func (s *Stream) CloseWhenSent() {
	if s.last || s.closed {
		return
	}
	s.last = true
	s.update()
	if s.Unsent() == 0 {
		s.goodbye()
	} else {
		s.loop.At(s.loop.now+unread, func() { s.fail(nil) })
	}
}

func (s *Stream) goodbye() {
	s.loop.system.Goodbye(s.fd)
	s.loop.At(s.loop.now+linger, func() { s.fail(nil) })
}

// Close ends the stream at once; the handler is not told.
func (s *Stream) Close() {
	if !s.closed {
		s.end(s.loop.system.Close)
		s.release()
	}
}

// Reset is Close that the other side sees as a reset, whatever it had yet to read.
func (s *Stream) Reset() {
	if !s.closed {
		s.end(s.loop.system.Abort)
		s.release()
	}
}

func (s *Stream) end(how func(fd int)) {
	s.closed = true
	if s.from != nil {
		s.from.open--
	}
	s.loop.drop(s.fd, s.handle, how)
	s.weighOut()
}

// fail ends the stream and tells the handler, who may still look at what it has left unread.
func (s *Stream) fail(cause error) {
	if s.closed {
		return
	}
	s.end(s.loop.system.Close)
	s.handler.Closed(cause)
	s.release()
}

// Door bounds what the connections of one listener hold. In its zero value they take no more than five eighths of the
// descriptors, as what they want needs others, and half of the bytes of long messages.
type Door struct {
	Descriptors func(most int) int // of most, how many may be held now
	Bytes       func(most int) int // of most, how many bytes past the common size
}

// Allowed tells how many descriptors may be held now.
func (n *Listener) Allowed() int {
	if n.Descriptors != nil {
		return n.Descriptors(n.loop.most * 5 / 8)
	}
	return n.loop.most * 5 / 8
}

// bears tells whether the connections may hold more bytes: they leave as much for what was asked for.
func (n *Listener) bears(more int) bool {
	half := n.loop.budget / 2
	if n.loop.larger+more > half {
		return false
	}
	return n.Bytes == nil || n.larger+more <= n.Bytes(half)
}

// Bear changes how many bytes of input each new stream may hold.
func (n *Listener) Bear(most int) { n.most = most }

// Held tells how many descriptors and bytes past the common size the connections hold.
func (n *Listener) Held() (descriptors, bytes int) { return n.open, n.larger }

// Listener hands over each connection that comes in.
type Listener struct {
	Door
	loop   *Loop
	fd     int
	handle slots.Handle
	most   int
	accept func(open func(Handler) *Stream)
	yield  func(urgent bool)
	open   int // streams that came in here
	larger int // bytes that their buffers take past the common size
	paused bool
	drains bool // it is closed once nobody waits to be taken in
	closed bool
}

// Listen waits for connections at the address. Accept is called for each and names its handler. Near what the door
// lets them hold yield should end one of them.
func (l *Loop) Listen(at netip.AddrPort, most int, door Door, accept func(open func(Handler) *Stream),
	yield func(urgent bool)) (*Listener, error) {
	fd, err := l.system.Listen(at)
	if err != nil {
		return nil, err
	}
	n := &Listener{Door: door, loop: l, fd: fd, most: most, accept: accept, yield: yield}
	if n.handle, err = l.add(fd, n, readable); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return n, nil
}

// What bounds how long newcomers keep the others waiting.
const (
	acceptsATurn  = 64
	failuresATurn = 16 // then the listener rests for a moment
)

func (n *Listener) ready(uint32) { n.take() }

// take takes newcomers in and tells whether there may be more.
func (n *Listener) take() bool {
	failed := 0
	for range acceptsATurn {
		if n.open >= n.Allowed() {
			n.yield(true)
			n.pause()
			return false
		}
		if !n.loop.room(n.loop.kept) {
			n.pause()
			return false
		}
		fd, err := n.loop.system.Accept(n.fd)
		if err == unix.EAGAIN {
			if n.drains {
				n.Close()
			}
			return false
		}
		if err != nil {
			if failed++; isOfOneConnection(err) && failed < failuresATurn {
				continue
			}
			n.pause()
			return false
		}
		n.accept(func(handler Handler) *Stream {
			s, err := n.loop.stream(fd, handler, n.most, false)
			if err != nil {
				return nil
			}
			s.from = n
			n.open++
			return s
		})
		if n.open > n.Allowed()*4/5 { // it takes a moment until the other side has seen its end
			n.yield(false)
		}
	}
	return true
}

func (n *Listener) broken(error) {}

// isOfOneConnection tells of an error of accept that belongs to a connection which is gone, as accept(2) lists them. Others
// may wait behind it.
func isOfOneConnection(err error) bool {
	switch err {
	case unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENOPROTOOPT, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN,
		unix.EHOSTUNREACH, unix.ENONET, unix.EOPNOTSUPP, unix.ETIMEDOUT, unix.EPERM:
		return true
	}
	return false
}

func (n *Listener) update() {
	if n.closed {
		return
	}
	events := uint32(readable)
	if n.paused {
		events = 0
	}
	n.loop.change(n.fd, n.handle, events)
}

// pause lets newcomers wait until a descriptor is free, or a moment where the system is short of them.
func (n *Listener) pause() {
	if n.paused {
		return
	}
	n.paused = true
	n.update()
	resume := func() {
		if n.paused && !n.closed {
			n.paused = false
			n.update()
		}
	}
	n.loop.freed = append(n.loop.freed, resume)
	n.loop.At(n.loop.now+100*time.Millisecond, resume)
}

// Close takes no connections any more, not even those that wait.
func (n *Listener) Close() {
	if !n.closed {
		n.closed = true
		n.loop.drop(n.fd, n.handle, n.loop.system.Close)
	}
}

// Drain takes the connections that wait, as soon as there is room for them, and then closes the listener.
func (n *Listener) Drain() {
	n.drains = true
	for !n.closed && !n.paused && n.take() {
	}
}

// Closed tells that no connections are taken any more.
func (n *Listener) Closed() bool { return n.closed }

// Datagrams is a UDP socket.
type Datagrams struct {
	loop   *Loop
	fd     int
	handle slots.Handle
	take   func(from netip.AddrPort, text []byte)
	buffer [512]byte
}

// Receive waits for datagrams at the address.
func (l *Loop) Receive(at netip.AddrPort, take func(from netip.AddrPort, text []byte)) (*Datagrams, error) {
	fd, err := l.system.Receive(at)
	if err != nil {
		return nil, err
	}
	d := &Datagrams{loop: l, fd: fd, take: take}
	if d.handle, err = l.add(fd, d, readable); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return d, nil
}

const datagramsATurn = 64

func (d *Datagrams) ready(uint32) {
	for range datagramsATurn {
		n, sender, err := d.loop.system.Take(d.fd, d.buffer[:])
		if err != nil {
			return
		}
		d.take(sender, d.buffer[:n])
	}
}

func (d *Datagrams) broken(error) {}
func (d *Datagrams) update()      { d.loop.change(d.fd, d.handle, readable) }

// Close takes nothing any more.
func (d *Datagrams) Close() { d.loop.drop(d.fd, d.handle, d.loop.system.Close) }

// Send may lose the text.
func (d *Datagrams) Send(to netip.AddrPort, text []byte) {
	d.loop.system.Send(d.fd, to, text)
}
