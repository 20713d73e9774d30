package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/control"
	"passtack/internal/lease"
	"passtack/internal/node"
	"passtack/internal/persist"
	"passtack/internal/pgwire"
	"passtack/internal/storage"
	"passtack/internal/testaddress"
	"passtack/internal/testmember"
)

// primary is a stand-in for a primary. It records the statements it receives, except empty queries.
type primary struct {
	listener net.Listener
	mutex    sync.Mutex
	writes   []string
}

func startPrimary(t *testing.T) *primary {
	t.Helper()
	p := new(primary)
	p.listener = testmember.Serve(t, p)
	return p
}

// Greeting implements testmember.Handler.
func (p *primary) Greeting() []byte {
	return pgwire.AppendAuthenticationOK(testmember.Parameters(true), 1, 1)
}

// Answer implements testmember.Handler.
func (p *primary) Answer(c net.Conn, statement string) bool {
	if statement == "" {
		_, err := c.Write(testmember.Empty(testmember.Parameters(true)))
		return err == nil
	}
	p.mutex.Lock()
	p.writes = append(p.writes, statement)
	doc := fmt.Sprintf(`{"Id":"a1","Status":"%d"}`, len(p.writes))
	p.mutex.Unlock()
	_, err := c.Write(testmember.Row(doc, testmember.Parameters(true)))
	return err == nil
}

// process is the program, started by a test.
type process struct {
	command *exec.Cmd
	log     *logBuffer
	ended   chan error
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (s *logBuffer) add(line string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.text.WriteString(line + "\n")
}

func (s *logBuffer) String() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.String()
}

// serveProcess starts a driver and waits until it serves.
func serveProcess(t *testing.T, args ...string) *process {
	t.Helper()
	return startProcess(t, append([]string{"serve"}, args...)...)
}

// startProcess starts the program and waits until it logs that it is started.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{c, new(logBuffer), make(chan error, 1)}
	serves := make(chan bool, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.log.add(lines.Text())
			if strings.Contains(lines.Text(), "event=started") {
				serves <- true
			}
		}
		p.ended <- c.Wait()
	}()
	t.Cleanup(func() { p.kill() })
	select {
	case <-serves:
	case <-time.After(20 * time.Second):
		p.kill()
		t.Fatalf("the program did not start within 20 s: %s", p.log)
	}
	return p
}

func (p *process) kill() {
	p.command.Process.Kill()
	if err, any := <-p.ended; any {
		close(p.ended)
		_ = err
	}
}

