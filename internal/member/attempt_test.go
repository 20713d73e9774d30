package member_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/member"
	"passtack/internal/member/odata"
	"passtack/internal/recovery"
)

// send sends one attempt in the next iteration of the pool's loop.
func (s *fixture) send(rpc driver.RPC, writeDeadline, deadline time.Duration, size int) (call *uint32) {
	call = new(uint32)
	ask := &driver.MemberRequest{Before: []byte("/* id=x,c=look,d="), After: append([]byte(" */ SELECT 1"), make([]byte, size)...)}
	s.loop.Defer(func() { *call = s.pool.Attempt(rpc, 0, 1, writeDeadline, deadline, ask) })
	return call
}

func (s *fixture) check(t *testing.T, rpc driver.RPC, want driver.Outcome, queries int) {
	t.Helper()
	s.world.Run(time.Hour + 10*time.Second)
	if got, ok := s.ledger.outcomes[rpc]; !ok || got != want || s.member.queries != queries || s.pool.InFlight() != 0 || s.pool.Waiting() != 0 {
		t.Errorf("ended %t, outcome %d, want %d; %d queries, want %d; %d in flight", ok, got, want, s.member.queries, queries, s.pool.InFlight())
	}
}

// The connection is established after the write deadline.
func TestNothingIsWrittenAfterTheWriteDeadline(t *testing.T) {
	s := newFixture(t, 100*ms, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	s.check(t, 1, driver.NoConnection, 0)
}

// The connection is established in time, but the driver is suspended: the timer and the greeting are seen in one iteration of
// the loop.
func TestNothingIsWrittenAfterASuspensionPastTheDeadline(t *testing.T) {
	s := newFixture(t, 30*ms, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	s.world.At(time.Hour+10*ms, func() { s.host.Pause(time.Hour + 200*ms) })
	s.check(t, 1, driver.NoConnection, 0)
}

// The response to an attempt that was written in time may take as long as its client waits.
func TestAResponseIsAwaitedBeyondTheWriteDeadline(t *testing.T) {
	s := newFixture(t, 0, true)
	s.send(1, time.Hour+3*ms, time.Hour+time.Second, 0)
	s.check(t, 1, driver.Miss, 1)
}

// An attempt that is partly written at the write deadline is cut off, and has not run.
func TestAPartlyWrittenAttemptIsCutOffAtTheWriteDeadline(t *testing.T) {
	s := newFixture(t, 0, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 200<<10) // more than the member reads and the network buffers
	s.world.Run(time.Hour + 100*ms)
	if s.member.closed != 1 {
		t.Error("the connection is open after the write deadline")
	}
	s.check(t, 1, driver.NoConnection, 0)
}

// The client disconnects while a connection is being established, while the attempt waits for one, or while it is partly
// written: the member does not receive it.
func TestAWithdrawnAttemptIsNotWritten(t *testing.T) {
	for name, size := range map[string]int{"being established": 0, "partly written": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			work := 100 * ms
			if size > 0 {
				work = 0
			}
			s := newFixture(t, work, true)
			call := s.send(1, time.Hour+time.Second, time.Hour+time.Second, size)
			s.world.At(time.Hour+50*ms, func() { s.host.Post(func() { s.pool.Withdraw(*call) }) })
			s.world.Run(time.Hour + 60*ms)
			if size > 0 && s.member.closed != 1 {
				t.Error("the connection is open")
			}
			s.check(t, 1, driver.Moot, 0)
		})
	}
	t.Run("in the queue", func(t *testing.T) {
		s := newFixture(t, 100*ms, true)
		var calls []*uint32
		for i := range 30 {
			calls = append(calls, s.send(driver.RPC(i+1), time.Hour+2*time.Second, time.Hour+2*time.Second, 0))
		}
		s.world.At(time.Hour+50*ms, func() {
			s.host.Post(func() {
				for _, call := range calls {
					s.pool.Withdraw(*call)
				}
			})
		})
		s.check(t, 30, driver.Moot, 0)
	})
	t.Run("a fully written one goes on", func(t *testing.T) {
		s := newFixture(t, 0, true)
		call := s.send(1, time.Hour+time.Second, time.Hour+time.Second, 0)
		s.world.At(time.Hour+4*ms, func() { s.host.Post(func() { s.pool.Withdraw(*call) }) })
		s.check(t, 1, driver.Miss, 1)
	})
}

// unsizedResponder answers a request without a length, and then resets the connection or closes it in order.
type unsizedResponder struct {
	stream *loop.Stream
	end    func(*loop.Stream)
}

func (c *unsizedResponder) Opened()        {}
func (c *unsizedResponder) Closed(error)   {}
func (c *unsizedResponder) Panicked(error) {}
func (c *unsizedResponder) Input(in []byte) int {
	if !bytes.Contains(in, []byte("\r\n\r\n")) {
		return 0
	}
	c.stream.Send([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"Id\":\"1\"}"))
	c.end(c.stream)
	return len(in)
}

// An HTTP response without a length is complete when its connection is closed in order, but not when it is reset.
func TestAResetDoesNotEndAResponse(t *testing.T) {
	for name, c := range map[string]struct {
		how  func(*loop.Stream)
		want driver.Outcome
	}{
		"ends in order":  {(*loop.Stream).CloseWhenSent, driver.OK},
		"resets at once": {(*loop.Stream).Reset, driver.Broken},
		"resets later":   {nil, driver.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 0, false)
			if c.how == nil {
				c.how = func(k *loop.Stream) { s.member.loop.At(s.member.loop.Now()+50*ms, k.Reset) }
			}
			at := netip.MustParseAddrPort("10.0.0.1:5432")
			if _, err := s.member.loop.Listen(at, 1<<12, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
				k := &unsizedResponder{end: c.how}
				k.stream = open(k)
			}, func(bool) {}); err != nil {
				t.Fatal(err)
			}
			opens := recovery.NewConnectLimiter(250 * ms)
			p := member.New(s.loop, s.ledger, &odata.Protocol{Host: "m"}, &opens, 250*ms, 15*time.Second)
			p.SetAddress(1, at)
			ask := &driver.MemberRequest{Form: driver.Requests, Verb: "GET", Path: "/Applications('1')"}
			s.loop.Defer(func() { p.Attempt(1, 0, 1, time.Hour+time.Second, time.Hour+time.Second, ask) })
			s.world.Run(time.Hour + 2*time.Second)
			if got, ok := s.ledger.outcomes[1]; !ok || got != c.want {
				t.Errorf("ended %t, outcome %d, want %d", ok, got, c.want)
			}
		})
	}
}
