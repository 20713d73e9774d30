package sim

import (
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/pcg"
)

// limitedHandler consumes only as many bytes as remaining allows.
type limitedHandler struct {
	endpoint
	remaining int
}

func (k *limitedHandler) Input(in []byte) int {
	n := min(k.remaining, len(in))
	k.remaining -= n
	return n
}

// However input arrives, is paused and consumed, ArrivedAt is never later than the true arrival of a byte. Where reading was never
// paused, it is not much earlier than the byte was sent.
func TestArrivalTimesAreNeverTooLate(t *testing.T) {
	for name, c := range map[string]struct{ pieces, longest, bears int }{
		"few pieces":               {40, 200, 1 << 20},
		"more than the log holds":  {400, 60, 1 << 20},
		"until the buffer is full": {200, 250, 300},
	} {
		t.Run(name, func(t *testing.T) {
			early := time.Millisecond // 400 pieces take some 2.2 s: at most one part in 32 of it, and the kernel's resolution
			if c.pieces > 64 {
				early += 70 * time.Millisecond
			}
			for seed := range uint64(20) {
				chance := pcg.New(seed)
				w := New(seed, start)
				var loops [2]*loop.Loop
				for i, host := range []string{"client", "driver"} {
					h := w.AddHost(host)
					l, err := loop.NewWithSystem(h, 100, 8<<20)
					if err != nil {
						t.Fatal(err)
					}
					h.Serve(l, func() {})
					loops[i] = l
				}
				k := &limitedHandler{endpoint: endpoint{loop: loops[1]}}
				if _, err := loops[1].Listen(serverAddress, c.bears, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) { k.stream = open(k) }, func(bool) {}); err != nil {
					t.Fatal(err)
				}
				var from *loop.Stream
				var err error
				if from, err = loops[0].Dial(serverAddress, &endpoint{loop: loops[0]}, 1<<20); err != nil {
					t.Fatal(err)
				}
				var sent []time.Duration // when each byte was
				taken, paused, after := 0, false, start+10*time.Millisecond
				for range c.pieces {
					after += time.Duration(1+chance.Below(10)) * time.Millisecond
					n := 1 + chance.Below(c.longest)
					w.At(after, func() {
						loops[0].At(w.Now(), func() {
							for range n {
								sent = append(sent, w.Now())
							}
							from.Send(make([]byte, n))
						})
					})
					if chance.Below(3) == 0 {
						w.At(after+time.Millisecond/2, func() {
							loops[1].At(w.Now(), func() {
								unread := len(k.stream.Unread())
								paused = paused || k.stream.ReadPaused()
								for n := 1; n <= unread; n += 1 + chance.Below(20) {
									came, was := k.stream.ArrivedAt(n), sent[taken+n-1]
									if came > was+2*time.Millisecond {
										t.Fatalf("seed %d: byte %d arrived %v after it was sent", seed, taken+n, came-was)
									}
									if !paused && came < was-early {
										t.Fatalf("seed %d: byte %d arrived %v before it was sent", seed, taken+n, was-came)
									}
								}
								before := len(k.stream.Unread())
								k.remaining = chance.Below(unread + 1)
								k.stream.DeliverInput()
								taken += before - len(k.stream.Unread())
							})
						})
					}
				}
				w.Run(after + time.Second)
				if len(sent) < c.pieces || paused != (c.bears < 1<<20) {
					t.Fatalf("seed %d: %d bytes were sent, reading was paused: %v", seed, len(sent), paused)
				}
			}
		})
	}
}
