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

// everyPeer is where a datagram goes that is for all other drivers.
var everyPeer = netip.MustParseAddrPort("10.3.255.255:7946")

// epoch is when simulated time begins, as Unix time.
const epoch = 1767225600 * time.Second

// stage is a rehearsal under way.
type stage struct {
	script  *Script
	seed    uint64
	world   *sim.World
	record  *emu.Record
	cluster *Cluster
	field   *sim.Host // where the members are
	hosts   []*sim.Host
	drivers []netip.AddrPort
	agents  []netip.AddrPort
	talk    []netip.AddrPort // where drivers take each other's datagrams
	crowd   *sim.Host
	clients *Clients
	falls   Falls
	starts  uint64
	folders *Folders
	nodes   []*node.Node
	witness *Witness
	fault   error
}

// Rehearse plays the script in simulated time.
func Rehearse(s *Script, seed uint64) (*Result, error) {
	if s.Controls > 0 {
		return nil, errors.New("control machines are played where they and the drivers are processes only")
	}
	st := &stage{script: s, seed: seed, world: sim.New(seed, epoch), record: emu.NewRecord(emu.Allowed{Grace: s.Grace, Slack: 100 * time.Millisecond})}
	if s.OwnFile() {
		root, err := os.MkdirTemp("", "rehearsal")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(root)
		if st.folders, err = NewFolders(root, s.Drivers, seed+4); err != nil {
			return nil, err
		}
	}
	st.nodes = make([]*node.Node, s.Drivers)
	for i := range s.Drivers {
		st.drivers = append(st.drivers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6543))
		st.agents = append(st.agents, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8500))
		st.talk = append(st.talk, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 7946))
	}
	st.world.SetMulticast(everyPeer, st.talk)
	st.field = st.world.AddHost("members")
	st.field.IterationTime = 0
	field, err := s.on(st.field)
	if err != nil {
		return nil, err
	}
	place := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
	}
	if st.cluster, err = NewCluster(field, s, st.record, seed+1, place, st.agents); err != nil {
		return nil, err
	}
	if s.Leases != nil && s.Leases.Summary > 0 {
		if st.witness, err = NewWitness(field, witnessPlace); err != nil {
			return nil, err
		}
	}
	for i := range s.Drivers {
		st.hosts = append(st.hosts, st.world.AddHost(fmt.Sprint("d", i)))
		if err := st.drive(i); err != nil {
			return nil, err
		}
	}
	st.crowd = st.world.AddHost("clients")
	st.crowd.IterationTime = 0
	people, err := s.on(st.crowd)
	if err != nil {
		return nil, err
	}
	st.clients = NewClients(people, s, st.record, st.cluster.ledger, seed+2, st.drivers)
	for _, t := range s.Troubles {
		st.world.At(epoch+t.At, func() { st.trouble(t) })
	}
	for _, at := range s.Edges() {
		st.world.At(epoch+at, func() { st.bend(at) })
	}
	end := epoch + s.Ends()
	st.world.Run(end)
	if st.fault != nil || st.cluster.fault != nil {
		return nil, fmt.Errorf("the rehearsal broke down: %v %v", st.fault, st.cluster.fault)
	}
	return st.clients.Result(s, seed, st.cluster, st.falls, st.witness, end), nil
}

// Ends tells when all is over, with what was under way at the end of the load.
func (s *Script) Ends() time.Duration {
	longest := time.Duration(0)
	for _, m := range s.Methods {
		longest = max(longest, m.Limit)
	}
	return s.Lasts + longest + time.Second
}

// on makes a loop for all members, or all clients: it may hold a connection for each driver and member, and some that are about to end.
func (s *Script) on(h *sim.Host) (*eventloop.Loop, error) {
	l, err := eventloop.NewWithSystem(h, 1<<15+2*s.Drivers*s.Groups*s.Members, 64<<20)
	if err == nil {
		h.Serve(l, func() {})
	}
	return l, err
}

// drive starts a driver on its host.
func (st *stage) drive(i int) error {
	h := st.hosts[i]
	h.Start()
	l, err := eventloop.NewWithSystem(h, 1024, 48<<20)
	if err != nil {
		return err
	}
	h.Serve(l, func() {})
	st.starts++
	site := &node.Site{
		Name: h.Name, Listen: st.drivers[i], Discovery: st.agents[i], Seed: st.seed*1000003 + st.starts, Descriptors: 1024, Memory: 192 << 20,
		InitialList: st.cluster.Known(i), Settings: st.script.Terms(i), ConfigFile: st.script.Operator,
	}
	if st.script.Peers {
		site.PeerListen, site.PeerBroadcast, site.Peers = st.talk[i], everyPeer, st.talk
	}
	wants, err := st.wants(i, site)
	if err != nil {
		return err
	}
	n, err := node.On(l, site, wants)
	st.nodes[i] = n
	if err == nil && st.clients != nil {
		st.follow(i, l, n, n.RecoveryStage())
	}
	return err
}

