// Package members is the side of the driver that speaks with the members: connections, of which each
// carries one call-out at a time, and what comes back on them.
package members

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"math"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/pgwire"
	"passtack/internal/slots"
)

// Host is told how call-outs and probes end. The rows of an answer are good during the call only.
type Host interface {
	CallOutEnded(rpc driver.RPC, n int, from driver.Member, how driver.Outcome, took time.Duration,
		pos time.Duration, role driver.Role, report []float64, rows [][]byte)
	Probed(m driver.Member, ok bool, took time.Duration, report []float64)
	Count(what string)
}

// Reach is how far a call-out had come.
type Reach uint8

const (
	NotConnected Reach = iota
	PartlyWritten
	WhollyWritten
	AnswerBegun
)

var reaches = [...]string{"not_connected", "partly_written", "wholly_written", "answer_begun"}

// Failure tells how a call-out ended without an answer of the member's, and how far it had come. That alone
// picks the outcome.
type Failure struct {
	Reached  Reach
	TimedOut bool
	Cause    error
}

func (f Failure) Error() string {
	return fmt.Sprintf("reach=%s timed_out=%t cause=%q", reaches[f.Reached], f.TimedOut, f.Cause)
}

// Outcome is what the bytes that went and came prove.
func (f Failure) Outcome() driver.Outcome {
	switch {
	case f.Reached < WhollyWritten:
		return driver.NoConnection
	case f.TimedOut:
		return driver.TimedOut
	}
	return driver.Broken
}

// loggedEach parts the log lines on failures at one member: a few lines tell as much as all of them.
const loggedEach = 5 * time.Second

// stalled is how long an answer that has begun may rest: longer than a lost packet takes to be sent again. Members
// answer at one go.
const stalled = 250 * time.Millisecond

// ahead is how far a position may be told to be ahead of the clock, by its rounding.
const ahead = time.Second

var (
	errSlow    = errors.New("no answer in time")
	errConnect = errors.New("the connection did not come up in time")
	errGarbage = errors.New("an answer that cannot be read")
	errStalled = errors.New("an answer that stopped short")
)

// Pool holds the connections to all members.
type Pool struct {
	loop      *loop.Loop
	host      Host
	members   map[driver.Member]*member
	conns     slots.Table[*conn]
	calls     slots.Table[*call]
	connectIn time.Duration
	idleFor   time.Duration // a member closes what was idle for so long
	word      func(string) string
	columns   []string
	report    []float64
	rows      [][]byte
}

type member struct {
	id    driver.Member
	at    netip.AddrPort
	idle  []*conn       // newest last
	tidy  loop.Due      // ends the oldest of them in time
	quiet time.Duration // until when failures are not logged
}

// call is a call-out, or a probe where it has no statement.
type call struct {
	handle slots.Handle
	rpc    driver.RPC
	n      int
	probe  bool
	to     driver.Member
	sent   time.Duration
	until  time.Duration
	conn   *conn
	text   []byte // waits for the connection
	due    loop.Due
}

type conn struct {
	pool    *Pool
	handle  slots.Handle
	member  *member
	at      netip.AddrPort
	stream  *loop.Stream
	ready   bool // the member has let us in
	call    *call
	written bool // the call-out was handed to the stream
	since   time.Duration
	due     loop.Due // it must be up then, or go on with its answer
	begun   bool
	code    string // of the error that came
}

// New makes a pool. Connections must be up within connectIn and are not used once idle for idleFor; word
// translates the names of a load report, whose columns are given.
func New(l *loop.Loop, host Host, connectIn, idleFor time.Duration, columns []string,
	word func(string) string) *Pool {
	return &Pool{
		loop: l, host: host, members: make(map[driver.Member]*member), connectIn: connectIn,
		idleFor: idleFor - idleFor/8, columns: columns, word: word,
	}
}

// Place tells where a member listens. Connections to an earlier address are not used again.
func (p *Pool) Place(id driver.Member, at netip.AddrPort) {
	m := p.members[id]
	if m == nil {
		p.members[id] = &member{id: id, at: at}
	} else if m.at != at {
		p.CloseIdle(id)
		m.at = at
	}
}

// CallOut sends the statement, whose time stands between its two parts. It ends with exactly one outcome,
// never at once.
func (p *Pool) CallOut(rpc driver.RPC, n int, to driver.Member, until time.Duration,
	before, after []byte) slots.Handle {
	now := p.loop.Now()
	m := p.members[to]
	c := &call{rpc: rpc, n: n, to: to, sent: now, until: until}
	c.handle = p.calls.Put(c)
	if c.handle == 0 || m == nil || until <= now {
		p.loop.Later(func() { p.end(c, driver.Moot, 0, driver.Unknown, nil, nil) })
		return c.handle
	}
	c.due = p.loop.At(until, func() { p.expire(c.handle) })
	if k := p.newest(m); k != nil {
		k.call, c.conn = c, k
		k.write(before, after)
		return c.handle
	}
	c.text = append(append(append(c.text, before...), 0), after...)
	p.connect(c, m)
	return c.handle
}

