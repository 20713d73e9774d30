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
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/member"
	pgmember "passtack/internal/member/pg"
	"passtack/internal/node"
	"passtack/internal/pgwire"
	"passtack/internal/recovery"
	"passtack/rules"
)

// heldBytes returns the heap bytes held by the value that build makes.
func heldBytes(build func() (any, error)) (bytes float64, err error) {
	before := heapBytes()
	built, err := build()
	bytes = heapBytes() - before
	runtime.KeepAlive(built)
	return bytes, err
}

// heapBytes returns the bytes of live heap objects after garbage collection.
func heapBytes() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers the first collection queued
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// allocationsDuring returns the objects and bytes that act allocates, and the time it takes.
func allocationsDuring(act func()) (objects, bytes float64, took time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	act()
	took = time.Since(began)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc), took
}

// noopHost is a host for the decision module, member pools and endpoint lists. It records sent attempts, passes lists on to the
// module and ignores all other calls.
type noopHost struct {
	now     time.Duration
	router  *rules.Router
	sent    []sentAttempt
	members map[string]driver.Member
}

type sentAttempt struct {
	rpc    driver.RPC
	member driver.Member
}

// Now implements driver.Host with the time set by the sweep.
func (q *noopHost) Now() time.Duration { return q.now }

// Attempt implements driver.Host by recording the attempt.
func (q *noopHost) Attempt(rpc driver.RPC, to driver.Member, _, _ time.Duration) {
	q.sent = append(q.sent, sentAttempt{rpc, to})
}

// Cancel implements driver.Host; it does nothing.
func (q *noopHost) Cancel(driver.RPC, int) {}

// PushBack implements driver.Host; it does nothing.
func (q *noopHost) PushBack(driver.RPC, time.Duration) {}

// Abort implements driver.Host; it does nothing.
func (q *noopHost) Abort(driver.RPC) {}

// Probe implements driver.Host; it does nothing.
func (q *noopHost) Probe(driver.Member) {}

// CloseIdle implements driver.Host; it does nothing.
func (q *noopHost) CloseIdle(driver.Member) {}

// SetAvailable implements driver.Host.
func (q *noopHost) SetAvailable(driver.Member, bool) {}

// SessionWrote implements driver.Host; it does nothing.
func (q *noopHost) SessionWrote(driver.Session, time.Duration) {}

// Forget implements driver.Host; it does nothing.
func (q *noopHost) Forget(driver.Member) {}

// Watch implements driver.Host; it does nothing.
func (q *noopHost) Watch(bool) {}

// FetchList implements driver.Host; it does nothing.
func (q *noopHost) FetchList() {}

// Tell implements driver.Host; it does nothing.
func (q *noopHost) Tell(driver.Peer, []byte) {}

// WakeAfter implements driver.Host; it does nothing.
func (q *noopHost) WakeAfter(time.Duration) {}

// Log implements driver.Host; it does nothing.
func (q *noopHost) Log(string) {}

// Fault implements driver.Host; it does nothing.
func (q *noopHost) Fault(string) {}

// Count implements the hosts' counters; it does nothing.
func (q *noopHost) Count(string) {}

// Probed implements member.Host; it does nothing.
func (q *noopHost) Probed(driver.Member, bool, time.Duration, []float64) {}

// AttemptEnded implements member.Host; it does nothing.
func (q *noopHost) AttemptEnded(driver.RPC, int, driver.Member, driver.Outcome, time.Duration, time.Duration, driver.Role, []float64, *driver.Answer) {
}

// ListBegins implements discovery.Host by passing the event on.
func (q *noopHost) ListBegins(kind driver.ListKind) { q.router.ListBegins(kind) }

// ListEnds implements discovery.Host by passing the event on.
func (q *noopHost) ListEnds(kind driver.ListKind) { q.router.ListEnds(kind) }

// Listed implements discovery.Host by passing the entry on.
func (q *noopHost) Listed(uid string, _ netip.AddrPort, _ string, group driver.Group, state driver.MemberState, size float64, started time.Duration, primary bool) {
	m, known := q.members[uid]
	if !known {
		m = driver.Member(len(q.members) + 1)
		q.members[uid] = m
	}
	q.router.EndpointListed(m, 0, group, state, size, started, primary)
}

// longSoftDeadline is the soft deadline of methods where RPCs are kept in flight during the measurement.
const longSoftDeadline = time.Minute

