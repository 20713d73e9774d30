package node

import (
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/fleet"
	"passtack/internal/loop"
	"passtack/internal/peers"
)

// view is the driver's view of its fleet, where the operator's file wants one.
type view struct {
	*messenger
	seen   *fleet.View
	due    loop.Due
	told   map[fleet.Status]int // lines of late, by status
	since  time.Duration
	rpcs   int // taken until the latest look
	at     time.Duration
	drains *drains
	parts  *fleet.Parts
	each   int // connections at one member that are this driver's part; 0: not bounded
}

const (
	saying     = 500 * time.Millisecond // between two looks at what this driver says of itself
	mostViewed = 10                     // lines of changes of one kind in quietFor
)

// viewFleet begins.
func (n *Node) viewFleet() {
	w := n.config.Membership
	if w == nil {
		return
	}
	v := &view{messenger: n.messenger, told: make(map[fleet.Status]int), at: n.loop.Now()}
	n.view = v
	v.parts = fleet.NewParts(w.Interval)
	v.drains = &drains{view: v, known: fleet.NewDrains(), places: make(map[uint64]listedAs)}
	v.seen = fleet.New(v, n.site.Name, fleet.Terms{Every: w.Interval, Life: n.messenger.incarnation}, n.site.Seed+101, n.loop.Now())
	v.say()
	v.plan()
}

// Peers counts the addresses that the platform gives.
func (v *view) Peers() int { return len(v.node.site.Peers) }

func (v *view) Send(to driver.Peer, text []byte) { v.send(to, peers.Membership, text) }

// Changed logs what has changed, few lines however many changes there are.
func (v *view) Changed(e fleet.Entry, why string) {
	now := v.node.loop.Now()
	v.node.Count("fleet_" + e.Status.String())
	if now-v.since > quietFor {
		v.since = now
		clear(v.told)
	}
	if v.told[e.Status]++; v.told[e.Status] <= mostViewed {
		slog.Info("fleet_changed", "driver", e.Name, "is", e.Status, "life", e.Life, "incarnation", e.Incarnation, "why", why)
	} else {
		v.node.Count("lines_repeated")
	}
}

// say tells the others how this driver is, when that has changed.
func (v *view) say() {
	n, now := v.node, v.node.loop.Now()
	load := 0.0
	if spent := (now - v.at).Seconds(); spent > 0 {
		load = float64(n.counters["rpcs_taken"]-v.rpcs) / spent
	}
	v.rpcs, v.at = n.counters["rpcs_taken"], now
	v.seen.Say(fleet.Digest{Ready: uint8(n.recovery.Ready() * 100), Load: uint16(min(load, 65535)), Revision: uint32(n.list.Rev())})
	v.share()
	n.loop.At(now+min(saying, n.config.Membership.Interval), v.say)
}

// share bounds this driver's connections at each member by its part of what that takes from all.
func (v *view) share() {
	n, now := v.node, v.node.loop.Now()
	v.parts.See(v.seen.Living(), v.Peers(), now)
	if n.config.Membership.MemberConnections == 0 || v.Peers() == 0 { // nobody tells how many drivers there may be
		return
	}
	each := v.parts.Of(n.config.Membership.MemberConnections, now)
	if each != v.each {
		slog.Info("fleet_part", "connections", each, "whole", v.parts.Whole(now), "living", v.seen.Living())
		v.each = each
		n.members.connectLimiter.SetMemberLimit(each)
	}
	for _, p := range n.members.pools {
		p.Trim()
	}
}

func (v *view) take(from driver.Peer, text []byte) {
	v.seen.Take(from, text, v.node.loop.Clock())
	v.plan()
}

func (v *view) plan() {
	l := v.node.loop
	l.Forget(v.due)
	v.due = l.At(max(v.seen.Wakes(), l.Now()+time.Millisecond), func() {
		v.due = nil
		v.seen.Wake(l.Clock())
		v.plan()
	})
}

// View gives the driver's view of its fleet, nil where it has none.
func (n *Node) View() *fleet.View {
	if n.view == nil {
		return nil
	}
	return n.view.seen
}

// SeenDriver is one driver in another's view. Times are in milliseconds.
type SeenDriver struct {
	Name, Status, Cause string
	Self                bool
	Life                uint64
	Incarnation         uint32
	ForMS, HeardMS      int64
	Ready               float64
	Load, Revision      int
}

// FleetStatus is a driver's view.
type FleetStatus struct {
	Name   string
	Living int
	Part   int    // connections at one member, 0: not bounded
	Whole  bool   // it has a part of what is for those who see more than half
	Sum    uint64 // equal views have equal sums
	Halts  int
	Sent   int
	Bytes  int
	Taken  int
	Unread int // messages that could not be read
	All    []SeenDriver
}

func (v *view) status() FleetStatus {
	f := v.seen
	s := FleetStatus{Name: v.node.site.Name, Living: f.Living(), Part: v.each, Whole: v.parts.Whole(v.node.loop.Now()), Sum: f.Sum(), Halts: f.Halts, Sent: f.Sent, Bytes: f.Bytes, Taken: f.Taken, Unread: f.Refused}
	for _, k := range f.All(v.node.loop.Clock()) {
		s.All = append(s.All, SeenDriver{Name: k.Name, Status: k.Status.String(), Cause: k.Cause, Self: k.Self, Life: k.Life, Incarnation: k.Incarnation,
			ForMS: k.Since.Milliseconds(), HeardMS: k.Heard.Milliseconds(), Ready: float64(k.Digest.Ready) / 100, Load: int(k.Digest.Load), Revision: int(k.Digest.Revision)})
	}
	return s
}
