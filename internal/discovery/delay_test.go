package discovery_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/discovery"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/rules"
)

// maxDelay is the longest allowed time from a change until the host has it, even if requests fail in between.
const maxDelay = 6 * time.Second

// watcher is the host of a client. After a failure it resumes the watch after the longest time that the decision module may take.
type watcher struct {
	loop       *eventloop.Loop
	client     *discovery.Client
	reportedAt map[string]time.Duration // when a member was first reported
}

func (w *watcher) ListBegins(driver.ListKind) {}
func (w *watcher) ListEnds(kind driver.ListKind) {
	if kind == driver.NoList {
		w.loop.At(w.loop.Now()+rules.MaxListRetryWait, func() { w.client.SetWatching(true) })
	}
}
func (w *watcher) Count(string) {}
func (w *watcher) Listed(uid string, _ netip.AddrPort, _ string, _ driver.Group, _ driver.MemberState, _ float64, _ time.Duration, _ bool) {
	if w.reportedAt[uid] == 0 {
		w.reportedAt[uid] = w.loop.Now()
	}
}

// agent is a discovery agent. It applies to each request the fault that faultOf returns for the request's number.
type agent struct {
	loop      *eventloop.Loop
	revision  int64
	changedAt map[int64]time.Duration // when each revision began
	requests  int
	waiting   []*agentConnection
	faultOf   func(number int) fault
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
	status503
	endless
	closedAtOnce // the connection is closed instead of a response
	faultCount
)

type agentConnection struct {
	agent        *agent
	stream       *eventloop.Stream
	fromRevision int64
	fault        fault
	closed       bool
}

func (c *agentConnection) Opened()        {}
func (c *agentConnection) Closed(error)   { c.closed = true }
func (c *agentConnection) Panicked(error) { c.closed = true }

func (c *agentConnection) Input(in []byte) int {
	if !strings.Contains(string(in), "\r\n\r\n") {
		return 0
	}
	var hold int
	agent := c.agent
	c.fromRevision, c.fault = -1, agent.faultOf(agent.requests)
	agent.requests++
	fmt.Sscanf(string(in), "GET /discovery/hosts?from=%d&hold_ms=%d ", &c.fromRevision, &hold)
	switch c.fault {
	case closedAtOnce:
		c.stream.Close()
		return len(in)
	case resetAtOnce:
		c.stream.Reset()
		return len(in)
	}
	if c.fromRevision < agent.revision || hold == 0 {
		c.respond()
		return len(in)
	}
	agent.waiting = append(agent.waiting, c)
	agent.loop.At(agent.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		for i, other := range agent.waiting {
			if other == c {
				agent.waiting = append(agent.waiting[:i], agent.waiting[i+1:]...)
				c.respond()
				return
			}
		}
	})
	return len(in)
}

