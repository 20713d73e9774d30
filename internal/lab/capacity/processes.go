package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"passtack/internal/control"
	"passtack/internal/emu/play"
	"passtack/internal/loop"
	"passtack/internal/node"
)

// Program is what the sweeps with processes start as drivers; "": they are not played.
var Program string

// ErrProgram is why a sweep with processes is not played.
var ErrProgram = errors.New("it starts drivers as processes, and no program is given")

func processSweeps() []Sweep {
	return []Sweep{{
		Name: "processes", Axis: Drivers, Sizes: []int{10, 30}, Play: playProcesses,
		About: "The check of hollow drivers: as many processes of the driver on loopback, with a view of a question a second and a list without members, and then as many hollow drivers. " +
			"Both are counted by the drivers' own counters of the view, without the 28 bytes of a letter's head, over 30 s from 15 s after all know all; then one is killed. " +
			"Views are asked for every 100 ms.",
	}}
}

// process is one driver.
type process struct {
	command *exec.Cmd
	control string
}

// fleetOf starts drivers as processes, in a folder of their own.
func fleetOf(folder string, drivers int, seed uint64, agents []*agent) (all []*process, err error) {
	s, err := play.ParseScript([]byte(plainScript), "processes")
	if err != nil {
		return nil, err
	}
	places, err := play.FreeAddrs(3*drivers + 1)
	if err != nil {
		return nil, err
	}
	talk := places[:drivers]
	for i := range drivers {
		at := filepath.Join(folder, driverName(i))
		control := places[2*drivers+i].String()
		site := s.SiteJSON(play.DriverSite{Name: driverName(i), Number: i, Listen: places[drivers+i], Discovery: agents[i].at, Seed: seed*1000003 + uint64(i),
			Known: []byte(`{"rev":1,"all":true,"targets":[]}`), PeerListen: talk[i], PeerAll: places[3*drivers], Peers: talk})
		wants := fmt.Appendf(nil, "%scontrol {\n  listen = %q\n}\n", viewWants, control)
		if err := errors.Join(os.WriteFile(at+".json", site, 0o600), os.WriteFile(at+".hcl", wants, 0o600)); err != nil {
			return all, err
		}
		c := exec.Command(Program, "serve", "--site", at+".json", "--operator", at+".hcl")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		c.Stderr = io.Discard
		if err := c.Start(); err != nil {
			return all, err
		}
		all = append(all, &process{c, control})
	}
	return all, nil
}

func (p *process) kill() {
	p.command.Process.Kill()
	p.command.Wait()
}

// usage is the processor time that a process has taken, and what it holds of memory.
func (p *process) usage() (spent time.Duration, held float64) {
	at := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	text, _ := os.ReadFile(filepath.Join(at, "stat"))
	_, rest, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		spent = time.Duration(user+system) * (time.Second / 100) // USER_HZ
	}
	text, _ = os.ReadFile(filepath.Join(at, "statm"))
	if fields := strings.Fields(string(text)); len(fields) > 1 {
		pages, _ := strconv.Atoi(fields[1])
		held = float64(pages * os.Getpagesize())
	}
	return spent, held
}

// asks gives the views of all that run.
func asks(all []*process) (views []node.FleetStatus, err error) {
	for _, p := range all {
		var s node.FleetStatus
		if err := control.Query(p.control, "fleet", &s); err != nil {
			return nil, err
		}
		views = append(views, s)
	}
	return views, nil
}

