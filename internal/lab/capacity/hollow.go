package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"passtack/internal/emu/play"
	"passtack/internal/httpwire"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/membership"
	"passtack/internal/node"
	"passtack/internal/peers"
)

// What a hollow driver is: the driver of internal/node as it is, on a simulated loop. It leaves out clients and RPCs, connections to members (those that
// its list names refuse each), files, and the kernel's part of what goes over sockets. Its tick is longer than the platform's.
const hollowLeaves = "Hollow drivers: the node itself on a simulated loop, without clients, RPCs, members that take connections, folders and a kernel; a tick of 100 ms. " +
	"Bytes are those of datagrams, without the 28 of IP and UDP."

const (
	epoch       = 1767225600 * time.Second
	hollowTick  = "100000"
	hollowEvery = time.Second // between two questions of a view, as the operator's file has it where it says nothing
	few         = 4           // members in the list of those who are not about it
)

// everyPeer is where a datagram goes that is for all other drivers.
var everyPeer = netip.MustParseAddrPort("10.3.255.255:7946")

func placeOf(kind, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(n >> 8), byte(n)}), uint16(port))
}

func driverName(n int) string { return "d" + strconv.Itoa(n) }

// plainScript gives what drivers are told of methods.
const plainScript = `lasts = "5s"
fleet {
  drivers = 1
  members = 3
}
load {
  rate = 1
  method "look" {
    need = "any"
    work = "1ms..2ms"
    soft = "1s"
    limit = "2s"
    share = 1
  }
}
`

// traffic counts datagrams, by what they are about.
type traffic struct{ messages, bytes [16]int }

func (t *traffic) add(text []byte) {
	kind := 0
	if len(text) > 3 {
		kind = int(text[3] & 15)
	}
	t.messages[kind]++
	t.bytes[kind] += len(text)
}

// of sums up some kinds.
func (t *traffic) of(kinds ...peers.Kind) (messages, bytes float64) {
	for _, k := range kinds {
		messages, bytes = messages+float64(t.messages[k]), bytes+float64(t.bytes[k])
	}
	return messages, bytes
}

// hollow is a fleet of hollow drivers.
type hollow struct {
	stop        context.Context
	world       *sim.World
	seed        uint64
	starts      uint64
	terms       map[string]string
	wants       string // the operator's file
	hosts       []*sim.Host
	numbers     map[*sim.Host]int
	nodes       []*node.Node // nil: it is down
	talk        []netip.AddrPort
	agents      []*agent
	sent, taken []traffic
	crowds      []traffic // sent to all at once, one for each
}

// newHollow makes a fleet in which nobody runs yet, and discovery.
func newHollow(stop context.Context, drivers int, seed uint64, wants string) (*hollow, error) {
	s, err := play.ParseScript([]byte(plainScript), "hollow")
	if err != nil {
		return nil, err
	}
	f := &hollow{stop: stop, world: sim.New(seed, epoch), seed: seed, terms: s.DriverSettings(0), wants: wants, numbers: make(map[*sim.Host]int), nodes: make([]*node.Node, drivers),
		sent: make([]traffic, drivers), taken: make([]traffic, drivers), crowds: make([]traffic, drivers)}
	f.terms["tick"] = hollowTick
	f.world.OnDatagram = f.posted
	field := f.world.AddHost("discovery")
	field.IterationTime = 0
	l, err := loop.NewWithSystem(field, 2*drivers+100, 64<<20)
	if err != nil {
		return nil, err
	}
	field.Serve(l, func() {})
	d := &discoveryAgent{members: few, rev: 1}
	for i := range drivers {
		f.talk = append(f.talk, placeOf(3, i, 7946))
		a, err := d.agent(l, placeOf(2, i, 8500))
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, a)
		h := f.world.AddHost(driverName(i))
		f.hosts = append(f.hosts, h)
		f.numbers[h] = i
	}
	f.world.SetMulticast(everyPeer, f.talk)
	return f, nil
}