// newRouterHost returns a host whose decision module knows members in groups of groupSize; with rememberWrites, the module keeps the
// positions of its sessions' writes.
func newRouterHost(members, groupSize int, rememberWrites bool) *noopHost {
	host := &noopHost{now: simulationStart, members: make(map[string]driver.Member)}
	flat := flatDriverSettings(designDrivers, false, longSoftDeadline)
	if rememberWrites {
		flat["family_info.token"] = "remembered"
	}
	host.router = rules.New(host, 1, flat)
	host.router.ListBegins(driver.Complete)
	for n := range members {
		host.router.EndpointListed(driver.Member(n+1), 0, driver.Group(n/groupSize), driver.Ready, 1, driver.LongAgo, n%groupSize == 0)
	}
	host.router.ListEnds(driver.Complete)
	return host
}

const orderMethod, lookMethod = driver.Method(2), driver.Method(0) // indexes in settingsTemplate

// takeRPCs hands the module count RPCs of a method, each in a session of its own, spread over the groups.
func (q *noopHost) takeRPCs(from, count, groups int, method driver.Method) {
	for n := from; n < from+count; n++ {
		q.router.Take(rules.Request{
			ID: driver.RPC(n + 1), Method: method, Group: driver.Group(n % groups), Session: driver.Session(n + 1),
			ArrivedAt: q.now, Deadline: q.now + 2*longSoftDeadline,
		})
	}
}

// answerAttempts reports all sent attempts as successful.
func (q *noopHost) answerAttempts(role func(driver.Member) driver.Role) {
	for _, s := range q.sent {
		q.router.AttemptEnded(s.rpc, 0, s.member, driver.OK, 2*time.Millisecond, true, q.now, role(s.member), nil)
	}
	q.sent = q.sent[:0]
}

// roleInGroups returns a function for the role of a member, where the first of each group is the primary.
func roleInGroups(groupSize int) func(driver.Member) driver.Role {
	return func(m driver.Member) driver.Role {
		if int(m-1)%groupSize == 0 {
			return driver.Primary
		}
		return driver.Replica
	}
}

// memberAddress returns the simulated address of member n.
func memberAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
}

// newDriver makes a complete driver on a loop with an endpoint list; with withView, it keeps a view of its fleet.
func newDriver(l *eventloop.Loop, listen netip.AddrPort, list []byte, withView bool) (*node.Node, error) {
	site := &node.Site{
		Name: "d0", Listen: listen, Discovery: netip.MustParseAddrPort("10.2.0.1:8500"), Seed: 1, Descriptors: 1 << 15, Memory: driverMemoryMB << 20,
		InitialList: list, Settings: flatDriverSettings(designDrivers, false, longSoftDeadline),
	}
	operatorConfig := config.Default()
	if withView {
		site.PeerListen, site.PeerBroadcast = netip.MustParseAddrPort("10.3.0.1:7946"), netip.MustParseAddrPort("10.3.255.255:7946")
		var err error
		if operatorConfig, err = site.ParseConfig([]byte("view {\n fleet = \"capacity\"\n every = \"1s\"\n}\n"), "view.hcl"); err != nil {
			return nil, err
		}
	}
	return node.On(l, site, operatorConfig)
}

// membersState counts the bytes that each part of the driver holds for members, and those that the decision module holds for groups, RPCs and
// sessions.
func membersState(members int, point func(measure, unit string, value float64)) error {
	groups := (members + membersPerGroup - 1) / membersPerGroup
	heapBytes() // so that one-time allocations of the runtime are not counted below
	groupsOfFive, err := heldBytes(func() (any, error) { return newRouterHost(members, membersPerGroup, false), nil })
	if err != nil {
		return err
	}
	point("rules_members", "bytes", groupsOfFive)
	point("rules_members_each", "bytes", groupsOfFive/float64(members))
	groupsOfOne, err := heldBytes(func() (any, error) { return newRouterHost(members, 1, false), nil })
	if err != nil {
		return err
	}
	point("rules_group", "bytes", (groupsOfOne-groupsOfFive)/float64(members-groups))
	for _, part := range []struct {
		prefix string
		build  func(members int) (any, error)
	}{{"pool_members", memberPool}, {"driver_members", driverBuilder(false)}, {"driver_members_view", driverBuilder(true)}} {
		empty, err := heldBytes(func() (any, error) { return part.build(0) })
		if err != nil {
			return err
		}
		full, err := heldBytes(func() (any, error) { return part.build(members) })
		if err != nil {
			return err
		}
		point(part.prefix, "bytes", full-empty)
		point(part.prefix+"_each", "bytes", (full-empty)/float64(members))
	}
	return sessionsState(members, point)
}

// memberPool makes a member pool in which no member is connected.
func memberPool(members int) (any, error) {
	l, err := eventloop.NewWithSystem(sim.New(1, simulationStart).AddHost("d0"), 1<<15, 1<<20)
	if err != nil {
		return nil, err
	}
	connects := recovery.NewConnectLimiter(250 * time.Millisecond)
	pool := member.New(l, new(noopHost), &pgmember.Protocol{}, &connects, 250*time.Millisecond, 15*time.Second)
	for n := range members {
		pool.SetAddress(driver.Member(n+1), memberAddress(n))
	}
	return pool, nil
}

