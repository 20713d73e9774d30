package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// receivedQuery is one statement that a member received.
type receivedQuery struct {
	text         string
	began, ended time.Time // when the member received it; when it began to send the last part of its answer, or closed the connection
	mayHaveRun   bool
}

// field returns the value of a field in the comment of a statement, empty if there is none.
func field(text, name string) string {
	value := ""
	pgwire.Comment([]byte(text), func(n, v []byte, _, _ int) {
		if string(n) == name {
			value = string(v)
		}
	})
	return value
}

// fakeMember is a member that calls respond to answer each statement, and closes the connection if respond returns false. onConnect, if
// set, is called first for each connection.
type fakeMember struct {
	listener    net.Listener
	respond     func(c net.Conn, q *receivedQuery) (open bool)
	onConnect   func(c net.Conn) (open bool)
	mutex       sync.Mutex
	queries     []*receivedQuery
	connections int
	barriers    int // empty queries
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

func startFakeMember(t testing.TB, respond func(c net.Conn, q *receivedQuery) bool) *fakeMember {
	m := &fakeMember{listener: listenLocal(t), respond: respond}
	go serveConnections(m.listener, m.serve)
	return m
}

func (m *fakeMember) serve(c net.Conn) {
	defer c.Close()
	m.mutex.Lock()
	m.connections++
	m.mutex.Unlock()
	if m.onConnect != nil && !m.onConnect(c) {
		return
	}
	r := bufio.NewReader(c)
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return
	}
	io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(length[:]))-4)
	c.Write(pgwire.AppendAuthenticationOK(nil, 1, 1))
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		if len(body) == 1 { // the empty query, which does nothing
			m.mutex.Lock()
			m.barriers++
			m.mutex.Unlock()
			c.Write(pgwire.AppendEmptyQueryResponse(nil))
			continue
		}
		q := &receivedQuery{text: string(body[:len(body)-1]), began: time.Now()}
		m.mutex.Lock()
		m.queries = append(m.queries, q)
		m.mutex.Unlock()
		conn := &timedConn{c, m, q}
		if !m.respond(conn, q) {
			conn.Close()
			return
		}
	}
}

// timedConn records when a member answered a query or closed the connection, before the driver can notice it.
type timedConn struct {
	net.Conn
	member *fakeMember
	query  *receivedQuery
}

func (c *timedConn) recordEnd() {
	c.member.mutex.Lock()
	c.query.ended = time.Now()
	c.member.mutex.Unlock()
}

func (c *timedConn) Write(text []byte) (int, error) {
	c.recordEnd()
	return c.Conn.Write(text)
}

func (c *timedConn) Close() error {
	c.recordEnd()
	return c.Conn.Close()
}

// seen returns the queries received so far.
func (m *fakeMember) seen() []*receivedQuery {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]*receivedQuery(nil), m.queries...)
}

// rowResponse encodes a response with one row of one column.
func rowResponse(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1)
	out = append(binary.BigEndian.AppendUint32(out, uint32(len(value))), value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

// appendReport appends the parameters with which a member reports its role, its position and its load.
func appendReport(out []byte, role string) []byte {
	now := time.Now()
	out = pgwire.AppendParameter(out, "node_role", role)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(now.UnixMilli(), 10))
	isLeader := map[string]int{"leader": 1, "follower": 0}[role]
	return pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,util=0.5", float64(now.UnixMilli())/1000, isLeader))
}

func respondOK(c net.Conn, q *receivedQuery, role string) bool {
	c.Write(pgwire.AppendReady(appendReport(rowResponse("value of "+field(q.text, "id")), role)))
	return true
}

func respondError(c net.Conn, code, role string) bool {
	c.Write(pgwire.AppendReady(appendReport(pgwire.AppendError(nil, false, code, "no", -1), role)))
	return true
}

// waitForClose waits until the driver closes the connection.
func waitForClose(c net.Conn) bool {
	c.Read(make([]byte, 1))
	return false
}

func respondAsLeader(c net.Conn, q *receivedQuery) bool { return respondOK(c, q, "leader") }

// endpointEntry returns an entry of an endpoint list in JSON.
func endpointEntry(number int, group int, address net.Addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","model":"m","pod_group":%d,"state":"%s","capacity_hint":1,"boot_ms":0}`,
		number, address, group, state)
}

// endpointList returns an endpoint list in JSON, complete or with changes only.
func endpointList(revision int, complete bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, revision, complete, strings.Join(targets, ","))
}

const testSettings = `{"areas":["a"],"balancers":1,"tick_us":5000,"locality":0,"registry_mode":"automatic","position":0,
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"most_tries":8},
"classes":[
{"name":"look","effect":"safe","group":"all","hard_limit_us":2500000,"late_worth":0.2,"points":3.0,"target_us":1000000},
{"name":"own","effect":"safe","group":"all","hard_limit_us":2000000,"late_worth":0.0,"points":1.0,"target_us":800000},
{"name":"order","effect":"keyed","group":"cell","hard_limit_us":2000000,"late_worth":0.5,"points":6.0,"target_us":600000,"window_us":1200000},
{"name":"pay","effect":"unsafe","group":"cell","hard_limit_us":2000000,"late_worth":0.5,"points":6.0,"target_us":600000}],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update","update"],
"lag_allowed_us":[800000,0,0,0],"write_marks":"client","role_listed":"off"},
"report":{"columns":["x0","x1","load_share"],"how":"inline"},
"rules":{"cold_us":16000000,"drain_grace_us":250000,"fall_multiple":4.0,"start_capacity":0.25,"tip_after_us":1000000}}`

// roleName returns the name of a role as members report it.
func roleName(primary bool) string {
	if primary {
		return "leader"
	}
	return "follower"
}
