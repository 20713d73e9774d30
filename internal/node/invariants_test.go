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

// Members and clients fail at random. For each RPC: one attempt at a time, none after the answer, no rejection of what may have
// run, and no second execution of what must not run twice.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var members []*fakeMember
			var targets []string
			for i := range 4 {
				role := roleName(i%2 == 0)
				chance, mutex := pcg.New(seed*100+uint64(i)), sync.Mutex{}
				m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
					mutex.Lock()
					dice, wait := chance.Float(), time.Duration(chance.Below(20))*time.Millisecond
					mutex.Unlock()
					write := strings.Contains(q.text, "c=order") || strings.Contains(q.text, "c=pay")
					if write && role != "leader" {
						return respondError(c, "25006", role)
					}
					time.Sleep(wait)
					switch {
					case dice < 0.08:
						return respondError(c, "53300", role)
					case dice < 0.12:
						return respondError(c, "72000", role)
					}
					q.mayHaveRun = true
					switch {
					case dice < 0.17:
						return false
					case dice < 0.21:
						c.Write(rowResponse("half")[:25])
						return false
					case dice < 0.26:
						return respondError(c, "XX000", role)
					case dice < 0.29:
						return waitForClose(c)
					}
					return respondOK(c, q, role)
				})
				members, targets = append(members, m), append(targets, endpointEntry(i, i/2, m.listener.Addr(), "in_service"))
			}
			d := startDriver(t, "", 60, endpointList(1, true, targets...))
			type result struct {
				id, method, answer string
				sent, answered     time.Time
			}
			results := make(chan result, 1000)
			var all sync.WaitGroup
			for n := range 8 {
				all.Go(func() {
					chance := pcg.New(seed*1000 + uint64(n))
					c := dialPG(t, d.address)
					for i := range 30 {
						r := result{id: fmt.Sprintf("%d%c%d", n, 'a', i), method: []string{"look", "own", "order", "pay"}[chance.Below(4)]}
						r.sent = time.Now()
						c.Write(queryMessage(taggedStatement(r.id, r.method, 300, chance.Below(2))))
						if chance.Float() < 0.05 { // the client leaves before the answer
							c.Close()
							c = dialPG(t, d.address)
							r.answer = "left"
						} else {
							r.answer = c.readAnswer()
						}
						r.answered = time.Now()
						results <- r
					}
				})
			}
			all.Wait()
			close(results)
			d.stop()
			attempts := make(map[string][]*receivedQuery)
			for i, m := range members {
				for _, q := range m.seen() {
					attempts[field(q.text, "id")] = append(attempts[field(q.text, "id")], q)
					if field(q.text, "cluster") != strconv.Itoa(i/2) {
						t.Errorf("member %d was sent %q", i, q.text)
					}
				}
			}
			oks := 0
			for r := range results {
				mayHaveRun := 0
				for i, q := range attempts[r.id] {
					if q.mayHaveRun {
						mayHaveRun++
					}
					if r.answer != "left" && q.began.After(r.answered.Add(100*time.Millisecond)) {
						t.Errorf("%s: an attempt after the answer %s", r.id, r.answer)
					}
					for _, o := range attempts[r.id][:i] {
						if q.began.Before(o.ended) && o.began.Before(q.ended) && !(q.mayHaveRun && o.mayHaveRun && r.answer == "left") {
							t.Errorf("%s: two attempts at once", r.id)
						}
					}
				}
				switch r.answer {
				case "ok value of " + r.id:
					oks++
				case codeRejected:
					if mayHaveRun > 0 && (r.method == "pay" || r.method == "order") {
						t.Errorf("%s: %s is pushed back though it may have run", r.id, r.method)
					}
				case codeAborted, "left":
				default:
					t.Errorf("%s: the client hears %q", r.id, r.answer)
				}
				if r.method == "pay" && mayHaveRun > 1 {
					t.Errorf("%s: may have run %d times", r.id, mayHaveRun)
				}
				if took := r.answered.Sub(r.sent); took > 2*time.Second {
					t.Errorf("%s: the answer took %v", r.id, took)
				}
			}
			if oks < 100 {
				t.Errorf("only %d of 240 RPCs are ok", oks)
			}
			taken := d.counters["rpcs_ok"] + d.counters["rpcs_pushed_back"] + d.counters["rpcs_aborted"] + d.counters["rpcs_left"]
			if d.rpcs.Len() != 0 || d.counters["rpcs_taken"] != taken || d.counters["rpcs_overdue"] != 0 || d.counters["attempts_sent"] != d.outcomes() {
				t.Errorf("%d RPCs are left, counted %v", d.rpcs.Len(), d.counters)
			}
		})
	}
}

// RPCs and members that have ended leave no state behind, also if the client's deadline is weeks away.
func TestNoStateIsLeaked(t *testing.T) {
	m := startFakeMember(t, respondAsLeader)
	n := buildDriver(t, "", 100, endpointList(1, true, endpointEntry(1, 0, m.listener.Addr(), "in_service")), testSettings)
	for range 3 {
		n.members.Listed("s-9", netip.MustParseAddrPort("127.0.0.1:9"), "a", 0, driver.Ready, 1, 0, false)
		n.members.forget(n.members.lastID)
	}
	if len(n.members.ids) != 1 || len(n.members.uids) != 1 || n.members.lastID != 4 {
		t.Errorf("%d and %d members are known, the last number is %d", len(n.members.ids), len(n.members.uids), n.members.lastID)
	}
	d := runDriver(t, n)
	c := dialPG(t, d.address)
	for i := range 300 {
		if got := c.query(t, taggedStatement(fmt.Sprint(i), "order", 1<<31-1, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("RPC %d: %s", i, got)
		}
	}
	d.stop()
	if dues := d.loop.Dues(); dues > 20 {
		t.Errorf("%d due times are left", dues)
	}
}
