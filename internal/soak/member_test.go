package soak

import (
	"bufio"
	"encoding/binary"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{number: number, isPrimary: number == 0, listener: listener, record: r, faults: faults, rng: rng, executedTokens: make(map[string]bool), startedAt: time.Now()}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

func (m *member) drawFault(probability float64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rng.Float64() < probability
}

// serverParameters returns the ParameterStatus messages with the member's role and replay position, which it sends before ReadyForQuery.
func (m *member) serverParameters() []byte {
	role := "follower"
	if m.isPrimary {
		role = "leader"
	}
	out := pgwire.AppendParameter(nil, "node_role", role)
	return pgwire.AppendParameter(out, "replay_position", fmt.Sprint(time.Now().UnixMilli()))
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	if _, err := readMessage(in); err != nil {
		return
	}
	if m.faults.handshakeDelay > 0 && m.drawFault(0.33) {
		time.Sleep(m.faults.handshakeDelay)
	}
	if _, err := c.Write(append(m.serverParameters(), pgwire.AppendAuthenticationOK(nil, 1, 1)...)); err != nil {
		return
	}
	for {
		kind, err := in.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		text, err := readMessage(in)
		if err != nil {
			return
		}
		if !m.answer(c, strings.TrimRight(string(text), "\x00")) {
			return
		}
	}
}

func readMessage(in *bufio.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return nil, err
	}
	text := make([]byte, binary.BigEndian.Uint32(length[:])-4)
	_, err := io.ReadFull(in, text)
	return text, err
}

// commentField returns the value of a field in the comment of a statement.
func commentField(statement, name string) string {
	for _, prefix := range []string{" ", ","} {
		if _, rest, found := strings.Cut(statement, prefix+name+"="); found {
			return rest[:strings.IndexAny(rest+" ", ", ")]
		}
	}
	return ""
}

// answer serves one statement and reports whether the connection stays open.
func (m *member) answer(c net.Conn, statement string) bool {
	if statement == "" {
		_, err := c.Write(pgwire.AppendReady(append(m.serverParameters(), pgwire.AppendHead(nil, 'I', 0)...)))
		return err == nil
	}
	id, now := commentField(statement, "id"), time.Now()
	deadlineMS, _ := strconv.Atoi(commentField(statement, "d"))
	writes := strings.Contains(statement, "INSERT")
	received := attempt{member: m.number, arrivedAt: now, sentDeadline: time.Duration(deadlineMS) * time.Millisecond, executed: !writes || m.isPrimary}
	if token := commentField(statement, "k"); token != "" && received.executed {
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
		_, err := c.Write(pgwire.AppendReady(append(pgwire.AppendError(nil, false, "25006", "no primary", -1), m.serverParameters()...)))
		if err == nil {
			m.record.markRejected(id, m.number)
		}
		return err == nil
	}
	out := m.row("value of " + id)
	if m.drawFault(m.faults.truncatedFraction) {
		c.Write(out[:len(out)/2])
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		c.Read(make([]byte, 1))
		return false
	}
	_, err := c.Write(out)
	return err == nil
}

func (m *member) row(doc string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(doc)), 0, 1, 0, 0, byte(len(doc)>>8), byte(len(doc)))
	out = append(out, doc...)
	out = append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
	return pgwire.AppendReady(append(out, m.serverParameters()...))
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
