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

// This file has a fake group whose members speak either protocol with the same behaviour, after the public descriptions of
// both.

// memberFault is what a member does with one attempt.
type memberFault uint8

const (
	faultNone               memberFault = iota
	faultNotPrimary                     // rejected; it has not run
	faultStale                          // rejected; it has not run
	faultFull                           // rejected before it was read
	faultError                          // an error; it has run
	faultDisconnect                     // the connection ends without an answer; it has run
	faultDisconnectInAnswer             // it ends in the middle of the answer
	faultUnreadable                     // an answer that cannot be read; it has run
	faultTruncated                      // the answer stops in the middle and nothing follows
	faultHang                           // nothing comes; it has run
)

func (f memberFault) mayRun() bool { return f == faultNone || f >= faultError }

// memberCall is one attempt as a member received it.
type memberCall struct {
	id, token, key, verb string
	method               string // where the protocol names it
	after                int64  // position that its answer has to include, ms
	write                bool
	member               int
	began                time.Time
	ran                  bool
	text                 string
}

// fakeCluster is one group.
type fakeCluster struct {
	t        testing.TB
	protocol string
	mutex    sync.Mutex
	members  []*fakeClusterMember
	calls    []*memberCall
	effects  map[string]int // by token, or by key and id where there is none
	latest   map[string]time.Time
	faultFor func(c *memberCall, nth int) memberFault
	nth      map[string]int
	values   func(c *memberCall) string
	wait     time.Duration
}

type fakeClusterMember struct {
	of       *fakeCluster
	number   int
	listener net.Listener
	role     string
	lag      time.Duration
	down     bool
	conns    map[net.Conn]bool
}

func startFakeCluster(t testing.TB, protocol string, size int, faultFor func(*memberCall, int) memberFault) *fakeCluster {
	g := &fakeCluster{t: t, protocol: protocol, faultFor: faultFor, effects: make(map[string]int), latest: make(map[string]time.Time), nth: make(map[string]int)}
	g.values = func(c *memberCall) string { return fmt.Sprintf(`{"Id":%q,"Status":"sent","Version":7}`, c.key) }
	for i := range size {
		m := &fakeClusterMember{of: g, number: i, listener: listenLocal(t), role: roleName(i == 0), conns: make(map[net.Conn]bool)}
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

// kill ends a member. Another one may be promoted.
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
	m.of.mutex.Lock()
	down := m.down
	m.conns[c] = true
	m.of.mutex.Unlock()
	if down {
		return
	}
	r := bufio.NewReader(c)
	if m.of.protocol == "pg" {
		var length [4]byte
		if _, err := io.ReadFull(r, length[:]); err != nil {
			return
		}
		io.CopyN(io.Discard, r, int64(length[2])<<8+int64(length[3])-4)
		c.Write(pgwire.AppendAuthenticationOK(nil, 1, 1))
	}
	for {
		var call *memberCall
		if m.of.protocol == "pg" {
			call = statementCall(r)
		} else {
			call = requestCall(r)
		}
		if call == nil {
			return
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

// answer handles an attempt as faultFor says, and records it.
func (m *fakeClusterMember) answer(conn net.Conn, c *memberCall) (open bool) {
	g := m.of
	g.mutex.Lock()
	c.member, c.began = m.number, time.Now()
	g.nth[c.key]++
	f := g.faultFor(c, g.nth[c.key])
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
		if last, known := g.latest[name]; !known || c.token == "" || time.Since(last) > 1200*time.Millisecond {
			g.effects[name]++ // a group recognizes a repeat within its window
		}
		g.latest[name] = time.Now()
	}
	g.calls = append(g.calls, c)
	value := g.values(c)
	g.mutex.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	whole := m.encodeAnswer(f, role, position, value, c)
	switch f {
	case faultDisconnect:
		return false
	case faultDisconnectInAnswer:
		conn.Write(whole[:len(whole)/2])
		return false
	case faultTruncated:
		conn.Write(whole[:len(whole)/2])
		io.Copy(io.Discard, conn)
		return false
	case faultHang:
		io.Copy(io.Discard, conn)
		return false
	}
	_, err := conn.Write(whole)
	return err == nil
}

// encodeAnswer returns a member's answer in its protocol.
func (m *fakeClusterMember) encodeAnswer(f memberFault, role string, position int64, value string, c *memberCall) []byte {
	if m.of.protocol == "pg" {
		notes := func(out []byte) []byte {
			out = pgwire.AppendParameter(out, "node_role", role)
			out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(position, 10))
			return pgwire.AppendReady(out)
		}
		if code := map[memberFault]string{faultNotPrimary: "25006", faultStale: "72000", faultFull: "53300", faultError: "XX000"}[f]; code != "" {
			return notes(pgwire.AppendError(nil, false, code, "no", -1))
		}
		out := rowResponse(value)
		if f == faultUnreadable {
			out[len(out)-3] = 0xff
			out = append(out, 0xff, 0xff, 0xff)
		}
		return notes(out)
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

// httpClient sends requests over one connection and waits 30 s for an answer.
type httpClient struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func dialHTTP(t testing.TB, at string) *httpClient {
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return &httpClient{t, c, bufio.NewReader(c)}
}

// httpAnswer is an answer.
type httpAnswer struct {
	status int
	header http.Header
	body   string
	last   bool // the connection is closed after it
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
