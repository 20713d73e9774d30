// Package play puts the models of emu behind sockets, beside drivers and clients, and plays scripts on them.
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

// timer gives the models their time from a loop.
type timer struct{ loop *eventloop.Loop }

// Now implements emu.Timer by the loop's clock.
func (t timer) Now() time.Duration { return t.loop.Now() }

// At implements emu.Timer by the loop's timers.
func (t timer) At(at time.Duration, act func()) { t.loop.At(at, act) }

// Cluster is all members and discovery, on one loop: simulated or real.
type Cluster struct {
	loop    *eventloop.Loop
	script  *Script
	record  *emu.Record
	chance  *pcg.Source
	groups  []*emu.Group
	members []*served
	agents  []*agent
	rev     int
	old     time.Duration // until when discovery hears of no change
	fault   error
	ledger  *emu.Ledger
	began   time.Duration
	Course  Course
	changes []*Change

	// Address tells where a driver reaches a member; nil: where it listens.
	Address func(driver, member int) netip.AddrPort
}

// served is one member behind its address.
type served struct {
	cluster  *Cluster
	number   int
	model    *emu.Member
	group    int
	at       netip.AddrPort
	listener *eventloop.Listener
	conns    linkedlist.List[*conn]
	state    string
	bootedAt time.Duration
	listed   int             // rev of its latest change
	led      bool            // it has been primary
	denied   map[string]bool // drivers that it has told since that it is none
}

