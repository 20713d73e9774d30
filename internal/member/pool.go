// Package member is what every protocol with members needs once: connections, of which each carries one attempt or
// probe at a time, and how far an attempt had come when it ended. A Tongue speaks the protocol.
package member

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"sort"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
	"passtack/internal/loop"
	"passtack/internal/recovery"
	"passtack/internal/slots"
)

// Tongue speaks one protocol. It keeps nothing of any connection.
type Tongue interface {
	// Hello opens a connection; where there is nothing to say it is ready at once.
	Hello() []byte
	// Call words the attempt for which so much time is left. The parts are good until the next call.
	Call(ask *driver.Ask, left time.Duration) [][]byte
	// Probe words a question that costs next to nothing.
	Probe() []byte
	// Hear reads what has come so far of one answer, or of the greeting where greeted is false.
	Hear(in []byte, greeted, probing, ended bool, now time.Duration, into *Heard)
	// Chat reads what may come on a connection that rests; where ok is false it is of no more use.
	Chat(in []byte) (size int, ok bool)
}

// Heard is what has come of an answer.
type Heard struct {
	Size   int            // bytes of the whole answer; 0: more is to come
	Begun  bool           // some of the answer proper has come
	Spoilt bool           // it cannot be read
	Failed bool           // an error has come, which holds although nothing more comes
	How    driver.Outcome // of a whole answer, or of the error that has come
	Last   bool           // the connection is of no more use
	Role   driver.Role
	Report []float64 // good until the next answer
	Answer driver.Answer
}

// Reach is how far an attempt had come.
type Reach uint8

const (
	// NotConnected means that the connection never came up.
	NotConnected Reach = iota
	// PartlyWritten means that the member cannot have seen the whole request.
	PartlyWritten
	// WhollyWritten means that the member may have run the request.
	WhollyWritten
	// AnswerBegun means that part of the answer has come.
	AnswerBegun
)

var reaches = [...]string{"not_connected", "partly_written", "wholly_written", "answer_begun"}

// Failure tells how an attempt ended without an answer of the member's, and how far it had come. That alone
// picks the outcome.
type Failure struct {
	Reached  Reach
	TimedOut bool
	Cause    error
}

// Error implements error.
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

// Ahead is how far a position may be told to be ahead of the clock, by its rounding.
const Ahead = time.Second

var (
	errSlow    = errors.New("no answer in time")
	errConnect = errors.New("the connection did not come up in time")
	errGarbage = errors.New("an answer that cannot be read")
	errStalled = errors.New("an answer that stopped short")

	errNotLetIn = errors.New("another connection to it did not come up")
)

// Most is the longest answer that is held.
const Most = 1088<<10 + 1

// Pool holds the connections to all members of one protocol.
type Pool struct {
	loop      *loop.Loop
	ledger    driver.Ledger
	tongue    Tongue
	members   map[driver.Member]*member
	conns     slots.Table[*conn]
	calls     slots.Table[*call]
	connectIn time.Duration
	idleFor   time.Duration // a member closes what was idle for so long
	heard     Heard
	offset    time.Duration // by which the members' clock is ahead of the loop's
	opens     *recovery.ConnectLimiter
	crowded   chain.Chain[*member] // some attempts wait for connections to these
}

type member struct {
	id      driver.Member
	at      netip.AddrPort
	idle    []*conn       // newest last
	tidy    loop.Due      // ends the oldest of them in time
	quiet   time.Duration // until when failures are not logged
	door    recovery.MemberConnections
	waiting chain.Chain[*call]
	crowd   chain.Link[*member]
}

// call is an attempt, or a probe where it has no statement.
type call struct {
	handle slots.Handle
	rpc    driver.RPC
	n      int
	probe  bool
	to     driver.Member
	sent   time.Duration
	by     time.Duration // when it must have been written whole
	until  time.Duration
	conn   *conn
	ask    *driver.Ask // waits for the connection
	due    loop.Due
	place  chain.Link[*call] // among those that wait for a connection
}

type conn struct {
	pool    *Pool
	handle  slots.Handle
	member  *member
	at      netip.AddrPort
	stream  *loop.Stream
	opened  time.Duration
	ready   bool // the member has let us in
	ended   bool
	call    *call
	written bool // the attempt was handed to the stream
	since   time.Duration
	due     loop.Due // it must be up then, or go on with its answer
	begun   bool
	failed  bool // an error has come
	how     driver.Outcome
}

// New makes a pool. Connections must be up within connectIn and are not used once idle for idleFor. All pools of a driver
// share how many it opens at once.
func New(l *loop.Loop, ledger driver.Ledger, tongue Tongue, opens *recovery.ConnectLimiter, connectIn, idleFor time.Duration) *Pool {
	return &Pool{
		loop: l, ledger: ledger, tongue: tongue, members: make(map[driver.Member]*member), connectIn: connectIn,
		idleFor: idleFor - idleFor/8, opens: opens,
	}
}

