package node

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// However the bytes of three pipelined queries are split between reads, each must be answered, in order.
func TestQueriesSplitAnywhereAreAnsweredInOrder(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	all := pgwire.AppendStartup(nil, "app", "shop")
	all = append(append(append(all, queryMessage(taggedStatement("a1", "order", 5000, 0))...), queryMessage("SET x = 1")...), queryMessage(taggedStatement("a2", "look", 5000, 0))...)
	for split := range len(all) {
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		c := &pgClient{conn, bufio.NewReader(conn)}
		c.Write(all[:split])
		if split%8 == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Write(all[split:])
		if a, b, e := c.readAnswer(), c.readAnswer(), c.readAnswer(); a != "ok value of a1" || b != "done" || e != "ok value of a2" {
			t.Fatalf("split at %d: %s, %s, %s", split, a, b, e)
		}
		c.Close()
	}
	if m.connections > 3 {
		t.Errorf("%d connections to the member for sequential RPCs, want at most 3", m.connections)
	}
}

// Invalid statements must be answered with an error and must not reach a member. A client that sends many of them, or an invalid
// message, is disconnected.
func TestInvalidInputIsAnswered(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	for _, text := range []string{
		"SELECT 1", "/* c=look,d=100 */ SELECT 'x'", "/* c=none,d=100,cluster=0 */ SELECT 'x'", "/* c=look,d=soon,cluster=0 */ SELECT 'x'",
		"/* c=look,d=100,cluster=0 */", "/* c=look,d=100,cluster=70000 */ SELECT 'x'", "/* never ends",
	} {
		if got := c.query(t, text); got != codeInvalidRequest {
			t.Errorf("%q: the client received %s", text, got)
		}
	}
	if got := c.query(t, taggedStatement("a1", "order", 5000, 0)); got != "ok value of a1" || len(m.seen()) != 1 {
		t.Errorf("after invalid statements: the client received %s, the member %d queries", got, len(m.seen()))
	}
	c = dialPG(t, d.address)
	good := taggedStatement("a2", "order", 5000, 0)
	for _, change := range []string{"id=a2,>", "d=5000>d=0", "d=5000>d=-5000", "d=5000>d=5000,d=1", "k=key-a2,>", "id=a2>id=a2,id=a3", "d=5000>d=5000,after=soon",
		"d=5000>d=5000,after=99999999999999"} {
		old, new, _ := strings.Cut(change, ">")
		if got := c.query(t, strings.Replace(good, old, new, 1)); got != codeInvalidRequest {
			t.Errorf("with %q: the client received %s", change, got)
		}
	}
	for range 20 { // a client that sends only invalid statements is disconnected
		c.Write(queryMessage("SELECT 1"))
	}
	if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("after 20 invalid statements: the client received %s", got)
	}
	if got := c.readAnswer(); got != "closed" {
		t.Errorf("the connection is still open: the client received %s", got)
	}
	c = dialPG(t, d.address) // a client that is still sending must receive the error too
	go c.Write(append(pgwire.AppendHead(nil, 'Q', 60<<20), make([]byte, 60<<20)...))
	if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("value of 60 MB: the client received %s", got)
	}
	for name, bytes := range map[string][]byte{
		"impossible length": {'Q', 255, 255, 255, 255}, "unsupported message": {'P', 0, 0, 0, 4},
		"query without terminator": {'Q', 0, 0, 0, 5, 'x'}, "query without text": {'Q', 0, 0, 0, 4},
	} {
		c := dialPG(t, d.address)
		c.Write(bytes)
		if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
			t.Errorf("%s: the client received %s", name, got)
		}
	}
}

