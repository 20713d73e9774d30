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
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/httpwire"
	"passtack/internal/membership"
	"passtack/internal/node"
	"passtack/internal/peers"
)

// simulatedFleetAbout describes the drivers of a simulatedFleet: the unchanged driver of internal/node on a simulated loop, without clients, RPCs, files
// and the kernel's work on sockets. The members in its list refuse all connections. Its tick is longer than on the platform.
const simulatedFleetAbout = "Simulated drivers: internal/node on a simulated loop, without clients, RPCs, members that accept connections, folders and a kernel; a tick of 100 ms. " +
	"Bytes are those of datagram payloads, without the 28 bytes of the IP and UDP headers."

const (
	epoch          = 1767225600 * time.Second
	tickSetting    = "100000"    // µs
	viewInterval   = time.Second // default interval between two probes of a view
	minimalMembers = 4           // members in the endpoint list of sweeps that do not measure the list
)

// broadcastAddress is the destination of datagrams to all other drivers.
var broadcastAddress = netip.MustParseAddrPort("10.3.255.255:7946")

// addressOf returns address n of a network: 0 for drivers' listeners, 1 for members, 2 for discovery, 3 for peer messages and 4 for control machines.
func addressOf(network, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(network), byte(n >> 8), byte(n)}), uint16(port))
}

func driverName(n int) string { return "d" + strconv.Itoa(n) }

// plainScript is the script whose methods the drivers are configured with.
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

// datagramCounts counts datagrams and their bytes by kind of message.
type datagramCounts struct{ messages, bytes [16]int }

func (t *datagramCounts) add(datagram []byte) {
	kind := 0
	if len(datagram) > 3 {
		kind = int(datagram[3] & 15)
	}
	t.messages[kind]++
	t.bytes[kind] += len(datagram)
}

// sum returns the totals over the given kinds.
func (t *datagramCounts) sum(kinds ...peers.Kind) (messages, bytes float64) {
	for _, k := range kinds {
		messages, bytes = messages+float64(t.messages[k]), bytes+float64(t.bytes[k])
	}
	return messages, bytes
}

// simulatedFleet is a fleet of simulated drivers with a discovery service. A simulated driver runs internal/node unchanged on a simulated loop, but has no
// clients, and the members in its endpoint list refuse all connections. So it serves no RPCs: it only exchanges messages with the other drivers, for
// membership, leases and drain notices, and with discovery and control machines.
type simulatedFleet struct {
	ctx            context.Context
	world          *sim.World
	seed           uint64
	starts         uint64
	settings       map[string]string
	config         string // configuration file of every driver
	hosts          []*sim.Host
	driverIndex    map[*sim.Host]int
	nodes          []*node.Node // by driver; nil while it is down
	peerAddresses  []netip.AddrPort
	agents         []*agent
	sent, received []datagramCounts
	broadcasts     []datagramCounts // by driver, datagrams sent to broadcastAddress, each counted once
}

// newSimulatedFleet creates a fleet whose discovery service runs and whose drivers are not started.
func newSimulatedFleet(ctx context.Context, drivers int, seed uint64, config string) (*simulatedFleet, error) {
	s, err := play.ParseScript([]byte(plainScript), "simulated-fleet")
	if err != nil {
		return nil, err
	}
	f := &simulatedFleet{ctx: ctx, world: sim.New(seed, epoch), seed: seed, settings: s.DriverSettings(0), config: config, driverIndex: make(map[*sim.Host]int), nodes: make([]*node.Node, drivers),
		sent: make([]datagramCounts, drivers), received: make([]datagramCounts, drivers), broadcasts: make([]datagramCounts, drivers)}
	f.settings["tick"] = tickSetting
	f.world.OnDatagram = f.countDatagram
	discoveryHost := f.world.AddHost("discovery")
	discoveryHost.IterationTime = 0
	l, err := eventloop.NewWithSystem(discoveryHost, 2*drivers+100, 64<<20)
	if err != nil {
		return nil, err
	}
	discoveryHost.Serve(l, func() {})
	d := &discoveryService{members: minimalMembers, rev: 1}
	for i := range drivers {
		f.peerAddresses = append(f.peerAddresses, addressOf(3, i, 7946))
		a, err := d.addAgent(l, addressOf(2, i, 8500))
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, a)
		h := f.world.AddHost(driverName(i))
		f.hosts = append(f.hosts, h)
		f.driverIndex[h] = i
	}
	f.world.SetMulticast(broadcastAddress, f.peerAddresses)
	return f, nil
}

