package hostile

import (
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
	"passtack/internal/testmember"
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
	m := &member{number: number, work: work}
	m.listener = testmember.Serve(t, m)
	return m
}

// Greeting implements testmember.Handler.
func (m *member) Greeting() []byte { return pgwire.AppendAuthenticationOK(nil, 1, 1) }

// Answer implements testmember.Handler.
func (m *member) Answer(c net.Conn, statement string) bool {
	_, err := c.Write(m.answer(statement))
	return err == nil
}

// answer runs a statement and returns the answer.
func (m *member) answer(statement string) []byte {
	if statement == "" {
		return pgwire.AppendEmptyQueryResponse(nil)
	}
	key := string(pgwire.FirstLiteral([]byte(statement)))
	m.mutex.Lock()
	m.log = append(m.log, received{testmember.CommentField(statement, "id"), key, testmember.CommentField(statement, "k"), time.Now(), m.number == 0})
	m.mutex.Unlock()
	time.Sleep(m.work)
	if strings.Contains(statement, "INSERT") && m.number > 0 {
		return pgwire.AppendReady(append(pgwire.AppendError(nil, false, "25006", "no primary", -1), testmember.Parameters(false)...))
	}
	return testmember.Row(fmt.Sprintf(`{"Id":%q}`, key), testmember.Parameters(m.number == 0))
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