// Invalid input that follows an RPC in flight, or a statement with the same id on another connection, must be rejected at once and must
// not reach a member.
func TestInvalidInputBehindAnRPCInFlight(t *testing.T) {
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		time.Sleep(500 * time.Millisecond)
		return respondAsLeader(c, q)
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	first, sameID, invalid := dialPG(t, d.address), dialPG(t, d.address), dialPG(t, d.address)
	first.Write(queryMessage(taggedStatement("a1", "order", 5000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	if got := sameID.query(t, taggedStatement("a1", "order", 5000, 0)); got != codeInvalidRequest {
		t.Errorf("id of an RPC in service: the client received %s", got)
	}
	invalid.Write(append(queryMessage(taggedStatement("a2", "order", 5000, 0)), queryMessage("SET x = 1")...))
	time.Sleep(50 * time.Millisecond)
	invalid.Write([]byte{'Q', 255, 255, 255, 255})
	if got := invalid.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("after an RPC in service: the client received %s", got)
	}
	if got := first.readAnswer(); got != "ok value of a1" {
		t.Errorf("RPC served meanwhile: the client received %s", got)
	}
	if got := sameID.query(t, taggedStatement("a1", "order", 5000, 0)); got != "ok value of a1" {
		t.Errorf("id of an RPC that has ended: the client received %s", got)
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["rpcs_ok"] != 2 || d.rpcs.Len() != 0 {
		t.Errorf("RPCs left over or wrongly counted, counters %v", d.counters)
	}
}

// A deadline must include the time that the input waited in the kernel, for instance while new connections wait for a descriptor.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	short, long := dialPG(t, n.site.Listen.String()), dialPG(t, n.site.Listen.String())
	short.Write(queryMessage(taggedStatement("a1", "order", 400, 0)))
	long.Write(queryMessage(taggedStatement("a2", "order", 9000, 0)))
	time.Sleep(600 * time.Millisecond)
	runDriver(t, n)
	if got := short.readAnswer(); got != codeRejected {
		t.Errorf("RPC whose deadline had passed: the client received %s", got)
	}
	if got := long.readAnswer(); got != "ok value of a2" {
		t.Errorf("RPC with time left: the client received %s", got)
	}
	for _, q := range m.seen() {
		if left, _ := strconv.Atoi(field(q.text, "d")); field(q.text, "id") != "a2" || left > 8450 {
			t.Errorf("the member received %q", q.text)
		}
	}
}

// Values of 512 KiB must pass in both directions: hex-encoded in the statement, unchanged in the answer.
func TestLargeValues(t *testing.T) {
	value := strings.Repeat("v", 512<<10)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendReady(appendReport(rowResponse(value[:len(value)-len(q.text)%2]), "leader")))
		return true
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	for i := range 20 {
		large := taggedStatement(fmt.Sprint(i), "order", 9000, 0) + " /* " + strings.Repeat("0a", 512<<10)
		if got := c.query(t, large); got[3:] != value[:len(got)-3] || len(got) < len(value) {
			t.Fatalf("the client received %.40s of %d bytes", got, len(got))
		}
		if seen := m.seen(); len(seen) != i+1 || len(seen[i].text) < 1<<20 {
			t.Fatalf("the member received %d statements", len(seen))
		}
	}
}

// A client that reads slowly must receive all answers in order and must not delay another client.
func TestSlowReadersGetAllInOrder(t *testing.T) {
	value := strings.Repeat("v", 60000)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendReady(appendReport(rowResponse(field(q.text, "id")+value), "leader")))
		return true
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	slow, quick := dialPG(t, d.address), dialPG(t, d.address)
	const queries = 200 // with 12 MB of answers, more than the socket buffers hold
	for i := range queries {
		slow.Write(queryMessage(taggedStatement(fmt.Sprint(i), "look", 20000, 0)))
	}
	for i := range 20 {
		if got := quick.query(t, taggedStatement(fmt.Sprint("q", i), "order", 5000, 0)); got != "ok q"+fmt.Sprint(i)+value {
			t.Fatalf("the quick client received %.40s", got)
		}
	}
	for i := range queries {
		if got := slow.readAnswer(); got != "ok "+fmt.Sprint(i)+value {
			t.Fatalf("answer %d is %.40s", i, got)
		}
	}
}
