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

	"passtack/internal/httpwire"
	"passtack/internal/loop"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

const (
	perGroup   = 5 // members: a primary and four replicas
	applied    = 20 * time.Millisecond
	pinLimit   = 10 * time.Second // as the design has it
	bootedLong = 0                // boot_ms of members that have been up for long
)

// siteSettings are those of a driver that is measured: three methods, in the parts that rehearsals ask for.
const siteSettings = `{"areas":["a"],"balancers":%d,"tick_us":5000,"locality":0,"registry_mode":"automatic","position":0,
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"may_probe":%t,"most_tries":8},
"classes":[
{"name":"look","effect":"safe","group":"all","hard_limit_us":%d,"late_worth":0.2,"points":3,"target_us":%d},
{"name":"own","effect":"safe","group":"all","hard_limit_us":2000000,"late_worth":0,"points":1,"target_us":800000},
{"name":"order","effect":"keyed","group":"cell","hard_limit_us":2000000,"late_worth":0.5,"points":6,"target_us":600000,"window_us":1200000}],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update"],
"lag_allowed_us":[800000,0,0],"write_marks":"client","role_listed":"off"},
"report":{"columns":["x0","x1","load_share"],"how":"inline"},
"rules":{"cold_us":16000000,"drain_grace_us":250000,"fall_multiple":4,"start_capacity":0.25,"tip_after_us":1000000}}`

var shares = [...]struct {
	method string
	part   float64
}{{"look", 0.51}, {"own", 0.16}, {"order", 0.33}}

// settingsText has the settings of one of so many drivers. Soft is how long its first method may take.
func settingsText(drivers int, probes bool, soft time.Duration) string {
	return fmt.Sprintf(siteSettings, drivers, probes, 5*soft/2/time.Microsecond, soft/time.Microsecond)
}

func settingsTerms(drivers int, probes bool, soft time.Duration) map[string]string {
	decoder := json.NewDecoder(strings.NewReader(settingsText(drivers, probes, soft)))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		panic(err)
	}
	return settings.Flatten(object)
}

// ground is what a measured driver stands on: members and discovery on one loop, clients on another, real or simulated.
// Members answer after a fixed time and are never jammed: what other drivers send them is left out.
type ground struct {
	work     time.Duration // of a member for each statement, 0: it answers at once
	from, to time.Duration // what is counted lies between, by the loops' clocks

	loop     *loop.Loop // of members and discovery
	members  []*standIn
	open     [][]pinned // writes that not every replica is known to have applied, by group
	connects int        // handshakes
	attempts int
	probes   int
	owns     int // reads that must see their session's writes
	pinnedTo int // of them, those that the primary answered
	pins     []time.Duration
	ages     []time.Duration // of the position last told of each replica, looked at once a second
	mostOpen int
}

// standIn is one member.
type standIn struct {
	ground       *ground
	at           netip.AddrPort
	group, place int // the first of each group is primary
	conns        int
	told         time.Duration // when it last told its position
	attempts     int
}

// pinned is a write, and which replicas of its group have not told the driver that they are past it.
type pinned struct {
	commit time.Duration
	waits  uint
}

// served is one connection to a member.
type served struct {
	member *standIn
	stream *loop.Stream
	begun  bool
}

// stand lets so many members listen, and discovery.
func (g *ground) stand(l *loop.Loop, members int, place func(n int) netip.AddrPort, discovery netip.AddrPort) error {
	g.loop = l
	g.open = make([][]pinned, (members+perGroup-1)/perGroup)
	for n := range members {
		m := &standIn{ground: g, at: place(n), group: n / perGroup, place: n % perGroup, told: -1}
		g.members = append(g.members, m)
		if _, err := l.Listen(m.at, pgwire.MaxMessageLength+1, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
			c := &served{member: m}
			if c.stream = open(c); c.stream == nil {
				return
			}
			m.conns++
			if now := l.Now(); g.counts(now) {
				g.connects++
			}
			g.mostOpen = max(g.mostOpen, m.conns)
		}, func(bool) {}); err != nil {
			return fmt.Errorf("member %d: %w", n, err)
		}
	}
	_, err := l.Listen(discovery, 1<<16, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
		c := &asked{ground: g}
		c.stream = open(c)
	}, func(bool) {})
	l.At(l.Now()+time.Second, g.look)
	return err
}

