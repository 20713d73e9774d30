package capacity

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/discovery"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/member"
	pgmember "passtack/internal/member/pg"
	"passtack/internal/node"
	"passtack/internal/pgwire"
	"passtack/internal/recovery"
	"passtack/rules"
)

// held counts the bytes that what build makes holds on the heap, beyond what it found there.
func held(build func() (any, error)) (bytes float64, err error) {
	from := heapBytes()
	what, err := build()
	bytes = heapBytes() - from
	runtime.KeepAlive(what)
	return bytes, err
}

func heapBytes() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // what the first has found to be finalized
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// mallocs counts the objects and bytes that something allocates, and the time it takes.
func mallocs(act func()) (objects, bytes float64, took time.Duration) {
	var from, to runtime.MemStats
	runtime.ReadMemStats(&from)
	began := time.Now()
	act()
	took = time.Since(began)
	runtime.ReadMemStats(&to)
	return float64(to.Mallocs - from.Mallocs), float64(to.TotalAlloc - from.TotalAlloc), took
}

// quiet is a host of the module, and of pools and lists, that only notes what was sent.
type quiet struct {
	now    time.Duration
	module *rules.Router
	sent   []sentTo
	ids    map[string]driver.Member
}

type sentTo struct {
	rpc driver.RPC
	to  driver.Member
}

// Now implements driver.Host with the time that the sweep sets.
func (q *quiet) Now() time.Duration { return q.now }

// Attempt implements driver.Host.
func (q *quiet) Attempt(rpc driver.RPC, to driver.Member, _, _ time.Duration) {
	q.sent = append(q.sent, sentTo{rpc, to})
}

// Cancel implements driver.Host; it does nothing.
func (q *quiet) Cancel(driver.RPC, int) {}

// PushBack implements driver.Host; it does nothing.
func (q *quiet) PushBack(driver.RPC, time.Duration) {}

// Abort implements driver.Host; it does nothing.
func (q *quiet) Abort(driver.RPC) {}

// Probe implements driver.Host; it does nothing.
func (q *quiet) Probe(driver.Member) {}

// CloseIdle implements driver.Host; it does nothing.
func (q *quiet) CloseIdle(driver.Member) {}

// Remembered implements driver.Host; it does nothing.
func (q *quiet) Remembered(driver.Session, time.Duration) {}

// Forget implements driver.Host; it does nothing.
func (q *quiet) Forget(driver.Member) {}

// Watch implements driver.Host; it does nothing.
func (q *quiet) Watch(bool) {}

// FetchList implements driver.Host; it does nothing.
func (q *quiet) FetchList() {}

// Tell implements driver.Host; it does nothing.
func (q *quiet) Tell(driver.Peer, []byte) {}

// WakeAfter implements driver.Host; it does nothing.
func (q *quiet) WakeAfter(time.Duration) {}

// Log implements driver.Host; it does nothing.
func (q *quiet) Log(string) {}

// Fault implements driver.Host; it does nothing.
func (q *quiet) Fault(string) {}

// Count implements the hosts' counters; it does nothing.
func (q *quiet) Count(string) {}

// Probed implements member.Host; it does nothing.
func (q *quiet) Probed(driver.Member, bool, time.Duration, []float64) {}

// AttemptEnded implements member.Host; it does nothing.
func (q *quiet) AttemptEnded(driver.RPC, int, driver.Member, driver.Outcome, time.Duration, time.Duration, driver.Role, []float64, *driver.Answer) {
}

// ListBegins implements discovery.Host by passing the event on.
func (q *quiet) ListBegins(how driver.Listing) { q.module.ListBegins(how) }

// ListEnds implements discovery.Host by passing the event on.
func (q *quiet) ListEnds(how driver.Listing) { q.module.ListEnds(how) }

// Listed implements discovery.Host by passing the entry on.
func (q *quiet) Listed(uid string, _ netip.AddrPort, _ string, group driver.Group, state driver.Standing, size float64, started time.Duration, primary bool) {
	m, known := q.ids[uid]
	if !known {
		m = driver.Member(len(q.ids) + 1)
		q.ids[uid] = m
	}
	q.module.EndpointListed(m, 0, group, state, size, started, primary)
}

// soft is how long methods may take where RPCs are left under way.
const soft = time.Minute