// Probe asks the member nothing, to see how it is.
func (p *Pool) Probe(to driver.Member) {
	m, now := p.members[to], p.loop.Now()
	if m == nil {
		return
	}
	c := &call{probe: true, to: to, sent: now, until: now + p.connectIn}
	c.handle = p.calls.Put(c)
	if c.handle == 0 {
		p.loop.Later(func() { p.end(c, driver.Moot, 0, driver.Unknown, nil, nil) })
		return
	}
	c.due = p.loop.At(c.until, func() { p.expire(c.handle) })
	if k := p.newest(m); k != nil {
		k.call, c.conn = c, k
		k.ask()
		return
	}
	p.connect(c, m)
}

// settled is how long what belongs to no answer may come behind it: a connection that has rested for so long and
// has nothing to read says nothing but the next answer.
const settled = 2 * time.Millisecond

// newest takes the connection out that was idle for the shortest time of those that have settled, unless the
// member may have closed it.
func (p *Pool) newest(m *member) *conn {
	for len(m.idle) > 0 {
		unsettled := sort.Search(len(m.idle), func(i int) bool { return p.loop.Now()-m.idle[i].since < settled })
		i := max(unsettled-1, 0)
		k := m.idle[i]
		m.idle = slices.Delete(m.idle, i, i+1)
		if p.loop.Now()-k.since < p.idleFor && k.stream.Alive() {
			return k
		}
		k.drop()
	}
	return nil
}

func (p *Pool) connect(c *call, m *member) {
	k := &conn{pool: p, member: m, at: m.at, call: c, since: p.loop.Now()}
	stream, err := p.loop.Dial(m.at, k, pgwire.Most+1)
	if err == nil {
		k.stream = stream
		if k.handle = p.conns.Put(k); k.handle == 0 {
			stream.Close()
			err = loop.ErrNoRoom
		}
	}
	if err != nil {
		p.host.Count("connects_failed")
		p.loop.Later(func() { p.fail(c, Failure{NotConnected, false, err}) })
		return
	}
	c.conn = k
	p.host.Count("connects")
	k.stream.Send(pgwire.AppendFirst(nil, "app", "shop"))
	k.due = p.loop.At(p.loop.Now()+p.connectIn, func() {
		if p.conns.Get(k.handle) == k && !k.ready {
			k.broken(errConnect)
		}
	})
}

func (k *conn) Opened() {}

func (k *conn) Panicked(cause error) { k.broken(cause) }

// broken ends the connection, and with it the call-out that it carries.
func (k *conn) broken(cause error) {
	k.drop()
	k.Closed(cause)
}

func (k *conn) drop() {
	k.stream.Close()
	k.gone()
}

func (k *conn) gone() {
	k.pool.loop.Forget(k.due)
	k.pool.conns.Drop(k.handle)
	k.member.idle = slices.DeleteFunc(k.member.idle, func(o *conn) bool { return o == k })
}

func (k *conn) Closed(cause error) {
	k.gone()
	c := k.call
	if c == nil {
		return
	}
	k.call = nil
	if how := outcomeOf(k.code); k.code != "" && (k.ready || how == driver.Full) {
		k.pool.end(c, how, 0, driver.Unknown, nil, nil)
		return
	}
	k.pool.fail(c, Failure{k.reached(), false, cause})
}

func (k *conn) reached() Reach {
	switch {
	case !k.ready:
		return NotConnected
	case !k.written || k.stream.Unsent() > 0:
		return PartlyWritten
	case k.begun:
		return AnswerBegun
	}
	return WhollyWritten
}

// write sends the call-out, with the time that is left for it.
func (k *conn) write(before, after []byte) {
	left := max(1, int64((k.call.until-k.pool.loop.Now())/time.Millisecond))
	var room [32]byte
	budget := strconv.AppendInt(room[8:8], left, 10)
	head := pgwire.AppendHead(room[:0], 'Q', len(before)+len(budget)+len(after)+1)
	k.begun, k.code, k.written = false, "", true
	k.stream.Send(head, before, budget, after, []byte{0})
}

// ask sends the empty query.
func (k *conn) ask() {
	k.begun, k.code, k.written = false, "", true
	k.stream.Send(append(pgwire.AppendHead(nil, 'Q', 1), 0))
}