func (g *ground) counts(now time.Duration) bool { return now >= g.from && now < g.to }

// look notes once a second how old the positions are that the driver was told last.
func (g *ground) look() {
	now := g.loop.Now()
	g.loop.At(now+time.Second, g.look)
	if !g.counts(now) {
		return
	}
	for _, m := range g.members {
		if m.place > 0 && m.told >= 0 {
			g.ages = append(g.ages, now-m.told+applied)
		}
	}
}

// Held counts the connections that members hold now.
func (g *ground) held() (held int) {
	for _, m := range g.members {
		held += m.conns
	}
	return held
}

// listText is the list as discovery tells it.
func (g *ground) listText() []byte {
	return listText(len(g.members), 0, len(g.members), func(n int) netip.AddrPort { return g.members[n].at })
}

// listText has the entries from one on to another of so many members; it is whole if these are all.
func listText(members, from, to int, place func(n int) netip.AddrPort) []byte {
	return listIn(perGroup, members, from, to, place)
}

// listIn is listText for groups of so many members.
func listIn(each, members, from, to int, place func(n int) netip.AddrPort) []byte {
	out := fmt.Appendf(nil, `{"rev":1,"all":%t,"targets":[`, to-from == members)
	for n := from; n < to; n++ {
		if n > from {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, `{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":%d,"state":"in_service","capacity_hint":1,"boot_ms":%d}`,
			n, place(n), n/each, bootedLong)
	}
	return append(out, "]}"...)
}

// Opened implements loop.Handler.
func (c *served) Opened() {}

// Panicked implements loop.Handler.
func (c *served) Panicked(cause error) { c.stream.Close() }

// Closed implements loop.Handler.
func (c *served) Closed(error) { c.member.conns-- }

// Input implements loop.Handler.
func (c *served) Input(in []byte) int {
	m := c.member
	if !c.begun {
		_, size, err := pgwire.First(in)
		if err != nil {
			c.stream.Close()
			c.Closed(err)
		} else if size > 0 {
			c.begun = true
			c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		}
		return size
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 || kind != 'Q' {
		return size
	}
	g, text := m.ground, string(body[:max(len(body)-1, 0)])
	counted := g.counts(g.loop.Now())
	if text == "" {
		if counted {
			g.probes++
		}
		c.say(pgwire.AppendHead(nil, 'I', 0))
		return size
	}
	if counted {
		g.attempts++
		m.attempts++
		if strings.Contains(text, "c=own") {
			g.owns++
			if m.place == 0 {
				g.pinnedTo++
			}
		}
	}
	write := strings.Contains(text, "c=order")
	if g.work == 0 {
		c.answer(write)
	} else {
		g.loop.At(g.loop.Now()+g.work, func() { c.answer(write) })
	}
	return size
}

func (c *served) answer(write bool) {
	m := c.member
	if g := m.ground; write && m.place == 0 && g.counts(g.loop.Now()) {
		g.open[m.group] = append(g.open[m.group], pinned{g.loop.Now(), 1<<perGroup - 2})
	}
	c.say(row(strconv.FormatInt(int64(m.ground.loop.Now()/time.Millisecond), 10))) // of a write its commit
}

// say answers, with what the member tells of itself; that ends pins.
func (c *served) say(out []byte) {
	m, role, leads := c.member, "follower", 0
	g, now := m.ground, c.member.ground.loop.Now()
	pos := now - applied
	if m.place == 0 {
		role, leads, pos = "leader", 1, now
	}
	out = pgwire.AppendParameter(out, "node_role", role)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(pos/time.Millisecond), 10))
	out = pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.20", pos.Seconds(), leads))
	c.stream.Send(pgwire.AppendReady(out))
	m.told = now
	g.open[m.group] = slices.DeleteFunc(g.open[m.group], func(w pinned) bool { return now-w.commit >= pinLimit && g.ends(pinLimit) })
	if m.place == 0 {
		return
	}
	writes := g.open[m.group]
	for i := range writes {
		if writes[i].commit <= pos {
			writes[i].waits &^= 1 << m.place
		}
	}
	g.open[m.group] = slices.DeleteFunc(writes, func(w pinned) bool { return w.waits == 0 && g.ends(now-w.commit) })
}

