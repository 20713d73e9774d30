package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

const (
	membersPerGroup   = 5                     // a primary and four replicas
	replicationDelay  = 20 * time.Millisecond // by which replicas apply writes later than their primary
	pinLimit          = 10 * time.Second      // longest time that reads of a session stay pinned to the primary, as in the design
	longRunningBootMS = 0                     // boot_ms of members that started long ago
)

// settingsTemplate is the settings of a measured driver, with the three methods that rehearsals use.
const settingsTemplate = `{"areas":["a"],"balancers":%d,"tick_us":5000,"locality":0,"registry_mode":"automatic","position":0,
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"may_probe":%t,"most_tries":8},
"classes":[
{"name":"look","effect":"safe","group":"all","hard_limit_us":%d,"late_worth":0.2,"points":3,"target_us":%d},
{"name":"own","effect":"safe","group":"all","hard_limit_us":2000000,"late_worth":0,"points":1,"target_us":800000},
{"name":"order","effect":"keyed","group":"cell","hard_limit_us":2000000,"late_worth":0.5,"points":6,"target_us":600000,"window_us":1200000}],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update"],
"lag_allowed_us":[800000,0,0],"write_marks":"client","role_listed":"off"},
"report":{"columns":["x0","x1","load_share"],"how":"inline"},
"rules":{"cold_us":16000000,"drain_grace_us":250000,"fall_multiple":4,"start_capacity":0.25,"tip_after_us":1000000}}`

// methodShares is the share of each method in all statements, as in rehearsals.
var methodShares = [...]struct {
	method   string
	fraction float64
}{{"look", 0.51}, {"own", 0.16}, {"order", 0.33}}

// driverSettingsJSON returns the settings of one driver in a fleet of the given number; softDeadline is that of the first method.
func driverSettingsJSON(drivers int, probes bool, softDeadline time.Duration) string {
	return fmt.Sprintf(settingsTemplate, drivers, probes, 5*softDeadline/2/time.Microsecond, softDeadline/time.Microsecond)
}

// flatDriverSettings is driverSettingsJSON in flattened form.
func flatDriverSettings(drivers int, probes bool, softDeadline time.Duration) map[string]string {
	decoder := json.NewDecoder(strings.NewReader(driverSettingsJSON(drivers, probes, softDeadline)))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		panic(err)
	}
	return settings.Flatten(object)
}

// testbed is the environment of a measured driver: fake members and discovery, which share one loop, real or simulated. Clients run
// on a loop of their own. Members answer after a fixed time and are never overloaded: the load from other drivers is left out.
type testbed struct {
	serviceTime            time.Duration // of a member per statement; 0: answers at once
	windowStart, windowEnd time.Duration // measurement window, by the loops' clocks

	loop            *eventloop.Loop // of members and discovery
	members         []*fakeMember
	pendingWrites   [][]pendingWrite // by group: writes not yet confirmed by every replica
	handshakes      int              // connections that members accepted
	attempts        int
	probes          int
	sessionReads    int // reads that must see the writes of their session
	primaryReads    int // session reads that a primary answered
	pinDurations    []time.Duration
	positionAges    []time.Duration // of the last reported position of each replica, sampled once a second
	peakConnections int
}

// fakeMember is one member of the testbed.
type fakeMember struct {
	testbed      *testbed
	address      netip.AddrPort
	group, index int // index in the group; 0 is the primary
	conns        int
	reportedAt   time.Duration // time of its last position report; -1: none yet
	attempts     int
}

// pendingWrite is a write that some replicas of its group have not yet confirmed to the driver as applied.
type pendingWrite struct {
	committedAt time.Duration
	unconfirmed uint // bit set of replicas, by index in the group
}

// memberConn is one connection to a member, on the member's side.
type memberConn struct {
	member      *fakeMember
	stream      *eventloop.Stream
	startupDone bool
}

// listen creates the members and opens the listeners of members and discovery.
func (g *testbed) listen(l *eventloop.Loop, members int, address func(n int) netip.AddrPort, discovery netip.AddrPort) error {
	g.loop = l
	g.pendingWrites = make([][]pendingWrite, (members+membersPerGroup-1)/membersPerGroup)
	for n := range members {
		member := &fakeMember{testbed: g, address: address(n), group: n / membersPerGroup, index: n % membersPerGroup, reportedAt: -1}
		g.members = append(g.members, member)
		if _, err := l.Listen(member.address, pgwire.MaxMessageLength+1, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			conn := &memberConn{member: member}
			if conn.stream = open(conn); conn.stream == nil {
				return
			}
			member.conns++
			if now := l.Now(); g.inWindow(now) {
				g.handshakes++
			}
			g.peakConnections = max(g.peakConnections, member.conns)
		}, func(bool) {}); err != nil {
			return fmt.Errorf("member %d: %w", n, err)
		}
	}
	_, err := l.Listen(discovery, 1<<16, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		conn := &discoveryConn{testbed: g}
		conn.stream = open(conn)
	}, func(bool) {})
	l.At(l.Now()+time.Second, g.sampleAges)
	return err
}

