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
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

// This file runs complete drivers in simulated time, with members and clients on event loops of their own.

const epoch = 1767225600 * time.Second

type simulatedFleet struct {
	t                testing.TB
	world            *sim.World
	random           *pcg.Source
	timeline         strings.Builder
	members          []*simMember
	drivers          []*simDriver
	answers          map[string]string // by id
	executions       map[string]int    // attempts that members have run, by id
	sent             int
	callsAfterAnswer int
}

type simMember struct {
	play *simulatedFleet
	host *sim.Host
	at   netip.AddrPort
	role string
	loop *loop.Loop
	work time.Duration
}

type simDriver struct {
	host *sim.Host
	at   netip.AddrPort
	node *Node
}

func (p *simulatedFleet) note(format string, args ...any) {
	fmt.Fprintf(&p.timeline, "%v %s\n", p.world.Now()-epoch, fmt.Sprintf(format, args...))
}

func (p *simulatedFleet) loopOn(h *sim.Host) *loop.Loop {
	l, err := loop.NewWithSystem(h, 1000, 16<<20)
	if err != nil {
		p.t.Fatal(err)
	}
	h.Serve(l, func() {})
	return l
}

func (p *simulatedFleet) member(i int, role string) {
	m := &simMember{play: p, host: p.world.AddHost(fmt.Sprint("m", i)), at: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:5432", i+1)), role: role}
	m.work = 20 * time.Millisecond
	m.start()
	p.members = append(p.members, m)
}

func (m *simMember) start() {
	m.loop = m.play.loopOn(m.host)
	if _, err := m.loop.Listen(m.at, 1<<20, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
		c := &simMemberConn{member: m}
		c.stream = open(c)
	}, func(bool) {}); err != nil {
		m.play.t.Fatal(err)
	}
}

// simMemberConn is one connection of a member.
type simMemberConn struct {
	member *simMember
	stream *loop.Stream
	began  bool
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
	id, write := field(text, "id"), strings.Contains(text, "INSERT")
	m.play.note("%s gets %s", m.host.Name, id)
	if m.play.answers[id] != "" {
		m.play.callsAfterAnswer++
	}
	answer := func() {
		out := appendSimReport(rowResponse("value of "+id), m)
		if write && m.role != "leader" {
			out = appendSimReport(pgwire.AppendError(nil, false, "25006", "no", -1), m)
		} else {
			m.play.executions[id]++
		}
		c.stream.Send(pgwire.AppendReady(out))
	}
	m.loop.At(m.loop.Now()+m.work+time.Duration(m.play.random.Below(10))*time.Millisecond, answer)
	return size
}

func appendSimReport(out []byte, m *simMember) []byte {
	out = pgwire.AppendParameter(out, "node_role", m.role)
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(m.loop.Now()/time.Millisecond), 10))
}

func (p *simulatedFleet) driver(i int) {
	d := &simDriver{host: p.world.AddHost(fmt.Sprint("d", i)), at: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:6543", i+1))}
	var targets []string
	for j, m := range p.members {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, j, m.at))
	}
	site := &Site{
		Name: d.host.Name, Listen: d.at, Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: p.randomSeed(), Descriptors: 256, Memory: 64 << 20,
		InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(p.t)),
	}
	n, err := On(p.loopOn(d.host), site, config.Default())
	if err != nil {
		p.t.Fatal(err)
	}
	d.node = n
	p.drivers = append(p.drivers, d)
}

func (p *simulatedFleet) randomSeed() uint64 {
	return uint64(p.random.Uint32())<<32 | uint64(p.random.Uint32())
}

// simClient sends one RPC after the other, on one connection for as long as that is open.
type simClient struct {
	play     *simulatedFleet
	loop     *loop.Loop
	to       netip.AddrPort
	name     string
	stream   *loop.Stream
	requests int
	id       string
	until    time.Duration
}

func (p *simulatedFleet) client(i int, to netip.AddrPort, until time.Duration) {
	c := &simClient{play: p, loop: p.loopOn(p.world.AddHost(fmt.Sprint("c", i))), to: to, name: fmt.Sprint("c", i), until: until}
	c.loop.Defer(c.connect)
}

func (c *simClient) connect() {
	if c.loop.Now() > c.until {
		return
	}
	var err error
	if c.stream, err = c.loop.Dial(c.to, c, 1<<20); err != nil {
		c.play.t.Fatal(err)
	}
	c.stream.Send(pgwire.AppendStartup(nil, "app", "shop"))
	c.sendNext()
}

