package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// This file implements a fake group. Its members behave the same over either protocol. The implementation follows the public descriptions
// of both protocols.

// memberFault is the way in which a member fails one attempt, or faultNone.
type memberFault uint8

const (
	faultNone               memberFault = iota
	faultNotPrimary                     // rejected as not the primary; it has not run
	faultStale                          // rejected as too far behind; it has not run
	faultFull                           // rejected as full, before it was read
	faultError                          // answered with an error; it has run
	faultDisconnect                     // the connection is closed without an answer; it has run
	faultDisconnectInAnswer             // the connection is closed in the middle of the answer; it has run
	faultUnreadable                     // the answer violates the protocol; it has run
	faultTruncated                      // the answer stops in the middle and the connection stays open; it has run
	faultHang                           // no answer, and the connection stays open; it has run
)

// mayRun reports whether an attempt with this fault runs.
func (f memberFault) mayRun() bool { return f == faultNone || f >= faultError }

// memberCall is one attempt as a member received it.
type memberCall struct {
	id, token, key, verb string
	method               string // empty if the protocol does not carry it
	after                int64  // position that the answer must include, in ms
	write                bool
	member               int
	began                time.Time
	ran                  bool
	text                 string
}

// fakeCluster is one fake group of members, with a record of the attempts that they received.
type fakeCluster struct {
	t        testing.TB
	protocol string
	mutex    sync.Mutex
	members  []*fakeClusterMember
	calls    []*memberCall
	effects  map[string]int       // number of executions, by token, or by key and id if there is no token
	lastRun  map[string]time.Time // time of the last execution, by the same key as effects
	faultFor func(c *memberCall, nth int) memberFault
	attempts map[string]int // number of attempts, by key
	values   func(c *memberCall) string
	wait     time.Duration // time before each answer
}

// fakeClusterMember is a member of a fakeCluster.
type fakeClusterMember struct {
	cluster  *fakeCluster
	number   int
	listener net.Listener
	role     string
	lag      time.Duration
	down     bool
	conns    map[net.Conn]bool
}

func startFakeCluster(t testing.TB, protocol string, size int, faultFor func(*memberCall, int) memberFault) *fakeCluster {
	g := &fakeCluster{t: t, protocol: protocol, faultFor: faultFor, effects: make(map[string]int), lastRun: make(map[string]time.Time), attempts: make(map[string]int)}
	g.values = func(c *memberCall) string { return fmt.Sprintf(`{"Id":%q,"Status":"sent","Version":7}`, c.key) }
	for i := range size {
		m := &fakeClusterMember{cluster: g, number: i, listener: listenLocal(t), role: roleName(i == 0), conns: make(map[net.Conn]bool)}
		g.members = append(g.members, m)
		go serveConnections(m.listener, m.serve)
	}
	return g
}

func (g *fakeCluster) targets() (all []string) {
	for i, m := range g.members {
		all = append(all, endpointEntry(i, 0, m.listener.Addr(), "in_service"))
	}
	return all
}

// kill stops a member. A test may promote another one.
func (g *fakeCluster) kill(i int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := g.members[i]
	m.down, m.role = true, "follower"
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
}

func (g *fakeCluster) promote(i int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members[i].role = "leader"
}

func (g *fakeCluster) receivedCalls() []memberCall {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var all []memberCall
	for _, c := range g.calls {
		all = append(all, *c)
	}
	return all
}

func (m *fakeClusterMember) serve(c net.Conn) {
	defer c.Close()
	m.cluster.mutex.Lock()
	down := m.down
	m.conns[c] = true
	m.cluster.mutex.Unlock()
	if down {
		return
	}
	r := bufio.NewReader(c)
	if m.cluster.protocol == "pg" {
		var length [4]byte
		if _, err := io.ReadFull(r, length[:]); err != nil {
			return
		}
		io.CopyN(io.Discard, r, int64(length[2])<<8+int64(length[3])-4)
		c.Write(pgwire.AppendAuthenticationOK(nil, 1, 1))
	}
	for {
		var call *memberCall
		if m.cluster.protocol == "pg" {
			call = statementCall(r)
		} else {
			call = requestCall(r)
		}
		if call == nil {
			return
		}
		if call.text == "" && call.verb == "" { // the empty query, which does nothing
			c.Write(pgwire.AppendEmptyQueryResponse(nil))
			continue
		}
		if call.verb == "HEAD" && call.key == "" { // a health check, which does nothing
			io.WriteString(c, "HTTP/1.1 200 x\r\n\r\n")
			continue
		}
		if !m.answer(c, call) {
			return
		}
	}
}

func statementCall(r *bufio.Reader) *memberCall {
	kind, body, err := readMessage(r)
	if err != nil || kind != 'Q' {
		return nil
	}
	text := string(body[:len(body)-1])
	rest, _ := pgwire.Comment([]byte(text), func(_, _ []byte, _, _ int) {})
	c := &memberCall{id: field(text, "id"), method: field(text, "c"), token: field(text, "k"), key: string(pgwire.FirstLiteral(rest)), text: string(rest)}
	c.after, _ = strconv.ParseInt(field(text, "after"), 10, 64)
	c.verb, _, _ = strings.Cut(string(rest), " ")
	c.write = c.verb != "SELECT"
	return c
}

