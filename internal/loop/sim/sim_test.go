package sim

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"passtack/internal/loop"
)

const start = 1000 * time.Second

// end is one side of a stream; it keeps what comes.
type end struct {
	stream *loop.Stream
	got    bytes.Buffer
	cause  error
	opened bool
	closed bool
	at     time.Duration
	loop   *loop.Loop
}

func (e *end) Opened() { e.opened = true }
func (e *end) Input(in []byte) int {
	e.got.Write(in)
	e.at = e.loop.Now()
	return len(in)
}
func (e *end) Closed(cause error)   { e.closed, e.cause, e.at = true, cause, e.loop.Now() }
func (e *end) Panicked(cause error) { panic(cause) }

type pair struct {
	world *World
	hosts [2]*Host
	loops [2]*loop.Loop
	here  *end
	there *end
}

var at = netip.MustParseAddrPort("10.0.0.1:1")

func newPair(t *testing.T, seed uint64) *pair {
	p := &pair{world: New(seed, start)}
	for i := range p.hosts {
		p.hosts[i] = p.world.Host(fmt.Sprint(i))
		l, err := loop.On(p.hosts[i], 100, 8<<20)
		if err != nil {
			t.Fatal(err)
		}
		p.hosts[i].Serve(l, func() {})
		p.loops[i] = l
	}
	if _, err := p.loops[1].Listen(at, 1<<20, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
		p.there = &end{loop: p.loops[1]}
		p.there.stream = open(p.there)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *pair) dial(t *testing.T) {
	p.here = &end{loop: p.loops[0]}
	var err error
	if p.here.stream, err = p.loops[0].Dial(at, p.here, 1<<20); err != nil {
		t.Fatal(err)
	}
	p.run(100 * time.Millisecond)
}

func (p *pair) run(d time.Duration) { p.world.Run(p.world.Now() + d) }

// Whatever is lost, late or in pieces: a stream brings all bytes in their order, and the same seed at the same time.
func TestStreamsKeepOrder(t *testing.T) {
	for seed := range uint64(20) {
		var arrived [2]time.Duration
		for turn := range 2 {
			p := newPair(t, seed)
			p.world.Join(p.hosts[0], p.hosts[1], Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.3, Resend: 50 * time.Millisecond, Piece: 700})
			p.dial(t)
			p.run(time.Second)
			var want []byte
			for i := range 3000 {
				want = fmt.Appendf(want, "%d,", i)
			}
			for rest := want; len(rest) > 0; {
				n := min(len(rest), 4000)
				p.here.stream.Send(rest[:n])
				rest = rest[n:]
			}
			p.run(20 * time.Second)
			if p.there == nil || !bytes.Equal(p.there.got.Bytes(), want) {
				t.Fatalf("seed %d: %d of %d bytes came, or in another order", seed, p.there.got.Len(), len(want))
			}
			arrived[turn] = p.there.at
		}
		if arrived[0] != arrived[1] {
			t.Errorf("seed %d: once at %v, once at %v", seed, arrived[0], arrived[1])
		}
	}
}

func TestWhoDoesNotReadIsNotSentWithoutEnd(t *testing.T) {
	p := newPair(t, 1)
	p.dial(t)
	p.hosts[1].Pause(p.world.Now() + time.Second)
	p.here.stream.Send(make([]byte, 300<<10))
	p.run(500 * time.Millisecond)
	if left := p.here.stream.Unsent(); left != 300<<10-window {
		t.Errorf("%d bytes wait at the sender", left)
	}
	p.run(3 * time.Second)
	if p.there.got.Len() != 300<<10 || p.here.stream.Unsent() != 0 {
		t.Errorf("in the end %d bytes came", p.there.got.Len())
	}
}

func TestHowConnectionsEnd(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		p := newPair(t, 1)
		p.hosts[1].Kill()
		p.dial(t)
		if !p.here.closed || p.here.opened {
			t.Errorf("%+v", p.here)
		}
	})
	t.Run("killed", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		p.hosts[1].Kill()
		p.run(time.Second)
		if !p.here.opened || !p.here.closed || p.here.at-start > 200*time.Millisecond {
			t.Errorf("%+v", p.here)
		}
	})
	t.Run("said goodbye", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		p.here.stream.Send([]byte("last words"))
		p.here.stream.CloseWhenSent()
		p.run(time.Second)
		if p.there.got.String() != "last words" || !p.there.closed {
			t.Errorf("%q, closed %t", p.there.got.String(), p.there.closed)
		}
	})
	t.Run("cut off", func(t *testing.T) { // it hears nothing, and all that was sent once the link is mended
		p := newPair(t, 1)
		p.dial(t)
		cut := Plain
		cut.Cut = true
		p.world.Join(p.hosts[0], p.hosts[1], cut)
		p.here.stream.Send([]byte("held"))
		p.run(5 * time.Second)
		if p.here.closed || p.there.got.Len() > 0 {
			t.Errorf("over a cut link: closed %t, %d bytes", p.here.closed, p.there.got.Len())
		}
		p.world.Join(p.hosts[0], p.hosts[1], Plain)
		p.run(time.Second)
		if p.there.got.String() != "held" {
			t.Errorf("once it is mended: %q", p.there.got.String())
		}
	})
	t.Run("one way", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		cut := Plain
		cut.Cut = true
		p.world.OneWay(p.hosts[1], p.hosts[0], cut)
		p.here.stream.Send([]byte("there"))
		p.there.stream.Send([]byte("back"))
		p.run(time.Second)
		if p.there.got.String() != "there" || p.here.got.Len() > 0 {
			t.Errorf("there %q, back %q", p.there.got.String(), p.here.got.String())
		}
	})
}

