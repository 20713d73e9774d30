package server

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/httpwire"
	"passtack/internal/rollout"
)

const epoch = 1767225600 * time.Second

// testFleet is a fleet of three machines and a client host in simulated time.
type testFleet struct {
	t          *testing.T
	world      *sim.World
	machines   []*Server
	hosts      []*sim.Host
	clientHost *sim.Host
	clientLoop *eventloop.Loop
}

func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7400)
}

// memoryStorage is a Storage in memory. Each write takes 3 ms.
type memoryStorage struct {
	world     *sim.World
	host      *sim.Host
	persisted PersistedState
	fails     bool
}

func (m *memoryStorage) Persist(state PersistedState, done func(error)) {
	m.world.At(m.world.Now()+3*time.Millisecond, func() {
		m.host.Post(func() {
			if m.fails {
				done(fmt.Errorf("the disk is full"))
				return
			}
			m.persisted = state
			done(nil)
		})
	})
}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, world: sim.New(3, epoch)}
	for n := range 3 {
		h := f.world.AddHost(fmt.Sprint("c", n))
		l, err := eventloop.NewWithSystem(h, 1000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		config := MachineConfig{Fleet: "test", Name: h.Name, Listen: addressOf(n)}
		for o := range 3 {
			if o != n {
				config.Peers = append(config.Peers, Peer{fmt.Sprint("c", o), addressOf(o)})
			}
		}
		s, err := New(l, config, &memoryStorage{world: f.world, host: h}, PersistedState{}, uint64(n+1))
		if err != nil {
			t.Fatal(err)
		}
		f.machines, f.hosts = append(f.machines, s), append(f.hosts, h)
	}
	f.clientHost = f.world.AddHost("caller")
	var err error
	if f.clientLoop, err = eventloop.NewWithSystem(f.clientHost, 1000, 64<<20); err != nil {
		t.Fatal(err)
	}
	f.clientHost.Serve(f.clientLoop, func() {})
	f.run(4 * time.Second)
	if f.writer() < 0 {
		t.Fatal("no machine is the writer")
	}
	return f
}

func (f *testFleet) run(duration time.Duration) { f.world.Run(f.world.Now() + duration) }

func (f *testFleet) writer() int {
	for n, s := range f.machines {
		if s.Machine().IsWriter() {
			return n
		}
	}
	return -1
}

// testConnection is a connection of the client host, with the bytes it has received.
type testConnection struct {
	stream   *eventloop.Stream
	received []byte
	closed   bool
}

func (c *testConnection) Opened()        {}
func (c *testConnection) Panicked(error) {}
func (c *testConnection) Closed(error)   { c.closed = true }
func (c *testConnection) Input(in []byte) int {
	c.received = append(c.received, in...)
	return len(in)
}

func (f *testFleet) send(n int, text string) *testConnection {
	c := &testConnection{}
	f.clientHost.Post(func() {
		var err error
		if c.stream, err = f.clientLoop.Dial(addressOf(n), c, 8<<20); err != nil {
			f.t.Fatal(err)
		}
		c.stream.Send([]byte(text))
	})
	return c
}

func request(verb, path, fields, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", verb, path, fields, len(body), body)
}

// answer parses the first answer on the connection.
func (c *testConnection) answer(t *testing.T) httpwire.Reply {
	t.Helper()
	r, fault := httpwire.NextReply(c.received, false, false, httpwire.Limits{Head: 2000, Fields: 20, Body: 1 << 20})
	if fault != nil {
		t.Fatalf("%q: %v", c.received, fault)
	}
	return r
}

func watch(driver string, version uint64, maxWaitMS int) string {
	return request("POST", "/watch", "", fmt.Sprintf(`{"fleet":"test","driver":%q,"from":%d,"hold_ms":%d}`, driver, version, maxWaitMS))
}

func publish(id, base uint64, text string) string {
	return request("POST", "/publish", fmt.Sprintf("Version: %d\r\nPublication: %x\r\n", base, id), text)
}

const validText = `{"settings":{"caps":{"most_tries":4}}}`