// Within changes what New was told of times, for connections that are opened or rest from now on.
func (p *Pool) Within(connectIn, idleFor time.Duration) {
	p.connectIn, p.idleFor = connectIn, idleFor-idleFor/8
}

// Offset tells by how much the clock that members tell positions by is ahead of the loop's.
func (p *Pool) Offset(ahead time.Duration) { p.offset = ahead }

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

// Attempt sends what is asked, with the time that is left, whole by that time or not at all. It ends with exactly one
// outcome, never at once.
func (p *Pool) Attempt(rpc driver.RPC, n int, to driver.Member, by, until time.Duration, ask *driver.Ask) uint32 {
	now := p.loop.Now()
	m := p.members[to]
	c := &call{rpc: rpc, n: n, to: to, sent: now, by: min(by, until), until: until}
	c.handle = p.calls.Put(c)
	if c.handle == 0 || m == nil || c.by <= p.loop.Clock() {
		p.loop.Later(func() { p.end(c, driver.Moot, nil) })
		return uint32(c.handle)
	}
	p.dueAt(c, c.by)
	if k := p.newest(m); k != nil {
		k.call, c.conn = c, k
		k.write(ask)
		return uint32(c.handle)
	}
	c.ask = ask.Copy()
	if m.waiting.Count() == 0 && p.opens.MayConnect(&m.door) {
		p.connect(c, m)
	} else {
		p.wait(c, m)
	}
	return uint32(c.handle)
}

// wait lets an attempt wait for a connection, no longer than one may take to come up.
func (p *Pool) wait(c *call, m *member) {
	p.ledger.Count("connects_waited")
	c.place.Value, m.crowd.Value = c, m
	m.waiting.Push(&c.place)
	if !m.crowd.In(&p.crowded) {
		p.crowded.Push(&m.crowd)
	}
	p.dueAt(c, min(c.by, p.loop.Now()+p.connectIn))
}

// dueAt ends the attempt then, unless it has ended.
func (p *Pool) dueAt(c *call, at time.Duration) {
	p.loop.Forget(c.due)
	c.due = p.loop.At(at, func() { p.expire(c.handle) })
}

// serve gives connections to attempts that wait: those that rest, and new ones as far as more may be opened.
func (p *Pool) serve(m *member) {
	for next := m.waiting.First(); next != nil; next = m.waiting.First() {
		c, k := next.Value, p.newest(m)
		if k == nil && !p.opens.MayConnect(&m.door) {
			return
		}
		next.Leave()
		p.dueAt(c, c.by)
		if k == nil {
			p.connect(c, m)
			continue
		}
		k.call, c.conn = c, k
		k.start() // also one whose time is over goes on no further than that
	}
	m.crowd.Leave()
}

// serveAll does so for all members, once more may be opened.
func (p *Pool) serveAll() {
	for at := p.crowded.First(); at != nil; {
		next := at.Next()
		p.serve(at.Value)
		at = next
	}
}

// Probe asks the member nothing, to see how it is.
func (p *Pool) Probe(to driver.Member) {
	m, now := p.members[to], p.loop.Now()
	if m == nil {
		return
	}
	c := &call{probe: true, to: to, sent: now, by: now + p.connectIn, until: now + p.connectIn}
	c.handle = p.calls.Put(c)
	if c.handle == 0 {
		p.loop.Later(func() { p.end(c, driver.Moot, nil) })
		return
	}
	p.dueAt(c, c.until)
	if k := p.newest(m); k != nil {
		k.call, c.conn = c, k
		k.probe()
		return
	}
	if p.opens.AtMemberLimit(&m.door) {
		p.loop.Later(func() { p.end(c, driver.Moot, nil) })
		return
	}
	p.connect(c, m)
}

// Trim ends connections that rest where more are open than may be.
func (p *Pool) Trim() {
	for _, m := range p.members {
		for over := p.opens.Excess(&m.door); over > 0 && len(m.idle) > 0; over-- {
			m.idle[0].drop()
		}
	}
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
	k := &conn{pool: p, member: m, at: m.at, call: c, since: p.loop.Now(), opened: p.loop.Now()}
	stream, err := p.loop.Dial(m.at, k, Most)
	if err == nil {
		k.stream = stream
		if k.handle = p.conns.Put(k); k.handle == 0 {
			stream.Close()
			err = loop.ErrNoRoom
		}
	}
	if err != nil {
		p.ledger.Count("connects_failed")
		p.loop.Later(func() { p.fail(c, Failure{NotConnected, false, err}) })
		return
	}
	c.conn = k
	p.opens.Started(&m.door)
	p.ledger.Count("connects")
	if hello := p.tongue.Hello(); hello != nil {
		k.stream.Send(hello)
	}
	k.due = p.loop.At(p.loop.Now()+p.connectIn, func() {
		if p.conns.Get(k.handle) == k && !k.ready {
			k.broken(errConnect)
		}
	})
}

