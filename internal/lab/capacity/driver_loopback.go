package capacity

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"passtack/internal/eventloop"
)

// errNoProgram is returned by a sweep of one driver process when Program is empty. Unlike ErrProgram it makes Play fail.
var errNoProgram = errors.New("sweep starts a driver process, but no driver program is set")

// loopbackRun measures one driver process; its members and clients run in this process.
type loopbackRun struct {
	members, clients int
	rate             float64 // statements per second; 0: clients send none
	probes           bool
}

const (
	driverMemoryMB      = 192             // memory limit of the driver process
	clockTicksPerSecond = 100             // unit of CPU time in /proc/PID/stat
	settleTime          = 6 * time.Second // from the start of the load to the measurement
	measureTime         = 12 * time.Second
	startTimeout        = 15 * time.Second
	maxLoopSockets      = 18000 // socket limit of each event loop in this process
)

// socketLimit is the socket limit of the driver; it allows five sockets per client, as the driver closes idle clients above a fifth
// of the limit.
func (s loopbackRun) socketLimit() int { return min(5*s.clients+2*s.members+256, 19000) }

// measuredDriver is the driver process under measurement.
type measuredDriver struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// startMeasuredDriver starts a driver and waits until it has logged that it started.
func startMeasuredDriver(ctx context.Context, program, site string) (*measuredDriver, error) {
	p := &measuredDriver{cmd: exec.Command(program, "serve", "--site", site), exited: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started, lastLine := make(chan struct{}, 1), ""
	go func() {
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if lastLine = lines.Text(); strings.Contains(lastLine, "started") {
				started <- struct{}{}
			}
		}
		p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case <-started:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("driver process exited before it served; last log line: %s", lastLine)
	case <-time.After(startTimeout):
		p.kill()
		return nil, fmt.Errorf("driver process did not serve within %v", startTimeout)
	case <-ctx.Done():
		p.kill()
		return nil, ctx.Err()
	}
}

func (p *measuredDriver) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// usage is the resource usage of a process since its start.
type usage struct {
	user, system      time.Duration
	resident          int64 // bytes
	descriptors       int
	voluntarySwitches int // voluntary context switches of all threads
}

func (p *measuredDriver) usage() (s usage, err error) {
	root := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	text, err := os.ReadFile(root + "stat")
	if err != nil {
		return s, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return s, errors.New(root + "stat has fewer than the 13 expected fields after the command name")
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	s.user, s.system = time.Duration(user)*time.Second/clockTicksPerSecond, time.Duration(system)*time.Second/clockTicksPerSecond
	threads, _ := filepath.Glob(root + "task/*/status")
	for _, thread := range threads {
		s.voluntarySwitches += procField(thread, "voluntary_ctxt_switches:")
	}
	s.resident = int64(procField(root+"status", "VmRSS:")) << 10
	openFiles, err := os.ReadDir(root + "fd")
	s.descriptors = len(openFiles)
	return s, err
}

// procField returns the number after a name in a file of /proc, or 0 if the name is missing.
func procField(file, name string) int {
	text, _ := os.ReadFile(file)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// loopbackResult is the result of a loopbackRun.
type loopbackResult struct {
	before, after     usage
	elapsed           time.Duration
	load              *clientLoad
	testbed           *testbed
	memberConnections int // at the end of the run
	clientConnections int // at the end of the run
}

// freePort returns a port that is free on 127.0.0.1; the other loopback addresses are assumed to have it free too.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// loopbackAddress returns the address of member n, from 127.1.0.0 on.
func loopbackAddress(n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1 + byte(n>>16), byte(n >> 8), byte(n)}), uint16(port))
}

