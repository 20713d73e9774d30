package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// version is one version of an entity.
type version struct {
	commit int64 // Unix ms
	doc    string
}

// execution is a write that a primary has run.
type execution struct {
	id, token, key, class string
	at                    time.Time
}

// fate is what comes of the answer to a write.
type fate int

const (
	answered fate = iota
	reset         // the connection is reset in place of the answer
	silence       // no answer comes; the connection stays open
)

// cluster is a group of members that speak PostgreSQL's protocol: the primary and its replicas share one history, of which a replica has
// applied what is older than its lag.
type cluster struct {
	p      *play
	window time.Duration // for which the group drops a repeat of a key
	lag    time.Duration // of the replicas
	work   time.Duration // of each read
	// afterWrite, if set, is called after a write was run, and says what comes in place of the answer.
	afterWrite func(execution) fate
	// twice, if set, says whether a second copy of an answer follows directly behind it, when nothing else waits on the connection.
	twice   func() bool
	mu      sync.Mutex
	history map[string][]version
	tokens  map[string]time.Time
	ran     []execution
}

// serve starts a member of the group and returns its address.
func (g *cluster) serve(primary bool) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	g.p.closeAll(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.connection(c.(*net.TCPConn), primary)
		}
	}()
	return l.Addr().String(), nil
}

func message(kind byte, body string) []byte {
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(out, body...)
}

// connection serves the queries of one connection in order.
func (g *cluster) connection(c *net.TCPConn, primary bool) {
	defer c.Close()
	if g.twice != nil {
		c.SetNoDelay(false) // as any program's sockets are that does not ask for TCP_NODELAY
	}
	r := bufio.NewReader(c)
	head := make([]byte, 4)
	if _, err := io.ReadFull(r, head); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head))-4); err != nil {
		return
	}
	c.Write(append(message('R', "\x00\x00\x00\x00"), message('Z', "I")...))
	for {
		kind, err := r.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		text := make([]byte, binary.BigEndian.Uint32(head)-4)
		if _, err := io.ReadFull(r, text); err != nil {
			return
		}
		answer, f := g.query(strings.TrimRight(string(text), "\x00"), primary)
		switch f {
		case reset:
			c.SetLinger(0)
			return
		case silence:
			io.Copy(io.Discard, r)
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if g.twice != nil && r.Buffered() == 0 && !strings.Contains(string(answer[:1]), "I") && g.twice() {
			g.p.note("a second copy follows the answer to %s", strings.TrimRight(string(text), "\x00"))
			c.Write(answer)
		}
	}
}

// field returns a value of the comment.
func field(query, name string) string {
	comment, _, _ := strings.Cut(strings.TrimPrefix(query, "/*"), "*/")
	for item := range strings.SplitSeq(comment, ",") {
		if n, value, _ := strings.Cut(strings.TrimSpace(item), "="); n == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// literal returns the first quoted literal.
func literal(query string) string {
	_, rest, _ := strings.Cut(query, "'")
	text, _, _ := strings.Cut(rest, "'")
	return text
}

// query runs a query.
func (g *cluster) query(query string, primary bool) (answer []byte, f fate) {
	role, position := "follower", time.Now().Add(-g.lag).UnixMilli()
	if primary {
		role, position = "leader", time.Now().UnixMilli()
	}
	if strings.TrimSpace(query) == "" {
		return append(message('I', ""), state(role, position)...), answered
	}
	write := strings.Contains(query, "INSERT") || strings.Contains(query, "UPDATE")
	g.p.note("%s runs %s", role, query)
	doc, code := "", ""
	switch {
	case write && !primary:
		code = "25006"
	case write:
		var e execution
		if e, doc = g.write(query); e.id != "" && g.afterWrite != nil {
			if f = g.decide(e); f != answered {
				return nil, f
			}
		}
		position = time.Now().UnixMilli() + 1
	default:
		time.Sleep(g.work)
		doc = g.read(literal(query), position, primary)
	}
	var out []byte
	if code != "" {
		out = message('E', "SERROR\x00VERROR\x00C"+code+"\x00Mno primary\x00\x00")
	} else {
		out = message('T', "\x00\x01doc\x00"+strings.Repeat("\x00", 18))
		out = append(out, message('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(doc))))+doc)...)
		out = append(out, message('C', "SELECT 1\x00")...)
	}
	return append(out, state(role, position)...), answered
}

// decide calls afterWrite.
func (g *cluster) decide(e execution) fate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.afterWrite(e)
}

// state returns the messages at the end of an answer: role, position, load report, and that the member is ready.
func state(role string, position int64) (out []byte) {
	for _, s := range [][2]string{
		{"node_role", role}, {"replay_position", fmt.Sprint(position)},
		{"server_load", fmt.Sprintf("x0=%.3f,x1=%d", float64(position)/1000, map[string]int{"leader": 1}[role])},
	} {
		out = append(out, message('S', s[0]+"\x00"+s[1]+"\x00")...)
	}
	return append(out, message('Z', "I")...)
}

// write runs a write at the primary, unless its token is remembered.
func (g *cluster) write(query string) (e execution, doc string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, statement, _ := strings.Cut(query, "*/")
	_, values, _ := strings.Cut(statement, "VALUES")
	key := literal(values)
	_, rest, _ := strings.Cut(values, "', '")
	doc, _, _ = strings.Cut(rest, "')")
	token, now := field(query, "k"), time.Now()
	if at, known := g.tokens[token]; known && now.Sub(at) < g.window {
		g.p.note("primary drops a repeat of k=%s", token)
		return e, doc
	}
	g.tokens[token] = now
	e = execution{id: field(query, "id"), token: token, key: key, class: field(query, "c"), at: now}
	g.ran = append(g.ran, e)
	g.history[key] = append(g.history[key], version{now.UnixMilli(), doc})
	return e, doc
}

// read returns the newest version of an entity up to a position.
func (g *cluster) read(key string, position int64, primary bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	doc := ""
	for _, v := range g.history[key] {
		if primary || v.commit <= position {
			doc = v.doc
		}
	}
	return doc
}

// executions returns the writes that were run.
func (g *cluster) executions() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.ran...)
}

func newCluster(p *play, lag time.Duration) *cluster {
	return &cluster{p: p, window: 1200 * time.Millisecond, lag: lag, history: make(map[string][]version), tokens: make(map[string]time.Time)}
}
