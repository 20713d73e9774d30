package node

import (
	"net"
	"testing"
	"time"
)

// A driver that is shut down answers RPCs in flight and those that arrive early in the shutdown, on old and new connections. Then it closes
// its connections and its listener.
func TestGracefulShutdownAnswersAll(t *testing.T) {
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		if field(q.text, "id") == "a1" {
			time.Sleep(900 * time.Millisecond)
		}
		return respondAsLeader(c, q)
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	busy, idle := dialPG(t, d.address), dialPG(t, d.address)
	if got := idle.query(t, ""); got != "empty" {
		t.Fatal(got)
	}
	busy.Write(queryMessage(taggedStatement("a1", "order", 5000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	stopped := make(chan bool)
	go func() {
		d.stop()
		close(stopped)
	}()
	time.Sleep(500 * time.Millisecond) // SIGKILL cannot come before the deadline of an RPC that is sent now
	newcomer := dialPG(t, d.address)
	if got := newcomer.query(t, taggedStatement("a2", "own", 5000, 0)); got != "ok value of a2" {
		t.Errorf("an RPC on a new connection is answered %s", got)
	}
	for _, id := range []string{"a3", "a4", "a5"} {
		if got := idle.query(t, taggedStatement(id, "own", 5000, 0)); got != "ok value of "+id {
			t.Errorf("an RPC on an old connection is answered %s", got)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if got := busy.readAnswer(); got != "ok value of a1" {
		t.Errorf("the RPC in flight is answered %s", got)
	}
	if got := idle.readAnswer(); got != "closed" {
		t.Errorf("a client between RPCs receives %s, want the end of its connection", got)
	}
	if got := busy.readAnswer(); got != "closed" {
		t.Errorf("after its RPC the client receives %s, want the end of its connection", got)
	}
	<-stopped
	if _, err := net.Dial("tcp", d.address); err == nil {
		t.Error("the driver still accepts connections")
	}
}
