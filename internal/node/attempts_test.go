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
	name, want, outcome string // want is the answer that the client must receive
	onConnect           func(net.Conn) bool
	respond             func(net.Conn, *receivedQuery) bool // nil if the member does not listen
	member              *fakeMember
}

func closeAtOnce(net.Conn) bool { return false }

var connectionFailures = []connectionFailure{
	{name: "refused", want: codeRejected, outcome: "no_connection"},
	{name: "closes on connect", want: codeRejected, outcome: "no_connection", onConnect: closeAtOnce, respond: respondAsLeader},
	{name: "does not answer the startup message", want: codeRejected, outcome: "no_connection", onConnect: waitForClose, respond: respondAsLeader},
	{name: "has too many connections", want: codeRejected, outcome: "full", respond: respondAsLeader, onConnect: func(c net.Conn) bool {
		c.Write(pgwire.AppendError(nil, true, "53300", "too many", -1))
		return false
	}},
	{name: "speaks another protocol", want: codeRejected, outcome: "no_connection", respond: respondAsLeader, onConnect: func(c net.Conn) bool {
		c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		return false
	}},
	{name: "closes on the query", want: codeAborted, outcome: "broken", respond: func(net.Conn, *receivedQuery) bool { return false }},
	{name: "closes in the middle of the answer", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(rowResponse("half")[:30])
		return false
	}},
	{name: "answers with an invalid message", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write([]byte{'D', 255, 255, 255, 255, 1, 2})
		return waitForClose(c)
	}},
	{name: "answers without a row", want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendCommandComplete(nil, "SELECT 0"))
		return true
	}},
	{name: "does not answer", want: codeAborted, outcome: "timed_out", respond: func(c net.Conn, q *receivedQuery) bool { return waitForClose(c) }},
	{name: "answers with an error", want: codeAborted, outcome: "failed", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "XX000", "leader") }},
	{name: "answers with a fatal error and closes", want: codeAborted, outcome: "failed", respond: func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendError(nil, true, "XX000", "no", -1))
		return false
	}},
	{name: "rejects because it is full", want: codeRejected, outcome: "full", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "53300", "leader") }},
	{name: "rejects because it is not the primary", want: codeRejected, outcome: "miss", respond: func(c net.Conn, q *receivedQuery) bool { return respondError(c, "25006", "follower") }},
	{name: "sends more than one answer", want: "ok value of f14", outcome: "ok", respond: func(c net.Conn, q *receivedQuery) bool {
		respondOK(c, q, "leader")
		c.Write(rowResponse("more"))
		return true
	}},
}

// corruptAnswers returns answers that violate the protocol, keyed by a description of the fault.
func corruptAnswers() map[string][]byte {
	valid := pgwire.AppendReady(appendReport(rowResponse("value"), "leader"))
	row, tag := bytes.Index(valid, []byte("value")), bytes.Index(valid, []byte("SELECT 1"))
	return map[string][]byte{
		"row shorter than its value":               slices.Replace(bytes.Clone(valid), row-4, row, 0, 0, 0, 4),
		"value length of 3 GB":                     slices.Replace(bytes.Clone(valid), row-4, row, 0xb2, 0xd0, 0x5e, 0),
		"row with two columns":                     slices.Replace(bytes.Clone(valid), row-6, row-4, 0, 2),
		"row description without columns":          slices.Replace(bytes.Clone(valid), 5, 7, 0, 0),
		"invalid command tag":                      slices.Replace(bytes.Clone(valid), tag, tag+1, 7),
		"command tag without terminator":           slices.Replace(bytes.Clone(valid), tag+8, tag+9, '1'),
		"row sent twice":                           slices.Insert(bytes.Clone(valid), row-11, valid[row-11:row+5]...),
		"invalid transaction status":               slices.Replace(bytes.Clone(valid), len(valid)-1, len(valid), 'x'),
		"error without a code":                     pgwire.AppendReady(append(pgwire.AppendHead(nil, 'E', 6), "SERR\x00\x00"...)),
		"error with an invalid code":               pgwire.AppendReady(pgwire.AppendError(nil, false, "5330\x01", "no", -1)),
		"parameter without a value":                append(append(pgwire.AppendHead(nil, 'S', 2), "x\x00"...), valid...),
		"rejection followed by an invalid message": append(pgwire.AppendError(nil, false, "53300", "no", -1), 'Z', 0, 0, 0, 5, 'x'),
		"startup response instead of an answer":    pgwire.AppendAuthenticationOK(nil, 1, 1),
	}
}

