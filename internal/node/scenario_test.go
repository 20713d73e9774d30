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
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

const ms = time.Millisecond

// scenario is a driver, two members of one group and a client in simulated time.
type scenario struct {
	t          *testing.T
	world      *sim.World
	driver     *sim.Host
	node       *Node
	members    [2]*scriptedMember
	client     *scriptedClient
	receivedAt map[string][]time.Duration // when members had received all bytes of each attempt, by id of the RPC
}

// scriptedMember is a member whose behaviour a test sets.
type scriptedMember struct {
	scenario       *scenario
	loop           *eventloop.Loop
	address        netip.AddrPort
	connectDelay   time.Duration                                         // time from the startup message of a connection to the response
	respond        func(c *scriptedMemberConn, id string, answer func()) // called for each query; answer sends a row
	onQuery        func(text string)                                     // called for each query before respond
	reads          int                                                   // limit for the bytes of one query; no code enforces it
	closedByDriver int                                                   // connections that the driver has closed
}

// scriptedMemberConn is a connection of the driver to a scriptedMember.
type scriptedMemberConn struct {
	member  *scriptedMember
	stream  *eventloop.Stream
	started bool // whether the startup message was received
}

func (c *scriptedMemberConn) Opened() {}

func (c *scriptedMemberConn) Closed(error) { c.member.closedByDriver++ }

func (c *scriptedMemberConn) Panicked(error) {}

func (c *scriptedMemberConn) Input(in []byte) int {
	m := c.member
	if !c.started {
		if _, size, err := pgwire.First(in); err != nil || size == 0 {
			return 0
		}
		c.started = true
		m.loop.At(m.loop.Now()+m.connectDelay, func() { c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1)) })
		return len(in)
	}
	_, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 {
		return 0
	}
	if len(body) == 1 { // the empty query, which does nothing
		c.stream.Send(pgwire.AppendEmptyQueryResponse(nil))
		return size
	}
	id := field(string(body[:len(body)-1]), "id")
	s := m.scenario
	s.receivedAt[id] = append(s.receivedAt[id], s.world.Now())
	m.onQuery(string(body[:len(body)-1]))
	m.respond(c, id, func() { c.stream.Send(pgwire.AppendReady(appendReport(rowResponse("value of "+id), "leader"))) })
	return size
}

func (c *scriptedMemberConn) respondError(code string) {
	c.stream.Send(pgwire.AppendReady(appendReport(pgwire.AppendError(nil, false, code, "no", -1), "leader")))
}

// scriptedClient is a client whose bytes a test writes.
type scriptedClient struct {
	loop      *eventloop.Loop
	stream    *eventloop.Stream
	received  []string      // codes of errors and values of rows, in order
	closedAt  time.Duration // 0 while the connection is open
	secret    [8]byte       // identifies the connection in a CancelRequest
	reconnect func()        // called 100 ms after the connection was closed, if not nil
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

// newScenario creates a scenario. changeSettings, if not nil, changes the site's settings.
func newScenario(t *testing.T, changeSettings func(map[string]string), descriptors int) *scenario {
	return newScenarioWithConfig(t, changeSettings, descriptors, "")
}

// newScenarioWithConfig also gives the driver an operator's file, unless its text is empty.
func newScenarioWithConfig(t *testing.T, changeSettings func(map[string]string), descriptors int, operatorFile string) *scenario {
	return newScenarioOn(t, changeSettings, descriptors, operatorFile, func(h *sim.Host) eventloop.System { return h })
}

// newScenarioOn runs the driver on the eventloop.System that system returns for its host.
func newScenarioOn(t *testing.T, changeSettings func(map[string]string), descriptors int, operatorFile string, system func(*sim.Host) eventloop.System) *scenario {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	s := &scenario{t: t, world: sim.New(1, epoch), receivedAt: make(map[string][]time.Duration)}
	newLoop := func(h *sim.Host) *eventloop.Loop {
		l, err := eventloop.NewWithSystem(h, 1000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	var targets []string
	for i := range s.members {
		m := &scriptedMember{scenario: s, address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:5432", i+1)), reads: 1 << 20}
		m.loop = newLoop(s.world.AddHost(fmt.Sprint("m", i)))
		m.respond = func(_ *scriptedMemberConn, _ string, answer func()) { answer() }
		m.onQuery = func(string) {}
		if _, err := m.loop.Listen(m.address, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			c := &scriptedMemberConn{member: m}
			c.stream = open(c)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		s.members[i] = m
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, i, m.address))
	}
	site := &Site{
		Name: "d", Listen: netip.MustParseAddrPort("10.0.0.1:6543"), Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: 5,
		Descriptors: descriptors, Memory: 64 << 20, InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(t)),
	}
	if changeSettings != nil {
		changeSettings(site.Settings)
	}
	s.driver = s.world.AddHost("d")
	l, err := eventloop.NewWithSystem(system(s.driver), descriptors, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	cfg := config.Default()
	if operatorFile != "" {
		site.ConfigFile = filepath.Join(t.TempDir(), "passtack.hcl")
		os.WriteFile(site.ConfigFile, []byte(operatorFile), 0o600)
		if cfg, err = site.ReadConfig(); err != nil {
			t.Fatal(err)
		}
	}
	if s.node, err = On(l, site, cfg); err != nil {
		t.Fatal(err)
	}
	s.driver.Serve(l, func() {})
	s.client = s.dial(newLoop(s.world.AddHost("c")))
	return s
}

// dial connects a client to the driver.
func (s *scenario) dial(l *eventloop.Loop) *scriptedClient {
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

// at schedules an action at a time after the start.
func (s *scenario) at(after time.Duration, action func()) { s.world.At(epoch+after, action) }

// send makes the client send statements in one write.
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

// disconnect makes the client leave in one of the ways in disconnections.
func (s *scenario) disconnect(after time.Duration, how func(*scenario)) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { how(s) }) })
}

const payStatement = `/* id=%s,c=%s,d=2000,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('7', '%s')`

func order(id string) string { return fmt.Sprintf(payStatement, id, "order", id, "x") }
