package node

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/rules"
)

// What follows stands in for members, discovery and clients, after the public description of the protocols.

// query is one statement that a member was sent.
type query struct {
	text         string
	began, ended time.Time
	mayHaveRun   bool
}

func field(text, name string) string {
	value := ""
	pgwire.Comment([]byte(text), func(n, v []byte, _, _ int) {
		if string(n) == name {
			value = string(v)
		}
	})
	return value
}

// standIn does with each statement what act says; it closes the connection where act tells so.
type standIn struct {
	listener net.Listener
	act      func(c net.Conn, q *query) (open bool)
	greet    func(c net.Conn) (open bool)
	mutex    sync.Mutex
	queries  []*query
	opened   int
}

func message(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

func startMember(t testing.TB, act func(c net.Conn, q *query) bool) *standIn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &standIn{listener: l, act: act}
	t.Cleanup(func() { l.Close() })
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

func (m *standIn) serve(c net.Conn) {
	defer c.Close()
	m.mutex.Lock()
	m.opened++
	m.mutex.Unlock()
	if m.greet != nil && !m.greet(c) {
		return
	}
	r := bufio.NewReader(c)
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return
	}
	io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(length[:]))-4)
	c.Write(pgwire.AppendWelcome(nil, 1, 1))
	for {
		kind, body, err := message(r)
		if err != nil || kind != 'Q' {
			return
		}
		q := &query{text: string(body[:len(body)-1]), began: time.Now()}
		m.mutex.Lock()
		m.queries = append(m.queries, q)
		m.mutex.Unlock()
		answering := &stamped{c, m, q}
		if !m.act(answering, q) {
			answering.Close()
			return
		}
	}
}

// stamped notes when a member was done with a query: before the driver can know of it.
type stamped struct {
	net.Conn
	member *standIn
	query  *query
}

func (s *stamped) stamp() {
	s.member.mutex.Lock()
	s.query.ended = time.Now()
	s.member.mutex.Unlock()
}

func (s *stamped) Write(text []byte) (int, error) {
	s.stamp()
	return s.Conn.Write(text)
}

func (s *stamped) Close() error {
	s.stamp()
	return s.Conn.Close()
}

func (m *standIn) seen() []*query {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]*query(nil), m.queries...)
}

func rows(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1)
	out = append(binary.BigEndian.AppendUint32(out, uint32(len(value))), value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

func note(out []byte, role string) []byte {
	now := time.Now()
	out = pgwire.AppendParameter(out, "node_role", role)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(now.UnixMilli(), 10))
	leads := map[string]int{"leader": 1, "follower": 0}[role]
	return pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,util=0.5", float64(now.UnixMilli())/1000, leads))
}

func ok(c net.Conn, q *query, role string) bool {
	c.Write(pgwire.AppendReady(note(rows("value of "+field(q.text, "id")), role)))
	return true
}

func refuse(c net.Conn, code, role string) bool {
	c.Write(pgwire.AppendReady(note(pgwire.AppendError(nil, false, code, "no", -1), role)))
	return true
}

func silence(c net.Conn) bool {
	c.Read(make([]byte, 1))
	return false
}

func leader(c net.Conn, q *query) bool { return ok(c, q, "leader") }

// target is an entry of the list.
func target(number int, group int, at net.Addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","model":"m","pod_group":%d,"state":"%s","capacity_hint":1,"boot_ms":0}`,
		number, at, group, state)
}

func listOf(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
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

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// running is a driver under test; stop tells it to stop and waits until it has.
type running struct {
	*Node
	at   string
	stop func()
}

func start(t *testing.T, discovery string, sockets int, known string) *running {
	return run(t, build(t, discovery, sockets, known, testSettings))
}

func build(t testing.TB, discovery string, sockets int, known, settings string) *Node {
	return buildWith(t, discovery, sockets, known, settings, nil)
}

// buildWith also writes the operator's file, given a free address for a front.
func buildWith(t testing.TB, discovery string, sockets int, known, settings string, wanted func(at string) string) *Node {
	if discovery == "" {
		discovery = freeAddress(t)
	}
	open, err := os.ReadDir("/proc/self/fd") // the stand-ins share them
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "site.json")
	for range 5 { // an address that was free may have been taken meanwhile
		os.WriteFile(file, fmt.Appendf(nil, `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"peer_listen":"%s","peers":["127.0.0.1:9"],"peers_all":"127.0.0.1:9",
"known":%s,"settings":%s}`, freeAddress(t), discovery, sockets+len(open), freeAddress(t), known, settings), 0o600)
		site, failed := ReadSite(file, func(string) string { return "" })
		if failed != nil {
			t.Fatal(failed)
		}
		if wanted != nil {
			site.ConfigFile = filepath.Join(t.TempDir(), "passtack.hcl")
			os.WriteFile(site.ConfigFile, []byte(wanted(freeAddress(t))), 0o600)
		}
		wants, failed := site.ReadConfig()
		if failed != nil {
			t.Fatal(failed)
		}
		var n *Node
		if n, err = New(site, wants); err == nil {
			return n
		}
	}
	t.Fatal(err)
	return nil
}

