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

// machine is a control machine as a process.
type machine struct {
	number  int
	name    string
	at      netip.AddrPort
	file    string
	process *process
	life    int  // counts processes
	running bool // and not told to end
}

// controlMachines gives each control machine an address and writes its file, and lays the roads to them.
func (f *fleet) controlMachines(lots *lots) (err error) {
	s := f.script
	for n := range s.Controls {
		f.machines = append(f.machines, &machine{number: n, name: play.Control(n), at: lots.next()})
	}
	for _, r := range s.Links() {
		if r.To[0] == 'c' && r.To != "clients" {
			if f.relays[r], err = newRelay(f.loop, f.chance, lots.next(), f.machines[number(r.To)].at); err != nil {
				return err
			}
		}
	}
	for i := range f.places {
		for n := range s.Controls {
			f.places[i].Machines = append(f.places[i].Machines, f.relays[play.Link{From: play.Driver(i), To: play.Control(n)}].at)
		}
		if s.Controls > 0 {
			if f.places[i].Configuration, err = f.folders.ConfigurationPath(i); err != nil {
				return err
			}
		}
	}
	for _, m := range f.machines {
		text := fmt.Appendf(nil, "control_machine %q {\n  fleet = \"rehearsal\"\n  listen = %q\n  folder = %q\n", m.name, m.at, f.folders.ControlPath(m.number))
		for _, o := range f.machines {
			if o != m {
				text = fmt.Appendf(text, "  peer %q {\n    at = %q\n  }\n", o.name, f.relays[play.Link{From: m.name, To: o.name}].at)
			}
		}
		m.file = filepath.Join(f.folder, m.name+".hcl")
		if err := os.WriteFile(m.file, append(text, "}\n"...), 0o600); err != nil {
			return err
		}
		if err := f.folders.PrepareControl(m.number, ""); err != nil {
			return err
		}
		if err := f.control(m); err != nil {
			return err
		}
	}
	return nil
}

// control starts a control machine.
func (f *fleet) control(m *machine) error {
	var err error
	m.life++
	life := m.life
	m.process, err = f.run(exec.Command(f.program, "control", "--operator", m.file), func(s said) {
		s.machine, s.life = m, life
		f.said <- s
		f.loop.Wake()
	})
	m.running = err == nil
	return err
}

// strikeControl ends or stops a control machine, which goes on then.
func (f *fleet) strikeControl(m *machine, t play.Fault, back time.Duration) {
	f.noteOf(m.name, "%s %s", t.Kind, t.Folder)
	if t.Kind == "control_pause" {
		m.process.signal(syscall.SIGSTOP)
		process := m.process
		f.loop.At(back, func() { process.signal(syscall.SIGCONT) })
		return
	}
	if !m.running {
		return
	}
	m.running = false
	m.process.signal(syscall.SIGKILL)
	f.once(m.process.ended, func() {
		f.loop.At(back, func() {
			f.noteOf(m.name, "starts")
			err := f.folders.PrepareControl(m.number, t.Folder)
			if err == nil {
				err = f.control(m)
			}
			if err != nil {
				f.fail("control machine %s: %w", m.name, err)
			}
		})
	})
}

func (f *fleet) noteOf(who, format string, args ...any) {
	f.cluster.Course.Note(f.loop.Now()-f.began, who, format, args...)
}

// heardControl takes what a control machine has logged, or what came of a publication.
func (f *fleet) heardControl(s said) {
	if s.publisher != "" {
		f.noteOf(s.publisher, "%s", s.line)
		return
	}
	if s.ended {
		if s.life == s.machine.life && s.machine.running {
			f.fail("control machine %s ended by itself: %v", s.machine.name, s.cause)
		}
		return
	}
	fmt.Fprintln(f.log, s.machine.name, s.line)
	if strings.Contains(s.line, "level=ERROR") {
		f.fail("control machine %s: %s", s.machine.name, s.line)
	}
	if event := field(s.line, "event"); f.began > 0 && event != "started" {
		f.noteOf(s.machine.name, "%s %s%s", event, field(s.line, "version"), field(s.line, "fencing_token"))
	}
}

// publish lets somebody publish with the program's own command.
func (f *fleet) publish(n int, p play.Publication) {
	var at []string
	for _, m := range f.machines {
		at = append(at, m.at.String())
	}
	file := filepath.Join(f.folder, fmt.Sprintf("publication-%d.json", n))
	if err := os.WriteFile(file, []byte(p.Text), 0o600); err != nil {
		f.fail("publication %d: %w", n, err)
		return
	}
	c := exec.Command(f.program, "config", "publish", file, "--from", strconv.Itoa(p.From), "--wait", "0s", "--at", strings.Join(at, ","))
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	who := fmt.Sprintf("publisher%d", n)
	f.noteOf(who, "begins")
	f.readers.Go(func() {
		out, _ := c.CombinedOutput()
		first, _, _ := strings.Cut(string(out), "\n")
		f.said <- said{publisher: who, line: first}
		f.loop.Wake()
	})
}

// versions ask all drivers and control machines again and again what they have.
type versions struct {
	began   time.Time
	end     chan struct{}
	all     sync.WaitGroup
	mutex   sync.Mutex
	samples []play.VersionSample
}

const versionsEvery = 100 * time.Millisecond // between two questions to each

func (f *fleet) watchVersions() *versions {
	v := &versions{began: time.Now(), end: make(chan struct{})}
	if f.script.Controls == 0 {
		return v
	}
	web := &http.Client{Timeout: time.Second}
	for _, m := range f.machines {
		url := "http://" + m.at.String() + "/status"
		v.ask(func(s *play.VersionSample) bool {
			a, err := web.Get(url)
			if err != nil {
				return false
			}
			defer a.Body.Close()
			text, err := io.ReadAll(a.Body)
			var told server.Status
			if err != nil || json.Unmarshal(text, &told) != nil {
				return false
			}
			s.Source, s.Version = m.name, told.Version
			return true
		})
	}
	for _, d := range f.drivers {
		at := f.places[d.number].Control.String()
		v.ask(func(s *play.VersionSample) bool {
			var told node.Status
			if control.Query(at, "status", &told) != nil || told.Configuration == nil {
				return false // it is down
			}
			s.Source, s.Version, s.Refused, s.Why = d.name, told.Configuration.Version, told.Configuration.RejectedVersion, told.Configuration.RejectReason
			return true
		})
	}
	return v
}

// ask goes on asking one; false: there was no answer.
func (v *versions) ask(one func(s *play.VersionSample) bool) {
	v.all.Go(func() {
		for {
			select {
			case <-v.end:
				return
			case <-time.After(versionsEvery):
			}
			var s play.VersionSample
			if one(&s) {
				s.At = time.Since(v.began)
				v.mutex.Lock()
				v.samples = append(v.samples, s)
				v.mutex.Unlock()
			}
		}
	})
}

// over ends the questions and gives what was told.
func (v *versions) over() []play.VersionSample {
	close(v.end)
	v.all.Wait()
	slices.SortFunc(v.samples, func(a, b play.VersionSample) int { return int(a.At - b.At) })
	return v.samples
}