// Opened implements loop.Handler.
func (k *conn) Opened() {
	if k.pool.tongue.Hello() == nil {
		k.welcomed()
	}
}

func (k *conn) welcomed() {
	p, m := k.pool, k.member
	k.ready = true
	p.opens.Established(&m.door, p.loop.Now()-k.opened, p.loop.Now())
	p.loop.Forget(k.due)
	k.start()
	p.loop.Later(p.serveAll)
}

// Panicked implements loop.Handler.
func (k *conn) Panicked(cause error) { k.broken(cause) }

// broken ends the connection, and with it the attempt that it carries.
func (k *conn) broken(cause error) {
	k.drop()
	k.Closed(cause)
}

func (k *conn) drop() {
	k.stream.Close()
	k.gone()
}

func (k *conn) gone() {
	p, m := k.pool, k.member
	if !k.ended && k.ready {
		p.opens.Closed(&m.door)
	} else if !k.ended {
		p.opens.Failed(&m.door, p.loop.Now()-k.opened, p.loop.Now())
		p.loop.Later(func() { p.notLetIn(m) })
	}
	k.ended = true
	p.loop.Forget(k.due)
	p.conns.Drop(k.handle)
	k.member.idle = slices.DeleteFunc(k.member.idle, func(o *conn) bool { return o == k })
}

// notLetIn lets one connection that did not come up speak for all that wait, where the member has let nobody in.
func (p *Pool) notLetIn(m *member) {
	if m.door.None() {
		for at := m.waiting.First(); at != nil; at = m.waiting.First() {
			at.Leave()
			p.fail(at.Value, Failure{NotConnected, false, errNotLetIn})
		}
	}
	p.serveAll()
}

