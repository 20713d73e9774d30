package soak

import (
	"bufio"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/internal/testprogram"
)

func TestMain(m *testing.M) { testprogram.Main(m) }

// process is one process of the driver.
type process struct {
	command *exec.Cmd
	times   *processTimes
	ended   chan struct{}
	mutex   sync.Mutex
	log     []string
	pauses  sync.WaitGroup
}

const siteText = `{"name":"n0","listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
"settings":{"areas":["a"],"tick_us":5000,"registry_mode":"automatic",
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"most_tries":4},
"classes":[%s],
"family_info":{"answers_stamped":true,"behind":"hold","class_read":["recent","own_writes","update","update"],"lag_allowed_us":[800000,0,0,0],"write_marks":"client"},
"report":{"columns":["x0","x1"],"how":"inline"}}}`

const operatorText = `log {
  level  = "debug"
  sample = 0
}
`

// startDriver starts a process of the driver and waits until it serves.
func startDriver(t *testing.T, r *record, args ...string) *process {
	t.Helper()
	path, err := testprogram.Path()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(path, append([]string{"serve"}, args...)...), times: &processTimes{started: time.Now()}, ended: make(chan struct{})}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	r.mutex.Lock()
	r.processes = append(r.processes, p.times)
	r.mutex.Unlock()
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{}, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.handleLine(r, lines.Text())
			if strings.Contains(lines.Text(), "event=started") {
				started <- struct{}{}
			}
		}
		p.command.Wait()
		r.mutex.Lock()
		p.times.ended = time.Now()
		r.mutex.Unlock()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.pauses.Wait()
		p.command.Process.Kill()
		<-p.ended
	})
	select {
	case <-started:
	case <-p.ended:
		t.Fatalf("the driver exited at its start: %s", strings.Join(p.log, "\n"))
	case <-time.After(20 * time.Second):
		t.Fatalf("the driver did not log its start within 20 s")
	}
	return p
}

// handleLine stores a log line. If the line logs that a request was read, it marks the request as read by the driver.
func (p *process) handleLine(r *record, line string) {
	if _, rest, found := strings.Cut(line, "event=request id="); found {
		id, _, _ := strings.Cut(rest, " ")
		r.markRead(id)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = append(p.log, line)
}

// countLines counts the log lines that contain a text.
func (p *process) countLines(text string) (count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.log {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// linesAbout returns the first log lines that belong to a request, to its client connection or to its RPC.
func (p *process) linesAbout(id string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var lines, markers []string
	for _, line := range p.log {
		if strings.Contains(line, " id="+id+" ") {
			_, rest, _ := strings.Cut(line, " client=")
			client, _, _ := strings.Cut(rest, " ")
			markers = []string{" client=" + client + " "}
		} else if len(markers) == 1 && strings.Contains(line, `event="RPC admitted"`) && strings.Contains(line, markers[0]) {
			_, rest, _ := strings.Cut(line, " rpc=")
			number, _, _ := strings.Cut(rest, " ")
			markers = append(markers, " rpc="+number+" ")
		}
		for _, mark := range markers {
			if strings.Contains(line, mark) {
				lines = append(lines, line)
				break
			}
		}
		if len(lines) > 12 {
			break
		}
	}
	return strings.Join(lines, "\n")
}

func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

// pause stops the process for a time, as an overloaded machine would.
func (p *process) pause(duration time.Duration) {
	p.pauses.Add(1)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() {
		p.signal(syscall.SIGCONT)
		p.pauses.Done()
	})
}
