package node

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/lease"
	"passtack/internal/loop"
	"passtack/internal/operator"
	"passtack/internal/peers"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// leases is the driver's part in the leases of its fleet, where the operator's file says so.
type leases struct {
	*talk
	wants  *operator.Leases
	me     lease.Holder
	voter  *lease.Voter
	askers []*lease.Candidate
	tasks  []task // of each
	due    loop.Due
	greets time.Duration // between two greetings while some voter's address is not known
	hushed time.Duration // until when promises that are not kept are not logged

	store   *storage.Store // of promises; nil: there is no folder
	waiting []promised     // not on the disk yet
	out     int            // of them being written
}

// task is what a driver does while it holds a lease.
type task interface {
	gained(number uint64)
	lost()
	heard(from lease.Node, l peers.Message) // a letter for the task
	tell() any                              // for who asks
}

type promised struct {
	lease   string
	promise lease.Promise
	then    func(error)
}

const (
	greeting     = time.Second // between two greetings while some voter's address is not known, which doubles
	mostGreeting = 8 * time.Second
)

// takePart begins.
func (n *Node) takePart() error {
	w := n.config.Leases
	if w == nil {
		return nil
	}
	now := n.loop.Now()
	l := &leases{talk: n.talk, wants: w, me: lease.Holder{Node: lease.Node(n.talk.me), Incarnation: n.talk.life}}
	kept := make(map[string]lease.Promise)
	if w.Folder != "" {
		store, found, err := n.openFolder(w.Folder, leaseFolder)
		if err != nil { // as if it had none: it is silent for the longest lease in any case
			slog.Warn("promises_unusable", "folder", w.Folder, "cause", err)
			n.Count("promises_unusable")
		}
		for _, lost := range found.Unreadable {
			slog.Warn("promises_lost", "file", lost)
		}
		if l.store = store; store != nil {
			kept = persist.RestorePromises(store)
		}
	}
	l.voter = lease.NewVoter(l, l.me.Node, w.Set(), w.Longest, kept, now)
	for i, t := range w.Tasks {
		l.askers = append(l.askers, lease.NewCandidate(l, l.me, t.Name, w.Lasts, w.Set(), n.site.Seed+uint64(i)+1))
		l.tasks = append(l.tasks, l.newTask(i, t))
		l.askers[i].Campaign(now)
	}
	n.leases = l
	l.greet()
	l.plan()
	return nil
}

const leaseFolder = 1 << 20 // bytes that promises may take

// newTask makes what the holder does.
func (l *leases) newTask(i int, t operator.Task) task {
	if t.Name == operator.WatchDiscovery {
		return newWatcher(l, i)
	}
	return newSummary(l, i, t)
}

// clock is the time of this moment: a promise or a guard that went by the turn's would take a turn that stood still for a short one.
func (l *leases) clock() time.Duration { return l.node.loop.Clock() }

// held is the guard of a task.
func (l *leases) held(i int) (number uint64, ok bool) { return l.askers[i].Held(l.clock()) }

// greet lets voters tell where they are, and others learn where this driver is.
func (l *leases) greet() {
	n := l.node
	missing := slices.ContainsFunc(l.wants.Set().All(), func(v lease.Node) bool {
		_, known := l.book.Address(uint64(v))
		return v != l.me.Node && !known
	})
	if missing || l.voter.IsVoter() && l.voter.SilentFor(l.clock()) > 0 { // a voter that has just started may not be the only one of its name
		n.Count("lease_greetings")
		l.write(driver.EveryPeer, peers.Hello, nil)
		l.greets = min(max(2*l.greets, greeting), mostGreeting)
	} else {
		l.greets = greeting
	}
	n.loop.At(n.loop.Now()+l.greets, l.greet)
}

func (l *leases) read(letter peers.Message) {
	from := lease.Node(letter.From)
	switch letter.Kind {
	case peers.Hello:
		if _, known := l.book.Address(uint64(from)); known && l.voter.IsVoter() && len(letter.Body) == 0 {
			l.say(from, peers.Hello, []byte{1}) // an answer, which is not answered
		}
	case peers.Lease:
		m, ok := lease.ParseMessage(letter.Body)
		if !ok {
			l.node.Count("letters_strange")
			return
		}
		l.hear(from, m)
	default:
		for _, t := range l.tasks {
			t.heard(from, letter)
		}
	}
}

// hear takes what is said about a lease.
func (l *leases) hear(from lease.Node, m lease.Message) {
	if m.Op == lease.Request || m.Op == lease.Release {
		l.voter.Receive(from, m, l.clock())
		return
	}
	for _, a := range l.askers {
		a.Receive(from, m, l.clock())
	}
	l.plan()
}

// say sends to one driver, to this one too.
func (l *leases) say(to lease.Node, kind peers.Kind, body []byte) {
	if to == l.me.Node {
		letter := peers.Message{Kind: kind, From: uint64(l.me.Node), Incarnation: l.me.Incarnation, Body: body}
		l.node.loop.Later(func() { l.read(letter) })
		return
	}
	if at, known := l.book.Address(uint64(to)); known {
		l.write(at, kind, body)
	}
}

// Send is the voter's and the askers' way to others.
func (l *leases) Send(to lease.Node, m lease.Message) {
	l.say(to, peers.Lease, lease.AppendMessage(nil, m))
}