func run(t testing.TB, n *Node) *running {
	done := make(chan error)
	go func() { done <- n.Run() }()
	d := &running{Node: n, at: n.site.Listen.String()}
	d.stop = sync.OnceFunc(func() {
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(30 * time.Second):
			t.Error("the driver does not stop")
		}
	})
	t.Cleanup(d.stop)
	if got := dial(t, d.at).ask(t, ""); got != "empty" { // Run listens to signals from before it serves
		t.Fatalf("the empty query is answered by %s", got)
	}
	return d
}

// await waits for what has to come soon.
func await(t testing.TB, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !come(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after 20 s it is not so that %s", what)
		}
	}
}

// client speaks as one that is patient.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t testing.TB, at string) *client {
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	c.Write(pgwire.AppendFirst(nil, "app", "shop"))
	return &client{c, bufio.NewReader(c)}
}

func asQuery(text string) []byte {
	return append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
}

func statement(id, method string, millis, group int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,k=key-%s,cluster=%d */ INSERT INTO items (id, doc) VALUES ('%s', 'x')", id, method, millis, id, group, id)
}

// answer reads up to the end of one answer.
func (c *client) answer() string {
	got := ""
	for {
		kind, body, err := message(c.r)
		if err != nil {
			return got + "closed"
		}
		switch kind {
		case 'D':
			got = "ok " + string(body[6:])
		case 'I':
			got = "empty"
		case 'C':
			if got == "" {
				got = "done"
			}
		case 'E':
			pgwire.Fields(body, func(code byte, value []byte) {
				if code == 'C' {
					got = string(value)
				}
			})
		case 'Z':
			if got != "" {
				return got
			}
		}
	}
}

func (c *client) ask(t testing.TB, text string) string {
	t.Helper()
	c.Write(asQuery(text))
	return c.answer()
}

const pushedBack, aborted, unclear = "53300", "58000", "08P01"