// Closed implements loop.Handler.
func (k *conn) Closed(cause error) {
	k.gone()
	c := k.call
	if c == nil {
		return
	}
	if k.ready && k.written && cause == io.EOF { // it may be the end of an answer of no told length
		h := &k.pool.heard
		if k.hear(k.stream.Unread(), true); h.Size > 0 && !h.Spoilt {
			k.call = nil
			k.pool.end(c, h.How, h)
			return
		}
	}
	k.call = nil
	if k.failed && (k.ready || k.how == driver.Full) {
		k.pool.end(c, k.how, nil)
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

// write sends the attempt, with the time that is left for it at this moment: the turn may have taken long.
func (k *conn) write(ask *driver.Ask) {
	k.begun, k.failed, k.written = false, false, true
	k.stream.Send(k.pool.tongue.Call(ask, max(k.call.until-k.pool.loop.Clock(), time.Millisecond))...)
}

func (k *conn) probe() {
	k.begun, k.failed, k.written = false, false, true
	k.stream.Send(k.pool.tongue.Probe())
}

func (k *conn) start() {
	c := k.call
	switch {
	case c == nil && k.at == k.member.at:
		k.rest()
	case c == nil:
		k.drop()
	case c.probe:
		k.probe()
	case k.pool.loop.Clock() >= c.by: // it came up after this driver stood still
		k.call, c.conn = nil, nil
		k.rest()
		k.pool.loop.Later(func() { k.pool.expire(c.handle) })
	default:
		k.write(c.ask)
		c.ask = nil
	}
}

// rest keeps the connection for the next attempt.
func (k *conn) rest() {
	k.since = k.pool.loop.Now()
	k.member.idle = append(k.member.idle, k)
	if k.member.tidy == nil {
		k.pool.tidyAt(k.member, k.since+k.pool.idleFor)
	}
	if m := k.member; m.waiting.Count() > 0 {
		k.pool.loop.At(k.since+settled, func() { k.pool.serve(m) })
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

// hear reads what has come of the answer. A wish for more leaves what holds of an error in any case.
func (k *conn) hear(in []byte, ended bool) {
	p := k.pool
	h := &p.heard
	*h = Heard{Begun: k.begun, Report: h.Report[:0], Answer: driver.Answer{Parts: h.Answer.Parts[:0]}}
	p.tongue.Hear(in, k.ready, k.call != nil && k.call.probe, ended, p.loop.Now()+p.offset, h)
	k.begun, k.failed, k.how = h.Begun, h.Failed, h.How
}

// Input reads what has come so far; nothing is taken before the answer is whole, and nothing of one that turns
// out spoilt is believed.
func (k *conn) Input(in []byte) int {
	p := k.pool
	if k.ready && k.call == nil {
		size, ok := p.tongue.Chat(in)
		if !ok {
			k.drop()
		}
		return size
	}
	k.hear(in, false)
	h := &p.heard
	if h.Spoilt {
		k.broken(errGarbage)
		return 0
	}
	if h.Size == 0 {
		if k.begun && k.ready {
			k.expectMore()
		}
		return 0
	}
	if !k.ready {
		k.welcomed()
		return h.Size
	}
	c := k.call
	if !k.written {
		k.broken(errGarbage)
		return 0
	}
	at := h.Size
	k.call, k.written, k.failed = nil, false, false
	p.loop.Forget(k.due)
	keep := at == len(in) && !h.Last && k.at == k.member.at // it has not moved, nor does it say more than it was asked
	if keep {
		k.rest()
	}
	p.end(c, h.How, h)
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

// Cancel calls an attempt off: from now on nothing of it is written. It ends later in this turn.
func (p *Pool) Cancel(call uint32) {
	if c := p.calls.Get(slots.Handle(call)); c != nil {
		how := driver.Cancelled
		if c.reached() < WhollyWritten {
			how = driver.Moot
		}
		p.letGo(c)
		p.loop.Later(func() { p.end(c, how, nil) })
	}
}

// Withdraw calls an attempt off that was not written whole. It costs its member nothing.
func (p *Pool) Withdraw(call uint32) {
	if c := p.calls.Get(slots.Handle(call)); c != nil && c.reached() < WhollyWritten {
		p.Cancel(call)
	}
}

func (c *call) reached() Reach {
	if c.conn == nil || c.conn.call != c {
		return NotConnected
	}
	return c.conn.reached()
}

func (p *Pool) expire(h slots.Handle) {
	c := p.calls.Get(h)
	if c == nil {
		return
	}
	if c.place.Value != nil && c.conn == nil {
		p.ledger.Count("connects_waited_out")
	}
	reached, failed, how := c.reached(), false, driver.Failed
	if reached >= WhollyWritten && p.loop.Now() < c.until {
		p.dueAt(c, c.until)
		return
	}
	if c.conn != nil {
		failed, how = c.conn.failed, c.conn.how
	}
	p.letGo(c)
	if failed {
		p.end(c, how, nil)
		return
	}
	p.fail(c, Failure{reached, true, errSlow})
}

// letGo parts an attempt from its connection, which ends unless it has yet to come up.
func (p *Pool) letGo(c *call) {
	c.place.Leave()
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
		slog.Warn("attempt_failed", "member", fmt.Sprintf("%012x", uint64(c.to)), "endpoint", m.at, "reach", reaches[why.Reached],
			"timed_out", why.TimedOut, "cause", why.Cause)
	}
	p.end(c, why.Outcome(), nil)
}

// end tells the outcome, and what was heard if an answer was.
func (p *Pool) end(c *call, how driver.Outcome, heard *Heard) {
	if c.handle != 0 && p.calls.Get(c.handle) != c {
		return
	}
	p.calls.Drop(c.handle)
	p.loop.Forget(c.due)
	if heard == nil {
		p.heard = Heard{Report: p.heard.Report[:0], Answer: driver.Answer{Parts: p.heard.Answer.Parts[:0]}}
		heard = &p.heard
	}
	took := p.loop.Now() - c.sent
	if c.probe {
		p.ledger.Probed(c.to, how == driver.OK, took, heard.Report)
		return
	}
	p.ledger.AttemptEnded(c.rpc, c.n, c.to, how, took, heard.Answer.Position, heard.Role, heard.Report, &heard.Answer)
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
		m.crowd.Leave()
	}
}

// Oldest tells since when the connection has been idle that was so for longest.
func (p *Pool) Oldest() (since time.Duration, ok bool) {
	k := p.oldest()
	if k == nil {
		return 0, false
	}
	return k.since, true
}

func (p *Pool) oldest() (oldest *conn) {
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].since < oldest.since) {
			oldest = m.idle[0]
		}
	}
	return oldest
}

// MakeRoom ends the connection that was idle for longest; it tells whether there was one.
func (p *Pool) MakeRoom() bool {
	oldest := p.oldest()
	if oldest == nil {
		return false
	}
	p.ledger.Count("members_closed_idle")
	oldest.drop()
	return true
}

// Waiting counts the attempts that wait for a connection.
func (p *Pool) Waiting() (waiting int) {
	for at := p.crowded.First(); at != nil; at = at.Next() {
		waiting += at.Value.waiting.Count()
	}
	return waiting
}

// Open counts the connections, Out the attempts that have no outcome yet.
func (p *Pool) Open() int { return p.conns.Count() }

// Out counts the attempts that have no outcome yet.
func (p *Pool) Out() int { return p.calls.Count() }
