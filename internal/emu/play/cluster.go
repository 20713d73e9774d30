// Package play runs the models of package emu behind sockets, together with drivers and clients, and plays scripts of
// load and faults.
package play

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/emu"
	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/linkedlist"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
)

// timer schedules the models' events on a loop.
type timer struct{ loop *eventloop.Loop }

// Now implements emu.Timer by the loop's clock.
func (t timer) Now() time.Duration { return t.loop.Now() }

// At implements emu.Timer by the loop's timers.
func (t timer) At(at time.Duration, action func()) { t.loop.At(at, action) }

// Cluster is all members and discovery, on one loop, simulated or real.
type Cluster struct {
	loop             *eventloop.Loop
	script           *Script
	record           *emu.Record
	rng              *pcg.Source
	groups           []*emu.Group
	members          []*memberServer
	agents           []*discoveryAgent
	revision         int
	changesHeldUntil time.Duration // discovery publishes no change before then
	err              error
	ledger           *emu.Ledger
	startedAt        time.Duration
	Timeline         Timeline
	changes          []*PrimaryChange

	// Address returns the address at which a driver reaches a member; nil: where the member listens.
	Address func(driver, member int) netip.AddrPort
}

// memberServer is one member behind its address.
type memberServer struct {
	cluster        *Cluster
	number         int
	model          *emu.Member
	group          int
	addr           netip.AddrPort
	listener       *eventloop.Listener
	conns          linkedlist.List[*memberConn]
	state          string
	bootedAt       time.Duration
	listedRevision int // revision of its latest change in the endpoint list
	wasPrimary     bool
	disclaimedTo   map[string]bool // drivers to which it has answered as a replica since it was last primary
}

// NewCluster listens for all members of the script's groups, and for discovery at the agents' addresses.
func NewCluster(l *eventloop.Loop, s *Script, r *emu.Record, seed uint64, memberAddr func(n int) netip.AddrPort, agents []netip.AddrPort) (*Cluster, error) {
	c := &Cluster{loop: l, script: s, record: r, rng: pcg.New(seed), revision: 1, ledger: emu.NewLedger(l.Now()), startedAt: l.Now()}
	for g := range s.Groups {
		var models []*emu.Member
		for range s.Members {
			m := &memberServer{cluster: c, number: len(c.members), group: g, addr: memberAddr(len(c.members)), state: "in_service", disclaimedTo: make(map[string]bool)}
			m.model = emu.NewMember(fmt.Sprint("m", len(c.members)), s.MemberSpec, timer{l}, c.rng)
			models = append(models, m.model)
			c.members = append(c.members, m)
			if err := m.listen(); err != nil {
				return nil, err
			}
		}
		group := emu.NewGroup(driver.Group(g), s.Election, timer{l}, c.rng, models...)
		group.OnPrimaryChange = func(primary *emu.Member) {
			if primary == nil {
				c.note(fmt.Sprint("group ", g), "has no primary")
			} else {
				c.note(primary.Name, "is primary of group %d", g)
				c.primaryChanged(g, primary)
			}
		}
		c.groups = append(c.groups, group)
	}
	for i, at := range agents {
		a := &discoveryAgent{cluster: c, number: i, driver: Driver(i)}
		if _, err := l.Listen(at, 1<<16, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
			w := &watcher{agent: a}
			w.stream = open(w)
		}, func(bool) {}); err != nil {
			return nil, err
		}
		c.agents = append(c.agents, a)
	}
	return c, nil
}

func (m *memberServer) listen() (err error) {
	m.listener, err = m.cluster.loop.Listen(m.addr, pgwire.MaxMessageLength+1, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		conn := &memberConn{member: m}
		if conn.stream = open(conn); conn.stream == nil {
			return
		}
		if most := m.model.Spec.MaxConnections; most > 0 && m.conns.Len() >= most {
			m.count(emu.RejectedConnections, 1)
			conn.stream.Send(pgwire.AppendError(nil, true, "53300", "too many connections", -1))
			conn.stream.CloseWhenSent()
			return
		}
		conn.element.Value = conn
		m.conns.PushBack(&conn.element)
		m.count(emu.Connects, 1)
		if change := m.ownChange(); change != nil && m.cluster.elapsed() < change.At+firstPeriod {
			change.Connects++
		}
		m.cluster.ledger.Max(emu.MaxOpen, m.model.Name, m.cluster.loop.Now(), float64(m.conns.Len()))
	}, func(bool) {})
	return err
}

