package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pgwire"
	"passtack/internal/testmember"
)

// member is a stand-in for one database server.
type member struct {
	number    int
	isPrimary bool
	listener  net.Listener
	record    *record
	faults    memberFaults

	mutex          sync.Mutex
	rng            *rand.Rand
	executedTokens map[string]bool // idempotency tokens of writes that were executed
	startedAt      time.Time
}

// memberFaults are the faults of one member.
type memberFaults struct {
	hangs             bool          // the member reads requests and never answers them
	hangsFrom         time.Duration // time after the start of the member from which it hangs
	latency           time.Duration
	handshakeDelay    time.Duration // delay of the handshake on a third of its connections
	truncatedFraction float64       // probability that only the first half of an answer is sent
	resetFraction     float64       // probability that a request resets the connection
}

func startMember(t *testing.T, number int, r *record, faults memberFaults, rng *rand.Rand) *member {
	t.Helper()
	m := &member{number: number, isPrimary: number == 0, record: r, faults: faults, rng: rng, executedTokens: make(map[string]bool), startedAt: time.Now()}
	m.listener = testmember.Serve(t, m)
	return m
}

func (m *member) drawFault(probability float64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rng.Float64() < probability
}

// Greeting implements testmember.Handler.
func (m *member) Greeting() []byte {
	if m.faults.handshakeDelay > 0 && m.drawFault(0.33) {
		time.Sleep(m.faults.handshakeDelay)
	}
	return pgwire.AppendAuthenticationOK(testmember.Parameters(m.isPrimary), 1, 1)
}

// Answer implements testmember.Handler. It runs one statement, with the member's faults.
func (m *member) Answer(c net.Conn, statement string) bool {
	if statement == "" {
		_, err := c.Write(testmember.Empty(testmember.Parameters(m.isPrimary)))
		return err == nil
	}
	id, now := testmember.CommentField(statement, "id"), time.Now()
	deadlineMS, _ := strconv.Atoi(testmember.CommentField(statement, "d"))
	writes := strings.Contains(statement, "INSERT")
	received := attempt{member: m.number, arrivedAt: now, sentDeadline: time.Duration(deadlineMS) * time.Millisecond, executed: !writes || m.isPrimary}
	if token := testmember.CommentField(statement, "k"); token != "" && received.executed {
		m.mutex.Lock()
		received.executed = !m.executedTokens[token]
		m.executedTokens[token] = true
		m.mutex.Unlock()
	}
	m.record.addAttempt(id, received)
	if m.faults.hangs && now.Sub(m.startedAt) >= m.faults.hangsFrom {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		c.Read(make([]byte, 1)) // until the driver closes the connection
		return false
	}
	if m.drawFault(m.faults.resetFraction) {
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	m.mutex.Lock()
	wait := time.Duration(m.rng.Float64() * float64(m.faults.latency))
	m.mutex.Unlock()
	time.Sleep(wait)
	if writes && !m.isPrimary {
		_, err := c.Write(pgwire.AppendReady(append(pgwire.AppendError(nil, false, "25006", "no primary", -1), testmember.Parameters(m.isPrimary)...)))
		if err == nil {
			m.record.markRejected(id, m.number)
		}
		return err == nil
	}
	out := testmember.Row("value of "+id, testmember.Parameters(m.isPrimary))
	if m.drawFault(m.faults.truncatedFraction) {
		c.Write(out[:len(out)/2])
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		c.Read(make([]byte, 1))
		return false
	}
	_, err := c.Write(out)
	return err == nil
}

// discovery is a stand-in for the discovery agent, which gives drivers the endpoint list.
type discovery struct {
	record   *record
	members  []*member
	listener net.Listener
	mutex    sync.Mutex
	revision int
	drained  map[int]int // revision that began the drain, by member
	changed  chan struct{}
}

func startDiscovery(t *testing.T, r *record, members []*member) *discovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{record: r, members: members, listener: listener, revision: 1, drained: make(map[int]int), changed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *discovery) drain(member int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	d.drained[member] = d.revision
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the endpoint list with the members that have changed since a revision, or with all if it is 0.
func (d *discovery) list(since int) string {
	var targets []string
	for _, m := range d.members {
		changed, state := d.drained[m.number], "in_service"
		if changed > 0 {
			state = "terminating"
		}
		if since > 0 && changed <= since {
			continue
		}
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"a","pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":0}`, m.number, m.listener.Addr(), state))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, d.revision, since == 0, strings.Join(targets, ","))
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mutex.Lock()
	if changed := d.changed; since >= d.revision && hold > 0 {
		d.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mutex.Lock()
	}
	text := d.list(since)
	drained := make([]int, 0, len(d.drained))
	for n := range d.drained {
		drained = append(drained, n)
	}
	d.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, text)
	for _, n := range drained {
		d.record.markDrained(n)
	}
}
