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
		g := startFakeCluster(t, pair[1], 3, alwaysFault(faultNone))
		calls, answers := make(chan bool, 10), make(chan string, 10)
		answers <- endpointList(1, true, g.targets()...)
		d, at := serveOData(t, startDiscovery(t, calls, answers), 200, g, "")
		runs.Go(func() {
			r := &parityRun{t: t, name: name, clients: pair[0], cluster: g, statements: dialPG(t, d.address), requests: dialHTTP(t, at), lists: answers}
			if !r.run() {
				return
			}
			mutex.Lock()
			results[name] = r.outcomes
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

// parityRun is the same course of events with one pair of protocols.
type parityRun struct {
	t          *testing.T
	name       string
	clients    string // their protocol
	cluster    *fakeCluster
	statements *pgClient
	requests   *httpClient
	lists      chan<- string // answers of discovery

	asked    int
	outcomes []string
}

func (r *parityRun) ask(kind string, after time.Time) string {
	r.asked++
	return runOperation(r.t, r.clients, r.statements, r.requests, scriptedOperation{key: fmt.Sprintf("k%d", r.asked), kind: kind}, 400, after)
}

func (r *parityRun) record(outcome string) { r.outcomes = append(r.outcomes, outcome) }

// run reports false where no primary was found after the failover.
func (r *parityRun) run() bool {
	for range 10 {
		r.record("calm " + r.ask("write", time.Time{}) + r.ask("read", time.Time{}) + r.ask("own", time.Time{}))
	}
	r.lag()
	r.failPrimary()
	r.cluster.promote(1)
	for r.ask("write", time.Time{}) != "ok" {
		if r.asked > 100 {
			r.t.Errorf("%s: no write is ok after the failover", r.name)
			return false
		}
	}
	for range 10 {
		r.record("taken over " + r.ask("write", time.Time{}) + r.ask("own", time.Now()))
	}
	r.drain()
	return true
}

// lag checks that a read of an own write is not answered by replicas that lag.
func (r *parityRun) lag() {
	g := r.cluster
	setLag := func(lag time.Duration) {
		g.mutex.Lock()
		g.members[1].lag, g.members[2].lag = lag, lag
		g.mutex.Unlock()
	}
	setLag(5 * time.Second)
	before := len(g.receivedCalls())
	for range 10 {
		r.record("lag " + r.ask("write", time.Time{}) + r.ask("own", time.Now()))
	}
	for _, call := range g.receivedCalls()[before:] {
		if !call.write && (call.after == 0 || call.ran && call.member != 0) {
			r.t.Errorf("%s: a read behind a write asks member %d, which lags, for what is after %d", r.name, call.member, call.after)
		}
	}
	setLag(0)
}

// failPrimary checks that no replica runs a write.
func (r *parityRun) failPrimary() {
	g := r.cluster
	g.kill(0)
	before := len(g.receivedCalls())
	for range 5 {
		r.record("no primary " + r.ask("write", time.Time{}))
	}
	for _, call := range g.receivedCalls()[before:] {
		if call.ran {
			r.t.Errorf("%s: member %d runs a write though it is no primary", r.name, call.member)
		}
	}
}

// drain checks that a draining member receives nothing new.
func (r *parityRun) drain() {
	g := r.cluster
	r.lists <- endpointList(2, false, endpointEntry(2, 0, g.members[2].listener.Addr(), "terminating"))
	time.Sleep(600 * time.Millisecond) // the list has arrived and the grace period is over
	before := len(g.receivedCalls())
	for range 20 {
		r.record("drain " + r.ask("read", time.Time{}) + r.ask("own", time.Time{}))
	}
	for _, call := range g.receivedCalls()[before:] {
		if call.member == 2 {
			r.t.Errorf("%s: a draining member receives a new request", r.name)
		}
	}
}

// TestReadYourWritesAcrossProtocols writes over one protocol and reads over the other: the read sees the write, though replicas lag.
func TestReadYourWritesAcrossProtocols(t *testing.T) {
	g := startFakeCluster(t, "pg", 3, alwaysFault(faultNone))
	g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
	d, at := serveOData(t, "", 200, g, "")
	c, h := dialPG(t, d.address), dialHTTP(t, at)
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		wrote := h.do("POST", "Applications", fmt.Sprintf(`{"Id":%q}`, key))
		position := wrote.header.Get("Session-Position")
		if wrote.status != 201 || position == "" {
			t.Fatalf("the write: %d %v", wrote.status, wrote.header)
		}
		if got := c.query(t, fmt.Sprintf("/* id=r%s,c=own,d=500,cluster=0,after=%s */ SELECT doc FROM items WHERE id = '%s'", key, position, key)); !strings.HasPrefix(got, "ok") {
			t.Errorf("read over the other protocol: %s", got)
		}
		if got := h.do("GET", "Mine('"+key+"')", "", "Session-Position: "+position); got.status != 200 {
			t.Errorf("read over the same: %d %s", got.status, got.body)
		}
	}
	for _, call := range g.receivedCalls() {
		if !call.write && (call.after == 0 || call.ran && call.member != 0) {
			t.Errorf("a read that must see %d is answered by member %d, which lags", call.after, call.member)
		}
	}
}