// inWindow reports whether a time is within the measurement window.
func (g *testbed) inWindow(now time.Duration) bool { return now >= g.windowStart && now < g.windowEnd }

// sampleAges records once a second the age of the last position that each replica reported to the driver.
func (g *testbed) sampleAges() {
	now := g.loop.Now()
	g.loop.At(now+time.Second, g.sampleAges)
	if !g.inWindow(now) {
		return
	}
	for _, m := range g.members {
		if m.index > 0 && m.reportedAt >= 0 {
			g.positionAges = append(g.positionAges, now-m.reportedAt+replicationDelay)
		}
	}
}

// openConnections counts the connections that members currently hold.
func (g *testbed) openConnections() (openConnections int) {
	for _, m := range g.members {
		openConnections += m.conns
	}
	return openConnections
}

// endpointListJSON is the complete endpoint list as discovery sends it.
func (g *testbed) endpointListJSON() []byte {
	return endpointListJSON(len(g.members), 0, len(g.members), func(n int) netip.AddrPort { return g.members[n].address })
}

// endpointListJSON returns the entries of members from up to, but not including, to; the list is complete when these are all members.
func endpointListJSON(members, from, to int, address func(n int) netip.AddrPort) []byte {
	return groupedListJSON(membersPerGroup, members, from, to, address)
}

// groupedListJSON is endpointListJSON for groups of groupSize members.
func groupedListJSON(groupSize, members, from, to int, address func(n int) netip.AddrPort) []byte {
	out := fmt.Appendf(nil, `{"rev":1,"all":%t,"targets":[`, to-from == members)
	for n := from; n < to; n++ {
		if n > from {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, `{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":%d,"state":"in_service","capacity_hint":1,"boot_ms":%d}`,
			n, address(n), n/groupSize, longRunningBootMS)
	}
	return append(out, "]}"...)
}

// Opened implements eventloop.Handler.
func (c *memberConn) Opened() {}

// Panicked implements eventloop.Handler.
func (c *memberConn) Panicked(cause error) { c.stream.Close() }

// Closed implements eventloop.Handler.
func (c *memberConn) Closed(error) { c.member.conns-- }

// Input implements eventloop.Handler.
func (c *memberConn) Input(in []byte) int {
	m := c.member
	if !c.startupDone {
		_, size, err := pgwire.First(in)
		if err != nil {
			c.stream.Close()
			c.Closed(err)
		} else if size > 0 {
			c.startupDone = true
			c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		}
		return size
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 || kind != 'Q' {
		return size
	}
	g, text := m.testbed, string(body[:max(len(body)-1, 0)])
	counted := g.inWindow(g.loop.Now())
	if text == "" {
		if counted {
			g.probes++
		}
		c.respond(pgwire.AppendHead(nil, 'I', 0))
		return size
	}
	if counted {
		g.attempts++
		m.attempts++
		if strings.Contains(text, "c=own") {
			g.sessionReads++
			if m.index == 0 {
				g.primaryReads++
			}
		}
	}
	write := strings.Contains(text, "c=order")
	if g.serviceTime == 0 {
		c.answer(write)
	} else {
		g.loop.At(g.loop.Now()+g.serviceTime, func() { c.answer(write) })
	}
	return size
}

// answer answers one statement; a write at a primary within the measurement window becomes pending.
func (c *memberConn) answer(write bool) {
	m := c.member
	if g := m.testbed; write && m.index == 0 && g.inWindow(g.loop.Now()) {
		g.pendingWrites[m.group] = append(g.pendingWrites[m.group], pendingWrite{g.loop.Now(), 1<<membersPerGroup - 2})
	}
	c.respond(dataRow(strconv.FormatInt(int64(m.testbed.loop.Now()/time.Millisecond), 10))) // for a write, the client reads its commit position from the row
}

// respond sends an answer with the member's role, position and load, and records the writes whose pin ends with this report.
func (c *memberConn) respond(out []byte) {
	m, role, isPrimary := c.member, "follower", 0
	g, now := m.testbed, c.member.testbed.loop.Now()
	position := now - replicationDelay
	if m.index == 0 {
		role, isPrimary, position = "leader", 1, now
	}
	out = pgwire.AppendParameter(out, "node_role", role)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(position/time.Millisecond), 10))
	out = pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.20", position.Seconds(), isPrimary))
	c.stream.Send(pgwire.AppendReady(out))
	m.reportedAt = now
	g.pendingWrites[m.group] = slices.DeleteFunc(g.pendingWrites[m.group], func(w pendingWrite) bool { return now-w.committedAt >= pinLimit && g.recordPin(pinLimit) })
	if m.index == 0 {
		return
	}
	writes := g.pendingWrites[m.group]
	for i := range writes {
		if writes[i].committedAt <= position {
			writes[i].unconfirmed &^= 1 << m.index
		}
	}
	g.pendingWrites[m.group] = slices.DeleteFunc(writes, func(w pendingWrite) bool { return w.unconfirmed == 0 && g.recordPin(now-w.committedAt) })
}