func (c *simClient) sendNext() {
	if c.loop.Now() > c.until {
		return
	}
	c.requests++
	c.play.sent++
	c.id = fmt.Sprintf("%s-%d", c.name, c.requests)
	method := []string{"look", "order", "look", "pay"}[c.requests%4]
	text := taggedStatement(c.id, method, 500, 0)
	if method == "look" {
		text = strings.Replace(text, "INSERT INTO items (id, doc) VALUES ('", "SELECT doc FROM items WHERE id = ('", 1)
	}
	c.stream.Send(queryMessage(text))
	id := c.id
	c.loop.At(c.loop.Now()+500*time.Millisecond, func() {
		if c.id == id && c.play.answers[id] == "" { // there was no answer in time
			c.finish("nothing")
			c.stream.Close()
			c.connect()
		}
	})
}

func (c *simClient) finish(what string) {
	c.play.answers[c.id] = what
	c.play.note("%s hears %s", c.id, what)
}

func (c *simClient) Opened()          {}
func (c *simClient) Panicked(e error) { panic(e) }

func (c *simClient) Closed(cause error) {
	if c.play.answers[c.id] == "" {
		c.finish("closed")
	}
	c.loop.At(c.loop.Now()+50*time.Millisecond, c.connect)
}

func (c *simClient) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		c.play.t.Fatal(err)
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
	case kind == 'Z' && c.play.answers[c.id] != "":
		c.loop.At(c.loop.Now()+10*time.Millisecond, c.sendNext)
	}
	return size
}

// runFaultScenario simulates twelve seconds: a member is suspended, the primary is killed and a replica promoted, a driver is
// killed and restarted, a link loses packets.
func runFaultScenario(t testing.TB, seed uint64) *simulatedFleet {
	p := &simulatedFleet{t: t, world: sim.New(seed, epoch), random: pcg.New(seed), answers: make(map[string]string), executions: make(map[string]int)}
	for i := range 3 {
		p.member(i, roleName(i == 0))
	}
	p.driver(0)
	p.driver(1)
	for i := range 12 {
		p.client(i, p.drivers[i%2].at, epoch+10*time.Second)
	}
	after := func(d time.Duration, act func()) { p.world.At(epoch+d, act) }
	after(2*time.Second, func() { p.members[1].host.Pause(epoch + 3*time.Second) })
	after(4*time.Second, func() { p.members[0].host.Kill() })
	after(5*time.Second, func() { p.members[1].role = "leader" })
	after(6*time.Second, func() {
		p.drivers[0].host.Kill()
		p.note("d0 dies")
	})
	after(6500*time.Millisecond, func() {
		old := p.drivers[0]
		old.host.Start()
		n, err := On(p.loopOn(old.host), old.node.site, config.Default())
		if err != nil {
			t.Fatal(err)
		}
		old.node = n
	})
	after(7500*time.Millisecond, func() {
		lossy := sim.LocalLink
		lossy.Loss, lossy.Jitter = 0.05, 20*time.Millisecond
		p.world.SetLink(p.drivers[1].host, p.members[2].host, lossy)
	})
	p.world.Run(epoch + 12*time.Second)
	return p
}

func simSettings(t testing.TB) map[string]any {
	return decoded(t, testSettings)
}

// Equal seeds give equal timelines to the byte, different seeds different ones; no RPC runs twice that must not.
func TestDriverInSimulatedTime(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	digests := make(map[uint64]bool)
	began := time.Now()
	for seed := range uint64(4) {
		p := runFaultScenario(t, seed)
		again := runFaultScenario(t, seed)
		if p.timeline.String() != again.timeline.String() {
			t.Fatalf("seed %d has two courses", seed)
		}
		hash := fnv.New64a()
		hash.Write([]byte(p.timeline.String()))
		digests[hash.Sum64()] = true
		counts := make(map[string]int)
		for id, answer := range p.answers {
			counts[answer]++
			turn, _ := strconv.Atoi(id[strings.IndexByte(id, '-')+1:])
			pay := turn%4 == 3
			if pay && p.executions[id] > 1 || pay && answer == codeRejected && p.executions[id] > 0 {
				t.Errorf("seed %d: %s, which must not run twice, hears %s and ran %d times", seed, id, answer, p.executions[id])
			}
			if answer == "ok" && p.executions[id] == 0 {
				t.Errorf("seed %d: %s hears ok though nothing ran", seed, id)
			}
		}
		if counts["ok"] < p.sent*3/4 || counts["ok"] == p.sent || p.sent < 1000 {
			t.Errorf("seed %d: %d RPCs, answered %v", seed, p.sent, counts)
		}
		t.Logf("seed %d: %d RPCs, answered %v", seed, p.sent, counts)
	}
	if len(digests) != 4 {
		t.Errorf("4 seeds have %d courses", len(digests))
	}
	t.Logf("96 simulated seconds took %v", time.Since(began))
}

func decoded(t testing.TB, text string) (object map[string]any) {
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&object); err != nil {
		t.Fatal(err)
	}
	return object
}