// NewCluster listens for all members of the script's groups, and for discovery at the agents' addresses.
func NewCluster(l *eventloop.Loop, s *Script, r *emu.Record, seed uint64, place func(n int) netip.AddrPort, agents []netip.AddrPort) (*Cluster, error) {
	c := &Cluster{loop: l, script: s, record: r, chance: pcg.New(seed), rev: 1, ledger: emu.NewLedger(l.Now()), began: l.Now()}
	for g := range s.Groups {
		var models []*emu.Member
		for range s.Members {
			m := &served{cluster: c, number: len(c.members), group: g, at: place(len(c.members)), state: "in_service", denied: make(map[string]bool)}
			m.model = emu.NewMember(fmt.Sprint("m", len(c.members)), s.Build, timer{l}, c.chance)
			models = append(models, m.model)
			c.members = append(c.members, m)
			if err := m.listen(); err != nil {
				return nil, err
			}
		}
		group := emu.NewGroup(driver.Group(g), s.Election, timer{l}, c.chance, models...)
		group.Changed = func(primary *emu.Member) {
			if primary == nil {
				c.note(fmt.Sprint("group ", g), "has no primary")
			} else {
				c.note(primary.Name, "is primary of group %d", g)
				c.changed(g, primary)
			}
		}
		c.groups = append(c.groups, group)
	}
	for i, at := range agents {
		a := &agent{cluster: c, number: i, driver: Driver(i)}
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

func (m *served) listen() (err error) {
	m.listener, err = m.cluster.loop.Listen(m.at, pgwire.MaxMessageLength+1, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) {
		k := &conn{member: m}
		if k.stream = open(k); k.stream == nil {
			return
		}
		if most := m.model.Build.Connections; most > 0 && m.conns.Len() >= most {
			m.count(emu.TurnedAway, 1)
			k.stream.Send(pgwire.AppendError(nil, true, "53300", "too many connections", -1))
			k.stream.CloseWhenSent()
			return
		}
		k.place.Value = k
		m.conns.PushBack(&k.place)
		m.count(emu.Connects, 1)
		if change := m.changeTo(); change != nil && m.cluster.at() < change.At+early {
			change.Connects++
		}
		m.cluster.ledger.Most(emu.OpenMost, m.model.Name, m.cluster.loop.Now(), float64(m.conns.Len()))
	}, func(bool) {})
	return err
}

// Begin lets the script's time begin now.
func (c *Cluster) Begin() {
	c.began, c.ledger = c.loop.Now(), emu.NewLedger(c.loop.Now())
}

func (c *Cluster) note(who, format string, args ...any) {
	c.Course.Note(c.loop.Now()-c.began, who, format, args...)
}

// count adds to what the ledger has of the member.
func (m *served) count(what string, n float64) {
	m.cluster.ledger.Add(what, m.model.Name, m.cluster.loop.Now(), n)
}

// take hands work to the model; a member that falls over takes none.
func (m *served) take(j *emu.Job) {
	if !m.model.Take(j) {
		if m.model.Tipped() {
			m.cluster.record.Tipped(m.model.Name)
			m.cluster.note(m.model.Name, "falls over: it was sent too much while cold")
		}
		m.die()
		return
	}
	m.cluster.ledger.Most(emu.ColdPart, m.model.Name, m.cluster.loop.Now(), m.model.ColdPart())
}

// die ends the member's process; Tipped is noted by the caller's look at the model.
func (m *served) die() {
	if m.listener != nil {
		m.listener.Close()
		m.listener = nil
	}
	for at := m.conns.Front(); at != nil; at = m.conns.Front() {
		at.Remove()
		at.Value.stream.Close()
	}
	if m.model.Up() {
		m.model.Die()
	}
}

func (m *served) start(copyAge time.Duration) {
	if m.model.Up() {
		return
	}
	m.model.Start(copyAge)
	m.bootedAt = m.cluster.loop.Now()
	if err := m.listen(); err != nil {
		m.cluster.fault = err
	}
	m.cluster.list(m, "in_service")
}

// list changes what discovery says of a member; it becomes known after the script's delay.
func (c *Cluster) list(m *served, state string) {
	c.loop.At(max(c.loop.Now()+c.script.ListDelay, c.old), func() {
		if c.loop.Now() < c.old {
			c.list(m, state)
			return
		}
		c.rev++
		m.state, m.listed = state, c.rev
		c.note("discovery", "lists %s as %s, revision %d", m.model.Name, state, c.rev)
		for _, a := range c.agents {
			a.tell()
		}
	})
}

// conn is one connection to a member.
type conn struct {
	member  *served
	stream  *eventloop.Stream
	welcome bool
	job     *emu.Job
	place   linkedlist.Element[*conn]
}

// Opened implements eventloop.Handler.
func (k *conn) Opened() {}

// Closed implements eventloop.Handler.
func (k *conn) Closed(error) {
	k.place.Remove()
	if k.job != nil {
		k.member.model.Drop(k.job)
	}
}

// Panicked implements eventloop.Handler.
func (k *conn) Panicked(cause error) { k.stream.Close() }

// Input implements eventloop.Handler.
func (k *conn) Input(in []byte) int {
	m := k.member
	if m.model.Paused() { // it reads when it goes on
		m.cluster.loop.At(m.cluster.loop.Now()+5*time.Millisecond, k.stream.DeliverInput)
		return 0
	}
	if !k.welcome {
		_, size, err := pgwire.First(in)
		if err != nil {
			k.stream.Close()
			return 0
		}
		if size > 0 {
			k.greet()
		}
		return size
	}
	if k.job != nil {
		return 0
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size > 0 && kind != 'Q' {
		k.stream.CloseWhenSent()
		return len(in)
	}
	if size > 0 {
		k.asked(string(body[:max(len(body)-1, 0)]))
	}
	return size
}

// greet lets a connection in, once the member has done the work for it.
func (k *conn) greet() {
	m := k.member
	k.welcome = true
	m.count(emu.Handshakes, 1)
	if m.model.Build.Handshake == 0 {
		k.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		return
	}
	k.job = &emu.Job{Hello: true, Work: m.model.Build.Handshake, Done: func(r emu.Result) {
		k.job = nil
		if r.How != driver.OK {
			k.stream.Send(pgwire.AppendError(nil, true, "53300", "no room", -1))
			k.stream.CloseWhenSent()
			return
		}
		k.stream.Send(pgwire.AppendAuthenticationOK(nil, 1, 1))
		m.cluster.loop.Defer(k.stream.DeliverInput)
	}}
	m.take(k.job)
}

// told is what a member says of itself beside every answer.
func (k *conn) told(out []byte, role driver.Role, position time.Duration, load float64) []byte {
	name := map[driver.Role]string{driver.Primary: "leader", driver.Replica: "follower"}[role]
	leads := map[driver.Role]int{driver.Primary: 1}[role]
	out = pgwire.AppendParameter(out, "node_role", name)
	out = pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(position/time.Millisecond), 10))
	return pgwire.AppendParameter(out, "server_load", fmt.Sprintf("x0=%.3f,x1=%d,util=%.2f", position.Seconds(), leads, load))
}