// Keep brings promises to the disk, all that wait together.
func (l *leases) Persist(name string, p lease.Promise, done func(error)) {
	if l.store == nil {
		done(nil)
		return
	}
	l.waiting = append(l.waiting, promised{name, p, done})
	l.commit()
}

func (l *leases) commit() {
	if l.out > 0 || len(l.waiting) == 0 {
		return
	}
	l.out = len(l.waiting)
	var changes []storage.Change
	for _, p := range l.waiting {
		changes = append(changes, persist.PromiseChange(p.lease, p.promise))
	}
	l.node.carry(func() error { return l.store.Commit(changes) }, func(err error, _ time.Duration) {
		done := l.waiting[:l.out]
		l.waiting, l.out = slices.Clone(l.waiting[l.out:]), 0
		if err != nil {
			l.node.Count("promises_not_kept")
			if now := l.node.loop.Now(); now >= l.hushed {
				l.hushed = now + quietFor
				slog.Warn("promises_not_kept", "folder", l.wants.Folder, "cause", err)
			}
		}
		for _, p := range done {
			p.then(err)
		}
		l.commit()
		l.plan()
	})
}

// Gained and Lost are told by the askers.
func (l *leases) Acquired(name string, number uint64) {
	l.node.Count("leases_gained")
	slog.Info("lease_gained", "lease", name, "number", number)
	l.tasks[l.place(name)].gained(number)
}

func (l *leases) Lost(name string, number uint64) {
	l.node.Count("leases_lost")
	slog.Info("lease_lost", "lease", name, "number", number)
	l.tasks[l.place(name)].lost()
}

func (l *leases) place(name string) int {
	return slices.IndexFunc(l.wants.Tasks, func(t operator.Task) bool { return t.Name == name })
}

// plan wakes the askers when it is time.
func (l *leases) plan() {
	loop := l.node.loop
	loop.Forget(l.due)
	l.due = nil
	first, any := time.Duration(0), false
	for _, a := range l.askers {
		if at, ok := a.NextWake(); ok && (!any || at < first) {
			first, any = at, true
		}
	}
	if any {
		l.due = loop.At(max(first, loop.Now()+time.Millisecond), l.wake)
	}
}

func (l *leases) wake() {
	l.due = nil
	for _, a := range l.askers {
		a.Wake(l.clock(), uint64(l.clock()/time.Millisecond))
	}
	l.plan()
}

// change takes over another set of voters.
func (l *leases) change(w *operator.Leases) {
	l.wants = w
	l.voter.ChangeVoters(w.Set())
	for _, a := range l.askers {
		a.ChangeVoters(w.Set())
	}
	slog.Info("voters_changed", "version", w.Version, "voters", len(w.Voters), "former", len(w.Former))
	l.plan()
}

// leave hands over what this driver holds.
func (l *leases) leave() {
	for _, a := range l.askers {
		a.Resign(l.clock())
	}
	l.plan()
}

// LeaseStatus is one lease as a driver sees it. Times are in milliseconds.
type LeaseStatus struct {
	Lease  string
	Holder string // "" where nobody is known to hold
	Number uint64 // where this driver holds
	ForMS  int64  // it has held
	LeftMS int64
	Why    map[string]string // why voters refuse, by name
	Heard  map[string]int64  // how long ago each voter said something
	Task   any
}

// VoteStatus is what a voter has granted.
type VoteStatus struct {
	Lease   string
	Holder  string
	Number  uint64
	LeftMS  int64
	Waiting int
}

// LeasesStatus is what a driver tells of leases.
type LeasesStatus struct {
	Name     string
	Version  uint32
	Voters   []string
	Former   []string
	SilentMS int64 // for which this voter still grants nothing
	Leases   []LeaseStatus
	Votes    []VoteStatus
}

// status tells how leases stand. Names are known of voters and of this driver only; others are told by number.
func (l *leases) status() LeasesStatus {
	now := l.clock()
	name := func(node lease.Node) string {
		for _, v := range slices.Concat(l.wants.Voters, l.wants.Former, []string{l.node.site.Name}) {
			if lease.NodeOf(v) == node {
				return v
			}
		}
		if node == 0 {
			return ""
		}
		return fmt.Sprintf("%016x", uint64(node))
	}
	s := LeasesStatus{Name: l.node.site.Name, Version: l.wants.Version, Voters: l.wants.Voters, Former: l.wants.Former}
	if l.voter.IsVoter() {
		s.SilentMS = l.voter.SilentFor(now).Milliseconds()
		for _, g := range l.voter.Grants(now) {
			s.Votes = append(s.Votes, VoteStatus{g.Lease, name(g.Holder.Node), g.FencingToken, g.Remaining.Milliseconds(), g.Waiting})
		}
	}
	for i, a := range l.askers {
		r := a.Status(now)
		one := LeaseStatus{Lease: r.Lease, Holder: name(r.Holder.Node), Number: r.FencingToken, ForMS: r.HeldFor.Milliseconds(), LeftMS: r.Remaining.Milliseconds(),
			Why: make(map[string]string), Heard: make(map[string]int64), Task: l.tasks[i].tell()}
		for node, why := range r.RejectionReasons {
			one.Why[name(node)] = why.String()
		}
		for node, ago := range r.LastHeard {
			one.Heard[name(node)] = ago.Milliseconds()
		}
		s.Leases = append(s.Leases, one)
	}
	return s
}
