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
	"passtack/internal/eventloop"
	"passtack/internal/pcg"
)

// Programs are the paths of the programs that are started as drivers.
type Programs struct {
	Path  string
	Older string // an older build, for the drivers that the script marks as older
}

// driver is a driver that runs as a process, with the values it is started with.
type driver struct {
	number        int
	name          string
	site          play.DriverSite
	program       string
	process       *process
	processNumber int            // increases with each start
	running       bool           // it was started and not signalled to end
	serving       bool           // it has logged that it is started
	listenAddress netip.AddrPort // the relay for clients forwards to it
}

// processEvent is a log line or the exit of a driver or control machine, or the first line that a publisher printed.
type processEvent struct {
	machine       *controlMachine
	publisher     string
	driver        *driver
	processNumber int
	line          string
	ended         bool
	exitErr       error
}

// fleet is a running play.
type fleet struct {
	script           *play.Script
	seed             uint64
	log              io.Writer
	folder           string
	loop             *eventloop.Loop
	rng              *pcg.Source
	record           *emu.Record
	cluster          *play.Cluster
	clients          *play.Clients
	drivers          []*driver
	relays           map[play.Link]*relay
	datagramRelays   map[play.Link]*datagramRelay
	broadcastSockets []*eventloop.DatagramSocket // one per driver: what it sends there goes to all others
	outages          play.Outages
	events           chan processEvent
	readers          sync.WaitGroup // goroutines that read the logs of processes
	scriptStart      time.Duration  // 0 until all drivers serve
	startCount       uint64
	folders          *play.Folders
	fencingServer    *play.FencingServer
	membershipPoller *membershipPoller
	programPath      string
	machines         []*controlMachine
	versionPoller    *versionPoller
	operatorParams   []play.OperatorParams // addresses and folders in each driver's operator file
	voters           play.Electorate
	failure          error
}

const (
	maxStartTime = 20 * time.Second // until all drivers serve
	maxStopTime  = 20 * time.Second // from SIGTERM to the exit of a driver
)

