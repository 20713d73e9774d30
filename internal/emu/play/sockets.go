package play

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"passtack/internal/emu"
	"passtack/internal/loop"
)

// free finds addresses of this machine's loopback that are free now.
func free(n int) (places []netip.AddrPort, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		places = append(places, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return places, nil
}

// SiteJSON is the file that a driver of the script is started with.
func (s *Script) SiteJSON(name string, listen, discovery netip.AddrPort, seed uint64, known []byte) []byte {
	terms := s.Terms()
	settings := make(map[string]any)
	methods := make([]map[string]any, len(s.Methods))
	for i := range methods {
		methods[i] = make(map[string]any)
	}
	set := func(in map[string]any, name, value string) {
		if items := strings.Split(value, ","); name == "needs" || name == "bounds" || name == "columns" || name == "zones" {
			list := make([]any, len(items))
			for i, item := range items {
				list[i] = plain(item)
			}
			in[name] = list
			return
		}
		in[name] = plain(value)
	}
	for path, value := range terms {
		parts := strings.Split(path, ".")
		switch {
		case path == "methods.count":
		case parts[0] == "methods" && parts[2] == "repeats": // in the platform's words, as the project's mean another there
			i, _ := strconv.Atoi(parts[1])
			methods[i]["group"] = map[string]string{"group": "cell", "all": "all"}[value]
		case parts[0] == "methods":
			i, _ := strconv.Atoi(parts[1])
			set(methods[i], parts[2], value)
		case len(parts) == 1:
			set(settings, path, value)
		default:
			inner, ok := settings[parts[0]].(map[string]any)
			if !ok {
				inner = make(map[string]any)
				settings[parts[0]] = inner
			}
			set(inner, parts[1], value)
		}
	}
	settings["methods"] = methods
	text, _ := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen.String(), "discovery": discovery.String(), "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known), "settings": settings,
	}, "", " ")
	return text
}

// plain gives a value as JSON has it.
func plain(text string) any {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	return text
}

// run is a rehearsal with real drivers as processes of their own, members and clients on one loop of this one.
type run struct {
	script   *Script
	seed     uint64
	program  string
	folder   string
	log      io.Writer
	loop     *loop.Loop
	record   *emu.Record
	cluster  *Cluster
	drivers  []netip.AddrPort
	agents   []netip.AddrPort
	children []*exec.Cmd
	starts   uint64
	fault    error
	Left     []string // troubles that sockets of one machine cannot have
}

// OnSockets plays the script in real time on loopback addresses, with the program as the drivers. What the drivers log goes
// to log.
func OnSockets(s *Script, seed uint64, program string, log io.Writer) (*Result, []string, error) {
	r := &run{script: s, seed: seed, program: program, log: log, children: make([]*exec.Cmd, s.Drivers),
		record: emu.NewRecord(emu.Allowed{Grace: s.Grace, Slack: 150 * time.Millisecond})}
	var err error
	if r.folder, err = os.MkdirTemp("", "rehearsal"); err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(r.folder)
	places, err := free(2*s.Drivers + s.Groups*s.Members)
	if err != nil {
		return nil, nil, err
	}
	r.drivers, r.agents = places[:s.Drivers], places[s.Drivers:2*s.Drivers]
	if r.loop, err = loop.New(1<<15, 256<<20); err != nil {
		return nil, nil, err
	}
	if r.cluster, err = NewCluster(r.loop, s, r.record, seed+1, func(n int) netip.AddrPort { return places[2*s.Drivers+n] }, r.agents); err != nil {
		return nil, nil, err
	}
	defer r.stop()
	for i := range s.Drivers {
		if err := r.start(i); err != nil {
			return nil, nil, err
		}
	}
	var clients *Clients
	longest := time.Duration(0)
	for _, m := range s.Methods {
		longest = max(longest, m.Limit)
	}
	r.ready(func() {
		clients = NewClients(r.loop, s, r.record, seed+2, r.drivers)
		began := r.loop.Now()
		for _, t := range s.Troubles {
			r.loop.At(began+t.At, func() { r.trouble(t) })
		}
		r.loop.At(began+s.Lasts+longest+time.Second, r.loop.Stop)
	})
	if err := r.loop.Run(func() {}); err != nil {
		return nil, nil, err
	}
	if r.fault != nil || r.cluster.fault != nil {
		return nil, nil, fmt.Errorf("the rehearsal broke down: %v %v", r.fault, r.cluster.fault)
	}
	slices.Sort(clients.Took)
	return &Result{Took: clients.Took, Script: s, Seed: seed, Asked: clients.Asked, Served: clients.Served, Utility: clients.Got / max(clients.Worth, 1e-9),
		Answers: r.record.Counts(), Broken: r.record.Broken(r.loop.Now()), Digest: r.record.Digest()}, r.Left, nil
}

// start runs a driver.
func (r *run) start(i int) error {
	r.starts++
	at := filepath.Join(r.folder, fmt.Sprintf("d%d.json", i))
	site := r.script.SiteJSON(fmt.Sprint("d", i), r.drivers[i], r.agents[i], r.seed*1000003+r.starts, r.cluster.List(0))
	if err := os.WriteFile(at, site, 0o600); err != nil {
		return err
	}
	c := exec.Command(r.program, "serve", "--site", at)
	c.Stderr = r.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.children[i] = c
	return c.Start()
}

// stop ends the drivers that still run.
func (r *run) stop() {
	for _, c := range r.children {
		if c != nil && c.Process != nil {
			c.Process.Signal(syscall.SIGCONT)
			c.Process.Kill()
			c.Wait()
		}
	}
}

const mostStart = 10 * time.Second // that drivers may take to listen

// ready calls once all drivers take connections.
func (r *run) ready(then func()) {
	began := r.loop.Now()
	var look func()
	look = func() {
		for _, at := range r.drivers {
			c, err := net.DialTimeout("tcp", at.String(), 50*time.Millisecond)
			if err == nil {
				c.Close()
				continue
			}
			if r.loop.Now()-began > mostStart {
				r.fault = fmt.Errorf("the driver at %s does not listen: %w", at, err)
				r.loop.Stop()
				return
			}
			r.loop.At(r.loop.Now()+20*time.Millisecond, look)
			return
		}
		then()
	}
	r.loop.Later(look)
}

// trouble lets something happen, as far as processes and sockets of one machine can have it.
func (r *run) trouble(t Trouble) {
	now := r.loop.Now()
	until := now + t.Lasts
	switch t.Kind {
	case "driver_kill", "driver_pause":
		for _, n := range t.On {
			r.record.Down(fmt.Sprint("d", n), now, until+time.Second) // it has to start
			c := r.children[n]
			if t.Kind == "driver_pause" {
				c.Process.Signal(syscall.SIGSTOP)
				r.loop.At(until, func() { c.Process.Signal(syscall.SIGCONT) })
				continue
			}
			c.Process.Kill()
			c.Wait()
			r.loop.At(until, func() {
				if err := r.start(n); err != nil {
					r.fault = err
					r.loop.Stop()
				}
			})
		}
	case "cut", "loss":
		if !slices.Contains(r.Left, t.Kind) {
			r.Left = append(r.Left, t.Kind)
		}
	default:
		r.cluster.trouble(t, until)
	}
}
