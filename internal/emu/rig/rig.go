package rig

import (
	"errors"
	"fmt"
	"io"
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

	"passtack/internal/emu"
	"passtack/internal/emu/play"
	"passtack/internal/loop"
	"passtack/internal/pcg"
)

// Programs are what is started as drivers.
type Programs struct {
	Path  string
	Older string // for the drivers that the script names as older
}

// driver is one process, and what it is started with.
type driver struct {
	number  int
	name    string
	told    play.DriverSite
	program string
	process *process
	life    int  // counts processes
	running bool // and not told to end
	serves  bool // it has said that it has started
	behind  netip.AddrPort
}

// said is a line of a driver's log, or its end; or a line of a control machine's, or of a publisher.
type said struct {
	machine   *machine
	publisher string
	driver    *driver
	life      int
	line      string
	ended     bool
	cause     error
}

// fleet is a play under way.
type fleet struct {
	script   *play.Script
	seed     uint64
	log      io.Writer
	folder   string
	loop     *loop.Loop
	chance   *pcg.Source
	record   *emu.Record
	cluster  *play.Cluster
	clients  *play.Clients
	drivers  []*driver
	relays   map[play.Link]*relay
	posts    map[play.Link]*post
	everyone []*loop.DatagramSocket // where each driver addresses all others at once
	falls    play.Outages
	said     chan said
	readers  sync.WaitGroup // of the drivers' logs
	began    time.Duration  // of the script; 0: not yet
	starts   uint64
	folders  *play.Folders
	witness  *play.FencingServer
	views    *viewers
	program  string
	machines []*machine
	versions *versions
	places   []play.OperatorParams // of each driver's operator's file
	voters   play.Electorate
	fault    error
}

const (
	mostStart = 20 * time.Second // that drivers may take to serve
	mostEnd   = 20 * time.Second // that a driver may take to end when it is told to
)

// Play plays the script in real time with processes as the drivers. What they log goes to log, each line behind its driver's
// name. No process outlives the call, nor this process.
func Play(s *play.Script, seed uint64, programs Programs, log io.Writer) (*play.Result, error) {
	f := &fleet{script: s, seed: seed, log: log, program: programs.Path, chance: pcg.New(seed + 3), relays: make(map[play.Link]*relay),
		posts: make(map[play.Link]*post), said: make(chan said, 1024),
		record: emu.NewRecord(emu.Tolerance{Grace: s.Grace, Slack: 150 * time.Millisecond})}
	var err error
	if f.folder, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(f.folder)
	if s.OwnFile() {
		if f.folders, err = play.NewFolders(f.folder, s.Drivers, seed+4); err != nil {
			return nil, err
		}
	}
	lots, err := claim()
	if err != nil {
		return nil, err
	}
	defer lots.claim.Close() // once nobody listens in its block
	if f.loop, err = loop.New(1<<16, 1<<30); err != nil {
		return nil, err
	}
	defer f.loop.Close()
	if err := f.build(programs, lots); err != nil {
		return nil, err
	}
	defer f.stop()
	for _, d := range f.drivers {
		if err := f.start(d); err != nil {
			return nil, err
		}
	}
	f.loop.At(f.loop.Now()+mostStart, func() {
		if f.began == 0 {
			f.fail("not all drivers serve after %v", mostStart)
		}
	})
	err = f.loop.Run(f.hear)
	var views []play.ViewSample
	var told []play.VersionSample
	if f.views != nil {
		views, told = f.views.over(), f.versions.over()
	}
	if err != nil {
		return nil, err
	}
	if f.fault == nil {
		f.fault = f.cluster.Err()
	}
	if f.fault != nil {
		return nil, fmt.Errorf("the play broke down: %w", f.fault)
	}
	result := f.clients.Result(s, seed, f.cluster, f.falls, f.witness, f.loop.Now())
	result.Views, result.Versions = views, told
	return result, nil
}

func (f *fleet) fail(format string, args ...any) {
	if f.fault == nil {
		f.fault = fmt.Errorf(format, args...)
	}
	f.loop.Stop()
}