func (c *agentConnection) respond() {
	if c.closed || c.fault == silent {
		return
	}
	agent := c.agent
	var entries []string
	for rev := max(c.fromRevision, 0) + 1; rev <= agent.revision; rev++ {
		entries = append(entries, fmt.Sprintf(`{"uid":"s-%d","endpoint":"10.0.1.1:5432","az":"a","pod_group":0,"state":"terminating","capacity_hint":1,"boot_ms":0}`, rev))
	}
	body := fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, agent.revision, c.fromRevision < 0, strings.Join(entries, ","))
	if agent.indent {
		body = strings.NewReplacer("{", "{\n\t", ",\"", ",\n\t\t\"", "[", "[\n ").Replace(body)
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch c.fault {
	case none:
		c.stream.Send([]byte(whole))
	case silentInHead:
		c.stream.Send([]byte(whole[:20]))
	case silentInBody:
		c.stream.Send([]byte(whole[:len(whole)-5]))
	case resetInBody:
		c.stream.Send([]byte(whole[:len(whole)-5]))
		agent.loop.At(agent.loop.Now()+time.Millisecond, c.stream.Reset)
	case closedInBody: // without a length, so only an orderly close would complete it
		c.stream.Send([]byte("HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-3]))
		c.stream.CloseWhenSent()
	case malformed:
		c.stream.Send([]byte(strings.Replace(whole, "rev", "v\x00r", 1)))
	case status503:
		c.stream.Send([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	case endless:
		c.stream.Send([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		c.sendEndlessly()
	}
}

func (c *agentConnection) sendEndlessly() {
	if !c.closed {
		c.stream.Send([]byte("5\r\n     \r\n"))
		c.agent.loop.At(c.agent.loop.Now()+50*time.Millisecond, c.sendEndlessly)
	}
}

func (a *agent) change() {
	a.revision++
	a.changedAt[a.revision] = a.loop.Now()
	waiting := a.waiting
	a.waiting = nil
	for _, c := range waiting {
		c.respond()
	}
}

var agentAddress = netip.MustParseAddrPort("10.0.9.1:8500")

// newWorld returns a simulated network with a watcher and an agent.
func newWorld(t *testing.T, faultOf func(int) fault) (*sim.World, *watcher, *agent) {
	world := sim.New(1, time.Hour)
	host, discoveryAgent := &watcher{reportedAt: make(map[string]time.Duration)}, &agent{changedAt: make(map[int64]time.Duration), faultOf: faultOf}
	host.loop, discoveryAgent.loop = newLoop(t, world, "driver"), newLoop(t, world, "agent")
	discoveryAgent.listen(t, agentAddress)
	host.client = discovery.New(host.loop, host, agentAddress)
	host.loop.Defer(func() { host.client.SetWatching(true) })
	return world, host, discoveryAgent
}

func newLoop(t *testing.T, world *sim.World, name string) *eventloop.Loop {
	host := world.AddHost(name)
	ownLoop, err := eventloop.NewWithSystem(host, 1000, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	host.Serve(ownLoop, func() {})
	return ownLoop
}

func (a *agent) listen(t *testing.T, address netip.AddrPort) *eventloop.Listener {
	listener, err := a.loop.Listen(address, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &agentConnection{agent: a}
		c.stream = open(c)
	}, func(bool) {})
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// check checks the delay of each change, counted from when the agent had it or, if later, from reachableAt.
func check(t *testing.T, name string, host *watcher, discoveryAgent *agent, reachableAt time.Duration) {
	t.Helper()
	for rev, availableAt := range discoveryAgent.changedAt {
		at := host.reportedAt[fmt.Sprint("s-", rev)]
		if availableAt = max(availableAt, reachableAt); at == 0 || at-availableAt > maxDelay {
			t.Errorf("%s: change %d at %v was reported %v later", name, rev, availableAt, at-availableAt)
		}
	}
}

// Guards against a change that is reported late after failed requests. Every pair of faults affects the request that is
// outstanding when the change happens and the one after it, at many moments of a watch.
func TestChangesArriveWithinSixSecondsDespiteFaults(t *testing.T) {
	for firstFault := none; firstFault < faultCount; firstFault++ {
		for secondFault := none; secondFault < faultCount; secondFault++ {
			for step := time.Duration(0); step < 3*time.Second; step += 300 * time.Millisecond {
				world, host, discoveryAgent := newWorld(t, func(number int) fault {
					switch number {
					case 1:
						return firstFault
					case 2:
						return secondFault
					}
					return none
				})
				discoveryAgent.indent = step%(600*time.Millisecond) == 0
				discoveryAgent.revision = 1 // the agent has it from the start
				discoveryAgent.loop.At(discoveryAgent.loop.Now()+5*time.Millisecond+step, discoveryAgent.change)
				world.Run(time.Hour + 20*time.Second)
				check(t, fmt.Sprintf("%d, then %d, %v after the watch began", firstFault, secondFault, step), host, discoveryAgent, 0)
			}
		}
	}
}

// Guards against a delay of the first list, which the agent has from the start.
func TestTheFirstListArrivesAtOnce(t *testing.T) {
	world, host, discoveryAgent := newWorld(t, func(int) fault { return none })
	discoveryAgent.revision, discoveryAgent.changedAt[1] = 1, time.Hour
	world.Run(time.Hour + 100*time.Millisecond)
	if at := host.reportedAt["s-1"]; at == 0 || at > time.Hour+10*time.Millisecond {
		t.Fatalf("reported after %v", at-time.Hour)
	}
}

// Guards against a change that is reported late after an outage of discovery, which either refuses connections or drops all
// packets. Delays count from the end of the outage.
func TestChangesArriveWithinSixSecondsAfterAnOutage(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 7*time.Second + 300*time.Millisecond, 30 * time.Second} {
		for _, silentLink := range []bool{false, true} {
			world, host, discoveryAgent := newWorld(t, func(int) fault { return none })
			driverHost, reachableAt := world.Hosts()[0], time.Hour+time.Second+down
			world.At(time.Hour+time.Second, func() {
				if silentLink {
					link := sim.LocalLink
					link.Cut = true
					world.SetRoute(driverHost, agentAddress, link, link)
				} else {
					link := sim.LocalLink
					link.RefuseConnects = true
					world.SetRoute(driverHost, agentAddress, link, link)
					world.ResetRoute(driverHost, agentAddress)
				}
			})
			world.At(time.Hour+time.Second+down/2, discoveryAgent.change)
			world.At(reachableAt, func() { world.ClearRoute(driverHost, agentAddress) })
			world.Run(reachableAt + 20*time.Second)
			check(t, fmt.Sprintf("down for %v, cut %t", down, silentLink), host, discoveryAgent, reachableAt)
		}
	}
}

// Guards against a list of a new agent that arrives more than 4 s after the address was changed. The first request to it fails
// in various ways, and the former address does not respond.
func TestListsArriveWithinFourSecondsAfterAMove(t *testing.T) {
	for firstFault := none; firstFault < faultCount; firstFault++ {
		world, host, discoveryAgent := newWorld(t, func(number int) fault {
			if number == 0 {
				return firstFault
			}
			return none
		})
		other := netip.MustParseAddrPort("10.0.9.2:8500")
		discoveryAgent.listen(t, other)
		host.client = discovery.New(host.loop, host, netip.MustParseAddrPort("10.0.9.3:8500"))    // nothing listens there
		if err := host.client.Restore([]byte(`{"rev":50,"all":true,"targets":[]}`)); err != nil { // the other agent has its own revisions
			t.Fatal(err)
		}
		discoveryAgent.revision, discoveryAgent.changedAt[1] = 1, time.Hour+2*time.Second
		host.loop.At(time.Hour+2*time.Second, func() { host.client.SetAddress(other) })
		world.Run(time.Hour + 20*time.Second)
		if at := host.reportedAt["s-1"] - time.Hour - 2*time.Second; at < 0 || at > 4*time.Second {
			t.Errorf("%d: reported %v after the move", firstFault, at)
		}
	}
}

// Guards against a change that is reported late while the watch is paused. The client is polled as rarely as the driver does it
// without announcements from other drivers, and every third poll fails.
func TestChangesArriveInTimeWhilePaused(t *testing.T) {
	const announceInterval = 300 * time.Millisecond // interval at which the driver checks whether to poll
	for _, repeatedFault := range []fault{none, silent, resetAtOnce, status503} {
		for step := time.Duration(0); step < 4*time.Second; step += 400 * time.Millisecond {
			calls := 0
			world, host, discoveryAgent := newWorld(t, func(int) fault {
				if calls++; calls%3 == 0 {
					return repeatedFault
				}
				return none
			})
			var poll func()
			poll = func() {
				host.client.Poll()
				host.loop.At(host.loop.Now()+discovery.MaxWatch+announceInterval, poll)
			}
			host.loop.At(host.loop.Now()+time.Millisecond, func() {
				host.client.SetPaused(true)
				poll()
			})
			for at := time.Second; at < 30*time.Second; at += 4 * time.Second {
				discoveryAgent.loop.At(time.Hour+at+step, discoveryAgent.change)
			}
			world.Run(time.Hour + 45*time.Second)
			check(t, fmt.Sprintf("%d, %v", repeatedFault, step), host, discoveryAgent, 0)
		}
	}
}
