package play

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/internal/config"
	"passtack/internal/emu"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/node"
	"passtack/internal/recovery"
)

func logOf(x float64) float64 { return math.Log(max(x, 1e-12)) }

// broadcastAddr is the address of a datagram to all other drivers.
var broadcastAddr = netip.MustParseAddrPort("10.3.255.255:7946")

// epoch is the start of simulated time as Unix time.
const epoch = 1767225600 * time.Second

// rehearsal is the state of one simulated run.
type rehearsal struct {
	script      *Script
	seed        uint64
	world       *sim.World
	record      *emu.Record
	cluster     *Cluster
	memberHost  *sim.Host // runs all members
	hosts       []*sim.Host
	driverAddrs []netip.AddrPort
	agentAddrs  []netip.AddrPort
	peerAddrs   []netip.AddrPort // where drivers receive each other's datagrams
	clientHost  *sim.Host
	clients     *Clients
	outages     Outages
	starts      uint64
	folders     *Folders
	nodes       []*node.Node
	fencing     *FencingServer
	err         error
}

// Rehearse plays the script in simulated time.
func Rehearse(s *Script, seed uint64) (*Result, error) {
	if s.Controls > 0 {
		return nil, errors.New("a script with control machines requires drivers as processes (--sockets)")
	}
	r := &rehearsal{script: s, seed: seed, world: sim.New(seed, epoch), record: emu.NewRecord(emu.Tolerance{Grace: s.Grace, Slack: 100 * time.Millisecond})}
	if s.OwnFile() {
		root, err := os.MkdirTemp("", "rehearsal")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(root)
		if r.folders, err = NewFolders(root, s.Drivers, seed+4); err != nil {
			return nil, err
		}
	}
	r.nodes = make([]*node.Node, s.Drivers)
	for i := range s.Drivers {
		r.driverAddrs = append(r.driverAddrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6543))
		r.agentAddrs = append(r.agentAddrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8500))
		r.peerAddrs = append(r.peerAddrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 7946))
	}
	r.world.SetMulticast(broadcastAddr, r.peerAddrs)
	r.memberHost = r.world.AddHost("members")
	r.memberHost.IterationTime = 0
	memberLoop, err := s.newLoop(r.memberHost)
	if err != nil {
		return nil, err
	}
	memberAddr := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
	}
	if r.cluster, err = NewCluster(memberLoop, s, r.record, seed+1, memberAddr, r.agentAddrs); err != nil {
		return nil, err
	}
	if s.Leases != nil && s.Leases.Summary > 0 {
		if r.fencing, err = NewFencingServer(memberLoop, fencingAddr); err != nil {
			return nil, err
		}
	}
	for i := range s.Drivers {
		r.hosts = append(r.hosts, r.world.AddHost(fmt.Sprint("d", i)))
		if err := r.startDriver(i); err != nil {
			return nil, err
		}
	}
	r.clientHost = r.world.AddHost("clients")
	r.clientHost.IterationTime = 0
	clientLoop, err := s.newLoop(r.clientHost)
	if err != nil {
		return nil, err
	}
	r.clients = NewClients(clientLoop, s, r.record, r.cluster.ledger, seed+2, r.driverAddrs)
	for _, f := range s.Faults {
		r.world.At(epoch+f.At, func() { r.injectFault(f) })
	}
	for _, at := range s.LinkChangeTimes() {
		r.world.At(epoch+at, func() { r.updateLinks(at) })
	}
	end := epoch + s.Ends()
	r.world.Run(end)
	if r.err != nil || r.cluster.err != nil {
		return nil, fmt.Errorf("simulation failed: rehearsal: %v, cluster: %v", r.err, r.cluster.err)
	}
	return r.clients.Result(s, seed, r.cluster, r.outages, r.fencing, end), nil
}

// Ends returns the end of the run: after the load, RPCs in flight have time to end.
func (s *Script) Ends() time.Duration {
	longest := time.Duration(0)
	for _, m := range s.Methods {
		longest = max(longest, m.Limit)
	}
	return s.Duration + longest + time.Second
}

// newLoop returns a loop for all members, or for all clients. Beside 32,768 others it has room for two
// connections for each driver and member, as old ones may still be about to end.
func (s *Script) newLoop(h *sim.Host) (*eventloop.Loop, error) {
	l, err := eventloop.NewWithSystem(h, 1<<15+2*s.Drivers*s.Groups*s.Members, 64<<20)
	if err == nil {
		h.Serve(l, func() {})
	}
	return l, err
}

