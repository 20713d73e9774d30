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
	"passtack/internal/eventloop"
	"passtack/internal/node"
)

// Program is the path of the driver program that sweeps with processes start. Without one, the sweep of a fleet of processes is cut off, and sweeps
// of one driver process fail.
var Program string

// ErrProgram is returned by the sweep of a fleet of processes when Program is empty. Play cuts the sweep off.
var ErrProgram = errors.New("sweep starts driver processes, but no driver program is set")

func processSweeps() []Sweep {
	return []Sweep{{
		Name: "processes", Axis: Drivers, Sizes: []int{10, 30}, Play: playProcesses,
		About: "Check of simulated drivers against processes: driver processes on loopback, with a view that sends one probe a second and an empty endpoint list, and then as many simulated drivers. " +
			"Messages and bytes are those of the drivers' own view counters, without the 28 bytes of IP and UDP headers, over 30 s from 15 s after all drivers know each other; then one is killed. " +
			"Views are queried every 100 ms.",
	}}
}

// fleetProcess is one driver process.
type fleetProcess struct {
	command        *exec.Cmd
	controlAddress string
}

// startFleet starts drivers as processes, with their files in the given folder.
func startFleet(folder string, drivers int, seed uint64, agents []*agent) (all []*fleetProcess, err error) {
	s, err := play.ParseScript([]byte(plainScript), "processes")
	if err != nil {
		return nil, err
	}
	addresses, err := play.FreeAddrs(3*drivers + 1)
	if err != nil {
		return nil, err
	}
	peerAddresses := addresses[:drivers]
	for i := range drivers {
		base := filepath.Join(folder, driverName(i))
		controlAddress := addresses[2*drivers+i].String()
		site := s.SiteJSON(play.DriverSite{Name: driverName(i), Number: i, Listen: addresses[drivers+i], Discovery: agents[i].address, Seed: seed*1000003 + uint64(i),
			Known: []byte(`{"rev":1,"all":true,"targets":[]}`), PeerListen: peerAddresses[i], PeerAll: addresses[3*drivers], Peers: peerAddresses})
		operatorFile := fmt.Appendf(nil, "%scontrol {\n  listen = %q\n}\n", viewConfig, controlAddress)
		if err := errors.Join(os.WriteFile(base+".json", site, 0o600), os.WriteFile(base+".hcl", operatorFile, 0o600)); err != nil {
			return all, err
		}
		c := exec.Command(Program, "serve", "--site", base+".json", "--operator", base+".hcl")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		c.Stderr = io.Discard
		if err := c.Start(); err != nil {
			return all, err
		}
		all = append(all, &fleetProcess{c, controlAddress})
	}
	return all, nil
}

func (p *fleetProcess) kill() {
	p.command.Process.Kill()
	p.command.Wait()
}

// usage returns the CPU time of a process and its resident memory in bytes.
func (p *fleetProcess) usage() (cpuTime time.Duration, resident float64) {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	text, _ := os.ReadFile(filepath.Join(folder, "stat"))
	_, rest, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		cpuTime = time.Duration(user+system) * (time.Second / 100) // USER_HZ
	}
	text, _ = os.ReadFile(filepath.Join(folder, "statm"))
	if fields := strings.Fields(string(text)); len(fields) > 1 {
		pages, _ := strconv.Atoi(fields[1])
		resident = float64(pages * os.Getpagesize())
	}
	return cpuTime, resident
}

// fleetViews returns the fleet views of all running processes.
func fleetViews(all []*fleetProcess) (views []node.FleetStatus, err error) {
	for _, p := range all {
		var s node.FleetStatus
		if err := control.Query(p.controlAddress, "fleet", &s); err != nil {
			return nil, err
		}
		views = append(views, s)
	}
	return views, nil
}

