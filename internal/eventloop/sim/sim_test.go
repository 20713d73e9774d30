package sim

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"passtack/internal/eventloop"
)

const start = 1000 * time.Second

// endpoint is the handler of one end of a stream. It records the input and how the stream ended.
type endpoint struct {
	stream      *eventloop.Stream
	received    bytes.Buffer
	cause       error
	opened      bool
	closed      bool
	lastEventAt time.Duration // time of the last Input or Closed
	loop        *eventloop.Loop
}

func (e *endpoint) Opened() { e.opened = true }
func (e *endpoint) Input(in []byte) int {
	e.received.Write(in)
	e.lastEventAt = e.loop.Now()
	return len(in)
}
func (e *endpoint) Closed(cause error)   { e.closed, e.cause, e.lastEventAt = true, cause, e.loop.Now() }
func (e *endpoint) Panicked(cause error) { panic(cause) }

// pair is a world of two hosts: host 0 dials, host 1 listens at serverAddress.
type pair struct {
	world  *World
	hosts  [2]*Host
	loops  [2]*eventloop.Loop
	client *endpoint
	server *endpoint
}

var serverAddress = netip.MustParseAddrPort("10.0.0.1:1")

func newPair(t *testing.T, seed uint64) *pair {
	p := &pair{world: New(seed, start)}
	for i := range p.hosts {
		p.hosts[i] = p.world.AddHost(fmt.Sprint(i))
		l, err := eventloop.NewWithSystem(p.hosts[i], 100, 8<<20)
		if err != nil {
			t.Fatal(err)
		}
		p.hosts[i].Serve(l, func() {})
		p.loops[i] = l
	}
	if _, err := p.loops[1].Listen(serverAddress, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		p.server = &endpoint{loop: p.loops[1]}
		p.server.stream = open(p.server)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	return p
}

// dial connects host 0 to serverAddress and runs the world for 100 ms.
func (p *pair) dial(t *testing.T) {
	p.client = &endpoint{loop: p.loops[0]}
	var err error
	if p.client.stream, err = p.loops[0].Dial(serverAddress, p.client, 1<<20); err != nil {
		t.Fatal(err)
	}
	p.run(100 * time.Millisecond)
}

func (p *pair) run(d time.Duration) { p.world.Run(p.world.Now() + d) }

// A stream delivers all bytes in order despite loss, delay and split messages. Two runs with the same seed deliver them at the
// same time.
func TestStreamsPreserveOrder(t *testing.T) {
	for seed := range uint64(20) {
		var arrived [2]time.Duration
		for run := range 2 {
			p := newPair(t, seed)
			p.world.SetLink(p.hosts[0], p.hosts[1], Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.3, ResendDelay: 50 * time.Millisecond, MaxSegment: 700})
			p.dial(t)
			p.run(time.Second)
			var want []byte
			for i := range 3000 {
				want = fmt.Appendf(want, "%d,", i)
			}
			for rest := want; len(rest) > 0; {
				n := min(len(rest), 4000)
				p.client.stream.Send(rest[:n])
				rest = rest[n:]
			}
			p.run(20 * time.Second)
			if p.server == nil || !bytes.Equal(p.server.received.Bytes(), want) {
				t.Fatalf("seed %d: %d of %d bytes arrived, or in the wrong order", seed, p.server.received.Len(), len(want))
			}
			arrived[run] = p.server.lastEventAt
		}
		if arrived[0] != arrived[1] {
			t.Errorf("seed %d: the last byte arrived at %v in the first run and at %v in the second", seed, arrived[0], arrived[1])
		}
	}
}

// While the receiving program is paused, the sender can have only sendWindow bytes in flight; the rest follows afterwards.
func TestSendWindowLimitsASlowReader(t *testing.T) {
	p := newPair(t, 1)
	p.dial(t)
	p.hosts[1].Pause(p.world.Now() + time.Second)
	p.client.stream.Send(make([]byte, 300<<10))
	p.run(500 * time.Millisecond)
	if left := p.client.stream.Unsent(); left != 300<<10-sendWindow {
		t.Errorf("%d bytes are unsent while the receiver is paused", left)
	}
	p.run(3 * time.Second)
	if p.server.received.Len() != 300<<10 || p.client.stream.Unsent() != 0 {
		t.Errorf("%d bytes arrived after the pause", p.server.received.Len())
	}
}

