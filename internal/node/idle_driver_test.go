package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/settings"
)

// idleDiscovery is a connection to a discovery whose list never changes. It answers each call after the hold_ms of the request.
type idleDiscovery struct {
	loop   *eventloop.Loop
	stream *eventloop.Stream
	calls  *int
}

func (h *idleDiscovery) Opened()        {}
func (h *idleDiscovery) Closed(error)   {}
func (h *idleDiscovery) Panicked(error) {}

func (h *idleDiscovery) Input(in []byte) int {
	*h.calls++
	hold := 0
	if _, after, held := strings.Cut(string(in), "hold_ms="); held {
		hold, _ = strconv.Atoi(after[:strings.IndexByte(after, ' ')])
	}
	h.loop.At(h.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		body := endpointList(1, false)
		h.stream.Send(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
	return len(in)
}

// idleDriver returns a driver without clients that watches discovery, its host, and the number of calls to discovery.
func idleDriver(t *testing.T, members int) (w *sim.World, n *Node, driver *sim.Host, calls *int) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	w, calls = sim.New(3, epoch), new(int)
	newLoop := func(h *sim.Host) *eventloop.Loop {
		l, err := eventloop.NewWithSystem(h, 4000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	var targets []string
	for i := range members {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"10.0.%d.%d:5432","az":"a","pod_group":%d,"state":"in_service","capacity_hint":1,"boot_ms":0}`,
			i, 16+i/200, i%200, i/10))
	}
	site := &Site{
		Name: "d", Listen: netip.MustParseAddrPort("10.0.0.1:6543"), Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: 5,
		Descriptors: 4000, Memory: 64 << 20, InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(t)),
	}
	agent := newLoop(w.AddHost("agent"))
	if _, err := agent.Listen(site.Discovery, 1<<12, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		h := &idleDiscovery{loop: agent, calls: calls}
		h.stream = open(h)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	driver = w.AddHost("d")
	var err error
	if n, err = On(newLoop(driver), site, config.Default()); err != nil {
		t.Fatal(err)
	}
	return w, n, driver, calls
}

// A driver without clients wakes only for the module's ticks and for discovery's answers. The number of members makes no difference.
func TestIdleDriverWakesRarely(t *testing.T) {
	const minutes = 2
	wakes := make(map[int]int)
	for _, members := range []int{100, 1100} {
		w, n, driver, calls := idleDriver(t, members)
		w.Run(epoch + 5*time.Second) // by then it has recovered and has its list
		iterationsBefore, callCount := driver.Iterations, *calls
		w.Run(epoch + 5*time.Second + minutes*time.Minute)
		wakes[members] = driver.Iterations - iterationsBefore
		t.Logf("%d members: %d wakes and %d calls for the list in %d minutes", members, wakes[members], *calls-callCount, minutes)
		moduleTicks := int(minutes * time.Minute / (250 * time.Millisecond)) // ticks of the module while no RPC is in service
		if callCount = *calls - callCount; callCount < 40*minutes/2 || wakes[members] > moduleTicks+2*callCount {
			t.Errorf("%d members: %d wakes in %d minutes, with %d ticks of the module and %d calls for the list", members, wakes[members], minutes, moduleTicks, callCount)
		}
		if len(n.members.ids) != members {
			t.Errorf("the driver knows %d of %d members", len(n.members.ids), members)
		}
	}
	if more := wakes[1100] - wakes[100]; more < -2 || more > 2 {
		t.Errorf("%d wakes with 100 members, %d with 1100", wakes[100], wakes[1100])
	}
}

// An idle driver that was suspended for over a second restarts its recovery, at whatever time between two module ticks the
// suspension began. A pause that is shorter by the time between two ticks does not count as a suspension.
func TestIdleDriverDetectsSuspension(t *testing.T) {
	for phase := time.Duration(0); phase < 250*time.Millisecond; phase += 17 * time.Millisecond {
		w, n, driver, _ := idleDriver(t, 4)
		pauseAt := epoch + 15*time.Second + phase
		w.At(pauseAt, func() { driver.Pause(pauseAt + 740*time.Millisecond) })
		w.Run(epoch + 20*time.Second)
		if n.counters["suspensions"] != 0 {
			t.Fatalf("%d suspensions counted after a pause of 740 ms, want 0", n.counters["suspensions"])
		}
		pauseAt += 10 * time.Second
		w.At(pauseAt, func() { driver.Pause(pauseAt + 1010*time.Millisecond) })
		w.Run(epoch + 30*time.Second)
		if n.counters["suspensions"] != 1 {
			t.Errorf("%d suspensions counted after a pause of 1010 ms that began %v into the second, want 1", n.counters["suspensions"], phase)
		}
	}
}