// playProcesses measures driver processes in steady state and after the crash of one, and then as many simulated drivers.
func playProcesses(ctx context.Context, size int, seed uint64, point func(Point)) error {
	if Program == "" {
		return ErrProgram
	}
	p := Point{Drivers: int64(size)}
	record := func(how, measure, unit string, value float64) {
		p.How, p.Measure, p.Unit, p.Value = how, measure, unit, value
		point(p)
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	l, err := eventloop.New(4*size+100, 1<<20)
	if err != nil {
		return err
	}
	d := &discoveryService{rev: 1}
	addresses, err := play.FreeAddrs(size)
	if err != nil {
		return err
	}
	for _, at := range addresses {
		if _, err := d.addAgent(l, at); err != nil {
			return err
		}
	}
	var stopping atomic.Bool
	loopDone := make(chan error, 1)
	go func() {
		loopDone <- l.Run(func() {
			if stopping.Load() {
				l.Stop()
			}
		})
	}()
	defer func() {
		stopping.Store(true)
		l.Wake()
		<-loopDone
		l.Close()
	}()
	all, err := startFleet(folder, size, seed, d.agents)
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
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(d):
			return nil
		}
	}
	complete := func() bool {
		views, err := fleetViews(all)
		for _, v := range views {
			if v.ActiveCount != size {
				return false
			}
		}
		return err == nil
	}
	for began := time.Now(); !complete(); {
		if err := pause(100 * time.Millisecond); err != nil {
			return err
		}
		if time.Since(began) > 30*time.Second {
			return fmt.Errorf("not all %d processes know each other after 30 s", size)
		}
	}
	if err := pause(15 * time.Second); err != nil {
		return err
	}
	before, err := fleetViews(all)
	if err != nil {
		return err
	}
	began := time.Now()
	var cpuTimes []float64
	for _, p := range all {
		s, _ := p.usage()
		cpuTimes = append(cpuTimes, -float64(s.Microseconds()))
	}
	if err := pause(30 * time.Second); err != nil {
		return err
	}
	var resident []float64
	for i, p := range all {
		s, h := p.usage()
		cpuTimes[i], resident = cpuTimes[i]+float64(s.Microseconds()), append(resident, h)
	}
	after, err := fleetViews(all)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	var messages, bytes []float64
	for i := range all {
		messages, bytes = append(messages, float64(after[i].Sent-before[i].Sent)/seconds), append(bytes, float64(after[i].SentBytes-before[i].SentBytes)/seconds)
	}
	record("loopback", "messages", "messages/s per driver", mean(messages))
	record("loopback", "messages_worst", "messages/s of the worst", worst(messages))
	record("loopback", "bytes", "B/s per driver, sent", mean(bytes))
	record("loopback", "processor", "us a second per driver", mean(cpuTimes)/seconds)
	record("loopback", "memory", "B per driver, resident", mean(resident))
	killed := size / 3
	all[killed].kill()
	killedAt := time.Now()
	all = append(all[:killed], all[killed+1:]...)
	detected := make(map[string]float64)
	for len(detected) < len(all) {
		for _, q := range all {
			if _, known := detected[q.controlAddress]; known {
				continue
			}
			var s node.FleetStatus
			if control.Query(q.controlAddress, "fleet", &s) == nil && s.ActiveCount == size-1 {
				detected[q.controlAddress] = time.Since(killedAt).Seconds()
			}
		}
		if time.Since(killedAt) > time.Minute {
			return fmt.Errorf("only %d of %d processes detected the crash within a minute", len(detected), len(all))
		}
		if err := pause(100 * time.Millisecond); err != nil {
			return err
		}
	}
	var known []float64
	for _, t := range detected {
		known = append(known, t)
	}
	record("loopback", "crash_known_p50", "s", quantile(known, 0.5))
	record("loopback", "crash_known_worst", "s", worst(known))
	return playSimulated(ctx, size, seed, record)
}

// playSimulated measures as many simulated drivers as there were processes.
func playSimulated(ctx context.Context, size int, seed uint64, record func(how, measure, unit string, value float64)) error {
	f, err := newSimulatedFleet(ctx, size, seed, viewConfig)
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
	record("simulated", "hollow_messages", "messages/s per driver", mean(messages))
	record("simulated", "hollow_messages_worst", "messages/s of the worst", worst(messages))
	record("simulated", "hollow_bytes", "B/s per driver, sent", mean(bytes))
	f.kill(size / 3)
	delays, missing, err := f.runUntil(time.Minute, 20*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == size-1 })
	if err == nil && missing > 0 {
		err = fmt.Errorf("%d simulated drivers did not detect the crash within a minute", missing)
	}
	if err != nil {
		return err
	}
	record("simulated", "hollow_crash_known_p50", "s", quantile(delays, 0.5))
	record("simulated", "hollow_crash_known_worst", "s", worst(delays))
	return nil
}