func (k *conn) start() {
	c := k.call
	switch {
	case c == nil && k.at == k.member.at:
		k.rest()
	case c == nil:
		k.drop()
	case c.probe:
		k.ask()
	default:
		before, after, _ := bytes.Cut(c.text, []byte{0})
		k.write(before, after)
		c.text = nil
	}
}

// rest keeps the connection for the next call-out.
func (k *conn) rest() {
	k.since = k.pool.loop.Now()
	k.member.idle = append(k.member.idle, k)
	if k.member.tidy == nil {
		k.pool.tidyAt(k.member, k.since+k.pool.idleFor)
	}
}

// tidyAt ends what will have been idle for too long then, and looks again for as long as something is idle.
func (p *Pool) tidyAt(m *member, at time.Duration) {
	m.tidy = p.loop.At(at, func() {
		m.tidy = nil
		for len(m.idle) > 0 && p.loop.Now()-m.idle[0].since >= p.idleFor {
			m.idle[0].drop()
		}
		if len(m.idle) > 0 {
			p.tidyAt(m, m.idle[0].since+p.idleFor)
		}
	})
}

// Input reads what has come so far; nothing is taken before the answer is whole, and nothing of one that turns
// out spoilt is believed.
func (k *conn) Input(in []byte) int {
	p := k.pool
	if k.ready && k.call == nil {
		return k.chat(in)
	}
	p.rows, p.report = p.rows[:0], p.report[:0]
	pos, role, code := time.Duration(0), driver.Unknown, ""
	seen, at := byte(0), 0 // seen: the kind of the latest message of the answer proper
	for seen != 'Z' {
		kind, body, size, err := pgwire.Next(in[at:])
		if err != nil {
			k.broken(errGarbage)
			return 0
		}
		if size == 0 {
			if k.begun = k.begun || kind != 0 && kind != 'S' && kind != 'N'; k.begun && k.ready {
				k.expectMore()
			}
			return 0
		}
		fits := true
		switch kind {
		case 'R', 'K':
			fits = !k.ready
		case 'N':
		case 'S':
			pos, role, fits = k.parameter(body, pos, role)
		case 'I':
			fits = k.call != nil && k.call.probe && seen == 0
		case 'T':
			fits = seen == 0 && pgwire.Described(body)
		case 'D':
			fits = seen == 'T' && pgwire.Row(body)
		case 'C':
			fits = seen == 'D' && pgwire.Tag(body)
		case 'E':
			code = p.code(body)
			fits = seen != 'C' && seen != 'E' && code != ""
			k.code = code
		case 'Z':
			answered := seen == 'C' || seen == 'E' || seen == 'I' && k.call != nil && k.call.probe
			fits = pgwire.Ready(body) && (answered || !k.ready && seen == 0)
		default:
			fits = false
		}
		if !fits { // then a code that came before it proves nothing
			k.code = ""
		}
		if !fits || !k.ready && code != "" {
			k.broken(errGarbage)
			return 0
		}
		if at += size; kind == 'T' || kind == 'D' || kind == 'C' {
			p.rows = append(p.rows, in[at-size:at])
		}
		if kind != 'R' && kind != 'K' && kind != 'N' && kind != 'S' {
			k.begun, seen = true, kind
		}
	}
	if !k.ready {
		k.ready = true
		p.loop.Forget(k.due)
		k.start()
		return at
	}
	c := k.call
	if !k.written {
		k.broken(errGarbage)
		return 0
	}
	how := driver.OK
	if code != "" {
		how = outcomeOf(code)
	}
	k.call, k.written, k.code = nil, false, ""
	p.loop.Forget(k.due)
	keep := at == len(in) && k.at == k.member.at // it has not moved, nor does it say more than it was asked
	if keep {
		k.rest()
	}
	p.end(c, how, pos, role, p.report, p.rows)
	if !keep {
		k.drop()
	}
	return at
}

// expectMore ends the connection unless more of the answer comes in time, or is not read for want of memory.
func (k *conn) expectMore() {
	p := k.pool
	p.loop.Forget(k.due)
	k.due = p.loop.At(p.loop.Now()+stalled, func() {
		if k.stream.Rests() {
			k.expectMore()
		} else if p.conns.Get(k.handle) == k && k.call != nil {
			k.broken(errStalled)
		}
	})
}

// code reads the code of an error, nothing where there is none that could be one.
func (p *Pool) code(body []byte) (code string) {
	ok := pgwire.Fields(body, func(field byte, value []byte) {
		if field == 'C' {
			code = string(value)
		}
	})
	odd := func(r rune) bool { return (r < '0' || r > '9') && (r < 'A' || r > 'Z') }
	if !ok || len(code) != 5 || strings.ContainsFunc(code, odd) {
		return ""
	}
	return code
}

