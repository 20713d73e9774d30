package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// protocolPairs are pairs of the protocol of clients and the protocol of members.
var protocolPairs = [][2]string{{"pg", "pg"}, {"odata", "odata"}, {"odata", "pg"}}

// TestSameOutcomesOnAllProtocolPairs checks that replication lag, a failed primary, a failover and a draining member have the same outcomes
// over all protocols. Reads must see the writes of their session, no replica may run a write, and a draining member must receive no new RPC.
func TestSameOutcomesOnAllProtocolPairs(t *testing.T) {
	var mutex sync.Mutex
	results := make(map[string][]string)
	var runs sync.WaitGroup
	for _, pair := range protocolPairs {
		name := pair[0] + " clients, " + pair[1] + " members"
		g := startFakeCluster(t, pair[1], 3, alwaysFault(faultNone))
		calls, answers := make(chan bool, 10), make(chan string, 10)
		answers <- endpointList(1, true, g.targets()...)
		d, odataAddress := serveOData(t, startDiscovery(t, calls, answers), 200, g, "")
		runs.Go(func() {
			r := &parityRun{t: t, name: name, clients: pair[0], cluster: g, statements: dialPG(t, d.address), requests: dialHTTP(t, odataAddress), lists: answers}
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
			t.Errorf("%s: %q\nwant as for the first pair: %q", name, got, first)
		}
	}
	if len(results) == len(protocolPairs) && (first[0] != "normal okokok" || !slices.Contains(first, "no primary pushed back")) {
		t.Errorf("the outcomes lack successes or rejections: %q", first)
	}
}

// parityRun runs the sequence of events with one pair of protocols.
type parityRun struct {
	t          *testing.T
	name       string
	clients    string // protocol of the clients
	cluster    *fakeCluster
	statements *pgClient
	requests   *httpClient
	lists      chan<- string // answers of discovery

	operations int // number of operations sent
	outcomes   []string
}

// send runs one operation of a kind and returns its outcome.
func (r *parityRun) send(kind string, after time.Time) string {
	r.operations++
	return runOperation(r.t, r.clients, r.statements, r.requests, scriptedOperation{key: fmt.Sprintf("k%d", r.operations), kind: kind}, 400, after)
}

func (r *parityRun) record(outcome string) { r.outcomes = append(r.outcomes, outcome) }

// run runs the sequence of events. It returns false if no write succeeds after the failover.
func (r *parityRun) run() bool {
	for range 10 {
		r.record("normal " + r.send("write", time.Time{}) + r.send("read", time.Time{}) + r.send("own", time.Time{}))
	}
	r.lag()
	r.failPrimary()
	r.cluster.promote(1)
	for r.send("write", time.Time{}) != "ok" {
		if r.operations > 100 {
			r.t.Errorf("%s: no write succeeded after the failover", r.name)
			return false
		}
	}
	for range 10 {
		r.record("after failover " + r.send("write", time.Time{}) + r.send("own", time.Now()))
	}
	r.drain()
	return true
}

// lag checks that lagging replicas do not answer reads that must see a write of their session.
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
		r.record("lag " + r.send("write", time.Time{}) + r.send("own", time.Now()))
	}
	for _, call := range g.receivedCalls()[before:] {
		if !call.write && (call.after == 0 || call.ran && call.member != 0) {
			r.t.Errorf("%s: a read after a write ran on lagging member %d or had no position: position %d", r.name, call.member, call.after)
		}
	}
	setLag(0)
}

// failPrimary stops the primary and checks that no replica runs a write.
func (r *parityRun) failPrimary() {
	g := r.cluster
	g.kill(0)
	before := len(g.receivedCalls())
	for range 5 {
		r.record("no primary " + r.send("write", time.Time{}))
	}
	for _, call := range g.receivedCalls()[before:] {
		if call.ran {
			r.t.Errorf("%s: member %d ran a write though it is not the primary", r.name, call.member)
		}
	}
}

// drain checks that a draining member receives no new RPC.
func (r *parityRun) drain() {
	g := r.cluster
	r.lists <- endpointList(2, false, endpointEntry(2, 0, g.members[2].listener.Addr(), "terminating"))
	time.Sleep(600 * time.Millisecond) // the list has arrived and the grace period is over
	before := len(g.receivedCalls())
	for range 20 {
		r.record("drain " + r.send("read", time.Time{}) + r.send("own", time.Time{}))
	}
	for _, call := range g.receivedCalls()[before:] {
		if call.member == 2 {
			r.t.Errorf("%s: a draining member received a new RPC", r.name)
		}
	}
}

// TestReadYourWritesAcrossProtocols writes over one protocol and reads over the other. The read must see the write though replicas lag.
func TestReadYourWritesAcrossProtocols(t *testing.T) {
	g := startFakeCluster(t, "pg", 3, alwaysFault(faultNone))
	g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
	d, odataAddress := serveOData(t, "", 200, g, "")
	c, h := dialPG(t, d.address), dialHTTP(t, odataAddress)
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		wrote := h.do("POST", "Applications", fmt.Sprintf(`{"Id":%q}`, key))
		position := wrote.header.Get("Session-Position")
		if wrote.status != 201 || position == "" {
			t.Fatalf("write: status %d, %v", wrote.status, wrote.header)
		}
		if got := c.query(t, fmt.Sprintf("/* id=r%s,c=own,d=500,cluster=0,after=%s */ SELECT doc FROM items WHERE id = '%s'", key, position, key)); !strings.HasPrefix(got, "ok") {
			t.Errorf("read over the other protocol: the client received %s", got)
		}
		if got := h.do("GET", "Mine('"+key+"')", "", "Session-Position: "+position); got.status != 200 {
			t.Errorf("read over the same protocol: status %d, %s", got.status, got.body)
		}
	}
	for _, call := range g.receivedCalls() {
		if !call.write && (call.after == 0 || call.ran && call.member != 0) {
			t.Errorf("a read that must see position %d ran on lagging member %d or had no position", call.after, call.member)
		}
	}
}