// recordPin records how long a write pinned reads to the primary; it returns true for use in DeleteFunc.
func (g *testbed) recordPin(duration time.Duration) bool {
	g.pinDurations = append(g.pinDurations, duration)
	return true
}

// dataRow encodes a result of one row with one column.
func dataRow(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1, 0, 0, 0, byte(len(value)))
	out = append(out, value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

// discoveryConn is one connection to discovery; the list never changes.
type discoveryConn struct {
	testbed *testbed
	stream  *eventloop.Stream
}

// Opened implements eventloop.Handler.
func (a *discoveryConn) Opened() {}

// Panicked implements eventloop.Handler.
func (a *discoveryConn) Panicked(cause error) { a.stream.Close() }

// Closed implements eventloop.Handler.
func (a *discoveryConn) Closed(error) {}

// Input implements eventloop.Handler.
func (a *discoveryConn) Input(in []byte) int {
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 1000})
	if fault != nil {
		a.stream.Close()
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	l, holdMS := a.testbed.loop, 0
	if _, query, isWatch := strings.Cut(string(r.Target), "?"); !isWatch {
		a.respond(a.testbed.endpointListJSON())
	} else if _, wait, ok := strings.Cut(query, "hold_ms="); ok {
		holdMS, _ = strconv.Atoi(wait)
		l.At(l.Now()+time.Duration(holdMS)*time.Millisecond, func() { a.respond([]byte(`{"rev":1,"all":false,"targets":[]}`)) })
	}
	return r.Size
}

func (a *discoveryConn) respond(body []byte) {
	out := httpwire.AppendField(httpwire.AppendStatus(nil, 200), "Content-Type", "application/json")
	a.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
}

// clientLoad is all clients of one driver. Statements arrive at a rate that does not depend on answers (open loop), each from a
// randomly drawn client that awaits no answer. The driver closes client connections that have been idle for two seconds; such a
// client connects again for its next statement.
type clientLoad struct {
	loop                   *eventloop.Loop
	target                 netip.AddrPort
	random                 *pcg.Source
	rate                   float64
	groups                 int
	windowStart, windowEnd time.Duration // measurement window; no statement is sent after its end
	clients                []*loadClient
	openConnections        int // client connections
	nextArrival            time.Duration
	statements             int
	latencies              []time.Duration // of statements on open connections
	reconnectLatencies     []time.Duration // of statements that opened a connection
	succeeded, failed      int
	allBusy                int // statements not sent, as no drawn client was idle
	connects               int
}

func newClientLoad(target netip.AddrPort, seed uint64, clients, members int, rate float64) *clientLoad {
	c := &clientLoad{target: target, random: pcg.New(seed), groups: (members + membersPerGroup - 1) / membersPerGroup, rate: rate}
	for n := range clients {
		c.clients = append(c.clients, &loadClient{load: c, number: n})
	}
	return c
}

// check returns an error if no statement succeeded, failures exceed 1% of successes, or more than 1% of statements found no idle
// client: the results would not describe the intended load.
func (c *clientLoad) check() error {
	if c.rate > 0 && c.succeeded == 0 || c.failed > c.succeeded/100 || c.allBusy > c.statements/100 {
		return fmt.Errorf("client load not as intended: %d statements succeeded, %d failed, and %d of %d found no idle client", c.succeeded, c.failed, c.allBusy, c.statements)
	}
	return nil
}

// loadClient is one client, with a session of its own.
type loadClient struct {
	load        *clientLoad
	number      int
	stream      *eventloop.Stream // nil: not connected
	reconnected bool              // the connection was opened for the current statement
	awaiting    bool
	isWrite     bool
	gotRow      bool
	query       []byte
	sentAt      time.Duration
	lastCommit  time.Duration // commit position of its last write; 0: none
}

// start sends statements from now on, on the given loop.
func (c *clientLoad) start(l *eventloop.Loop) {
	if c.loop = l; c.rate > 0 {
		c.nextArrival = l.Now()
		l.At(c.nextArrival, c.nextStatement)
	}
}

const maxClientDraws = 8 // attempts to draw an idle client for a statement

