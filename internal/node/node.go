// Package node hosts the decision module: it ties it to clients, members, the list and other drivers, keeps
// the RPCs that are being served, counts, and stops in an orderly way. It decides nothing.
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/comeback"
	"passtack/internal/control"
	"passtack/internal/fleetclock"
	"passtack/internal/list"
	"passtack/internal/logs"
	"passtack/internal/loop"
	"passtack/internal/member"
	odatamember "passtack/internal/member/odata"
	pgmember "passtack/internal/member/pg"
	"passtack/internal/operator"
	"passtack/internal/peers"
	"passtack/internal/share"
	"passtack/internal/slots"
	"passtack/internal/terms"
	"passtack/rules"
)

// rpc is kept until it is answered and all its attempts have ended.
type rpc struct {
	listener     *listener
	client       driver.Client
	pool         driver.Side // that speaks with the members of its group
	deadline     time.Duration
	group        driver.Group
	attempts     []uint32
	inFlight     int
	answered     bool
	answerForced bool           // the module was told to answer it now
	lastOutcome  driver.Outcome // of the attempt that ended last
	overdueTimer loop.Due
}

// Node is one driver.
type Node struct {
	site               *Site
	loop               *loop.Loop
	module             *rules.Router
	config             *operator.File
	listeners          []*listener
	listenerOf         map[driver.Front]*listener
	quotas             share.Shares
	pools              [driver.Forms]*member.Pool
	connectLimiter     comeback.Opens
	recovery           *comeback.Return
	messenger          *messenger     // nil: it does not talk with others
	view               *view          // nil: it has none of its fleet
	listKind           driver.Listing // how the list is that is being told
	leases             *leaseService  // nil: it has no part in any
	configuration      *configuration // nil: no control machine is asked
	learned            *learned       // nil: nothing is kept
	background         backgroundJobs
	simulated          bool // no time passes in a turn, and there are no workers
	list               *list.Discovery
	peers              *peers.Peers
	rpcs               slots.Table[*rpc]
	ids                map[string]driver.Member // by uid
	uids               map[driver.Member]string
	lastID             driver.Member // the latest number given
	zones              []string
	counters           map[string]int
	maxAttempts        int // attempts of one RPC
	tick               time.Duration
	wakeTimer          loop.Due      // of the module
	lastWake, nextWake time.Duration // when it came last, comes next
	wakeInterval       time.Duration // between two while the module does not rest
	recoveryCheckAt    time.Duration // when the driver's way back is looked at next
	rebalanceAt        time.Duration // when the fronts' shares are
	fault              error
	clock              fleetclock.Clock // how the members' clock stands to the loop's
	signals            *signals
	shutdown           *gracefulShutdown // nil: no planned stop was begun
	lines              *logs.Lines

	recentLines map[string]bool // by the module of late
	recentSince time.Duration
}