// build lays all roads.
func (f *fleet) build(programs Programs, lots *lots) (err error) {
	s := f.script
	agents := make([]netip.AddrPort, s.Drivers)
	for i := range agents {
		agents[i] = lots.next()
	}
	members := make([]netip.AddrPort, s.Groups*s.Members)
	for i := range members {
		members[i] = lots.next()
	}
	if f.cluster, err = play.NewCluster(f.loop, s, f.record, f.seed+1, func(n int) netip.AddrPort { return members[n] }, agents); err != nil {
		return err
	}
	f.cluster.Address = func(driver, member int) netip.AddrPort {
		return f.relays[play.Link{From: play.Driver(driver), To: play.Member(member)}].at
	}
	for i := range s.Drivers {
		d := &driver{number: i, name: play.Driver(i), program: programs.Path, behind: lots.next()}
		if slices.Contains(s.Older, i) {
			if d.program = programs.Older; d.program == "" {
				return fmt.Errorf("the script has an older program for driver %d, and none is given", i)
			}
		}
		f.drivers = append(f.drivers, d)
	}
	for _, r := range s.Links() {
		d := f.drivers[0]
		if r.From[0] == 'd' {
			d = f.drivers[number(r.From)]
		}
		var to netip.AddrPort
		switch {
		case r.To == "discovery":
			to = agents[d.number]
		case r.To[0] == 'm':
			to = members[number(r.To)]
		case r.From == "clients":
			to = f.drivers[number(r.To)].behind
		default:
			continue
		}
		if f.relays[r], err = newRelay(f.loop, f.chance, lots.next(), to); err != nil {
			return err
		}
	}
	for _, d := range f.drivers {
		name := d.name
		if slices.Contains(s.Twins, d.number) {
			name = play.Driver(d.number - 1)
		}
		d.told = play.DriverSite{Name: name, Number: d.number, Listen: d.behind, Discovery: f.relays[play.Link{From: d.name, To: "discovery"}].at}
	}
	if err := f.lease(lots); err != nil {
		return err
	}
	if err := f.controlMachines(lots); err != nil {
		return err
	}
	if s.Peers {
		return f.connect(lots)
	}
	return nil
}

// lease gives drivers what their own operator's files name.
func (f *fleet) lease(lots *lots) (err error) {
	s := f.script
	f.places = make([]play.OperatorParams, len(f.drivers))
	if s.Leases != nil {
		f.voters = play.Electorate{Version: 1, Voters: s.Leases.Voters}
	}
	if s.Leases != nil && s.Leases.Summary > 0 {
		at := lots.next()
		if f.witness, err = play.NewFencingServer(f.loop, at); err != nil {
			return err
		}
		for i := range f.places {
			f.places[i].FencingServer = at
		}
	}
	for i := range f.places {
		if s.OwnFile() {
			f.places[i].Control = lots.next()
		}
		if s.Folders {
			f.places[i].State = f.folders.Path(i)
		}
		if s.Leases != nil && s.Leases.Folders {
			f.places[i].Votes = f.folders.VotesPath(i)
		}
	}
	return nil
}

// operate writes a driver's own operator's file.
func (f *fleet) operate(d *driver) (name string, err error) {
	text, err := f.script.OperatorText(d.number, f.places[d.number], f.voters)
	if err != nil {
		return "", err
	}
	name = filepath.Join(f.folder, d.name+".hcl")
	return name, os.WriteFile(name, text, 0o600)
}

// connect lets drivers talk with each other: a post for each pair and direction, and one for all at once.
func (f *fleet) connect(lots *lots) error {
	for _, d := range f.drivers {
		d.told.PeerListen = lots.next()
		d.told.PeerAll = lots.next()
		d.told.Peers = make([]netip.AddrPort, len(f.drivers))
		d.told.Peers[d.number] = d.told.PeerListen
	}
	for _, d := range f.drivers {
		for _, o := range f.drivers {
			if o == d {
				continue
			}
			p := &post{loop: f.loop, chance: f.chance, to: o.told.PeerListen}
			at := lots.next()
			var err error
			if p.socket, err = f.loop.ListenUDP(at, func(_ netip.AddrPort, text []byte) { p.pass(text) }); err != nil {
				return err
			}
			d.told.Peers[o.number] = at
			f.posts[play.Link{From: d.name, To: o.name}] = p
		}
		every, err := f.loop.ListenUDP(d.told.PeerAll, func(_ netip.AddrPort, text []byte) {
			for _, o := range f.drivers {
				if p := f.posts[play.Link{From: d.name, To: o.name}]; p != nil {
					p.pass(text)
				}
			}
		})
		if err != nil {
			return err
		}
		f.everyone = append(f.everyone, every)
	}
	for r, p := range f.posts {
		p.from = f.posts[play.Link{From: r.To, To: r.From}]
	}
	return nil
}

func number(name string) int {
	n, _ := strconv.Atoi(name[1:])
	return n
}