// wants is the operator's file of a driver.
func (st *stage) wants(i int, site *node.Site) (*config.File, error) {
	s := st.script
	if st.folders == nil {
		return site.ReadConfig()
	}
	at := Places{Witness: witnessPlace}
	if s.Folders {
		at.State = st.folders.Path(i)
	}
	if s.Leases != nil && s.Leases.Folders {
		at.Votes = st.folders.VotesPath(i)
	}
	by := Electorate{Version: 1}
	if s.Leases != nil {
		by.Voters = s.Leases.Voters
	}
	text, err := s.OperatorText(i, at, by)
	if err == nil {
		err = st.folders.Starts(i)
	}
	if err != nil {
		return nil, err
	}
	return site.ParseConfig(text, Driver(i)+".hcl")
}

// witnessPlace is where holders act.
var witnessPlace = netip.MustParseAddrPort("10.4.0.1:9000")

// follow notes the stages in which a driver that has started again says to be.
func (st *stage) follow(i int, l *eventloop.Loop, n *node.Node, last recovery.Stage) {
	l.At(l.Now()+looking, func() {
		now := n.RecoveryStage()
		if now != last {
			st.falls.Reached(i, now.String(), st.world.Now()-epoch)
		}
		if now != recovery.Complete {
			st.follow(i, l, n, now)
		}
	})
}

// looking is how often a driver that comes back is asked how far it is.
const looking = 10 * time.Millisecond

