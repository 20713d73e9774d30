package list_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/list"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/rules"
)

// told is within what a change counts as told, whatever befell the calls meanwhile.
const told = 6 * time.Second

// reader is a driver as far as discovery goes: it asks again as late as the module ever does.
type reader struct {
	loop *loop.Loop
	list *list.Discovery
	when map[string]time.Duration // a member was first told of
}

func (r *reader) ListBegins(driver.Listing) {}
func (r *reader) ListEnds(how driver.Listing) {
	if how == driver.NoList {
		r.loop.At(r.loop.Now()+rules.MaxListRetryWait, func() { r.list.Watch(true) })
	}
}
func (r *reader) Count(string) {}
func (r *reader) Listed(uid string, _ netip.AddrPort, _ string, _ driver.Group, _ driver.Standing, _ float64, _ time.Duration, _ bool) {
	if r.when[uid] == 0 {
		r.when[uid] = r.loop.Now()
	}
}

// agent is discovery: what it does with one call is picked by that call's number.
type agent struct {
	loop    *loop.Loop
	rev     int64
	had     map[int64]time.Duration // since when it has each revision
	calls   int
	waiting []*asker
	befalls func(call int) trouble
	indents bool
}

type trouble uint8

const (
	none trouble = iota
	silent
	silentInHead
	silentInBody
	resetAtOnce
	resetInBody
	closedInBody
	unreadable
	failing
	endless
	refused // its connection is closed over what it asked
	troubles
)

type asker struct {
	agent  *agent
	stream *loop.Stream
	from   int64
	what   trouble
	gone   bool
}

func (a *asker) Opened()        {}
func (a *asker) Closed(error)   { a.gone = true }
func (a *asker) Panicked(error) { a.gone = true }

func (a *asker) Input(in []byte) int {
	if !strings.Contains(string(in), "\r\n\r\n") {
		return 0
	}
	var hold int
	g := a.agent
	a.from, a.what = -1, g.befalls(g.calls)
	g.calls++
	fmt.Sscanf(string(in), "GET /discovery/hosts?from=%d&hold_ms=%d ", &a.from, &hold)
	switch a.what {
	case refused:
		a.stream.Close()
		return len(in)
	case resetAtOnce:
		a.stream.Reset()
		return len(in)
	}
	if a.from < g.rev || hold == 0 {
		a.answer()
		return len(in)
	}
	g.waiting = append(g.waiting, a)
	g.loop.At(g.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		for i, o := range g.waiting {
			if o == a {
				g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
				a.answer()
				return
			}
		}
	})
	return len(in)
}