const siteTemplate = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":1024},"known":%s,
"settings":{"areas":["a"],"tick_us":5000,"registry_mode":"automatic","caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"most_tries":8},
"classes":[{"name":"look","effect":"safe","points":1,"target_us":1000000,"hard_limit_us":2500000},{"name":"own","effect":"safe","points":1,"target_us":800000,"hard_limit_us":2000000},
{"name":"order","effect":"keyed","group":"cell","window_us":1200000,"points":6,"target_us":600000,"hard_limit_us":2000000}],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update"],"lag_allowed_us":[800000,0,0],"write_marks":"client"},
"report":{"columns":["x0","x1"],"how":"inline"}}}`

// A driver is killed after it has answered an idempotent create. After the restart it has to replay the answer to a repeat instead of executing it
// again, and reject an unknown request that was first sent before the records it has, as that may have been executed.
func TestIdempotentRequestsSurviveKill(t *testing.T) {
	dir, member, frontAddress, controlAddress := t.TempDir(), startPrimary(t), testaddress.Reserve(t), testaddress.Reserve(t)
	folder := filepath.Join(dir, "state")
	os.Mkdir(folder, 0o700)
	siteFile, operatorFile := filepath.Join(dir, "site.json"), filepath.Join(dir, "operator.hcl")
	known := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`, member.listener.Addr())
	os.WriteFile(siteFile, fmt.Appendf(nil, siteTemplate, testaddress.Reserve(t), 64, known), 0o600)
	os.WriteFile(operatorFile, fmt.Appendf(nil, `state {
  folder = %q
  every = "100ms"
}
control { listen = %q }
front "odata" "offices" {
  listen = %q
  root = "/odata/"
  repeats { kept = "5m" }
  set "Applications" {
    key = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "create" {
      method = "order"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
}
`, folder, controlAddress, frontAddress), 0o600)
	create := func(id string, firstSent time.Time) (status int, body, result string) {
		r, _ := http.NewRequest("POST", "http://"+frontAddress+"/odata/Applications", strings.NewReader(`{"Id":"a1","Status":"new"}`))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Repeatability-Request-ID", id)
		r.Header.Set("Repeatability-First-Sent", firstSent.UTC().Format(http.TimeFormat))
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, string(text), answer.Header.Get("Repeatability-Result")
	}
	first := serveProcess(t, "--site", siteFile, "--operator", operatorFile)
	sent := time.Now()
	status, body, result := create("5d9f0e2a", sent)
	if status != 201 || result != "accepted" {
		t.Fatalf("first create: %d %s %s\n%s", status, body, result, first.log)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if f, err := readSavedState(folder); err == nil && len(f.Requests["offices"]) == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the answer was not saved within 10 s: %s", first.log)
		}
	}
	first.kill()
	second := serveProcess(t, "--site", siteFile, "--operator", operatorFile)
	if !strings.Contains(second.log.String(), `event="idempotent requests restored" front=offices requests=1`) {
		t.Errorf("no idempotent request was restored: %s", second.log)
	}
	if again, told, result := create("5d9f0e2a", sent); again != status || told != body || result != "accepted" {
		t.Errorf("repeat: %d %s %s, the first answer was %d %s", again, told, result, status, body)
	}
	if status, told, _ := create("of-before", sent.Add(-time.Minute)); status != 412 {
		t.Errorf("request that may have been executed long ago: %d %s, want 412", status, told)
	}
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if len(member.writes) != 1 {
		t.Errorf("the member received %q, want one statement", member.writes)
	}
	if out, ok := passtack(t, "status", controlAddress); !ok || !strings.Contains(out, "save") || !strings.Contains(out, "repeats_replayed") {
		t.Errorf("status: %s", out)
	}
}

// A driver with a memory limit of 32 MB has to restore the state of 10,000 members and 100,000 sessions, and save it again within the limit.
func TestLargeStateFitsSmallDriver(t *testing.T) {
	const members, sessions = 10_000, 100_000
	dir, controlAddress := t.TempDir(), testaddress.Reserve(t)
	folder := filepath.Join(dir, "state")
	os.Mkdir(folder, 0o700)
	store, _, err := persist.Open(folder, "n0", 32<<20)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(time.Now().UnixNano())
	v := persist.NewSaver(store, 32<<20)
	v.BeginRound()
	type target struct {
		UID      string `json:"uid"`
		Endpoint string `json:"endpoint"`
		Zone     string `json:"az"`
		Group    int    `json:"pod_group"`
		State    string `json:"state"`
		Size     int    `json:"capacity_hint"`
	}
	var targets []target
	for n := range members {
		uid := fmt.Sprint("s-", n)
		v.SaveMember(uid, driver.MemberSnapshot{Position: now - time.Second, Replica: now - time.Second, Timed: now - time.Second, Ratio: 1})
		targets = append(targets, target{uid, fmt.Sprintf("127.0.%d.%d:7000", n/250+1, n%250+1), "a", n / 5, "in_service", 1})
	}
	for n := range sessions {
		v.SessionWrote(driver.Session(n+1), now-time.Second)
	}
	if err := store.Commit(v.FinishRound(now)); err != nil {
		t.Fatal(err)
	}
	store.Close()
	known, _ := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": targets})
	siteFile, operatorFile := filepath.Join(dir, "site.json"), filepath.Join(dir, "operator.hcl")
	os.WriteFile(siteFile, fmt.Appendf(nil, siteTemplate, testaddress.Reserve(t), 32, known), 0o600)
	os.WriteFile(operatorFile, fmt.Appendf(nil, "state {\n folder = %q\n every = \"100ms\"\n}\ncontrol { listen = %q }\n", folder, controlAddress), 0o600)
	p := serveProcess(t, "--site", siteFile, "--operator", operatorFile)
	if !strings.Contains(p.log.String(), "members=10000 sessions=100000") {
		t.Errorf("restored: %s", p.log.String()[:min(2000, len(p.log.String()))])
	}
	maxMemory := 0
	for range 60 { // the driver saves in the meantime
		maxMemory = max(maxMemory, anonymousMemory(t, p.command.Process.Pid))
		time.Sleep(50 * time.Millisecond)
	}
	var s node.Status
	for range 300 { // until it has saved once: on a busy machine its background jobs are delayed
		if err := control.Query(controlAddress, "status", &s); err != nil {
			t.Fatal(err)
		}
		if s.Counters["state_saves"] > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
		maxMemory = max(maxMemory, anonymousMemory(t, p.command.Process.Pid))
	}
	longest := 0.0
	for _, c := range s.Jobs {
		longest = max(longest, c.LongestSliceMS)
		if c.Name == "save" {
			t.Logf("save: %+v", c)
		}
	}
	t.Logf("at most %d MB resident, %d saves, the longest slice %.1f ms", maxMemory>>10, s.Counters["state_saves"], longest)
	if maxMemory > 32<<10 || s.Counters["state_saves"] == 0 || s.Counters["state_failures"] > 0 {
		t.Errorf("at most %d kB resident, counters %v", maxMemory, s.Counters)
	}
}