func requestCall(r *bufio.Reader) *memberCall {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil
	}
	c := &memberCall{id: q.Header.Get("Request-Id"), token: q.Header.Get("Repeatability-Request-ID"), verb: q.Method, text: string(body)}
	c.after, _ = strconv.ParseInt(q.Header.Get("Session-Position"), 10, 64)
	c.write = q.Method != "GET" && q.Method != "HEAD"
	if _, key, found := strings.Cut(q.URL.Path, "('"); found {
		c.key = strings.TrimSuffix(key, "')")
	} else {
		var entity struct {
			ID string `json:"Id"`
		}
		json.Unmarshal(body, &entity)
		c.key = entity.ID
	}
	return c
}

// answer records an attempt and answers it, with the fault that faultFor returns. It reports whether the connection stays open.
func (m *fakeClusterMember) answer(conn net.Conn, c *memberCall) (open bool) {
	g := m.cluster
	g.mutex.Lock()
	c.member, c.began = m.number, time.Now()
	g.attempts[c.key]++
	f := g.faultFor(c, g.attempts[c.key])
	role, lag, wait := m.role, m.lag, g.wait
	position := time.Now().Add(-lag).UnixMilli()
	if role == "leader" {
		position = time.Now().UnixMilli()
	}
	if f == faultNone && c.write && role != "leader" {
		f = faultNotPrimary
	} else if f == faultNone && c.after > position {
		f = faultStale
	}
	if c.ran = f.mayRun(); c.ran && c.write {
		name := c.token
		if name == "" {
			name = c.key + " " + c.id
		}
		if last, known := g.lastRun[name]; !known || c.token == "" || time.Since(last) > 1200*time.Millisecond {
			g.effects[name]++ // within its window a group recognizes a duplicate and does not run it again
		}
		g.lastRun[name] = time.Now()
	}
	g.calls = append(g.calls, c)
	value := g.values(c)
	g.mutex.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	encoded := m.encodeAnswer(f, role, position, value, c)
	switch f {
	case faultDisconnect:
		return false
	case faultDisconnectInAnswer:
		conn.Write(encoded[:len(encoded)/2])
		return false
	case faultTruncated:
		conn.Write(encoded[:len(encoded)/2])
		io.Copy(io.Discard, conn)
		return false
	case faultHang:
		io.Copy(io.Discard, conn)
		return false
	}
	_, err := conn.Write(encoded)
	return err == nil
}

// encodeAnswer returns a member's answer in its protocol.
func (m *fakeClusterMember) encodeAnswer(f memberFault, role string, position int64, value string, c *memberCall) []byte {
	if m.cluster.protocol == "pg" {
		appendStatus := func(out []byte) []byte {
			out = pgwire.AppendParameter(out, "node_role", role)
			out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(position, 10))
			return pgwire.AppendReady(out)
		}
		if code := map[memberFault]string{faultNotPrimary: "25006", faultStale: "72000", faultFull: "53300", faultError: "XX000"}[f]; code != "" {
			return appendStatus(pgwire.AppendError(nil, false, code, "no", -1))
		}
		out := rowResponse(value)
		if f == faultUnreadable {
			out[len(out)-3] = 0xff
			out = append(out, 0xff, 0xff, 0xff)
		}
		return appendStatus(out)
	}
	status := map[memberFault]int{faultNotPrimary: 421, faultStale: 425, faultFull: 429, faultError: 500}[f]
	if status == 0 {
		status = map[string]int{"POST": 201, "DELETE": 204}[c.verb]
	}
	if status == 0 {
		status = 200
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d x\r\nNode-Role: %s\r\nReplay-Position: %d\r\nOData-Version: 4.01\r\n", status, role, position)
	switch {
	case status == 204 && f != faultUnreadable:
		out.WriteString("\r\n")
		return out.Bytes()
	case status >= 400:
		value = `{"error":{"code":"x","message":"no"}}`
	case f == faultUnreadable:
		value = value[:len(value)-1] + "\""
	}
	fmt.Fprintf(&out, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(value))
	if c.verb != "HEAD" {
		out.WriteString(value)
	}
	if f == faultUnreadable && status == 204 {
		return []byte("HTTP/1.1 2x4 what\r\n\r\n")
	}
	return out.Bytes()
}

// httpClient sends requests over one connection. All its answers must arrive within 30 s.
type httpClient struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func dialHTTP(t testing.TB, address string) *httpClient {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return &httpClient{t, c, bufio.NewReader(c)}
}

// httpAnswer is the answer to a request. Its body is "closed" or "broken off" if the connection ended before or in the answer.
type httpAnswer struct {
	status int
	header http.Header
	body   string
	last   bool // whether the server closes the connection after it
}

func (c *httpClient) send(verb, target, body string, fields ...string) {
	c.Write(httpRequest(verb, target, body, fields...))
}

func httpRequest(verb, target, body string, fields ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s /odata/%s HTTP/1.1\r\nHost: x\r\n", verb, target)
	for _, f := range fields {
		out.WriteString(f + "\r\n")
	}
	if body != "" {
		if !strings.Contains(strings.Join(fields, " "), "Content-Type") {
			out.WriteString("Content-Type: application/json\r\n")
		}
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	return out.Bytes()
}

func (c *httpClient) readAnswer(verb string) httpAnswer {
	answer, err := http.ReadResponse(c.r, &http.Request{Method: verb})
	if err != nil {
		return httpAnswer{body: "closed"}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return httpAnswer{body: "broken off"}
	}
	return httpAnswer{answer.StatusCode, answer.Header, string(body), answer.Close}
}

func (c *httpClient) do(verb, target, body string, fields ...string) httpAnswer {
	c.send(verb, target, body, fields...)
	return c.readAnswer(verb)
}