func (a *asker) answer() {
	if a.gone || a.what == silent {
		return
	}
	g := a.agent
	var entries []string
	for rev := max(a.from, 0) + 1; rev <= g.rev; rev++ {
		entries = append(entries, fmt.Sprintf(`{"uid":"s-%d","endpoint":"10.0.1.1:5432","az":"a","pod_group":0,"state":"terminating","capacity_hint":1,"boot_ms":0}`, rev))
	}
	body := fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, g.rev, a.from < 0, strings.Join(entries, ","))
	if g.indents {
		body = strings.NewReplacer("{", "{\n\t", ",\"", ",\n\t\t\"", "[", "[\n ").Replace(body)
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch a.what {
	case none:
		a.stream.Send([]byte(whole))
	case silentInHead:
		a.stream.Send([]byte(whole[:20]))
	case silentInBody:
		a.stream.Send([]byte(whole[:len(whole)-5]))
	case resetInBody:
		a.stream.Send([]byte(whole[:len(whole)-5]))
		g.loop.At(g.loop.Now()+time.Millisecond, a.stream.Reset)
	case closedInBody: // no length was told, and a reset or a close is no end
		a.stream.Send([]byte("HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-3]))
		a.stream.CloseWhenSent()
	case unreadable:
		a.stream.Send([]byte(strings.Replace(whole, "rev", "v\x00r", 1)))
	case failing:
		a.stream.Send([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	case endless:
		a.stream.Send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		a.dribble()
	}
}

func (a *asker) dribble() {
	if !a.gone {
		a.stream.Send([]byte("5\r\n     \r\n"))
		a.agent.loop.At(a.agent.loop.Now()+50*time.Millisecond, a.dribble)
	}
}

func (g *agent) changed() {
	g.rev++
	g.had[g.rev] = g.loop.Now()
	waiting := g.waiting
	g.waiting = nil
	for _, a := range waiting {
		a.answer()
	}
}

var place = netip.MustParseAddrPort("10.0.9.1:8500")

// world is one reader and one agent that listens at the place.
func world(t *testing.T, befalls func(int) trouble) (*sim.World, *reader, *agent) {
	w := sim.New(1, time.Hour)
	r, g := &reader{when: make(map[string]time.Duration)}, &agent{had: make(map[int64]time.Duration), befalls: befalls}
	r.loop, g.loop = on(t, w, "driver"), on(t, w, "agent")
	g.listen(t, place)
	r.list = list.New(r.loop, r, place)
	r.loop.Later(func() { r.list.Watch(true) })
	return w, r, g
}

func on(t *testing.T, w *sim.World, name string) *loop.Loop {
	h := w.Host(name)
	l, err := loop.On(h, 1000, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	h.Serve(l, func() {})
	return l
}

func (g *agent) listen(t *testing.T, at netip.AddrPort) *loop.Listener {
	n, err := g.loop.Listen(at, 1<<20, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
		a := &asker{agent: g}
		a.stream = open(a)
	}, func(bool) {})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// check holds when each change was told against when the agent had it, or could be reached again.
func check(t *testing.T, what string, r *reader, g *agent, reachable time.Duration) {
	t.Helper()
	for rev, had := range g.had {
		at := r.when[fmt.Sprint("s-", rev)]
		if had = max(had, reachable); at == 0 || at-had > told {
			t.Errorf("%s: change %d, had at %v, was told %v later", what, rev, had, at-had)
		}
	}
}

// Each trouble befalls the call that is out when the change comes, at every moment of a watch, and once more the call after it.
func TestAChangeIsToldWithinSixSecondsWhateverBefallsTheCalls(t *testing.T) {
	for what := none; what < troubles; what++ {
		for after := none; after < troubles; after++ {
			for step := time.Duration(0); step < 3*time.Second; step += 300 * time.Millisecond {
				w, r, g := world(t, func(call int) trouble {
					switch call {
					case 1:
						return what
					case 2:
						return after
					}
					return none
				})
				g.indents = step%(600*time.Millisecond) == 0
				g.rev = 1 // known to the agent from the start
				g.loop.At(g.loop.Now()+5*time.Millisecond+step, g.changed)
				w.Run(time.Hour + 20*time.Second)
				check(t, fmt.Sprintf("%d, then %d, %v after the watch began", what, after, step), r, g, 0)
			}
		}
	}
}

// What the agent has at a start is told at once.
func TestWhatTheAgentHasAtAStartIsToldAtOnce(t *testing.T) {
	w, r, g := world(t, func(int) trouble { return none })
	g.rev, g.had[1] = 1, time.Hour
	w.Run(time.Hour + 100*time.Millisecond)
	if at := r.when["s-1"]; at == 0 || at > time.Hour+10*time.Millisecond {
		t.Fatalf("told after %v", at-time.Hour)
	}
}

// Discovery is down for a while, refusing or silent, and its changes count from its return.
func TestAChangeIsToldWithinSixSecondsOfDiscoverysReturn(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 7*time.Second + 300*time.Millisecond, 30 * time.Second} {
		for _, cut := range []bool{false, true} {
			w, r, g := world(t, func(int) trouble { return none })
			caller, back := w.Hosts()[0], time.Hour+time.Second+down
			w.At(time.Hour+time.Second, func() {
				if cut {
					gone := sim.Plain
					gone.Cut = true
					w.Bend(caller, place, gone, gone)
				} else {
					gone := sim.Plain
					gone.Refuse = true
					w.Bend(caller, place, gone, gone)
					w.Break(caller, place)
				}
			})
			w.At(time.Hour+time.Second+down/2, g.changed)
			w.At(back, func() { w.Straighten(caller, place) })
			w.Run(back + 20*time.Second)
			check(t, fmt.Sprintf("down for %v, cut %t", down, cut), r, g, back)
		}
	}
}

// A configuration that moves discovery is honoured within 4 s, though the first call there fails.
func TestAMoveTellsWithinFourSeconds(t *testing.T) {
	for what := none; what < troubles; what++ {
		w, r, g := world(t, func(call int) trouble {
			if call == 0 {
				return what
			}
			return none
		})
		other := netip.MustParseAddrPort("10.0.9.2:8500")
		g.listen(t, other)
		r.list = list.New(r.loop, r, netip.MustParseAddrPort("10.0.9.3:8500"))            // nobody is there
		if err := r.list.Know([]byte(`{"rev":50,"all":true,"targets":[]}`)); err != nil { // which the other counts anew
			t.Fatal(err)
		}
		g.rev, g.had[1] = 1, time.Hour+2*time.Second
		r.loop.At(time.Hour+2*time.Second, func() { r.list.Move(other) })
		w.Run(time.Hour + 20*time.Second)
		if at := r.when["s-1"] - time.Hour - 2*time.Second; at < 0 || at > 4*time.Second {
			t.Errorf("%d: told %v after the move", what, at)
		}
	}
}

// A driver rests on another's watch, which tells nothing: it asks by itself as often as the task does, and one of its calls
// may find silence.
func TestARestingDriverIsToldInTime(t *testing.T) {
	const word = 300 * time.Millisecond // the task looks at each word of the holder
	for _, what := range []trouble{none, silent, resetAtOnce, failing} {
		for step := time.Duration(0); step < 4*time.Second; step += 400 * time.Millisecond {
			calls := 0
			w, r, g := world(t, func(int) trouble {
				if calls++; calls%3 == 0 {
					return what
				}
				return none
			})
			var catch func()
			catch = func() {
				r.list.Catch()
				r.loop.At(r.loop.Now()+list.Longest+word, catch)
			}
			r.loop.At(r.loop.Now()+time.Millisecond, func() {
				r.list.Rest(true)
				catch()
			})
			for at := time.Second; at < 30*time.Second; at += 4 * time.Second {
				g.loop.At(time.Hour+at+step, g.changed)
			}
			w.Run(time.Hour + 45*time.Second)
			check(t, fmt.Sprintf("%d, %v", what, step), r, g, 0)
		}
	}
}
