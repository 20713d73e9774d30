// Package rig plays scripts in real time, with drivers and control machines as processes on loopback addresses. Every link between
// clients, drivers, members and discovery passes through a relay, which applies the same link faults as a play in simulated time.
package rig

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/emu/play"
	"passtack/internal/eventloop"
	"passtack/internal/linkedlist"
	"passtack/internal/pcg"
)

const (
	maxBufferedBytes = 256 << 10              // buffered bytes per direction of a stream, above which reading pauses
	retransmitDelay  = 200 * time.Millisecond // added per simulated packet loss, as streams retransmit
)

// relay is a proxy on one link: it listens on the address that callers use, and opens a connection to the target for each of theirs.
type relay struct {
	loop                  *eventloop.Loop
	rng                   *pcg.Source
	listenAddress, target netip.AddrPort
	forward, backward     play.Condition
	listener              *eventloop.Listener
	connections           linkedlist.List[*relayedConnection]
}

func newRelay(l *eventloop.Loop, rng *pcg.Source, listenAddress, target netip.AddrPort) (*relay, error) {
	r := &relay{loop: l, rng: rng, listenAddress: listenAddress, target: target}
	return r, r.listen()
}

func (r *relay) listen() (err error) {
	r.listener, err = r.loop.Listen(r.listenAddress, maxBufferedBytes, eventloop.AcceptLimiter{Descriptors: func(limit int) int { return limit }}, func(open func(eventloop.Handler) *eventloop.Stream) {
		p := &relayedConnection{relay: r}
		p.callerSide, p.targetSide = &connectionSide{connection: p}, &connectionSide{connection: p, backward: true}
		p.callerSide.other, p.targetSide.other = p.targetSide, p.callerSide
		if p.callerSide.stream = open(p.callerSide); p.callerSide.stream == nil {
			return
		}
		p.element.Value = p
		r.connections.PushBack(&p.element)
		p.dial()
	}, func(bool) {})
	return err
}

// setConditions changes the conditions of the link. Data that is already queued keeps its arrival time.
func (r *relay) setConditions(forward, backward play.Condition) error {
	wasRefusing := r.forward.Refuse
	r.forward, r.backward = forward, backward
	if forward.Refuse && !wasRefusing {
		r.listener.Close()
	} else if wasRefusing && !forward.Refuse {
		if err := r.listen(); err != nil {
			return err
		}
	}
	r.each(func(p *relayedConnection) {
		p.dial()
		p.callerSide.flush()
		p.targetSide.flush()
	})
	return nil
}

// reset resets all open connections.
func (r *relay) reset() { r.each((*relayedConnection).reset) }

func (r *relay) each(action func(*relayedConnection)) {
	for element := r.connections.Front(); element != nil; {
		next := element.Next()
		action(element.Value)
		element = next
	}
}

// relayedConnection is the stream of a caller together with the stream to the target.
type relayedConnection struct {
	relay                  *relay
	callerSide, targetSide *connectionSide
	dialed                 bool
	element                linkedlist.Element[*relayedConnection]
}

// dial connects to the target, unless the link is cut.
func (p *relayedConnection) dial() {
	if p.dialed || p.relay.forward.Cut {
		return
	}
	p.dialed = true
	stream, err := p.relay.loop.Dial(p.relay.target, p.targetSide, maxBufferedBytes)
	if err != nil {
		p.reset()
		return
	}
	p.targetSide.stream = stream
	p.callerSide.flush()
}

func (p *relayedConnection) reset() {
	p.element.Remove()
	for _, e := range []*connectionSide{p.callerSide, p.targetSide} {
		e.queue, e.outputClosed = nil, true
		if e.stream != nil {
			e.stream.Reset()
		}
	}
}

// segment is a unit of one direction: bytes, or the end of the stream.
type segment struct {
	data    []byte
	end     bool
	reset   bool
	arrival time.Duration // when it is due at the other side
}

// connectionSide is one of the two streams of a relayed connection. Data that it reads is sent on the other one.
type connectionSide struct {
	connection   *relayedConnection
	other        *connectionSide
	stream       *eventloop.Stream
	backward     bool // this side reads what the target sends to the caller
	queue        []segment
	queuedBytes  int
	lastArrival  time.Duration // arrival of the newest segment: later ones never overtake it
	timer        eventloop.Timer
	readPaused   bool // input was left unread, as the queue was full
	streamClosed bool // the stream of this side is closed
	outputClosed bool // segments of this side are no longer forwarded
}

