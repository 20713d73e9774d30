package eventloop_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
)

// oneByteHandler takes one byte as a message, and records at which iteration of the host it did so.
type oneByteHandler struct {
	host       *sim.Host
	stream     *eventloop.Stream
	iterations []int
	deferred   bool // each further message is taken by a deferred delivery, as after an answer
	last       *int // number of the handler that was called last
	number     int
	switches   int // calls behind a call of another handler
}

func (h *oneByteHandler) Opened()        {}
func (h *oneByteHandler) Closed(error)   {}
func (h *oneByteHandler) Panicked(error) {}

func (h *oneByteHandler) Input([]byte) int {
	h.iterations = append(h.iterations, h.host.Iterations)
	if *h.last != h.number {
		h.switches++
	}
	*h.last = h.number
	if !h.deferred {
		return 1
	}
	h.stream.Skip(1)
	loopOf(h.host).Defer(h.stream.DeliverInput)
	return 0
}

var loops = make(map[*sim.Host]*eventloop.Loop)

func loopOf(h *sim.Host) *eventloop.Loop { return loops[h] }

// Guards against a peer that sends many small messages and keeps all others waiting until each of them is served.
func TestManySmallMessagesTakeTurnsWithOtherStreams(t *testing.T) {
	const messages, maxPerIteration = 4000, 8
	for _, deferred := range []bool{false, true} {
		world := sim.New(1, time.Hour)
		server, client := world.AddHost("server"), world.AddHost("client")
		for _, h := range []*sim.Host{server, client} {
			l, err := eventloop.NewWithSystem(h, 100, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			loops[h] = l
			h.Serve(l, func() {})
		}
		address, last := netip.MustParseAddrPort("10.0.0.1:1"), -1
		var handlers []*oneByteHandler
		if _, err := loops[server].Listen(address, 1<<16, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			h := &oneByteHandler{host: server, deferred: deferred, last: &last, number: len(handlers)}
			h.stream = open(h)
			handlers = append(handlers, h)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		loops[client].Defer(func() {
			for range 2 {
				s, err := loops[client].Dial(address, &oneByteHandler{host: client, last: new(int)}, 1<<10)
				if err != nil {
					t.Error(err)
					return
				}
				s.Send(bytes.Repeat([]byte{1}, messages))
			}
		})
		world.Run(time.Hour + 10*time.Second)
		for n, h := range handlers {
			perIteration := make(map[int]int)
			for _, i := range h.iterations {
				perIteration[i]++
			}
			for i, count := range perIteration {
				if count > maxPerIteration {
					t.Fatalf("deferred=%t: stream %d had %d messages served in iteration %d, %d are allowed", deferred, n, count, i, maxPerIteration)
				}
			}
			if len(h.iterations) != messages || h.switches < messages/maxPerIteration/2 {
				t.Errorf("deferred=%t: stream %d had %d of %d messages served, in %d turns", deferred, n, len(h.iterations), messages, h.switches)
			}
		}
		if len(handlers) != 2 {
			t.Fatalf("%d streams were accepted", len(handlers))
		}
	}
}
