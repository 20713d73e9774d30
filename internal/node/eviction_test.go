package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/pgwire"
)

func TestNewClientsWaitForDescriptors(t *testing.T) {
	const limit = 40
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", limit, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	var clients []*pgClient
	for i := range 3 * limit { // more than may be connected; idle ones are evicted
		c := dialPG(t, d.address)
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d hears %s", i, got)
		}
		clients = append(clients, c)
	}
	d.stop()
	if _, most := d.loop.DescriptorCounts(); most > d.site.Descriptors || d.counters["clients_closed_idle"] == 0 {
		t.Errorf("%d descriptors of %d, counted %v", most, d.site.Descriptors, d.counters)
	}
	for _, c := range clients {
		c.Close()
	}
}

// Clients that send nothing, half a message, or read nothing are evicted in the end, however many they are.
func TestSilentClientsAreEvicted(t *testing.T) {
	const limit = 40
	value := strings.Repeat("v", 60000)
	m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		c.Write(pgwire.AppendReady(appendReport(rowResponse(value), "leader")))
		return true
	})
	d := startDriver(t, "", limit, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	for i, says := range []func(c *pgClient){
		func(c *pgClient) {},
		func(c *pgClient) { c.Write(queryMessage(taggedStatement("half", "look", 5000, 0))[:20]) },
		func(c *pgClient) {
			for range 200 { // 12 MB that nobody reads
				c.Write(queryMessage(taggedStatement("deaf", "look", 9000, 0)))
			}
		},
	} {
		for range limit >> i {
			says(dialPG(t, d.address))
		}
		began := time.Now()
		if got := dialPG(t, d.address).query(t, taggedStatement("last", "look", 9000, 0)); got != "ok "+value {
			t.Errorf("behind them one hears %.40s", got)
		} else if waited := time.Since(began); waited > 10*time.Second {
			t.Errorf("it is heard after %v", waited)
		}
	}
	quiet := dialPG(t, d.address)
	quiet.query(t, "")
	quiet.SetDeadline(time.Now().Add(3 * time.Second))
	if got := quiet.readAnswer(); got != "closed" {
		t.Errorf("who says nothing hears %s", got)
	}
}

// Clients that have sent a request and stay are evicted for others that do; those that never sent one are evicted first.
func TestEvictionOrder(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	d := startDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")))
	var stay []*pgClient
	for i := range 40 {
		c := dialPG(t, d.address)
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d hears %s", i, got)
		}
		stay = append(stay, c)
	}
	if got := stay[5].readAnswer(); got != "closed" {
		t.Errorf("an early one hears %s", got)
	}
	for range 4 {
		for range 20 {
			dialPG(t, d.address)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for i, c := range stay[25:] {
		if got := c.query(t, taggedStatement(fmt.Sprint("again", i), "order", 5000, 0)); got != "ok value of again"+fmt.Sprint(i) {
			t.Errorf("beside those who say nothing client %d hears %s", i, got)
		}
	}
}

// Idle clients use all descriptors while discovery is down. When it returns, the list is fetched at once and RPCs are served.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	s := newScenario(t, nil, 48)
	crowd, err := loop.NewWithSystem(s.world.AddHost("crowd"), 1000, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s.world.Hosts()[len(s.world.Hosts())-1].Serve(crowd, func() {})
	var come func()
	come = func() { s.dial(crowd).reconnect = come } // they send nothing, and reconnect when they are evicted
	for range 60 {
		come()
	}
	fetched := time.Duration(0)
	s.at(5*time.Second, func() {
		l, err := loop.NewWithSystem(s.world.AddHost("agent"), 100, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		s.world.Hosts()[len(s.world.Hosts())-1].Serve(l, func() {})
		if _, err := l.Listen(s.node.site.Discovery, 1<<12, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
			open(&fetchedBy{at: &fetched, loop: l})
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	})
	s.send(5500*ms, order("b"))
	s.at(5400*ms, func() { s.client = s.dial(s.client.loop) })
	s.world.Run(epoch + 7*time.Second)
	if fetched == 0 || fetched > epoch+5600*ms {
		t.Errorf("the list was asked for %v after discovery came back", fetched-epoch-5*time.Second)
	}
	if got := strings.Join(s.client.received, " "); got != "value of b" {
		t.Errorf("a client that came then heard %q", got)
	}
	if now, _ := s.node.loop.DescriptorCounts(); now > 48 {
		t.Errorf("%d descriptors are open", now)
	}
}

type fetchedBy struct {
	at   *time.Duration
	loop *loop.Loop
}

func (f *fetchedBy) Opened() {}

func (f *fetchedBy) Closed(error) {}

func (f *fetchedBy) Panicked(error) {}

func (f *fetchedBy) Input(in []byte) int {
	if *f.at == 0 {
		*f.at = f.loop.Now()
	}
	return len(in)
}

// If a descriptor is needed and none is free, an idle client is evicted, and an idle connection to a member is closed at once.
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
			t.Errorf("%d clients and %d connections to members before", clients, members)
		}
	})
	s.at(700*ms, func() {
		if clients, members := s.node.listeners.openClients(), s.node.members.pools[0].Open(); clients != 4 || members != 0 {
			t.Errorf("%d clients and %d connections to members are left", clients, members)
		}
	})
	s.world.Run(epoch + time.Second)
	if got := strings.Join(s.client.received, " "); got != "value of a" {
		t.Errorf("it heard %q", got)
	}
}