// play starts the driver, its members and its clients, waits for settleTime and measures for measureTime.
func (s loopbackRun) play(ctx context.Context, seed uint64) (result *loopbackResult, err error) {
	if Program == "" {
		return nil, errNoProgram
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	memberLoop, err := eventloop.New(maxLoopSockets, 1<<28)
	if err != nil {
		return nil, err
	}
	defer memberLoop.Close()
	clientLoop, err := eventloop.New(maxLoopSockets, 1<<28)
	if err != nil {
		return nil, err
	}
	defer clientLoop.Close()
	listen, discovery := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(port)), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 3}), uint16(port))
	bed := new(testbed)
	if err := bed.listen(memberLoop, s.members, func(n int) netip.AddrPort { return loopbackAddress(n, port) }, discovery); err != nil {
		return nil, err
	}
	load := newClientLoad(listen, seed, s.clients, s.members, s.rate)
	site := fmt.Sprintf(`{"name":"d0","listen":"%s","discovery":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		listen, discovery, seed, driverMemoryMB, s.socketLimit(), bed.endpointListJSON(), driverSettingsJSON(1, s.probes, time.Second))
	file := filepath.Join(folder, "site.json")
	if err := os.WriteFile(file, []byte(site), 0o600); err != nil {
		return nil, err
	}
	loopErrors, stopLoops := make(chan error, 2), make(chan struct{})
	runLoop := func(l *eventloop.Loop) {
		loopErrors <- l.Run(func() {
			select {
			case <-stopLoops:
				l.Stop()
			default:
			}
		})
	}
	go runLoop(memberLoop)
	process, err := startMeasuredDriver(ctx, Program, file)
	if err != nil {
		close(stopLoops)
		memberLoop.Wake()
		<-loopErrors
		return nil, err
	}
	defer process.kill()
	result = &loopbackResult{load: load, testbed: bed}
	load.windowStart, load.windowEnd = clientLoop.Clock()+settleTime, clientLoop.Clock()+settleTime+measureTime
	load.start(clientLoop)
	go runLoop(clientLoop)
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err = wait(settleTime); err == nil {
		measuredFrom := time.Now()
		result.before, err = process.usage()
		if err = errors.Join(err, wait(measureTime-200*time.Millisecond)); err == nil {
			result.after, err = process.usage()
			result.elapsed = time.Since(measuredFrom)
		}
	}
	close(stopLoops)
	memberLoop.Wake()
	clientLoop.Wake()
	if err = errors.Join(err, <-loopErrors, <-loopErrors); err != nil {
		return nil, err
	}
	result.memberConnections, result.clientConnections = bed.openConnections(), load.openConnections
	if err := load.check(); err != nil {
		return nil, err
	}
	return result, nil
}

// points records the measured values.
func (o *loopbackResult) points(point func(measure, unit string, value float64)) {
	seconds := o.elapsed.Seconds()
	user, system := (o.after.user - o.before.user).Seconds(), (o.after.system - o.before.system).Seconds()
	point("cpu", "% of a core", 100*(user+system)/seconds)
	point("cpu_user", "% of a core", 100*user/seconds)
	point("cpu_system", "% of a core", 100*system/seconds)
	point("waits", "1/s", float64(o.after.voluntarySwitches-o.before.voluntarySwitches)/seconds)
	point("resident", "MB", float64(o.after.resident)/(1<<20))
	point("descriptors", "", float64(o.after.descriptors))
	point("member_connections", "", float64(o.memberConnections))
	point("client_connections", "", float64(o.clientConnections))
	if c := o.load; c.succeeded > 0 {
		rate := float64(c.succeeded) / (c.windowEnd - c.windowStart).Seconds()
		point("statements", "1/s", rate)
		point("cpu_statement", "µs", 1e6*(user+system)/seconds/rate)
		point("added_p50", "ms", float64(durationQuantile(c.latencies, 0.5))/1e6)
		point("added_p99", "ms", float64(durationQuantile(c.latencies, 0.99))/1e6)
		point("added_worst", "ms", float64(durationQuantile(c.latencies, 1))/1e6)
		point("client_connects", "1/s", float64(c.connects)/(c.windowEnd-c.windowStart).Seconds())
		point("anew_p50", "ms", float64(durationQuantile(c.reconnectLatencies, 0.5))/1e6)
		point("anew_p99", "ms", float64(durationQuantile(c.reconnectLatencies, 0.99))/1e6)
		point("not_ok", "", float64(c.failed))
	}
}
