package node

import (
	"net"
	"testing"
	"time"
)

func TestGracefulShutdownAnswersAll(t *testing.T) {
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		if field(q.text, "id") == "a1" {
			time.Sleep(900 * time.Millisecond)
		}
		return respondAsLeader(c, q)
	})
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	held, idle := dialPG(t, d.address), dialPG(t, d.address)
	if got := idle.query(t, ""); got != "empty" {
		t.Fatal(got)
	}
	held.Write(queryMessage(taggedStatement("a1", "order", 5000, 0)))
	waitFor(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	stopped := make(chan bool)
	go func() {
		d.stop()
		close(stopped)
	}()
	time.Sleep(500 * time.Millisecond) // SIGKILL cannot come before the time of what is asked now is up
	late := dialPG(t, d.address)
	if got := late.query(t, taggedStatement("a2", "own", 5000, 0)); got != "ok value of a2" {
		t.Errorf("a newcomer hears %s", got)
	}
	for _, id := range []string{"a3", "a4", "a5"} {
		if got := idle.query(t, taggedStatement(id, "own", 5000, 0)); got != "ok value of "+id {
			t.Errorf("who was there already hears %s", got)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if got := held.readAnswer(); got != "ok value of a1" {
		t.Errorf("the held RPC hears %s", got)
	}
	if got := idle.readAnswer(); got != "closed" {
		t.Errorf("a client between RPCs hears %s", got)
	}
	if got := held.readAnswer(); got != "closed" {
		t.Errorf("after its RPC the client hears %s", got)
	}
	<-stopped
	if _, err := net.Dial("tcp", d.address); err == nil {
		t.Error("the driver is still there")
	}
}
