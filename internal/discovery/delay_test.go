package discovery_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/discovery"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/rules"
)

// maxDelay is how long after a change the host must have it, whatever requests failed meanwhile.
const maxDelay = 6 * time.Second

// watcher is the host of a client. After a failure it resumes the watch as late as the decision module ever does.
type watcher struct {
	loop       *loop.Loop
	client     *discovery.Client
	reportedAt map[string]time.Duration // when a member was first reported
}

func (r *watcher) ListBegins(driver.Listing) {}
func (r *watcher) ListEnds(how driver.Listing) {
	if how == driver.NoList {
		r.loop.At(r.loop.Now()+rules.MaxListRetryWait, func() { r.client.SetWatching(true) })
	}
}
func (r *watcher) Count(string) {}
func (r *watcher) Listed(uid string, _ netip.AddrPort, _ string, _ driver.Group, _ driver.Standing, _ float64, _ time.Duration, _ bool) {
	if r.reportedAt[uid] == 0 {
		r.reportedAt[uid] = r.loop.Now()
	}
}

// agent is a discovery agent. It applies to each request the fault that faultOf returns for its number.
type agent struct {
	loop      *loop.Loop
	revision  int64
	changedAt map[int64]time.Duration // when each revision began
	requests  int
	waiting   []*agentConnection
	faultOf   func(call int) fault
	indent    bool
}

type fault uint8

const (
	none fault = iota
	silent
	silentInHead
	silentInBody
	resetAtOnce
	resetInBody
	closedInBody
	malformed
	failing
	endless
	closedAtOnce // the connection is closed instead of a response
	faultCount
)

type agentConnection struct {
	agent        *agent
	stream       *loop.Stream
	fromRevision int64
	fault        fault
	closed       bool
}

func (a *agentConnection) Opened()        {}
func (a *agentConnection) Closed(error)   { a.closed = true }
func (a *agentConnection) Panicked(error) { a.closed = true }

func (a *agentConnection) Input(in []byte) int {
	if !strings.Contains(string(in), "\r\n\r\n") {
		return 0
	}
	var hold int
	g := a.agent
	a.fromRevision, a.fault = -1, g.faultOf(g.requests)
	g.requests++
	fmt.Sscanf(string(in), "GET /discovery/hosts?from=%d&hold_ms=%d ", &a.fromRevision, &hold)
	switch a.fault {
	case closedAtOnce:
		a.stream.Close()
		return len(in)
	case resetAtOnce:
		a.stream.Reset()
		return len(in)
	}
	if a.fromRevision < g.revision || hold == 0 {
		a.respond()
		return len(in)
	}
	g.waiting = append(g.waiting, a)
	g.loop.At(g.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		for i, o := range g.waiting {
			if o == a {
				g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
				a.respond()
				return
			}
		}
	})
	return len(in)
}