// driverBuilder returns a function that makes a complete driver with an endpoint list; the driver has served no clients.
func driverBuilder(withView bool) func(members int) (any, error) {
	return func(members int) (any, error) {
		l, err := eventloop.NewWithSystem(sim.New(1, simulationStart).AddHost("d0"), 1<<15, 1<<20)
		if err != nil {
			return nil, err
		}
		return newDriver(l, netip.MustParseAddrPort("10.0.0.1:6543"), endpointListJSON(members, 0, members, memberAddress), withView)
	}
}

// sessionsState counts the bytes that the decision module holds for RPCs in flight and for sessions that have written, and the
// allocations of one RPC.
func sessionsState(members int, point func(measure, unit string, value float64)) error {
	const sessions = 4000
	groups := (members + membersPerGroup - 1) / membersPerGroup
	q := newRouterHost(members, membersPerGroup, true)
	before := heapBytes()
	q.takeRPCs(0, sessions, groups, orderMethod)
	if len(q.sent) != sessions {
		return fmt.Errorf("%d of %d RPCs in flight, want all", len(q.sent), sessions)
	}
	point("rules_rpc", "bytes", (heapBytes()-before)/sessions)
	q.answerAttempts(roleInGroups(membersPerGroup))
	point("rules_session", "bytes", (heapBytes()-before)/sessions)
	objects, bytes := rpcAllocations(q, groups)
	point("rules_rpc_objects", "allocations", objects)
	point("rules_rpc_allocated", "bytes", bytes)
	runtime.KeepAlive(q)
	return nil
}

// rpcAllocations returns the objects and bytes that the decision module allocates for one RPC until its answer. Some batches of RPCs include the
// growth of a table, so the batch with the fewest allocations counts.
func rpcAllocations(q *noopHost, groups int) (objects, bytes float64) {
	const batches, perBatch = 20, 50
	for n := range batches {
		count, size, _ := allocationsDuring(func() {
			for i := range perBatch {
				q.takeRPCs(1<<20+n*perBatch+i, 1, groups, lookMethod)
				q.answerAttempts(roleInGroups(membersPerGroup))
			}
		})
		if n == 0 || count < objects {
			objects, bytes = count, size
		}
	}
	return objects / perBatch, bytes / perBatch
}

// listCost counts the cost of an endpoint list and of a change to it: bytes, time on the loop and allocations.
func listCost(members int, point func(measure, unit string, value float64)) error {
	const repetitions = 20
	q := newRouterHost(0, membersPerGroup, false)
	l, err := eventloop.NewWithSystem(sim.New(1, simulationStart).AddHost("d0"), 1<<10, 1<<20)
	if err != nil {
		return err
	}
	d := discovery.New(l, q, memberAddress(0))
	for kind, text := range map[string][]byte{"whole": endpointListJSON(members, 0, members, memberAddress), "change": endpointListJSON(members, 0, 1, memberAddress), "nothing": endpointListJSON(members, 0, 0, memberAddress)} {
		if err := d.Restore(endpointListJSON(members, 0, members, memberAddress)); err != nil { // so that all members are known
			return err
		}
		shortest := time.Duration(0)
		var objects, bytes float64
		for n := range repetitions {
			o, b, took := allocationsDuring(func() { err = errors.Join(err, d.Restore(text)) })
			if n == 0 || took < shortest {
				objects, bytes, shortest = o, b, took
			}
		}
		point(kind+"_bytes", "bytes", float64(len(text)))
		point(kind+"_took", "µs", float64(shortest)/1e3)
		point(kind+"_objects", "allocations", objects)
		point(kind+"_allocated", "bytes", bytes)
	}
	return err
}

// clientsState counts the bytes that a complete driver holds for connected clients; for RPCs in flight, each with its connection to
// a member and its statement's buffer; and for idle connections to members, each with that buffer, which is kept for reuse.
func clientsState(clients int, point func(measure, unit string, value float64)) error {
	r, err := newRawPeers(clients)
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.connect(1); err != nil { // so that state shared by all clients is not counted below
		return err
	}
	empty := heapBytes()
	if err := r.connect(clients); err != nil {
		return err
	}
	connected := heapBytes()
	if err := r.sendStatements(); err != nil {
		return err
	}
	withRPCs := heapBytes()
	if err := r.answerStatements(); err != nil {
		return err
	}
	withIdle := heapBytes()
	runtime.KeepAlive(r)
	count := float64(clients)
	point("client", "bytes", (connected-empty)/(count-1))
	point("rpc_under_way", "bytes", (withRPCs-connected)/count)
	point("member_connection", "bytes", (withIdle-connected)/count)
	return nil
}

