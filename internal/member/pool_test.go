package member_test

import (
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/member"
	"passtack/internal/member/pg"
	"passtack/internal/pgwire"
	"passtack/internal/recovery"
)

const ms = time.Millisecond

// outcomeRecorder records the outcomes of attempts and the counters.
type outcomeRecorder struct {
	loop        *eventloop.Loop
	outcomes    map[driver.RPC]driver.Outcome
	lastEndedAt time.Duration
	counts      map[string]int
}

func (r *outcomeRecorder) AttemptEnded(rpc driver.RPC, _ int, _ driver.Member, outcome driver.Outcome, _, _ time.Duration, _ driver.Role, _ []float64, _ *driver.Answer) {
	r.outcomes[rpc], r.lastEndedAt = outcome, r.loop.Now()
}
func (r *outcomeRecorder) Probed(driver.Member, bool, time.Duration, []float64) {}
func (r *outcomeRecorder) Count(name string)                                    { r.counts[name]++ }

// fakeMember accepts one greeting at a time and answers every query but the empty one with an error.
type fakeMember struct {
	loop                      *eventloop.Loop
	connectDelay              time.Duration // time to accept one greeting
	freeAt                    time.Duration // time at which all greetings received so far are accepted
	opened                    int
	connecting, maxConnecting int           // connections whose greeting is not yet accepted: at present, and the highest number so far
	queries                   int           // complete queries received
	barriers                  int           // empty queries received
	maxBarriers               int           // number of empty queries that are answered, if not 0
	behindStartup             []byte        // sent together with the answer to a greeting
	closed                    int           // connections that the pool closed
	closedAt                  time.Duration // of the latest of them
}

type memberConnection struct {
	member  *fakeMember
	stream  *eventloop.Stream
	greeted bool
}

func (c *memberConnection) Opened() {}
func (c *memberConnection) Closed(error) {
	c.member.closed, c.member.closedAt = c.member.closed+1, c.member.loop.Now()
}

func (c *memberConnection) Panicked(error) {}

func (c *memberConnection) Input(in []byte) int {
	m := c.member
	if !c.greeted {
		_, size, _ := pgwire.First(in)
		if size == 0 {
			return 0
		}
		c.greeted = true
		m.freeAt = max(m.freeAt, m.loop.Now()) + m.connectDelay
		m.loop.At(m.freeAt, func() {
			m.connecting--
			c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1), m.behindStartup)
		})
		return size
	}
	_, body, size, _ := pgwire.Next(in)
	if size == 0 {
		return 0
	}
	if len(body) == 1 { // the empty query
		if m.barriers++; m.maxBarriers > 0 && m.barriers > m.maxBarriers {
			return size
		}
		c.stream.Send(pgwire.AppendEmptyQueryResponse(nil))
		return size
	}
	m.queries++
	m.loop.At(m.loop.Now()+5*ms, func() {
		c.stream.Send(pgwire.AppendReady(pgwire.AppendError(nil, false, "72000", "no", -1)))
	})
	return size
}

// fixture is a simulated network with a driver's pool, which has no connection yet, and a member.
type fixture struct {
	world    *sim.World
	host     *sim.Host
	loop     *eventloop.Loop
	pool     *member.Pool
	recorder *outcomeRecorder
	member   *fakeMember
}

func newFixture(t *testing.T, connectDelay time.Duration, listens bool) *fixture {
	t.Helper()
	world := sim.New(1, time.Hour)
	addHost := func(name string) (*sim.Host, *eventloop.Loop) {
		h := world.AddHost(name)
		l, err := eventloop.NewWithSystem(h, 1000, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return h, l
	}
	address := netip.MustParseAddrPort("10.0.0.1:5432")
	m := &fakeMember{connectDelay: connectDelay}
	_, m.loop = addHost("member")
	if listens {
		if _, err := m.loop.Listen(address, 1<<12, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			c := &memberConnection{member: m}
			c.stream = open(c)
			m.opened++
			m.connecting++
			m.maxConnecting = max(m.maxConnecting, m.connecting)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	}
	h, l := addHost("driver")
	recorder := &outcomeRecorder{loop: l, outcomes: make(map[driver.RPC]driver.Outcome), counts: make(map[string]int)}
	limiter := recovery.NewConnectLimiter(250 * ms)
	pool := member.New(l, recorder, new(pg.Protocol), &limiter, 250*ms, 15*time.Second)
	pool.SetAddress(1, address)
	return &fixture{world, h, l, pool, recorder, m}
}

// sendTogether sends n attempts at once.
func sendTogether(t *testing.T, n int, connectDelay time.Duration, listens bool, timeout time.Duration) (*outcomeRecorder, *fakeMember) {
	t.Helper()
	f := newFixture(t, connectDelay, listens)
	world, l, recorder, m, pool := f.world, f.loop, f.recorder, f.member, f.pool
	request := &driver.MemberRequest{Before: []byte("/* id=x,c=look,d="), After: []byte(" */ SELECT 1")}
	l.Defer(func() {
		for i := range n {
			pool.Attempt(driver.RPC(i+1), 0, 1, l.Now()+timeout, l.Now()+timeout, request)
		}
	})
	world.Run(time.Hour + timeout + time.Second)
	if len(recorder.outcomes) != n || pool.InFlight() != 0 || pool.Waiting() != 0 {
		t.Errorf("%d of %d attempts have ended, %d in flight, %d waiting", len(recorder.outcomes), n, pool.InFlight(), pool.Waiting())
	}
	return recorder, m
}

// Guards against opening a connection for each of many simultaneous attempts instead of reusing a few, and against establishing
// too many at the same time.
func TestManyAttemptsShareFewConnections(t *testing.T) {
	recorder, m := sendTogether(t, 100, 5*ms, true, 2*time.Second)
	served := 0
	for _, outcome := range recorder.outcomes {
		if outcome == driver.Misdirected {
			served++
		}
	}
	if served < 95 || m.opened > 40 || m.maxConnecting > 20 {
		t.Errorf("%d of 100 reached the member, over %d connections, %d of them established at once", served, m.opened, m.maxConnecting)
	}
}

// Guards against attempts that end late, or as possibly run, if the member accepts no connection within the connect timeout.
func TestAttemptsThatGetNoConnectionHaveNotRun(t *testing.T) {
	recorder, m := sendTogether(t, 30, time.Minute, true, 2*time.Second)
	for rpc, outcome := range recorder.outcomes {
		if outcome != driver.NoConnection {
			t.Errorf("attempt %d ended as %d", rpc, outcome)
		}
	}
	if took := recorder.lastEndedAt - time.Hour; took > 600*ms || m.opened > 4 {
		t.Errorf("the last one ended after %v, over %d connections", took, m.opened)
	}
}

// Guards against attempts that wait for a connection until their timeout although the member has refused one.
func TestARefusedConnectionFailsAllWaitingAttempts(t *testing.T) {
	recorder, _ := sendTogether(t, 30, 0, false, 2*time.Second)
	if took := recorder.lastEndedAt - time.Hour; took > 20*ms || recorder.counts["connects"] > 2 {
		t.Errorf("the last one ended after %v, over %d connections", took, recorder.counts["connects"])
	}
}