// module makes one that knows so many members in groups of each; remembered lets it keep its sessions' writes.
func module(members, each int, remembered bool) *quiet {
	q := &quiet{now: simulatedFrom, ids: make(map[string]driver.Member)}
	terms := settingsTerms(designDrivers, false, soft)
	if remembered {
		terms["family_info.token"] = "remembered"
	}
	q.module = rules.New(q, 1, terms)
	q.module.ListBegins(driver.Whole)
	for n := range members {
		q.module.EndpointListed(driver.Member(n+1), 0, driver.Group(n/each), driver.Ready, 1, driver.LongAgo, n%each == 0)
	}
	q.module.ListEnds(driver.Whole)
	return q
}

const order, look = driver.Method(2), driver.Method(0) // of settings

// take hands it RPCs of a method, each of a session of its own, spread over the groups.
func (q *quiet) take(from, count, groups int, method driver.Method) {
	for n := from; n < from+count; n++ {
		q.module.Take(rules.Request{
			ID: driver.RPC(n + 1), Method: method, Group: driver.Group(n % groups), Session: driver.Session(n + 1),
			ArrivedAt: q.now, Deadline: q.now + 2*soft,
		})
	}
}

// answer ends all that it has sent.
func (q *quiet) answer(role func(driver.Member) driver.Role) {
	for _, s := range q.sent {
		q.module.AttemptEnded(s.rpc, 0, s.to, driver.OK, 2*time.Millisecond, true, q.now, role(s.to), nil)
	}
	q.sent = q.sent[:0]
}

func primaryOf(each int) func(driver.Member) driver.Role {
	return func(m driver.Member) driver.Role {
		if int(m-1)%each == 0 {
			return driver.Primary
		}
		return driver.Replica
	}
}

func memberPlace(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
}

// standing makes a whole driver on a loop, with so many members and groups of each; view lets it keep one of its fleet.
func standing(l *loop.Loop, listen netip.AddrPort, list []byte, view bool) (*node.Node, error) {
	site := &node.Site{
		Name: "d0", Listen: listen, Discovery: netip.MustParseAddrPort("10.2.0.1:8500"), Seed: 1, Descriptors: 1 << 15, Memory: memoryMB << 20,
		InitialList: list, Settings: settingsTerms(designDrivers, false, soft),
	}
	wants := config.Default()
	if view {
		site.PeerListen, site.PeerBroadcast = netip.MustParseAddrPort("10.3.0.1:7946"), netip.MustParseAddrPort("10.3.255.255:7946")
		var err error
		if wants, err = site.ParseConfig([]byte("view {\n fleet = \"capacity\"\n every = \"1s\"\n}\n"), "view.hcl"); err != nil {
			return nil, err
		}
	}
	return node.On(l, site, wants)
}

// membersState counts what is held for members, part by part, for groups, and for sessions' writes.
func membersState(members int, point func(measure, unit string, value float64)) error {
	groups := (members + perGroup - 1) / perGroup
	heapBytes() // what the runtime makes at the first time is there from now on
	fives, err := held(func() (any, error) { return module(members, perGroup, false), nil })
	if err != nil {
		return err
	}
	point("rules_members", "bytes", fives)
	point("rules_members_each", "bytes", fives/float64(members))
	ones, err := held(func() (any, error) { return module(members, 1, false), nil })
	if err != nil {
		return err
	}
	point("rules_group", "bytes", (ones-fives)/float64(members-groups))
	for _, part := range []struct {
		what  string
		build func(members int) (any, error)
	}{{"pool_members", pools}, {"driver_members", simulatedDriver(false)}, {"driver_members_view", simulatedDriver(true)}} {
		alone, err := held(func() (any, error) { return part.build(0) })
		if err != nil {
			return err
		}
		whole, err := held(func() (any, error) { return part.build(members) })
		if err != nil {
			return err
		}
		point(part.what, "bytes", whole-alone)
		point(part.what+"_each", "bytes", (whole-alone)/float64(members))
	}
	return sessionsState(members, point)
}