// posted counts a datagram.
func (f *hollow) posted(from *sim.Host, to netip.AddrPort, text []byte) {
	i, known := f.numbers[from]
	if !known {
		return
	}
	if to == everyPeer {
		f.crowds[i].add(text)
		for o := range f.taken {
			if o != i {
				f.taken[o].add(text)
			}
		}
		return
	}
	f.sent[i].add(text)
	if at := to.Addr().As4(); at[1] == 3 {
		f.taken[int(at[2])<<8|int(at[3])].add(text)
	}
}

// forget lets all counts begin anew.
func (f *hollow) forget() {
	clear(f.sent)
	clear(f.taken)
	clear(f.crowds)
	for _, a := range f.agents {
		a.calls, a.sent, a.taken = 0, 0, 0
	}
}

func (f *hollow) start(i int) error {
	h := f.hosts[i]
	h.Start()
	l, err := loop.NewWithSystem(h, 64, 1<<20)
	if err != nil {
		return err
	}
	h.Serve(l, func() {})
	f.starts++
	site := &node.Site{Name: h.Name, Listen: placeOf(0, i, 6543), Discovery: f.agents[i].at, PeerListen: f.talk[i], PeerBroadcast: everyPeer, Peers: f.talk,
		Seed: f.seed*1000003 + f.starts, Descriptors: 64, Memory: 64 << 20, Settings: f.terms}
	wants, err := site.ParseConfig([]byte(f.wants), h.Name+".hcl")
	if err != nil {
		return err
	}
	f.nodes[i], err = node.On(l, site, wants)
	return err
}

// kill ends a driver at once.
func (f *hollow) kill(i int) {
	f.hosts[i].Kill()
	f.nodes[i].CloseStores()
	f.nodes[i] = nil
}

// startAll starts all, spread over a second.
func (f *hollow) startAll() (err error) {
	for i := range f.hosts {
		f.world.At(epoch+time.Duration(i)*time.Second/time.Duration(len(f.hosts)), func() {
			if wrong := f.start(i); wrong != nil && err == nil {
				err = wrong
			}
		})
	}
	return errorOf(f.run(2*time.Second), &err)
}

func errorOf(err error, other *error) error {
	if err == nil {
		err = *other
	}
	return err
}

// run lets time pass, in steps, between which it looks whether to stop.
func (f *hollow) run(lasts time.Duration) error {
	for end := f.world.Now() + lasts; f.world.Now() < end; {
		if f.stop.Err() != nil {
			return context.Cause(f.stop)
		}
		f.world.Run(min(end, f.world.Now()+100*time.Millisecond))
	}
	return nil
}

// until lets time pass in steps until each driver that runs knows, and gives when each did, in seconds; who did not within the time is counted apart.
func (f *hollow) until(most, step time.Duration, knows func(i int) bool) (when []float64, never int, err error) {
	from, done := f.world.Now(), make([]bool, len(f.nodes))
	for {
		left := 0
		for i, n := range f.nodes {
			if n == nil || done[i] {
				continue
			}
			if knows(i) {
				done[i] = true
				when = append(when, (f.world.Now() - from).Seconds())
			} else {
				left++
			}
		}
		if left == 0 || f.world.Now() >= from+most {
			return when, left, nil
		}
		if f.stop.Err() != nil {
			return nil, left, context.Cause(f.stop)
		}
		f.world.Run(f.world.Now() + step)
	}
}

// sees tells how one driver sees another.
func (f *hollow) sees(i, o int) (membership.Status, uint64) {
	e, known := f.nodes[i].Membership().Lookup(membership.NodeIDOf(driverName(o)))
	if !known {
		return membership.Dead, 0
	}
	return e.Status, e.Incarnation
}

// settled tells whether a driver sees all who run as alive, and nobody else.
func (f *hollow) settled(i int) bool {
	up := 0
	for _, n := range f.nodes {
		if n != nil {
			up++
		}
	}
	return f.nodes[i].Membership().ActiveCount() == up
}

