package node

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pgwire"
	"passtack/rules"
)

// connectionFailure is a way in which a connection to a member, or an attempt on it, fails.
type connectionFailure struct {
	what, want, outcome string // want is what the client receives
	onConnect           func(net.Conn) bool
	respond             func(net.Conn, *receivedQuery) bool // nil: nobody listens
	member              *fakeMember
}

func hangUp(net.Conn) bool { return false }

var connectionFailures = []connectionFailure{
	{what: "refused", want: codeRejected, outcome: "no_connection"},
	{what: "hangs up on the connect", want: codeRejected, outcome: "no_connection", onConnect: hangUp, respond: respondAsLeader},
	{what: "says nothing on the connect", want: codeRejected, outcome: "no_connection", onConnect: waitForClose, respond: respondAsLeader},
	{what: "has too many connections", want: codeRejected, outcome: "full", respond: respondAsLeader, onConnect: func(c net.Conn) bool {
		c.Write(pgwire.AppendError(nil, true, "53300", "too many", -1))
		return false
	}},
	{what: "speaks something else", want: codeRejected, outcome: "no_connection", respond: respondAsLeader, onConnect: func(c net.Conn) bool {
		c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		return false
	}},
	{what: "hangs up on the query", want: codeAborted, outcome: "broken", respond: func(net.Conn, *receivedQuery) bool { return false }},
	{what: "hangs up mid answer", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(rowResponse("half")[:30])
		return false
	}},
	{what: "answers garbage", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write([]byte{'D', 255, 255, 255, 255, 1, 2})
		return waitForClose(c)
	}},
	{what: "answers without a row", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendCommandComplete(nil, "SELECT 0"))
		return true
	}},
	{what: "says nothing", want: codeAborted, outcome: "timed_out", respond: func(c net.Conn, q *receivedQuery) bool { return waitForClose(c) }},
	{what: "fails", want: codeAborted, outcome: "failed", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "XX000", "leader") }},
	{what: "fails and hangs up", want: codeAborted, outcome: "failed", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendError(nil, true, "XX000", "no", -1))
		return false
	}},
	{what: "is full", want: codeRejected, outcome: "full", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "53300", "leader") }},
	{what: "is no primary", want: codeRejected, outcome: "miss", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "25006", "follower") }},
	{what: "says more than was asked", want: "ok value of f14", outcome: "ok", respond: func(c net.Conn, q *receivedQuery) bool {
		respondOK(c, q, "leader")
		c.Write(rowResponse("more"))
		return true
	}},
}

// corruptAnswers are answers that break the protocol, by what is wrong with them.
func corruptAnswers() map[string][]byte {
	whole := pgwire.AppendReady(appendReport(rowResponse("value"), "leader"))
	row, tag := bytes.Index(whole, []byte("value")), bytes.Index(whole, []byte("SELECT 1"))
	return map[string][]byte{
		"gives a row that is too short":     slices.Replace(bytes.Clone(whole), row-4, row, 0, 0, 0, 4),
		"gives a row of 3 GB":               slices.Replace(bytes.Clone(whole), row-4, row, 0xb2, 0xd0, 0x5e, 0),
		"gives two columns":                 slices.Replace(bytes.Clone(whole), row-6, row-4, 0, 2),
		"describes no column":               slices.Replace(bytes.Clone(whole), 5, 7, 0, 0),
		"ends a command with noise":         slices.Replace(bytes.Clone(whole), tag, tag+1, 7),
		"ends a command without its end":    slices.Replace(bytes.Clone(whole), tag+8, tag+9, '1'),
		"gives its row twice":               slices.Insert(bytes.Clone(whole), row-11, whole[row-11:row+5]...),
		"is ready for something else":       slices.Replace(bytes.Clone(whole), len(whole)-1, len(whole), 'x'),
		"gives an error without a code":     pgwire.AppendReady(append(pgwire.AppendHead(nil, 'E', 6), "SERR\x00\x00"...)),
		"gives an error whose code is none": pgwire.AppendReady(pgwire.AppendError(nil, false, "5330\x01", "no", -1)),
		"gives a parameter without a value": append(append(pgwire.AppendHead(nil, 'S', 2), "x\x00"...), whole...),
		"turns it away but not wholly":      append(pgwire.AppendError(nil, false, "53300", "no", -1), 'Z', 0, 0, 0, 5, 'x'),
		"greets instead":                    pgwire.AppendAuthenticationOK(nil, 1, 1),
	}
}

