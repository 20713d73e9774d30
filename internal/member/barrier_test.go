package member_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/httpwire"
	"passtack/internal/member"
	"passtack/internal/member/odata"
	"passtack/internal/member/pg"
	"passtack/internal/pgwire"
	"passtack/internal/recovery"
)

// copyingMember answers each request with its number. Behind every third answer it writes something more, which its system holds back
// until the next bytes of the peer arrive, as TCP does without TCP_NODELAY.
type copyingMember struct {
	http     bool
	more     func(answer []byte) []byte
	answers  int
	barriers int
	opened   int
}

type copyingConnection struct {
	member  *copyingMember
	stream  *eventloop.Stream
	greeted bool
	held    []byte
}

func (c *copyingConnection) Opened()        {}
func (c *copyingConnection) Closed(error)   {}
func (c *copyingConnection) Panicked(error) {}

func (c *copyingConnection) Input(in []byte) int {
	m := c.member
	if !m.http && !c.greeted {
		_, size, _ := pgwire.First(in)
		if c.greeted = size > 0; c.greeted {
			c.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		}
		return size
	}
	answer, size, isBarrier := m.answer(in)
	if size == 0 {
		return 0
	}
	c.stream.Send(c.held, answer)
	if c.held = nil; isBarrier {
		m.barriers++
	} else if m.answers++; m.answers%3 == 0 {
		c.held = m.more(answer)
	}
	return size
}

// answer returns the answer to a request, its size, and whether it is one that does nothing.
func (m *copyingMember) answer(in []byte) (answer []byte, size int, isBarrier bool) {
	if m.http {
		request, _ := httpwire.Next(in, httpwire.Limits{Target: 100, Head: 1000, Fields: 10, Body: 100})
		if string(request.Verb) == "HEAD" {
			return []byte("HTTP/1.1 404 x\r\nContent-Length: 9\r\n\r\n"), request.Size, true
		}
		return fmt.Appendf(nil, "HTTP/1.1 204 x\r\nOData-EntityId: %s\r\n\r\n", request.Target), request.Size, false
	}
	_, body, size, _ := pgwire.Next(in)
	if size > 0 && len(body) == 1 {
		return pgwire.AppendEmptyQueryResponse(nil), size, true
	}
	text := bytes.TrimRight(body, "\x00")
	out := append(append(pgwire.AppendHead(nil, 'T', 24), "\x00\x01doc\x00"...), make([]byte, 18)...)
	out = append(append(pgwire.AppendHead(out, 'D', 6+len(text)), 0, 1, 0, 0, 0, byte(len(text))), text...)
	return pgwire.AppendCommandComplete(out, "SELECT 1"), size, false
}

// contentRecorder keeps what each attempt was answered with.
type contentRecorder struct {
	outcomeRecorder
	contents map[driver.RPC]string
}

func (r *contentRecorder) AttemptEnded(rpc driver.RPC, _ int, _ driver.Member, outcome driver.Outcome, _, _ time.Duration, _ driver.Role, _ []float64, answer *driver.Answer) {
	r.outcomes[rpc], r.contents[rpc] = outcome, string(answer.Value)+httpwire.Fields(answer.Fields).Text("odata-entityid")
}

// Guards against a second copy of an answer, held back by the member's system, that is taken for the answer to the next request.
func TestNoAnswerIsTakenForAnotherRequest(t *testing.T) {
	for _, http := range []bool{false, true} {
		for name, more := range map[string]func([]byte) []byte{
			"copy":  bytes.Clone,
			"half":  func(answer []byte) []byte { return bytes.Clone(answer[:len(answer)/2]) },
			"noise": func([]byte) []byte { return []byte("?!\x00\x00") },
		} {
			t.Run(fmt.Sprint("http=", http, "/", name), func(t *testing.T) { playCopies(t, &copyingMember{http: http, more: more}) })
		}
	}
}