// A watch is answered on each machine as soon as a newer version is committed, and otherwise at the end of the wait it asked for.
func TestWatchesReceiveNewVersions(t *testing.T) {
	f := newFleet(t)
	idle := f.send(0, watch("d0", 0, 500))
	f.run(400 * time.Millisecond)
	if len(idle.received) > 0 {
		t.Errorf("the watch was answered immediately: %q", idle.received)
	}
	if f.run(200 * time.Millisecond); idle.answer(t).Status != 204 {
		t.Errorf("answered %q", idle.received)
	}
	var waiting []*testConnection
	for n := range 3 {
		waiting = append(waiting, f.send(n, watch("d0", 0, 3000)))
	}
	f.run(10 * time.Millisecond)
	p := f.send(f.writer(), publish(7, 0, " {\n \"settings\": {\"caps\": {\"most_tries\": 4}}\n}\n"))
	f.run(300 * time.Millisecond)
	if r := p.answer(t); r.Status != 200 || !strings.Contains(string(r.Body), `"version":1`) {
		t.Fatalf("published: %d %s", r.Status, r.Body)
	}
	for n, c := range waiting {
		if r := c.answer(t); r.Status != 200 || r.Fields.Text(VersionField) != "1" || string(r.Body) != validText {
			t.Errorf("machine %d: %q", n, c.received)
		}
	}
	late := f.send(1, watch("d1", 1, 100))
	rejecting := f.send(1, request("POST", "/watch", "", `{"fleet":"test","driver":"d2","from":0,"refused":1,"why":"no","needs_restart":["tick_us"],"hold_ms":100}`))
	f.run(300 * time.Millisecond)
	if late.answer(t).Status != 204 || rejecting.answer(t).Status != 204 {
		t.Errorf("%q, %q", late.received, rejecting.received)
	}
	status := f.send(1, request("GET", "/status", "", ""))
	f.run(100 * time.Millisecond)
	var s Status
	if err := json.Unmarshal(status.answer(t).Body, &s); err != nil || len(s.Drivers) != 3 || s.Version != 1 || !s.Fresh || !s.Votes || s.Writer != fmt.Sprint("c", f.writer()) {
		t.Fatalf("%v: %+v", err, s)
	}
	if d := s.Drivers[2]; d.Name != "d2" || d.RejectedVersion != 1 || d.RejectReason != "no" || len(d.NeedsRestart) != 1 {
		t.Errorf("%+v", d)
	}
}

// A machine that is partitioned from its peers answers watches with 503 instead of claiming that there is no newer version. A publisher that
// asks a machine other than the writer receives the name of the writer.
func TestStaleMachineAnswersUnavailable(t *testing.T) {
	f := newFleet(t)
	w := f.writer()
	other, third := (w+1)%3, (w+2)%3
	p := f.send(other, publish(7, 0, validText))
	f.run(100 * time.Millisecond)
	if r := p.answer(t); r.Status != 421 || !strings.Contains(string(r.Body), fmt.Sprintf(`"writer":"c%d"`, w)) {
		t.Errorf("%d %s", r.Status, r.Body)
	}
	for _, o := range []int{w, third} {
		f.world.SetLink(f.hosts[other], f.hosts[o], sim.Link{Cut: true, ResendDelay: 100 * time.Millisecond})
	}
	f.run(2 * time.Second)
	c := f.send(other, watch("d0", 0, 300))
	f.run(500 * time.Millisecond)
	if c.answer(t).Status != 503 {
		t.Errorf("%q", c.received)
	}
	for _, o := range []int{w, third} {
		f.world.SetLink(f.hosts[other], f.hosts[o], sim.LocalLink)
	}
	f.run(4 * time.Second)
	c = f.send(other, watch("d0", 0, 300))
	f.run(500 * time.Millisecond)
	if c.answer(t).Status != 204 {
		t.Errorf("healed: %q", c.received)
	}
}

