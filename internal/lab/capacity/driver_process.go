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

	"passtack/internal/loop"
)

// errNoProgram is why a process of the driver is not played.
var errNoProgram = errors.New("it starts a driver as a process, and no program is given")

// serving is one play of a process of the driver, before members and clients of this process.
type serving struct {
	members, clients int
	rate             float64 // statements a second, 0: clients ask nothing
	probes           bool
}

const (
	memoryMB   = 192 // that the driver is given
	ticksASec  = 100 // of /proc/PID/stat
	settles    = 6 * time.Second
	measures   = 12 * time.Second
	mostStart  = 15 * time.Second
	mostSocket = 18000 // of one loop of this process
)

// sockets are those that a driver is given: it ends clients that rest beyond a fifth of them.
func (s serving) sockets() int { return min(5*s.clients+2*s.members+256, 19000) }

// driverProcess is a driver under measurement.
type driverProcess struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func start(stop context.Context, path, site string) (*driverProcess, error) {
	p := &driverProcess{cmd: exec.Command(path, "serve", "--site", site), ended: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	serves, last := make(chan struct{}, 1), ""
	go func() {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if last = lines.Text(); strings.Contains(last, "started") {
				serves <- struct{}{}
			}
		}
		p.cmd.Wait()
		close(p.ended)
	}()
	select {
	case <-serves:
		return p, nil
	case <-p.ended:
		return nil, fmt.Errorf("the driver ended at once: %s", last)
	case <-time.After(mostStart):
		p.end()
		return nil, fmt.Errorf("the driver does not serve after %v", mostStart)
	case <-stop.Done():
		p.end()
		return nil, stop.Err()
	}
}

func (p *driverProcess) end() {
	p.cmd.Process.Kill()
	<-p.ended
}

// spent is what a process has used so far.
type spent struct {
	user, system time.Duration
	resident     int64 // bytes
	descriptors  int
	waits        int // times that its threads slept by themselves
}

func (p *driverProcess) spent() (s spent, err error) {
	root := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	text, err := os.ReadFile(root + "stat")
	if err != nil {
		return s, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return s, errors.New(root + "stat has too few fields")
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	s.user, s.system = time.Duration(user)*time.Second/ticksASec, time.Duration(system)*time.Second/ticksASec
	threads, _ := filepath.Glob(root + "task/*/status")
	for _, thread := range threads {
		s.waits += numberIn(thread, "voluntary_ctxt_switches:")
	}
	s.resident = int64(numberIn(root+"status", "VmRSS:")) << 10
	open, err := os.ReadDir(root + "fd")
	s.descriptors = len(open)
	return s, err
}

func numberIn(file, name string) int {
	text, _ := os.ReadFile(file)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// outcome is what was measured of a serving.
type outcome struct {
	before, after spent
	over          time.Duration
	crowd         *crowd
	ground        *ground
	held          int // connections at members
	open          int // of clients
}

// freePort finds a port that is free on all of this machine's loopback addresses, as far as the usual one tells.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func loopback(n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1 + byte(n>>16), byte(n >> 8), byte(n)}), uint16(port))
}

// play starts a driver before members and clients of this process, lets it settle and measures it.
func (s serving) play(stop context.Context, seed uint64) (o *outcome, err error) {
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
	field, err := loop.New(mostSocket, 1<<28)
	if err != nil {
		return nil, err
	}
	defer field.Close()
	people, err := loop.New(mostSocket, 1<<28)
	if err != nil {
		return nil, err
	}
	defer people.Close()
	listen, discovery := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(port)), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 3}), uint16(port))
	g := new(ground)
	if err := g.stand(field, s.members, func(n int) netip.AddrPort { return loopback(n, port) }, discovery); err != nil {
		return nil, err
	}
	c := newCrowd(listen, seed, s.clients, s.members, s.rate)
	site := fmt.Sprintf(`{"name":"d0","listen":"%s","discovery":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		listen, discovery, seed, memoryMB, s.sockets(), g.listText(), settingsText(1, s.probes, time.Second))
	file := filepath.Join(folder, "site.json")
	if err := os.WriteFile(file, []byte(site), 0o600); err != nil {
		return nil, err
	}
	served, stops := make(chan error, 2), make(chan struct{})
	turn := func(l *loop.Loop) {
		served <- l.Run(func() {
			select {
			case <-stops:
				l.Stop()
			default:
			}
		})
	}
	go turn(field)
	p, err := start(stop, Program, file)
	if err != nil {
		close(stops)
		field.Wake()
		<-served
		return nil, err
	}
	defer p.end()
	o = &outcome{crowd: c, ground: g}
	c.from, c.until = people.Clock()+settles, people.Clock()+settles+measures
	c.begin(people)
	go turn(people)
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-stop.Done():
			return stop.Err()
		}
	}
	if err = wait(settles); err == nil {
		began := time.Now()
		o.before, err = p.spent()
		if err = errors.Join(err, wait(measures-200*time.Millisecond)); err == nil {
			o.after, err = p.spent()
			o.over = time.Since(began)
		}
	}
	close(stops)
	field.Wake()
	people.Wake()
	if err = errors.Join(err, <-served, <-served); err != nil {
		return nil, err
	}
	o.held, o.open = g.held(), c.open
	if err := c.sound(); err != nil {
		return nil, err
	}
	return o, nil
}

// points gives what was measured.
func (o *outcome) points(point func(measure, unit string, value float64)) {
	seconds := o.over.Seconds()
	user, system := (o.after.user - o.before.user).Seconds(), (o.after.system - o.before.system).Seconds()
	point("cpu", "% of a core", 100*(user+system)/seconds)
	point("cpu_user", "% of a core", 100*user/seconds)
	point("cpu_system", "% of a core", 100*system/seconds)
	point("waits", "1/s", float64(o.after.waits-o.before.waits)/seconds)
	point("resident", "MB", float64(o.after.resident)/(1<<20))
	point("descriptors", "", float64(o.after.descriptors))
	point("member_connections", "", float64(o.held))
	point("client_connections", "", float64(o.open))
	if c := o.crowd; c.ok > 0 {
		rate := float64(c.ok) / (c.until - c.from).Seconds()
		point("statements", "1/s", rate)
		point("cpu_statement", "µs", 1e6*(user+system)/seconds/rate)
		point("added_p50", "ms", float64(at(c.took, 0.5))/1e6)
		point("added_p99", "ms", float64(at(c.took, 0.99))/1e6)
		point("added_worst", "ms", float64(at(c.took, 1))/1e6)
		point("client_connects", "1/s", float64(c.connects)/(c.until-c.from).Seconds())
		point("anew_p50", "ms", float64(at(c.tookAnew, 0.5))/1e6)
		point("anew_p99", "ms", float64(at(c.tookAnew, 0.99))/1e6)
		point("not_ok", "", float64(c.bad))
	}
}