func TestDatagramsMayBeLost(t *testing.T) {
	w := New(3, start)
	var loops [2]*loop.Loop
	var sockets [2]*loop.Datagrams
	var hosts [2]*Host
	got := 0
	for i := range 2 {
		hosts[i] = w.Host(fmt.Sprint(i))
		loops[i], _ = loop.On(hosts[i], 100, 1<<20)
		hosts[i].Serve(loops[i], func() {})
		sockets[i], _ = loops[i].Receive(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7), func(from netip.AddrPort, text []byte) {
			if string(text) != "hello" || from.Addr() != netip.AddrFrom4([4]byte{10, 0, 0, 0}) {
				t.Errorf("%q from %s", text, from)
			}
			got++
		})
	}
	w.Join(hosts[0], hosts[1], Link{Delay: time.Millisecond, Loss: 0.25})
	for range 1000 {
		sockets[0].Send(netip.MustParseAddrPort("10.0.0.1:7"), []byte("hello"))
	}
	w.Run(start + time.Second)
	if got < 700 || got > 800 {
		t.Errorf("%d of 1000 came", got)
	}
}

// What is said of one road holds for that one only, and for each direction alone.
func TestRoadsAreTroubledAlone(t *testing.T) {
	p := newPair(t, 3)
	other := netip.MustParseAddrPort("10.0.0.1:2")
	var second *end
	if _, err := p.loops[1].Listen(other, 1<<20, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
		second = &end{loop: p.loops[1]}
		second.stream = open(second)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	p.dial(t)
	straight := &end{loop: p.loops[0]}
	straight.stream, _ = p.loops[0].Dial(other, straight, 1<<20)
	p.run(100 * time.Millisecond)

	cut := Plain
	cut.Cut = true
	p.world.Bend(p.hosts[0], at, cut, Plain)
	p.here.stream.Send([]byte("held"))
	straight.stream.Send([]byte("goes"))
	p.there.stream.Send([]byte("back"))
	p.run(time.Second)
	if p.there.got.Len() != 0 || second.got.String() != "goes" || p.here.got.String() != "back" {
		t.Errorf("there %q, elsewhere %q, back %q", p.there.got.String(), second.got.String(), p.here.got.String())
	}
	p.world.Straighten(p.hosts[0], at)
	p.run(time.Second)
	if p.there.got.String() != "held" {
		t.Errorf("after the cut %q has come", p.there.got.String())
	}

	thin := Plain
	thin.Rate = 1000
	p.world.Bend(p.hosts[0], at, thin, Plain)
	began := p.world.Now()
	p.here.stream.Send(make([]byte, 2000))
	p.run(10 * time.Second)
	if took := p.there.at - began; p.there.got.Len() != 2004 || took < 1900*time.Millisecond || took > 2300*time.Millisecond {
		t.Errorf("%d bytes after %v at 1000 a second", p.there.got.Len(), took)
	}

	p.world.Break(p.hosts[0], at)
	p.run(time.Second)
	if !p.here.closed || !p.there.closed || straight.closed {
		t.Errorf("reset: here %v, there %v, elsewhere %v", p.here.closed, p.there.closed, straight.closed)
	}
	refuse := Plain
	refuse.Refuse = true
	p.world.Bend(p.hosts[0], at, refuse, Plain)
	if p.dial(t); p.here.opened || !p.here.closed {
		t.Error("a connection is taken though it should be refused")
	}
}

// Datagrams come twice, out of order or not at all as often as told, and to all of a crowd but who sent them.
func TestDatagramsInTrouble(t *testing.T) {
	p := newPair(t, 4)
	a, b, all := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.9:7")
	var got []byte
	echoes := 0
	out, err := p.loops[0].Receive(a, func(netip.AddrPort, []byte) { echoes++ })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.loops[1].Receive(b, func(_ netip.AddrPort, text []byte) { got = append(got, text...) }); err != nil {
		t.Fatal(err)
	}
	p.world.Crowd(all, []netip.AddrPort{a, b})
	bad := Plain
	bad.Loss, bad.Double, bad.Reorder, bad.Late = 0.2, 0.3, 0.3, 20*time.Millisecond
	p.world.Bend(p.hosts[0], b, bad, Plain)
	for i := range 250 {
		out.Send(all, []byte{byte(i)})
		p.run(2 * time.Millisecond)
	}
	p.run(time.Second)
	times, swapped := make(map[byte]int), 0
	for i, n := range got {
		times[n]++
		if i > 0 && n < got[i-1] {
			swapped++
		}
	}
	twice := 0
	for _, n := range times {
		if n == 2 {
			twice++
		}
	}
	if lost := 250 - len(times); lost < 30 || lost > 70 || twice < 40 || twice > 90 || swapped < 20 || echoes != 0 {
		t.Errorf("of 250: %d lost, %d twice, %d overtaken, %d came back", lost, twice, swapped, echoes)
	}
}

// Connects that are given up while a link is cut do not arrive once it is mended: a kernel asks no longer for a socket that is closed.
func TestGivenUpConnectsDoNotArriveLater(t *testing.T) {
	p := newPair(t, 1)
	cut := Plain
	cut.Cut = true
	p.world.Join(p.hosts[0], p.hosts[1], cut)
	for range 20 {
		p.dial(t)
		p.here.stream.Close()
	}
	p.run(5 * time.Second)
	p.world.Join(p.hosts[0], p.hosts[1], Plain)
	p.run(5 * time.Second)
	if p.there != nil {
		t.Error("somebody has come")
	}
	if n, _ := p.loops[1].Open(); n != 4 { // three of its own, and the listener
		t.Errorf("%d descriptors are open where nobody came", n)
	}
	p.dial(t)
	p.run(time.Second)
	if !p.here.opened {
		t.Error("a connect that was not given up does not arrive")
	}
}