// countDatagram counts a datagram for its sender and its receivers.
func (f *simulatedFleet) countDatagram(from *sim.Host, to netip.AddrPort, datagram []byte) {
	i, known := f.driverIndex[from]
	if !known {
		return
	}
	if to == broadcastAddress {
		f.broadcasts[i].add(datagram)
		for other := range f.received {
			if other != i {
				f.received[other].add(datagram)
			}
		}
		return
	}
	f.sent[i].add(datagram)
	if at := to.Addr().As4(); at[1] == 3 {
		f.received[int(at[2])<<8|int(at[3])].add(datagram)
	}
}

// resetCounts sets all counts to 0.
func (f *simulatedFleet) resetCounts() {
	clear(f.sent)
	clear(f.received)
	clear(f.broadcasts)
	for _, a := range f.agents {
		a.calls, a.bytesSent, a.bytesReceived = 0, 0, 0
	}
}

func (f *simulatedFleet) start(i int) error {
	h := f.hosts[i]
	h.Start()
	l, err := eventloop.NewWithSystem(h, 64, 1<<20)
	if err != nil {
		return err
	}
	h.Serve(l, func() {})
	f.starts++
	site := &node.Site{Name: h.Name, Listen: addressOf(0, i, 6543), Discovery: f.agents[i].address, PeerListen: f.peerAddresses[i], PeerBroadcast: broadcastAddress, Peers: f.peerAddresses,
		Seed: f.seed*1000003 + f.starts, Descriptors: 64, Memory: 64 << 20, Settings: f.settings}
	config, err := site.ParseConfig([]byte(f.config), h.Name+".hcl")
	if err != nil {
		return err
	}
	f.nodes[i], err = node.On(l, site, config)
	return err
}

// kill ends a driver without a shutdown.
func (f *simulatedFleet) kill(i int) {
	f.hosts[i].Kill()
	f.nodes[i].CloseStores()
	f.nodes[i] = nil
}

// startAll starts all drivers, spread over 1 s, and runs the fleet for 2 s.
func (f *simulatedFleet) startAll() (err error) {
	for i := range f.hosts {
		f.world.At(epoch+time.Duration(i)*time.Second/time.Duration(len(f.hosts)), func() {
			if startErr := f.start(i); startErr != nil && err == nil {
				err = startErr
			}
		})
	}
	return firstError(f.run(2*time.Second), &err)
}

// firstError returns err, or the error that other points to if err is nil.
func firstError(err error, other *error) error {
	if err == nil {
		err = *other
	}
	return err
}

// run advances simulated time in steps of 100 ms and ends early when the context ends.
func (f *simulatedFleet) run(duration time.Duration) error {
	for end := f.world.Now() + duration; f.world.Now() < end; {
		if f.ctx.Err() != nil {
			return context.Cause(f.ctx)
		}
		f.world.Run(min(end, f.world.Now()+100*time.Millisecond))
	}
	return nil
}

// runUntil advances time in steps until the condition has held once at each running driver. It returns the delays after which it first held, in seconds,
// and the number of drivers at which it did not hold within the timeout.
func (f *simulatedFleet) runUntil(timeout, step time.Duration, condition func(i int) bool) (delays []float64, missing int, err error) {
	from, done := f.world.Now(), make([]bool, len(f.nodes))
	for {
		left := 0
		for i, n := range f.nodes {
			if n == nil || done[i] {
				continue
			}
			if condition(i) {
				done[i] = true
				delays = append(delays, (f.world.Now() - from).Seconds())
			} else {
				left++
			}
		}
		if left == 0 || f.world.Now() >= from+timeout {
			return delays, left, nil
		}
		if f.ctx.Err() != nil {
			return nil, left, context.Cause(f.ctx)
		}
		f.world.Run(f.world.Now() + step)
	}
}

// statusSeen returns the status and incarnation that driver i has for another driver.
func (f *simulatedFleet) statusSeen(i, other int) (membership.Status, uint64) {
	e, known := f.nodes[i].Membership().Lookup(membership.NodeIDOf(driverName(other)))
	if !known {
		return membership.Dead, 0
	}
	return e.Status, e.Incarnation
}

// isSettled reports whether a driver has as many active drivers in its view as are running.
func (f *simulatedFleet) isSettled(i int) bool {
	running := 0
	for _, n := range f.nodes {
		if n != nil {
			running++
		}
	}
	return f.nodes[i].Membership().ActiveCount() == running
}

