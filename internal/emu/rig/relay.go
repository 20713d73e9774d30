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
		c := &relayedConnection{relay: r}
		c.callerSide, c.targetSide = &connectionSide{connection: c}, &connectionSide{connection: c, backward: true}
		c.callerSide.other, c.targetSide.other = c.targetSide, c.callerSide
		if c.callerSide.stream = open(c.callerSide); c.callerSide.stream == nil {
			return
		}
		c.element.Value = c
		r.connections.PushBack(&c.element)
		c.dial()
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
	r.each(func(c *relayedConnection) {
		c.dial()
		c.callerSide.flush()
		c.targetSide.flush()
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
func (c *relayedConnection) dial() {
	if c.dialed || c.relay.forward.Cut {
		return
	}
	c.dialed = true
	stream, err := c.relay.loop.Dial(c.relay.target, c.targetSide, maxBufferedBytes)
	if err != nil {
		c.reset()
		return
	}
	c.targetSide.stream = stream
	c.callerSide.flush()
}

func (c *relayedConnection) reset() {
	c.element.Remove()
	for _, side := range []*connectionSide{c.callerSide, c.targetSide} {
		side.queue, side.outputClosed = nil, true
		if side.stream != nil {
			side.stream.Reset()
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

func (side *connectionSide) condition() *play.Condition {
	if side.backward {
		return &side.connection.relay.backward
	}
	return &side.connection.relay.forward
}

// Opened implements eventloop.Handler.
func (side *connectionSide) Opened() {}

// Panicked implements eventloop.Handler.
func (side *connectionSide) Panicked(cause error) { side.connection.reset() }

// Input implements eventloop.Handler.
func (side *connectionSide) Input(in []byte) int {
	if side.queuedBytes >= maxBufferedBytes {
		side.readPaused = true
		return 0
	}
	side.enqueue(segment{data: append([]byte(nil), in...)})
	return len(in)
}

// Closed implements eventloop.Handler.
func (side *connectionSide) Closed(cause error) {
	side.streamClosed = true
	if rest := side.stream.Unread(); len(rest) > 0 {
		side.enqueue(segment{data: append([]byte(nil), rest...)})
	}
	var code unix.Errno
	side.enqueue(segment{end: true, reset: errors.As(cause, &code)})
}

// enqueue schedules a segment to arrive at the other side according to the conditions of the link.
func (side *connectionSide) enqueue(s segment) {
	if side.outputClosed {
		return
	}
	c, r := side.condition(), side.connection.relay
	s.arrival = r.loop.Now() + c.Delay
	if c.Jitter > 0 {
		s.arrival += time.Duration(r.rng.Float() * float64(c.Jitter))
	}
	for c.Loss > 0 && r.rng.Float() < c.Loss {
		s.arrival += retransmitDelay
	}
	if s.arrival = max(s.arrival, side.lastArrival); c.Rate > 0 {
		s.arrival += time.Duration(len(s.data)) * time.Second / time.Duration(c.Rate)
	}
	side.lastArrival = s.arrival
	side.queuedBytes += len(s.data)
	side.queue = append(side.queue, s)
	side.flush()
}

// flush forwards the segments that are due, unless the link is cut.
func (side *connectionSide) flush() {
	l, out := side.connection.relay.loop, side.other.stream
	for len(side.queue) > 0 && !side.outputClosed {
		s := side.queue[0]
		if side.condition().Cut || out == nil {
			return
		}
		if s.arrival > l.Now() {
			l.Cancel(side.timer)
			side.timer = l.At(s.arrival, side.flush)
			return
		}
		side.queue = side.queue[1:]
		if side.queuedBytes -= len(s.data); s.end {
			side.outputClosed = true
			side.finish(s.reset)
			return
		}
		out.Send(s.data)
	}
	if side.readPaused && !side.streamClosed {
		side.readPaused = false
		l.Defer(side.stream.DeliverInput)
	}
}

// finish closes the other stream and discards what is queued in the other direction.
func (side *connectionSide) finish(reset bool) {
	side.connection.element.Remove()
	side.other.outputClosed = true
	if reset {
		side.other.stream.Reset()
	} else {
		side.other.stream.CloseWhenSent()
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
func (r *datagramRelay) forward(data []byte) {
	c := &r.condition
	if c.Cut || c.Loss > 0 && r.rng.Float() < c.Loss {
		return
	}
	data = append([]byte(nil), data...)
	send := func() {
		if !r.condition.Cut {
			r.reverse.socket.Send(r.target, data)
		}
	}
	delay := c.Delay + time.Duration(r.rng.Float()*float64(c.Jitter))
	if c.Reorder > 0 && r.rng.Float() < c.Reorder {
		delay += time.Duration(r.rng.Float() * float64(c.MaxExtraDelay))
	}
	if delay == 0 {
		send()
	} else {
		r.loop.At(r.loop.Now()+delay, send)
	}
	if c.Double > 0 && r.rng.Float() < c.Double {
		r.loop.At(r.loop.Now()+delay+time.Duration(r.rng.Float()*float64(c.MaxExtraDelay)), send)
	}
}
