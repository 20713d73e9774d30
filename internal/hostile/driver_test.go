// Package hostile tests drivers as real processes beside clients that try to take more than their share: of memory, of the time of
// the event loop, or of the members' work after they have left. It contains only tests.
package hostile

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/internal/testaddress"
	"passtack/internal/testprogram"
)

func TestMain(m *testing.M) { testprogram.Main(m) }

const siteText = `{"name":"n0","listen":%q,"discovery":%q,"seed":"0000000000000007",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,
"settings":{"areas":["a"],"tick_us":5000,"registry_mode":"automatic",
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"most_tries":4},
"classes":[
{"name":"look","effect":"safe","group":"all","points":1,"target_us":1000000,"hard_limit_us":2500000},
{"name":"own","effect":"safe","group":"all","points":1,"target_us":800000,"hard_limit_us":2000000},
{"name":"order","effect":"keyed","group":"cell","points":6,"target_us":600000,"hard_limit_us":2000000,"window_us":1200000},
{"name":"pay","effect":"unsafe","group":"cell","points":6,"target_us":20000000,"hard_limit_us":30000000}],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update","update"],"lag_allowed_us":[800000,0,0,0],"write_marks":"client"},
"report":{"columns":["x0","x1"],"how":"inline"}}}`

const operatorText = `
front "odata" "offices" {
  listen = %q
  root   = "/odata/"
  set "Applications" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "read" {
      method      = "look"
      after_write = "own"
      statement   = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "create" {
      method    = "pay"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
  set "Orders" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    operation "create" {
      method    = "order"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
}
`

// deployment is a driver process with its members.
type deployment struct {
	members    []*member
	listen     string // of the platform's listener
	odata      string // of the OData listener
	command    *exec.Cmd
	ended      chan struct{}
	mutex      sync.Mutex
	lastLines  []string
	peakMemory float64
}

// limits are the limits of a driver.
type limits struct {
	memoryMB int
	sockets  int
}

// deploy starts members, a discovery agent and a driver, and waits until the driver serves.
func deploy(t *testing.T, l limits, work time.Duration) *deployment {
	t.Helper()
	path, err := testprogram.Path()
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{listen: testaddress.Reserve(t), odata: testaddress.Reserve(t), ended: make(chan struct{})}
	for i := range 3 {
		d.members = append(d.members, startMember(t, i, work))
	}
	list := endpointList(d.members)
	site := fmt.Sprintf(siteText, d.listen, startDiscovery(t, list), l.memoryMB, l.sockets, list)
	folder := t.TempDir()
	sitePath, operatorPath := filepath.Join(folder, "site.json"), filepath.Join(folder, "operator.hcl")
	for name, text := range map[string]string{sitePath: site, operatorPath: fmt.Sprintf(operatorText, d.odata)} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d.command = exec.Command(path, "serve", "--operator", operatorPath)
	d.command.Env = append(os.Environ(), "BALANCER_CONFIG="+sitePath)
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.run(t)
	go d.watchMemory()
	d.learnRoles(t)
	return d
}

// run starts the process and waits until it has logged its start.
func (d *deployment) run(t *testing.T) {
	t.Helper()
	out, err := d.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := d.command.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{}, 1)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if d.keepLine(lines.Text()); strings.Contains(lines.Text(), "event=started") {
				started <- struct{}{}
			}
		}
		d.command.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		d.command.Process.Kill()
		<-d.ended
	})
	select {
	case <-started:
	case <-d.ended:
		t.Fatalf("the driver exited at its start: %s", strings.Join(d.lastLines, "\n"))
	case <-time.After(20 * time.Second):
		t.Fatal("the driver did not log its start within 20 s")
	}
}

const keptLines = 30

func (d *deployment) keepLine(line string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lastLines = append(d.lastLines, line); len(d.lastLines) > keptLines {
		d.lastLines = d.lastLines[1:]
	}
}

// learnRoles sends writes until one is done, so that the driver knows the primary.
func (d *deployment) learnRoles(t *testing.T) {
	t.Helper()
	for range 100 {
		c := dialPG(t, d.listen)
		if answer, err := c.query(statement("order", 1000, "warm")); err == nil && answer.code == "" {
			return
		}
		c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the driver served no write")
}

// watchMemory records the highest resident size of the process, in MB.
func (d *deployment) watchMemory() {
	for {
		select {
		case <-d.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		size := residentMB(d.command.Process.Pid)
		d.mutex.Lock()
		d.peakMemory = max(d.peakMemory, size)
		d.mutex.Unlock()
	}
}

// peakMB returns the highest resident size so far.
func (d *deployment) peakMB() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peakMemory
}

// residentMB returns the resident size of a process in MB.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return float64(n) / 1024
}
