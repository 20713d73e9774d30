package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/pgwire"
)

// More clients connect than there are descriptors for. Idle clients must be evicted, and new ones must wait until a descriptor is free
// instead of failing.
func TestNewClientsWaitForDescriptors(t *testing.T) {
	const limit = 40
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", limit, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	var clients []*pgClient
	for i := range 3 * limit { // more than may be connected at once
		c := dialPG(t, d.address)
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d received %s", i, got)
		}
		clients = append(clients, c)
	}
	d.stop()
	if _, peak := d.loop.DescriptorCounts(); peak > d.site.Descriptors || d.counters["clients_closed_idle"] == 0 {
		t.Errorf("%d descriptors used of %d, counters %v", peak, d.site.Descriptors, d.counters)
	}
	for _, c := range clients {
		c.Close()
	}
}

// Many clients that send nothing, send half a message, or do not read must all be evicted in the end, or they would block new clients.
func TestSilentClientsAreEvicted(t *testing.T) {
	const limit = 40
	value := strings.Repeat("v", 60000)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendReady(appendReport(rowResponse(value), "leader")))
		return true
	})
	d := startDriver(t, "", limit, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	for i, behave := range []func(c *pgClient){
		func(c *pgClient) {},
		func(c *pgClient) { c.Write(queryMessage(taggedStatement("half", "look", 5000, 0))[:20]) },
		func(c *pgClient) {
			for range 200 { // 12 MB of answers that the client does not read
				c.Write(queryMessage(taggedStatement("unread", "look", 9000, 0)))
			}
		},
	} {
		for range limit >> i {
			behave(dialPG(t, d.address))
		}
		began := time.Now()
		if got := dialPG(t, d.address).query(t, taggedStatement("last", "look", 9000, 0)); got != "ok "+value {
			t.Errorf("a client that connected after them received %.40s", got)
		} else if waited := time.Since(began); waited > 10*time.Second {
			t.Errorf("a client that connected after them was answered after %v, want 10 s at most", waited)
		}
	}
	silent := dialPG(t, d.address)
	silent.query(t, "")
	silent.SetDeadline(time.Now().Add(3 * time.Second))
	if got := silent.readAnswer(); got != "closed" {
		t.Errorf("a silent client received %s, want its connection closed", got)
	}
}