// anonymousMemory returns the resident memory of a process in kB, without pages of its program file.
func anonymousMemory(t *testing.T, pid int) (size int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fmt.Sscanf(line, "RssAnon: %d kB", &size)
	}
	return size
}

// A voter whose lease folder belongs to another driver has to start without it, and log that its lease storage is unusable.
func TestUnusableLeaseStorageIsReported(t *testing.T) {
	dir, peerAddress, controlAddress := t.TempDir(), testaddress.Reserve(t), testaddress.Reserve(t)
	folder := filepath.Join(dir, "votes")
	os.Mkdir(folder, 0o700)
	store, _, err := persist.Open(folder, "another", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Commit([]storage.Change{persist.PromiseChange("summary", lease.Promise{FencingToken: 7, VoterSetVersion: 1})}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	siteFile, operatorFile := filepath.Join(dir, "site.json"), filepath.Join(dir, "operator.hcl")
	text := strings.Replace(fmt.Sprintf(siteTemplate, testaddress.Reserve(t), 64, `{"rev":1,"all":true,"targets":[]}`), `"limits"`, fmt.Sprintf(`"peer_listen":%q,"peers_all":"127.0.0.1:1","peers":[%q],"limits"`, peerAddress, peerAddress), 1)
	os.WriteFile(siteFile, []byte(text), 0o600)
	os.WriteFile(operatorFile, fmt.Appendf(nil, `control { listen = %q }
leases {
  fleet = "f"
  voters = ["n0", "n1", "n2"]
  lasts = "500ms"
  folder = %q
  task "watch-discovery" {}
}
view { fleet = "f" }
`, controlAddress, folder), 0o600)
	p := serveProcess(t, "--site", siteFile, "--operator", operatorFile)
	if !strings.Contains(p.log.String(), `event="lease storage unusable"`) {
		t.Errorf("the driver did not log that its lease storage is unusable: %s", p.log)
	}
	if out, ok := passtack(t, "leases", controlAddress); !ok || !strings.Contains(out, "n1: never heard") || !strings.Contains(out, "watch-discovery") {
		t.Errorf("leases: %s", out)
	}
	if out, ok := passtack(t, "fleet", controlAddress); !ok || !strings.Contains(out, "1 of 1 membership lists agree") {
		t.Errorf("fleet: %s", out)
	}
	if out, ok := passtack(t, "fleet", "127.0.0.1:1"); ok || !strings.Contains(out, "127.0.0.1:1: ") {
		t.Errorf("fleet of an address where nothing listens: %s", out)
	}
}