// pools makes the side of the members, none of which is connected.
func pools(members int) (any, error) {
	l, err := loop.NewWithSystem(sim.New(1, simulatedFrom).AddHost("d0"), 1<<15, 1<<20)
	if err != nil {
		return nil, err
	}
	opens := recovery.NewConnectLimiter(250 * time.Millisecond)
	p := member.New(l, new(quiet), &pgmember.Protocol{}, &opens, 250*time.Millisecond, 15*time.Second)
	for n := range members {
		p.SetAddress(driver.Member(n+1), memberPlace(n))
	}
	return p, nil
}

// simulatedDriver makes a whole driver that has heard a list and served nobody.
func simulatedDriver(view bool) func(members int) (any, error) {
	return func(members int) (any, error) {
		l, err := loop.NewWithSystem(sim.New(1, simulatedFrom).AddHost("d0"), 1<<15, 1<<20)
		if err != nil {
			return nil, err
		}
		return standing(l, netip.MustParseAddrPort("10.0.0.1:6543"), listText(members, 0, members, memberPlace), view)
	}
}

// sessionsState counts what the module holds of RPCs under way and of sessions that have written, and what an RPC allocates.
func sessionsState(members int, point func(measure, unit string, value float64)) error {
	const sessions = 4000
	groups := (members + perGroup - 1) / perGroup
	q := module(members, perGroup, true)
	before := heapBytes()
	q.take(0, sessions, groups, order)
	if len(q.sent) != sessions {
		return fmt.Errorf("%d of %d RPCs are under way", len(q.sent), sessions)
	}
	point("rules_rpc", "bytes", (heapBytes()-before)/sessions)
	q.answer(primaryOf(perGroup))
	point("rules_session", "bytes", (heapBytes()-before)/sessions)
	objects, bytes := allocations(q, groups)
	point("rules_rpc_objects", "allocations", objects)
	point("rules_rpc_allocated", "bytes", bytes)
	runtime.KeepAlive(q)
	return nil
}

// allocations tells what the module allocates for an RPC, from its taking to its answer: the least of several batches, as
// tables grow now and then.
func allocations(q *quiet, groups int) (objects, bytes float64) {
	const batches, each = 20, 50
	for n := range batches {
		some, size, _ := mallocs(func() {
			for i := range each {
				q.take(1<<20+n*each+i, 1, groups, look)
				q.answer(primaryOf(perGroup))
			}
		})
		if n == 0 || some < objects {
			objects, bytes = some, size
		}
	}
	return objects / each, bytes / each
}

// listCost counts what a list and a change of it cost: bytes, time on the loop, allocations.
func listCost(members int, point func(measure, unit string, value float64)) error {
	const times = 20
	q := module(0, perGroup, false)
	l, err := loop.NewWithSystem(sim.New(1, simulatedFrom).AddHost("d0"), 1<<10, 1<<20)
	if err != nil {
		return err
	}
	d := discovery.New(l, q, memberPlace(0))
	for what, text := range map[string][]byte{"whole": listText(members, 0, members, memberPlace), "change": listText(members, 0, 1, memberPlace), "nothing": listText(members, 0, 0, memberPlace)} {
		if err := d.Restore(listText(members, 0, members, memberPlace)); err != nil { // so that all are known
			return err
		}
		least := time.Duration(0)
		var objects, bytes float64
		for n := range times {
			o, b, took := mallocs(func() { err = errors.Join(err, d.Restore(text)) })
			if n == 0 || took < least {
				objects, bytes, least = o, b, took
			}
		}
		point(what+"_bytes", "bytes", float64(len(text)))
		point(what+"_took", "µs", float64(least)/1e3)
		point(what+"_objects", "allocations", objects)
		point(what+"_allocated", "bytes", bytes)
	}
	return err
}

// clientsState counts what a whole driver holds for clients that are connected; for RPCs under way, each with its connection to a
// member and the buffer that its statement is in; and for such connections that rest, each with that buffer, kept for the next.
func clientsState(clients int, point func(measure, unit string, value float64)) error {
	r, err := newRaw(clients)
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.connect(1); err != nil { // the first brings what all share
		return err
	}
	empty := heapBytes()
	if err := r.connect(clients); err != nil {
		return err
	}
	connected := heapBytes()
	if err := r.ask(); err != nil {
		return err
	}
	under := heapBytes()
	if err := r.answer(); err != nil {
		return err
	}
	rested := heapBytes()
	runtime.KeepAlive(r)
	per := float64(clients)
	point("client", "bytes", (connected-empty)/(per-1))
	point("rpc_under_way", "bytes", (under-connected)/per)
	point("member_connection", "bytes", (rested-connected)/per)
	return nil
}