// Play plays the script in real time, with processes as the drivers. It writes their log lines to log, each with its driver's name
// before it. All processes end before the call returns, and also when the calling process dies.
func Play(s *play.Script, seed uint64, programs Programs, log io.Writer) (*play.Result, error) {
	f := &fleet{script: s, seed: seed, log: log, programPath: programs.Path, rng: pcg.New(seed + 3), relays: make(map[play.Link]*relay),
		datagramRelays: make(map[play.Link]*datagramRelay), events: make(chan processEvent, 1024),
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
	addresses, err := newAddresses()
	if err != nil {
		return nil, err
	}
	defer addresses.reservation.Close() // after the loop and all processes have stopped listening in the block
	if f.loop, err = eventloop.New(1<<16, 1<<30); err != nil {
		return nil, err
	}
	defer f.loop.Close()
	if err := f.build(programs, addresses); err != nil {
		return nil, err
	}
	defer f.stop()
	for _, d := range f.drivers {
		if err := f.startDriver(d); err != nil {
			return nil, err
		}
	}
	f.loop.At(f.loop.Now()+maxStartTime, func() {
		if f.scriptStart == 0 {
			f.fail("not all drivers serve %v after the start", maxStartTime)
		}
	})
	err = f.loop.Run(f.handleEvents)
	var memberships []play.ViewSample
	var versions []play.VersionSample
	if f.membershipPoller != nil {
		memberships, versions = f.membershipPoller.finish(), f.versionPoller.finish()
	}
	if err != nil {
		return nil, err
	}
	if f.failure == nil {
		f.failure = f.cluster.Err()
	}
	if f.failure != nil {
		return nil, fmt.Errorf("play failed: %w", f.failure)
	}
	result := f.clients.Result(s, seed, f.cluster, f.outages, f.fencingServer, f.loop.Now())
	result.Views, result.Versions = memberships, versions
	return result, nil
}

func (f *fleet) fail(format string, args ...any) {
	if f.failure == nil {
		f.failure = fmt.Errorf(format, args...)
	}
	f.loop.Stop()
}

// build creates the cluster, the drivers' values and the relays on all links.
func (f *fleet) build(programs Programs, addresses *addresses) (err error) {
	s := f.script
	discoveryAddresses := make([]netip.AddrPort, s.Drivers)
	for i := range discoveryAddresses {
		discoveryAddresses[i] = addresses.next()
	}
	memberAddresses := make([]netip.AddrPort, s.Groups*s.Members)
	for i := range memberAddresses {
		memberAddresses[i] = addresses.next()
	}
	if f.cluster, err = play.NewCluster(f.loop, s, f.record, f.seed+1, func(n int) netip.AddrPort { return memberAddresses[n] }, discoveryAddresses); err != nil {
		return err
	}
	f.cluster.Address = func(driver, member int) netip.AddrPort {
		return f.relays[play.Link{From: play.Driver(driver), To: play.Member(member)}].listenAddress
	}
	for i := range s.Drivers {
		d := &driver{number: i, name: play.Driver(i), program: programs.Path, listenAddress: addresses.next()}
		if slices.Contains(s.Older, i) {
			if d.program = programs.Older; d.program == "" {
				return fmt.Errorf("the script wants an older program for driver %d, and none is given", i)
			}
		}
		f.drivers = append(f.drivers, d)
	}
	for _, link := range s.Links() {
		d := f.drivers[0]
		if link.From[0] == 'd' {
			d = f.drivers[numberInName(link.From)]
		}
		var target netip.AddrPort
		switch {
		case link.To == "discovery":
			target = discoveryAddresses[d.number]
		case link.To[0] == 'm':
			target = memberAddresses[numberInName(link.To)]
		case link.From == "clients":
			target = f.drivers[numberInName(link.To)].listenAddress
		default:
			continue
		}
		if f.relays[link], err = newRelay(f.loop, f.rng, addresses.next(), target); err != nil {
			return err
		}
	}
	for _, d := range f.drivers {
		name := d.name
		if slices.Contains(s.Twins, d.number) {
			name = play.Driver(d.number - 1)
		}
		d.site = play.DriverSite{Name: name, Number: d.number, Listen: d.listenAddress, Discovery: f.relays[play.Link{From: d.name, To: "discovery"}].listenAddress}
	}
	if err := f.assignOperatorSettings(addresses); err != nil {
		return err
	}
	if err := f.buildControlMachines(addresses); err != nil {
		return err
	}
	if s.Peers {
		return f.connectPeers(addresses)
	}
	return nil
}

// assignOperatorSettings chooses the addresses and folders that the drivers' operator files name, and starts the fencing server.
func (f *fleet) assignOperatorSettings(addresses *addresses) (err error) {
	s := f.script
	f.operatorParams = make([]play.OperatorParams, len(f.drivers))
	if s.Leases != nil {
		f.voters = play.Electorate{Version: 1, Voters: s.Leases.Voters}
	}
	if s.Leases != nil && s.Leases.Summary > 0 {
		address := addresses.next()
		if f.fencingServer, err = play.NewFencingServer(f.loop, address); err != nil {
			return err
		}
		for i := range f.operatorParams {
			f.operatorParams[i].FencingServer = address
		}
	}
	for i := range f.operatorParams {
		if s.OwnFile() {
			f.operatorParams[i].Control = addresses.next()
		}
		if s.StateFolders {
			f.operatorParams[i].State = f.folders.Path(i)
		}
		if s.Leases != nil && s.Leases.Folders {
			f.operatorParams[i].Votes = f.folders.VotesPath(i)
		}
	}
	return nil
}

// writeOperatorFile writes the operator file of a driver.
func (f *fleet) writeOperatorFile(d *driver) (name string, err error) {
	text, err := f.script.OperatorText(d.number, f.operatorParams[d.number], f.voters)
	if err != nil {
		return "", err
	}
	name = filepath.Join(f.folder, d.name+".hcl")
	return name, os.WriteFile(name, text, 0o600)
}

// connectPeers creates a datagram relay for each ordered pair of drivers, and for each driver a socket that forwards to all others.
func (f *fleet) connectPeers(addresses *addresses) error {
	for _, d := range f.drivers {
		d.site.PeerListen = addresses.next()
		d.site.PeerAll = addresses.next()
		d.site.Peers = make([]netip.AddrPort, len(f.drivers))
		d.site.Peers[d.number] = d.site.PeerListen
	}
	for _, d := range f.drivers {
		for _, o := range f.drivers {
			if o == d {
				continue
			}
			r := &datagramRelay{loop: f.loop, rng: f.rng, target: o.site.PeerListen}
			address := addresses.next()
			var err error
			if r.socket, err = f.loop.ListenUDP(address, func(_ netip.AddrPort, data []byte) { r.forward(data) }); err != nil {
				return err
			}
			d.site.Peers[o.number] = address
			f.datagramRelays[play.Link{From: d.name, To: o.name}] = r
		}
		broadcastSocket, err := f.loop.ListenUDP(d.site.PeerAll, func(_ netip.AddrPort, data []byte) {
			for _, o := range f.drivers {
				if r := f.datagramRelays[play.Link{From: d.name, To: o.name}]; r != nil {
					r.forward(data)
				}
			}
		})
		if err != nil {
			return err
		}
		f.broadcastSockets = append(f.broadcastSockets, broadcastSocket)
	}
	for link, r := range f.datagramRelays {
		r.reverse = f.datagramRelays[play.Link{From: link.To, To: link.From}]
	}
	return nil
}

func numberInName(name string) int {
	n, _ := strconv.Atoi(name[1:])
	return n
}

// startDriver writes a driver's files and starts its process.
func (f *fleet) startDriver(d *driver) error {
	f.startCount++
	d.processNumber++
	d.site.Seed, d.site.Known = f.seed*1000003+f.startCount, f.cluster.LastList(d.number)
	siteFile := filepath.Join(f.folder, d.name+".json")
	err := os.WriteFile(siteFile, f.script.SiteJSON(d.site), 0o600)
	if err != nil {
		return err
	}
	args := []string{"serve", "--site", siteFile}
	switch {
	case f.folders != nil:
		operatorFile, err := f.writeOperatorFile(d)
		if err = errors.Join(err, f.folders.SaveCopies(d.number)); err != nil {
			return err
		}
		if !slices.Contains(f.script.Older, d.number) || acceptsFiles(d.program, siteFile, operatorFile) {
			args = append(args, "--operator", operatorFile)
		}
	case f.script.Operator != "":
		args = append(args, "--operator", f.script.Operator)
	}
	processNumber := d.processNumber
	d.process, err = f.runProcess(exec.Command(d.program, args...), func(s processEvent) {
		s.driver, s.processNumber = d, processNumber
		f.events <- s
		f.loop.Wake()
	})
	d.running, d.serving = err == nil, false
	return err
}

// acceptsFiles reports whether a program can read an operator file: an older build may not know all of its entries.
func acceptsFiles(program, siteFile, operatorFile string) bool {
	return exec.Command(program, "check", "--site", siteFile, "--operator", operatorFile).Run() == nil
}

// stop kills all processes that still run, and waits until no goroutine wakes the loop any more.
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
	done := make(chan struct{})
	go func() {
		f.readers.Wait()
		close(done)
	}()
	for {
		select {
		case <-f.events: // events after the end of the play are discarded
		case <-done:
			return
		}
	}
}