// rawPeers are clients and members as bare descriptors, so that the heap holds only the driver's own state.
type rawPeers struct {
	loop          *eventloop.Loop
	driver        *node.Node
	driverAddress unix.SockaddrInet4
	listeners     []int
	clients       []int
	conns         []int
	buffer        []byte
}

func newRawPeers(clients int) (r *rawPeers, err error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	r = &rawPeers{buffer: make([]byte, 1<<16), clients: make([]int, 0, clients), conns: make([]int, 0, clients), listeners: make([]int, 0, clients)}
	for n := range clients { // one per client, each in a group of its own: the driver sends a member it has not heard from only one RPC at a time
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			r.close()
			return nil, err
		}
		r.listeners = append(r.listeners, fd)
		at := loopbackAddress(n, port)
		if err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: at.Addr().As4()}), unix.Listen(fd, 1024)); err != nil {
			r.close()
			return nil, fmt.Errorf("member %d: %w", n, err)
		}
	}
	if r.loop, err = eventloop.New(1<<15, driverMemoryMB<<18); err != nil {
		r.close()
		return nil, err
	}
	listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(port))
	r.driverAddress = unix.SockaddrInet4{Port: port, Addr: listen.Addr().As4()}
	text := groupedListJSON(1, clients, 0, clients, func(n int) netip.AddrPort { return loopbackAddress(n, port) })
	if r.driver, err = newDriver(r.loop, listen, text, false); err != nil {
		r.close()
	}
	return r, err
}

func (r *rawPeers) close() {
	for _, fds := range [][]int{r.clients, r.conns, r.listeners} {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}
	if r.loop != nil {
		r.loop.Close()
	}
}

const maxLoopIterations = 20000 // of up to 1 ms each

// runUntil runs the loop until reached returns true.
func (r *rawPeers) runUntil(condition string, reached func() bool) error {
	for range maxLoopIterations {
		if reached() {
			return nil
		}
		if err := r.loop.RunOnce(time.Millisecond, func() {}); err != nil {
			return err
		}
	}
	return errors.New("loop reached its iteration limit before this condition held: " + condition)
}

// connect adds clients until the given number is connected.
func (r *rawPeers) connect(clients int) error {
	first := pgwire.AppendStartup(nil, "app", "shop")
	from := len(r.clients)
	for len(r.clients) < clients {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, fd)
		if err := unix.Connect(fd, &r.driverAddress); err != nil && err != unix.EINPROGRESS {
			return err
		}
		if err := r.loop.RunOnce(0, func() {}); err != nil {
			return err
		}
		unix.Write(fd, first)
	}
	return r.awaitReady("all clients have completed the handshake", from)
}

// awaitReady waits until each client, starting at index from, has received ReadyForQuery.
func (r *rawPeers) awaitReady(condition string, from int) error {
	return r.runUntil(condition, func() bool {
		for ; from < len(r.clients); from++ {
			n, err := unix.Read(r.clients[from], r.buffer)
			if err != nil || n < 6 || r.buffer[n-6] != 'Z' {
				return false
			}
		}
		return true
	})
}

// sendStatements sends one statement from each client and waits until all have reached a member.
func (r *rawPeers) sendStatements() error {
	welcome := pgwire.AppendAuthenticationOK(nil, 1, 1)
	for n, fd := range r.clients {
		text := fmt.Sprintf("/* id=r%d,c=look,d=60000,cluster=%d */ SELECT doc FROM items WHERE id = 's%d'", n, n, n)
		if _, err := unix.Write(fd, append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)); err != nil {
			return err
		}
	}
	received := 0
	return r.runUntil("all RPCs have reached members", func() bool {
		for _, l := range r.listeners {
			for fd, _, err := unix.Accept4(l, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil; fd, _, err = unix.Accept4(l, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC) {
				r.conns = append(r.conns, fd)
				unix.Write(fd, welcome)
			}
		}
		for ; received < len(r.conns); received++ {
			if n, err := unix.Read(r.conns[received], r.buffer); err != nil || n < 6 || r.buffer[n-1] != 0 {
				return false
			}
		}
		return received == len(r.clients)
	})
}

// answerStatements answers all statements from the members and waits until the clients have received the answers.
func (r *rawPeers) answerStatements() error {
	out := pgwire.AppendParameter(dataRow("{}"), "node_role", "leader")
	out = pgwire.AppendReady(pgwire.AppendParameter(out, "replay_position", "1"))
	for _, fd := range r.conns {
		if _, err := unix.Write(fd, out); err != nil {
			return err
		}
	}
	return r.awaitReady("all clients have received their answer", 0)
}