func (e *connectionSide) condition() *play.Condition {
	if e.backward {
		return &e.connection.relay.backward
	}
	return &e.connection.relay.forward
}

// Opened implements eventloop.Handler.
func (e *connectionSide) Opened() {}

// Panicked implements eventloop.Handler.
func (e *connectionSide) Panicked(cause error) { e.connection.reset() }

// Input implements eventloop.Handler.
func (e *connectionSide) Input(in []byte) int {
	if e.queuedBytes >= maxBufferedBytes {
		e.readPaused = true
		return 0
	}
	e.enqueue(segment{data: append([]byte(nil), in...)})
	return len(in)
}

// Closed implements eventloop.Handler.
func (e *connectionSide) Closed(cause error) {
	e.streamClosed = true
	if rest := e.stream.Unread(); len(rest) > 0 {
		e.enqueue(segment{data: append([]byte(nil), rest...)})
	}
	var code unix.Errno
	e.enqueue(segment{end: true, reset: errors.As(cause, &code)})
}

// enqueue schedules a segment to arrive at the other side according to the conditions of the link.
func (e *connectionSide) enqueue(s segment) {
	if e.outputClosed {
		return
	}
	c, r := e.condition(), e.connection.relay
	s.arrival = r.loop.Now() + c.Delay
	if c.Jitter > 0 {
		s.arrival += time.Duration(r.rng.Float() * float64(c.Jitter))
	}
	for c.Loss > 0 && r.rng.Float() < c.Loss {
		s.arrival += retransmitDelay
	}
	if s.arrival = max(s.arrival, e.lastArrival); c.Rate > 0 {
		s.arrival += time.Duration(len(s.data)) * time.Second / time.Duration(c.Rate)
	}
	e.lastArrival = s.arrival
	e.queuedBytes += len(s.data)
	e.queue = append(e.queue, s)
	e.flush()
}

// flush forwards the segments that are due, unless the link is cut.
func (e *connectionSide) flush() {
	l, out := e.connection.relay.loop, e.other.stream
	for len(e.queue) > 0 && !e.outputClosed {
		s := e.queue[0]
		if e.condition().Cut || out == nil {
			return
		}
		if s.arrival > l.Now() {
			l.Cancel(e.timer)
			e.timer = l.At(s.arrival, e.flush)
			return
		}
		e.queue = e.queue[1:]
		if e.queuedBytes -= len(s.data); s.end {
			e.outputClosed = true
			e.finish(s.reset)
			return
		}
		out.Send(s.data)
	}
	if e.readPaused && !e.streamClosed {
		e.readPaused = false
		l.Defer(e.stream.DeliverInput)
	}
}

// finish closes the other stream and discards what is queued in the other direction.
func (e *connectionSide) finish(reset bool) {
	e.connection.element.Remove()
	e.other.outputClosed = true
	if reset {
		e.other.stream.Reset()
	} else {
		e.other.stream.CloseWhenSent()
	}
}

// datagramRelay listens on the address under which one driver knows another. It forwards datagrams to the other driver, with the address
// under which that one knows the first as their source.
type datagramRelay struct {
	loop      *eventloop.Loop
	rng       *pcg.Source
	socket    *eventloop.DatagramSocket
	reverse   *datagramRelay // relay of the opposite direction, whose socket sends the datagrams
	target    netip.AddrPort
	condition play.Condition
}

// forward sends a datagram on once, twice or not at all, according to the conditions of the link.
func (p *datagramRelay) forward(data []byte) {
	c := &p.condition
	if c.Cut || c.Loss > 0 && p.rng.Float() < c.Loss {
		return
	}
	data = append([]byte(nil), data...)
	send := func() {
		if !p.condition.Cut {
			p.reverse.socket.Send(p.target, data)
		}
	}
	delay := c.Delay + time.Duration(p.rng.Float()*float64(c.Jitter))
	if c.Reorder > 0 && p.rng.Float() < c.Reorder {
		delay += time.Duration(p.rng.Float() * float64(c.MaxExtraDelay))
	}
	if delay == 0 {
		send()
	} else {
		p.loop.At(p.loop.Now()+delay, send)
	}
	if c.Double > 0 && p.rng.Float() < c.Double {
		p.loop.At(p.loop.Now()+delay+time.Duration(p.rng.Float()*float64(c.MaxExtraDelay)), send)
	}
}