// handleEvents handles all events that are queued.
func (f *fleet) handleEvents() {
	for {
		select {
		case s := <-f.events:
			f.handleEvent(s)
		default:
			return
		}
	}
}

func (f *fleet) handleEvent(s processEvent) {
	if s.machine != nil || s.publisher != "" {
		f.handleControlEvent(s)
		return
	}
	d := s.driver
	if s.ended {
		if s.processNumber == d.processNumber && d.running {
			f.fail("driver %s ended by itself: %v", d.name, s.exitErr)
		}
		return
	}
	fmt.Fprintln(f.log, d.name, s.line)
	if s.processNumber != d.processNumber {
		return
	}
	event := logField(s.line, "event")
	if strings.Contains(s.line, "level=ERROR") {
		f.fail("driver %s logged an error: %s", d.name, s.line)
	}
	if event == "duplicate driver name" {
		f.recordDriverEvent(d, "%s %s", event, logField(s.line, "driver"))
	}
	if (event == "lease acquired" || event == "lease lost") && f.scriptStart > 0 {
		f.recordDriverEvent(d, "%s %s under %s", event, logField(s.line, "lease"), logField(s.line, "fencing_token"))
	}
	if strings.HasPrefix(event, "learned state ") && f.scriptStart > 0 {
		f.recordDriverEvent(d, "%s members=%s lost=%s%s", event, logField(s.line, "members"), logField(s.line, "lost"), logField(s.line, "cause"))
	}
	if strings.HasPrefix(event, "configuration") && f.scriptStart > 0 {
		f.recordDriverEvent(d, "%s %s %s", event, logField(s.line, "version"), logField(s.line, "cause"))
	}
	stageChanged := event == "recovery stage changed" || event == "comeback" // earlier versions log comeback
	if stageChanged && f.scriptStart > 0 {
		f.recordDriverEvent(d, "is %s", logField(s.line, "stage"))
		f.outages.StageReached(d.number, logField(s.line, "stage"), f.loop.Now()-f.scriptStart)
	}
	if event != "started" {
		return
	}
	d.serving = true
	if f.scriptStart > 0 {
		f.recordDriverEvent(d, "serves")
		f.outages.DriverUp(d.number, f.loop.Now()-f.scriptStart)
	} else if !slices.ContainsFunc(f.drivers, func(o *driver) bool { return !o.serving }) {
		f.startScript()
	}
}

