package node

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// startDiscovery starts a discovery that announces each call on a channel and answers it with the next text of another.
func startDiscovery(t *testing.T, calls chan bool, answers chan string) string {
	l := listenLocal(t)
	go serveConnections(l, func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if line != "\r\n" {
				continue
			}
			calls <- true
			body := <-answers
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:4], len(body)-4, body[4:])
		}
	})
	return l.Addr().String()
}

func TestEndpointListChangesAreApplied(t *testing.T) {
	first, second := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		if field(q.text, "id") == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		return respondAsLeader(c, q)
	}), startFakeMember(t, respondAsLeader)
	calls, answers := make(chan bool, 100), make(chan string)
	d := startDriver(t, startDiscovery(t, calls, answers), 100, endpointList(1, true, endpointEntry(1, 0, first.listener.Addr(), "in_service")))
	c := dialPG(t, d.address)
	ask := func(id, want string) {
		t.Helper()
		if got := c.query(t, taggedStatement(id, "order", 400, 0)); got != want {
			t.Fatalf("%s: the client hears %s", id, got)
		}
	}
	change := func(texts ...string) {
		for _, text := range texts {
			answers <- text
			<-calls // the next one shows that this has been read
		}
	}
	<-calls
	ask("a1", "ok value of a1")
	slow := dialPG(t, d.address)
	slow.Write(queryMessage(taggedStatement("slow", "order", 5000, 0)))
	waitFor(t, "the slow attempt reaches the member", func() bool { return len(first.seen()) >= 2 })
	change(endpointList(2, false), endpointList(3, false, endpointEntry(1, 0, second.listener.Addr(), "in_service"))) // its address has changed
	if got := slow.readAnswer(); got != "ok value of slow" {
		t.Fatalf("an RPC that was out when its member moved hears %s", got)
	}
	ask("a2", "ok value of a2")
	if len(first.seen()) != 2 || len(second.seen()) != 1 {
		t.Fatalf("%d and %d attempts", len(first.seen()), len(second.seen()))
	}
	change(endpointList(4, false, endpointEntry(1, 0, second.listener.Addr(), "terminating")))
	ask("a3", codeRejected)
	change(`{"rev":"broken"}`) // a failed call: the last list holds
	ask("a4", codeRejected)
	change(endpointList(5, true, endpointEntry(2, 0, first.listener.Addr(), "in_service")))
	ask("a5", "ok value of a5")
	if len(second.seen()) != 1 {
		t.Errorf("%d attempts reached a member that drains", len(second.seen())-1)
	}
}