func (g *ground) ends(lasted time.Duration) bool {
	g.pins = append(g.pins, lasted)
	return true
}

// row is one row of one column.
func row(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1, 0, 0, 0, byte(len(value)))
	out = append(out, value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

// asked is one connection to discovery, which has no changes to tell.
type asked struct {
	ground *ground
	stream *loop.Stream
}

// Opened implements loop.Handler.
func (a *asked) Opened() {}

// Panicked implements loop.Handler.
func (a *asked) Panicked(cause error) { a.stream.Close() }

// Closed implements loop.Handler.
func (a *asked) Closed(error) {}

// Input implements loop.Handler.
func (a *asked) Input(in []byte) int {
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 1000})
	if fault != nil {
		a.stream.Close()
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	l, hold := a.ground.loop, 0
	if _, query, watches := strings.Cut(string(r.Target), "?"); !watches {
		a.say(a.ground.listText())
	} else if _, wait, ok := strings.Cut(query, "hold_ms="); ok {
		hold, _ = strconv.Atoi(wait)
		l.At(l.Now()+time.Duration(hold)*time.Millisecond, func() { a.say([]byte(`{"rev":1,"all":false,"targets":[]}`)) })
	}
	return r.Size
}

func (a *asked) say(body []byte) {
	out := httpwire.AppendField(httpwire.AppendStatus(nil, 200), "Content-Type", "application/json")
	a.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
}

// crowd is all clients of one driver. Statements come at a rate whether or not earlier ones are answered, each from a client
// that waits for nothing, drawn anew. A driver ends what has rested for two seconds: such a client connects again.
type crowd struct {
	loop        *loop.Loop
	to          netip.AddrPort
	chance      *pcg.Source
	rate        float64
	groups      int
	from, until time.Duration // what is counted lies between
	callers     []*caller
	open        int // connections
	due         time.Duration
	number      int
	took        []time.Duration // by statements on connections that were there
	tookAnew    []time.Duration // by those for which one was opened
	ok, bad     int
	crowded     int // statements that found no client that waits for nothing
	connects    int
}

func newCrowd(to netip.AddrPort, seed uint64, clients, members int, rate float64) *crowd {
	c := &crowd{to: to, chance: pcg.New(seed), groups: (members + perGroup - 1) / perGroup, rate: rate}
	for n := range clients {
		c.callers = append(c.callers, &caller{crowd: c, number: n})
	}
	return c
}

// sound tells what went wrong with the load itself, if anything.
func (c *crowd) sound() error {
	if c.rate > 0 && c.ok == 0 || c.bad > c.ok/100 || c.crowded > c.number/100 {
		return fmt.Errorf("%d statements were ok, %d not, and %d of %d found no client at rest", c.ok, c.bad, c.crowded, c.number)
	}
	return nil
}

// caller is one client, and a session of its own.
type caller struct {
	crowd  *crowd
	number int
	stream *loop.Stream // nil: it is not connected
	anew   bool         // the connection was opened for what it asks
	asks   bool
	writes bool
	good   bool
	text   []byte
	sent   time.Duration
	commit time.Duration // of its latest write, 0: it has written nothing
}

// begin asks from now on, on a loop.
func (c *crowd) begin(l *loop.Loop) {
	if c.loop = l; c.rate > 0 {
		c.due = l.Now()
		l.At(c.due, c.arrive)
	}
}

const draws = 8