// playCopies sends attempts one after another and checks that each is answered with its own number.
func playCopies(t *testing.T, m *copyingMember) {
	const attempts, interval = 60, 10 * ms
	world := sim.New(1, time.Hour)
	host := func(name string) *eventloop.Loop {
		h := world.AddHost(name)
		l, err := eventloop.NewWithSystem(h, 1000, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	address := netip.MustParseAddrPort("10.0.0.1:5432")
	if _, err := host("member").Listen(address, 1<<12, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &copyingConnection{member: m}
		c.stream = open(c)
		m.opened++
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	l := host("driver")
	recorder := &contentRecorder{outcomeRecorder{l, make(map[driver.RPC]driver.Outcome), 0, make(map[string]int)}, make(map[driver.RPC]string)}
	limiter := recovery.NewConnectLimiter(250 * ms)
	protocol := member.Protocol(new(pg.Protocol))
	if m.http {
		protocol = &odata.Protocol{Host: "m"}
	}
	pool := member.New(l, recorder, protocol, &limiter, 250*ms, 15*time.Second)
	pool.SetAddress(1, address)
	for i := range attempts {
		request := &driver.MemberRequest{Before: fmt.Appendf(nil, "/* id=%d,d=", i), After: []byte(" */"), Verb: "GET", Path: fmt.Sprintf("/%d", i)}
		l.At(time.Hour+time.Duration(i)*interval, func() {
			pool.Attempt(driver.RPC(i+1), 0, 1, l.Now()+time.Second, l.Now()+time.Second, request)
		})
	}
	world.Run(time.Hour + attempts*interval + 2*time.Second)
	for i := range attempts {
		content, outcome := recorder.contents[driver.RPC(i+1)], recorder.outcomes[driver.RPC(i+1)]
		want := fmt.Sprintf("/* id=%d,d=", i)
		if m.http {
			want = fmt.Sprintf("/%d", i)
		}
		if outcome != driver.OK || !bytes.HasPrefix([]byte(content), []byte(want)) {
			t.Fatalf("attempt %d ended as %d with %q", i, outcome, content)
		}
	}
	if closed := recorder.counts["members_closed_excess"]; closed != attempts/3 || m.opened > attempts/3+2 {
		t.Errorf("%d of %d connections were closed for what came behind an answer", closed, m.opened)
	}
}

// Guards against a complete answer behind that to the startup, which would be taken for the answer to the first request.
func TestAnswerBehindTheStartupIsNotTakenForOne(t *testing.T) {
	for name, c := range map[string]struct {
		behind  []byte
		queries int
		outcome driver.Outcome
	}{
		"an answer":                     {pgwire.AppendEmptyQueryResponse(nil), 0, driver.NoConnection},
		"half of a message":             {pgwire.AppendEmptyQueryResponse(nil)[:3], 0, driver.NoConnection},
		"a notice, which may come then": {noticeMessage(), 1, driver.Misdirected},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, ms, true)
			f.member.behindStartup = c.behind
			f.send(1, time.Hour+time.Second, time.Hour+time.Second, 100)
			f.check(t, 1, c.outcome, c.queries)
		})
	}
}

func noticeMessage() []byte {
	const text = "SNOTICE\x00Mx\x00\x00"
	return append(pgwire.AppendHead(nil, 'N', len(text)), text...)
}

// Guards against a barrier to a member that drains or is gone, which would be something new to it, and against a connection to it that is
// kept.
func TestNothingIsSentToAnUnavailableMemberBehindItsAnswer(t *testing.T) {
	f := newFixture(t, ms, true)
	f.send(1, time.Hour+time.Second, time.Hour+time.Second, 100)
	f.loop.At(time.Hour+4*ms, func() { f.pool.SetAvailable(1, false) }) // before the answer
	f.check(t, 1, driver.Misdirected, 1)
	if f.member.barriers != 0 || f.member.closed != 1 || f.pool.Open() != 0 {
		t.Errorf("%d barriers, %d connections closed, %d open", f.member.barriers, f.member.closed, f.pool.Open())
	}
}

// Guards against a connection that waits without end for the answer to a barrier, and against one that is closed too early as the time of
// an earlier barrier is over.
func TestUnansweredBarrierClosesTheConnection(t *testing.T) {
	const connectTimeout, later = 250 * ms, 200 * ms
	f := newFixture(t, ms, true)
	f.member.maxBarriers = 1
	f.send(1, time.Hour+time.Second, time.Hour+time.Second, 100)
	f.loop.At(time.Hour+later, func() { f.send(2, time.Hour+time.Second, time.Hour+time.Second, 100) })
	f.check(t, 2, driver.Misdirected, 2)
	closedAfter := f.member.closedAt - time.Hour - later
	if f.member.opened != 1 || f.member.closed != 1 || closedAfter < connectTimeout || closedAfter > connectTimeout+20*ms {
		t.Errorf("%d of %d connections closed, the last one %v after the second attempt", f.member.closed, f.member.opened, closedAfter)
	}
	if f.recorder.counts["members_closed_silent"] != 1 {
		t.Errorf("counters: %v", f.recorder.counts)
	}
}