func playProcesses(stop context.Context, size int, seed uint64, point func(Point)) error {
	if Program == "" {
		return ErrProgram
	}
	p := Point{Drivers: int64(size)}
	one := func(how, measure, unit string, value float64) {
		p.How, p.Measure, p.Unit, p.Value = how, measure, unit, value
		point(p)
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	l, err := loop.New(4*size+100, 1<<20)
	if err != nil {
		return err
	}
	d := &discoveryAgent{rev: 1}
	places, err := play.FreeAddrs(size)
	if err != nil {
		return err
	}
	for _, at := range places {
		if _, err := d.agent(l, at); err != nil {
			return err
		}
	}
	var over atomic.Bool
	served := make(chan error, 1)
	go func() {
		served <- l.Run(func() {
			if over.Load() {
				l.Stop()
			}
		})
	}()
	defer func() {
		over.Store(true)
		l.Wake()
		<-served
		l.Close()
	}()
	all, err := fleetOf(folder, size, seed, d.agents)
	defer func() {
		for _, p := range all {
			p.kill()
		}
	}()
	if err != nil {
		return err
	}
	pause := func(d time.Duration) error {
		select {
		case <-stop.Done():
			return context.Cause(stop)
		case <-time.After(d):
			return nil
		}
	}
	whole := func() bool {
		views, err := asks(all)
		for _, v := range views {
			if v.ActiveCount != size {
				return false
			}
		}
		return err == nil
	}
	for began := time.Now(); !whole(); {
		if err := pause(100 * time.Millisecond); err != nil {
			return err
		}
		if time.Since(began) > 30*time.Second {
			return fmt.Errorf("%d processes do not know each other after 30 s", size)
		}
	}
	if err := pause(15 * time.Second); err != nil {
		return err
	}
	before, err := asks(all)
	if err != nil {
		return err
	}
	began := time.Now()
	var spent []float64
	for _, p := range all {
		s, _ := p.usage()
		spent = append(spent, -float64(s.Microseconds()))
	}
	if err := pause(30 * time.Second); err != nil {
		return err
	}
	var held []float64
	for i, p := range all {
		s, h := p.usage()
		spent[i], held = spent[i]+float64(s.Microseconds()), append(held, h)
	}
	after, err := asks(all)
	if err != nil {
		return err
	}
	lasts := time.Since(began).Seconds()
	var messages, bytes []float64
	for i := range all {
		messages, bytes = append(messages, float64(after[i].Sent-before[i].Sent)/lasts), append(bytes, float64(after[i].SentBytes-before[i].SentBytes)/lasts)
	}
	one("loopback", "messages", "messages/s per driver", mean(messages))
	one("loopback", "messages_worst", "messages/s of the worst", worst(messages))
	one("loopback", "bytes", "B/s per driver, sent", mean(bytes))
	one("loopback", "processor", "us a second per driver", mean(spent)/lasts)
	one("loopback", "memory", "B per driver, resident", mean(held))
	gone := size / 3
	all[gone].kill()
	killed := time.Now()
	all = append(all[:gone], all[gone+1:]...)
	when := make(map[string]float64)
	for len(when) < len(all) {
		for _, q := range all {
			if _, known := when[q.control]; known {
				continue
			}
			var s node.FleetStatus
			if control.Query(q.control, "fleet", &s) == nil && s.ActiveCount == size-1 {
				when[q.control] = time.Since(killed).Seconds()
			}
		}
		if time.Since(killed) > time.Minute {
			return fmt.Errorf("%d of %d processes know of the crash after a minute", len(when), len(all))
		}
		if err := pause(100 * time.Millisecond); err != nil {
			return err
		}
	}
	var known []float64
	for _, t := range when {
		known = append(known, t)
	}
	one("loopback", "crash_known_p50", "s", quantile(known, 0.5))
	one("loopback", "crash_known_worst", "s", worst(known))
	return playAlike(stop, size, seed, one)
}

// playAlike plays as many hollow drivers as there were processes.
func playAlike(stop context.Context, size int, seed uint64, one func(how, measure, unit string, value float64)) error {
	f, err := newHollow(stop, size, seed, viewWants)
	if err != nil {
		return err
	}
	f.agents[0].discovery.members = 0
	if err := f.startAll(); err != nil {
		return err
	}
	if _, err := f.settle(time.Minute); err != nil {
		return err
	}
	if err := f.run(15 * time.Second); err != nil {
		return err
	}
	var messages, bytes []float64
	for _, n := range f.nodes {
		messages, bytes = append(messages, -float64(n.Membership().Stats().Sent)), append(bytes, -float64(n.Membership().Stats().SentBytes))
	}
	if err := f.run(30 * time.Second); err != nil {
		return err
	}
	for i, n := range f.nodes {
		messages[i], bytes[i] = (messages[i]+float64(n.Membership().Stats().Sent))/30, (bytes[i]+float64(n.Membership().Stats().SentBytes))/30
	}
	one("simulated", "hollow_messages", "messages/s per driver", mean(messages))
	one("simulated", "hollow_messages_worst", "messages/s of the worst", worst(messages))
	one("simulated", "hollow_bytes", "B/s per driver, sent", mean(bytes))
	f.kill(size / 3)
	known, never, err := f.until(time.Minute, 20*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == size-1 })
	if err == nil && never > 0 {
		err = fmt.Errorf("%d hollow drivers never knew of the crash", never)
	}
	if err != nil {
		return err
	}
	one("simulated", "hollow_crash_known_p50", "s", quantile(known, 0.5))
	one("simulated", "hollow_crash_known_worst", "s", worst(known))
	return nil
}