// A refused connect, a killed peer and an orderly close are reported. A cut link is not: bytes sent over it arrive once it is
// restored.
func TestConnectionEnds(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		p := newPair(t, 1)
		p.hosts[1].Kill()
		p.dial(t)
		if !p.client.closed || p.client.opened {
			t.Errorf("%+v", p.client)
		}
	})
	t.Run("killed", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		p.hosts[1].Kill()
		p.run(time.Second)
		if !p.client.opened || !p.client.closed || p.client.lastEventAt-start > 200*time.Millisecond {
			t.Errorf("%+v", p.client)
		}
	})
	t.Run("closed when sent", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		p.client.stream.Send([]byte("final output"))
		p.client.stream.CloseWhenSent()
		p.run(time.Second)
		if p.server.received.String() != "final output" || !p.server.closed {
			t.Errorf("%q, closed %t", p.server.received.String(), p.server.closed)
		}
	})
	t.Run("cut off", func(t *testing.T) { // nothing arrives until the link is restored
		p := newPair(t, 1)
		p.dial(t)
		cut := LocalLink
		cut.Cut = true
		p.world.SetLink(p.hosts[0], p.hosts[1], cut)
		p.client.stream.Send([]byte("held"))
		p.run(5 * time.Second)
		if p.client.closed || p.server.received.Len() > 0 {
			t.Errorf("while the link is cut: closed %t, %d bytes arrived", p.client.closed, p.server.received.Len())
		}
		p.world.SetLink(p.hosts[0], p.hosts[1], LocalLink)
		p.run(time.Second)
		if p.server.received.String() != "held" {
			t.Errorf("after the link was restored %q arrived", p.server.received.String())
		}
	})
	t.Run("cut off one way", func(t *testing.T) {
		p := newPair(t, 1)
		p.dial(t)
		cut := LocalLink
		cut.Cut = true
		p.world.SetLinkOneWay(p.hosts[1], p.hosts[0], cut)
		p.client.stream.Send([]byte("there"))
		p.server.stream.Send([]byte("back"))
		p.run(time.Second)
		if p.server.received.String() != "there" || p.client.received.Len() > 0 {
			t.Errorf("server received %q, client received %q", p.server.received.String(), p.client.received.String())
		}
	})
}

// Datagrams are lost at the rate of the link, and those that arrive carry the sender's address and payload.
func TestDatagramsMayBeLost(t *testing.T) {
	w := New(3, start)
	var loops [2]*eventloop.Loop
	var sockets [2]*eventloop.DatagramSocket
	var hosts [2]*Host
	received := 0
	for i := range 2 {
		hosts[i] = w.AddHost(fmt.Sprint(i))
		loops[i], _ = eventloop.NewWithSystem(hosts[i], 100, 1<<20)
		hosts[i].Serve(loops[i], func() {})
		sockets[i], _ = loops[i].ListenUDP(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7), func(from netip.AddrPort, text []byte) {
			if string(text) != "hello" || from.Addr() != netip.AddrFrom4([4]byte{10, 0, 0, 0}) {
				t.Errorf("%q from %s", text, from)
			}
			received++
		})
	}
	w.SetLink(hosts[0], hosts[1], Link{Delay: time.Millisecond, Loss: 0.25})
	for range 1000 {
		sockets[0].Send(netip.MustParseAddrPort("10.0.0.1:7"), []byte("hello"))
	}
	w.Run(start + time.Second)
	if received < 700 || received > 800 {
		t.Errorf("%d of 1000 datagrams arrived", received)
	}
}