// Clients that never sent a request must be evicted first. A client that has sent one is evicted only if the descriptor is needed
// for another client that has sent one.
func TestEvictionOrder(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	var clients []*pgClient
	for i := range 40 {
		c := dialPG(t, d.address)
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d received %s", i, got)
		}
		clients = append(clients, c)
	}
	if got := clients[5].readAnswer(); got != "closed" {
		t.Errorf("an early client received %s, want its connection closed", got)
	}
	for range 4 {
		for range 20 {
			dialPG(t, d.address)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for i, c := range clients[25:] {
		if got := c.query(t, taggedStatement(fmt.Sprint("again", i), "order", 5000, 0)); got != "ok value of again"+fmt.Sprint(i) {
			t.Errorf("beside silent clients, client %d received %s", i, got)
		}
	}
}

// While discovery is down, idle clients use all descriptors. When discovery is available again, the driver must fetch the list at once,
// and serve RPCs.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	s := newScenario(t, nil, 48)
	clientLoop, err := eventloop.NewWithSystem(s.world.AddHost("clients"), 1000, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s.world.Hosts()[len(s.world.Hosts())-1].Serve(clientLoop, func() {})
	var connect func()
	connect = func() { s.dial(clientLoop).reconnect = connect } // these clients send nothing, and reconnect when they are evicted
	for range 60 {
		connect()
	}
	fetchedAt := time.Duration(0)
	s.at(5*time.Second, func() {
		l, err := eventloop.NewWithSystem(s.world.AddHost("agent"), 100, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		s.world.Hosts()[len(s.world.Hosts())-1].Serve(l, func() {})
		if _, err := l.Listen(s.node.site.Discovery, 1<<12, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			open(&requestTimer{firstInputAt: &fetchedAt, loop: l})
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	})
	s.send(5500*ms, order("b"))
	s.at(5400*ms, func() { s.client = s.dial(s.client.loop) })
	s.world.Run(epoch + 7*time.Second)
	if fetchedAt == 0 || fetchedAt > epoch+5600*ms {
		t.Errorf("the list was requested %v after discovery was available again, want 600 ms at most", fetchedAt-epoch-5*time.Second)
	}
	if got := strings.Join(s.client.received, " "); got != "value of b" {
		t.Errorf("a client that connected then received %q", got)
	}
	if inUse, _ := s.node.loop.DescriptorCounts(); inUse > 48 {
		t.Errorf("%d descriptors are open, want 48 at most", inUse)
	}
}

// requestTimer records the time of the first input on its connection.
type requestTimer struct {
	firstInputAt *time.Duration
	loop         *eventloop.Loop
}

func (r *requestTimer) Opened() {}

func (r *requestTimer) Closed(error) {}

func (r *requestTimer) Panicked(error) {}

func (r *requestTimer) Input(in []byte) int {
	if *r.firstInputAt == 0 {
		*r.firstInputAt = r.loop.Now()
	}
	return len(in)
}

// If a descriptor is needed and none is free, the driver must evict an idle client and close an idle connection to a member at once.
func TestIdleClientsAreEvictedForRequests(t *testing.T) {
	s := newScenario(t, nil, 48)
	for range 5 {
		s.dial(s.client.loop)
	}
	s.send(100*ms, order("a"))
	s.at(500*ms, func() {
		s.node.loop.At(s.world.Now(), func() {
			for range 2 {
				s.node.evictIdle()
			}
		})
	})
	s.at(450*ms, func() {
		if clients, members := s.node.listeners.openClients(), s.node.members.pools[0].Open(); clients != 6 || members != 1 {
			t.Errorf("before: %d clients and %d connections to members, want 6 and 1", clients, members)
		}
	})
	s.at(700*ms, func() {
		if clients, members := s.node.listeners.openClients(), s.node.members.pools[0].Open(); clients != 4 || members != 0 {
			t.Errorf("after: %d clients and %d connections to members, want 4 and 0", clients, members)
		}
	})
	s.world.Run(epoch + time.Second)
	if got := strings.Join(s.client.received, " "); got != "value of a" {
		t.Errorf("the client received %q", got)
	}
}

// A client that has sent a request must be kept while there is capacity, however long it is idle. A client that has sent none, or that
// sends half a message after being idle, must be evicted.
func TestIdleClientsAreKeptWhileThereIsCapacity(t *testing.T) {
	s := newScenario(t, nil, 100)
	silent := s.dial(s.client.loop)
	partial := s.dial(s.client.loop)
	send := func(c *scriptedClient, after time.Duration, bytes []byte) {
		s.at(after, func() { c.loop.At(s.world.Now(), func() { c.stream.Send(bytes) }) })
	}
	s.send(100*ms, order("a"))
	send(partial, 100*ms, queryMessage(order("h")))
	send(partial, 15*time.Second, queryMessage("")) // an empty query, which is not an RPC
	send(partial, 20*time.Second, queryMessage(order("i"))[:30])
	s.send(30*time.Second, order("b"))
	s.world.Run(epoch + 31*time.Second)
	if got := strings.Join(s.client.received, " "); got != "value of a value of b" || s.client.closedAt != 0 {
		t.Errorf("the idle client received %q and was evicted after %v, want two answers and no eviction", got, s.client.closedAt-epoch)
	}
	if closedAfter := silent.closedAt - epoch; closedAfter < 2*time.Second || closedAfter > 2500*ms {
		t.Errorf("a client without any request was evicted after %v, want 2 s to 2.5 s", closedAfter)
	}
	if closedAfter := partial.closedAt - epoch; closedAfter < 21900*ms || closedAfter > 22500*ms {
		t.Errorf("a client that sent half a message after 20 s was evicted after %v, want 21.9 s to 22.5 s", closedAfter)
	}
	if s.node.counters["clients_accepted"] != 3 {
		t.Errorf("%d connections accepted, want 3", s.node.counters["clients_accepted"])
	}
}

// Once idle connections use their full share of descriptors, the one that has been idle longest must be closed first.
func TestLongestIdleConnectionIsEvictedFirst(t *testing.T) {
	s := newScenario(t, nil, 100)
	clients := make([]*scriptedClient, 40)
	for i := range clients {
		s.at(time.Duration(100+i*100)*ms, func() {
			c := s.dial(s.client.loop)
			clients[i] = c
			c.loop.Defer(func() { c.stream.Send(queryMessage(order(fmt.Sprint("o", i)))) })
		})
	}
	s.world.Run(epoch + 10*time.Second)
	kept := 0
	for i, c := range clients {
		if len(c.received) != 1 || c.received[0] != fmt.Sprint("value of o", i) {
			t.Errorf("client %d received %v", i, c.received)
		}
		if c.closedAt == 0 {
			kept++
		} else if kept > 0 {
			t.Errorf("client %d was evicted, and one that has been idle longer was kept", i)
		}
	}
	if kept < 15 || kept > 21 {
		t.Errorf("%d idle clients kept, want about a fifth of 100 descriptors", kept)
	}
}
