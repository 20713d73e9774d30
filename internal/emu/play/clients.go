package play

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"passtack/internal/emu"
	"passtack/internal/eventloop"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
)

// Clients are all clients, on one loop. RPCs come at the script's rate, whether or not earlier ones are answered.
type Clients struct {
	loop     *eventloop.Loop
	script   *Script
	record   *emu.Record
	chance   *pcg.Source
	drivers  []netip.AddrPort
	idle     [][]*line // by driver
	sessions []time.Duration
	from     time.Duration
	due      time.Duration // of the next
	next     int
	total    float64
	Asked    int // first tries
	Served   int // of them, in the end
	Worth    float64
	Took     []time.Duration // of RPCs that were ok, from the first try on
	Got      float64         // utility answered within the soft deadline, and what late answers bring
	Flow     Flow
	ledger   *emu.Ledger
	writes   []try  // that have ended
	home     []int  // the driver of each session
	up       []bool // whom clients are dealt to, as far as who deals them out knows
	alive    []int  // those
}

// wish is one RPC over all its tries.
type wish struct {
	method  *Method
	home    int // the driver that it went to first
	session int
	token   string
	began   time.Duration
	tries   int
	mayRun  bool // an earlier try may have run
}

// rest is how much of its time an RPC has left for a try at that time. What may have run is asked for again only while its group surely knows the
// token, with time for what is on its way.
func (w *wish) rest(at time.Duration) time.Duration {
	if w.mayRun && w.method.Effect == emu.Tokened {
		return min(w.method.Limit, w.began+w.method.Window-onItsWay-at)
	}
	return w.method.Limit
}

// line is one connection to a driver.
type line struct {
	clients *Clients
	to      int
	stream  *eventloop.Stream
	wish    *wish
	id      string
	due     eventloop.Timer
	until   time.Duration
	heard   string
	back    time.Duration
	commit  time.Duration
	closed  bool
	let     bool // the driver has let it in
	asked   int  // RPCs on this connection
	text    []byte
	again   bool // what it asks was asked before on one that ended
}

const (
	onItsWay = 150 * time.Millisecond // that an attempt may arrive after the time in which it was sent
	least    = 100 * time.Millisecond // a client does not ask with less time
	late     = 20 * time.Millisecond  // that a client waits for an answer beyond its time
)

// NewClients lets clients ask from now on.
func NewClients(l *eventloop.Loop, s *Script, r *emu.Record, ledger *emu.Ledger, seed uint64, drivers []netip.AddrPort) *Clients {
	c := &Clients{loop: l, script: s, record: r, chance: pcg.New(seed), drivers: drivers, idle: make([][]*line, len(drivers)),
		sessions: make([]time.Duration, s.Sessions), from: l.Now(), due: l.Now(), ledger: ledger, Flow: newFlow(len(drivers)),
		home: make([]int, s.Sessions), up: make([]bool, len(drivers))}
	for n := range c.home {
		c.home[n] = n % len(drivers)
	}
	for n := range c.up {
		c.mark(n, true)
	}
	for _, m := range s.Methods {
		c.total += m.Share
	}
	l.Defer(c.arrive)
	return c
}

func (c *Clients) rate() float64 {
	rate, at := c.script.Rate, c.loop.Now()-c.from
	for _, s := range c.script.Surges {
		if at >= s.From && at < s.To {
			rate *= s.Times
		}
	}
	return rate
}

func (c *Clients) arrive() {
	if c.loop.Now()-c.from >= c.script.Lasts {
		return
	}
	dice := c.chance.Float() * c.total
	w := &wish{session: c.chance.Below(len(c.sessions)), began: c.loop.Now()}
	for _, m := range c.script.Methods {
		if w.method = m; dice < m.Share {
			break
		}
		dice -= m.Share
	}
	c.Asked++
	c.Worth += w.method.Utility
	w.home = c.driverOf(w.session)
	c.Flow.asked(w.began-c.from, w.home, w.method.Utility)
	c.ledger.Add(emu.Worth, Driver(w.home), w.began, w.method.Utility)
	c.ask(w)
	c.due -= time.Duration(logOf(1-c.chance.Float()) / c.rate() * float64(time.Second))
	c.loop.At(c.due, c.arrive) // a loop that wakes late catches up
}

// driverOf tells where a session's RPCs go now: to its own driver. Those of one that is known to be dead are shared out evenly.
func (c *Clients) driverOf(session int) int {
	home := c.home[session]
	if c.up[home] || len(c.alive) == 0 {
		return home
	}
	return c.alive[(home+session/len(c.up))%len(c.alive)]
}