// startDriver starts a driver on its host.
func (r *rehearsal) startDriver(i int) error {
	h := r.hosts[i]
	h.Start()
	l, err := eventloop.NewWithSystem(h, 1024, 48<<20)
	if err != nil {
		return err
	}
	h.Serve(l, func() {})
	r.starts++
	site := &node.Site{
		Name: h.Name, Listen: r.driverAddrs[i], Discovery: r.agentAddrs[i], Seed: r.seed*1000003 + r.starts, Descriptors: 1024, Memory: 192 << 20,
		InitialList: r.cluster.LastList(i), Settings: r.script.DriverSettings(i), ConfigFile: r.script.Operator,
	}
	if r.script.Peers {
		site.PeerListen, site.PeerBroadcast, site.Peers = r.peerAddrs[i], broadcastAddr, r.peerAddrs
	}
	operator, err := r.operatorConfig(i, site)
	if err != nil {
		return err
	}
	n, err := node.On(l, site, operator)
	r.nodes[i] = n
	if err == nil && r.clients != nil {
		r.watchRecovery(i, l, n, n.RecoveryStage())
	}
	return err
}

// operatorConfig returns the parsed operator's file of a driver.
func (r *rehearsal) operatorConfig(i int, site *node.Site) (*config.File, error) {
	s := r.script
	if r.folders == nil {
		return site.ReadConfig()
	}
	at := OperatorParams{FencingServer: fencingAddr}
	if s.StateFolders {
		at.State = r.folders.Path(i)
	}
	if s.Leases != nil && s.Leases.Folders {
		at.Votes = r.folders.VotesPath(i)
	}
	by := Electorate{Version: 1}
	if s.Leases != nil {
		by.Voters = s.Leases.Voters
	}
	text, err := s.OperatorText(i, at, by)
	if err == nil {
		err = r.folders.SaveCopies(i)
	}
	if err != nil {
		return nil, err
	}
	return site.ParseConfig(text, Driver(i)+".hcl")
}

// fencingAddr is the address of the fencing server.
var fencingAddr = netip.MustParseAddrPort("10.4.0.1:9000")

// watchRecovery records each recovery stage that a restarted driver reports.
func (r *rehearsal) watchRecovery(i int, l *eventloop.Loop, n *node.Node, last recovery.Stage) {
	l.At(l.Now()+stagePollInterval, func() {
		now := n.RecoveryStage()
		if now != last {
			r.outages.StageReached(i, now.String(), r.world.Now()-epoch)
		}
		if now != recovery.Complete {
			r.watchRecovery(i, l, n, now)
		}
	})
}

// stagePollInterval is how often the recovery stage of a restarted driver is read.
const stagePollInterval = 10 * time.Millisecond