// Each member has a group and a way to fail of its own. The outcome must be what the bytes on the wire prove, and no more.
func TestOutcomesOfConnectionFailures(t *testing.T) {
	failures := slices.Clone(connectionFailures)
	for what, answer := range corruptAnswers() {
		failures = append(failures, connectionFailure{what: what, want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
			c.Write(answer)
			return waitForClose(c)
		}})
	}
	var targets []string
	minOutcomes := make(map[string]int)
	for i := range failures {
		f := &failures[i]
		f.member = startFakeMember(t, f.respond)
		f.member.onConnect = f.onConnect
		if f.respond == nil {
			f.member.listener.Close()
		}
		minOutcomes["attempts_"+f.outcome]++
		targets = append(targets, endpointEntry(i, i, f.member.listener.Addr(), "in_service"))
	}
	d := startDriver(t, "", 100, endpointList(1, true, targets...))
	var all sync.WaitGroup
	for i, f := range failures {
		all.Go(func() { f.check(t, d, i) })
	}
	all.Wait()
	d.stop()
	for counter, count := range minOutcomes {
		if d.counters[counter] < count {
			t.Errorf("%d attempts counted as %s, at least %d wanted", d.counters[counter], counter, count)
		}
	}
	if d.counters["attempts_sent"] != d.outcomes() || d.rpcs.Len() != 0 || d.members.pools[0].InFlight() != 0 {
		t.Errorf("%d RPCs and %d attempts are left, counted %v", d.rpcs.Len(), d.members.pools[0].InFlight(), d.counters)
	}
}

// check sends an RPC to the group of the member that fails, and checks what the client and the member receive.
func (f connectionFailure) check(t *testing.T, d *runningDriver, group int) {
	id := fmt.Sprintf("f%d", group)
	began := time.Now()
	if got := dialPG(t, d.address).query(t, taggedStatement(id, "pay", 600, group)); got != f.want {
		t.Errorf("%s: the client receives %s, not %s", f.what, got, f.want)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%s: the answer took %v", f.what, took)
	}
	received := f.member.seen()
	for _, q := range received {
		if field(q.text, "id") != id || field(q.text, "k") != "key-"+id ||
			!strings.HasSuffix(q.text, " */ INSERT INTO items (id, doc) VALUES ('"+id+"', 'x')") {
			t.Errorf("%s: the member was sent %q", f.what, q.text)
		}
		if left, err := strconv.Atoi(field(q.text, "d")); err != nil || left < 1 || left > 600 {
			t.Errorf("%s: the member is told of %s ms", f.what, field(q.text, "d"))
		}
	}
	if len(received) > 1 && f.want == codeAborted {
		t.Errorf("%s: %d attempts of which one may have run", f.what, len(received))
	}
}

// A truncated answer is not waited for until the client's deadline; if no answer comes, the client is told before that.
func TestTruncatedAnswers(t *testing.T) {
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		switch field(q.text, "id") {
		case "silent":
			return waitForClose(c)
		case "short":
			c.Write(rowResponse("value of short")[:40])
			return waitForClose(c)
		}
		return respondAsLeader(c, q)
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	c.query(t, taggedStatement("any", "order", 5000, 0)) // shows who the primary is
	began := time.Now()
	if got := c.query(t, taggedStatement("short", "pay", 5000, 0)); got != codeAborted || time.Since(began) > time.Second {
		t.Errorf("after %v the client hears %s", time.Since(began), got)
	}
	began = time.Now()
	if got := c.query(t, taggedStatement("silent", "pay", 400, 0)); got != codeAborted || time.Since(began) >= 400*time.Millisecond {
		t.Errorf("after %v of 400 ms the client hears %s", time.Since(began), got)
	}
}

func TestDisconnectedClientReleasesTheMember(t *testing.T) {
	gone := make(chan bool, 1)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		waitForClose(c)
		gone <- true
		return false
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	c.Write(queryMessage(taggedStatement("a1", "order", 20000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	c.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the attempt goes on")
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["attempts_cancelled"] != 1 {
		t.Errorf("counted %v", d.counters)
	}
}

func TestConnectionsNearTheirIdleLimitAreNotUsed(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := runDriver(t, buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")),
		strings.Replace(testSettings, `"idle_close_us":15000000`, `"idle_close_us":1200000`, 1)))
	c := dialPG(t, d.address)
	for i, wait := range []time.Duration{0, 0, 1300 * time.Millisecond} {
		time.Sleep(wait)
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("RPC %d: %s", i, got)
		}
	}
	if m.connections != 2 {
		t.Errorf("%d connections for two RPCs at once and one after the idle limit", m.connections)
	}
}

// A panic of the module may leave an RPC without an answer. Its client hears that it may have run, and other RPCs are served.
func TestPanicAbortsOnlyItsRPC(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	n.module = new(rules.Router) // every call of it panics
	d := runDriver(t, n)
	for range 3 {
		if got := dialPG(t, d.address).query(t, taggedStatement("a1", "order", 100, 0)); got != codeAborted+"closed" {
			t.Fatalf("the client hears %s", got)
		}
	}
	time.Sleep(200 * time.Millisecond)
	d.stop()
	if d.counters["rpcs_taken"] != 3 || d.counters["rpcs_overdue"] != 3 || d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs are left, counted %v", d.rpcs.Len(), d.counters)
	}
}
