package sim

import (
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/pcg"
)

// limitedHandler consumes at most remaining bytes.
type limitedHandler struct {
	endpoint
	remaining int // number of bytes that Input may still consume
}

func (h *limitedHandler) Input(in []byte) int {
	n := min(h.remaining, len(in))
	h.remaining -= n
	return n
}

// ArrivedAt is never later than the actual arrival of a byte, whether input arrives in many pieces, is consumed in part, or
// waits while reading is paused. If reading was never paused, ArrivedAt is not much earlier than the time of sending.
func TestArrivalTimesAreNeverTooLate(t *testing.T) {
	for name, c := range map[string]struct{ pieces, maxPiece, maxInput int }{
		"few pieces":               {40, 200, 1 << 20},
		"more than the log holds":  {400, 60, 1 << 20},
		"until the buffer is full": {200, 250, 300},
	} {
		t.Run(name, func(t *testing.T) {
			early := time.Millisecond // 400 pieces take about 2.2 s: at most 1/32 of this, and the kernel's resolution of 1 ms
			if c.pieces > 64 {
				early += 70 * time.Millisecond
			}
			for seed := range uint64(20) {
				random := pcg.New(seed)
				w := New(seed, start)
				var loops [2]*eventloop.Loop
				for i, host := range []string{"client", "driver"} {
					h := w.AddHost(host)
					l, err := eventloop.NewWithSystem(h, 100, 8<<20)
					if err != nil {
						t.Fatal(err)
					}
					h.Serve(l, func() {})
					loops[i] = l
				}
				handler := &limitedHandler{endpoint: endpoint{loop: loops[1]}}
				if _, err := loops[1].Listen(serverAddress, c.maxInput, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) { handler.stream = open(handler) }, func(bool) {}); err != nil {
					t.Fatal(err)
				}
				var sender *eventloop.Stream
				var err error
				if sender, err = loops[0].Dial(serverAddress, &endpoint{loop: loops[0]}, 1<<20); err != nil {
					t.Fatal(err)
				}
				var sent []time.Duration // time at which each byte was sent
				consumed, paused, sendAt := 0, false, start+10*time.Millisecond
				for range c.pieces {
					sendAt += time.Duration(1+random.Below(10)) * time.Millisecond
					n := 1 + random.Below(c.maxPiece)
					w.At(sendAt, func() {
						loops[0].At(w.Now(), func() {
							for range n {
								sent = append(sent, w.Now())
							}
							sender.Send(make([]byte, n))
						})
					})
					if random.Below(3) == 0 {
						w.At(sendAt+time.Millisecond/2, func() {
							loops[1].At(w.Now(), func() {
								unread := len(handler.stream.Unread())
								paused = paused || handler.stream.ReadPaused()
								for n := 1; n <= unread; n += 1 + random.Below(20) {
									arrivedAt, sentAt := handler.stream.ArrivedAt(n), sent[consumed+n-1]
									if arrivedAt > sentAt+2*time.Millisecond {
										t.Fatalf("seed %d: ArrivedAt of byte %d is %v after it was sent", seed, consumed+n, arrivedAt-sentAt)
									}
									if !paused && arrivedAt < sentAt-early {
										t.Fatalf("seed %d: ArrivedAt of byte %d is %v before it was sent", seed, consumed+n, sentAt-arrivedAt)
									}
								}
								before := len(handler.stream.Unread())
								handler.remaining = random.Below(unread + 1)
								handler.stream.DeliverInput()
								consumed += before - len(handler.stream.Unread())
							})
						})
					}
				}
				w.Run(sendAt + time.Second)
				if len(sent) < c.pieces || paused != (c.maxInput < 1<<20) {
					t.Fatalf("seed %d: unexpected course of the test: %d bytes were sent, reading was paused: %v", seed, len(sent), paused)
				}
			}
		})
	}
}