// DriverSettings returns the settings of a driver and of the script's methods, in the project's own terms.
func (s *Script) DriverSettings(number int) map[string]string {
	micros := func(d time.Duration) string { return strconv.FormatInt(int64(d/time.Microsecond), 10) }
	t := map[string]string{
		"zones": strings.Join(s.zoneNames(), ","), "zone": strconv.Itoa(s.DriverZone(number)), "drivers": strconv.Itoa(s.Drivers), "driver": strconv.Itoa(number), "tick": "5000", "list": "pushed", "caps.cancel": "true",
		"caps.connect_timeout": "250000", "caps.idle_close": "15000000", "caps.longest_wait": "1000000", "caps.attempts": "8",
		"family_info.checks": "wait", "family_info.token": "carried", "report.columns": "x0,x1,util", "methods.count": strconv.Itoa(len(s.Methods)),
		"rules.cold_lasts": micros(s.MemberSpec.WarmUp), "rules.cold_share": "0.25", "rules.cold_multiple": "4", "rules.cold_window": "1000000",
		"rules.drain_grace": micros(s.Grace),
	}
	var needs, bounds []string
	for i, m := range s.Methods {
		at := fmt.Sprintf("methods.%d.", i)
		t[at+"name"], t[at+"repeats"] = m.Name, map[bool]string{true: "group", false: "all"}[m.Need == "write"]
		t[at+"effect"] = [...]string{"idempotent", "tokened", "non-idempotent"}[m.Effect]
		t[at+"soft_deadline"], t[at+"limit"], t[at+"window"] = micros(m.SoftDeadline), micros(m.Limit), micros(m.Window)
		t[at+"utility"], t[at+"late_utility"] = fmt.Sprint(m.Utility), fmt.Sprint(m.LateUtility)
		needs, bounds = append(needs, m.Need), append(bounds, micros(m.Bound))
	}
	t["family_info.needs"], t["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	return t
}

// updateLinks applies the condition that each link has at a time of the script.
func (r *rehearsal) updateLinks(at time.Duration) {
	for _, l := range r.script.Links() {
		host, addr := r.clientHost, netip.AddrPort{}
		if n, ok := strings.CutPrefix(l.From, "d"); ok {
			host = r.hosts[nodeNumber(n)]
		}
		switch n := nodeNumber(l.To[1:]); {
		case l.To == discoveryNode:
			addr = r.agentAddrs[nodeNumber(l.From[1:])]
		case l.To[0] == 'm':
			addr = r.cluster.members[n].addr
		default:
			if addr = r.driverAddrs[n]; l.From[0] == 'd' {
				addr = r.peerAddrs[n]
			}
		}
		forward, backward := r.script.Between(at, l.From, l.To), r.script.Between(at, l.To, l.From)
		if forward == (Condition{}) && backward == forward {
			r.world.ClearRoute(host, addr)
		} else {
			r.world.SetRoute(host, addr, simLink(forward), simLink(backward))
		}
		if r.script.ResetAt(at, l) {
			r.world.ResetRoute(host, addr)
		}
	}
}

func nodeNumber(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// simLink returns the usual link with a condition added.
func simLink(c Condition) sim.Link {
	l := sim.LocalLink
	l.Cut, l.RefuseConnects, l.Delay, l.Jitter, l.Loss = c.Cut, c.Refuse, l.Delay+c.Delay, l.Jitter+c.Jitter, c.Loss
	l.Duplicate, l.Reorder, l.ReorderDelay, l.BytesPerSecond = c.Double, c.Reorder, c.MaxExtraDelay, c.Rate
	return l
}

// injectFault starts a fault and schedules its end.
func (r *rehearsal) injectFault(f Fault) {
	now := r.world.Now()
	until := now + f.Duration
	switch f.Kind {
	case "driver_kill", "driver_stop", "driver_pause":
		for index, n := range f.On {
			restart := f.RestartTime(index, until)
			r.record.DriverDown(Driver(n), now, restart)
			r.outages.DriverDown(n, now-epoch)
			r.cluster.Timeline.Note(now-epoch, Driver(n), "%s", f.Kind)
			if f.Kind == "driver_pause" {
				r.hosts[n].Pause(restart)
				r.world.At(restart, func() {
					r.outages.DriverUp(n, restart-epoch)
					r.cluster.Timeline.Note(restart-epoch, Driver(n), "goes on")
				})
				continue
			}
			r.clients.DriverDied(n)
			r.hosts[n].Kill()
			r.nodes[n].CloseStores()
			r.world.At(restart, func() {
				err := error(nil)
				if r.folders != nil {
					err = r.folders.Prepare(n, f.Folder)
				}
				if err = errors.Join(err, r.startDriver(n)); err != nil {
					r.err = err
				}
				r.outages.DriverUp(n, restart-epoch)
				r.cluster.Timeline.Note(restart-epoch, Driver(n), "started")
			})
		}
	case "voters":
		r.err = errors.New("a voters fault requires drivers as processes (--sockets)")
	default:
		r.memberHost.Post(func() { r.cluster.InjectFault(f, until) })
	}
}

// RestartTime returns when the driver at an index of On starts again, if the first one starts at the given time.
func (f *Fault) RestartTime(index int, first time.Duration) time.Duration {
	return first + f.Within*time.Duration(index)/time.Duration(max(len(f.On)-1, 1))
}

// describe returns the text of the fault for the timeline.
func (f *Fault) describe() string {
	text := fmt.Sprintf("%s for %v", f.Kind, f.Duration)
	if len(f.On) > 0 {
		text += fmt.Sprintf(", on %v", f.On)
	}
	if f.From != nil {
		text += fmt.Sprintf(", between %v and %v", f.From, f.To)
	}
	if f.Islands != nil {
		text += fmt.Sprintf(", islands %v", f.Islands)
	}
	return text
}

// AffectsLinks reports whether the fault is one of links.
func (f *Fault) AffectsLinks() bool { return faultKinds[f.Kind].target == "link" }

// noteDelays records that data sent by the nodes at both ends may arrive late while their links have a fault.
func (f *Fault) noteDelays(r *emu.Record, from, to time.Duration) {
	for _, names := range append([][]string{f.From, f.To}, f.Islands...) {
		for _, name := range names {
			r.SendsDelayed(name, from, to)
		}
	}
}

// InjectFault applies a fault to members or discovery until the given time.
func (c *Cluster) InjectFault(f Fault, until time.Duration) {
	later := func(action func()) { c.loop.At(until, action) }
	c.note("script", "%s", f.describe())
	if f.AffectsLinks() {
		f.noteDelays(c.record, c.loop.Now(), until)
	}
	switch f.Kind {
	case "discovery":
		for i, a := range c.agents {
			if len(f.On) == 0 || slices.Contains(f.On, i) {
				a.silentUntil = until
			}
		}
		return
	case "discovery_old":
		c.changesHeldUntil = until
		return
	}
	for _, n := range f.On {
		m := c.members[n]
		model := m.model
		switch f.Kind {
		case "pause":
			model.Pause(until)
			c.groups[m.group].Suspect(model)
		case "kill":
			m.kill()
			later(func() { m.start(0) })
		case "slow":
			model.Slowdown = f.Times
			later(func() { model.Slowdown = 1 })
		case "theft":
			model.StolenCPU = min(f.Times, 0.95)
			later(func() { model.StolenCPU = 0 })
		case "lag":
			model.ApplySlowdown = f.Times
			later(func() { model.ApplySlowdown = 1 })
		case "drain":
			model.Drain()
			c.updateListing(m, "terminating")
			later(func() {
				m.kill()
				m.start(0)
			})
		}
	}
}
