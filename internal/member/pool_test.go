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

// outcomes is a ledger that keeps what it is told.
type outcomes struct {
	loop   *loop.Loop
	ended  map[driver.RPC]driver.Outcome
	latest time.Duration
	counts map[string]int
}

func (o *outcomes) AttemptEnded(q driver.RPC, _ int, _ driver.Member, how driver.Outcome, _, _ time.Duration, _ driver.Role, _ []float64, _ *driver.Answer) {
	o.ended[q], o.latest = how, o.loop.Now()
}
func (o *outcomes) Probed(driver.Member, bool, time.Duration, []float64) {}
func (o *outcomes) Count(what string)                                    { o.counts[what]++ }

// doors is a member that lets connections in one after the other.
type doors struct {
	loop            *loop.Loop
	work            time.Duration // of letting one in
	free            time.Duration // when it has done that for all that came
	opened          int
	entering, queue int // now; the most at any time
	asked           int // whole queries that came
	ended           int // connections that the pool ended
}

type visitor struct {
	doors   *doors
	stream  *loop.Stream
	greeted bool
}

func (v *visitor) Opened()        {}
func (v *visitor) Closed(error)   { v.doors.ended++ }
func (v *visitor) Panicked(error) {}

func (v *visitor) Input(in []byte) int {
	d := v.doors
	if !v.greeted {
		_, size, _ := pgwire.First(in)
		if size == 0 {
			return 0
		}
		v.greeted = true
		d.free = max(d.free, d.loop.Now()) + d.work
		d.loop.At(d.free, func() {
			d.entering--
			v.stream.Send(pgwire.AppendWelcome(nil, 1, 1))
		})
		return size
	}
	_, _, size, _ := pgwire.Next(in)
	if size == 0 {
		return 0
	}
	d.asked++
	d.loop.At(d.loop.Now()+5*ms, func() {
		v.stream.Send(pgwire.AppendReady(pgwire.AppendError(nil, false, "72000", "no", -1)))
	})
	return size
}

// scene is a pool that has no connection yet, and a member.
type scene struct {
	world  *sim.World
	host   *sim.Host
	loop   *loop.Loop
	pool   *member.Pool
	ended  *outcomes
	member *doors
}

func newScene(t *testing.T, work time.Duration, listens bool) *scene {
	t.Helper()
	w := sim.New(1, time.Hour)
	on := func(name string) (*sim.Host, *loop.Loop) {
		h := w.Host(name)
		l, err := loop.On(h, 1000, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return h, l
	}
	at := netip.MustParseAddrPort("10.0.0.1:5432")
	d := &doors{work: work}
	_, d.loop = on("member")
	if listens {
		if _, err := d.loop.Listen(at, 1<<12, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
			v := &visitor{doors: d}
			v.stream = open(v)
			d.opened++
			d.entering++
			d.queue = max(d.queue, d.entering)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	}
	h, l := on("driver")
	o := &outcomes{loop: l, ended: make(map[driver.RPC]driver.Outcome), counts: make(map[string]int)}
	opens := recovery.NewConnectLimiter(250 * ms)
	p := member.New(l, o, new(pg.Tongue), &opens, 250*ms, 15*time.Second)
	p.Place(1, at)
	return &scene{w, h, l, p, o, d}
}

// crowd sends so many attempts at once.
func crowd(t *testing.T, n int, work time.Duration, listens bool, until time.Duration) (*outcomes, *doors) {
	t.Helper()
	s := newScene(t, work, listens)
	w, l, o, d, p := s.world, s.loop, s.ended, s.member, s.pool
	ask := &driver.Ask{Before: []byte("/* id=x,c=look,d="), After: []byte(" */ SELECT 1")}
	l.Later(func() {
		for i := range n {
			p.Attempt(driver.RPC(i+1), 0, 1, l.Now()+until, l.Now()+until, ask)
		}
	})
	w.Run(time.Hour + until + time.Second)
	if len(o.ended) != n || p.Out() != 0 || p.Waiting() != 0 {
		t.Errorf("%d of %d attempts have ended, %d are out, %d wait", len(o.ended), n, p.Out(), p.Waiting())
	}
	return o, d
}

// A crowd is served over a few connections that are used again and again, and few are let in together.
func TestACrowdOpensFewConnections(t *testing.T) {
	o, d := crowd(t, 100, 5*ms, true, 2*time.Second)
	served := 0
	for _, how := range o.ended {
		if how == driver.Miss {
			served++
		}
	}
	if served < 95 || d.opened > 40 || d.queue > 20 {
		t.Errorf("%d of 100 reached the member, over %d connections, %d of them to be let in at once", served, d.opened, d.queue)
	}
}

// Who waits in vain has not run, and hears so no later than a connection may take.
func TestWhoWaitsInVainHasNotRun(t *testing.T) {
	o, d := crowd(t, 30, time.Minute, true, 2*time.Second)
	for q, how := range o.ended {
		if how != driver.NoConnection {
			t.Errorf("attempt %d ended as %d", q, how)
		}
	}
	if took := o.latest - time.Hour; took > 600*ms || d.opened > 4 {
		t.Errorf("the last one heard after %v, over %d connections", took, d.opened)
	}
}

// One connection that is refused speaks for all that wait, at once.
func TestARefusedConnectionSpeaksForAll(t *testing.T) {
	o, _ := crowd(t, 30, 0, false, 2*time.Second)
	if took := o.latest - time.Hour; took > 20*ms || o.counts["connects"] > 2 {
		t.Errorf("the last one heard after %v, over %d connections", took, o.counts["connects"])
	}
}