// Each member has a group and a way to fail of its own; the outcome must be what the bytes prove, and no more.
func TestBreaksAtEachStage(t *testing.T) {
	hangUp := func(net.Conn) bool { return false }
	breaks := []struct {
		what, want, outcome string
		greet               func(net.Conn) bool
		act                 func(net.Conn, *query) bool
		member              *standIn
	}{
		{what: "refused", want: pushedBack, outcome: "no_connection"},
		{what: "hangs up on the connect", want: pushedBack, outcome: "no_connection", greet: hangUp, act: leader},
		{what: "says nothing on the connect", want: pushedBack, outcome: "no_connection", greet: silence, act: leader},
		{what: "has too many connections", want: pushedBack, outcome: "full", act: leader, greet: func(c net.Conn) bool {
			c.Write(pgwire.AppendError(nil, true, "53300", "too many", -1))
			return false
		}},
		{what: "speaks something else", want: pushedBack, outcome: "no_connection", act: leader, greet: func(c net.Conn) bool {
			c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
			return false
		}},
		{what: "hangs up on the query", want: aborted, outcome: "broken", act: func(net.Conn, *query) bool { return false }},
		{what: "hangs up mid answer", want: aborted, outcome: "broken", act: func(c net.Conn, q *query) bool {
			c.Write(rows("half")[:30])
			return false
		}},
		{what: "answers garbage", want: aborted, outcome: "broken", act: func(c net.Conn, q *query) bool {
			c.Write([]byte{'D', 255, 255, 255, 255, 1, 2})
			return silence(c)
		}},
		{what: "answers without a row", want: aborted, outcome: "broken", act: func(c net.Conn, q *query) bool {
			c.Write(pgwire.AppendDone(nil, "SELECT 0"))
			return true
		}},
		{what: "says nothing", want: aborted, outcome: "timed_out", act: func(c net.Conn, q *query) bool { return silence(c) }},
		{what: "fails", want: aborted, outcome: "failed", act: func(c net.Conn, q *query) bool { return refuse(c, "XX000", "leader") }},
		{what: "fails and hangs up", want: aborted, outcome: "failed", act: func(c net.Conn, q *query) bool {
			c.Write(pgwire.AppendError(nil, true, "XX000", "no", -1))
			return false
		}},
		{what: "is full", want: pushedBack, outcome: "full", act: func(c net.Conn, q *query) bool { return refuse(c, "53300", "leader") }},
		{what: "is no primary", want: pushedBack, outcome: "miss", act: func(c net.Conn, q *query) bool { return refuse(c, "25006", "follower") }},
		{what: "says more than was asked", want: "ok value of f14", outcome: "ok", act: func(c net.Conn, q *query) bool {
			ok(c, q, "leader")
			c.Write(rows("more"))
			return true
		}},
	}
	whole := pgwire.AppendReady(note(rows("value"), "leader"))
	row, tag := bytes.Index(whole, []byte("value")), bytes.Index(whole, []byte("SELECT 1"))
	for what, spoilt := range map[string][]byte{
		"gives a row that is too short":     slices.Replace(bytes.Clone(whole), row-4, row, 0, 0, 0, 4),
		"gives a row of 3 GB":               slices.Replace(bytes.Clone(whole), row-4, row, 0xb2, 0xd0, 0x5e, 0),
		"gives two columns":                 slices.Replace(bytes.Clone(whole), row-6, row-4, 0, 2),
		"describes no column":               slices.Replace(bytes.Clone(whole), 5, 7, 0, 0),
		"ends a command with noise":         slices.Replace(bytes.Clone(whole), tag, tag+1, 7),
		"ends a command without its end":    slices.Replace(bytes.Clone(whole), tag+8, tag+9, '1'),
		"gives its row twice":               slices.Insert(bytes.Clone(whole), row-11, whole[row-11:row+5]...),
		"is ready for something else":       slices.Replace(bytes.Clone(whole), len(whole)-1, len(whole), 'x'),
		"gives an error without a code":     pgwire.AppendReady(append(pgwire.AppendHead(nil, 'E', 6), "SERR\x00\x00"...)),
		"gives an error whose code is none": pgwire.AppendReady(pgwire.AppendError(nil, false, "5330\x01", "no", -1)),
		"gives a parameter without a value": append(append(pgwire.AppendHead(nil, 'S', 2), "x\x00"...), whole...),
		"turns it away but not wholly":      append(pgwire.AppendError(nil, false, "53300", "no", -1), 'Z', 0, 0, 0, 5, 'x'),
		"greets instead":                    pgwire.AppendWelcome(nil, 1, 1),
	} {
		i := len(breaks)
		breaks = append(breaks, breaks[0])
		breaks[i].what, breaks[i].want, breaks[i].outcome = what, aborted, "broken"
		breaks[i].act = func(c net.Conn, q *query) bool {
			c.Write(spoilt)
			return silence(c)
		}
	}
	var targets []string
	wanted := make(map[string]int)
	for i := range breaks {
		b := &breaks[i]
		b.member = startMember(t, b.act)
		b.member.greet = b.greet
		if b.act == nil {
			b.member.listener.Close()
		}
		wanted["attempts_"+b.outcome]++
		targets = append(targets, target(i, i, b.member.listener.Addr(), "in_service"))
	}
	d := start(t, "", 100, listOf(1, true, targets...))
	var all sync.WaitGroup
	for i, b := range breaks {
		all.Go(func() {
			id := fmt.Sprintf("f%d", i)
			began := time.Now()
			if got := dial(t, d.at).ask(t, statement(id, "pay", 600, i)); got != b.want {
				t.Errorf("%s: the client hears %s, not %s", b.what, got, b.want)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("%s: the answer took %v", b.what, took)
			}
			ran := b.member.seen()
			for _, q := range ran {
				if field(q.text, "id") != id || field(q.text, "k") != "key-"+id ||
					!strings.HasSuffix(q.text, " */ INSERT INTO items (id, doc) VALUES ('"+id+"', 'x')") {
					t.Errorf("%s: the member was sent %q", b.what, q.text)
				}
				if left, err := strconv.Atoi(field(q.text, "d")); err != nil || left < 1 || left > 600 {
					t.Errorf("%s: the member is told of %s ms", b.what, field(q.text, "d"))
				}
			}
			if len(ran) > 1 && b.want == aborted {
				t.Errorf("%s: %d attempts of which one may have run", b.what, len(ran))
			}
		})
	}
	all.Wait()
	d.stop()
	for outcome, count := range wanted {
		if d.counters[outcome] < count {
			t.Errorf("%d attempts counted as %s, at least %d wanted", d.counters[outcome], outcome, count)
		}
	}
	if d.counters["attempts_sent"] != d.outcomes() || d.rpcs.Len() != 0 || d.members.pools[0].Out() != 0 {
		t.Errorf("%d RPCs and %d attempts are left, counted %v", d.rpcs.Len(), d.members.pools[0].Out(), d.counters)
	}
}

func (d *running) outcomes() (sum int) {
	for _, name := range outcomeNames {
		sum += d.counters["attempts_"+name]
	}
	return sum
}

