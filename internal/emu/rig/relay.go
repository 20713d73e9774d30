// Package rig plays scripts with processes of the program on loopback addresses. A relay of its own stands on every road
// between clients, drivers, members and discovery, so that links are troubled there by the same words as in simulated time.
package rig

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/chain"
	"passtack/internal/emu/play"
	"passtack/internal/loop"
	"passtack/internal/pcg"
)

const (
	mostHeld = 256 << 10              // bytes on their way in one direction of one stream; then reading rests
	resend   = 200 * time.Millisecond // what a stream loses comes later by so much
)

// relay stands on one road of streams: it listens where the caller calls, and calls the place itself.
type relay struct {
	loop        *loop.Loop
	chance      *pcg.Source
	at, to      netip.AddrPort
	there, back play.Condition
	listener    *loop.Listener
	pairs       chain.List[*pair]
}

func newRelay(l *loop.Loop, chance *pcg.Source, at, to netip.AddrPort) (*relay, error) {
	r := &relay{loop: l, chance: chance, at: at, to: to}
	return r, r.listen()
}

func (r *relay) listen() (err error) {
	r.listener, err = r.loop.Listen(r.at, mostHeld, loop.AcceptLimiter{Descriptors: func(most int) int { return most }}, func(open func(loop.Handler) *loop.Stream) {
		p := &pair{relay: r}
		p.caller, p.place = &end{pair: p}, &end{pair: p, back: true}
		p.caller.other, p.place.other = p.place, p.caller
		if p.caller.stream = open(p.caller); p.caller.stream == nil {
			return
		}
		p.link.Value = p
		r.pairs.PushBack(&p.link)
		p.call()
	}, func(bool) {})
	return err
}

// bend changes how bytes go from now on; what is on its way already keeps its time.
func (r *relay) bend(there, back play.Condition) error {
	refused := r.there.Refuse
	r.there, r.back = there, back
	if there.Refuse && !refused {
		r.listener.Close()
	} else if refused && !there.Refuse {
		if err := r.listen(); err != nil {
			return err
		}
	}
	r.each(func(p *pair) {
		p.call()
		p.caller.pump()
		p.place.pump()
	})
	return nil
}

// reset breaks all that is open.
func (r *relay) reset() { r.each((*pair).reset) }

func (r *relay) each(act func(*pair)) {
	for at := r.pairs.Front(); at != nil; {
		next := at.Next()
		act(at.Value)
		at = next
	}
}

// pair is one stream of the caller and the one that goes on to the place.
type pair struct {
	relay         *relay
	caller, place *end
	called        bool
	link          chain.Element[*pair]
}

// call opens the way to the place, once something can go there.
func (p *pair) call() {
	if p.called || p.relay.there.Cut {
		return
	}
	p.called = true
	stream, err := p.relay.loop.Dial(p.relay.to, p.place, mostHeld)
	if err != nil {
		p.reset()
		return
	}
	p.place.stream = stream
	p.caller.pump()
}

func (p *pair) reset() {
	p.link.Remove()
	for _, e := range []*end{p.caller, p.place} {
		e.pieces, e.over = nil, true
		if e.stream != nil {
			e.stream.Reset()
		}
	}
}

// shipment is what goes one way at once: bytes, or the end of the stream.
type shipment struct {
	text  []byte
	ends  bool
	reset bool
	at    time.Duration // when it arrives
}

// end is one stream of a pair. What it reads goes out at the other.
type end struct {
	pair   *pair
	other  *end
	stream *loop.Stream
	back   bool // it reads what goes back to the caller
	pieces []shipment
	held   int
	last   time.Duration // when the latest shipment arrives: order is kept
	due    loop.Timer
	rests  bool // it was not read on for want of room
	gone   bool // its stream is closed
	over   bool // nothing more is to go out from it
}

func (e *end) condition() *play.Condition {
	if e.back {
		return &e.pair.relay.back
	}
	return &e.pair.relay.there
}

// Opened implements loop.Handler.
func (e *end) Opened() {}

// Panicked implements loop.Handler.
func (e *end) Panicked(cause error) { e.pair.reset() }

// Input implements loop.Handler.
func (e *end) Input(in []byte) int {
	if e.held >= mostHeld {
		e.rests = true
		return 0
	}
	e.ship(shipment{text: append([]byte(nil), in...)})
	return len(in)
}

// Closed implements loop.Handler.
func (e *end) Closed(cause error) {
	e.gone = true
	if rest := e.stream.Unread(); len(rest) > 0 {
		e.ship(shipment{text: append([]byte(nil), rest...)})
	}
	var code unix.Errno
	e.ship(shipment{ends: true, reset: errors.As(cause, &code)})
}

// ship sends something on its way.
func (e *end) ship(s shipment) {
	if e.over {
		return
	}
	c, r := e.condition(), e.pair.relay
	s.at = r.loop.Now() + c.Delay
	if c.Jitter > 0 {
		s.at += time.Duration(r.chance.Float() * float64(c.Jitter))
	}
	for c.Loss > 0 && r.chance.Float() < c.Loss {
		s.at += resend
	}
	if s.at = max(s.at, e.last); c.Rate > 0 {
		s.at += time.Duration(len(s.text)) * time.Second / time.Duration(c.Rate)
	}
	e.last = s.at
	e.held += len(s.text)
	e.pieces = append(e.pieces, s)
	e.pump()
}

// pump lets out what has arrived, as long as the way is open.
func (e *end) pump() {
	l, out := e.pair.relay.loop, e.other.stream
	for len(e.pieces) > 0 && !e.over {
		s := e.pieces[0]
		if e.condition().Cut || out == nil {
			return
		}
		if s.at > l.Now() {
			l.Cancel(e.due)
			e.due = l.At(s.at, e.pump)
			return
		}
		e.pieces = e.pieces[1:]
		if e.held -= len(s.text); s.ends {
			e.over = true
			e.finish(s.reset)
			return
		}
		out.Send(s.text)
	}
	if e.rests && !e.gone {
		e.rests = false
		l.Defer(e.stream.DeliverInput)
	}
}

// finish ends the other stream, and what the other direction has yet to say with it.
func (e *end) finish(reset bool) {
	e.pair.link.Remove()
	e.other.over = true
	if reset {
		e.other.stream.Reset()
	} else {
		e.other.stream.CloseWhenSent()
	}
}

// post stands where one driver addresses another: what comes here goes on to that one, from where it addresses the first.
type post struct {
	loop      *loop.Loop
	chance    *pcg.Source
	socket    *loop.DatagramSocket
	from      *post // where the other addresses this one's user
	to        netip.AddrPort
	condition play.Condition
}

// pass lets a datagram go on, once, twice or not at all.
func (p *post) pass(text []byte) {
	c := &p.condition
	if c.Cut || c.Loss > 0 && p.chance.Float() < c.Loss {
		return
	}
	text = append([]byte(nil), text...)
	send := func() {
		if !p.condition.Cut {
			p.from.socket.Send(p.to, text)
		}
	}
	wait := c.Delay + time.Duration(p.chance.Float()*float64(c.Jitter))
	if c.Reorder > 0 && p.chance.Float() < c.Reorder {
		wait += time.Duration(p.chance.Float() * float64(c.MaxExtraDelay))
	}
	if wait == 0 {
		send()
	} else {
		p.loop.At(p.loop.Now()+wait, send)
	}
	if c.Double > 0 && p.chance.Float() < c.Double {
		p.loop.At(p.loop.Now()+wait+time.Duration(p.chance.Float()*float64(c.MaxExtraDelay)), send)
	}
}
