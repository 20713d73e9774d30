package node

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

// Members and clients fail at random. Each RPC must have at most one attempt at a time and none after its answer. An RPC that may have
// run must not be rejected, and a method that is unsafe to repeat must not run twice.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	const clients, perClient = 8, 30
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var members []*fakeMember
			var targets []string
			for i := range 4 {
				m := startRandomMember(t, seed*100+uint64(i), roleName(i%2 == 0))
				members, targets = append(members, m), append(targets, endpointEntry(i, i/2, m.listener.Addr(), "in_service"))
			}
			d := startDriver(t, "", 60, endpointList(1, true, targets...))
			results := make(chan clientResult, clients*perClient)
			var all sync.WaitGroup
			for n := range clients {
				all.Go(func() { runRandomClient(t, d, n, pcg.New(seed*1000+uint64(n)), perClient, results) })
			}
			all.Wait()
			close(results)
			d.stop()
			attempts := attemptsByID(t, members)
			answered := 0
			for r := range results {
				checkResult(t, r, attempts[r.id])
				if r.answer == "ok value of "+r.id {
					answered++
				}
			}
			if answered < 100 {
				t.Errorf("only %d of %d RPCs succeeded, want at least 100", answered, clients*perClient)
			}
			concluded := d.counters["rpcs_ok"] + d.counters["rpcs_pushed_back"] + d.counters["rpcs_aborted"] + d.counters["rpcs_left"]
			if d.rpcs.Len() != 0 || d.counters["rpcs_taken"] != concluded || d.counters["rpcs_overdue"] != 0 || d.counters["attempts_sent"] != d.outcomes() {
				t.Errorf("%d RPCs left over, counters %v", d.rpcs.Len(), d.counters)
			}
		})
	}
}

// startRandomMember starts a member that fails at random. A replica rejects all writes.
func startRandomMember(t *testing.T, seed uint64, role string) *fakeMember {
	random, mutex := pcg.New(seed), sync.Mutex{}
	return startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
		mutex.Lock()
		draw, wait := random.Float(), time.Duration(random.Below(20))*time.Millisecond
		mutex.Unlock()
		write := strings.Contains(q.text, "c=order") || strings.Contains(q.text, "c=pay")
		if write && role != "leader" {
			return respondError(c, "25006", role)
		}
		time.Sleep(wait)
		switch {
		case draw < 0.08:
			return respondError(c, "53300", role)
		case draw < 0.12:
			return respondError(c, "72000", role)
		}
		q.mayHaveRun = true
		switch {
		case draw < 0.17:
			return false
		case draw < 0.21:
			c.Write(rowResponse("half")[:25])
			return false
		case draw < 0.26:
			return respondError(c, "XX000", role)
		case draw < 0.29:
			return waitForClose(c)
		}
		return respondOK(c, q, role)
	})
}

// clientResult is what a client received for one RPC. The answer is "left" if the client disconnected before it.
type clientResult struct {
	id, method, answer string
	sent, answered     time.Time
}

// runRandomClient sends RPCs of random methods, one after the other, and sometimes disconnects before the answer.
func runRandomClient(t *testing.T, d *runningDriver, number int, random *pcg.Source, count int, results chan<- clientResult) {
	c := dialPG(t, d.address)
	for i := range count {
		r := clientResult{id: fmt.Sprintf("%d%c%d", number, 'a', i), method: []string{"look", "own", "order", "pay"}[random.Below(4)]}
		r.sent = time.Now()
		c.Write(queryMessage(taggedStatement(r.id, r.method, 300, random.Below(2))))
		if random.Float() < 0.05 {
			c.Close()
			c = dialPG(t, d.address)
			r.answer = "left"
		} else {
			r.answer = c.readAnswer()
		}
		r.answered = time.Now()
		results <- r
	}
}

// attemptsByID returns the attempts that members received, by RPC. It checks that each member received only RPCs for its own group.
func attemptsByID(t *testing.T, members []*fakeMember) map[string][]*receivedQuery {
	attempts := make(map[string][]*receivedQuery)
	for i, m := range members {
		for _, q := range m.seen() {
			attempts[field(q.text, "id")] = append(attempts[field(q.text, "id")], q)
			if field(q.text, "cluster") != strconv.Itoa(i/2) {
				t.Errorf("member %d received an RPC of another group: %q", i, q.text)
			}
		}
	}
	return attempts
}

// checkResult compares what a client received with the attempts that members received.
func checkResult(t *testing.T, r clientResult, attempts []*receivedQuery) {
	t.Helper()
	mayHaveRun := 0
	for i, q := range attempts {
		if q.mayHaveRun {
			mayHaveRun++
		}
		if r.answer != "left" && q.began.After(r.answered.Add(100*time.Millisecond)) {
			t.Errorf("%s: an attempt began after the answer %s", r.id, r.answer)
		}
		for _, other := range attempts[:i] {
			if q.began.Before(other.ended) && other.began.Before(q.ended) && !(q.mayHaveRun && other.mayHaveRun && r.answer == "left") {
				t.Errorf("%s: two attempts at once", r.id)
			}
		}
	}
	switch r.answer {
	case codeRejected:
		if mayHaveRun > 0 && (r.method == "pay" || r.method == "order") {
			t.Errorf("%s: %s was rejected though it may have run", r.id, r.method)
		}
	case "ok value of " + r.id, codeAborted, "left":
	default:
		t.Errorf("%s: the client received %q", r.id, r.answer)
	}
	if r.method == "pay" && mayHaveRun > 1 {
		t.Errorf("%s: may have run %d times", r.id, mayHaveRun)
	}
	if took := r.answered.Sub(r.sent); took > 2*time.Second {
		t.Errorf("%s: the answer took %v", r.id, took)
	}
}

// RPCs that have ended and members that were forgotten must leave no state behind, even if a client's deadline is weeks away: it would
// accumulate until memory runs out.
func TestNoStateIsLeaked(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	for range 3 {
		n.members.Listed("s-9", netip.MustParseAddrPort("127.0.0.1:9"), "a", 0, driver.Ready, 1, 0, false)
		n.members.forget(n.members.lastID)
	}
	if len(n.members.ids) != 1 || len(n.members.uids) != 1 || n.members.lastID != 4 {
		t.Errorf("the registry has %d uids and %d numbers, the last number is %d; want 1, 1 and 4", len(n.members.ids), len(n.members.uids), n.members.lastID)
	}
	d := runDriver(t, n)
	c := dialPG(t, d.address)
	for i := range 300 {
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 1<<31-1, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("RPC %d: %s", i, got)
		}
	}
	d.stop()
	if pending := d.loop.PendingTimers(); pending > 20 {
		t.Errorf("%d timers left over, want 20 at most", pending)
	}
}
