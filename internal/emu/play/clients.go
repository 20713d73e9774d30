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

// Clients are all clients, on one loop. RPCs arrive at the script's rate, whether or not earlier ones are answered.
type Clients struct {
	loop             *eventloop.Loop
	script           *Script
	record           *emu.Record
	rng              *pcg.Source
	drivers          []netip.AddrPort
	idle             [][]*clientConn // by driver
	sessionPositions []time.Duration
	startedAt        time.Duration
	nextArrival      time.Duration
	lastID           int
	shareSum         float64
	Asked            int // RPCs begun
	Served           int // RPCs that ended with ok
	RequestedUtility float64
	Latencies        []time.Duration // of RPCs that were ok, from the first try on
	ServedUtility    float64         // full within the soft deadline, reduced for later answers
	UtilitySeries    UtilitySeries
	ledger           *emu.Ledger
	writes           []writeTry // that have ended
	sessionDriver    []int      // by session
	up               []bool     // by driver: whether the balancer sends clients to it
	upDrivers        []int      // those that are up, in rising order
}

// clientRPC is one RPC over all its tries.
type clientRPC struct {
	method      *Method
	firstDriver int // to which the first try was sent
	session     int
	token       string
	began       time.Duration
	tries       int
	mayRun      bool // an earlier try may have run
}

// timeLeft returns the time limit of a try that starts at the given time. A tokened RPC that may have run is retried
// only while its group still holds the token, less an allowance for data in transit.
func (r *clientRPC) timeLeft(at time.Duration) time.Duration {
	if r.mayRun && r.method.Effect == emu.Tokened {
		return min(r.method.Limit, r.began+r.method.Window-transitAllowance-at)
	}
	return r.method.Limit
}

// clientConn is one connection to a driver.
type clientConn struct {
	clients    *Clients
	driver     int
	stream     *eventloop.Stream
	rpc        *clientRPC
	id         string
	timer      eventloop.Timer
	giveUpAt   time.Duration
	answer     string
	retryAfter time.Duration
	position   time.Duration
	closed     bool
	admitted   bool // the driver has completed the handshake
	requests   int  // RPCs sent on this connection
	message    []byte
	resent     bool // the current RPC was sent before, on a connection that has ended
}

const (
	transitAllowance = 150 * time.Millisecond // an attempt may arrive this much after the time limit under which it was sent
	minTryTime       = 100 * time.Millisecond // a client does not start a try with less time
	answerAllowance  = 20 * time.Millisecond  // a client waits this much longer than the time limit for an answer
)

// NewClients starts the clients.
func NewClients(l *eventloop.Loop, s *Script, r *emu.Record, ledger *emu.Ledger, seed uint64, drivers []netip.AddrPort) *Clients {
	c := &Clients{loop: l, script: s, record: r, rng: pcg.New(seed), drivers: drivers, idle: make([][]*clientConn, len(drivers)),
		sessionPositions: make([]time.Duration, s.Sessions), startedAt: l.Now(), nextArrival: l.Now(), ledger: ledger, UtilitySeries: newUtilitySeries(len(drivers)),
		sessionDriver: make([]int, s.Sessions), up: make([]bool, len(drivers))}
	for n := range c.sessionDriver {
		c.sessionDriver[n] = n % len(drivers)
	}
	for n := range c.up {
		c.setUp(n, true)
	}
	for _, m := range s.Methods {
		c.shareSum += m.Share
	}
	l.Defer(c.arrive)
	return c
}

func (c *Clients) rate() float64 {
	rate, at := c.script.Rate, c.loop.Now()-c.startedAt
	for _, s := range c.script.LoadChanges {
		if at >= s.From && at < s.To {
			rate *= s.Times
		}
	}
	return rate
}

func (c *Clients) arrive() {
	if c.loop.Now()-c.startedAt >= c.script.Duration {
		return
	}
	dice := c.rng.Float() * c.shareSum
	r := &clientRPC{session: c.rng.Below(len(c.sessionPositions)), began: c.loop.Now()}
	for _, m := range c.script.Methods {
		if r.method = m; dice < m.Share {
			break
		}
		dice -= m.Share
	}
	c.Asked++
	c.RequestedUtility += r.method.Utility
	r.firstDriver = c.driverOf(r.session)
	c.UtilitySeries.asked(r.began-c.startedAt, r.firstDriver, r.method.Utility)
	c.ledger.Add(emu.RequestedUtility, Driver(r.firstDriver), r.began, r.method.Utility)
	c.sendTry(r)
	c.nextArrival -= time.Duration(logOf(1-c.rng.Float()) / c.rate() * float64(time.Second))
	c.loop.At(c.nextArrival, c.arrive) // next arrival time is absolute, so a loop that wakes late catches up
}

// driverOf returns the driver to which a session's RPCs are sent now: its own one, or while that is known to be dead
// another, so that the load of dead drivers is spread evenly.
func (c *Clients) driverOf(session int) int {
	home := c.sessionDriver[session]
	if c.up[home] || len(c.upDrivers) == 0 {
		return home
	}
	return c.upDrivers[(home+session/len(c.up))%len(c.upDrivers)]
}