// Members and clients do anything at random; the rules must hold for each RPC.
func TestRulesHoldOnRandomDays(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var members []*standIn
			var targets []string
			for i := range 4 {
				role := map[bool]string{true: "leader", false: "follower"}[i%2 == 0]
				chance, mutex := pcg.New(seed*100+uint64(i)), sync.Mutex{}
				m := startMember(t, func(c net.Conn, q *query) bool {
					mutex.Lock()
					dice, wait := chance.Float(), time.Duration(chance.Below(20))*time.Millisecond
					mutex.Unlock()
					write := strings.Contains(q.text, "c=order") || strings.Contains(q.text, "c=pay")
					if write && role != "leader" {
						return refuse(c, "25006", role)
					}
					time.Sleep(wait)
					switch {
					case dice < 0.08:
						return refuse(c, "53300", role)
					case dice < 0.12:
						return refuse(c, "72000", role)
					}
					q.mayHaveRun = true
					switch {
					case dice < 0.17:
						return false
					case dice < 0.21:
						c.Write(rows("half")[:25])
						return false
					case dice < 0.26:
						return refuse(c, "XX000", role)
					case dice < 0.29:
						return silence(c)
					}
					return ok(c, q, role)
				})
				members, targets = append(members, m), append(targets, target(i, i/2, m.listener.Addr(), "in_service"))
			}
			d := start(t, "", 60, listOf(1, true, targets...))
			type result struct {
				id, method, answer string
				sent, answered     time.Time
			}
			results := make(chan result, 1000)
			var all sync.WaitGroup
			for n := range 8 {
				all.Go(func() {
					chance := pcg.New(seed*1000 + uint64(n))
					c := dial(t, d.at)
					for i := range 30 {
						r := result{id: fmt.Sprintf("%d%c%d", n, 'a', i), method: []string{"look", "own", "order", "pay"}[chance.Below(4)]}
						r.sent = time.Now()
						c.Write(asQuery(statement(r.id, r.method, 300, chance.Below(2))))
						if chance.Float() < 0.05 { // gone before the answer
							c.Close()
							c = dial(t, d.at)
							r.answer = "left"
						} else {
							r.answer = c.answer()
						}
						r.answered = time.Now()
						results <- r
					}
				})
			}
			all.Wait()
			close(results)
			d.stop()
			attempts := make(map[string][]*query)
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
				case pushedBack:
					if mayHaveRun > 0 && (r.method == "pay" || r.method == "order") {
						t.Errorf("%s: %s is pushed back though it may have run", r.id, r.method)
					}
				case aborted, "left":
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

func TestQueriesSplitAnywhereAreAnsweredInOrder(t *testing.T) {
	m := startMember(t, leader)
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	all := pgwire.AppendFirst(nil, "app", "shop")
	all = append(append(append(all, asQuery(statement("a1", "order", 5000, 0))...), asQuery("SET x = 1")...), asQuery(statement("a2", "look", 5000, 0))...)
	for split := range len(all) {
		conn, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		c := &client{conn, bufio.NewReader(conn)}
		c.Write(all[:split])
		if split%8 == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Write(all[split:])
		if a, b, e := c.answer(), c.answer(), c.answer(); a != "ok value of a1" || b != "done" || e != "ok value of a2" {
			t.Fatalf("split at %d: %s, %s, %s", split, a, b, e)
		}
		c.Close()
	}
	if m.opened > 3 {
		t.Errorf("%d connections were opened for RPCs that came one after the other", m.opened)
	}
}

func TestBadInputIsAnswered(t *testing.T) {
	m := startMember(t, leader)
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	c := dial(t, d.at)
	for _, text := range []string{
		"SELECT 1", "/* c=look,d=100 */ SELECT 'x'", "/* c=none,d=100,cluster=0 */ SELECT 'x'", "/* c=look,d=soon,cluster=0 */ SELECT 'x'",
		"/* c=look,d=100,cluster=0 */", "/* c=look,d=100,cluster=70000 */ SELECT 'x'", "/* never ends",
	} {
		if got := c.ask(t, text); got != unclear {
			t.Errorf("%q is answered by %s", text, got)
		}
	}
	if got := c.ask(t, statement("a1", "order", 5000, 0)); got != "ok value of a1" || len(m.seen()) != 1 {
		t.Errorf("after bad statements: %s, the member saw %d", got, len(m.seen()))
	}
	c = dial(t, d.at)
	good := statement("a2", "order", 5000, 0)
	for _, change := range []string{"id=a2,>", "d=5000>d=0", "d=5000>d=-5000", "d=5000>d=5000,d=1", "k=key-a2,>", "id=a2>id=a2,id=a3", "d=5000>d=5000,after=soon",
		"d=5000>d=5000,after=99999999999999"} {
		old, new, _ := strings.Cut(change, ">")
		if got := c.ask(t, strings.Replace(good, old, new, 1)); got != unclear {
			t.Errorf("with %q the client hears %s", change, got)
		}
	}
	for range 20 { // whoever goes on like this is let go
		c.Write(asQuery("SELECT 1"))
	}
	if got := c.answer(); got != unclear+"closed" {
		t.Errorf("to one useless query after the other: %s", got)
	}
	if got := c.answer(); got != "closed" {
		t.Errorf("the client is still heard: %s", got)
	}
	c = dial(t, d.at) // who is still sending hears it too
	go c.Write(append(pgwire.AppendHead(nil, 'Q', 60<<20), make([]byte, 60<<20)...))
	if got := c.answer(); got != unclear+"closed" {
		t.Errorf("a value of 60 MB: %s", got)
	}
	for what, bytes := range map[string][]byte{
		"a length that cannot be": {'Q', 255, 255, 255, 255}, "another message": {'P', 0, 0, 0, 4},
		"a text without end": {'Q', 0, 0, 0, 5, 'x'}, "a text of nothing": {'Q', 0, 0, 0, 4},
	} {
		c := dial(t, d.at)
		c.Write(bytes)
		if got := c.answer(); got != unclear+"closed" {
			t.Errorf("%s: %s", what, got)
		}
	}
}

// What comes behind an RPC that is served, or names the same id, neither waits for it nor reaches a member.
func TestBadInputBehindAnOpenRPC(t *testing.T) {
	m := startMember(t, func(c net.Conn, q *query) bool {
		time.Sleep(500 * time.Millisecond)
		return leader(c, q)
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	first, same, bad := dial(t, d.at), dial(t, d.at), dial(t, d.at)
	first.Write(asQuery(statement("a1", "order", 5000, 0)))
	await(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	if got := same.ask(t, statement("a1", "order", 5000, 0)); got != unclear {
		t.Errorf("the id of an open RPC: %s", got)
	}
	bad.Write(append(asQuery(statement("a2", "order", 5000, 0)), asQuery("SET x = 1")...))
	time.Sleep(50 * time.Millisecond)
	bad.Write([]byte{'Q', 255, 255, 255, 255})
	if got := bad.answer(); got != unclear+"closed" {
		t.Errorf("behind an open RPC: %s", got)
	}
	if got := first.answer(); got != "ok value of a1" {
		t.Errorf("the RPC that was served meanwhile: %s", got)
	}
	if got := same.ask(t, statement("a1", "order", 5000, 0)); got != "ok value of a1" {
		t.Errorf("the id of an RPC that is done: %s", got)
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["rpcs_ok"] != 2 || d.rpcs.Len() != 0 {
		t.Errorf("counted %v", d.counters)
	}
}

// An answer that stops short is not waited for until the client's time is up; where none comes, the client hears
// of it before that.
func TestAnswersThatStopShort(t *testing.T) {
	m := startMember(t, func(c net.Conn, q *query) bool {
		switch field(q.text, "id") {
		case "silent":
			return silence(c)
		case "short":
			c.Write(rows("value of short")[:40])
			return silence(c)
		}
		return leader(c, q)
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	c := dial(t, d.at)
	c.ask(t, statement("any", "order", 5000, 0)) // shows who the primary is
	began := time.Now()
	if got := c.ask(t, statement("short", "pay", 5000, 0)); got != aborted || time.Since(began) > time.Second {
		t.Errorf("after %v the client hears %s", time.Since(began), got)
	}
	began = time.Now()
	if got := c.ask(t, statement("silent", "pay", 400, 0)); got != aborted || time.Since(began) >= 400*time.Millisecond {
		t.Errorf("after %v of 400 ms the client hears %s", time.Since(began), got)
	}
}

func TestClientThatLeavesFreesTheMember(t *testing.T) {
	gone := make(chan bool, 1)
	m := startMember(t, func(c net.Conn, q *query) bool {
		silence(c)
		gone <- true
		return false
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	c := dial(t, d.at)
	c.Write(asQuery(statement("a1", "order", 20000, 0)))
	await(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	c.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the attempt goes on")
	}
	d.stop()
	if d.counters["rpcs_left"] != 1 || d.counters["attempts_cancelled"] != 1 {
		t.Errorf("counted %v", d.counters)
	}
}

func TestPlannedStopAnswersAll(t *testing.T) {
	m := startMember(t, func(c net.Conn, q *query) bool {
		if field(q.text, "id") == "a1" {
			time.Sleep(900 * time.Millisecond)
		}
		return leader(c, q)
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	held, idle := dial(t, d.at), dial(t, d.at)
	if got := idle.ask(t, ""); got != "empty" {
		t.Fatal(got)
	}
	held.Write(asQuery(statement("a1", "order", 5000, 0)))
	await(t, "an attempt reaches the member", func() bool { return len(m.seen()) > 0 })
	stopped := make(chan bool)
	go func() {
		d.stop()
		close(stopped)
	}()
	time.Sleep(500 * time.Millisecond) // SIGKILL cannot come before the time of what is asked now is up
	late := dial(t, d.at)
	if got := late.ask(t, statement("a2", "own", 5000, 0)); got != "ok value of a2" {
		t.Errorf("a newcomer hears %s", got)
	}
	for _, id := range []string{"a3", "a4", "a5"} {
		if got := idle.ask(t, statement(id, "own", 5000, 0)); got != "ok value of "+id {
			t.Errorf("who was there already hears %s", got)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if got := held.answer(); got != "ok value of a1" {
		t.Errorf("the held RPC hears %s", got)
	}
	if got := idle.answer(); got != "closed" {
		t.Errorf("a client between RPCs hears %s", got)
	}
	if got := held.answer(); got != "closed" {
		t.Errorf("after its RPC the client hears %s", got)
	}
	<-stopped
	if _, err := net.Dial("tcp", d.at); err == nil {
		t.Error("the driver is still there")
	}
}

func TestDescriptorsRunOutInOrder(t *testing.T) {
	const limit = 40
	m := startMember(t, leader)
	d := start(t, "", limit, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	var clients []*client
	for i := range 3 * limit { // more than may be connected; those that ask nothing make room
		c := dial(t, d.at)
		if got := c.ask(t, statement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d hears %s", i, got)
		}
		clients = append(clients, c)
	}
	d.stop()
	if _, most := d.loop.Open(); most > d.site.Descriptors || d.counters["clients_closed_idle"] == 0 {
		t.Errorf("%d descriptors of %d, counted %v", most, d.site.Descriptors, d.counters)
	}
	for _, c := range clients {
		c.Close()
	}
}

// Clients that say nothing, half of something, or read nothing make room in the end, however many they are.
func TestSilentClientsMakeRoom(t *testing.T) {
	const limit = 40
	value := strings.Repeat("v", 60000)
	m := startMember(t, func(c net.Conn, q *query) bool {
		c.Write(pgwire.AppendReady(note(rows(value), "leader")))
		return true
	})
	d := start(t, "", limit, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	for i, says := range []func(c *client){
		func(c *client) {},
		func(c *client) { c.Write(asQuery(statement("half", "look", 5000, 0))[:20]) },
		func(c *client) {
			for range 200 { // 12 MB that nobody reads
				c.Write(asQuery(statement("deaf", "look", 9000, 0)))
			}
		},
	} {
		for range limit >> i {
			says(dial(t, d.at))
		}
		began := time.Now()
		if got := dial(t, d.at).ask(t, statement("last", "look", 9000, 0)); got != "ok "+value {
			t.Errorf("behind them one hears %.40s", got)
		} else if waited := time.Since(began); waited > 10*time.Second {
			t.Errorf("it is heard after %v", waited)
		}
	}
	quiet := dial(t, d.at)
	quiet.ask(t, "")
	quiet.SetDeadline(time.Now().Add(3 * time.Second))
	if got := quiet.answer(); got != "closed" {
		t.Errorf("who says nothing hears %s", got)
	}
}

// Those who ask once and stay leave room for others that ask; those who never ask make room before them.
func TestWhoMakesRoomFirst(t *testing.T) {
	m := startMember(t, leader)
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	var stay []*client
	for i := range 40 {
		c := dial(t, d.at)
		if got := c.ask(t, statement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("client %d hears %s", i, got)
		}
		stay = append(stay, c)
	}
	if got := stay[5].answer(); got != "closed" {
		t.Errorf("an early one hears %s", got)
	}
	for range 4 {
		for range 20 {
			dial(t, d.at)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for i, c := range stay[25:] {
		if got := c.ask(t, statement(fmt.Sprint("again", i), "order", 5000, 0)); got != "ok value of again"+fmt.Sprint(i) {
			t.Errorf("beside those who say nothing client %d hears %s", i, got)
		}
	}
}

// What waited in the kernel, as while newcomers wait for a descriptor, has that much less time left.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	m := startMember(t, leader)
	n := build(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")), testSettings)
	short, long := dial(t, n.site.Listen.String()), dial(t, n.site.Listen.String())
	short.Write(asQuery(statement("a1", "order", 400, 0)))
	long.Write(asQuery(statement("a2", "order", 9000, 0)))
	time.Sleep(600 * time.Millisecond)
	run(t, n)
	if got := short.answer(); got != pushedBack {
		t.Errorf("an RPC whose time was over hears %s", got)
	}
	if got := long.answer(); got != "ok value of a2" {
		t.Errorf("an RPC with time left hears %s", got)
	}
	for _, q := range m.seen() {
		if left, _ := strconv.Atoi(field(q.text, "d")); field(q.text, "id") != "a2" || left > 8450 {
			t.Errorf("the member was sent %q", q.text)
		}
	}
}

// A value of 512 KiB goes both ways, in hex within the statement and as it is in the answer.
func TestLargeValues(t *testing.T) {
	value := strings.Repeat("v", 512<<10)
	m := startMember(t, func(c net.Conn, q *query) bool {
		c.Write(pgwire.AppendReady(note(rows(value[:len(value)-len(q.text)%2]), "leader")))
		return true
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	c := dial(t, d.at)
	for i := range 20 {
		large := statement(fmt.Sprint(i), "order", 9000, 0) + " /* " + strings.Repeat("0a", 512<<10)
		if got := c.ask(t, large); got[3:] != value[:len(got)-3] || len(got) < len(value) {
			t.Fatalf("the client hears %.40s of %d bytes", got, len(got))
		}
		if seen := m.seen(); len(seen) != i+1 || len(seen[i].text) < 1<<20 {
			t.Fatalf("%d statements reached the member", len(seen))
		}
	}
}

// What an RPC or a member leaves behind goes with it, also where the client would wait for weeks.
func TestNothingIsLeftBehind(t *testing.T) {
	m := startMember(t, leader)
	n := build(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")), testSettings)
	for range 3 {
		n.members.Listed("s-9", netip.MustParseAddrPort("127.0.0.1:9"), "a", 0, driver.Ready, 1, 0, false)
		n.members.forget(n.members.lastID)
	}
	if len(n.members.ids) != 1 || len(n.members.uids) != 1 || n.members.lastID != 4 {
		t.Errorf("%d and %d members are known, the last number is %d", len(n.members.ids), len(n.members.uids), n.members.lastID)
	}
	d := run(t, n)
	c := dial(t, d.at)
	for i := range 300 {
		if got := c.ask(t, statement(fmt.Sprint(i), "order", 1<<31-1, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("RPC %d: %s", i, got)
		}
	}
	d.stop()
	if dues := d.loop.Dues(); dues > 20 {
		t.Errorf("%d due times are left", dues)
	}
}

func TestSlowReadersGetAllInOrder(t *testing.T) {
	value := strings.Repeat("v", 60000)
	m := startMember(t, func(c net.Conn, q *query) bool {
		c.Write(pgwire.AppendReady(note(rows(field(q.text, "id")+value), "leader")))
		return true
	})
	d := start(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")))
	slow, quick := dial(t, d.at), dial(t, d.at)
	const queries = 200 // 12 MB: more than the sockets take
	for i := range queries {
		slow.Write(asQuery(statement(fmt.Sprint(i), "look", 20000, 0)))
	}
	for i := range 20 {
		if got := quick.ask(t, statement(fmt.Sprint("q", i), "order", 5000, 0)); got != "ok q"+fmt.Sprint(i)+value {
			t.Fatalf("the quick client hears %.40s", got)
		}
	}
	for i := range queries {
		if got := slow.answer(); got != "ok "+fmt.Sprint(i)+value {
			t.Fatalf("answer %d is %.40s", i, got)
		}
	}
}

// startDiscovery tells of each call and answers it with the next text.
func startDiscovery(t *testing.T, calls chan bool, answers chan string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if line != "\r\n" {
						continue
					}
					calls <- true
					body := <-answers
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:4], len(body)-4, body[4:])
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestListChangesAreFollowed(t *testing.T) {
	first, second := startMember(t, func(c net.Conn, q *query) bool {
		if field(q.text, "id") == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		return leader(c, q)
	}), startMember(t, leader)
	calls, answers := make(chan bool, 100), make(chan string)
	d := start(t, startDiscovery(t, calls, answers), 100, listOf(1, true, target(1, 0, first.listener.Addr(), "in_service")))
	c := dial(t, d.at)
	ask := func(id, want string) {
		t.Helper()
		if got := c.ask(t, statement(id, "order", 400, 0)); got != want {
			t.Fatalf("%s: the client hears %s", id, got)
		}
	}
	change := func(texts ...string) {
		for _, text := range texts {
			answers <- text
			<-calls // the next one shows that this has been read
		}
	}
	<-calls
	ask("a1", "ok value of a1")
	slow := dial(t, d.at)
	slow.Write(asQuery(statement("slow", "order", 5000, 0)))
	await(t, "the slow attempt reaches the member", func() bool { return len(first.seen()) >= 2 })
	change(listOf(2, false), listOf(3, false, target(1, 0, second.listener.Addr(), "in_service"))) // it has moved
	if got := slow.answer(); got != "ok value of slow" {
		t.Fatalf("an RPC that was out when its member moved hears %s", got)
	}
	ask("a2", "ok value of a2")
	if len(first.seen()) != 2 || len(second.seen()) != 1 {
		t.Fatalf("%d and %d attempts", len(first.seen()), len(second.seen()))
	}
	change(listOf(4, false, target(1, 0, second.listener.Addr(), "terminating")))
	ask("a3", pushedBack)
	change(`{"rev":"broken"}`) // a failed call: the last list holds
	ask("a4", pushedBack)
	change(listOf(5, true, target(2, 0, first.listener.Addr(), "in_service")))
	ask("a5", "ok value of a5")
	if len(second.seen()) != 1 {
		t.Errorf("%d attempts reached a member that drains", len(second.seen())-1)
	}
}

// SIGHUP brings another address of discovery, whatever the environment said at the start; an unusable file
// changes nothing.
func TestReload(t *testing.T) {
	first, second := startMember(t, leader), startMember(t, leader)
	calls, answers := make(chan bool, 100), make(chan string, 1)
	old := startDiscovery(t, make(chan bool, 100), make(chan string))
	n := build(t, old, 100, listOf(1, true, target(1, 0, first.listener.Addr(), "in_service")), testSettings)
	n.site.environment = func(name string) string { return map[string]string{"BALANCER_DISCOVERY": old}[name] }
	text, err := os.ReadFile(n.site.file)
	if err != nil {
		t.Fatal(err)
	}
	d := run(t, n)
	c := dial(t, d.at)
	reload := func(text string) {
		t.Helper()
		os.WriteFile(n.site.file, []byte(text), 0o600)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		if got := c.ask(t, statement("a1", "order", 5000, 0)); got != "ok value of a1" {
			t.Fatalf("under a reload one hears %s", got)
		}
	}
	reload("{")
	time.Sleep(time.Second)
	answers <- listOf(7, true, target(2, 0, second.listener.Addr(), "in_service"))
	fresh := strings.Replace(string(text), old, startDiscovery(t, calls, answers), 1)
	reload(fresh[:len(fresh)/2])
	time.Sleep(50 * time.Millisecond)
	os.WriteFile(n.site.file, []byte(fresh), 0o600) // as slow as that
	for range 2 {                                   // the list and the watch behind it
		select {
		case <-calls:
		case <-time.After(4 * time.Second):
			t.Fatal("the new discovery is not asked")
		}
	}
	before := len(first.seen())
	if got := c.ask(t, statement("a2", "order", 5000, 0)); got != "ok value of a2" || len(first.seen()) != before {
		t.Errorf("after the reload one hears %s", got)
	}
	d.stop()
	if d.counters["reloads"] != 1 || d.counters["reloads_failed"] != 1 || d.counters["list_failures"] != 0 {
		t.Errorf("counted %v", d.counters)
	}
}

func TestConnectionsNearTheirIdleLimitAreNotUsed(t *testing.T) {
	m := startMember(t, leader)
	d := run(t, build(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")),
		strings.Replace(testSettings, `"idle_close_us":15000000`, `"idle_close_us":1200000`, 1)))
	c := dial(t, d.at)
	for i, wait := range []time.Duration{0, 0, 1300 * time.Millisecond} {
		time.Sleep(wait)
		if got := c.ask(t, statement(fmt.Sprint(i), "order", 5000, 0)); got != "ok value of "+fmt.Sprint(i) {
			t.Fatalf("RPC %d: %s", i, got)
		}
	}
	if m.opened != 2 {
		t.Errorf("%d connections for two RPCs at once and one after the idle limit", m.opened)
	}
}

// A fault in the module may leave an RPC without an answer; its client hears the truth and others are served.
func TestPanicAbortsOnlyWhatItMeets(t *testing.T) {
	m := startMember(t, leader)
	n := build(t, "", 100, listOf(1, true, target(1, 0, m.listener.Addr(), "in_service")), testSettings)
	n.module = new(rules.Router) // every call of it panics
	d := run(t, n)
	for range 3 {
		if got := dial(t, d.at).ask(t, statement("a1", "order", 100, 0)); got != aborted+"closed" {
			t.Fatalf("the client hears %s", got)
		}
	}
	time.Sleep(200 * time.Millisecond)
	d.stop()
	if d.counters["rpcs_taken"] != 3 || d.counters["rpcs_overdue"] != 3 || d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs are left, counted %v", d.rpcs.Len(), d.counters)
	}
}

func TestSiteMistakesAreNamed(t *testing.T) {
	good := `{"name":"n0","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c","limits":{"memory_mb":1,"sockets":40},"settings":` + testSettings + `}`
	for change, want := range map[string]string{
		`"listen":"127.0.0.1:6543">"listen":"here"`: "listen", `"seed":"8c">"seed":"me"`: "seed", `"sockets":40>"sockets":0`: "sockets",
		`"discovery":>"other":`: "discovery", `"classes">"others"`: "methods", `{"name">"name"`: "site.json", `"tick_us">"tock"`: "tick",
	} {
		old, new, _ := strings.Cut(change, ">")
		file := filepath.Join(t.TempDir(), "site.json")
		os.WriteFile(file, []byte(strings.Replace(good, old, new, 1)), 0o600)
		_, err := ReadSite(file, func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", change, err)
		}
	}
	if !json.Valid([]byte(good)) {
		t.Error("the unchanged text is broken")
	}
}
