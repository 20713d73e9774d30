package member_test

import (
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/member"
	"passtack/internal/member/pg"
	"passtack/internal/pgwire"
	"passtack/internal/recovery"
)

const ms = time.Millisecond

// recordingLedger records the outcomes of attempts and the counters.
type recordingLedger struct {
	loop        *loop.Loop
	outcomes    map[driver.RPC]driver.Outcome
	lastEndedAt time.Duration
	counts      map[string]int
}

func (o *recordingLedger) AttemptEnded(rpc driver.RPC, _ int, _ driver.Member, outcome driver.Outcome, _, _ time.Duration, _ driver.Role, _ []float64, _ *driver.Answer) {
	o.outcomes[rpc], o.lastEndedAt = outcome, o.loop.Now()
}
func (o *recordingLedger) Probed(driver.Member, bool, time.Duration, []float64) {}
func (o *recordingLedger) Count(name string)                                    { o.counts[name]++ }

// fakeMember accepts greetings one after the other and answers every query with an error.
type fakeMember struct {
	loop                      *loop.Loop
	connectDelay              time.Duration // of accepting one greeting
	freeAt                    time.Duration // when it will have accepted all greetings so far
	opened                    int
	connecting, maxConnecting int // connections whose greeting is not accepted: now, and the most at any time
	queries                   int // complete queries received
	closed                    int // connections that the pool closed
}

type memberConnection struct {
	member  *fakeMember
	stream  *loop.Stream
	greeted bool
}

func (v *memberConnection) Opened()        {}
func (v *memberConnection) Closed(error)   { v.member.closed++ }
func (v *memberConnection) Panicked(error) {}

func (v *memberConnection) Input(in []byte) int {
	d := v.member
	if !v.greeted {
		_, size, _ := pgwire.First(in)
		if size == 0 {
			return 0
		}
		v.greeted = true
		d.freeAt = max(d.freeAt, d.loop.Now()) + d.connectDelay
		d.loop.At(d.freeAt, func() {
			d.connecting--
			v.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		})
		return size
	}
	_, _, size, _ := pgwire.Next(in)
	if size == 0 {
		return 0
	}
	d.queries++
	d.loop.At(d.loop.Now()+5*ms, func() {
		v.stream.Send(pgwire.AppendReady(pgwire.AppendError(nil, false, "72000", "no", -1)))
	})
	return size
}

// fixture is a pool without a connection, and a member.
type fixture struct {
	world  *sim.World
	host   *sim.Host
	loop   *loop.Loop
	pool   *member.Pool
	ledger *recordingLedger
	member *fakeMember
}

func newFixture(t *testing.T, connectDelay time.Duration, listens bool) *fixture {
	t.Helper()
	w := sim.New(1, time.Hour)
	on := func(name string) (*sim.Host, *loop.Loop) {
		h := w.AddHost(name)
		l, err := loop.NewWithSystem(h, 1000, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return h, l
	}
	at := netip.MustParseAddrPort("10.0.0.1:5432")
	d := &fakeMember{connectDelay: connectDelay}
	_, d.loop = on("member")
	if listens {
		if _, err := d.loop.Listen(at, 1<<12, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
			v := &memberConnection{member: d}
			v.stream = open(v)
			d.opened++
			d.connecting++
			d.maxConnecting = max(d.maxConnecting, d.connecting)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	}
	h, l := on("driver")
	o := &recordingLedger{loop: l, outcomes: make(map[driver.RPC]driver.Outcome), counts: make(map[string]int)}
	opens := recovery.NewConnectLimiter(250 * ms)
	p := member.New(l, o, new(pg.Protocol), &opens, 250*ms, 15*time.Second)
	p.SetAddress(1, at)
	return &fixture{w, h, l, p, o, d}
}

// sendTogether sends n attempts at once.
func sendTogether(t *testing.T, n int, connectDelay time.Duration, listens bool, timeout time.Duration) (*recordingLedger, *fakeMember) {
	t.Helper()
	s := newFixture(t, connectDelay, listens)
	w, l, o, d, p := s.world, s.loop, s.ledger, s.member, s.pool
	ask := &driver.Ask{Before: []byte("/* id=x,c=look,d="), After: []byte(" */ SELECT 1")}
	l.Defer(func() {
		for i := range n {
			p.Attempt(driver.RPC(i+1), 0, 1, l.Now()+timeout, l.Now()+timeout, ask)
		}
	})
	w.Run(time.Hour + timeout + time.Second)
	if len(o.outcomes) != n || p.InFlight() != 0 || p.Waiting() != 0 {
		t.Errorf("%d of %d attempts have ended, %d in flight, %d waiting", len(o.outcomes), n, p.InFlight(), p.Waiting())
	}
	return o, d
}

// Many attempts at once reuse a few connections, of which few are established at the same time.
func TestManyAttemptsShareFewConnections(t *testing.T) {
	o, d := sendTogether(t, 100, 5*ms, true, 2*time.Second)
	served := 0
	for _, how := range o.outcomes {
		if how == driver.Miss {
			served++
		}
	}
	if served < 95 || d.opened > 40 || d.maxConnecting > 20 {
		t.Errorf("%d of 100 reached the member, over %d connections, %d of them established at once", served, d.opened, d.maxConnecting)
	}
}

// An attempt that gets no connection has not run, and ends within the connect timeout.
func TestAttemptsThatGetNoConnectionHaveNotRun(t *testing.T) {
	o, d := sendTogether(t, 30, time.Minute, true, 2*time.Second)
	for q, how := range o.outcomes {
		if how != driver.NoConnection {
			t.Errorf("attempt %d ended as %d", q, how)
		}
	}
	if took := o.lastEndedAt - time.Hour; took > 600*ms || d.opened > 4 {
		t.Errorf("the last one ended after %v, over %d connections", took, d.opened)
	}
}

// One refused connection fails all attempts that wait for it, at once.
func TestARefusedConnectionFailsAllWaitingAttempts(t *testing.T) {
	o, _ := sendTogether(t, 30, 0, false, 2*time.Second)
	if took := o.lastEndedAt - time.Hour; took > 20*ms || o.counts["connects"] > 2 {
		t.Errorf("the last one ended after %v, over %d connections", took, o.counts["connects"])
	}
}
