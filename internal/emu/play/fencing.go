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

// FencingServer receives the summaries of lease holders. It is independent of all drivers, keeps the highest fencing
// token that it has seen and refuses lower ones.
type FencingServer struct {
	loop     *eventloop.Loop
	Requests []FencedRequest
	highest  uint64
	Refused  int // requests with a lower token than an earlier one
	Drivers  int // largest number of drivers in a summary
}

// FencedRequest is one summary that arrived.
type FencedRequest struct {
	Token      uint64
	Holder     string
	HeldAt     time.Duration // when the holder last checked its lease, by the machine's clock
	ReceivedAt time.Duration
	Accepted   bool
}

// NewFencingServer listens at the address.
func NewFencingServer(l *eventloop.Loop, at netip.AddrPort) (*FencingServer, error) {
	f := &FencingServer{loop: l}
	_, err := l.Listen(at, 64<<10, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &fencingConn{server: f}
		c.stream = open(c)
	}, func(bool) {})
	return f, err
}

type fencingConn struct {
	server *FencingServer
	stream *eventloop.Stream
}

// Opened implements eventloop.Handler.
func (c *fencingConn) Opened() {}

// Closed implements eventloop.Handler.
func (c *fencingConn) Closed(error) {}

// Panicked implements eventloop.Handler.
func (c *fencingConn) Panicked(cause error) { c.stream.Close() }

// Input implements eventloop.Handler.
func (c *fencingConn) Input(in []byte) int {
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 16 << 10})
	if fault != nil {
		c.stream.Close()
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	status := c.server.handle(r)
	out := httpwire.AppendStatus(nil, status)
	c.stream.Send(httpwire.AppendLength(out, 0))
	return r.Size
}

func (f *FencingServer) handle(r httpwire.Request) int {
	var s node.FleetSummary
	number, err := strconv.ParseUint(r.Fields.Text("Fencing"), 10, 64)
	if err != nil || json.Unmarshal(r.Body, &s) != nil || s.FencingToken != number {
		return 400
	}
	a := FencedRequest{Token: number, Holder: s.Holder, HeldAt: s.HeldAt, ReceivedAt: f.loop.Now(), Accepted: number >= f.highest}
	f.Requests = append(f.Requests, a)
	f.Drivers = max(f.Drivers, s.Drivers)
	if !a.Accepted {
		f.Refused++
		return 409
	}
	f.highest = number
	return 204
}

// Broken describes cases in which two drivers held the lease at once: requests of two terms overlap in time, or two
// drivers used the same token.
func (f *FencingServer) Broken() (all []string) {
	type term struct {
		holder      string
		first, last time.Duration
	}
	terms := make(map[uint64]*term)
	for _, a := range f.Requests {
		t := terms[a.Token]
		if t == nil {
			t = &term{a.Holder, a.HeldAt, a.HeldAt}
			terms[a.Token] = t
		}
		if t.holder != a.Holder {
			all = append(all, fmt.Sprintf("%s and %s used fencing token %d", t.holder, a.Holder, a.Token))
		}
		t.first, t.last = min(t.first, a.HeldAt), max(t.last, a.HeldAt)
	}
	var before *term
	for _, number := range slices.Sorted(maps.Keys(terms)) {
		t := terms[number]
		if before != nil && t.first <= before.last {
			all = append(all, fmt.Sprintf("%s acted %v before the last request of %s, whose fencing token is lower", t.holder, before.last-t.first, before.holder))
		}
		before = t
	}
	return all
}

// Terms returns the number of terms with at least one request.
func (f *FencingServer) Terms() int {
	numbers := make(map[uint64]bool)
	for _, a := range f.Requests {
		numbers[a.Token] = true
	}
	return len(numbers)
}

// LongestGap returns the longest time without an accepted request between two times of the loop's clock.
func (f *FencingServer) LongestGap(from, to time.Duration) (longest time.Duration) {
	last := from
	for _, a := range f.Requests {
		if a.Accepted && a.ReceivedAt >= from && a.ReceivedAt <= to {
			longest = max(longest, a.ReceivedAt-last)
			last = a.ReceivedAt
		}
	}
	return max(longest, to-last)
}