// logField returns the unquoted value of a key in a log line.
func logField(line, name string) string {
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

func (f *fleet) recordDriverEvent(d *driver, format string, args ...any) {
	f.cluster.Timeline.Note(f.loop.Now()-f.scriptStart, d.name, format, args...)
}

// startScript starts the clients and schedules the script's faults and publications.
func (f *fleet) startScript() {
	f.scriptStart = f.loop.Now()
	f.membershipPoller, f.versionPoller = f.pollMembership(), f.pollVersions()
	for n, p := range f.script.Publications {
		f.loop.At(f.scriptStart+p.At, func() { f.publish(n, p) })
	}
	f.cluster.ResetStart()
	var clientAddresses []netip.AddrPort
	for _, d := range f.drivers {
		clientAddresses = append(clientAddresses, f.relays[play.Link{From: "clients", To: d.name}].listenAddress)
	}
	f.clients = play.NewClients(f.loop, f.script, f.record, f.cluster.Ledger(), f.seed+2, clientAddresses)
	for _, fault := range f.script.Faults {
		f.loop.At(f.scriptStart+fault.At, func() { f.injectFault(fault) })
	}
	for _, at := range f.script.LinkChangeTimes() {
		f.loop.At(f.scriptStart+at, func() { f.updateLinks(at) })
	}
	f.loop.At(f.scriptStart+f.script.Ends(), f.loop.Stop)
}

// updateLinks sets the conditions that all links have at a time of the script.
func (f *fleet) updateLinks(scriptTime time.Duration) {
	for link, relay := range f.relays {
		if err := relay.setConditions(f.script.Between(scriptTime, link.From, link.To), f.script.Between(scriptTime, link.To, link.From)); err != nil {
			f.fail("link from %s to %s: %w", link.From, link.To, err)
		}
		if f.script.ResetAt(scriptTime, link) {
			relay.reset()
		}
	}
	for link, r := range f.datagramRelays {
		r.condition = f.script.Between(scriptTime, link.From, link.To)
	}
}

// injectFault starts a fault of the script.
func (f *fleet) injectFault(fault play.Fault) {
	until := f.loop.Now() + fault.Duration
	switch fault.Kind {
	case "driver_kill", "driver_stop", "driver_pause":
		for position, n := range fault.On {
			f.injectDriverFault(f.drivers[n], fault.Kind, fault.Folder, fault.RestartTime(position, until))
		}
	case "control_kill", "control_pause":
		for _, n := range fault.On {
			f.injectControlFault(f.machines[n], fault, until)
		}
	case "voters":
		f.changeVoters(fault, until)
	default:
		f.cluster.InjectFault(fault, until)
	}
}

// changeVoters replaces the lease voters. Until the fault ends, the former voters vote together with the new ones.
func (f *fleet) changeVoters(fault play.Fault, until time.Duration) {
	formerVoters := f.voters.Voters
	apply := func(voters play.Electorate) {
		f.voters = voters
		for _, d := range f.drivers {
			if _, err := f.writeOperatorFile(d); err != nil {
				f.fail("operator file of driver %s cannot be written: %w", d.name, err)
			}
			if d.running && d.serving {
				d.process.signal(syscall.SIGHUP)
			}
		}
		f.cluster.Timeline.Note(f.loop.Now()-f.scriptStart, "script", "voters %v, before %v, version %d", voters.Voters, voters.Former, voters.Version)
	}
	apply(play.Electorate{Version: f.voters.Version + 1, Voters: fault.On, Former: formerVoters})
	f.loop.At(until, func() { apply(play.Electorate{Version: f.voters.Version + 1, Voters: fault.On}) })
}

// injectDriverFault kills or stops a driver and starts it again, or pauses it until endTime. A driver that is already down is not
// signalled again, and is allowed to be down until the later of both end times.
func (f *fleet) injectDriverFault(d *driver, kind, folder string, endTime time.Duration) {
	now := f.loop.Now()
	f.record.DriverDown(d.name, now, endTime+time.Second) // plus a second for its start
	f.outages.DriverDown(d.number, now-f.scriptStart)
	f.recordDriverEvent(d, "%s", kind)
	if kind == "driver_pause" && !d.running { // a paused process would never complete its shutdown
		return
	}
	if kind == "driver_pause" {
		d.process.signal(syscall.SIGSTOP)
		processNumber := d.processNumber
		f.loop.At(endTime, func() {
			if d.processNumber == processNumber { // also if it was signalled to end in the meantime
				d.process.signal(syscall.SIGCONT)
			}
			if d.processNumber == processNumber && d.running {
				f.outages.DriverUp(d.number, f.loop.Now()-f.scriptStart)
				f.recordDriverEvent(d, "goes on")
			}
		})
		return
	}
	if !d.running {
		return
	}
	f.clients.DriverDied(d.number)
	d.running = false
	if kind == "driver_kill" {
		d.process.signal(syscall.SIGKILL)
		f.whenEnded(d.process.ended, func() { f.restartDriver(d, folder, endTime) })
		return
	}
	d.process.signal(syscall.SIGTERM)
	processNumber, ended, duration := d.processNumber, d.process.ended, endTime-now
	f.loop.At(now+maxStopTime, func() {
		if d.processNumber == processNumber && !d.running {
			f.fail("driver %s did not exit in time after SIGTERM", d.name)
		}
	})
	f.whenEnded(ended, func() {
		f.recordDriverEvent(d, "ended")
		f.restartDriver(d, folder, f.loop.Now()+duration)
	})
}

// whenEnded calls action after a process has ended. It polls instead of blocking the loop, which also runs all members, clients and
// relays of the play: a slow exit would delay requests that are close to their deadlines.
func (f *fleet) whenEnded(ended chan struct{}, action func()) {
	select {
	case <-ended:
		action()
	default:
		f.loop.At(f.loop.Now()+10*time.Millisecond, func() { f.whenEnded(ended, action) })
	}
}

// restartDriver starts a driver that has ended, after its state folder was treated as the fault says.
func (f *fleet) restartDriver(d *driver, folder string, startTime time.Duration) {
	f.loop.At(startTime, func() {
		f.recordDriverEvent(d, "starts")
		err := error(nil)
		if f.folders != nil {
			err = f.folders.Prepare(d.number, folder)
		}
		if err = errors.Join(err, f.startDriver(d)); err != nil {
			f.fail("driver %s cannot be restarted: %w", d.name, err)
		}
	})
}