// nextStatement sends a statement from an idle client and schedules the next one, with exponentially distributed intervals.
func (c *clientLoad) nextStatement() {
	if c.loop.Now() >= c.windowEnd {
		return
	}
	for n := 1; ; n++ {
		if client := c.clients[c.random.Below(len(c.clients))]; !client.awaiting {
			client.send()
			break
		} else if n == maxClientDraws {
			c.allBusy++
			break
		}
	}
	c.nextArrival -= time.Duration(math.Log(1-c.random.Float()) / c.rate * float64(time.Second))
	c.loop.At(c.nextArrival, c.nextStatement)
}

// inWindow reports whether the current time is within the measurement window.
func (c *clientLoad) inWindow() bool {
	return c.loop.Now() >= c.windowStart && c.loop.Now() < c.windowEnd
}

// send sends a statement of a randomly drawn method.
func (k *loadClient) send() {
	c := k.load
	c.statements++
	draw, method := c.random.Float(), ""
	for _, share := range methodShares {
		if method = share.method; draw < share.fraction {
			break
		}
		draw -= share.fraction
	}
	text := fmt.Sprintf("/* id=r%d,c=%s,d=2000,cluster=%d", c.statements, method, k.number%c.groups)
	switch {
	case method == "order":
		text += fmt.Sprintf(",k=t%d */ INSERT INTO items (id, doc) VALUES ('s%d', 'x') RETURNING doc", c.statements, k.number)
	case method == "own" && k.lastCommit > 0:
		text += fmt.Sprintf(",after=%d */ SELECT doc FROM items WHERE id = 's%d'", k.lastCommit/time.Millisecond, k.number)
	default:
		text += fmt.Sprintf(" */ SELECT doc FROM items WHERE id = 's%d'", k.number)
	}
	k.query = append(append(pgwire.AppendHead(k.query[:0], 'Q', len(text)+1), text...), 0)
	k.awaiting, k.gotRow, k.isWrite, k.reconnected, k.sentAt = true, false, method == "order", false, c.loop.Clock()
	if k.stream != nil && !k.stream.Alive() {
		k.stream.Close()
		k.forgetStream()
	}
	if k.stream == nil {
		k.connect()
	} else {
		k.stream.Send(k.query)
	}
}

// connect opens a connection for the current statement.
func (k *loadClient) connect() {
	c, err := k.load, error(nil)
	k.reconnected = true
	if k.stream, err = c.loop.Dial(c.target, k, pgwire.MaxMessageLength+1); err != nil {
		k.stream, k.awaiting = nil, false
		c.failed++
		return
	}
	if c.openConnections++; c.inWindow() {
		c.connects++
	}
	k.stream.Send(pgwire.AppendStartup(nil, "app", "shop"), k.query)
}

// forgetStream drops the closed connection.
func (k *loadClient) forgetStream() {
	if k.stream != nil {
		k.stream = nil
		k.load.openConnections--
	}
}

// Opened implements eventloop.Handler.
func (k *loadClient) Opened() {}

// Panicked implements eventloop.Handler.
func (k *loadClient) Panicked(cause error) { k.stream.Close() }

// Closed sends the current statement once more on a new connection if the driver closed an idle connection while the statement was
// being sent.
func (k *loadClient) Closed(error) {
	k.forgetStream()
	if k.awaiting && !k.reconnected && !k.gotRow {
		k.connect()
	} else if k.awaiting {
		k.awaiting = false
		k.load.failed++
	}
}

// Input implements eventloop.Handler.
func (k *loadClient) Input(in []byte) int {
	c := k.load
	kind, body, size, err := pgwire.Next(in)
	switch {
	case err != nil:
		k.stream.Close()
		k.Closed(err)
		return 0
	case size == 0:
	case kind == 'D':
		if k.gotRow = true; k.isWrite {
			millis, _ := strconv.ParseInt(string(body[min(6, len(body)):]), 10, 64)
			k.lastCommit = time.Duration(millis) * time.Millisecond
		}
	case kind == 'E':
		k.gotRow, k.awaiting = false, false
		c.failed++
	case kind == 'Z' && k.awaiting && k.gotRow: // the first ReadyForQuery, at the end of the handshake, comes without a row
		k.awaiting = false
		if now := c.loop.Clock(); c.inWindow() {
			c.succeeded++
			if k.reconnected {
				c.reconnectLatencies = append(c.reconnectLatencies, now-k.sentAt)
			} else {
				c.latencies = append(c.latencies, now-k.sentAt)
			}
		}
	}
	return size
}

// durationQuantile sorts times and returns a quantile: 0.5 is the median, 1 the longest.
func durationQuantile(times []time.Duration, fraction float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(fraction*float64(len(times))), len(times)-1)]
}
