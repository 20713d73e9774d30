package member_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/member"
	"passtack/internal/member/odata"
	"passtack/internal/recovery"
)

// send sends one attempt in the next iteration of the pool's loop, which then sets the handle.
func (f *fixture) send(rpc driver.RPC, writeDeadline, deadline time.Duration, size int) (handle *uint32) {
	handle = new(uint32)
	request := &driver.MemberRequest{Before: []byte("/* id=x,c=look,d="), After: append([]byte(" */ SELECT 1"), make([]byte, size)...)}
	f.loop.Defer(func() { *handle = f.pool.Attempt(rpc, 0, 1, writeDeadline, deadline, request) })
	return handle
}

// check runs the simulation and checks the attempt's outcome and how many queries the member received.
func (f *fixture) check(t *testing.T, rpc driver.RPC, want driver.Outcome, queries int) {
	t.Helper()
	f.world.Run(time.Hour + 10*time.Second)
	if got, ok := f.recorder.outcomes[rpc]; !ok || got != want || f.member.queries != queries || f.pool.InFlight() != 0 || f.pool.Waiting() != 0 {
		t.Errorf("ended %t, outcome %d, want %d; %d queries, want %d; %d in flight", ok, got, want, f.member.queries, queries, f.pool.InFlight())
	}
}

// Guards against a request written after its write deadline, because the connection is established only then.
func TestNothingIsWrittenAfterTheWriteDeadline(t *testing.T) {
	f := newFixture(t, 100*ms, true)
	f.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	f.check(t, 1, driver.NoConnection, 0)
}

// Guards against a request written after its write deadline because the driver was suspended: the connection was established in
// time, but the loop handles the greeting and the expired timer in one iteration.
func TestNothingIsWrittenAfterASuspensionPastTheDeadline(t *testing.T) {
	f := newFixture(t, 30*ms, true)
	f.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	f.world.At(time.Hour+10*ms, func() { f.host.Pause(time.Hour + 200*ms) })
	f.check(t, 1, driver.NoConnection, 0)
}

// Guards against ending an attempt at the write deadline although it was fully written in time and its response is not due yet.
func TestAResponseIsAwaitedBeyondTheWriteDeadline(t *testing.T) {
	f := newFixture(t, 0, true)
	f.send(1, time.Hour+3*ms, time.Hour+time.Second, 0)
	f.check(t, 1, driver.Misdirected, 1)
}

// Guards against a request that runs although it was only partly written at the write deadline: its connection must be closed.
func TestAPartlyWrittenAttemptIsCutOffAtTheWriteDeadline(t *testing.T) {
	f := newFixture(t, 0, true)
	f.send(1, time.Hour+50*ms, time.Hour+time.Second, 200<<10) // more than the member reads and the network buffers
	f.world.Run(time.Hour + 100*ms)
	if f.member.closed != 1 {
		t.Error("the connection is open after the write deadline")
	}
	f.check(t, 1, driver.NoConnection, 0)
}

// Guards against a request that reaches the member although its client disconnected before it was fully written: while the
// connection is being established, while the attempt waits for one, or while it is partly written.
func TestAWithdrawnAttemptIsNotWritten(t *testing.T) {
	for name, size := range map[string]int{"being established": 0, "partly written": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			work := 100 * ms
			if size > 0 {
				work = 0
			}
			f := newFixture(t, work, true)
			handle := f.send(1, time.Hour+time.Second, time.Hour+time.Second, size)
			f.world.At(time.Hour+50*ms, func() { f.host.Post(func() { f.pool.Withdraw(*handle) }) })
			f.world.Run(time.Hour + 60*ms)
			if size > 0 && f.member.closed != 1 {
				t.Error("the connection is open")
			}
			f.check(t, 1, driver.NotSent, 0)
		})
	}
	t.Run("in the queue", func(t *testing.T) {
		f := newFixture(t, 100*ms, true)
		var handles []*uint32
		for i := range 30 {
			handles = append(handles, f.send(driver.RPC(i+1), time.Hour+2*time.Second, time.Hour+2*time.Second, 0))
		}
		f.world.At(time.Hour+50*ms, func() {
			f.host.Post(func() {
				for _, handle := range handles {
					f.pool.Withdraw(*handle)
				}
			})
		})
		f.check(t, 30, driver.NotSent, 0)
	})
	t.Run("a fully written one goes on", func(t *testing.T) {
		f := newFixture(t, 0, true)
		handle := f.send(1, time.Hour+time.Second, time.Hour+time.Second, 0)
		f.world.At(time.Hour+4*ms, func() { f.host.Post(func() { f.pool.Withdraw(*handle) }) })
		f.check(t, 1, driver.Misdirected, 1)
	})
}

