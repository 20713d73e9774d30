package sim

import (
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/pcg"
)

// keeper takes no more of its input than it is told.
type keeper struct {
	end
	most int
}

func (k *keeper) Input(in []byte) int {
	n := min(k.most, len(in))
	k.most -= n
	return n
}

// However input comes in, rests and is taken, no byte is said to have come later than it did; and where reading never rested, none is said
// to have come long before it was sent.
func TestNoInputIsSaidToHaveComeLater(t *testing.T) {
	for name, c := range map[string]struct{ pieces, longest, bears int }{
		"few pieces":               {40, 200, 1 << 20},
		"more than are noted":      {400, 60, 1 << 20},
		"until the buffer is full": {200, 250, 300},
	} {
		t.Run(name, func(t *testing.T) {
			early := time.Millisecond // of 400 pieces some 2.2 s long: no more than a part in 32, and the kernel's grain
			if c.pieces > 64 {
				early += 70 * time.Millisecond
			}
			for seed := range uint64(20) {
				chance := pcg.New(seed)
				w := New(seed, start)
				var loops [2]*loop.Loop
				for i, host := range []string{"client", "driver"} {
					h := w.Host(host)
					l, err := loop.On(h, 100, 8<<20)
					if err != nil {
						t.Fatal(err)
					}
					h.Serve(l, func() {})
					loops[i] = l
				}
				k := &keeper{end: end{loop: loops[1]}}
				if _, err := loops[1].Listen(at, c.bears, loop.Door{}, func(open func(loop.Handler) *loop.Stream) { k.stream = open(k) }, func(bool) {}); err != nil {
					t.Fatal(err)
				}
				var from *loop.Stream
				var err error
				if from, err = loops[0].Dial(at, &end{loop: loops[0]}, 1<<20); err != nil {
					t.Fatal(err)
				}
				var sent []time.Duration // when each byte was
				taken, rested, after := 0, false, start+10*time.Millisecond
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
								rested = rested || k.stream.Rests()
								for n := 1; n <= unread; n += 1 + chance.Below(20) {
									came, was := k.stream.Came(n), sent[taken+n-1]
									if came > was+2*time.Millisecond {
										t.Fatalf("seed %d: byte %d came %v after it was sent", seed, taken+n, came-was)
									}
									if !rested && came < was-early {
										t.Fatalf("seed %d: byte %d came %v before it was sent", seed, taken+n, was-came)
									}
								}
								before := len(k.stream.Unread())
								k.most = chance.Below(unread + 1)
								k.stream.Look()
								taken += before - len(k.stream.Unread())
							})
						})
					}
				}
				w.Run(after + time.Second)
				if len(sent) < c.pieces || rested != (c.bears < 1<<20) {
					t.Fatalf("seed %d: %d bytes were sent, reading rested: %v", seed, len(sent), rested)
				}
			}
		})
	}
}
