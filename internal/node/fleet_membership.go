package node

import (
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/draingossip"
	"passtack/internal/loop"
	"passtack/internal/membership"
	"passtack/internal/peers"
)

// view is the driver's view of its fleet, where the operator's file wants one.
type fleetMembership struct {
	*talk
	list            *membership.List
	wakeTimer       loop.Due
	loggedByStatus  map[membership.Status]int // lines of late, by status
	loggedSince     time.Duration
	requestsBefore  int // taken until the latest look
	summarizedAt    time.Duration
	drainGossip     *drainGossip
	shards          *membership.Shards
	connectionShard int // connections at one member that are this driver's part; 0: not bounded
}

const (
	summaryInterval  = 500 * time.Millisecond // between two looks at what this driver says of itself
	maxChangesLogged = 10                     // lines of changes of one kind in quietFor
)

// viewFleet begins.
func (n *Node) joinFleet() {
	w := n.config.View
	if w == nil {
		return
	}
	v := &fleetMembership{talk: n.talk, loggedByStatus: make(map[membership.Status]int), summarizedAt: n.loop.Now()}
	n.membership = v
	v.shards = membership.NewShards(w.Every)
	v.drainGossip = &drainGossip{membership: v, tracker: draingossip.NewTracker(), members: make(map[draingossip.MemberID]listedMember)}
	v.list = membership.New(v, n.site.Name, membership.Config{ProbeInterval: w.Every, Incarnation: n.talk.life}, n.site.Seed+101, n.loop.Now())
	v.updateSummary()
	v.scheduleWake()
}

// Peers counts the addresses that the platform gives.
func (v *fleetMembership) PeerCount() int { return len(v.node.site.Peers) }

func (v *fleetMembership) Send(to driver.Peer, text []byte) { v.write(to, peers.Membership, text) }

// Changed logs what has changed, few lines however many changes there are.
func (v *fleetMembership) StatusChanged(e membership.Entry, why string) {
	now := v.node.loop.Now()
	v.node.Count("fleet_" + e.Status.String())
	if now-v.loggedSince > quietFor {
		v.loggedSince = now
		clear(v.loggedByStatus)
	}
	if v.loggedByStatus[e.Status]++; v.loggedByStatus[e.Status] <= maxChangesLogged {
		slog.Info("fleet_changed", "driver", e.Name, "is", e.Status, "life", e.Incarnation, "incarnation", e.Refutation, "why", why)
	} else {
		v.node.Count("lines_repeated")
	}
}

// say tells the others how this driver is, when that has changed.
func (v *fleetMembership) updateSummary() {
	n, now := v.node, v.node.loop.Now()
	load := 0.0
	if spent := (now - v.summarizedAt).Seconds(); spent > 0 {
		load = float64(n.counters["rpcs_taken"]-v.requestsBefore) / spent
	}
	v.requestsBefore, v.summarizedAt = n.counters["rpcs_taken"], now
	v.list.UpdateSummary(membership.Summary{ReadyPercent: uint8(n.recovery.Ready() * 100), RequestRate: uint16(min(load, 65535)), ListRevision: uint32(n.list.Rev())})
	v.updateConnectionShard()
	n.loop.At(now+min(summaryInterval, n.config.View.Every), v.updateSummary)
}

// share bounds this driver's connections at each member by its part of what that takes from all.
func (v *fleetMembership) updateConnectionShard() {
	n, now := v.node, v.node.loop.Now()
	v.shards.Observe(v.list.ActiveCount(), v.PeerCount(), now)
	if n.config.View.Connections == 0 || v.PeerCount() == 0 { // nobody tells how many drivers there may be
		return
	}
	each := v.shards.Size(n.config.View.Connections, now)
	if each != v.connectionShard {
		slog.Info("fleet_part", "connections", each, "whole", v.shards.InMajority(now), "living", v.list.ActiveCount())
		v.connectionShard = each
		n.connectLimiter.Limit(each)
	}
	for _, p := range n.pools {
		p.Trim()
	}
}

func (v *fleetMembership) receive(from driver.Peer, text []byte) {
	v.list.Receive(from, text, v.node.loop.Clock())
	v.scheduleWake()
}

func (v *fleetMembership) scheduleWake() {
	l := v.node.loop
	l.Forget(v.wakeTimer)
	v.wakeTimer = l.At(max(v.list.NextWake(), l.Now()+time.Millisecond), func() {
		v.wakeTimer = nil
		v.list.Wake(l.Clock())
		v.scheduleWake()
	})
}

// View gives the driver's view of its fleet, nil where it has none.
func (n *Node) Membership() *membership.List {
	if n.membership == nil {
		return nil
	}
	return n.membership.list
}

// DriverStatus is one driver as another one sees it.
type DriverStatus struct {
	Name         string
	Status       string
	Reason       string `json:"Cause"` // why its status changed last
	Self         bool
	Incarnation  uint64 `json:"Life"`        // of the process
	Refutation   uint32 `json:"Incarnation"` // raised by the driver to refute that it is suspect or dead
	StatusAgeMS  int64  `json:"ForMS"`
	LastHeardMS  int64  `json:"HeardMS"` // how long ago
	Ready        float64
	RequestRate  int `json:"Load"`     // RPCs a second
	ListRevision int `json:"Revision"` // of its endpoint list
}

// FleetStatus is a driver's membership list, as the control endpoint shows it.
type FleetStatus struct {
	Name            string
	ActiveCount     int    `json:"Living"`
	ConnectionShard int    `json:"Part"`  // connections at one member, 0: not bounded
	InMajority      bool   `json:"Whole"` // the shard includes what is for drivers that see a majority
	Checksum        uint64 `json:"Sum"`   // equal lists have equal checksums
	Pauses          int    `json:"Halts"` // times that the process was suspended or starved
	Sent            int    // messages
	SentBytes       int    `json:"Bytes"`
	Received        int    `json:"Taken"`
	Malformed       int    `json:"Unread"` // messages received that could not be decoded

	Drivers []DriverStatus `json:"All"`
}

func (v *fleetMembership) status() FleetStatus {
	f := v.list
	stats := f.Stats()
	s := FleetStatus{Name: v.node.site.Name, ActiveCount: f.ActiveCount(), ConnectionShard: v.connectionShard, InMajority: v.shards.InMajority(v.node.loop.Now()), Checksum: f.Checksum(), Pauses: stats.Pauses, Sent: stats.Sent, SentBytes: stats.SentBytes, Received: stats.Received, Malformed: stats.Malformed}
	for _, k := range f.Nodes(v.node.loop.Clock()) {
		s.Drivers = append(s.Drivers, DriverStatus{Name: k.Name, Status: k.Status.String(), Reason: k.Reason, Self: k.Self, Incarnation: k.Incarnation, Refutation: k.Refutation,
			StatusAgeMS: k.StatusAge.Milliseconds(), LastHeardMS: k.LastHeardAgo.Milliseconds(), Ready: float64(k.Summary.ReadyPercent) / 100, RequestRate: int(k.Summary.RequestRate), ListRevision: int(k.Summary.ListRevision)})
	}
	return s
}
