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
		t.Errorf("%d connections were opened for RPCs that came one after the other", m.connections)
	}
}

func TestInvalidInputIsAnswered(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	for _, text := range []string{
		"SELECT 1", "/* c=look,d=100 */ SELECT 'x'", "/* c=none,d=100,cluster=0 */ SELECT 'x'", "/* c=look,d=soon,cluster=0 */ SELECT 'x'",
		"/* c=look,d=100,cluster=0 */", "/* c=look,d=100,cluster=70000 */ SELECT 'x'", "/* never ends",
	} {
		if got := c.query(t, text); got != codeInvalidRequest {
			t.Errorf("%q is answered by %s", text, got)
		}
	}
	if got := c.query(t, taggedStatement("a1", "order", 5000, 0)); got != "ok value of a1" || len(m.seen()) != 1 {
		t.Errorf("after bad statements: %s, the member saw %d", got, len(m.seen()))
	}
	c = dialPG(t, d.address)
	good := taggedStatement("a2", "order", 5000, 0)
	for _, change := range []string{"id=a2,>", "d=5000>d=0", "d=5000>d=-5000", "d=5000>d=5000,d=1", "k=key-a2,>", "id=a2>id=a2,id=a3", "d=5000>d=5000,after=soon",
		"d=5000>d=5000,after=99999999999999"} {
		old, new, _ := strings.Cut(change, ">")
		if got := c.query(t, strings.Replace(good, old, new, 1)); got != codeInvalidRequest {
			t.Errorf("with %q the client hears %s", change, got)
		}
	}
	for range 20 { // a client that continues like this is disconnected
		c.Write(queryMessage("SELECT 1"))
	}
	if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("to one useless query after the other: %s", got)
	}
	if got := c.readAnswer(); got != "closed" {
		t.Errorf("the client is still heard: %s", got)
	}
	c = dialPG(t, d.address) // a client that is still sending hears it too
	go c.Write(append(pgwire.AppendHead(nil, 'Q', 60<<20), make([]byte, 60<<20)...))
	if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("a value of 60 MB: %s", got)
	}
	for what, bytes := range map[string][]byte{
		"a length that cannot be": {'Q', 255, 255, 255, 255}, "another message": {'P', 0, 0, 0, 4},
		"a text without end": {'Q', 0, 0, 0, 5, 'x'}, "a text of nothing": {'Q', 0, 0, 0, 4},
	} {
		c := dialPG(t, d.address)
		c.Write(bytes)
		if got := c.readAnswer(); got != codeInvalidRequest+"closed" {
			t.Errorf("%s: %s", what, got)
		}
	}
}

// Input behind an RPC in flight that is invalid or has its id neither waits for it nor reaches a member.
func TestInvalidInputBehindAnRPCInFlight(t *testing.T) {
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		time.Sleep(500 * time.Millisecond)
		return respondAsLeader(c, q)
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	first, same, bad := dialPG(t, d.address), dialPG(t, d.address), dialPG(t, d.address)
	first.Write(queryMessage(taggedStatement("a1", "order", 5000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	if got := same.query(t, taggedStatement("a1", "order", 5000, 0)); got != codeInvalidRequest {
		t.Errorf("the id of an open RPC: %s", got)
	}
	bad.Write(append(queryMessage(taggedStatement("a2", "order", 5000, 0)), queryMessage("SET x = 1")...))
	time.Sleep(50 * time.Millisecond)
	bad.Write([]byte{'Q', 255, 255, 255, 255})
	if got := bad.readAnswer(); got != codeInvalidRequest+"closed" {
		t.Errorf("behind an open RPC: %s", got)
	}
	if got := first.readAnswer(); got != "ok value of a1" {
		t.Errorf("the RPC that was served meanwhile: %s", got)
	}
	if got := same.query(t, taggedStatement("a1", "order", 5000, 0)); got != "ok value of a1" {
		t.Errorf("the id of an RPC that is done: %s", got)
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["rpcs_ok"] != 2 || d.rpcs.Len() != 0 {
		t.Errorf("counted %v", d.counters)
	}
}

// Input that waited in the kernel, as while new connections wait for a descriptor, has that much less time left.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	short, long := dialPG(t, n.site.Listen.String()), dialPG(t, n.site.Listen.String())
	short.Write(queryMessage(taggedStatement("a1", "order", 400, 0)))
	long.Write(queryMessage(taggedStatement("a2", "order", 9000, 0)))
	time.Sleep(600 * time.Millisecond)
	runDriver(t, n)
	if got := short.readAnswer(); got != codeRejected {
		t.Errorf("an RPC whose time was over hears %s", got)
	}
	if got := long.readAnswer(); got != "ok value of a2" {
		t.Errorf("an RPC with time left hears %s", got)
	}
	for _, q := range m.seen() {
		if left, _ := strconv.Atoi(field(q.text, "d")); field(q.text, "id") != "a2" || left > 8450 {
			t.Errorf("the member was sent %q", q.text)
		}
	}
}

// A value of 512 KiB is carried in both directions: in hex within the statement, unchanged in the answer.
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
			t.Fatalf("the client hears %.40s of %d bytes", got, len(got))
		}
		if seen := m.seen(); len(seen) != i+1 || len(seen[i].text) < 1<<20 {
			t.Fatalf("%d statements reached the member", len(seen))
		}
	}
}

func TestSlowReadersGetAllInOrder(t *testing.T) {
	value := strings.Repeat("v", 60000)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendReady(appendReport(rowResponse(field(q.text, "id")+value), "leader")))
		return true
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	slow, quick := dialPG(t, d.address), dialPG(t, d.address)
	const queries = 200 // 12 MB: more than the sockets take
	for i := range queries {
		slow.Write(queryMessage(taggedStatement(fmt.Sprint(i), "look", 20000, 0)))
	}
	for i := range 20 {
		if got := quick.query(t, taggedStatement(fmt.Sprint("q", i), "order", 5000, 0)); got != "ok q"+fmt.Sprint(i)+value {
			t.Fatalf("the quick client hears %.40s", got)
		}
	}
	for i := range queries {
		if got := slow.readAnswer(); got != "ok "+fmt.Sprint(i)+value {
			t.Fatalf("answer %d is %.40s", i, got)
		}
	}
}
