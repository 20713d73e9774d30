package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

// A try whose timeout is cut short by the client's total limit is a retry: its soft deadline counts from the first try.
func TestClientRetryCountsFromTheFirstTry(t *testing.T) {
	c := newCluster(t, 1, "wait", "methods.0.limit=2000000")
	for range 5 {
		if got := c.router.requestedSince(Request{ArrivedAt: c.now, Deadline: c.now + 1500*ms}, c.now); got != c.now {
			t.Fatalf("a first try counts from %v, it arrived at %v", got, c.now)
		}
	}
	if got := c.router.requestedSince(Request{ArrivedAt: c.now, Deadline: c.now + 1200*ms, ClientRetry: true}, c.now); got != c.now-800*ms {
		t.Fatalf("a retry with a deadline in 1.2 s counts from %v, now is %v", got, c.now)
	}
}

// Guards against one client that sends more than all others, with another timeout, and so makes their first tries look like retries, which
// are refused because their time seems to be over.
func TestOneConnectionDoesNotSetTheUsualTimeout(t *testing.T) {
	c := newCluster(t, 1, "wait", "methods.0.limit=2500000")
	const usualClients, flooding = 8, 100
	request := func(connection driver.Connection, timeout time.Duration) time.Duration {
		return c.router.requestedSince(Request{Connection: connection, ArrivedAt: c.now, Deadline: c.now + timeout}, c.now)
	}
	for round := range 200 {
		for client := range usualClients {
			for range flooding {
				request(usualClients+1, ms)
			}
			if got := request(driver.Connection(client+1), time.Second); got != c.now && round > 0 {
				t.Fatalf("round %d: a first try of client %d counts from %v before its arrival", round, client, c.now-got)
			}
		}
		c.now += 20 * ms
	}
}

// A request that waited behind another one on its connection is a first try and counts from its arrival. The shorter time left must not be
// taken for a retry's timeout and must not change the estimated timeout of clients.
func TestQueueingInAConnectionIsNoClientRetry(t *testing.T) {
	c := newCluster(t, 1, "")
	c.minDeadlineMillis = 1999
	for range 3 {
		c.request(0, 0)
	}
	m := c.router.methods[0]
	timeout := m.clientTimeout
	for id, waited := range []time.Duration{0, 300 * ms, 900 * ms, 1500 * ms} {
		before := c.router.load.firstTries.At(c.now, loadWindow)
		c.lastRPC++
		c.rpcs[c.lastRPC] = &simulatedRPC{group: 0, arrivedAt: c.now, lastAttempt: -1, commit: driver.LongAgo, deadline: c.now - waited + timeout}
		c.router.Take(Request{ID: c.lastRPC, Session: 7, ArrivedAt: c.now - waited, Deadline: c.now - waited + timeout})
		if q := c.router.rpcs[c.lastRPC]; q != nil && q.requestedAt != c.now-waited {
			t.Errorf("request %d was queued for %v and counts from %v ago", id, waited, c.now-q.requestedAt)
		}
		if c.router.load.firstTries.At(c.now, loadWindow) <= before || m.clientTimeout != timeout {
			t.Errorf("request %d, queued for %v: counted as first try %v, client timeout %v, before %v", id, waited, c.router.load.firstTries.At(c.now, loadWindow) > before, m.clientTimeout, timeout)
		}
	}
}

func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	c := newSettledCluster(t, "wait", "tenants.count=1", "tenants.0.quota=10", "drivers=1", "over_share=0.2")
	c.advance(1200 * ms) // its quota is replenished
	taken := 0
	for range 20 {
		for _, m := range c.router.memberList {
			m.latency.ratio, m.latency.depth, m.latency.sampledAt, c.router.pace.value = 350, 0, c.now, 1
		}
		c.router.methods[2].typical.value, c.router.methods[4].typical.value = ms, ms
		if id := c.request(2, 0); c.rpcs[id].lastAttempt >= 0 {
			taken++
		}
		c.traffic(1, 0)
	}
	if taken < 8 || taken > 12 {
		t.Fatalf("%d of 20 RPCs taken at once from a tenant with a quota of 10 a second", taken)
	}
}

func TestWritesWaitForANewPrimary(t *testing.T) {
	c := newSettledCluster(t, "none")
	old := c.primaries[0]
	c.primaries[0] = c.ids[4]
	c.members[old].state = driver.Gone
	c.announce(driver.Changes, old)
	var ids []driver.RPC
	for range 10 {
		if id := c.request(4, 0); c.rpcs[id].group == 0 && c.rpcs[id].deadline > c.now+800*ms {
			ids = append(ids, id)
		}
	}
	before := c.attempts
	c.traffic(100, 5*ms)
	for _, id := range ids {
		if c.pushedBack[id] != 0 || c.aborted[id] {
			t.Fatalf("write %d was given up though a primary took over", id)
		}
	}
	if extra := c.attempts - before; extra > 4*len(ids) {
		t.Fatalf("%d attempts to find the primary for %d writes", extra, len(ids))
	}
	c.now += 6 * time.Minute
	if c.announce(driver.Changes); len(c.router.memberList) != 7 || len(c.router.groups[0].members) != 3 {
		t.Fatalf("%d members kept, one of 8 has been gone for long", len(c.router.memberList))
	}
}