// ResetStart makes now the start of the script's time and clears the ledger.
func (c *Cluster) ResetStart() {
	c.startedAt, c.ledger = c.loop.Now(), emu.NewLedger(c.loop.Now())
}

func (c *Cluster) note(who, format string, args ...any) {
	c.Timeline.Note(c.loop.Now()-c.startedAt, who, format, args...)
}

// count adds to the member's count in the ledger.
func (m *memberServer) count(what string, n float64) {
	m.cluster.ledger.Add(what, m.model.Name, m.cluster.loop.Now(), n)
}

// submit hands work to the model. A member that is down, or that crashes under overload, is stopped.
func (m *memberServer) submit(j *emu.Job) {
	if !m.model.Submit(j) {
		if m.model.Overloaded() {
			m.cluster.record.MemberOverloaded(m.model.Name)
			m.cluster.note(m.model.Name, "crashes: overloaded while cold")
		}
		m.kill()
		return
	}
	m.cluster.ledger.Max(emu.ColdLoad, m.model.Name, m.cluster.loop.Now(), m.model.ColdLoad())
}

// kill ends the member's process. The caller records an overload.
func (m *memberServer) kill() {
	if m.listener != nil {
		m.listener.Close()
		m.listener = nil
	}
	for at := m.conns.Front(); at != nil; at = m.conns.Front() {
		at.Remove()
		at.Value.stream.Close()
	}
	if m.model.Up() {
		m.model.Kill()
	}
}

func (m *memberServer) start(copyAge time.Duration) {
	if m.model.Up() {
		return
	}
	m.model.Start(copyAge)
	m.bootedAt = m.cluster.loop.Now()
	if err := m.listen(); err != nil {
		m.cluster.err = err
	}
	m.cluster.updateListing(m, "in_service")
}

// updateListing changes the state of a member in the endpoint list after the script's delay.
func (c *Cluster) updateListing(m *memberServer, state string) {
	c.loop.At(max(c.loop.Now()+c.script.ListDelay, c.changesHeldUntil), func() {
		if c.loop.Now() < c.changesHeldUntil {
			c.updateListing(m, state)
			return
		}
		c.revision++
		m.state, m.listedRevision = state, c.revision
		c.note("discovery", "lists %s as %s, revision %d", m.model.Name, state, c.revision)
		for _, a := range c.agents {
			a.notifyWatchers()
		}
	})
}

// memberConn is one connection to a member.
type memberConn struct {
	member        *memberServer
	stream        *eventloop.Stream
	handshakeSeen bool
	job           *emu.Job
	element       linkedlist.Element[*memberConn]
}

// Opened implements eventloop.Handler.
func (conn *memberConn) Opened() {}

// Closed implements eventloop.Handler.
func (conn *memberConn) Closed(error) {
	conn.element.Remove()
	if conn.job != nil {
		conn.member.model.Cancel(conn.job)
	}
}

// Panicked implements eventloop.Handler.
func (conn *memberConn) Panicked(cause error) { conn.stream.Close() }

// Input implements eventloop.Handler.
func (conn *memberConn) Input(in []byte) int {
	m := conn.member
	if m.model.Paused() { // reads again after the pause
		m.cluster.loop.At(m.cluster.loop.Now()+5*time.Millisecond, conn.stream.DeliverInput)
		return 0
	}
	if !conn.handshakeSeen {
		_, size, err := pgwire.First(in)
		if err != nil {
			conn.stream.Close()
			return 0
		}
		if size > 0 {
			conn.completeHandshake()
		}
		return size
	}
	if conn.job != nil {
		return 0
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size > 0 && kind != 'Q' {
		conn.stream.CloseWhenSent()
		return len(in)
	}
	if size > 0 {
		conn.handleQuery(string(body[:max(len(body)-1, 0)]))
	}
	return size
}

// completeHandshake lets a connection in after the member has done the work for it.
func (conn *memberConn) completeHandshake() {
	m := conn.member
	conn.handshakeSeen = true
	m.count(emu.Handshakes, 1)
	if m.model.Spec.Handshake == 0 {
		conn.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		return
	}
	conn.job = &emu.Job{OpensConnection: true, Work: m.model.Spec.Handshake, Done: func(r emu.Result) {
		conn.job = nil
		if r.Outcome != driver.OK {
			conn.stream.Send(pgwire.AppendError(nil, true, "53300", "no room", -1))
			conn.stream.CloseWhenSent()
			return
		}
		conn.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		m.cluster.loop.Defer(conn.stream.DeliverInput)
	}}
	m.submit(conn.job)
}

// appendStatus appends the role, position and load that a member reports with every answer.
func (conn *memberConn) appendStatus(out []byte, role driver.Role, position time.Duration, load float64) []byte {
	name := map[driver.Role]string{driver.Primary: "leader", driver.Replica: "follower"}[role]
	leads := map[driver.Role]int{driver.Primary: 1}[role]
	out = pgwire.AppendParameter(out, "node_role", name)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(position/time.Millisecond), 10))
	return pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,util=%.2f", position.Seconds(), leads, load))
}