// start runs a driver.
func (f *fleet) start(d *driver) error {
	f.starts++
	d.life++
	d.told.Seed, d.told.Known = f.seed*1000003+f.starts, f.cluster.LastList(d.number)
	at := filepath.Join(f.folder, d.name+".json")
	err := os.WriteFile(at, f.script.SiteJSON(d.told), 0o600)
	if err != nil {
		return err
	}
	args := []string{"serve", "--site", at}
	switch {
	case f.folders != nil:
		operatorFile, err := f.operate(d)
		if err = errors.Join(err, f.folders.SaveCopies(d.number)); err != nil {
			return err
		}
		if !slices.Contains(f.script.Older, d.number) || accepts(d.program, at, operatorFile) {
			args = append(args, "--operator", operatorFile)
		}
	case f.script.Operator != "":
		args = append(args, "--operator", f.script.Operator)
	}
	life := d.life
	d.process, err = f.run(exec.Command(d.program, args...), func(s said) {
		s.driver, s.life = d, life
		f.said <- s
		f.loop.Wake()
	})
	d.running, d.serves = err == nil, false
	return err
}

// accepts reports whether a program can read an operator's file: an older build may not know all of its entries.
func accepts(program, siteFile, operatorFile string) bool {
	return exec.Command(program, "check", "--site", siteFile, "--operator", operatorFile).Run() == nil
}

// stop ends all processes that still run, and waits until nobody rings the loop any more.
func (f *fleet) stop() {
	for _, d := range f.drivers {
		if d.process != nil {
			d.process.signal(syscall.SIGCONT)
			d.process.signal(syscall.SIGKILL)
		}
	}
	for _, m := range f.machines {
		if m.process != nil {
			m.process.signal(syscall.SIGCONT)
			m.process.signal(syscall.SIGKILL)
		}
	}
	over := make(chan struct{})
	go func() {
		f.readers.Wait()
		close(over)
	}()
	for {
		select {
		case <-f.said: // nobody is told any more
		case <-over:
			return
		}
	}
}

// hear takes what drivers have logged.
func (f *fleet) hear() {
	for {
		select {
		case s := <-f.said:
			f.heard(s)
		default:
			return
		}
	}
}

func (f *fleet) heard(s said) {
	if s.machine != nil || s.publisher != "" {
		f.heardControl(s)
		return
	}
	d := s.driver
	if s.ended {
		if s.life == d.life && d.running {
			f.fail("driver %s ended by itself: %v", d.name, s.cause)
		}
		return
	}
	fmt.Fprintln(f.log, d.name, s.line)
	if s.life != d.life {
		return
	}
	event := field(s.line, "event")
	if strings.Contains(s.line, "level=ERROR") {
		f.fail("driver %s: %s", d.name, s.line)
	}
	if event == "duplicate driver name" {
		f.note(d, "%s %s", event, field(s.line, "driver"))
	}
	if (event == "lease acquired" || event == "lease lost") && f.began > 0 {
		f.note(d, "%s %s under %s", event, field(s.line, "lease"), field(s.line, "fencing_token"))
	}
	if strings.HasPrefix(event, "learned state ") && f.began > 0 {
		f.note(d, "%s members=%s lost=%s%s", event, field(s.line, "members"), field(s.line, "lost"), field(s.line, "cause"))
	}
	if strings.HasPrefix(event, "configuration") && f.began > 0 {
		f.note(d, "%s %s %s", event, field(s.line, "version"), field(s.line, "cause"))
	}
	stageChanged := event == "recovery stage changed" || event == "comeback" // the latter of earlier versions
	if stageChanged && f.began > 0 {
		f.note(d, "is %s", field(s.line, "stage"))
		f.falls.StageReached(d.number, field(s.line, "stage"), f.loop.Now()-f.began)
	}
	if event != "started" {
		return
	}
	d.serves = true
	if f.began > 0 {
		f.note(d, "serves")
		f.falls.DriverUp(d.number, f.loop.Now()-f.began)
	} else if !slices.ContainsFunc(f.drivers, func(o *driver) bool { return !o.serves }) {
		f.begin()
	}
}

