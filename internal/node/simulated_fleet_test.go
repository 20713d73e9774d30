package node

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

// This file runs complete drivers in simulated time, with members and clients on event loops of their own.

const epoch = 1767225600 * time.Second

// simulatedFleet is a set of drivers, members and clients in one simulated network, with a timeline of their requests.
type simulatedFleet struct {
	t                   testing.TB
	world               *sim.World
	random              *pcg.Source
	timeline            strings.Builder
	members             []*simMember
	drivers             []*simDriver
	answers             map[string]string // what clients received, by RPC id
	executions          map[string]int    // attempts that members have run, by RPC id
	sent                int               // RPCs
	attemptsAfterAnswer int               // received by members although the client already had its answer
}

type simMember struct {
	fleet         *simulatedFleet
	host          *sim.Host
	address       netip.AddrPort
	role          string
	loop          *eventloop.Loop
	responseDelay time.Duration // to which up to 10 ms are added at random
}

type simDriver struct {
	host    *sim.Host
	address netip.AddrPort
	node    *Node
}

// record adds a line to the timeline.
func (f *simulatedFleet) record(format string, args ...any) {
	fmt.Fprintf(&f.timeline, "%v %s\n", f.world.Now()-epoch, fmt.Sprintf(format, args...))
}

func (f *simulatedFleet) loopOn(h *sim.Host) *eventloop.Loop {
	l, err := eventloop.NewWithSystem(h, 1000, 16<<20)
	if err != nil {
		f.t.Fatal(err)
	}
	h.Serve(l, func() {})
	return l
}

func (f *simulatedFleet) addMember(i int, role string) {
	m := &simMember{fleet: f, host: f.world.AddHost(fmt.Sprint("m", i)), address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:5432", i+1)), role: role}
	m.responseDelay = 20 * time.Millisecond
	m.start()
	f.members = append(f.members, m)
}

func (m *simMember) start() {
	m.loop = m.fleet.loopOn(m.host)
	if _, err := m.loop.Listen(m.address, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &simMemberConn{member: m}
		c.stream = open(c)
	}, func(bool) {}); err != nil {
		m.fleet.t.Fatal(err)
	}
}

// simMemberConn is a driver's connection to a member.
type simMemberConn struct {
	member *simMember
	stream *eventloop.Stream
	began  bool // the startup message was received
}

func (c *simMemberConn) Opened()          {}
func (c *simMemberConn) Closed(error)     {}
func (c *simMemberConn) Panicked(e error) { panic(e) }

func (c *simMemberConn) Input(in []byte) int {
	m := c.member
	if !c.began {
		_, size, err := pgwire.First(in)
		if err == nil && size > 0 {
			c.began = true
			c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		}
		return size
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 || kind != 'Q' {
		return size
	}
	text := string(body[:len(body)-1])
	if text == "" { // the empty query, which does nothing
		c.stream.Send(pgwire.AppendEmptyQueryResponse(nil))
		return size
	}
	id, write := field(text, "id"), strings.Contains(text, "INSERT")
	m.fleet.record("%s receives %s", m.host.Name, id)
	if m.fleet.answers[id] != "" {
		m.fleet.attemptsAfterAnswer++
	}
	answer := func() {
		out := appendSimReport(rowResponse("value of "+id), m)
		if write && m.role != "leader" {
			out = appendSimReport(pgwire.AppendError(nil, false, "25006", "no", -1), m)
		} else {
			m.fleet.executions[id]++
		}
		c.stream.Send(pgwire.AppendReady(out))
	}
	m.loop.At(m.loop.Now()+m.responseDelay+time.Duration(m.fleet.random.Below(10))*time.Millisecond, answer)
	return size
}

// appendSimReport appends a member's load report: its role and its replay position.
func appendSimReport(out []byte, m *simMember) []byte {
	out = pgwire.AppendParameter(out, "node_role", m.role)
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(m.loop.Now()/time.Millisecond), 10))
}

func (f *simulatedFleet) addDriver(i int) {
	d := &simDriver{host: f.world.AddHost(fmt.Sprint("d", i)), address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:6543", i+1))}
	var targets []string
	for j, m := range f.members {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, j, m.address))
	}
	site := &Site{
		Name: d.host.Name, Listen: d.address, Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: f.randomSeed(), Descriptors: 256, Memory: 64 << 20,
		InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(f.t)),
	}
	n, err := On(f.loopOn(d.host), site, config.Default())
	if err != nil {
		f.t.Fatal(err)
	}
	d.node = n
	f.drivers = append(f.drivers, d)
}

func (f *simulatedFleet) randomSeed() uint64 {
	return uint64(f.random.Uint32())<<32 | uint64(f.random.Uint32())
}

// simClient sends one RPC after the other, on one connection as long as it stays open.
type simClient struct {
	fleet    *simulatedFleet
	loop     *eventloop.Loop
	to       netip.AddrPort
	name     string
	stream   *eventloop.Stream
	requests int
	id       string        // of the current RPC
	until    time.Duration // after this time no RPC is sent
}

func (f *simulatedFleet) addClient(i int, to netip.AddrPort, until time.Duration) {
	c := &simClient{fleet: f, loop: f.loopOn(f.world.AddHost(fmt.Sprint("c", i))), to: to, name: fmt.Sprint("c", i), until: until}
	c.loop.Defer(c.connect)
}

func (c *simClient) connect() {
	if c.loop.Now() > c.until {
		return
	}
	var err error
	if c.stream, err = c.loop.Dial(c.to, c, 1<<20); err != nil {
		c.fleet.t.Fatal(err)
	}
	c.stream.Send(pgwire.AppendStartup(nil, "app", "shop"))
	c.sendNext()
}

