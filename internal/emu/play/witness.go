package play

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/node"
)

// Witness is where the holders of a lease act: it stands outside of all drivers, keeps the highest number that it saw and refuses lower ones.
type Witness struct {
	loop    *eventloop.Loop
	Acts    []Act
	highest uint64
	Refused int // acts under a lower number than one that came before
	Drivers int // most that a summary spoke of
}

// Act is one that came.
type Act struct {
	Number uint64
	Holder string
	Asked  time.Duration // the holder's guard, by the clock of the machine
	Came   time.Duration
	Taken  bool
}

// NewWitness listens at the address.
func NewWitness(l *eventloop.Loop, at netip.AddrPort) (*Witness, error) {
	w := &Witness{loop: l}
	_, err := l.Listen(at, 64<<10, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &caller{witness: w}
		c.stream = open(c)
	}, func(bool) {})
	return w, err
}

type caller struct {
	witness *Witness
	stream  *eventloop.Stream
}

// Opened implements eventloop.Handler.
func (c *caller) Opened() {}

// Closed implements eventloop.Handler.
func (c *caller) Closed(error) {}

// Panicked implements eventloop.Handler.
func (c *caller) Panicked(cause error) { c.stream.Close() }

// Input implements eventloop.Handler.
func (c *caller) Input(in []byte) int {
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 16 << 10})
	if fault != nil {
		c.stream.Close()
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	status := c.witness.heard(r)
	out := httpwire.AppendStatus(nil, status)
	c.stream.Send(httpwire.AppendLength(out, 0))
	return r.Size
}

func (w *Witness) heard(r httpwire.Request) int {
	var s node.FleetSummary
	number, err := strconv.ParseUint(r.Fields.Text("Fencing"), 10, 64)
	if err != nil || json.Unmarshal(r.Body, &s) != nil || s.FencingToken != number {
		return 400
	}
	a := Act{Number: number, Holder: s.Holder, Asked: s.HeldAt, Came: w.loop.Now(), Taken: number >= w.highest}
	w.Acts = append(w.Acts, a)
	w.Drivers = max(w.Drivers, s.Drivers)
	if !a.Taken {
		w.Refused++
		return 409
	}
	w.highest = number
	return 204
}

// Broken tells where two held at once: the guards of two terms have said yes in times that overlap, or a number belongs to two drivers.
func (w *Witness) Broken() (all []string) {
	type term struct {
		holder      string
		first, last time.Duration
	}
	terms := make(map[uint64]*term)
	for _, a := range w.Acts {
		t := terms[a.Number]
		if t == nil {
			t = &term{a.Holder, a.Asked, a.Asked}
			terms[a.Number] = t
		}
		if t.holder != a.Holder {
			all = append(all, fmt.Sprintf("%s and %s act under number %d", t.holder, a.Holder, a.Number))
		}
		t.first, t.last = min(t.first, a.Asked), max(t.last, a.Asked)
	}
	var before *term
	for _, number := range slices.Sorted(maps.Keys(terms)) {
		t := terms[number]
		if before != nil && t.first <= before.last {
			all = append(all, fmt.Sprintf("%s acts %v before the last act of %s, whose number is lower", t.holder, before.last-t.first, before.holder))
		}
		before = t
	}
	return all
}

// Terms counts the terms in which somebody acted.
func (w *Witness) Terms() int {
	numbers := make(map[uint64]bool)
	for _, a := range w.Acts {
		numbers[a.Number] = true
	}
	return len(numbers)
}

// Longest is the longest time without an act from one time to another, as the loop counts.
func (w *Witness) Longest(from, to time.Duration) (longest time.Duration) {
	last := from
	for _, a := range w.Acts {
		if a.Taken && a.Came >= from && a.Came <= to {
			longest = max(longest, a.Came-last)
			last = a.Came
		}
	}
	return max(longest, to-last)
}