func (conn *memberConn) handleQuery(text string) {
	m := conn.member
	c := m.cluster
	if text == "" {
		m.count(emu.Probes, 1)
		out := conn.appendStatus(pgwire.AppendHead(nil, 'I', 0), m.model.Role(), m.model.Position(), m.model.Load())
		conn.stream.Send(pgwire.AppendReady(out))
		return
	}
	values := make(map[string]string)
	_, ok := pgwire.Comment([]byte(text), func(name, value []byte, _, _ int) { values[string(name)] = string(value) })
	method := c.script.method(values["c"])
	if !ok || method == nil {
		conn.stream.Send(pgwire.AppendReady(pgwire.AppendError(nil, false, "08P01", "no comment that can be read", -1)))
		return
	}
	now, id := c.loop.Now(), values["id"]
	after, _ := strconv.ParseInt(values["after"], 10, 64)
	job := &emu.Job{
		RPC: id, Token: values["k"], Write: method.Need == "write", After: time.Duration(after) * time.Millisecond,
		Work: method.Work[0] + time.Duration(c.rng.Float()*float64(method.Work[1]-method.Work[0])),
	}
	if method.Need == "bounded" {
		job.After = now - method.Bound
	}
	c.record.AttemptArrived(id, m.model.Name, now)
	m.count(emu.Attempts, 1)
	if change := m.ownChange(); change != nil && c.elapsed() < change.At+firstPeriod {
		change.Attempts++
	}
	switch isPrimary := m.model.Role() == driver.Primary; {
	case m.model.Draining():
		m.count(emu.DrainedAttempts, 1)
	case job.Write && !isPrimary && m.wasPrimary:
		m.count(emu.FormerPrimaryWrites, 1)
	case job.Write && !isPrimary:
		m.count(emu.ExploratoryWrites, 1)
	}
	if m.model.Role() == driver.Primary {
		m.wasPrimary = true
		clear(m.disclaimedTo)
	}
	excused := m.wasPrimary && !m.disclaimedTo[c.record.DriverOf(id)] // the driver may still believe that it is the primary
	job.Done = func(r emu.Result) { conn.answer(id, job, r, excused) }
	conn.job = job
	m.submit(job)
}

func (conn *memberConn) answer(id string, job *emu.Job, r emu.Result, excused bool) {
	c := conn.member.cluster
	if r.Outcome == driver.OK {
		stale := ""
		if !job.Write && !excused && job.After > r.ActualPosition+5*time.Millisecond {
			stale = fmt.Sprintf("lacks the last %v", (job.After - r.ActualPosition).Round(time.Millisecond))
		}
		c.record.AttemptRan(id, r.Effect, stale)
		if job.Write {
			conn.member.noteWrite(c.record.DriverOf(id))
		}
	}
	if conn.job != job {
		return
	}
	conn.job = nil
	if r.Role == driver.Replica {
		conn.member.disclaimedTo[c.record.DriverOf(id)] = true
	}
	var out []byte
	if code := map[driver.Outcome]string{driver.Misdirected: "72000", driver.Full: "53300", driver.Failed: "XX000"}[r.Outcome]; code != "" {
		if job.Write && r.Outcome == driver.Misdirected {
			code = "25006"
		} else if r.Outcome == driver.Misdirected {
			conn.member.count(emu.LaggingReads, 1)
		} else if r.Outcome == driver.Full {
			conn.member.count(emu.QueueFull, 1)
		}
		out = pgwire.AppendError(nil, false, code, "no", -1)
	} else {
		out = row("value of " + id)
	}
	out = conn.appendStatus(out, r.Role, r.ReportedPosition, r.Load)
	conn.stream.Send(pgwire.AppendReady(out))
	c.loop.Defer(conn.stream.DeliverInput)
}