// mark notes whether clients are dealt to a driver.
func (c *Clients) mark(n int, up bool) {
	c.up[n] = up
	c.alive = c.alive[:0]
	for d, is := range c.up {
		if is {
			c.alive = append(c.alive, d)
		}
	}
}

// Died tells who deals clients out that a driver has died; they notice later. Then they ask whether it is back.
func (c *Clients) Died(n int) {
	if c.script.Route != "spread" {
		return
	}
	c.loop.At(c.loop.Now()+c.script.Notice, func() {
		c.mark(n, false)
		c.knock(n)
	})
}

// knocking is how often who deals clients out asks a driver that was dead whether it is back.
const knocking = 100 * time.Millisecond

// knock asks a driver an empty query, which it answers once it serves.
func (c *Clients) knock(n int) {
	k := &knock{clients: c, driver: n}
	var err error
	if k.stream, err = c.loop.Dial(c.drivers[n], k, pgwire.MaxMessageLength+1); err != nil {
		c.loop.At(c.loop.Now()+knocking, func() { c.knock(n) })
		return
	}
	k.stream.Send(pgwire.AppendStartup(nil, "app", "shop"), append(pgwire.AppendHead(nil, 'Q', 1), 0))
	k.due = c.loop.At(c.loop.Now()+10*knocking, func() {
		k.stream.Close()
		k.Closed(nil)
	})
}

// knock is a connection on which a driver is asked whether it is back.
type knock struct {
	clients *Clients
	driver  int
	stream  *eventloop.Stream
	due     eventloop.Timer
}

// Opened implements eventloop.Handler.
func (k *knock) Opened() {}

// Panicked implements eventloop.Handler.
func (k *knock) Panicked(cause error) { k.stream.Close() }

// Closed implements eventloop.Handler.
func (k *knock) Closed(error) {
	c := k.clients
	c.loop.Cancel(k.due)
	c.loop.At(c.loop.Now()+knocking, func() { c.knock(k.driver) })
}

// Input implements eventloop.Handler.
func (k *knock) Input(in []byte) int {
	kind, _, size, err := pgwire.Next(in)
	if err != nil || kind == 'I' && size > 0 {
		k.stream.Close()
		if k.clients.loop.Cancel(k.due); err != nil {
			k.Closed(err)
		} else {
			k.clients.mark(k.driver, true)
		}
		return 0
	}
	return size
}

// ask sends a try to the driver of its session.
func (c *Clients) ask(w *wish) {
	to := c.driverOf(w.session)
	var l *line
	for n := len(c.idle[to]); n > 0 && l == nil; n = len(c.idle[to]) {
		l = c.idle[to][n-1]
		if c.idle[to] = c.idle[to][:n-1]; l.closed || !l.stream.Alive() {
			l = nil
		}
	}
	if l == nil {
		if l = c.dial(to); l == nil {
			return
		}
	}
	l.ask(w)
}

func (c *Clients) dial(to int) *line {
	l := &line{clients: c, to: to}
	var err error
	if l.stream, err = c.loop.Dial(c.drivers[to], l, pgwire.MaxMessageLength+1); err != nil {
		return nil
	}
	l.stream.Send(pgwire.AppendStartup(nil, "app", "shop"))
	return l
}

func (l *line) ask(w *wish) {
	c := l.clients
	now, m := c.loop.Now(), w.method
	c.next++
	w.tries++
	l.wish, l.id, l.heard, l.back, l.commit = w, fmt.Sprintf("r%d", c.next), "", 0, 0
	l.again = false
	if m.Effect == emu.Tokened && w.token == "" {
		w.token = "t" + l.id
	}
	key := fmt.Sprintf("s%d", w.session)
	limit := w.rest(now).Truncate(time.Millisecond)
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d", l.id, m.Name, limit/time.Millisecond)
	if w.token != "" {
		text += ",k=" + w.token
	}
	text += fmt.Sprintf(",cluster=%d", w.session%c.script.Groups)
	if w.tries > 1 {
		text += ",r=1"
	}
	if at := c.sessions[w.session]; m.Need == "session" && at > 0 {
		text += ",after=" + strconv.FormatInt(int64(at/time.Millisecond), 10)
	}
	text += " */ SELECT doc FROM items WHERE id = '" + key + "'"
	if m.Need == "write" {
		text = text[:len(text)-len("SELECT doc FROM items WHERE id = '"+key+"'")] + "INSERT INTO items (id, doc) VALUES ('" + key + "', 'x') RETURNING doc"
	}
	c.record.Asked(l.id, w.token, fmt.Sprint("d", l.to), m.Effect, now, now+limit)
	l.text = append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
	l.send(now + limit + late)
}