// setUp records whether the balancer sends clients to a driver.
func (c *Clients) setUp(n int, up bool) {
	c.up[n] = up
	c.upDrivers = c.upDrivers[:0]
	for d, is := range c.up {
		if is {
			c.upDrivers = append(c.upDrivers, d)
		}
	}
}

// DriverDied tells the balancer of a driver's death. It reacts after the script's detection time, and then probes the
// driver until it serves again.
func (c *Clients) DriverDied(n int) {
	if c.script.Route != "spread" {
		return
	}
	c.loop.At(c.loop.Now()+c.script.BalancerDetection, func() {
		c.setUp(n, false)
		c.probe(n)
	})
}

// probeInterval is how often the balancer probes a dead driver.
const probeInterval = 100 * time.Millisecond

// probe sends an empty query to a driver, which answers it once it serves.
func (c *Clients) probe(n int) {
	p := &probe{clients: c, driver: n}
	var err error
	if p.stream, err = c.loop.Dial(c.drivers[n], p, pgwire.MaxMessageLength+1); err != nil {
		c.loop.At(c.loop.Now()+probeInterval, func() { c.probe(n) })
		return
	}
	p.stream.Send(pgwire.AppendStartup(nil, "app", "shop"), append(pgwire.AppendHead(nil, 'Q', 1), 0))
	p.timer = c.loop.At(c.loop.Now()+10*probeInterval, func() {
		p.stream.Close()
		p.Closed(nil)
	})
}

// probe is a connection on which a driver is probed.
type probe struct {
	clients *Clients
	driver  int
	stream  *eventloop.Stream
	timer   eventloop.Timer
}

// Opened implements eventloop.Handler.
func (p *probe) Opened() {}

// Panicked implements eventloop.Handler.
func (p *probe) Panicked(cause error) { p.stream.Close() }

// Closed implements eventloop.Handler.
func (p *probe) Closed(error) {
	c := p.clients
	c.loop.Cancel(p.timer)
	c.loop.At(c.loop.Now()+probeInterval, func() { c.probe(p.driver) })
}

// Input implements eventloop.Handler.
func (p *probe) Input(in []byte) int {
	kind, _, size, err := pgwire.Next(in)
	if err != nil || kind == 'I' && size > 0 {
		p.stream.Close()
		if p.clients.loop.Cancel(p.timer); err != nil {
			p.Closed(err)
		} else {
			p.clients.setUp(p.driver, true)
		}
		return 0
	}
	return size
}

// sendTry sends a try to the driver of its session.
func (c *Clients) sendTry(r *clientRPC) {
	to := c.driverOf(r.session)
	var conn *clientConn
	for n := len(c.idle[to]); n > 0 && conn == nil; n = len(c.idle[to]) {
		conn = c.idle[to][n-1]
		if c.idle[to] = c.idle[to][:n-1]; conn.closed || !conn.stream.Alive() {
			conn = nil
		}
	}
	if conn == nil {
		if conn = c.dial(to); conn == nil {
			return
		}
	}
	conn.request(r)
}

func (c *Clients) dial(to int) *clientConn {
	conn := &clientConn{clients: c, driver: to}
	var err error
	if conn.stream, err = c.loop.Dial(c.drivers[to], conn, pgwire.MaxMessageLength+1); err != nil {
		return nil
	}
	conn.stream.Send(pgwire.AppendStartup(nil, "app", "shop"))
	return conn
}

func (conn *clientConn) request(r *clientRPC) {
	c := conn.clients
	now, m := c.loop.Now(), r.method
	c.lastID++
	r.tries++
	conn.rpc, conn.id, conn.answer, conn.retryAfter, conn.position = r, fmt.Sprintf("r%d", c.lastID), "", 0, 0
	conn.resent = false
	if m.Effect == emu.Tokened && r.token == "" {
		r.token = "t" + conn.id
	}
	key := fmt.Sprintf("s%d", r.session)
	limit := r.timeLeft(now).Truncate(time.Millisecond)
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d", conn.id, m.Name, limit/time.Millisecond)
	if r.token != "" {
		text += ",k=" + r.token
	}
	text += fmt.Sprintf(",cluster=%d", r.session%c.script.Groups)
	if r.tries > 1 {
		text += ",r=1"
	}
	if at := c.sessionPositions[r.session]; m.Need == "session" && at > 0 {
		text += ",after=" + strconv.FormatInt(int64(at/time.Millisecond), 10)
	}
	text += " */ SELECT doc FROM items WHERE id = '" + key + "'"
	if m.Need == "write" {
		text = text[:len(text)-len("SELECT doc FROM items WHERE id = '"+key+"'")] + "INSERT INTO items (id, doc) VALUES ('" + key + "', 'x') RETURNING doc"
	}
	c.record.TrySent(conn.id, r.token, fmt.Sprint("d", conn.driver), m.Effect, now, now+limit)
	conn.message = append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
	conn.send(now + limit + answerAllowance)
}