// Guards against a request that counts as not run although its member has it: a cancelled attempt has no connection any more, and looks like
// one that was never written.
func TestExecutionOfCancelledAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		work      time.Duration // of the member before it accepts the connection
		execution driver.Execution
		outcome   driver.Outcome
		queries   int
	}{"fully written": {0, driver.MayHaveRun, driver.Cancelled, 1}, "being established": {100 * ms, driver.NotRun, driver.NotSent, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.work, true)
			handle := f.send(1, time.Hour+time.Second, time.Hour+time.Second, 0)
			f.world.At(time.Hour+4*ms, func() {
				f.host.Post(func() {
					before := f.pool.Execution(*handle)
					f.pool.Cancel(*handle)
					f.pool.Withdraw(*handle)
					if after := f.pool.Execution(*handle); before != test.execution || after != test.execution {
						t.Errorf("execution %d before the cancellation and %d after it, want %d", before, after, test.execution)
					}
				})
			})
			f.check(t, 1, test.outcome, test.queries)
			if f.pool.Execution(*handle) != driver.NotRun {
				t.Error("an attempt that has its outcome counts as in flight")
			}
		})
	}
}

// unsizedResponder answers a request with a response without a length, and then resets the connection or closes it in order.
type unsizedResponder struct {
	stream *eventloop.Stream
	end    func(*eventloop.Stream)
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

// Guards against a truncated HTTP response taken for a complete one: a response without a length ends with an orderly close of
// its connection, not with a reset.
func TestAResetDoesNotEndAResponse(t *testing.T) {
	for name, c := range map[string]struct {
		endWith func(*eventloop.Stream)
		want    driver.Outcome
	}{
		"ends in order":  {(*eventloop.Stream).CloseWhenSent, driver.OK},
		"resets at once": {(*eventloop.Stream).Reset, driver.Broken},
		"resets later":   {nil, driver.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, false)
			if c.endWith == nil {
				c.endWith = func(responder *eventloop.Stream) { f.member.loop.At(f.member.loop.Now()+50*ms, responder.Reset) }
			}
			address := netip.MustParseAddrPort("10.0.0.1:5432")
			if _, err := f.member.loop.Listen(address, 1<<12, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
				responder := &unsizedResponder{end: c.endWith}
				responder.stream = open(responder)
			}, func(bool) {}); err != nil {
				t.Fatal(err)
			}
			limiter := recovery.NewConnectLimiter(250 * ms)
			pool := member.New(f.loop, f.recorder, &odata.Protocol{Host: "m"}, &limiter, 250*ms, 15*time.Second)
			pool.SetAddress(1, address)
			request := &driver.MemberRequest{Form: driver.Requests, Verb: "GET", Path: "/Applications('1')"}
			f.loop.Defer(func() { pool.Attempt(1, 0, 1, time.Hour+time.Second, time.Hour+time.Second, request) })
			f.world.Run(time.Hour + 2*time.Second)
			if got, ok := f.recorder.outcomes[1]; !ok || got != c.want {
				t.Errorf("ended %t, outcome %d, want %d", ok, got, c.want)
			}
		})
	}
}
