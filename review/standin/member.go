package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// statement is a query with the comment in front of it.
type statement struct {
	id, class, token string
	after            int64 // position that a read must see, Unix ms
	text             string
}

// write is one run of a write at the primary.
type write struct {
	at        time.Time // of the commit
	statement statement
}

// cluster is a primary with one replica. The replica has the state of the primary as of an earlier moment.
type cluster struct {
	record *record
	window time.Duration // for which the members drop a repeated token

	mutex    sync.Mutex
	writes   []write
	firstRun map[string]time.Time           // by token
	hang     func(s statement) (hangs bool) // whether the primary goes silent after it has run this statement
	applied  func(now time.Time) time.Time  // up to when the replica has applied the log
	work     time.Duration                  // that a statement takes
	setup    func() time.Duration           // delay of the answer to a startup message at any member
}

// member is one process of the cluster.
type member struct {
	cluster *cluster
	name    string
	primary bool
	address string
}

func newCluster(r *record, window time.Duration) *cluster {
	return &cluster{
		record: r, window: window, firstRun: make(map[string]time.Time), work: 20 * time.Millisecond,
		hang:    func(statement) bool { return false },
		applied: func(now time.Time) time.Time { return now.Add(-5 * time.Millisecond) },
		setup:   func() time.Duration { return 0 },
	}
}

// start listens on a free loopback port.
func (c *cluster) start(name string, primary bool) (*member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{cluster: c, name: name, primary: primary, address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(connection)
		}
	}()
	return m, nil
}

func (m *member) serve(connection net.Conn) {
	defer connection.Close()
	in := bufio.NewReader(connection)
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil { // the startup message has no kind
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return
	}
	time.Sleep(m.cluster.setup())
	connection.Write(append(message('R', []byte{0, 0, 0, 0}), ready...))
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		text := string(body[:len(body)-1])
		if strings.TrimSpace(text) == "" {
			connection.Write(append(message('I', nil), ready...))
			continue
		}
		s, err := parseStatement(text)
		if err != nil {
			m.cluster.record.add("%s  cannot read %q: %v", m.name, text, err)
			return
		}
		answer, hangs := m.run(s)
		if hangs {
			io.Copy(io.Discard, in) // silent until the driver closes the connection
			return
		}
		connection.Write(answer)
	}
}

var ready = message('Z', []byte{'I'})

func message(kind byte, body []byte) []byte {
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(out, body...)
}

func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > 1<<20 {
		return 0, nil, errors.New("a message of an impossible length")
	}
	body = make([]byte, size-4)
	_, err = io.ReadFull(in, body)
	return head[0], body, err
}

func parseStatement(text string) (s statement, err error) {
	comment, rest, found := strings.Cut(strings.TrimPrefix(text, "/*"), "*/")
	if !found || !strings.HasPrefix(text, "/*") {
		return s, errors.New("no comment")
	}
	s.text = strings.TrimSpace(rest)
	for field := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "k":
			s.token = value
		case "after":
			if s.after, err = strconv.ParseInt(value, 10, 64); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

// isWrite reports whether the statement changes data.
func (s statement) isWrite() bool { return !strings.HasPrefix(s.text, "SELECT") }

// key returns the key that the statement names, which is its last literal, "" if it has none.
func (s statement) key() string {
	parts := strings.Split(s.text, "'")
	if len(parts) < 3 {
		return ""
	}
	return parts[len(parts)-2]
}

// status returns the value that an update sets, which is its first literal.
func (s statement) status() string { return strings.Split(s.text, "'")[1] }

// run runs a statement and returns the answer. hangs means that the member says nothing although it has run the statement.
func (m *member) run(s statement) (answer []byte, hangs bool) {
	c := m.cluster
	time.Sleep(c.work)
	now := time.Now()
	role, position := "follower", c.applied(now)
	if m.primary {
		role, position = "leader", now
	}
	if s.isWrite() && !m.primary {
		c.record.add("%s  turned away, no primary: %s", m.name, s)
		return append(parameters(role, position), failure("25006")...), false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !s.isWrite() {
		value := c.read(s, position)
		c.record.add("%s  read: %s -> %s", m.name, s, value)
		return append(parameters(role, position), row(value, "SELECT 1")...), false
	}
	position = now.Add(time.Millisecond - 1).Truncate(time.Millisecond) // the commit, rounded up
	if first, known := c.firstRun[s.token]; known && s.token != "" && now.Sub(first) < c.window {
		c.record.add("%s  repeat dropped: %s", m.name, s)
		return append(parameters(role, position), row(c.read(s, now), "UPDATE 1")...), false
	}
	c.firstRun[s.token] = now
	c.writes = append(c.writes, write{now, s})
	hangs = c.hang(s)
	c.record.add("%s  RAN: %s%s", m.name, s, map[bool]string{true: "  (committed, then silent)"}[hangs])
	return append(parameters(role, position), row(c.read(s, now), "UPDATE 1")...), hangs
}

// String returns the statement as it is recorded.
func (s statement) String() string {
	return fmt.Sprintf("id=%s c=%s k=%s after=%d %s", s.id, s.class, s.token, s.after, s.text)
}

// read returns the entity of a key as of a position: its status, and its version, which each update raises by one. Without a key it
// returns an empty list.
func (c *cluster) read(s statement, position time.Time) string {
	key, status, version := s.key(), "draft", 0
	if key == "" {
		return "[]"
	}
	for _, w := range c.writes {
		if w.statement.key() == key && !w.at.After(position) {
			status = w.statement.status()
			version++
		}
	}
	return fmt.Sprintf(`{"Id":"%s","Status":"%s","Version":%d}`, key, status, version)
}

// runs counts how often a write of a key was run.
func (c *cluster) runs(key string) (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, w := range c.writes {
		if w.statement.key() == key {
			count++
		}
	}
	return count
}

// hangOn makes the primary go silent after it has run the first write of a key.
func (c *cluster) hangOn(key string) {
	hung := false
	c.hang = func(s statement) bool {
		hangs := !hung && s.key() == key
		hung = hung || hangs
		return hangs
	}
}

func parameters(role string, position time.Time) (out []byte) {
	for _, p := range [][2]string{{"node_role", role}, {"replay_position", strconv.FormatInt(position.UnixMilli(), 10)}} {
		out = append(out, message('S', []byte(p[0]+"\x00"+p[1]+"\x00"))...)
	}
	return out
}

// row returns a row of one column, with the messages around it.
func row(value, tag string) []byte {
	description := append([]byte{0, 1}, "doc\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out := append(message('T', description), message('D', append(data, value...))...)
	return append(append(out, message('C', append([]byte(tag), 0))...), ready...)
}

func failure(code string) []byte {
	body := fmt.Sprintf("SERROR\x00VERROR\x00C%s\x00Mrefused\x00\x00", code)
	return append(message('E', []byte(body)), ready...)
}