// Each member has a group of its own and fails in its own way. An attempt must be reported as not run only if the bytes on the
// connection prove it: otherwise a write could be retried and run twice.
func TestOutcomesOfConnectionFailures(t *testing.T) {
	failures := slices.Clone(connectionFailures)
	for name, answer := range corruptAnswers() {
		failures = append(failures, connectionFailure{name: name, want: codeAborted, outcome: "broken", respond: func(c net.Conn, q *receivedQuery) bool {
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
			t.Errorf("%d attempts counted as %s, want at least %d", d.counters[counter], counter, count)
		}
	}
	if d.counters["attempts_sent"] != d.outcomes() || d.rpcs.Len() != 0 || d.members.pools[0].InFlight() != 0 {
		t.Errorf("%d RPCs and %d attempts left over, counters %v", d.rpcs.Len(), d.members.pools[0].InFlight(), d.counters)
	}
}

// check sends an RPC to the group of the failing member, and checks what the client and the member receive.
func (f connectionFailure) check(t *testing.T, d *runningDriver, group int) {
	id := fmt.Sprintf("f%d", group)
	began := time.Now()
	if got := dialPG(t, d.address).query(t, taggedStatement(id, "pay", 600, group)); got != f.want {
		t.Errorf("%s: the client received %s, want %s", f.name, got, f.want)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%s: the answer took %v", f.name, took)
	}
	received := f.member.seen()
	for _, q := range received {
		if field(q.text, "id") != id || field(q.text, "k") != "key-"+id ||
			!strings.HasSuffix(q.text, " */ INSERT INTO items (id, doc) VALUES ('"+id+"', 'x')") {
			t.Errorf("%s: the member received %q", f.name, q.text)
		}
		if left, err := strconv.Atoi(field(q.text, "d")); err != nil || left < 1 || left > 600 {
			t.Errorf("%s: the member was given a deadline of %s ms, want 1 to 600", f.name, field(q.text, "d"))
		}
	}
	if len(received) > 1 && f.want == codeAborted {
		t.Errorf("%s: %d attempts though the first may have run, want 1", f.name, len(received))
	}
}

// A member that stops in the middle of an answer must not make the client wait until its deadline. A client whose member does not
// answer at all must receive an error before its deadline.
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
	c.query(t, taggedStatement("any", "order", 5000, 0)) // the driver learns the primary
	began := time.Now()
	if got := c.query(t, taggedStatement("short", "pay", 5000, 0)); got != codeAborted || time.Since(began) > time.Second {
		t.Errorf("the client received %[2]s after %[1]v", time.Since(began), got)
	}
	began = time.Now()
	if got := c.query(t, taggedStatement("silent", "pay", 400, 0)); got != codeAborted || time.Since(began) >= 400*time.Millisecond {
		t.Errorf("the client received %[2]s after %[1]v of its 400 ms", time.Since(began), got)
	}
}

// The attempt of a client that disconnects must be cancelled, as the member would work for nobody.
func TestDisconnectedClientReleasesTheMember(t *testing.T) {
	closed := make(chan bool, 1)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		waitForClose(c)
		closed <- true
		return false
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	c.Write(queryMessage(taggedStatement("a1", "order", 20000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	c.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection of the attempt is still open after 5 s")
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["attempts_cancelled"] != 1 {
		t.Errorf("counters %v", d.counters)
	}
}

// A member closes connections that are idle for too long. The driver must not send an RPC on a connection that is near this limit.
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
		t.Errorf("%d connections for two RPCs without a pause and one after the idle limit, want 2", m.connections)
	}
}

// A panic in the module may leave an RPC without an answer. Its client must be told that the RPC may have run, and other RPCs must be
// served.
func TestPanicAbortsOnlyItsRPC(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	n.module = new(rules.Router) // every call panics
	d := runDriver(t, n)
	for range 3 {
		if got := dialPG(t, d.address).query(t, taggedStatement("a1", "order", 100, 0)); got != codeAborted+"closed" {
			t.Fatalf("the client received %s", got)
		}
	}
	time.Sleep(200 * time.Millisecond)
	d.stop()
	if d.counters["rpcs_taken"] != 3 || d.counters["rpcs_overdue"] != 3 || d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs left over, counters %v", d.rpcs.Len(), d.counters)
	}
}