// Invalid input is rejected with an error that names it. It closes only its own connection and changes no state.
func TestInvalidInputClosesOnlyItsConnection(t *testing.T) {
	f := newFleet(t)
	w := f.writer()
	machine := func(body string) string { return request("POST", "/machine", "", body) }
	for name, c := range map[string]struct {
		text, want string
		status     int
	}{
		"not HTTP":                  {"hello\r\n\r\n", "", 400},
		"an unknown path":           {request("GET", "/secrets", "", ""), "there is no GET /secrets", 404},
		"a body of 4 MiB":           {publish(7, 0, strings.Repeat("x", 4<<20)), "the body is too long", 413},
		"a text over the limit":     {publish(7, 0, `{"settings":{"`+strings.Repeat("x", rollout.MaxTextBytes)+`":1}}`), "524307 bytes are over the 524288", 413},
		"not JSON":                  {publish(7, 0, "{\n \"settings\": oops}"), "2:14: invalid character 'o'", 400},
		"an unknown key":            {publish(7, 0, `{"settings":{"clases":[]}}`), `settings.clases is \"\": there is no such setting`, 400},
		"an unknown field":          {publish(7, 0, `{"listen":"x"}`), `unknown field \"listen\"`, 400},
		"a wrong value":             {publish(7, 0, `{"settings":{"caps":{"most_tries":0}}}`), `settings.caps.most_tries is \"0\": a whole number from 1 on is wanted`, 400},
		"each driver's own":         {publish(7, 0, `{"settings":{"locality":1}}`), `settings.locality is \"1\": it is each driver's own`, 400},
		"no version":                {request("POST", "/publish", "Publication: 7\r\n", validText), `Version is \"\"`, 400},
		"no publication":            {request("POST", "/publish", "Version: 0\r\nPublication: x\r\n", validText), `Publication is \"x\"`, 400},
		"not UTF-8":                 {publish(7, 0, "{\"settings\":{\"caps\":{\"x\":\"\xff\"}}}"), "the text is no UTF-8", 400},
		"another version":           {publish(7, 5, validText), `"outcome":"outdated"`, 409},
		"a driver of another fleet": {request("POST", "/watch", "", `{"fleet":"other","driver":"d0"}`), "no call of a driver of this fleet", 400},
		"a driver without a name":   {request("POST", "/watch", "", `{"fleet":"test"}`), "no call of a driver of this fleet", 400},
		"a version far too high":    {watch("d9", 1<<62, 100), "from is 4611686018427387904: there is no such version", 400},
		"an unknown machine":        {machine(`{"fleet":"test","from":"c9","life":1,"rollout":{"Op":"prepare","Ballot":{"Number":99}}}`), "no message of this fleet", 400},
		"another fleet's machine":   {machine(`{"fleet":"other","from":"c1","life":1}`), "no message of this fleet", 400},
		"a corrupt lease message":   {machine(fmt.Sprintf(`{"fleet":"test","from":"c%d","life":1,"lease":"AAAA"}`, (w+1)%3)), "no message of this fleet", 400},
	} {
		connection := f.send(w, c.text)
		f.run(700 * time.Millisecond)
		r := connection.answer(t)
		if r.Status != c.status || !strings.Contains(string(r.Body), c.want) {
			t.Errorf("%s: %d %s", name, r.Status, r.Body)
		}
		if !connection.closed && c.status != 409 {
			t.Errorf("%s: the connection stays open", name)
		}
	}
	incomplete := f.send(w, "POST /publish HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
	silent := f.send(w, "")
	f.run(idleTimeout + 300*time.Millisecond)
	if !incomplete.closed || !silent.closed {
		t.Errorf("connection closed with an incomplete request: %v, without a request: %v", incomplete.closed, silent.closed)
	}
	if v := f.machines[w].Machine().Committed().Version; v != 0 {
		t.Errorf("version %d is committed", v)
	}
	p := f.send(f.writer(), publish(7, 0, validText))
	f.run(300 * time.Millisecond)
	if r := p.answer(t); r.Status != 200 {
		t.Errorf("afterwards: %d %s", r.Status, r.Body)
	}
}

// Machines that have lost their storage must not reuse the number of a version that a driver has in force or has rejected: the driver would
// ignore the new version.
func TestRejectedVersionNumbersAreNotReused(t *testing.T) {
	f := newFleet(t)
	c := f.send((f.writer()+1)%3, request("POST", "/watch", "", `{"fleet":"test","driver":"d0","from":8,"refused":9,"why":"no","hold_ms":2000}`))
	f.run(500 * time.Millisecond)
	p := f.send(f.writer(), publish(7, 0, validText))
	f.run(500 * time.Millisecond)
	if r := p.answer(t); r.Status != 200 || !strings.Contains(string(r.Body), `"version":10`) {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if r := c.answer(t); r.Status != 200 || r.Fields.Text(VersionField) != "10" {
		t.Errorf("the driver receives %q", c.received)
	}
}

// A machine whose storage fails does not vote. One such machine of three does not prevent a publication, two do.
func TestFailingStorage(t *testing.T) {
	f := newFleet(t)
	w := f.writer()
	f.machines[(w+1)%3].storage.(*memoryStorage).fails = true
	p := f.send(w, publish(7, 0, validText))
	f.run(300 * time.Millisecond)
	if r := p.answer(t); r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	f.machines[(w+2)%3].storage.(*memoryStorage).fails = true
	p = f.send(w, publish(8, 1, validText))
	f.run(time.Second)
	if len(p.received) > 0 && p.answer(t).Status == 200 {
		t.Error("published although the storage of two machines of three fails")
	}
	for n := range 3 {
		f.machines[n].storage.(*memoryStorage).fails = false
	}
	f.run(3 * time.Second)
	p = f.send(f.writer(), publish(8, 1, validText))
	f.run(300 * time.Millisecond)
	if r := p.answer(t); r.Status != 200 || !strings.Contains(string(r.Body), `"version":2`) {
		t.Errorf("%d %s", r.Status, r.Body)
	}
}
