package node

import (
	"log/slog"
	"math"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/membership"
	"passtack/internal/peers"
)

// fleetMembership runs the driver's membership list, if the operator's file has a block view. It implements membership.Host.
type fleetMembership struct {
	node        *Node
	messenger   *messenger
	list        *membership.List
	wakeTimer   eventloop.Timer
	statusLog   driverStatusLog
	requestRate requestRate
	shard       connectionShard
	drainGossip *drainGossip
}

// summaryInterval is the time between two updates of the driver's own summary. If the probe interval is shorter, it is used instead.
const summaryInterval = 500 * time.Millisecond

// joinFleet starts the membership list, if the operator's file has a block view.
func (n *Node) joinFleet() {
	config := n.config.Membership
	if config == nil {
		return
	}
	f := &fleetMembership{
		node: n, messenger: n.messenger,
		statusLog:   driverStatusLog{lines: make(map[membership.Status]int)},
		requestRate: requestRate{countedAt: n.loop.Now()},
		shard:       connectionShard{node: n, shards: membership.NewShards(config.Interval)},
	}
	listConfig := membership.Config{ProbeInterval: config.Interval, Incarnation: n.messenger.incarnation}
	f.list = membership.New(f, n.site.Name, listConfig, n.site.Seed+101, n.loop.Now())
	f.drainGossip = newDrainGossip(n, f.list)
	n.membership = f
	f.updateSummary()
	f.scheduleWake()
}

// PeerCount returns the number of drivers' addresses in the platform's file.
func (f *fleetMembership) PeerCount() int { return len(f.node.site.Peers) }

// Send sends a datagram of the membership list.
func (f *fleetMembership) Send(to driver.Peer, datagram []byte) {
	f.messenger.send(to, peers.Membership, datagram)
}

// StatusChanged counts and logs a change of another driver's status.
func (f *fleetMembership) StatusChanged(e membership.Entry, reason string) {
	f.node.Count("fleet_" + e.Status.String())
	if f.statusLog.allow(e.Status, f.node.loop.Now()) {
		slog.Info("driver status changed", "driver", e.Name, "status", e.Status, "incarnation", e.Incarnation, "refutation", e.Refutation, "reason", reason)
	} else {
		f.node.Count("log_lines_repeated")
	}
}

// receive processes a datagram of the membership list from another driver.
func (f *fleetMembership) receive(from driver.Peer, datagram []byte) {
	f.list.Receive(from, datagram, f.node.loop.Clock())
	f.scheduleWake()
}

// scheduleWake sets the timer for the next wake time of the list.
func (f *fleetMembership) scheduleWake() {
	l := f.node.loop
	l.Cancel(f.wakeTimer)
	f.wakeTimer = l.At(max(f.list.NextWake(), l.Now()+time.Millisecond), func() {
		f.wakeTimer = nil
		f.list.Wake(l.Clock())
		f.scheduleWake()
	})
}

// updateSummary publishes this driver's readiness and request rate, updates its connection shard and schedules its next call.
func (f *fleetMembership) updateSummary() {
	n, now := f.node, f.node.loop.Now()
	rate := f.requestRate.update(n.counters["rpcs_taken"], now)
	f.list.UpdateSummary(membership.Summary{
		ReadyPercent: uint8(n.recovery.Ready() * 100),
		RequestRate:  uint16(min(rate, math.MaxUint16)),
		ListRevision: uint32(n.discovery.Revision()),
	})
	f.shard.update(f.list.ActiveCount(), f.PeerCount())
	n.loop.At(now+min(summaryInterval, n.config.Membership.Interval), f.updateSummary)
}

// Membership returns the driver's membership list, or nil if it has none.
func (n *Node) Membership() *membership.List {
	if n.membership == nil {
		return nil
	}
	return n.membership.list
}

// requestRate measures the requests per second between two updates.
type requestRate struct {
	counted   int
	countedAt time.Duration
}

func (r *requestRate) update(count int, now time.Duration) float64 {
	rate := 0.0
	if elapsed := (now - r.countedAt).Seconds(); elapsed > 0 {
		rate = float64(count-r.counted) / elapsed
	}
	r.counted, r.countedAt = count, now
	return rate
}

// maxStatusLines is the number of changes to one status that are logged within logLimitInterval.
const maxStatusLines = 10

// driverStatusLog limits how many changes of drivers' status are logged.
type driverStatusLog struct {
	lines map[membership.Status]int
	since time.Duration
}

// allow reports whether one more change to this status is to be logged.
func (s *driverStatusLog) allow(status membership.Status, now time.Duration) bool {
	if now-s.since > logLimitInterval {
		clear(s.lines)
		s.since = now
	}
	s.lines[status]++
	return s.lines[status] <= maxStatusLines
}