func (k *conn) asked(text string) {
	m := k.member
	c := m.cluster
	if text == "" {
		m.count(emu.Probes, 1)
		out := k.told(pgwire.AppendHead(nil, 'I', 0), m.model.Role(), m.model.Position(), m.model.Load())
		k.stream.Send(pgwire.AppendReady(out))
		return
	}
	values := make(map[string]string)
	_, ok := pgwire.Comment([]byte(text), func(name, value []byte, _, _ int) { values[string(name)] = string(value) })
	method := c.script.method(values["c"])
	if !ok || method == nil {
		k.stream.Send(pgwire.AppendReady(pgwire.AppendError(nil, false, "08P01", "no comment that can be read", -1)))
		return
	}
	now, id := c.loop.Now(), values["id"]
	after, _ := strconv.ParseInt(values["after"], 10, 64)
	job := &emu.Job{
		RPC: id, Token: values["k"], Write: method.Need == "write", After: time.Duration(after) * time.Millisecond,
		Work: method.Work[0] + time.Duration(c.chance.Float()*float64(method.Work[1]-method.Work[0])),
	}
	if method.Need == "bounded" {
		job.After = now - method.Bound
	}
	c.record.Arrived(id, m.model.Name, now)
	m.count(emu.Attempts, 1)
	if change := m.changeTo(); change != nil && c.at() < change.At+early {
		change.Attempts++
	}
	switch isPrimary := m.model.Role() == driver.Primary; {
	case m.model.Drains():
		m.count(emu.Drained, 1)
	case job.Write && !isPrimary && m.led:
		m.count(emu.Stale, 1)
	case job.Write && !isPrimary:
		m.count(emu.Scouts, 1)
	}
	if m.model.Role() == driver.Primary {
		m.led = true
		clear(m.denied)
	}
	excused := m.led && !m.denied[c.record.DriverOf(id)] // the driver may still take it for the primary
	job.Done = func(r emu.Result) { k.answer(id, job, r, excused) }
	k.job = job
	m.take(job)
}

func (k *conn) answer(id string, job *emu.Job, r emu.Result, excused bool) {
	c := k.member.cluster
	if r.How == driver.OK {
		stale := ""
		if !job.Write && !excused && job.After > r.Truth+5*time.Millisecond {
			stale = fmt.Sprintf("lacks the last %v", (job.After - r.Truth).Round(time.Millisecond))
		}
		c.record.Ran(id, r.Effect, stale)
		if job.Write {
			k.member.wrote(c.record.DriverOf(id))
		}
	}
	if k.job != job {
		return
	}
	k.job = nil
	if r.Role == driver.Replica {
		k.member.denied[c.record.DriverOf(id)] = true
	}
	var out []byte
	if code := map[driver.Outcome]string{driver.Misdirected: "72000", driver.Full: "53300", driver.Failed: "XX000"}[r.How]; code != "" {
		if job.Write && r.How == driver.Misdirected {
			code = "25006"
		} else if r.How == driver.Misdirected {
			k.member.count(emu.Behind, 1)
		} else if r.How == driver.Full {
			k.member.count(emu.Fulls, 1)
		}
		out = pgwire.AppendError(nil, false, code, "no", -1)
	} else {
		out = row("value of " + id)
	}
	out = k.told(out, r.Role, r.Position, r.Load)
	k.stream.Send(pgwire.AppendReady(out))
	c.loop.Defer(k.stream.DeliverInput)
}