func (l *line) send(until time.Duration) {
	l.asked++
	l.stream.Send(l.text)
	l.until = until
	l.due = l.clients.loop.At(until, func() {
		l.stream.Close()
		l.closed = true
		l.lost(false)
	})
}

// onceMore sends what crossed the end of a connection that had rested on a new one: the driver may not have read it. It may have, too, so that this is
// not for what must not run twice.
func (l *line) onceMore() bool {
	if l.wish == nil || l.asked < 2 || l.again || l.heard != "" || l.wish.method.Effect == emu.NonIdempotent {
		return false
	}
	c := l.clients
	n := c.dial(l.to)
	if n == nil {
		return false
	}
	c.loop.Cancel(l.due)
	l.wish.mayRun = true
	n.wish, n.id, n.text, n.again = l.wish, l.id, l.text, true
	l.wish = nil
	n.send(l.until)
	return true
}

// done ends a try; the client may ask again.
func (l *line) done(answer string) {
	c, w := l.clients, l.wish
	if w == nil {
		return
	}
	l.wish = nil
	c.loop.Cancel(l.due)
	now := c.loop.Now()
	c.record.Heard(l.id, answer, now)
	l.tried(w)
	if answer == emu.OK {
		c.Served++
		c.Took = append(c.Took, now-w.began)
		if w.method.Need == "write" && l.commit > 0 {
			c.sessions[w.session] = max(c.sessions[w.session], l.commit)
		}
		got := w.method.Utility
		if now-w.began > w.method.Soft {
			got *= w.method.Late
		}
		c.Got += got
		c.Flow.got(w.began-c.from, w.home, got)
		c.ledger.Add(emu.Got, Driver(w.home), w.began, got)
		return
	}
	switch answer {
	case emu.PushedBack:
		c.ledger.Add(emu.PushedOff, Driver(l.to), now, 1)
	case emu.Nothing, emu.NotTaken:
		c.ledger.Add(emu.Lost, Driver(l.to), now, 1)
		if c.script.Route == "stay" && c.home[w.session] == l.to { // it looks for another driver, and stays there
			c.home[w.session] = (l.to + 1 + c.chance.Below(max(len(c.drivers)-1, 1))) % len(c.drivers)
		}
	}
	w.mayRun = w.mayRun || answer != emu.PushedBack && l.let
	if w.tries > c.script.Retries || w.mayRun && w.method.Effect == emu.NonIdempotent {
		return
	}
	wait := 100*time.Millisecond + time.Duration(c.chance.Below(200))*time.Millisecond
	if c.script.Obeys {
		wait = max(wait, l.back)
	}
	c.loop.At(now+wait, func() {
		if w.rest(c.loop.Now()) >= least {
			c.ask(w)
		}
	})
}

// Opened implements eventloop.Handler.
func (l *line) Opened() {}

// Panicked implements eventloop.Handler.
func (l *line) Panicked(cause error) { l.stream.Close() }

// Closed implements eventloop.Handler.
func (l *line) Closed(error) {
	l.closed = true
	if l.onceMore() {
		return
	}
	l.lost(true)
}

// lost ends a try without an answer. The first one on a connection that the driver closes is not taken for one that it has to answer, though it may have run.
func (l *line) lost(shut bool) {
	if l.let && !(shut && l.asked == 1) {
		l.done(emu.Nothing)
	} else {
		l.done(emu.NotTaken)
	}
}

// Input implements eventloop.Handler.
func (l *line) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		l.stream.Close()
		l.Closed(err)
		return 0
	}
	switch {
	case size == 0:
		return 0
	case kind == 'R':
		l.let = true
	case kind == 'S':
		if name, value, ok := pgwire.Parameter(body); ok && string(name) == "replay_position" {
			millis, _ := strconv.ParseInt(string(value), 10, 64)
			l.commit = time.Duration(millis) * time.Millisecond
		}
	case kind == 'D':
		l.heard = emu.OK
	case kind == 'E':
		l.heard = emu.Aborted
		pgwire.Fields(body, func(code byte, value []byte) {
			if code == 'C' && (string(value) == "53300" || string(value) == "57P03") {
				l.heard = emu.PushedBack
			} else if code == 'D' {
				millis, _ := strconv.Atoi(string(value))
				l.back = time.Duration(millis) * time.Millisecond
			}
		})
	case kind == 'Z' && l.heard != "":
		heard := l.heard
		l.heard = ""
		l.done(heard)
		l.clients.idle[l.to] = append(l.clients.idle[l.to], l)
	}
	return size
}