func (c *simClient) sendNext() {
	if c.loop.Now() > c.until {
		return
	}
	c.requests++
	c.fleet.sent++
	c.id = fmt.Sprintf("%s-%d", c.name, c.requests)
	method := []string{"look", "order", "look", "pay"}[c.requests%4]
	text := taggedStatement(c.id, method, 500, 0)
	if method == "look" {
		text = strings.Replace(text, "INSERT INTO items (id, doc) VALUES ('", "SELECT doc FROM items WHERE id = ('", 1)
	}
	c.stream.Send(queryMessage(text))
	id := c.id
	c.loop.At(c.loop.Now()+500*time.Millisecond, func() {
		if c.id == id && c.fleet.answers[id] == "" { // no answer within the deadline
			c.finish("nothing")
			c.stream.Close()
			c.connect()
		}
	})
}

// finish records the answer to the current RPC.
func (c *simClient) finish(answer string) {
	c.fleet.answers[c.id] = answer
	c.fleet.record("%s is answered %s", c.id, answer)
}

func (c *simClient) Opened()          {}
func (c *simClient) Panicked(e error) { panic(e) }

func (c *simClient) Closed(cause error) {
	if c.fleet.answers[c.id] == "" {
		c.finish("closed")
	}
	c.loop.At(c.loop.Now()+50*time.Millisecond, c.connect)
}

func (c *simClient) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		c.fleet.t.Fatal(err)
	}
	switch {
	case size == 0:
		return 0
	case kind == 'D':
		c.finish("ok")
	case kind == 'E':
		pgwire.Fields(body, func(code byte, value []byte) {
			if code == 'C' {
				c.finish(string(value))
			}
		})
	case kind == 'Z' && c.fleet.answers[c.id] != "":
		c.loop.At(c.loop.Now()+10*time.Millisecond, c.sendNext)
	}
	return size
}

// runFaultScenario simulates twelve seconds: a member is suspended, the primary is killed and a replica promoted, a driver is
// killed and restarted, a link loses packets.
func runFaultScenario(t testing.TB, seed uint64) *simulatedFleet {
	f := &simulatedFleet{t: t, world: sim.New(seed, epoch), random: pcg.New(seed), answers: make(map[string]string), executions: make(map[string]int)}
	for i := range 3 {
		f.addMember(i, roleName(i == 0))
	}
	f.addDriver(0)
	f.addDriver(1)
	for i := range 12 {
		f.addClient(i, f.drivers[i%2].address, epoch+10*time.Second)
	}
	at := func(d time.Duration, act func()) { f.world.At(epoch+d, act) }
	at(2*time.Second, func() { f.members[1].host.Pause(epoch + 3*time.Second) })
	at(4*time.Second, func() { f.members[0].host.Kill() })
	at(5*time.Second, func() { f.members[1].role = "leader" })
	at(6*time.Second, func() {
		f.drivers[0].host.Kill()
		f.record("d0 is killed")
	})
	at(6500*time.Millisecond, func() {
		old := f.drivers[0]
		old.host.Start()
		n, err := On(f.loopOn(old.host), old.node.site, config.Default())
		if err != nil {
			t.Fatal(err)
		}
		old.node = n
	})
	at(7500*time.Millisecond, func() {
		lossy := sim.LocalLink
		lossy.Loss, lossy.Jitter = 0.05, 20*time.Millisecond
		f.world.SetLink(f.drivers[1].host, f.members[2].host, lossy)
	})
	f.world.Run(epoch + 12*time.Second)
	return f
}

func simSettings(t testing.TB) map[string]any {
	return decoded(t, testSettings)
}

// Equal seeds give byte-identical timelines and different seeds different ones. Even with faults, no RPC that must not run twice does, and
// no RPC is answered ok without having run.
func TestDriverInSimulatedTime(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	digests := make(map[uint64]bool)
	began := time.Now()
	for seed := range uint64(4) {
		f := runFaultScenario(t, seed)
		again := runFaultScenario(t, seed)
		if f.timeline.String() != again.timeline.String() {
			t.Fatalf("two runs with seed %d have different timelines", seed)
		}
		hash := fnv.New64a()
		hash.Write([]byte(f.timeline.String()))
		digests[hash.Sum64()] = true
		counts := make(map[string]int)
		for id, answer := range f.answers {
			counts[answer]++
			number, _ := strconv.Atoi(id[strings.IndexByte(id, '-')+1:])
			pay := number%4 == 3
			if pay && f.executions[id] > 1 || pay && answer == codeRejected && f.executions[id] > 0 {
				t.Errorf("seed %d: %s, which must not run twice or after a rejection, is answered %s and ran %d times", seed, id, answer, f.executions[id])
			}
			if answer == "ok" && f.executions[id] == 0 {
				t.Errorf("seed %d: %s is answered ok but no member ran it", seed, id)
			}
		}
		if counts["ok"] < f.sent*3/4 || counts["ok"] == f.sent || f.sent < 1000 {
			t.Errorf("seed %d: %d RPCs, answered %v", seed, f.sent, counts)
		}
		t.Logf("seed %d: %d RPCs, answered %v", seed, f.sent, counts)
	}
	if len(digests) != 4 {
		t.Errorf("4 seeds give %d timelines, want 4", len(digests))
	}
	t.Logf("96 simulated seconds took %v", time.Since(began))
}

// decoded returns the object in a JSON text, with numbers as json.Number.
func decoded(t testing.TB, text string) (object map[string]any) {
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&object); err != nil {
		t.Fatal(err)
	}
	return object
}