// SetRoute and ResetRoute affect one route only, and SetRoute each direction separately: with a cut, a bandwidth limit and
// refused connects.
func TestRouteOverridesAffectOneRoute(t *testing.T) {
	p := newPair(t, 3)
	otherAddress := netip.MustParseAddrPort("10.0.0.1:2")
	var otherServer *endpoint
	if _, err := p.loops[1].Listen(otherAddress, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		otherServer = &endpoint{loop: p.loops[1]}
		otherServer.stream = open(otherServer)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	p.dial(t)
	otherClient := &endpoint{loop: p.loops[0]}
	otherClient.stream, _ = p.loops[0].Dial(otherAddress, otherClient, 1<<20)
	p.run(100 * time.Millisecond)

	cut := LocalLink
	cut.Cut = true
	p.world.SetRoute(p.hosts[0], serverAddress, cut, LocalLink)
	p.client.stream.Send([]byte("held"))
	otherClient.stream.Send([]byte("goes"))
	p.server.stream.Send([]byte("back"))
	p.run(time.Second)
	if p.server.received.Len() != 0 || otherServer.received.String() != "goes" || p.client.received.String() != "back" {
		t.Errorf("server received %q, server at the other address %q, client %q", p.server.received.String(), otherServer.received.String(), p.client.received.String())
	}
	p.world.ClearRoute(p.hosts[0], serverAddress)
	p.run(time.Second)
	if p.server.received.String() != "held" {
		t.Errorf("after the cut ended the server has received %q", p.server.received.String())
	}

	slow := LocalLink
	slow.BytesPerSecond = 1000
	p.world.SetRoute(p.hosts[0], serverAddress, slow, LocalLink)
	began := p.world.Now()
	p.client.stream.Send(make([]byte, 2000))
	p.run(10 * time.Second)
	if took := p.server.lastEventAt - began; p.server.received.Len() != 2004 || took < 1900*time.Millisecond || took > 2300*time.Millisecond {
		t.Errorf("%d bytes arrived, the last after %v, at 1000 bytes per second", p.server.received.Len(), took)
	}

	p.world.ResetRoute(p.hosts[0], serverAddress)
	p.run(time.Second)
	if !p.client.closed || !p.server.closed || otherClient.closed {
		t.Errorf("after the reset: client closed %v, server closed %v, stream of the other route closed %v", p.client.closed, p.server.closed, otherClient.closed)
	}
	refuse := LocalLink
	refuse.RefuseConnects = true
	p.world.SetRoute(p.hosts[0], serverAddress, refuse, LocalLink)
	if p.dial(t); p.client.opened || !p.client.closed {
		t.Error("a connection was accepted although the route refuses connects")
	}
}

// Datagrams are duplicated, reordered and lost at the rates of the link, and reach all multicast members except the sender.
func TestDatagramFaults(t *testing.T) {
	p := newPair(t, 4)
	a, b, all := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.9:7")
	var received []byte
	returned := 0
	out, err := p.loops[0].ListenUDP(a, func(netip.AddrPort, []byte) { returned++ })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.loops[1].ListenUDP(b, func(_ netip.AddrPort, text []byte) { received = append(received, text...) }); err != nil {
		t.Fatal(err)
	}
	p.world.SetMulticast(all, []netip.AddrPort{a, b})
	faulty := LocalLink
	faulty.Loss, faulty.Duplicate, faulty.Reorder, faulty.ReorderDelay = 0.2, 0.3, 0.3, 20*time.Millisecond
	p.world.SetRoute(p.hosts[0], b, faulty, LocalLink)
	for i := range 250 {
		out.Send(all, []byte{byte(i)})
		p.run(2 * time.Millisecond)
	}
	p.run(time.Second)
	times, reordered := make(map[byte]int), 0
	for i, n := range received {
		times[n]++
		if i > 0 && n < received[i-1] {
			reordered++
		}
	}
	duplicated := 0
	for _, n := range times {
		if n == 2 {
			duplicated++
		}
	}
	if lost := 250 - len(times); lost < 30 || lost > 70 || duplicated < 40 || duplicated > 90 || reordered < 20 || returned != 0 {
		t.Errorf("of 250 datagrams: %d lost, %d duplicated, %d reordered, %d returned to the sender", lost, duplicated, reordered, returned)
	}
}

// Connects whose sockets are closed while the link is cut do not arrive once it is restored: a kernel does not resend the
// connect of a closed socket.
func TestAbandonedConnectsDoNotArriveLater(t *testing.T) {
	p := newPair(t, 1)
	cut := LocalLink
	cut.Cut = true
	p.world.SetLink(p.hosts[0], p.hosts[1], cut)
	for range 20 {
		p.dial(t)
		p.client.stream.Close()
	}
	p.run(5 * time.Second)
	p.world.SetLink(p.hosts[0], p.hosts[1], LocalLink)
	p.run(5 * time.Second)
	if p.server != nil {
		t.Error("the connect of a closed socket has arrived")
	}
	if n, _ := p.loops[1].DescriptorCounts(); n != 4 { // three open at the start, and the listener
		t.Errorf("%d descriptors are open although no connect arrived", n)
	}
	p.dial(t)
	p.run(time.Second)
	if !p.client.opened {
		t.Error("the connect of an open socket did not arrive")
	}
}