// row encodes a result of one row with one column.
func row(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1, byte(len(value)>>24), byte(len(value)>>16), byte(len(value)>>8), byte(len(value)))
	out = append(out, value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

// discoveryAgent is discovery as one driver sees it.
type discoveryAgent struct {
	cluster     *Cluster
	number      int
	driver      string
	watchers    []*watcher
	silentUntil time.Duration // it answers nothing before then
	lastList    []byte        // endpoint list as last sent
	firstList   []byte        // endpoint list of the driver's first start
}

type watcher struct {
	agent        *discoveryAgent
	stream       *eventloop.Stream
	fromRevision int
	timer        eventloop.Timer
}

// Opened implements eventloop.Handler.
func (w *watcher) Opened() {}

// Panicked implements eventloop.Handler.
func (w *watcher) Panicked(cause error) { w.stream.Close() }

// Closed implements eventloop.Handler.
func (w *watcher) Closed(error) { w.stopWaiting() }

func (w *watcher) stopWaiting() {
	w.agent.cluster.loop.Cancel(w.timer)
	for i, o := range w.agent.watchers {
		if o == w {
			w.agent.watchers = append(w.agent.watchers[:i], w.agent.watchers[i+1:]...)
			return
		}
	}
}

// Input implements eventloop.Handler.
func (w *watcher) Input(in []byte) int {
	c := w.agent.cluster
	r, fault := httpwire.Next(in, httpwire.Limits{Target: 1000, Head: 4000, Fields: 50, Body: 1000})
	if fault != nil {
		w.stream.Close()
		return 0
	}
	if r.Size > 0 {
		c.ledger.Add(emu.Lists, w.agent.driver, c.loop.Now(), 1)
	}
	if r.Size == 0 || c.loop.Now() < w.agent.silentUntil {
		return r.Size
	}
	_, query, watches := strings.Cut(string(r.Target), "?")
	if !watches {
		w.answer(0)
		return r.Size
	}
	hold := 0
	fmt.Sscanf(query, "from=%d&hold_ms=%d", &w.fromRevision, &hold)
	if w.fromRevision < c.revision {
		w.answer(w.fromRevision)
		return r.Size
	}
	w.agent.watchers = append(w.agent.watchers, w)
	w.timer = c.loop.At(c.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		w.stopWaiting()
		w.answer(w.fromRevision)
	})
	return r.Size
}

// notifyWatchers answers all requests that wait for a change.
func (a *discoveryAgent) notifyWatchers() {
	if a.cluster.loop.Now() < a.silentUntil {
		return
	}
	waiting := a.watchers
	a.watchers = nil
	for _, w := range waiting {
		a.cluster.loop.Cancel(w.timer)
		w.answer(w.fromRevision)
	}
}

func (w *watcher) answer(from int) {
	c := w.agent.cluster
	body := c.List(w.agent.number, from)
	w.agent.lastList = c.List(w.agent.number, 0)
	for _, m := range c.members {
		if m.listedRevision > from && m.state != "in_service" {
			c.record.DrainHeard(w.agent.driver, m.model.Name, c.loop.Now())
		} else if m.listedRevision > from {
			c.record.InServiceHeard(w.agent.driver, m.model.Name, c.loop.Now())
		}
	}
	out := httpwire.AppendStatus(nil, 200)
	out = httpwire.AppendField(out, "Content-Type", "application/json")
	w.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
}

// Err returns the error that made the run invalid, or nil.
func (c *Cluster) Err() error { return c.err }

// Ledger returns the counts of members and discovery by second.
func (c *Cluster) Ledger() *emu.Ledger { return c.ledger }

// LastList returns the endpoint list that a driver last received, or the first one if the script starts drivers with
// that.
func (c *Cluster) LastList(driver int) []byte {
	a := c.agents[driver]
	if a.lastList == nil {
		a.lastList = c.List(driver, 0)
	}
	if a.firstList == nil {
		a.firstList = a.lastList
	}
	if c.script.StartWithFirstList {
		return a.firstList
	}
	return a.lastList
}

// List returns discovery's answer to a driver: the whole list for revision 0, else the changes since that revision.
func (c *Cluster) List(driver, from int) []byte {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Group    int     `json:"pod_group"`
		State    string  `json:"state"`
		Size     float64 `json:"capacity_hint"`
		Booted   int64   `json:"boot_ms"`
	}
	targets, zones := []target{}, c.script.zoneNames()
	for _, m := range c.members {
		if from == 0 || m.listedRevision > from {
			at := m.addr
			if c.Address != nil {
				at = c.Address(driver, m.number)
			}
			targets = append(targets, target{m.model.Name, at.String(), zones[c.script.MemberZone(m.number)], m.group, m.state, 1, int64(m.bootedAt / time.Millisecond)})
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": c.revision, "all": from == 0, "targets": targets})
	return body
}
