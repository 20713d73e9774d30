package hostile

import (
	"bufio"
	"encoding/binary"
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

// received is one statement that a member received.
type received struct {
	id, key, token string
	at             time.Time
	primary        bool
}

// member is a stand-in for a database server. It works on each statement for a fixed time, on any number at once.
type member struct {
	number   int
	listener net.Listener
	work     time.Duration
	mutex    sync.Mutex
	log      []received
}

func startMember(t *testing.T, number int, work time.Duration) *member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	m := &member{number: number, listener: l, work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	if _, err := readBody(in); err != nil {
		return
	}
	c.Write(pgwire.AppendAuthenticationOK(nil, 1, 1))
	for {
		kind, err := in.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		text, err := readBody(in)
		if err != nil {
			return
		}
		if _, err := c.Write(m.answer(strings.TrimRight(string(text), "\x00"))); err != nil {
			return
		}
	}
}

// answer runs a statement and returns the answer.
func (m *member) answer(statement string) []byte {
	if statement == "" {
		return pgwire.AppendEmptyQueryResponse(nil)
	}
	key := string(pgwire.FirstLiteral([]byte(statement)))
	m.mutex.Lock()
	m.log = append(m.log, received{commentField(statement, "id"), key, commentField(statement, "k"), time.Now(), m.number == 0})
	m.mutex.Unlock()
	time.Sleep(m.work)
	if strings.Contains(statement, "INSERT") && m.number > 0 {
		return pgwire.AppendReady(m.appendState(pgwire.AppendError(nil, false, "25006", "no primary", -1)))
	}
	doc := fmt.Sprintf(`{"Id":%q}`, key)
	out := append(append(pgwire.AppendHead(nil, 'T', 24), "\x00\x01doc\x00"...), make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(doc)), 0, 1)
	out = append(binary.BigEndian.AppendUint32(out, uint32(len(doc))), doc...)
	out = append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
	return pgwire.AppendReady(m.appendState(out))
}

func (m *member) appendState(out []byte) []byte {
	role := "follower"
	if m.number == 0 {
		role = "leader"
	}
	out = pgwire.AppendParameter(out, "node_role", role)
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(time.Now().UnixMilli(), 10))
}

// statements returns the statements received so far.
func (d *deployment) statements() (all []received) {
	for _, m := range d.members {
		m.mutex.Lock()
		all = append(all, m.log...)
		m.mutex.Unlock()
	}
	return all
}

// dropWindow is how long after a run the primary drops a repeat of its token.
const dropWindow = 1200 * time.Millisecond

// runs returns how often writes of a key have run.
func (d *deployment) runs(key string) (runs int) {
	lastRun := make(map[string]time.Time)
	for _, s := range d.statements() {
		if s.key != key || !s.primary {
			continue
		}
		if last, ran := lastRun[s.token]; s.token == "" || !ran || s.at.Sub(last) > dropWindow {
			runs++
			lastRun[s.token] = s.at
		}
	}
	return runs
}

func readBody(in *bufio.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return nil, err
	}
	text := make([]byte, binary.BigEndian.Uint32(length[:])-4)
	_, err := io.ReadFull(in, text)
	return text, err
}

// commentField returns a value of the comment of a statement.
func commentField(statement, name string) (value string) {
	pgwire.Comment([]byte(statement), func(n, v []byte, _, _ int) {
		if string(n) == name {
			value = string(v)
		}
	})
	return value
}

func endpointList(members []*member) string {
	var targets []string
	for _, m := range members {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, m.number, m.listener.Addr()))
	}
	return fmt.Sprintf(`{"rev":1,"all":true,"targets":[%s]}`, strings.Join(targets, ","))
}

// startDiscovery starts a discovery agent that has one list, and returns its address.
func startDiscovery(t *testing.T, list string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms")); r.URL.Query().Get("from") == "1" {
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
			}
			io.WriteString(w, `{"rev":1,"all":false,"targets":[]}`)
			return
		}
		io.WriteString(w, list)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}