// field returns a value of a line of the log, unquoted.
func field(line, name string) string {
	_, rest, _ := strings.Cut(" "+line, " "+name+"=")
	if strings.HasPrefix(rest, `"`) {
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ := strconv.Unquote(quoted)
			return value
		}
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func (f *fleet) note(d *driver, format string, args ...any) {
	f.cluster.Course.Note(f.loop.Now()-f.began, d.name, format, args...)
}

// begin lets clients come, and the script's time begin.
func (f *fleet) begin() {
	f.began = f.loop.Now()
	f.views, f.versions = f.watchViews(), f.watchVersions()
	for n, p := range f.script.Publications {
		f.loop.At(f.began+p.At, func() { f.publish(n, p) })
	}
	f.cluster.ResetStart()
	var doors []netip.AddrPort
	for _, d := range f.drivers {
		doors = append(doors, f.relays[play.Link{From: "clients", To: d.name}].at)
	}
	f.clients = play.NewClients(f.loop, f.script, f.record, f.cluster.Ledger(), f.seed+2, doors)
	for _, t := range f.script.Faults {
		f.loop.At(f.began+t.At, func() { f.trouble(t) })
	}
	for _, at := range f.script.LinkChangeTimes() {
		f.loop.At(f.began+at, func() { f.bend(at) })
	}
	f.loop.At(f.began+f.script.Ends(), f.loop.Stop)
}

// bend lets links be as they are at a time of the script.
func (f *fleet) bend(at time.Duration) {
	for r, relay := range f.relays {
		if err := relay.bend(f.script.Between(at, r.From, r.To), f.script.Between(at, r.To, r.From)); err != nil {
			f.fail("%s to %s: %w", r.From, r.To, err)
		}
		if f.script.ResetAt(at, r) {
			relay.reset()
		}
	}
	for r, p := range f.posts {
		p.condition = f.script.Between(at, r.From, r.To)
	}
}

// trouble lets something happen.
func (f *fleet) trouble(t play.Fault) {
	until := f.loop.Now() + t.Lasts
	switch t.Kind {
	case "driver_kill", "driver_stop", "driver_pause":
		for place, n := range t.On {
			f.strike(f.drivers[n], t.Kind, t.Folder, t.RestartTime(place, until))
		}
	case "control_kill", "control_pause":
		for _, n := range t.On {
			f.strikeControl(f.machines[n], t, until)
		}
	case "voters":
		f.elect(t, until)
	default:
		f.cluster.InjectFault(t, until)
	}
}

// elect lets others vote, for as long as it lasts together with those before.
func (f *fleet) elect(t play.Fault, until time.Duration) {
	before := f.voters.Voters
	tell := func(by play.Electorate) {
		f.voters = by
		for _, d := range f.drivers {
			if _, err := f.operate(d); err != nil {
				f.fail("driver %s: %w", d.name, err)
			}
			if d.running && d.serves {
				d.process.signal(syscall.SIGHUP)
			}
		}
		f.cluster.Course.Note(f.loop.Now()-f.began, "script", "voters %v, before %v, version %d", by.Voters, by.Former, by.Version)
	}
	tell(play.Electorate{Version: f.voters.Version + 1, Voters: t.On, Former: before})
	f.loop.At(until, func() { tell(play.Electorate{Version: f.voters.Version + 1, Voters: t.On}) })
}

// strike ends or stops a driver, which goes on then. One that is down already stays so until the later time.
func (f *fleet) strike(d *driver, how, folder string, back time.Duration) {
	now := f.loop.Now()
	f.record.DriverDown(d.name, now, back+time.Second) // it has to start
	f.falls.DriverDown(d.number, now-f.began)
	f.note(d, "%s", how)
	if how == "driver_pause" && !d.running { // it is about to end, and would never
		return
	}
	if how == "driver_pause" {
		d.process.signal(syscall.SIGSTOP)
		life := d.life
		f.loop.At(back, func() {
			if d.life == life { // also where it was told to end meanwhile
				d.process.signal(syscall.SIGCONT)
			}
			if d.life == life && d.running {
				f.falls.DriverUp(d.number, f.loop.Now()-f.began)
				f.note(d, "goes on")
			}
		})
		return
	}
	if !d.running {
		return
	}
	f.clients.DriverDied(d.number)
	d.running = false
	if how == "driver_kill" {
		d.process.signal(syscall.SIGKILL)
		f.once(d.process.ended, func() { f.again(d, folder, back) })
		return
	}
	d.process.signal(syscall.SIGTERM)
	life, ended, lasts := d.life, d.process.ended, back-now
	f.loop.At(now+mostEnd, func() {
		if d.life == life && !d.running {
			f.fail("driver %s does not end though it was told to", d.name)
		}
	})
	f.once(ended, func() {
		f.note(d, "ended")
		f.again(d, folder, f.loop.Now()+lasts)
	})
}

// once acts when a process has ended. The loop does not wait for that: all members, clients and roads of the play are on it, and an exit that takes
// its time would stall what has a deadline just then.
func (f *fleet) once(ended chan struct{}, act func()) {
	select {
	case <-ended:
		act()
	default:
		f.loop.At(f.loop.Now()+10*time.Millisecond, func() { f.once(ended, act) })
	}
}

// again starts a driver that has ended.
func (f *fleet) again(d *driver, folder string, at time.Duration) {
	f.loop.At(at, func() {
		f.note(d, "starts")
		err := error(nil)
		if f.folders != nil {
			err = f.folders.Prepare(d.number, folder)
		}
		if err = errors.Join(err, f.start(d)); err != nil {
			f.fail("driver %s: %w", d.name, err)
		}
	})
}