func (c *crowd) arrive() {
	if c.loop.Now() >= c.until {
		return
	}
	for n := 1; ; n++ {
		if k := c.callers[c.chance.Below(len(c.callers))]; !k.asks {
			k.ask()
			break
		} else if n == draws {
			c.crowded++
			break
		}
	}
	c.due -= time.Duration(math.Log(1-c.chance.Float()) / c.rate * float64(time.Second))
	c.loop.At(c.due, c.arrive)
}

func (c *crowd) counts() bool { return c.loop.Now() >= c.from && c.loop.Now() < c.until }

func (k *caller) ask() {
	c := k.crowd
	c.number++
	dice, method := c.chance.Float(), ""
	for _, s := range shares {
		if method = s.method; dice < s.part {
			break
		}
		dice -= s.part
	}
	text := fmt.Sprintf("/* id=r%d,c=%s,d=2000,cluster=%d", c.number, method, k.number%c.groups)
	switch {
	case method == "order":
		text += fmt.Sprintf(",k=t%d */ INSERT INTO items (id, doc) VALUES ('s%d', 'x') RETURNING doc", c.number, k.number)
	case method == "own" && k.commit > 0:
		text += fmt.Sprintf(",after=%d */ SELECT doc FROM items WHERE id = 's%d'", k.commit/time.Millisecond, k.number)
	default:
		text += fmt.Sprintf(" */ SELECT doc FROM items WHERE id = 's%d'", k.number)
	}
	k.text = append(append(pgwire.AppendHead(k.text[:0], 'Q', len(text)+1), text...), 0)
	k.asks, k.good, k.writes, k.anew, k.sent = true, false, method == "order", false, c.loop.Clock()
	if k.stream != nil && !k.stream.Alive() {
		k.stream.Close()
		k.left()
	}
	if k.stream == nil {
		k.connect()
	} else {
		k.stream.Send(k.text)
	}
}

// connect opens a connection for what it asks.
func (k *caller) connect() {
	c, err := k.crowd, error(nil)
	k.anew = true
	if k.stream, err = c.loop.Dial(c.to, k, pgwire.MaxMessageLength+1); err != nil {
		k.stream, k.asks = nil, false
		c.bad++
		return
	}
	if c.open++; c.counts() {
		c.connects++
	}
	k.stream.Send(pgwire.AppendStartup(nil, "app", "shop"), k.text)
}

func (k *caller) left() {
	if k.stream != nil {
		k.stream = nil
		k.crowd.open--
	}
}

// Opened implements loop.Handler.
func (k *caller) Opened() {}

// Panicked implements loop.Handler.
func (k *caller) Panicked(cause error) { k.stream.Close() }

// Closed asks once more on a new connection what crossed the end of one that had rested.
func (k *caller) Closed(error) {
	k.left()
	if k.asks && !k.anew && !k.good {
		k.connect()
	} else if k.asks {
		k.asks = false
		k.crowd.bad++
	}
}

// Input implements loop.Handler.
func (k *caller) Input(in []byte) int {
	c := k.crowd
	kind, body, size, err := pgwire.Next(in)
	switch {
	case err != nil:
		k.stream.Close()
		k.Closed(err)
		return 0
	case size == 0:
	case kind == 'D':
		if k.good = true; k.writes {
			millis, _ := strconv.ParseInt(string(body[min(6, len(body)):]), 10, 64)
			k.commit = time.Duration(millis) * time.Millisecond
		}
	case kind == 'E':
		k.good, k.asks = false, false
		c.bad++
	case kind == 'Z' && k.asks && k.good: // the first one lets it in
		k.asks = false
		if now := c.loop.Clock(); c.counts() {
			c.ok++
			if k.anew {
				c.tookAnew = append(c.tookAnew, now-k.sent)
			} else {
				c.took = append(c.took, now-k.sent)
			}
		}
	}
	return size
}

// at gives a part of some times, in order: 0.5 the median, 1 the worst.
func at(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(part*float64(len(times))), len(times)-1)]
}
