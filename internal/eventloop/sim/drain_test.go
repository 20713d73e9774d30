package sim

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/eventloop"
	"passtack/internal/pcg"
)

// discardHandler consumes and discards all input.
type discardHandler struct{}

func (discardHandler) Opened()             {}
func (discardHandler) Input(in []byte) int { return len(in) }
func (discardHandler) Closed(error)        {}
func (discardHandler) Panicked(error)      {}

// failingAccept is a System whose Accept fails with cause while cause is set.
type failingAccept struct {
	eventloop.System
	cause error
}

func (s *failingAccept) Accept(fd int) (int, error) {
	if s.cause != nil {
		return 0, s.cause
	}
	return s.System.Accept(fd)
}

// A draining listener must not close before its backlog is accepted, even if accepting is impossible at first, because of the
// listener's limit or because the kernel lacks resources.
func TestDrainedListenerAcceptsItsBacklog(t *testing.T) {
	const start = 1000 * time.Second
	for name, cause := range map[string]error{
		"the limit": nil, "ENFILE": unix.ENFILE, "ENOBUFS": unix.ENOBUFS, "ENETDOWN": unix.ENETDOWN,
	} {
		t.Run(name, func(t *testing.T) {
			w := New(1, start)
			system := &failingAccept{w.AddHost("driver"), cause}
			l, err := eventloop.NewWithSystem(system, 100, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			w.Hosts()[0].Serve(l, func() {})
			address, accepted, allowed := netip.MustParseAddrPort("10.0.0.1:5432"), 0, 0
			if cause != nil {
				allowed = 50
			}
			limiter := eventloop.AcceptLimiter{Descriptors: func(int) int { return allowed }}
			listener, err := l.Listen(address, 1<<10, limiter, func(open func(eventloop.Handler) *eventloop.Stream) {
				open(discardHandler{})
				accepted++
			}, func(bool) {})
			if err != nil {
				t.Fatal(err)
			}
			clients, err := eventloop.NewWithSystem(w.AddHost("clients"), 100, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			w.Hosts()[1].Serve(clients, func() {})
			clients.Defer(func() {
				for range 8 {
					clients.Dial(address, discardHandler{}, 1<<10)
				}
			})
			w.At(start+50*time.Millisecond, func() { l.At(w.Now(), listener.Drain) })
			w.At(start+400*time.Millisecond, func() {
				if accepted > 0 || listener.Closed() {
					t.Errorf("%d connections were accepted too early, listener closed: %t", accepted, listener.Closed())
				}
				system.cause, allowed = nil, 50
			})
			w.Run(start + time.Second)
			if accepted != 8 || !listener.Closed() {
				t.Errorf("%d of 8 connections were accepted, listener closed: %t", accepted, listener.Closed())
			}
		})
	}
}

// Two runs with the same seed make the same calls fail with the same errors.
func TestFaultsAreReproducible(t *testing.T) {
	draw := func() (errs []error) {
		f := &Faults{Random: pcg.New(3), Rate: 0.3, Counts: make(map[string]int)}
		for range 50 {
			errs = append(errs, f.inject("read", unix.EINTR, unix.ENOMEM))
		}
		return errs
	}
	first, second := draw(), draw()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("call %d: %v, then %v", i, first[i], second[i])
		}
	}
}
