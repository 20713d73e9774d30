package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"passtack/internal/control"
	"passtack/internal/emu/play"
	"passtack/internal/node"
	"passtack/internal/rollout/server"
)

// controlMachine is a control machine that runs as a process.
type controlMachine struct {
	number        int
	name          string
	address       netip.AddrPort
	configFile    string
	process       *process
	processNumber int  // increases with each start
	running       bool // it was started and not signalled to end
}

// buildControlMachines gives each control machine an address, sets up the relays to it, writes its file and starts it.
func (f *fleet) buildControlMachines(addresses *addresses) (err error) {
	s := f.script
	for n := range s.Controls {
		f.machines = append(f.machines, &controlMachine{number: n, name: play.Control(n), address: addresses.next()})
	}
	for _, r := range s.Links() {
		if r.To[0] == 'c' && r.To != "clients" {
			if f.relays[r], err = newRelay(f.loop, f.rng, addresses.next(), f.machines[numberInName(r.To)].address); err != nil {
				return err
			}
		}
	}
	for i := range f.operatorParams {
		for n := range s.Controls {
			f.operatorParams[i].Machines = append(f.operatorParams[i].Machines, f.relays[play.Link{From: play.Driver(i), To: play.Control(n)}].listenAddress)
		}
		if s.Controls > 0 {
			if f.operatorParams[i].Configuration, err = f.folders.ConfigurationPath(i); err != nil {
				return err
			}
		}
	}
	for _, m := range f.machines {
		text := fmt.Appendf(nil, "control_machine %q {\n  fleet = \"rehearsal\"\n  listen = %q\n  folder = %q\n", m.name, m.address, f.folders.ControlPath(m.number))
		for _, o := range f.machines {
			if o != m {
				text = fmt.Appendf(text, "  peer %q {\n    at = %q\n  }\n", o.name, f.relays[play.Link{From: m.name, To: o.name}].listenAddress)
			}
		}
		m.configFile = filepath.Join(f.folder, m.name+".hcl")
		if err := os.WriteFile(m.configFile, append(text, "}\n"...), 0o600); err != nil {
			return err
		}
		if err := f.folders.PrepareControl(m.number, ""); err != nil {
			return err
		}
		if err := f.startControlMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// startControlMachine starts the process of a control machine.
func (f *fleet) startControlMachine(m *controlMachine) error {
	var err error
	m.processNumber++
	processNumber := m.processNumber
	m.process, err = f.runProcess(exec.Command(f.programPath, "control", "--operator", m.configFile), func(s processEvent) {
		s.machine, s.processNumber = m, processNumber
		f.events <- s
		f.loop.Wake()
	})
	m.running = err == nil
	return err
}

// injectControlFault kills a control machine and starts it again at endTime, or pauses it until then.
func (f *fleet) injectControlFault(m *controlMachine, fault play.Fault, endTime time.Duration) {
	f.recordEvent(m.name, "%s %s", fault.Kind, fault.Folder)
	if fault.Kind == "control_pause" {
		m.process.signal(syscall.SIGSTOP)
		process := m.process
		f.loop.At(endTime, func() { process.signal(syscall.SIGCONT) })
		return
	}
	if !m.running {
		return
	}
	m.running = false
	m.process.signal(syscall.SIGKILL)
	f.whenEnded(m.process.ended, func() {
		f.loop.At(endTime, func() {
			f.recordEvent(m.name, "starts")
			err := f.folders.PrepareControl(m.number, fault.Folder)
			if err == nil {
				err = f.startControlMachine(m)
			}
			if err != nil {
				f.fail("control machine %s cannot be restarted: %w", m.name, err)
			}
		})
	})
}

func (f *fleet) recordEvent(name, format string, args ...any) {
	f.cluster.Timeline.Note(f.loop.Now()-f.scriptStart, name, format, args...)
}

// handleControlEvent handles a log line or the exit of a control machine, or the result of a publication.
func (f *fleet) handleControlEvent(s processEvent) {
	if s.publisher != "" {
		f.recordEvent(s.publisher, "%s", s.line)
		return
	}
	if s.ended {
		if s.processNumber == s.machine.processNumber && s.machine.running {
			f.fail("control machine %s ended by itself: %v", s.machine.name, s.exitErr)
		}
		return
	}
	fmt.Fprintln(f.log, s.machine.name, s.line)
	if strings.Contains(s.line, "level=ERROR") {
		f.fail("control machine %s logged an error: %s", s.machine.name, s.line)
	}
	if event := logField(s.line, "event"); f.scriptStart > 0 && event != "started" {
		f.recordEvent(s.machine.name, "%s %s%s", event, logField(s.line, "version"), logField(s.line, "fencing_token"))
	}
}

// publish runs the program's config publish command with the text of a publication.
func (f *fleet) publish(n int, p play.Publication) {
	var addresses []string
	for _, m := range f.machines {
		addresses = append(addresses, m.address.String())
	}
	file := filepath.Join(f.folder, fmt.Sprintf("publication-%d.json", n))
	if err := os.WriteFile(file, []byte(p.Text), 0o600); err != nil {
		f.fail("text of publication %d cannot be written: %w", n, err)
		return
	}
	c := exec.Command(f.programPath, "config", "publish", file, "--from", strconv.Itoa(p.From), "--wait", "0s", "--at", strings.Join(addresses, ","))
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	publisher := fmt.Sprintf("publisher%d", n)
	f.recordEvent(publisher, "begins")
	f.readers.Go(func() {
		out, _ := c.CombinedOutput()
		firstLine, _, _ := strings.Cut(string(out), "\n")
		f.events <- processEvent{publisher: publisher, line: firstLine}
		f.loop.Wake()
	})
}

// versionPoller polls the configuration version of all drivers and control machines while a play runs.
type versionPoller struct {
	startedAt time.Time
	stop      chan struct{}
	pollers   sync.WaitGroup
	mutex     sync.Mutex
	samples   []play.VersionSample
}

const versionPollInterval = 100 * time.Millisecond // between two queries to the same process

func (f *fleet) pollVersions() *versionPoller {
	p := &versionPoller{startedAt: time.Now(), stop: make(chan struct{})}
	if f.script.Controls == 0 {
		return p
	}
	client := &http.Client{Timeout: time.Second}
	for _, m := range f.machines {
		url := "http://" + m.address.String() + "/status"
		p.poll(func(s *play.VersionSample) bool {
			response, err := client.Get(url)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			var status server.Status
			if err != nil || json.Unmarshal(text, &status) != nil {
				return false
			}
			s.Source, s.Version = m.name, status.Version
			return true
		})
	}
	for _, d := range f.drivers {
		address := f.operatorParams[d.number].Control.String()
		p.poll(func(s *play.VersionSample) bool {
			var status node.Status
			if control.Query(address, "status", &status) != nil || status.Configuration == nil {
				return false // the driver is down or has no configuration
			}
			s.Source, s.Version, s.RejectedVersion, s.RejectReason = d.name, status.Configuration.Version, status.Configuration.RejectedVersion, status.Configuration.RejectReason
			return true
		})
	}
	return p
}

// poll repeats a query until the play ends. The query returns false if it got no answer.
func (p *versionPoller) poll(query func(s *play.VersionSample) bool) {
	p.pollers.Go(func() {
		for {
			select {
			case <-p.stop:
				return
			case <-time.After(versionPollInterval):
			}
			var s play.VersionSample
			if query(&s) {
				s.At = time.Since(p.startedAt)
				p.mutex.Lock()
				p.samples = append(p.samples, s)
				p.mutex.Unlock()
			}
		}
	})
}

// finish stops polling and returns the samples in order of time.
func (p *versionPoller) finish() []play.VersionSample {
	close(p.stop)
	p.pollers.Wait()
	slices.SortFunc(p.samples, func(a, b play.VersionSample) int { return int(a.At - b.At) })
	return p.samples
}
