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
	"passtack/internal/list"
	"passtack/internal/logs"
	"passtack/internal/loop"
	"passtack/internal/member"
	odatamember "passtack/internal/member/odata"
	pgmember "passtack/internal/member/pg"
	"passtack/internal/memberclock"
	"passtack/internal/operator"
	"passtack/internal/peers"
	"passtack/internal/share"
	"passtack/internal/slots"
	"passtack/internal/terms"
	"passtack/rules"
)

// rpc is kept until it is answered and all its attempts have ended.
type rpc struct {
	door     *door
	client   driver.Client
	side     driver.Side // that speaks with the members of its group
	until    time.Duration
	group    driver.Group
	calls    []uint32
	out      int
	answered bool
	cutOff   bool           // the module was told to answer it now
	last     driver.Outcome // of the attempt that ended last
	overdue  loop.Due
}

// Node is one driver.
type Node struct {
	site          *Site
	loop          *loop.Loop
	module        *rules.Router
	wants         *operator.File
	doors         []*door
	byFront       map[driver.Front]*door
	shares        share.Shares
	pools         [driver.Forms]*member.Pool
	opens         comeback.Opens
	back          *comeback.Return
	talk          *talk            // nil: it does not talk with others
	membership    *fleetMembership // nil: it has none of its fleet
	listing       driver.Listing   // how the list is that is being told
	leases        *leases          // nil: it has no part in any
	configuration *configuration   // nil: no control machine is asked
	learned       *learned         // nil: nothing is kept
	background    background
	simulated     bool // no time passes in a turn, and there are no workers
	list          *list.Discovery
	peers         *peers.Peers
	rpcs          slots.Table[*rpc]
	numbers       map[string]driver.Member // by uid
	uids          map[driver.Member]string
	last          driver.Member // the latest number given
	zones         []string
	counts        map[string]int
	most          int // attempts of one RPC
	tick          time.Duration
	wake          loop.Due      // of the module
	woke, due     time.Duration // when it came last, comes next
	pace          time.Duration // between two while the module does not rest
	lookAt        time.Duration // when the driver's way back is looked at next
	partAt        time.Duration // when the fronts' shares are
	fault         error
	memberClock   memberclock.Estimator // how the members' clock stands to the loop's
	signals       *signals
	stop          *stop // nil: no planned stop was begun
	lines         *logs.Lines

	said      map[string]bool // by the module of late
	saidSince time.Duration
}