// discoveryService simulates discovery. It serves the endpoint list through one agent for each driver.
type discoveryService struct {
	members   int
	rev       int
	draining  int    // member that drains, from revision 2 on
	onlyAgent *agent // the only agent that learns of the drain; nil: all learn of it
	agents    []*agent
}

// agent is the discovery agent of one driver, with counts of its calls and bytes.
type agent struct {
	discovery                       *discoveryService
	loop                            *eventloop.Loop
	address                         netip.AddrPort
	pending                         *agentConnection
	calls, bytesSent, bytesReceived int
}

// addAgent adds an agent that serves the endpoint list at an address.
func (d *discoveryService) addAgent(l *eventloop.Loop, address netip.AddrPort) (*agent, error) {
	a := &agent{discovery: d, loop: l, address: address}
	d.agents = append(d.agents, a)
	_, err := l.Listen(address, 1<<16, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		k := &agentConnection{agent: a}
		k.stream = open(k)
	}, func(bool) {})
	return a, err
}

// drain marks a member as draining, in the lists of one agent, or of all for a nil agent.
func (d *discoveryService) drain(member int, onlyAgent *agent) {
	d.rev, d.draining, d.onlyAgent = d.rev+1, member, onlyAgent
	for _, a := range d.agents {
		if k := a.pending; k != nil && (onlyAgent == nil || a == onlyAgent) {
			a.loop.Cancel(k.timer)
			k.answer()
		}
	}
}

// list returns the JSON of a whole endpoint list, or of the changes that a drain makes.
func (d *discoveryService) list(whole bool) []byte {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Group    int     `json:"pod_group"`
		State    string  `json:"state"`
		Capacity float64 `json:"capacity_hint"`
		BootedMS int64   `json:"boot_ms"`
	}
	targets := []target{}
	for m := range d.members {
		state := "in_service"
		if m == d.draining && d.rev > 1 {
			state = "terminating"
		}
		if whole || state != "in_service" {
			targets = append(targets, target{"m" + strconv.Itoa(m), addressOf(1, m, 5432).String(), "zone-" + strconv.Itoa(m%7), m / 2, state, 1, int64(epoch / time.Millisecond)})
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": d.rev, "all": whole, "targets": targets})
	return body
}

// agentConnection is a driver's connection to its agent.
type agentConnection struct {
	agent        *agent
	stream       *eventloop.Stream
	fromRevision int
	timer        eventloop.Timer
}

// Opened implements eventloop.Handler.
func (k *agentConnection) Opened() {}

// Panicked implements eventloop.Handler.
func (k *agentConnection) Panicked(cause error) { k.stream.Close() }

// Closed implements eventloop.Handler.
func (k *agentConnection) Closed(error) {
	k.agent.loop.Cancel(k.timer)
	if k.agent.pending == k {
		k.agent.pending = nil
	}
}

// Input implements eventloop.Handler.
func (k *agentConnection) Input(in []byte) int {
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
	a.bytesReceived += r.Size
	_, query, watches := strings.Cut(string(r.Target), "?")
	hold := 0
	k.fromRevision = 0
	if watches {
		fmt.Sscanf(query, "from=%d&hold_ms=%d", &k.fromRevision, &hold)
	}
	if d := a.discovery; !watches || k.fromRevision < d.rev && (d.onlyAgent == nil || d.onlyAgent == a) {
		k.answer()
		return r.Size
	}
	a.pending = k
	k.timer = a.loop.At(a.loop.Now()+time.Duration(hold)*time.Millisecond, k.answer)
	return r.Size
}

func (k *agentConnection) answer() {
	a, d := k.agent, k.agent.discovery
	if a.pending == k {
		a.pending = nil
	}
	body := d.list(k.fromRevision == 0)
	if k.fromRevision >= d.rev || k.fromRevision > 0 && d.onlyAgent != nil && d.onlyAgent != a {
		body = fmt.Appendf(nil, `{"all":false,"rev":%d,"targets":[]}`, k.fromRevision)
	}
	out := httpwire.AppendField(httpwire.AppendStatus(nil, 200), "Content-Type", "application/json")
	out = append(httpwire.AppendLength(out, len(body)), body...)
	a.bytesSent += len(out)
	k.stream.Send(out)
}

// processCPUTime returns the CPU time that this process has used, user and system.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the bytes of live objects on the heap, after garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// worst returns the greatest value, or 0 if none is positive.
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