// New opens all sockets; Run serves.
func New(site *Site, wants *operator.File) (*Node, error) {
	debug.SetMemoryLimit(site.Memory * 3 / 4)
	var l *loop.Loop
	err := retryOnResourceShortage(func() (err error) {
		l, err = loop.New(site.Descriptors, int(site.Memory/bufferFraction))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	heard := watchSignals(l)
	n, err := on(l, site, wants, false)
	if err != nil {
		return nil, err
	}
	n.signals = heard
	return n, nil
}

// On is New on a loop that is there already, on whatever system; who gave it turns it.
func On(l *loop.Loop, site *Site, wants *operator.File) (n *Node, err error) {
	return on(l, site, wants, true)
}

func on(l *loop.Loop, site *Site, wants *operator.File, simulated bool) (n *Node, err error) {
	n = &Node{
		lines: new(logs.Lines), simulated: simulated,
		site: site, loop: l, counters: make(map[string]int), recentLines: make(map[string]bool),
		ids: make(map[string]driver.Member), uids: make(map[driver.Member]string),
		config: wants, listenerOf: make(map[driver.Front]*listener), connectLimiter: comeback.NewOpens(defaultConnectTimeout),
	}
	n.restoreConfiguration()
	wants, n.tick = n.config, terms.New(site.Settings).Span("tick")
	load := member.Load{Columns: site.reportColumns(), Word: terms.Word}
	n.openPool(driver.Statements, &pgmember.Tongue{Load: load})
	host := wants.Host
	if host == "" {
		host = site.Name
	}
	n.openPool(driver.Requests, &odatamember.Tongue{Load: load, Host: host})
	n.applySettings()
	l.MakeRoom = n.evictIdle
	n.list = list.New(l, n, site.Discovery)
	if site.PeerListen.IsValid() {
		take := func(from driver.Peer, text []byte) {
			n.Count("peer_texts_taken")
			if n.messenger == nil || !n.messenger.receive(from, text) {
				n.module.Told(from, text)
			}
		}
		if err = n.openWithRetry(func() (err error) {
			n.peers, err = peers.Listen(l, site.PeerListen, site.PeerBroadcast, site.Peers, take)
			return err
		}); err != nil {
			return nil, fmt.Errorf("peer_listen %s: %w", site.PeerListen, err)
		}
	}
	n.recovery = comeback.NewReturn(l.Now())
	n.module = rules.New(n, site.Seed, site.Settings)
	if n.fault != nil {
		return nil, n.fault
	}
	n.recall()
	if err := n.startMessaging(); err != nil {
		return nil, err
	}
	if len(site.InitialList) > 0 {
		if err := n.list.Know(site.InitialList); err != nil {
			slog.Warn("known_list_unusable", "cause", err)
		}
	}
	n.recallList()
	if err := n.openListeners(); err != nil {
		return nil, err
	}
	if wants.Control.IsValid() {
		if err := n.openWithRetry(func() error {
			_, err := control.Listen(l, wants.Control, n.answers())
			return err
		}); err != nil {
			return nil, fmt.Errorf("control listen %s: %w", wants.Control, err)
		}
	}
	if site.Settings["list"] == "pushed" {
		n.list.Watch(true)
	}
	n.watchConfiguration()
	n.checkRecovery()
	return n, nil
}

// patiently opens what the driver needs at its start, through a shortage of the system. In simulated time there is none.
func (n *Node) openWithRetry(open func() error) error {
	if n.simulated {
		return open()
	}
	return retryOnResourceShortage(open)
}

// Comeback tells how far the driver has come back since its start.
func (n *Node) RecoveryStage() comeback.Stage { return n.recovery.Stage() }

// lookBack follows the driver's way back after its start, or after it stood still.
func (n *Node) checkRecovery() {
	now, waits := n.loop.Now(), 0
	n.recoveryCheckAt = now + recoveryCheckInterval
	for _, p := range n.pools {
		waits += p.Waiting()
	}
	if n.recovery.Look(now, waits) {
		stage := n.recovery.Stage()
		if stage == comeback.Listing { // what it knows is old
			n.Count("halts")
			n.list.Fetch()
		}
		slog.Info("comeback", "stage", stage, "after_ms", n.recovery.Age(now).Milliseconds())
	}
	n.rebalanceConnections()
}

// speak opens the side for one protocol with members.
func (n *Node) openPool(form driver.Form, tongue member.Tongue) {
	n.pools[form] = member.New(n.loop, n, tongue, &n.connectLimiter, defaultConnectTimeout, defaultIdleTimeout)
}

// makeRoom ends the connection to a member that was idle for longest, and lets a client that asks nothing go as well: its
// descriptor is free a moment later, and the next need no member's.
func (n *Node) evictIdle() bool {
	for _, d := range n.listeners {
		if d.connections.GiveWay() {
			break
		}
	}
	var oldest *member.Pool
	first := time.Duration(0)
	for _, p := range n.pools {
		if since, ok := p.Oldest(); ok && (oldest == nil || since < first) {
			oldest, first = p, since
		}
	}
	return oldest != nil && oldest.MakeRoom()
}

const (
	moduleLogInterval = 5 * time.Second // in which the same line of the module is logged once

	recoveryCheckInterval = 50 * time.Millisecond // between looks how far a driver has come back
	bufferFraction        = 4                     // a quarter of the memory may hold long messages

	defaultConnectTimeout = 250 * time.Millisecond // to members, and how long they let connections rest, where the settings do not say
	defaultIdleTimeout    = time.Hour
)

// Run serves until it is told to stop and has answered all that it took.
func (n *Node) Run() error {
	debug.SetMemoryLimit(n.site.Memory * 3 / 4)
	n.lines = logs.To(os.Stderr)
	defer n.lines.End()
	n.lines.Level.Set(n.config.Level)
	n.lines.Sample.Store(n.config.Sample)
	n.signals.forward(n.reread)
	defer n.work()()
	slog.Info("started", "name", n.site.Name, "listen", n.site.Listen, "discovery", n.site.Discovery)
	err := n.loop.Run(func() {
		n.hearWorkers()
		n.handleSignals()
	})
	n.logCounters()
	slog.Info("stopped", "name", n.site.Name)
	return errors.Join(err, n.fault)
}

// reload takes over what the file says now, as far as that needs no restart.
func (n *Node) reload(fresh *Site, wants *operator.File, err error) {
	if err != nil {
		n.Count("reloads_failed")
		for line := range strings.Lines(err.Error()) {
			slog.Warn("reload_failed", "cause", strings.TrimSpace(line))
		}
		return
	}
	n.Count("reloads")
	s, restart := n.site, ""
	settings := s.Settings
	if n.configuration != nil {
		settings = n.configuration.local.settings
	}
	for name, same := range map[string]bool{
		"name": s.Name == fresh.Name, "listen": s.Listen == fresh.Listen,
		"peer_listen": s.PeerListen == fresh.PeerListen, "settings": maps.Equal(settings, fresh.Settings),
	} {
		if !same {
			restart += "," + name
		}
	}
	if fresh.fileDiscovery.IsValid() && fresh.fileDiscovery != s.fileDiscovery {
		s.fileDiscovery, s.Discovery = fresh.fileDiscovery, fresh.Discovery
		n.list.Move(s.Discovery)
	}
	s.Descriptors, s.Memory, s.Peers, s.PeerBroadcast = fresh.Descriptors, fresh.Memory, fresh.Peers, fresh.PeerBroadcast
	n.applyLimits()
	if n.configuration != nil {
		n.configuration.reloadLocal(fresh, wants)
	}
	if n.peers != nil {
		n.peers.SetAddresses(s.PeerBroadcast, s.Peers)
	}
	for _, name := range n.applyConfig(wants) {
		restart += "," + name
	}
	slog.Info("reloaded", "discovery", s.Discovery, "sockets", s.Descriptors, "memory_mb", s.Memory>>20,
		"needs_restart", strings.TrimPrefix(restart, ","))
}

// open counts the connections of clients.
func (n *Node) openClients() (open int) {
	for _, d := range n.listeners {
		open += d.front.Open()
	}
	return open
}

// Count adds one to a counter.
func (n *Node) Count(what string) { n.counters[what]++ }

// Counted gives a counter.
func (n *Node) Counted(what string) int { return n.counters[what] }

func (n *Node) logCounters() {
	open, most := n.loop.Open()
	members := 0
	for _, p := range n.pools {
		members += p.Open()
	}
	line := []any{
		"rpcs_held", n.rpcs.Count(), "clients_open", n.openClients(), "members_open", members, "descriptors", open,
		"descriptors_most", most, "dues", n.loop.Dues(), "lines_lost", n.lines.Lost.Load(),
		"lines_sampled", n.lines.Sampled.Load(), "comeback", n.recovery.Stage(), "ready", fmt.Sprintf("%.2f", n.recovery.Ready()),
	}
	if len(n.listeners) > 1 {
		for _, d := range n.listeners {
			line = append(line, "front_"+d.name+"_clients", d.front.Open(), "front_"+d.name+"_rpcs", d.rpcs,
				"front_"+d.name+"_taken", d.rpcsTaken)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.counters)) {
		line = append(line, name, n.counters[name])
	}
	slog.Info("counters", line...)
}

// Take hands an RPC to the module.
func (n *Node) Take(by driver.Front, from driver.Client, method driver.Method, group driver.Group,
	session driver.Session, came, until, wrote time.Duration, repeat bool) driver.RPC {
	n.Count("rpcs_taken")
	until, may := n.mayForward(until)
	if !may {
		n.Count("rpcs_refused_in_stop")
		slog.Debug("rpc_refused", "client", from, "reason", "shutdown")
		by.PushBack(from, 0)
		return 0
	}
	d := n.listenerOf[by]
	q := &rpc{listener: d, client: from, pool: n.pools[n.FormOf(group)], deadline: until, group: group}
	n.recovery.Asked(uint16(group))
	if !d.admits() {
		n.Count("rpcs_over_share")
		slog.Debug("rpc_refused", "client", from, "reason", "over_share")
		by.PushBack(from, 0)
		return 0
	}
	h := n.rpcs.Put(q)
	if h == 0 {
		n.Count("rpcs_no_room")
		slog.Debug("rpc_refused", "client", from, "reason", "no_room")
		by.PushBack(from, 0)
		return 0
	}
	d.rpcsTaken++
	d.rpcs++
	q.overdueTimer = n.loop.At(until+n.tick, func() { n.answerOverdue(driver.RPC(h)) })
	n.traceTaken(driver.RPC(h), from, until)
	n.resumeTicks()
	n.module.Take(driver.RPC(h), method, group, 0, session, came, until, wrote, repeat)
	return driver.RPC(h)
}

// overdue answers what a panic in the module has left without an answer. It may have run.
func (n *Node) answerOverdue(id driver.RPC) {
	if q := n.get(id); q != nil && !q.answered {
		n.Count("rpcs_overdue")
		slog.Error("overdue", "rpc", id, "attempts", len(q.attempts))
		n.Abort(id)
		n.module.ClientLeft(id)
	}
}

func (n *Node) get(id driver.RPC) *rpc { return n.rpcs.Get(slots.Handle(id)) }

// answered marks the one final answer; it gives nil where the client does not wait for it any more.
func (n *Node) finish(id driver.RPC, how string) *rpc {
	q := n.get(id)
	if q == nil || q.answered {
		return nil
	}
	q.answered = true
	for _, call := range q.attempts { // nothing of it goes out any more, whether or not running ones may be cancelled
		q.pool.Withdraw(call)
	}
	n.loop.Forget(q.overdueTimer)
	q.listener.rpcs--
	n.Count("rpcs_" + how)
	n.traceAnswered(id, q, how)
	n.recovery.Answered(how == "pushed_back")
	n.release(id, q)
	return q
}

func (n *Node) release(id driver.RPC, q *rpc) {
	if q.answered && q.inFlight == 0 {
		n.rpcs.Drop(slots.Handle(id))
	}
}

// ClientLeft tells the module that nobody waits for the answer any more.
func (n *Node) ClientLeft(id driver.RPC) {
	if n.finish(id, "left") != nil {
		n.module.ClientLeft(id)
	}
}

// ClientParts tells the module that nothing more may be sent for the RPC, of which only what is out may still be answered.
func (n *Node) ClientParts(id driver.RPC) {
	if q := n.get(id); q != nil && !q.answered {
		n.Count("clients_parted")
		n.module.ClientParts(id)
		for _, call := range q.attempts {
			q.pool.Withdraw(call)
		}
	}
}

var outcomeNames = map[driver.Outcome]string{
	driver.OK: "ok", driver.Failed: "failed", driver.Full: "full", driver.TimedOut: "timed_out",
	driver.NoConnection: "no_connection", driver.Broken: "broken", driver.Cancelled: "cancelled",
	driver.Moot: "moot", driver.Miss: "miss",
}

// AttemptEnded passes an answer on, unless the RPC has got one, and tells the module in any case.
func (n *Node) AttemptEnded(id driver.RPC, call int, from driver.Member, how driver.Outcome, took, pos time.Duration,
	role driver.Role, report []float64, a *driver.Answer) {
	n.Count("attempts_" + outcomeNames[how])
	n.traceEnded(id, call, from, how, took)
	q := n.get(id)
	if q == nil {
		return
	}
	q.lastOutcome = how
	if role == driver.Primary {
		n.recovery.Proven(uint16(q.group))
		n.hearClock(a.Told)
	}
	if pos > 0 {
		pos -= n.clock.Offset()
	}
	if how == driver.OK {
		if q := n.finish(id, "ok"); q != nil {
			q.listener.front.Answer(q.client, a)
		}
	}
	q.inFlight--
	defer n.release(id, q)
	n.module.Ended(id, call, from, how, took, q.answered, pos, role, report)
}

// Probed brings the result of a probe.
func (n *Node) Probed(m driver.Member, ok bool, took time.Duration, report []float64) {
	n.module.Probed(m, ok, took, report)
}

func (n *Node) ListBegins(how driver.Listing) {
	n.listKind = how
	n.module.ListBegins(how)
}

// Listed gives a member one number until it is forgotten, whatever its address. No number comes twice.
func (n *Node) Listed(uid string, at netip.AddrPort, zone string, group driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	m, known := n.ids[uid]
	if !known {
		n.lastID++
		m = n.lastID
		n.ids[uid], n.uids[m] = m, uid
		slog.Info("member_listed", "member", fmt.Sprintf("%012x", uint64(m)), "uid", uid, "endpoint", at, "group", group)
		defer func() { n.recallMember(m, uid) }()
	}
	if at.IsValid() {
		n.setAddress(m, group, at)
	}
	in := driver.Zone(max(0, slices.Index(n.zones, zone)))
	if n.view != nil {
		n.view.drains.listed(uid, listedAs{m, in, group, size}, state, started, n.listKind != driver.Cached)
	}
	n.module.Listed(m, in, group, state, size, n.byOwnClock(started), primary)
}

// place tells the side that speaks with the member's group where it listens.
func (n *Node) setAddress(m driver.Member, group driver.Group, at netip.AddrPort) {
	n.pools[n.FormOf(group)].Place(m, at)
}

func (n *Node) ListEnds(how driver.Listing) {
	if how != driver.Cached && how != driver.NoList {
		n.recovery.Listed()
	}
	n.resumeTicks()
	n.module.ListEnds(how)
	if n.view != nil {
		n.view.drains.listEnds()
	}
}

// What follows is what the module acts through.

func (n *Node) Now() time.Duration { return n.loop.Now() }

func (n *Node) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	q := n.get(id)
	if q == nil {
		return
	}
	until := q.deadline
	if timeout != 0 {
		until = min(until, n.loop.Now()+timeout)
	}
	ask := q.listener.front.Ask(q.client)
	if q.answered || len(q.attempts) >= n.maxAttempts || ask == nil {
		until = 0
	}
	n.Count("attempts_sent")
	n.traceAttempt(id, q, to, until)
	q.inFlight++
	q.attempts = append(q.attempts, q.pool.Attempt(id, len(q.attempts), to, by, until, ask))
}

func (n *Node) Cancel(id driver.RPC, call int) {
	if q := n.get(id); q != nil && call < len(q.attempts) {
		q.pool.Cancel(q.attempts[call])
	}
}

func (n *Node) PushBack(id driver.RPC, comeBack time.Duration) {
	if q := n.finish(id, "pushed_back"); q != nil {
		q.listener.front.PushBack(q.client, comeBack)
	}
}

func (n *Node) Abort(id driver.RPC) {
	if q := n.finish(id, "aborted"); q != nil {
		q.listener.front.Abort(q.client)
	}
}

func (n *Node) Probe(m driver.Member) {
	for _, p := range n.pools { // one of them knows it
		p.Probe(m)
	}
}

func (n *Node) CloseIdle(m driver.Member) {
	for _, p := range n.pools {
		p.CloseIdle(m)
	}
}

func (n *Node) Forget(m driver.Member) {
	for _, p := range n.pools {
		p.Forget(m)
	}
	delete(n.ids, n.uids[m])
	delete(n.uids, m)
}

func (n *Node) Watch(on bool) { n.list.Watch(on) }
func (n *Node) FetchList()    { n.list.Fetch() }

func (n *Node) Tell(to driver.Peer, text []byte) {
	if n.peers != nil {
		n.Count("peer_texts_sent")
		n.peers.Send(to, text)
	}
}

func (n *Node) WakeAfter(wait time.Duration) {
	n.lastWake, n.wakeInterval = n.loop.Now(), wait
	n.wakeAt(n.lastWake + wait)
}

func (n *Node) wakeAt(at time.Duration) {
	n.loop.Forget(n.wakeTimer)
	n.nextWake = at
	n.wakeTimer = n.loop.At(at, n.wakeModule)
}

// beat is the driver's one periodic timer: what else comes again and again comes with the module's ticks, and those that
// would do nothing are left out.
func (n *Node) wakeModule() {
	now, late := n.loop.Now(), n.loop.Now()-n.nextWake
	n.module.Wake()
	if now >= n.recoveryCheckAt {
		if p := n.background.plan; p != nil {
			p.ReportLateness(late, now)
		}
		n.checkRecovery()
	}
	if rest := n.module.Rest(); rest > n.wakeInterval {
		n.wakeAt(now + rest)
	}
}

// stir lets the ticks go on when they would have come without a rest.
func (n *Node) resumeTicks() {
	missed := (n.loop.Now() - n.lastWake + n.wakeInterval - 1) / n.wakeInterval
	if at := n.lastWake + missed*n.wakeInterval; at < n.nextWake {
		n.wakeAt(at)
	}
}

// Log leaves out what was said before, some seconds long: a role that alternates would fill the log.
func (n *Node) Log(line string) {
	if now := n.loop.Now(); now-n.recentSince > moduleLogInterval {
		clear(n.recentLines)
		n.recentSince = now
	}
	if n.recentLines[line] {
		n.Count("lines_repeated")
		return
	}
	n.recentLines[line] = true
	slog.Info("module", "text", line)
}

func (n *Node) Fault(why string) {
	n.fault = errors.New(why)
	slog.Error("fault", "cause", why)
	n.loop.Stop()
}