func (a *agentConnection) respond() {
	if a.closed || a.fault == silent {
		return
	}
	g := a.agent
	var entries []string
	for rev := max(a.fromRevision, 0) + 1; rev <= g.revision; rev++ {
		entries = append(entries, fmt.Sprintf(`{"uid":"s-%d","endpoint":"10.0.1.1:5432","az":"a","pod_group":0,"state":"terminating","capacity_hint":1,"boot_ms":0}`, rev))
	}
	body := fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, g.revision, a.fromRevision < 0, strings.Join(entries, ","))
	if g.indent {
		body = strings.NewReplacer("{", "{\n\t", ",\"", ",\n\t\t\"", "[", "[\n ").Replace(body)
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch a.fault {
	case none:
		a.stream.Send([]byte(whole))
	case silentInHead:
		a.stream.Send([]byte(whole[:20]))
	case silentInBody:
		a.stream.Send([]byte(whole[:len(whole)-5]))
	case resetInBody:
		a.stream.Send([]byte(whole[:len(whole)-5]))
		g.loop.At(g.loop.Now()+time.Millisecond, a.stream.Reset)
	case closedInBody: // without a length, so only a close in order would end it
		a.stream.Send([]byte("HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-3]))
		a.stream.CloseWhenSent()
	case malformed:
		a.stream.Send([]byte(strings.Replace(whole, "rev", "v\x00r", 1)))
	case failing:
		a.stream.Send([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	case endless:
		a.stream.Send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		a.sendEndlessly()
	}
}

func (a *agentConnection) sendEndlessly() {
	if !a.closed {
		a.stream.Send([]byte("5\r\n     \r\n"))
		a.agent.loop.At(a.agent.loop.Now()+50*time.Millisecond, a.sendEndlessly)
	}
}

func (g *agent) change() {
	g.revision++
	g.changedAt[g.revision] = g.loop.Now()
	waiting := g.waiting
	g.waiting = nil
	for _, a := range waiting {
		a.respond()
	}
}

var agentAddress = netip.MustParseAddrPort("10.0.9.1:8500")

// newWorld returns a simulated network with a watcher and an agent.
func newWorld(t *testing.T, befalls func(int) fault) (*sim.World, *watcher, *agent) {
	w := sim.New(1, time.Hour)
	r, g := &watcher{reportedAt: make(map[string]time.Duration)}, &agent{changedAt: make(map[int64]time.Duration), faultOf: befalls}
	r.loop, g.loop = newLoop(t, w, "driver"), newLoop(t, w, "agent")
	g.listen(t, agentAddress)
	r.client = discovery.New(r.loop, r, agentAddress)
	r.loop.Defer(func() { r.client.SetWatching(true) })
	return w, r, g
}

func newLoop(t *testing.T, w *sim.World, name string) *loop.Loop {
	h := w.AddHost(name)
	l, err := loop.NewWithSystem(h, 1000, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	h.Serve(l, func() {})
	return l
}

func (g *agent) listen(t *testing.T, at netip.AddrPort) *loop.Listener {
	n, err := g.loop.Listen(at, 1<<20, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
		a := &agentConnection{agent: g}
		a.stream = open(a)
	}, func(bool) {})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// check checks the delay of each change, from when the agent had it or became reachable again.
func check(t *testing.T, name string, r *watcher, g *agent, reachableAt time.Duration) {
	t.Helper()
	for rev, had := range g.changedAt {
		at := r.reportedAt[fmt.Sprint("s-", rev)]
		if had = max(had, reachableAt); at == 0 || at-had > maxDelay {
			t.Errorf("%s: change %d at %v was reported %v later", name, rev, had, at-had)
		}
	}
}

// Every pair of faults hits the request that is outstanding when the change comes and the one after it, at many moments of a
// watch.
func TestChangesArriveWithinSixSecondsDespiteFaults(t *testing.T) {
	for what := none; what < faultCount; what++ {
		for after := none; after < faultCount; after++ {
			for step := time.Duration(0); step < 3*time.Second; step += 300 * time.Millisecond {
				w, r, g := newWorld(t, func(call int) fault {
					switch call {
					case 1:
						return what
					case 2:
						return after
					}
					return none
				})
				g.indent = step%(600*time.Millisecond) == 0
				g.revision = 1 // since the start
				g.loop.At(g.loop.Now()+5*time.Millisecond+step, g.change)
				w.Run(time.Hour + 20*time.Second)
				check(t, fmt.Sprintf("%d, then %d, %v after the watch began", what, after, step), r, g, 0)
			}
		}
	}
}

// A list that the agent has at the start is reported at once.
func TestTheFirstListArrivesAtOnce(t *testing.T) {
	w, r, g := newWorld(t, func(int) fault { return none })
	g.revision, g.changedAt[1] = 1, time.Hour
	w.Run(time.Hour + 100*time.Millisecond)
	if at := r.reportedAt["s-1"]; at == 0 || at > time.Hour+10*time.Millisecond {
		t.Fatalf("reported after %v", at-time.Hour)
	}
}

// Discovery is down for a while, refusing or silent. Delays count from when it is up again.
func TestChangesArriveWithinSixSecondsAfterAnOutage(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 7*time.Second + 300*time.Millisecond, 30 * time.Second} {
		for _, cut := range []bool{false, true} {
			w, r, g := newWorld(t, func(int) fault { return none })
			caller, back := w.Hosts()[0], time.Hour+time.Second+down
			w.At(time.Hour+time.Second, func() {
				if cut {
					gone := sim.LocalLink
					gone.Cut = true
					w.SetRoute(caller, agentAddress, gone, gone)
				} else {
					gone := sim.LocalLink
					gone.RefuseConnects = true
					w.SetRoute(caller, agentAddress, gone, gone)
					w.ResetRoute(caller, agentAddress)
				}
			})
			w.At(time.Hour+time.Second+down/2, g.change)
			w.At(back, func() { w.ClearRoute(caller, agentAddress) })
			w.Run(back + 20*time.Second)
			check(t, fmt.Sprintf("down for %v, cut %t", down, cut), r, g, back)
		}
	}
}

// After a change of the address, the list of the new agent arrives within 4 s, even if the first request fails.
func TestListsArriveWithinFourSecondsAfterAMove(t *testing.T) {
	for what := none; what < faultCount; what++ {
		w, r, g := newWorld(t, func(call int) fault {
			if call == 0 {
				return what
			}
			return none
		})
		other := netip.MustParseAddrPort("10.0.9.2:8500")
		g.listen(t, other)
		r.client = discovery.New(r.loop, r, netip.MustParseAddrPort("10.0.9.3:8500"))          // nothing listens there
		if err := r.client.Restore([]byte(`{"rev":50,"all":true,"targets":[]}`)); err != nil { // the other agent has its own revisions
			t.Fatal(err)
		}
		g.revision, g.changedAt[1] = 1, time.Hour+2*time.Second
		r.loop.At(time.Hour+2*time.Second, func() { r.client.SetAddress(other) })
		w.Run(time.Hour + 20*time.Second)
		if at := r.reportedAt["s-1"] - time.Hour - 2*time.Second; at < 0 || at > 4*time.Second {
			t.Errorf("%d: reported %v after the move", what, at)
		}
	}
}

// A driver whose watch is paused polls as often as the task does, even if no announcement comes and some polls fail.
func TestChangesArriveInTimeWhilePaused(t *testing.T) {
	const announceInterval = 300 * time.Millisecond // in which the task checks whether to poll
	for _, what := range []fault{none, silent, resetAtOnce, failing} {
		for step := time.Duration(0); step < 4*time.Second; step += 400 * time.Millisecond {
			calls := 0
			w, r, g := newWorld(t, func(int) fault {
				if calls++; calls%3 == 0 {
					return what
				}
				return none
			})
			var catch func()
			catch = func() {
				r.client.Poll()
				r.loop.At(r.loop.Now()+discovery.MaxWatch+announceInterval, catch)
			}
			r.loop.At(r.loop.Now()+time.Millisecond, func() {
				r.client.SetPaused(true)
				catch()
			})
			for at := time.Second; at < 30*time.Second; at += 4 * time.Second {
				g.loop.At(time.Hour+at+step, g.change)
			}
			w.Run(time.Hour + 45*time.Second)
			check(t, fmt.Sprintf("%d, %v", what, step), r, g, 0)
		}
	}
}