// A client that has sent a request is kept while there is capacity, however long it is idle. One that has sent none, or half a
// message after being idle, is not.
func TestIdleClientsAreKeptWhileThereIsCapacity(t *testing.T) {
	s := newScenario(t, nil, 100)
	silent := s.dial(s.client.loop)
	halves := s.dial(s.client.loop)
	say := func(c *scriptedClient, at time.Duration, text []byte) {
		s.at(at, func() { c.loop.At(s.world.Now(), func() { c.stream.Send(text) }) })
	}
	s.send(100*ms, order("a"))
	say(halves, 100*ms, queryMessage(order("h")))
	say(halves, 15*time.Second, queryMessage("")) // which is no RPC
	say(halves, 20*time.Second, queryMessage(order("i"))[:30])
	s.send(30*time.Second, order("b"))
	s.world.Run(epoch + 31*time.Second)
	if got := strings.Join(s.client.received, " "); got != "value of a value of b" || s.client.closedAt != 0 {
		t.Errorf("who rests hears %q, and is let go after %v", got, s.client.closedAt-epoch)
	}
	if late := silent.closedAt - epoch; late < 2*time.Second || late > 2500*ms {
		t.Errorf("who never asked is let go after %v", late)
	}
	if late := halves.closedAt - epoch; late < 21900*ms || late > 22500*ms {
		t.Errorf("who said half of something after 20 s is let go after %v", late)
	}
	if s.node.counters["clients_accepted"] != 3 {
		t.Errorf("%d connections were taken in", s.node.counters["clients_accepted"])
	}
}

// Of many idle connections the longest idle is closed first, once they use their quota.
func TestLongestIdleConnectionIsEvictedFirst(t *testing.T) {
	s := newScenario(t, nil, 100)
	all := make([]*scriptedClient, 40)
	for i := range all {
		s.at(time.Duration(100+i*100)*ms, func() {
			c := s.dial(s.client.loop)
			all[i] = c
			c.loop.Defer(func() { c.stream.Send(queryMessage(order(fmt.Sprint("o", i)))) })
		})
	}
	s.world.Run(epoch + 10*time.Second)
	kept := 0
	for i, c := range all {
		if len(c.received) != 1 || c.received[0] != fmt.Sprint("value of o", i) {
			t.Errorf("client %d hears %v", i, c.received)
		}
		if c.closedAt == 0 {
			kept++
		} else if kept > 0 {
			t.Errorf("client %d is let go, and one that has rested for longer is kept", i)
		}
	}
	if kept < 15 || kept > 21 {
		t.Errorf("%d are kept, a fifth of 100 descriptors are allowed", kept)
	}
}