// New opens all sockets; Run serves.
func New(site *Site, wants *operator.File) (*Node, error) {
	debug.SetMemoryLimit(site.Memory * 3 / 4)
	var l *loop.Loop
	err := throughShortage(func() (err error) {
		l, err = loop.New(site.Descriptors, int(site.Memory/buffers))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	heard := hearSignals(l)
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
		site: site, loop: l, counts: make(map[string]int), said: make(map[string]bool),
		numbers: make(map[string]driver.Member), uids: make(map[driver.Member]string),
		wants: wants, byFront: make(map[driver.Front]*door), opens: comeback.NewOpens(connectIn),
	}
	n.recallConfiguration()
	wants, n.tick = n.wants, terms.New(site.Terms).Span("tick")
	load := member.Load{Columns: site.columns(), Word: terms.Word}
	n.speak(driver.Statements, &pgmember.Tongue{Load: load})
	host := wants.Host
	if host == "" {
		host = site.Name
	}
	n.speak(driver.Requests, &odatamember.Tongue{Load: load, Host: host})
	n.follow()
	l.MakeRoom = n.makeRoom
	n.list = list.New(l, n, site.Discovery)
	if site.PeerListen.IsValid() {
		take := func(from driver.Peer, text []byte) {
			n.Count("peer_texts_taken")
			if n.talk == nil || !n.talk.take(from, text) {
				n.module.Told(from, text)
			}
		}
		if err = n.patiently(func() (err error) {
			n.peers, err = peers.Listen(l, site.PeerListen, site.PeerAll, site.Peers, take)
			return err
		}); err != nil {
			return nil, fmt.Errorf("peer_listen %s: %w", site.PeerListen, err)
		}
	}
	n.back = comeback.NewReturn(l.Now())
	n.module = rules.New(n, site.Seed, site.Terms)
	if n.fault != nil {
		return nil, n.fault
	}
	n.recall()
	if err := n.listen(); err != nil {
		return nil, err
	}
	if len(site.Known) > 0 {
		if err := n.list.Know(site.Known); err != nil {
			slog.Warn("known_list_unusable", "cause", err)
		}
	}
	n.recallList()
	if err := n.openDoors(); err != nil {
		return nil, err
	}
	if wants.Control.IsValid() {
		if err := n.patiently(func() error {
			_, err := control.Listen(l, wants.Control, n.answers())
			return err
		}); err != nil {
			return nil, fmt.Errorf("control listen %s: %w", wants.Control, err)
		}
	}
	if site.Terms["list"] == "pushed" {
		n.list.Watch(true)
	}
	n.watchConfiguration()
	n.lookBack()
	return n, nil
}

// patiently opens what the driver needs at its start, through a shortage of the system. In simulated time there is none.
func (n *Node) patiently(open func() error) error {
	if n.simulated {
		return open()
	}
	return throughShortage(open)
}

// Comeback tells how far the driver has come back since its start.
func (n *Node) Comeback() comeback.Stage { return n.back.Stage() }

// lookBack follows the driver's way back after its start, or after it stood still.
func (n *Node) lookBack() {
	now, waits := n.loop.Now(), 0
	n.lookAt = now + lookingBack
	for _, p := range n.pools {
		waits += p.Waiting()
	}
	if n.back.Look(now, waits) {
		stage := n.back.Stage()
		if stage == comeback.Listing { // what it knows is old
			n.Count("halts")
			n.list.Fetch()
		}
		slog.Info("comeback", "stage", stage, "after_ms", n.back.Age(now).Milliseconds())
	}
	n.partAnew()
}

// speak opens the side for one protocol with members.
func (n *Node) speak(form driver.Form, tongue member.Tongue) {
	n.pools[form] = member.New(n.loop, n, tongue, &n.opens, connectIn, idleFor)
}

// makeRoom ends the connection to a member that was idle for longest, and lets a client that asks nothing go as well: its
// descriptor is free a moment later, and the next need no member's.
func (n *Node) makeRoom() bool {
	for _, d := range n.doors {
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
	repeated = 5 * time.Second // in which the same line of the module is logged once

	lookingBack = 50 * time.Millisecond // between looks how far a driver has come back
	buffers     = 4                     // a quarter of the memory may hold long messages

	connectIn = 250 * time.Millisecond // to members, and how long they let connections rest, where the settings do not say
	idleFor   = time.Hour
)

// Run serves until it is told to stop and has answered all that it took.
func (n *Node) Run() error {
	debug.SetMemoryLimit(n.site.Memory * 3 / 4)
	n.lines = logs.To(os.Stderr)
	defer n.lines.End()
	n.lines.Level.Set(n.wants.Level)
	n.lines.Sample.Store(n.wants.Sample)
	n.signals.follow(n.readAgain)
	defer n.work()()
	slog.Info("started", "name", n.site.Name, "listen", n.site.Listen, "discovery", n.site.Discovery)
	err := n.loop.Run(func() {
		n.hearWorkers()
		n.hear()
	})
	n.print()
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
	settings := s.Terms
	if n.configuration != nil {
		settings = n.configuration.base.terms
	}
	for name, same := range map[string]bool{
		"name": s.Name == fresh.Name, "listen": s.Listen == fresh.Listen,
		"peer_listen": s.PeerListen == fresh.PeerListen, "settings": maps.Equal(settings, fresh.Terms),
	} {
		if !same {
			restart += "," + name
		}
	}
	if fresh.written.IsValid() && fresh.written != s.written {
		s.written, s.Discovery = fresh.written, fresh.Discovery
		n.list.Move(s.Discovery)
	}
	s.Descriptors, s.Memory, s.Peers, s.PeerAll = fresh.Descriptors, fresh.Memory, fresh.Peers, fresh.PeerAll
	n.limit()
	if n.configuration != nil {
		n.configuration.reloaded(fresh, wants)
	}
	if n.peers != nil {
		n.peers.Place(s.PeerAll, s.Peers)
	}
	for _, name := range n.offer(wants) {
		restart += "," + name
	}
	slog.Info("reloaded", "discovery", s.Discovery, "sockets", s.Descriptors, "memory_mb", s.Memory>>20,
		"needs_restart", strings.TrimPrefix(restart, ","))
}

// open counts the connections of clients.
func (n *Node) open() (open int) {
	for _, d := range n.doors {
		open += d.front.Open()
	}
	return open
}

// Count adds one to a counter.
func (n *Node) Count(what string) { n.counts[what]++ }

// Counted gives a counter.
func (n *Node) Counted(what string) int { return n.counts[what] }

func (n *Node) print() {
	open, most := n.loop.Open()
	members := 0
	for _, p := range n.pools {
		members += p.Open()
	}
	line := []any{
		"rpcs_held", n.rpcs.Count(), "clients_open", n.open(), "members_open", members, "descriptors", open,
		"descriptors_most", most, "dues", n.loop.Dues(), "lines_lost", n.lines.Lost.Load(),
		"lines_sampled", n.lines.Sampled.Load(), "comeback", n.back.Stage(), "ready", fmt.Sprintf("%.2f", n.back.Ready()),
	}
	if len(n.doors) > 1 {
		for _, d := range n.doors {
			line = append(line, "front_"+d.name+"_clients", d.front.Open(), "front_"+d.name+"_rpcs", d.rpcs,
				"front_"+d.name+"_taken", d.taken)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.counts)) {
		line = append(line, name, n.counts[name])
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
	d := n.byFront[by]
	q := &rpc{door: d, client: from, side: n.pools[n.FormOf(group)], until: until, group: group}
	n.back.Asked(uint16(group))
	if !d.mayTake() {
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
	d.taken++
	d.rpcs++
	q.overdue = n.loop.At(until+n.tick, func() { n.overdue(driver.RPC(h)) })
	n.traceTaken(driver.RPC(h), from, until)
	n.stir()
	n.module.Take(driver.RPC(h), method, group, 0, session, came, until, wrote, repeat)
	return driver.RPC(h)
}

// overdue answers what a panic in the module has left without an answer. It may have run.
func (n *Node) overdue(id driver.RPC) {
	if q := n.get(id); q != nil && !q.answered {
		n.Count("rpcs_overdue")
		slog.Error("overdue", "rpc", id, "attempts", len(q.calls))
		n.Abort(id)
		n.module.ClientLeft(id)
	}
}

func (n *Node) get(id driver.RPC) *rpc { return n.rpcs.Get(slots.Handle(id)) }

// answered marks the one final answer; it gives nil where the client does not wait for it any more.
func (n *Node) answered(id driver.RPC, how string) *rpc {
	q := n.get(id)
	if q == nil || q.answered {
		return nil
	}
	q.answered = true
	for _, call := range q.calls { // nothing of it goes out any more, whether or not running ones may be cancelled
		q.side.Withdraw(call)
	}
	n.loop.Forget(q.overdue)
	q.door.rpcs--
	n.Count("rpcs_" + how)
	n.traceAnswered(id, q, how)
	n.back.Answered(how == "pushed_back")
	n.drop(id, q)
	return q
}

func (n *Node) drop(id driver.RPC, q *rpc) {
	if q.answered && q.out == 0 {
		n.rpcs.Drop(slots.Handle(id))
	}
}

// ClientLeft tells the module that nobody waits for the answer any more.
func (n *Node) ClientLeft(id driver.RPC) {
	if n.answered(id, "left") != nil {
		n.module.ClientLeft(id)
	}
}

// ClientParts tells the module that nothing more may be sent for the RPC, of which only what is out may still be answered.
func (n *Node) ClientParts(id driver.RPC) {
	if q := n.get(id); q != nil && !q.answered {
		n.Count("clients_parted")
		n.module.ClientParts(id)
		for _, call := range q.calls {
			q.side.Withdraw(call)
		}
	}
}

var outcomes = map[driver.Outcome]string{
	driver.OK: "ok", driver.Failed: "failed", driver.Full: "full", driver.TimedOut: "timed_out",
	driver.NoConnection: "no_connection", driver.Broken: "broken", driver.Cancelled: "cancelled",
	driver.Moot: "moot", driver.Miss: "miss",
}

// AttemptEnded passes an answer on, unless the RPC has got one, and tells the module in any case.
func (n *Node) AttemptEnded(id driver.RPC, call int, from driver.Member, how driver.Outcome, took, pos time.Duration,
	role driver.Role, report []float64, a *driver.Answer) {
	n.Count("attempts_" + outcomes[how])
	n.traceEnded(id, call, from, how, took)
	q := n.get(id)
	if q == nil {
		return
	}
	q.last = how
	if role == driver.Primary {
		n.back.Proven(uint16(q.group))
		n.observePosition(a.Told)
	}
	if pos > 0 {
		pos -= n.memberClock.Offset()
	}
	if how == driver.OK {
		if q := n.answered(id, "ok"); q != nil {
			q.door.front.Answer(q.client, a)
		}
	}
	q.out--
	defer n.drop(id, q)
	n.module.Ended(id, call, from, how, took, q.answered, pos, role, report)
}

// Probed brings the result of a probe.
func (n *Node) Probed(m driver.Member, ok bool, took time.Duration, report []float64) {
	n.module.Probed(m, ok, took, report)
}

func (n *Node) ListBegins(how driver.Listing) {
	n.listing = how
	n.module.ListBegins(how)
}

// Listed gives a member one number until it is forgotten, whatever its address. No number comes twice.
func (n *Node) Listed(uid string, at netip.AddrPort, zone string, group driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	m, known := n.numbers[uid]
	if !known {
		n.last++
		m = n.last
		n.numbers[uid], n.uids[m] = m, uid
		slog.Info("member_listed", "member", fmt.Sprintf("%012x", uint64(m)), "uid", uid, "endpoint", at, "group", group)
		defer func() { n.recallMember(m, uid) }()
	}
	if at.IsValid() {
		n.place(m, group, at)
	}
	in := driver.Zone(max(0, slices.Index(n.zones, zone)))
	if n.membership != nil {
		n.membership.drainGossip.memberListed(uid, listedMember{m, in, group, size}, state, started, n.listing != driver.Cached)
	}
	n.module.Listed(m, in, group, state, size, n.onLocalClock(started), primary)
}

// place tells the side that speaks with the member's group where it listens.
func (n *Node) place(m driver.Member, group driver.Group, at netip.AddrPort) {
	n.pools[n.FormOf(group)].Place(m, at)
}

func (n *Node) ListEnds(how driver.Listing) {
	if how != driver.Cached && how != driver.NoList {
		n.back.Listed()
	}
	n.stir()
	n.module.ListEnds(how)
	if n.membership != nil {
		n.membership.drainGossip.listComplete()
	}
}

// What follows is what the module acts through.

func (n *Node) Now() time.Duration { return n.loop.Now() }

func (n *Node) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	q := n.get(id)
	if q == nil {
		return
	}
	until := q.until
	if timeout != 0 {
		until = min(until, n.loop.Now()+timeout)
	}
	ask := q.door.front.Ask(q.client)
	if q.answered || len(q.calls) >= n.most || ask == nil {
		until = 0
	}
	n.Count("attempts_sent")
	n.traceAttempt(id, q, to, until)
	q.out++
	q.calls = append(q.calls, q.side.Attempt(id, len(q.calls), to, by, until, ask))
}

func (n *Node) Cancel(id driver.RPC, call int) {
	if q := n.get(id); q != nil && call < len(q.calls) {
		q.side.Cancel(q.calls[call])
	}
}

func (n *Node) PushBack(id driver.RPC, comeBack time.Duration) {
	if q := n.answered(id, "pushed_back"); q != nil {
		q.door.front.PushBack(q.client, comeBack)
	}
}

func (n *Node) Abort(id driver.RPC) {
	if q := n.answered(id, "aborted"); q != nil {
		q.door.front.Abort(q.client)
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
	delete(n.numbers, n.uids[m])
	delete(n.uids, m)
}

func (n *Node) Watch(on bool) { n.list.Watch(on) }
func (n *Node) FetchList()    { n.list.Fetch() }

func (n *Node) Tell(to driver.Peer, text []byte) {
	if n.peers != nil {
		n.Count("peer_texts_sent")
		n.peers.Tell(to, text)
	}
}

func (n *Node) WakeAfter(wait time.Duration) {
	n.woke, n.pace = n.loop.Now(), wait
	n.wakeAt(n.woke + wait)
}

func (n *Node) wakeAt(at time.Duration) {
	n.loop.Forget(n.wake)
	n.due = at
	n.wake = n.loop.At(at, n.beat)
}

// beat is the driver's one periodic timer: what else comes again and again comes with the module's ticks, and those that
// would do nothing are left out.
func (n *Node) beat() {
	now, late := n.loop.Now(), n.loop.Now()-n.due
	n.module.Wake()
	if now >= n.lookAt {
		if p := n.background.plan; p != nil {
			p.Late(late, now)
		}
		n.lookBack()
	}
	if rest := n.module.Rest(); rest > n.pace {
		n.wakeAt(now + rest)
	}
}

// stir lets the ticks go on when they would have come without a rest.
func (n *Node) stir() {
	missed := (n.loop.Now() - n.woke + n.pace - 1) / n.pace
	if at := n.woke + missed*n.pace; at < n.due {
		n.wakeAt(at)
	}
}

// Log leaves out what was said before, some seconds long: a role that alternates would fill the log.
func (n *Node) Log(line string) {
	if now := n.loop.Now(); now-n.saidSince > repeated {
		clear(n.said)
		n.saidSince = now
	}
	if n.said[line] {
		n.Count("lines_repeated")
		return
	}
	n.said[line] = true
	slog.Info("module", "text", line)
}

func (n *Node) Fault(why string) {
	n.fault = errors.New(why)
	slog.Error("fault", "cause", why)
	n.loop.Stop()
}