// chat passes over what an idle member may say unasked; after anything else it is not used again.
func (k *conn) chat(in []byte) int {
	kind, _, size, err := pgwire.Next(in)
	if err != nil || kind != 'S' && kind != 'N' && kind != 0 {
		k.drop()
	}
	return size
}

func (k *conn) parameter(body []byte, pos time.Duration, role driver.Role) (time.Duration, driver.Role, bool) {
	name, value, ok := pgwire.Parameter(body)
	switch string(name) {
	case "replay_position":
		millis, err := strconv.ParseInt(string(value), 10, 64)
		if latest := k.pool.loop.Now() + ahead; err == nil && millis > 0 && millis <= int64(latest/time.Millisecond) {
			pos = time.Duration(millis) * time.Millisecond
		}
	case "node_role":
		switch string(value) {
		case "leader":
			role = driver.Primary
		case "follower":
			role = driver.Replica
		}
	case "server_load":
		k.pool.load(string(value))
	}
	return pos, role, ok
}

// load puts the fields of a load report into the order of the columns. One that cannot be read tells nothing.
func (p *Pool) load(text string) {
	p.report = append(p.report[:0], make([]float64, len(p.columns))...)
	for field := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(field, "=")
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || !(value >= 0) || math.IsInf(value, 1) {
			p.report = p.report[:0]
			return
		}
		if i := slices.Index(p.columns, p.word(name)); i >= 0 {
			p.report[i] = value
		}
	}
}

// outcomeOf reads the code of a member's error.
func outcomeOf(code string) driver.Outcome {
	switch code {
	case "25006", "72000":
		return driver.Miss
	case "53300":
		return driver.Full
	}
	return driver.Failed
}

// Cancel calls a call-out off.
func (p *Pool) Cancel(h slots.Handle) {
	if c := p.calls.Get(h); c != nil {
		p.loop.Later(func() {
			if p.calls.Get(h) == c {
				p.letGo(c)
				p.end(c, driver.Cancelled, 0, driver.Unknown, nil, nil)
			}
		})
	}
}

func (p *Pool) expire(h slots.Handle) {
	c := p.calls.Get(h)
	if c == nil {
		return
	}
	reached, code := NotConnected, ""
	if c.conn != nil {
		reached, code = c.conn.reached(), c.conn.code
	}
	p.letGo(c)
	if code != "" {
		p.end(c, outcomeOf(code), 0, driver.Unknown, nil, nil)
		return
	}
	p.fail(c, Failure{reached, true, errSlow})
}

// letGo parts a call-out from its connection, which ends unless it has yet to come up.
func (p *Pool) letGo(c *call) {
	k := c.conn
	if k == nil || k.call != c {
		return
	}
	if k.call = nil; k.ready {
		k.drop()
	}
}

func (p *Pool) fail(c *call, why Failure) {
	if m, now := p.members[c.to], p.loop.Now(); m != nil && now >= m.quiet {
		m.quiet = now + loggedEach
		log.Printf("event=callout_failed member=%012x endpoint=%s %v", uint64(c.to), m.at, why)
	}
	p.end(c, why.Outcome(), 0, driver.Unknown, nil, nil)
}

func (p *Pool) end(c *call, how driver.Outcome, pos time.Duration, role driver.Role, report []float64, rows [][]byte) {
	if c.handle != 0 && p.calls.Get(c.handle) != c {
		return
	}
	p.calls.Drop(c.handle)
	p.loop.Forget(c.due)
	took := p.loop.Now() - c.sent
	if c.probe {
		p.host.Probed(c.to, how == driver.OK, took, report)
		return
	}
	p.host.CallOutEnded(c.rpc, c.n, c.to, how, took, pos, role, report, rows)
}

// CloseIdle ends the idle connections to a member.
func (p *Pool) CloseIdle(id driver.Member) {
	if m := p.members[id]; m != nil {
		for len(m.idle) > 0 {
			m.idle[0].drop()
		}
	}
}

// Forget drops a member that nothing more is sent to.
func (p *Pool) Forget(id driver.Member) {
	if m := p.members[id]; m != nil {
		p.CloseIdle(id)
		m.at = netip.AddrPort{} // what is still out rests nowhere
		delete(p.members, id)
	}
}

// MakeRoom ends the connection that was idle for longest; it tells whether there was one.
func (p *Pool) MakeRoom() bool {
	var oldest *conn
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].since < oldest.since) {
			oldest = m.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.host.Count("members_closed_idle")
	oldest.drop()
	return true
}

// Open counts the connections, Out the call-outs that have no outcome yet.
func (p *Pool) Open() int { return p.conns.Count() }
func (p *Pool) Out() int  { return p.calls.Count() }