// discovery tells which members there are.
type discoveryAgent struct {
	members int
	rev     int
	drains  int    // member that drains since the latest revision; none: 0
	only    *agent // who is told of what has changed; nil: all
	agents  []*agent
}

// agent is discovery as one driver meets it.
type agent struct {
	discovery          *discoveryAgent
	loop               *loop.Loop
	at                 netip.AddrPort
	waiting            *asker
	calls, sent, taken int
}

func (d *discoveryAgent) agent(l *loop.Loop, at netip.AddrPort) (*agent, error) {
	a := &agent{discovery: d, loop: l, at: at}
	d.agents = append(d.agents, a)
	_, err := l.Listen(at, 1<<16, loop.AcceptLimiter{}, func(open func(loop.Handler) *loop.Stream) {
		k := &asker{agent: a}
		k.stream = open(k)
	}, func(bool) {})
	return a, err
}

// drain lets a member drain, of which one agent alone tells, or all.
func (d *discoveryAgent) drain(member int, only *agent) {
	d.rev, d.drains, d.only = d.rev+1, member, only
	for _, a := range d.agents {
		if k := a.waiting; k != nil && (only == nil || a == only) {
			a.loop.Cancel(k.due)
			k.answer()
		}
	}
}

// list is a whole one, or what a drain changes.
func (d *discoveryAgent) list(whole bool) []byte {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Group    int     `json:"pod_group"`
		State    string  `json:"state"`
		Size     float64 `json:"capacity_hint"`
		Booted   int64   `json:"boot_ms"`
	}
	targets := []target{}
	for m := range d.members {
		state := "in_service"
		if m == d.drains && d.rev > 1 {
			state = "terminating"
		}
		if whole || state != "in_service" {
			targets = append(targets, target{"m" + strconv.Itoa(m), placeOf(1, m, 5432).String(), "zone-" + strconv.Itoa(m%7), m / 2, state, 1, int64(epoch / time.Millisecond)})
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": d.rev, "all": whole, "targets": targets})
	return body
}

// asker is one connection.
type asker struct {
	agent  *agent
	stream *loop.Stream
	from   int
	due    loop.Timer
}

// Opened implements loop.Handler.
func (k *asker) Opened() {}

// Panicked implements loop.Handler.
func (k *asker) Panicked(cause error) { k.stream.Close() }

// Closed implements loop.Handler.
func (k *asker) Closed(error) {
	k.agent.loop.Cancel(k.due)
	if k.agent.waiting == k {
		k.agent.waiting = nil
	}
}

// Input implements loop.Handler.
func (k *asker) Input(in []byte) int {
	a := k.agent
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 1000})
	if fault != nil {
		k.stream.Close()
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	a.calls++
	a.taken += r.Size
	_, query, watches := strings.Cut(string(r.Target), "?")
	hold := 0
	k.from = 0
	if watches {
		fmt.Sscanf(query, "from=%d&hold_ms=%d", &k.from, &hold)
	}
	if d := a.discovery; !watches || k.from < d.rev && (d.only == nil || d.only == a) {
		k.answer()
		return r.Size
	}
	a.waiting = k
	k.due = a.loop.At(a.loop.Now()+time.Duration(hold)*time.Millisecond, k.answer)
	return r.Size
}

func (k *asker) answer() {
	a, d := k.agent, k.agent.discovery
	if a.waiting == k {
		a.waiting = nil
	}
	body := d.list(k.from == 0)
	if k.from >= d.rev || k.from > 0 && d.only != nil && d.only != a {
		body = fmt.Appendf(nil, `{"all":false,"rev":%d,"targets":[]}`, k.from)
	}
	out := httpwire.AppendField(httpwire.AppendStatus(nil, 200), "Content-Type", "application/json")
	out = append(httpwire.AppendLength(out, len(body)), body...)
	a.sent += len(out)
	k.stream.Send(out)
}

// processor is the time that this process has taken of the cores.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is what is in use, after all else was let go.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// worst is the greatest of all.
func worst(values []float64) (most float64) {
	for _, v := range values {
		most = max(most, v)
	}
	return most
}

func mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}
