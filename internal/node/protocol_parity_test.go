package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var protocolPairs = [][2]string{{"pg", "pg"}, {"odata", "odata"}, {"odata", "pg"}}

// TestSameOutcomesOnAllProtocolPairs checks that replication lag, a failed primary, a failover and a draining member give the same outcomes
// over all protocols; that reads see the writes of their session, that no replica runs a write, and that a draining member receives nothing new.
func TestSameOutcomesOnAllProtocolPairs(t *testing.T) {
	var mutex sync.Mutex
	results := make(map[string][]string)
	var runs sync.WaitGroup
	for _, pair := range protocolPairs {
		name := pair[0] + " clients, " + pair[1] + " members"
		g := startCluster(t, pair[1], 3, always(fine))
		calls, answers := make(chan bool, 10), make(chan string, 10)
		answers <- listOf(1, true, g.targets()...)
		d, at := serveOData(t, startDiscovery(t, calls, answers), 200, g, "")
		runs.Go(func() {
			c, h := dial(t, d.at), dialHTTP(t, at)
			var got []string
			n := 0
			ask := func(kind string, after time.Time) string {
				n++
				return asks(t, pair[0], c, h, step{key: fmt.Sprintf("k%d", n), kind: kind}, 400, after)
			}
			record := func(what string) { got = append(got, what) }
			for range 10 {
				record("calm " + ask("write", time.Time{}) + ask("read", time.Time{}) + ask("own", time.Time{}))
			}
			g.mutex.Lock()
			g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
			g.mutex.Unlock()
			before := len(g.seen())
			for range 10 {
				record("lag " + ask("write", time.Time{}) + ask("own", time.Now()))
			}
			for _, call := range g.seen()[before:] {
				if !call.write && (call.after == 0 || call.ran && call.member != 0) {
					t.Errorf("%s: a read behind a write asks member %d, which lags, for what is after %d", name, call.member, call.after)
				}
			}
			g.mutex.Lock()
			g.members[1].lag, g.members[2].lag = 0, 0
			g.mutex.Unlock()
			g.kill(0)
			before = len(g.seen())
			for range 5 {
				record("no primary " + ask("write", time.Time{}))
			}
			for _, call := range g.seen()[before:] {
				if call.ran {
					t.Errorf("%s: member %d runs a write though it is no primary", name, call.member)
				}
			}
			g.promote(1)
			for ask("write", time.Time{}) != "ok" {
				if n > 100 {
					t.Errorf("%s: no write is ok after the takeover", name)
					return
				}
			}
			for range 10 {
				record("taken over " + ask("write", time.Time{}) + ask("own", time.Now()))
			}
			answers <- listOf(2, false, target(2, 0, g.members[2].listener.Addr(), "terminating"))
			time.Sleep(600 * time.Millisecond) // the list has arrived and the grace period is over
			before = len(g.seen())
			for range 20 {
				record("drain " + ask("read", time.Time{}) + ask("own", time.Time{}))
			}
			for _, call := range g.seen()[before:] {
				if call.member == 2 {
					t.Errorf("%s: a draining member receives a new request", name)
				}
			}
			mutex.Lock()
			results[name] = got
			mutex.Unlock()
		})
	}
	runs.Wait()
	first := results[protocolPairs[0][0]+" clients, "+protocolPairs[0][1]+" members"]
	for name, got := range results {
		if !slices.Equal(got, first) {
			t.Errorf("%s: %q\nthe first: %q", name, got, first)
		}
	}
	if len(results) == len(protocolPairs) && (first[0] != "calm okokok" || !slices.Contains(first, "no primary pushed back")) {
		t.Errorf("the run is of no use: %q", first)
	}
}

// TestReadYourWritesAcrossProtocols writes over one protocol and reads over the other: the read sees the write, though replicas lag.
func TestReadYourWritesAcrossProtocols(t *testing.T) {
	g := startCluster(t, "pg", 3, always(fine))
	g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
	d, at := serveOData(t, "", 200, g, "")
	c, h := dial(t, d.at), dialHTTP(t, at)
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		wrote := h.ask("POST", "Applications", fmt.Sprintf(`{"Id":%q}`, key))
		position := wrote.header.Get("Session-Position")
		if wrote.status != 201 || position == "" {
			t.Fatalf("the write: %d %v", wrote.status, wrote.header)
		}
		if got := c.ask(t, fmt.Sprintf("/* id=r%s,c=own,d=500,cluster=0,after=%s */ SELECT doc FROM items WHERE id = '%s'", key, position, key)); !strings.HasPrefix(got, "ok") {
			t.Errorf("read over the other protocol: %s", got)
		}
		if got := h.ask("GET", "Mine('"+key+"')", "", "Session-Position: "+position); got.status != 200 {
			t.Errorf("read over the same: %d %s", got.status, got.body)
		}
	}
	for _, call := range g.seen() {
		if !call.write && (call.after == 0 || call.ran && call.member != 0) {
			t.Errorf("a read that must see %d is answered by member %d, which lags", call.after, call.member)
		}
	}
}
