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

// send sends one attempt in the pool's next turn, which must be written whole by then.
func (s *scene) send(rpc driver.RPC, by, until time.Duration, size int) (call *uint32) {
	call = new(uint32)
	ask := &driver.Ask{Before: []byte("/* id=x,c=look,d="), After: append([]byte(" */ SELECT 1"), make([]byte, size)...)}
	s.loop.Later(func() { *call = s.pool.Attempt(rpc, 0, 1, by, until, ask) })
	return call
}

func (s *scene) check(t *testing.T, rpc driver.RPC, how driver.Outcome, asked int) {
	t.Helper()
	s.world.Run(time.Hour + 10*time.Second)
	if got, ok := s.ended.ended[rpc]; !ok || got != how || s.member.asked != asked || s.pool.Out() != 0 || s.pool.Waiting() != 0 {
		t.Errorf("it ended (%t) as %d, wanted %d; %d asked, wanted %d; %d are out", ok, got, how, s.member.asked, asked, s.pool.Out())
	}
}

// A connection comes up after the last moment at which the attempt may be written.
func TestNothingIsWrittenOnceItMayNotBe(t *testing.T) {
	s := newScene(t, 100*ms, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	s.check(t, 1, driver.NoConnection, 0)
}

// It comes up in time, but the driver stands still and finds it late: what is due then and what came then meet in one turn.
func TestNothingIsWrittenAfterAHaltPastItsTime(t *testing.T) {
	s := newScene(t, 30*ms, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 0)
	s.world.At(time.Hour+10*ms, func() { s.host.Pause(time.Hour + 200*ms) })
	s.check(t, 1, driver.NoConnection, 0)
}

// What was written in time is waited for as long as its client waits.
func TestAnAnswerIsWaitedForBeyondTheLastWrite(t *testing.T) {
	s := newScene(t, 0, true)
	s.send(1, time.Hour+3*ms, time.Hour+time.Second, 0)
	s.check(t, 1, driver.Miss, 1)
}

// What is written in part at the last moment is cut off, and has not run.
func TestWhatIsWrittenInPartIsCutOffInTime(t *testing.T) {
	s := newScene(t, 0, true)
	s.send(1, time.Hour+50*ms, time.Hour+time.Second, 200<<10) // more than the member reads and the way holds
	s.world.Run(time.Hour + 100*ms)
	if s.member.ended != 1 {
		t.Error("its connection goes on after its last moment")
	}
	s.check(t, 1, driver.NoConnection, 0)
}

// The client goes while a connection comes up, while it waits for another's, or while the RPC is half written: nothing of it goes out.
func TestWhatIsWithdrawnIsNotWritten(t *testing.T) {
	for name, size := range map[string]int{"coming up": 0, "in part": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			work := 100 * ms
			if size > 0 {
				work = 0
			}
			s := newScene(t, work, true)
			call := s.send(1, time.Hour+time.Second, time.Hour+time.Second, size)
			s.world.At(time.Hour+50*ms, func() { s.host.Do(func() { s.pool.Withdraw(*call) }) })
			s.world.Run(time.Hour + 60*ms)
			if size > 0 && s.member.ended != 1 {
				t.Error("its connection goes on")
			}
			s.check(t, 1, driver.Moot, 0)
		})
	}
	t.Run("behind others", func(t *testing.T) {
		s := newScene(t, 100*ms, true)
		var calls []*uint32
		for i := range 30 {
			calls = append(calls, s.send(driver.RPC(i+1), time.Hour+2*time.Second, time.Hour+2*time.Second, 0))
		}
		s.world.At(time.Hour+50*ms, func() {
			s.host.Do(func() {
				for _, call := range calls {
					s.pool.Withdraw(*call)
				}
			})
		})
		s.check(t, 30, driver.Moot, 0)
	})
	t.Run("what was written is let be", func(t *testing.T) {
		s := newScene(t, 0, true)
		call := s.send(1, time.Hour+time.Second, time.Hour+time.Second, 0)
		s.world.At(time.Hour+4*ms, func() { s.host.Do(func() { s.pool.Withdraw(*call) }) })
		s.check(t, 1, driver.Miss, 1)
	})
}

// cutter answers a request without telling a length, and then resets or ends in order.
type cutter struct {
	stream *loop.Stream
	how    func(*loop.Stream)
}

func (c *cutter) Opened()        {}
func (c *cutter) Closed(error)   {}
func (c *cutter) Panicked(error) {}
func (c *cutter) Input(in []byte) int {
	if !bytes.Contains(in, []byte("\r\n\r\n")) {
		return 0
	}
	c.stream.Send([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"Id\":\"1\"}"))
	c.how(c.stream)
	return len(in)
}

// An answer over HTTP without a length is whole where its connection ended in order. A reset is no end, though what came would do.
func TestAResetIsNoEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		how  func(*loop.Stream)
		want driver.Outcome
	}{
		"ends in order":  {(*loop.Stream).CloseWhenSent, driver.OK},
		"resets at once": {(*loop.Stream).Reset, driver.Broken},
		"resets later":   {nil, driver.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 0, false)
			if c.how == nil {
				c.how = func(k *loop.Stream) { s.member.loop.At(s.member.loop.Now()+50*ms, k.Reset) }
			}
			at := netip.MustParseAddrPort("10.0.0.1:5432")
			if _, err := s.member.loop.Listen(at, 1<<12, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
				k := &cutter{how: c.how}
				k.stream = open(k)
			}, func(bool) {}); err != nil {
				t.Fatal(err)
			}
			opens := recovery.NewConnectLimiter(250 * ms)
			p := member.New(s.loop, s.ended, &odata.Tongue{Host: "m"}, &opens, 250*ms, 15*time.Second)
			p.Place(1, at)
			ask := &driver.Ask{Form: driver.Requests, Verb: "GET", Path: "/Applications('1')"}
			s.loop.Later(func() { p.Attempt(1, 0, 1, time.Hour+time.Second, time.Hour+time.Second, ask) })
			s.world.Run(time.Hour + 2*time.Second)
			if got, ok := s.ended.ended[1]; !ok || got != c.want {
				t.Errorf("it ended (%t) as %d, wanted %d", ok, got, c.want)
			}
		})
	}
}