// row is one row of one column.
func row(value string) []byte {
	out := append(pgwire.AppendHead(nil, 'T', 2+4+18), 0, 1, 'd', 'o', 'c', 0)
	out = append(out, make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(value)), 0, 1, byte(len(value)>>24), byte(len(value)>>16), byte(len(value)>>8), byte(len(value)))
	out = append(out, value...)
	return append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
}

// agent is discovery as one driver sees it.
type agent struct {
	cluster *Cluster
	number  int
	driver  string
	waiting []*watcher
	down    time.Duration // until when it says nothing
	known   []byte        // the list as it has told it
	first   []byte        // with which the driver was started first
}

type watcher struct {
	agent  *agent
	stream *eventloop.Stream
	from   int
	due    eventloop.Timer
}

// Opened implements eventloop.Handler.
func (w *watcher) Opened() {}

// Panicked implements eventloop.Handler.
func (w *watcher) Panicked(cause error) { w.stream.Close() }

// Closed implements eventloop.Handler.
func (w *watcher) Closed(error) { w.leave() }

func (w *watcher) leave() {
	w.agent.cluster.loop.Cancel(w.due)
	for i, o := range w.agent.waiting {
		if o == w {
			w.agent.waiting = append(w.agent.waiting[:i], w.agent.waiting[i+1:]...)
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
	if r.Size == 0 || c.loop.Now() < w.agent.down {
		return r.Size
	}
	_, query, watches := strings.Cut(string(r.Target), "?")
	if !watches {
		w.answer(0)
		return r.Size
	}
	hold := 0
	fmt.Sscanf(query, "from=%d&hold_ms=%d", &w.from, &hold)
	if w.from < c.rev {
		w.answer(w.from)
		return r.Size
	}
	w.agent.waiting = append(w.agent.waiting, w)
	w.due = c.loop.At(c.loop.Now()+time.Duration(hold)*time.Millisecond, func() {
		w.leave()
		w.answer(w.from)
	})
	return r.Size
}

// tell answers all who wait for a change.
func (a *agent) tell() {
	if a.cluster.loop.Now() < a.down {
		return
	}
	waiting := a.waiting
	a.waiting = nil
	for _, w := range waiting {
		a.cluster.loop.Cancel(w.due)
		w.answer(w.from)
	}
}

func (w *watcher) answer(from int) {
	c := w.agent.cluster
	body := c.List(w.agent.number, from)
	w.agent.known = c.List(w.agent.number, 0)
	for _, m := range c.members {
		if m.listed > from && m.state != "in_service" {
			c.record.Told(w.agent.driver, m.model.Name, c.loop.Now())
		} else if m.listed > from {
			c.record.Untold(w.agent.driver, m.model.Name, c.loop.Now())
		}
	}
	out := httpwire.AppendStatus(nil, 200)
	out = httpwire.AppendField(out, "Content-Type", "application/json")
	w.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
}

// Fault is what has broken the play itself, nil while nothing has.
func (c *Cluster) Fault() error { return c.fault }

// Ledger has what members and discovery saw by second.
func (c *Cluster) Ledger() *emu.Ledger { return c.ledger }

// Known is the list as a driver last had it.
func (c *Cluster) Known(driver int) []byte {
	a := c.agents[driver]
	if a.known == nil {
		a.known = c.List(driver, 0)
	}
	if a.first == nil {
		a.first = a.known
	}
	if c.script.KnownFirst {
		return a.first
	}
	return a.known
}

// List is what discovery says to a driver: the whole list from 0, else what has changed since.
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
		if from == 0 || m.listed > from {
			at := m.at
			if c.Address != nil {
				at = c.Address(driver, m.number)
			}
			targets = append(targets, target{m.model.Name, at.String(), zones[c.script.MemberZone(m.number)], m.group, m.state, 1, int64(m.bootedAt / time.Millisecond)})
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": c.rev, "all": from == 0, "targets": targets})
	return body
}