// Terms are what a driver is told of itself and of the script's methods, in the project's words.
func (s *Script) Terms(number int) map[string]string {
	micros := func(d time.Duration) string { return strconv.FormatInt(int64(d/time.Microsecond), 10) }
	t := map[string]string{
		"zones": strings.Join(s.zoneNames(), ","), "zone": strconv.Itoa(s.DriverZone(number)), "drivers": strconv.Itoa(s.Drivers), "driver": strconv.Itoa(number), "tick": "5000", "list": "pushed", "caps.cancel": "true",
		"caps.connect_timeout": "250000", "caps.idle_close": "15000000", "caps.longest_wait": "1000000", "caps.attempts": "8",
		"family_info.checks": "wait", "family_info.token": "carried", "report.columns": "x0,x1,util", "methods.count": strconv.Itoa(len(s.Methods)),
		"rules.cold_lasts": micros(s.Build.Warm), "rules.cold_share": "0.25", "rules.cold_multiple": "4", "rules.cold_window": "1000000",
		"rules.drain_grace": micros(s.Grace),
	}
	var needs, bounds []string
	for i, m := range s.Methods {
		at := fmt.Sprintf("methods.%d.", i)
		t[at+"name"], t[at+"repeats"] = m.Name, map[bool]string{true: "group", false: "all"}[m.Need == "write"]
		t[at+"effect"] = [...]string{"idempotent", "tokened", "non-idempotent"}[m.Effect]
		t[at+"soft_deadline"], t[at+"limit"], t[at+"window"] = micros(m.Soft), micros(m.Limit), micros(m.Window)
		t[at+"utility"], t[at+"late_utility"] = fmt.Sprint(m.Utility), fmt.Sprint(m.Late)
		needs, bounds = append(needs, m.Need), append(bounds, micros(m.Bound))
	}
	t["family_info.needs"], t["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	return t
}

// bend lets links be as they are at a time of the script.
func (st *stage) bend(at time.Duration) {
	for _, r := range st.script.Roads() {
		caller, place := st.crowd, netip.AddrPort{}
		if n, ok := strings.CutPrefix(r.From, "d"); ok {
			caller = st.hosts[number(n)]
		}
		switch n := number(r.To[1:]); {
		case r.To == toDiscovery:
			place = st.agents[number(r.From[1:])]
		case r.To[0] == 'm':
			place = st.cluster.members[n].at
		default:
			if place = st.drivers[n]; r.From[0] == 'd' {
				place = st.talk[n]
			}
		}
		there, back := st.script.Between(at, r.From, r.To), st.script.Between(at, r.To, r.From)
		if there == (Condition{}) && back == there {
			st.world.ClearRoute(caller, place)
		} else {
			st.world.SetRoute(caller, place, link(there), link(back))
		}
		if st.script.Resets(at, r) {
			st.world.ResetRoute(caller, place)
		}
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// link adds a condition to what is usual.
func link(c Condition) sim.Link {
	l := sim.LocalLink
	l.Cut, l.RefuseConnects, l.Delay, l.Jitter, l.Loss = c.Cut, c.Refuse, l.Delay+c.Delay, l.Jitter+c.Jitter, c.Loss
	l.Duplicate, l.Reorder, l.ReorderDelay, l.BytesPerSecond = c.Double, c.Reorder, c.Late, c.Rate
	return l
}

// trouble lets something happen, and end.
func (st *stage) trouble(t Trouble) {
	now := st.world.Now()
	until := now + t.Lasts
	switch t.Kind {
	case "driver_kill", "driver_stop", "driver_pause":
		for place, n := range t.On {
			back := t.Back(place, until)
			st.record.Down(Driver(n), now, back)
			st.falls.Gone(n, now-epoch)
			st.cluster.Course.Note(now-epoch, Driver(n), "%s", t.Kind)
			if t.Kind == "driver_pause" {
				st.hosts[n].Pause(back)
				st.world.At(back, func() {
					st.falls.Back(n, back-epoch)
					st.cluster.Course.Note(back-epoch, Driver(n), "goes on")
				})
				continue
			}
			st.clients.Died(n)
			st.hosts[n].Kill()
			st.nodes[n].CloseStores()
			st.world.At(back, func() {
				err := error(nil)
				if st.folders != nil {
					err = st.folders.Treat(n, t.Folder)
				}
				if err = errors.Join(err, st.drive(n)); err != nil {
					st.fault = err
				}
				st.falls.Back(n, back-epoch)
				st.cluster.Course.Note(back-epoch, Driver(n), "started")
			})
		}
	case "voters":
		st.fault = errors.New("voters change where drivers are processes only")
	default:
		st.field.Post(func() { st.cluster.Trouble(t, until) })
	}
}

// Back tells when the driver at a place of On starts again, where the first does at a time.
func (t *Trouble) Back(place int, first time.Duration) time.Duration {
	return first + t.Within*time.Duration(place)/time.Duration(max(len(t.On)-1, 1))
}

// words tell what it is, for who reads the course.
func (t *Trouble) words() string {
	text := fmt.Sprintf("%s for %v", t.Kind, t.Lasts)
	if len(t.On) > 0 {
		text += fmt.Sprintf(", on %v", t.On)
	}
	if t.From != nil {
		text += fmt.Sprintf(", between %v and %v", t.From, t.To)
	}
	if t.Islands != nil {
		text += fmt.Sprintf(", islands %v", t.Islands)
	}
	return text
}

// Links tells whether it is about links.
func (t *Trouble) Links() bool { return kinds[t.Kind].about == "link" }

// hold notes that what drivers send may come late while their links are troubled.
func (t *Trouble) hold(r *emu.Record, from, to time.Duration) {
	for _, names := range append([][]string{t.From, t.To}, t.Islands...) {
		for _, name := range names {
			r.Held(name, from, to)
		}
	}
}

// Trouble lets something happen to members or discovery until then.
func (c *Cluster) Trouble(t Trouble, until time.Duration) {
	later := func(act func()) { c.loop.At(until, act) }
	c.note("script", "%s", t.words())
	if t.Links() {
		t.hold(c.record, c.loop.Now(), until)
	}
	switch t.Kind {
	case "discovery":
		for i, a := range c.agents {
			if len(t.On) == 0 || slices.Contains(t.On, i) {
				a.down = until
			}
		}
		return
	case "discovery_old":
		c.old = until
		return
	}
	for _, n := range t.On {
		m := c.members[n]
		model := m.model
		switch t.Kind {
		case "pause":
			model.Pause(until)
			c.groups[m.group].Suspect(model)
		case "kill":
			m.die()
			later(func() { m.start(0) })
		case "slow":
			model.Slow = t.Times
			later(func() { model.Slow = 1 })
		case "theft":
			model.Theft = min(t.Times, 0.95)
			later(func() { model.Theft = 0 })
		case "lag":
			model.Lagging = t.Times
			later(func() { model.Lagging = 1 })
		case "drain":
			model.Drain()
			c.list(m, "terminating")
			later(func() {
				m.die()
				m.start(0)
			})
		}
	}
}