// raw are clients and members as bare descriptors, which hold nothing on the heap beside the driver's own.
type raw struct {
	loop      *loop.Loop
	node      *node.Node
	at        unix.SockaddrInet4
	listeners []int
	clients   []int
	conns     []int
	in        []byte
}

func newRaw(clients int) (r *raw, err error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	r = &raw{in: make([]byte, 1<<16), clients: make([]int, 0, clients), conns: make([]int, 0, clients), listeners: make([]int, 0, clients)}
	for n := range clients { // one for each, in a group of its own: nothing is known of more to send
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			r.close()
			return nil, err
		}
		r.listeners = append(r.listeners, fd)
		at := loopback(n, port)
		if err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: at.Addr().As4()}), unix.Listen(fd, 1024)); err != nil {
			r.close()
			return nil, fmt.Errorf("member %d: %w", n, err)
		}
	}
	if r.loop, err = loop.New(1<<15, memoryMB<<18); err != nil {
		r.close()
		return nil, err
	}
	listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(port))
	r.at = unix.SockaddrInet4{Port: port, Addr: listen.Addr().As4()}
	text := listIn(1, clients, 0, clients, func(n int) netip.AddrPort { return loopback(n, port) })
	if r.node, err = standing(r.loop, listen, text, false); err != nil {
		r.close()
	}
	return r, err
}

func (r *raw) close() {
	for _, fds := range [][]int{r.clients, r.conns, r.listeners} {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}
	if r.loop != nil {
		r.loop.Close()
	}
}

const mostTurns = 20000

// until turns the loop until something is so.
func (r *raw) until(what string, so func() bool) error {
	for range mostTurns {
		if so() {
			return nil
		}
		if err := r.loop.RunOnce(time.Millisecond, func() {}); err != nil {
			return err
		}
	}
	return errors.New("it never came to be that " + what)
}

// connect lets clients in, until there are so many.
func (r *raw) connect(clients int) error {
	first := pgwire.AppendStartup(nil, "app", "shop")
	from := len(r.clients)
	for len(r.clients) < clients {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, fd)
		if err := unix.Connect(fd, &r.at); err != nil && err != unix.EINPROGRESS {
			return err
		}
		if err := r.loop.RunOnce(0, func() {}); err != nil {
			return err
		}
		unix.Write(fd, first)
	}
	return r.hear("all clients are let in", from)
}

// hear waits until each client from one on has heard that the driver is ready for it.
func (r *raw) hear(what string, from int) error {
	return r.until(what, func() bool {
		for ; from < len(r.clients); from++ {
			n, err := unix.Read(r.clients[from], r.in)
			if err != nil || n < 6 || r.in[n-6] != 'Z' {
				return false
			}
		}
		return true
	})
}

// ask lets each client ask, until all have reached a member.
func (r *raw) ask() error {
	welcome := pgwire.AppendAuthenticationOK(nil, 1, 1)
	for n, fd := range r.clients {
		text := fmt.Sprintf("/* id=r%d,c=look,d=60000,cluster=%d */ SELECT doc FROM items WHERE id = 's%d'", n, n, n)
		if _, err := unix.Write(fd, append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)); err != nil {
			return err
		}
	}
	asked := 0
	return r.until("all RPCs are at members", func() bool {
		for _, l := range r.listeners {
			for fd, _, err := unix.Accept4(l, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil; fd, _, err = unix.Accept4(l, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC) {
				r.conns = append(r.conns, fd)
				unix.Write(fd, welcome)
			}
		}
		for ; asked < len(r.conns); asked++ {
			if n, err := unix.Read(r.conns[asked], r.in); err != nil || n < 6 || r.in[n-1] != 0 {
				return false
			}
		}
		return asked == len(r.clients)
	})
}

// answer lets members answer all.
func (r *raw) answer() error {
	out := pgwire.AppendParameter(row("{}"), "node_role", "leader")
	out = pgwire.AppendReady(pgwire.AppendParameter(out, "replay_position", "1"))
	for _, fd := range r.conns {
		if _, err := unix.Write(fd, out); err != nil {
			return err
		}
	}
	return r.hear("all clients have their answer", 0)
}