func (conn *clientConn) send(until time.Duration) {
	conn.requests++
	conn.stream.Send(conn.message)
	conn.giveUpAt = until
	conn.timer = conn.clients.loop.At(until, func() {
		conn.stream.Close()
		conn.closed = true
		conn.finishUnanswered(false)
	})
}

// resend sends a request again on a new connection if its reused connection was closed before an answer: the driver
// may not have read it. It may have run, though, so that non-idempotent requests are not sent again.
func (conn *clientConn) resend() bool {
	if conn.rpc == nil || conn.requests < 2 || conn.resent || conn.answer != "" || conn.rpc.method.Effect == emu.NonIdempotent {
		return false
	}
	c := conn.clients
	n := c.dial(conn.driver)
	if n == nil {
		return false
	}
	c.loop.Cancel(conn.timer)
	conn.rpc.mayRun = true
	n.rpc, n.id, n.message, n.resent = conn.rpc, conn.id, conn.message, true
	conn.rpc = nil
	n.send(conn.giveUpAt)
	return true
}

// finish ends a try; the client may retry.
func (conn *clientConn) finish(answer string) {
	c, r := conn.clients, conn.rpc
	if r == nil {
		return
	}
	conn.rpc = nil
	c.loop.Cancel(conn.timer)
	now := c.loop.Now()
	c.record.TryAnswered(conn.id, answer, now)
	conn.noteWriteTry(r)
	if answer == emu.OK {
		c.Served++
		c.Latencies = append(c.Latencies, now-r.began)
		if r.method.Need == "write" && conn.position > 0 {
			c.sessionPositions[r.session] = max(c.sessionPositions[r.session], conn.position)
		}
		got := r.method.Utility
		if now-r.began > r.method.SoftDeadline {
			got *= r.method.LateUtility
		}
		c.ServedUtility += got
		c.UtilitySeries.got(r.began-c.startedAt, r.firstDriver, got)
		c.ledger.Add(emu.ServedUtility, Driver(r.firstDriver), r.began, got)
		return
	}
	switch answer {
	case emu.PushedBack:
		c.ledger.Add(emu.PushedBackTries, Driver(conn.driver), now, 1)
	case emu.Nothing, emu.NotTaken:
		c.ledger.Add(emu.UnansweredTries, Driver(conn.driver), now, 1)
		if c.script.Route == "stay" && c.sessionDriver[r.session] == conn.driver { // moves the session to another driver for good
			c.sessionDriver[r.session] = (conn.driver + 1 + c.rng.Below(max(len(c.drivers)-1, 1))) % len(c.drivers)
		}
	}
	r.mayRun = r.mayRun || answer != emu.PushedBack && conn.admitted
	if r.tries > c.script.Retries || r.mayRun && r.method.Effect == emu.NonIdempotent {
		return
	}
	wait := 100*time.Millisecond + time.Duration(c.rng.Below(200))*time.Millisecond
	if c.script.HonorsRetryAfter {
		wait = max(wait, conn.retryAfter)
	}
	c.loop.At(now+wait, func() {
		if r.timeLeft(c.loop.Now()) >= minTryTime {
			c.sendTry(r)
		}
	})
}

// Opened implements eventloop.Handler.
func (conn *clientConn) Opened() {}

// Panicked implements eventloop.Handler.
func (conn *clientConn) Panicked(cause error) { conn.stream.Close() }

// Closed implements eventloop.Handler.
func (conn *clientConn) Closed(error) {
	conn.closed = true
	if conn.resend() {
		return
	}
	conn.finishUnanswered(true)
}

// finishUnanswered ends a try without an answer. If the driver closes a connection on its first request, that request
// counts as not taken, though it may have run.
func (conn *clientConn) finishUnanswered(shut bool) {
	if conn.admitted && !(shut && conn.requests == 1) {
		conn.finish(emu.Nothing)
	} else {
		conn.finish(emu.NotTaken)
	}
}

// Input implements eventloop.Handler.
func (conn *clientConn) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		conn.stream.Close()
		conn.Closed(err)
		return 0
	}
	switch {
	case size == 0:
		return 0
	case kind == 'R':
		conn.admitted = true
	case kind == 'S':
		if name, value, ok := pgwire.Parameter(body); ok && string(name) == "replay_position" {
			millis, _ := strconv.ParseInt(string(value), 10, 64)
			conn.position = time.Duration(millis) * time.Millisecond
		}
	case kind == 'D':
		conn.answer = emu.OK
	case kind == 'E':
		conn.answer = emu.Aborted
		pgwire.Fields(body, func(code byte, value []byte) {
			if code == 'C' && (string(value) == "53300" || string(value) == "57P03") {
				conn.answer = emu.PushedBack
			} else if code == 'D' {
				millis, _ := strconv.Atoi(string(value))
				conn.retryAfter = time.Duration(millis) * time.Millisecond
			}
		})
	case kind == 'Z' && conn.answer != "":
		heard := conn.answer
		conn.answer = ""
		conn.finish(heard)
		conn.clients.idle[conn.driver] = append(conn.clients.idle[conn.driver], conn)
	}
	return size
}
