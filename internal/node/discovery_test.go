package node

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// startDiscovery starts a discovery service and returns its address. It sends to calls for each request, and answers with the next text
// from answers.
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

// Changes of the endpoint list (a new address, a draining member, a new member) must be applied while RPCs are served, and a failed request
// to discovery must leave the last list in force.
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
	query := func(id, want string) {
		t.Helper()
		if got := c.query(t, taggedStatement(id, "order", 400, 0)); got != want {
			t.Fatalf("%s: the client received %s", id, got)
		}
	}
	publish := func(lists ...string) {
		for _, list := range lists {
			answers <- list
			<-calls // the next request shows that the driver has read this list
		}
	}
	<-calls
	query("a1", "ok value of a1")
	slow := dialPG(t, d.address)
	slow.Write(queryMessage(taggedStatement("slow", "order", 5000, 0)))
	waitFor(t, "the slow attempt reaches the member", func() bool { return len(first.seen()) >= 2 })
	publish(endpointList(2, false), endpointList(3, false, endpointEntry(1, 0, second.listener.Addr(), "in_service"))) // its address has changed
	if got := slow.readAnswer(); got != "ok value of slow" {
		t.Fatalf("RPC in flight when the address of its member changed: the client received %s", got)
	}
	query("a2", "ok value of a2")
	if len(first.seen()) != 2 || len(second.seen()) != 1 {
		t.Fatalf("the first member received %d attempts, the second %d, want 2 and 1", len(first.seen()), len(second.seen()))
	}
	publish(endpointList(4, false, endpointEntry(1, 0, second.listener.Addr(), "terminating")))
	query("a3", codeRejected)
	publish(`{"rev":"broken"}`) // a failed request: the last list stays in force
	query("a4", codeRejected)
	publish(endpointList(5, true, endpointEntry(2, 0, first.listener.Addr(), "in_service")))
	query("a5", "ok value of a5")
	if len(second.seen()) != 1 {
		t.Errorf("a draining member received %d attempts", len(second.seen())-1)
	}
}

// Guards against a barrier, which would be something new, to a member whose answer comes once the driver knows that it drains or is gone.
func TestMembersThatLeaveGetNoBarrier(t *testing.T) {
	for name, test := range map[string]struct {
		list     func(m *fakeMember) string
		barriers int
	}{
		"stays": {func(*fakeMember) string { return endpointList(2, false) }, 1},
		"draining": {func(m *fakeMember) string {
			return endpointList(2, false, endpointEntry(1, 0, m.listener.Addr(), "terminating"))
		}, 0},
		"removed": {func(m *fakeMember) string {
			return endpointList(2, false, endpointEntry(1, 0, m.listener.Addr(), "terminated"))
		}, 0},
		"not listed": {func(*fakeMember) string {
			return endpointList(2, true, endpointEntry(2, 0, listenLocal(t).Addr(), "in_service"))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan bool)
			m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
				<-release
				return respondAsLeader(c, q)
			})
			calls, answers := make(chan bool, 100), make(chan string)
			d := startDriver(t, startDiscovery(t, calls, answers), 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
			c := dialPG(t, d.address)
			<-calls
			c.Write(queryMessage(taggedStatement("slow", "order", 5000, 0)))
			waitFor(t, "the attempt reaches the member", func() bool { return len(m.seen()) == 1 })
			answers <- test.list(m)
			<-calls // the driver has read the list
			close(release)
			if got := c.readAnswer(); got != "ok value of slow" {
				t.Errorf("the client received %s", got)
			}
			time.Sleep(100 * time.Millisecond)
			m.mutex.Lock()
			defer m.mutex.Unlock()
			if m.barriers != test.barriers {
				t.Errorf("%d barriers behind the answer, want %d", m.barriers, test.barriers)
			}
		})
	}
}
