package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"passtack/internal/config"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

const ms = time.Millisecond

// scenario is one driver, two members of one group and a client, in simulated time.
type scenario struct {
	t          *testing.T
	world      *sim.World
	driver     *sim.Host
	node       *Node
	members    [2]*scriptedMember
	client     *scriptedClient
	receivedAt map[string][]time.Duration // when members had received each RPC completely, by id
}

// scriptedMember is a member whose behaviour a test sets.
type scriptedMember struct {
	scene          *scenario
	loop           *loop.Loop
	at             netip.AddrPort
	connectDelay   time.Duration                                         // until it accepts the startup of a connection
	respond        func(c *scriptedMemberConn, id string, answer func()) // to each query; answer sends the row
	onQuery        func(text string)                                     // is called with each query before respond
	reads          int                                                   // bytes of one query that it takes
	closedByDriver int                                                   // connections that the driver has closed
}

type scriptedMemberConn struct {
	actor  *scriptedMember
	stream *loop.Stream
	began  bool
}

func (c *scriptedMemberConn) Opened() {}

func (c *scriptedMemberConn) Closed(error) { c.actor.closedByDriver++ }

func (c *scriptedMemberConn) Panicked(error) {}

func (c *scriptedMemberConn) Input(in []byte) int {
	a := c.actor
	if !c.began {
		if _, size, err := pgwire.First(in); err != nil || size == 0 {
			return 0
		}
		c.began = true
		a.loop.At(a.loop.Now()+a.connectDelay, func() { c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1)) })
		return len(in)
	}
	_, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 {
		return 0
	}
	id := field(string(body[:len(body)-1]), "id")
	s := a.scene
	s.receivedAt[id] = append(s.receivedAt[id], s.world.Now())
	a.onQuery(string(body[:len(body)-1]))
	a.respond(c, id, func() { c.stream.Send(pgwire.AppendReady(appendReport(rowResponse("value of "+id), "leader"))) })
	return size
}

func (c *scriptedMemberConn) respondError(code string) {
	c.stream.Send(pgwire.AppendReady(appendReport(pgwire.AppendError(nil, false, code, "no", -1), "leader")))
}

// scriptedClient is a client whose bytes a test writes.
type scriptedClient struct {
	loop      *loop.Loop
	stream    *loop.Stream
	received  []string // codes of errors and values of rows, in order
	closedAt  time.Duration
	secret    [8]byte
	reconnect func()
}

func (c *scriptedClient) Opened() {}

func (c *scriptedClient) Closed(error) {
	if c.closedAt = c.loop.Now(); c.reconnect != nil {
		c.loop.At(c.closedAt+100*ms, c.reconnect)
	}
}

func (c *scriptedClient) Panicked(error) {}

func (c *scriptedClient) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 {
		return 0
	}
	switch kind {
	case 'K':
		copy(c.secret[:], body)
	case 'E':
		pgwire.Fields(body, func(f byte, value []byte) {
			if f == 'C' {
				c.received = append(c.received, string(value))
			}
		})
	case 'D':
		c.received = append(c.received, string(body[6:]))
	}
	return size
}

func newScenario(t *testing.T, change func(map[string]string), descriptors int) *scenario {
	return newScenarioWithConfig(t, change, descriptors, "")
}

// newScenarioWithConfig also gives the driver an operator's file.
func newScenarioWithConfig(t *testing.T, change func(map[string]string), descriptors int, wanted string) *scenario {
	return newScenarioOn(t, change, descriptors, wanted, func(h *sim.Host) loop.System { return h })
}

// newScenarioOn runs the driver on a system of the test's own.
func newScenarioOn(t *testing.T, change func(map[string]string), descriptors int, wanted string, system func(*sim.Host) loop.System) *scenario {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	s := &scenario{t: t, world: sim.New(1, epoch), receivedAt: make(map[string][]time.Duration)}
	on := func(h *sim.Host) *loop.Loop {
		l, err := loop.NewWithSystem(h, 1000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	var targets []string
	for i := range s.members {
		a := &scriptedMember{scene: s, at: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:5432", i+1)), reads: 1 << 20}
		a.loop = on(s.world.AddHost(fmt.Sprint("m", i)))
		a.respond = func(_ *scriptedMemberConn, _ string, answer func()) { answer() }
		a.onQuery = func(string) {}
		if _, err := a.loop.Listen(a.at, 1<<20, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
			c := &scriptedMemberConn{actor: a}
			c.stream = open(c)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		s.members[i] = a
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, i, a.at))
	}
	site := &Site{
		Name: "d", Listen: netip.MustParseAddrPort("10.0.0.1:6543"), Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: 5,
		Descriptors: descriptors, Memory: 64 << 20, InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(t)),
	}
	if change != nil {
		change(site.Settings)
	}
	s.driver = s.world.AddHost("d")
	l, err := loop.NewWithSystem(system(s.driver), descriptors, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	wants := config.Default()
	if wanted != "" {
		site.ConfigFile = filepath.Join(t.TempDir(), "passtack.hcl")
		os.WriteFile(site.ConfigFile, []byte(wanted), 0o600)
		if wants, err = site.ReadConfig(); err != nil {
			t.Fatal(err)
		}
	}
	if s.node, err = On(l, site, wants); err != nil {
		t.Fatal(err)
	}
	s.driver.Serve(l, func() {})
	s.client = s.dial(on(s.world.AddHost("c")))
	return s
}

func (s *scenario) dial(l *loop.Loop) *scriptedClient {
	c := &scriptedClient{loop: l}
	l.Defer(func() {
		var err error
		if c.stream, err = l.Dial(s.node.site.Listen, c, 1<<20); err != nil {
			s.t.Fatal(err)
		}
		c.stream.Send(pgwire.AppendStartup(nil, "app", "shop"))
	})
	return c
}

// at schedules an action by the time after the start.
func (s *scenario) at(after time.Duration, action func()) { s.world.At(epoch+after, action) }

// send lets the client send statements in one write.
func (s *scenario) send(after time.Duration, texts ...string) {
	s.at(after, func() {
		s.client.loop.At(s.world.Now(), func() {
			var all []byte
			for _, text := range texts {
				all = append(all, queryMessage(text)...)
			}
			s.client.stream.Send(all)
		})
	})
}

// disconnect lets the client end its connection in one of the ways of disconnections.
func (s *scenario) disconnect(after time.Duration, how func(*scenario)) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { how(s) }) })
}

const payStatement = `/* id=%s,c=%s,d=2000,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('7', '%s')`

func order(id string) string { return fmt.Sprintf(payStatement, id, "order", id, "x") }
