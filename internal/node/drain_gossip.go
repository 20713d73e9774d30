package node

import (
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/draingossip"
	"passtack/internal/membership"
	"passtack/internal/peers"
)

const (
	// gossipFanout is the number of other drivers that a notice is sent to.
	gossipFanout = 4
	// gossipRepeatDelay is the time after which a notice is sent to as many drivers a second time, because datagrams may be lost.
	gossipRepeatDelay = 100 * time.Millisecond
)

// listedMember is a member as the endpoint list describes it.
type listedMember struct {
	member driver.Member
	zone   driver.Zone
	group  driver.Group
	weight float64
}

// drainGossip notifies other drivers of draining members, and passes the notices of other drivers to the module.
type drainGossip struct {
	node    *Node
	drivers *membership.List // recipients of notices
	tracker *draingossip.Tracker
	members map[draingossip.MemberID]listedMember
	pending []draingossip.Notice // from the endpoint list that is being read
}

func newDrainGossip(n *Node, drivers *membership.List) *drainGossip {
	return &drainGossip{node: n, drivers: drivers, tracker: draingossip.NewTracker(), members: make(map[draingossip.MemberID]listedMember)}
}

// memberListed records the entry of a member on the endpoint list. If current is false, the entry may be outdated.
func (d *drainGossip) memberListed(uid string, m listedMember, state driver.MemberState, startedAt time.Duration, current bool) {
	id := draingossip.MemberID(xxh3.HashString(uid))
	if state == driver.Gone {
		delete(d.members, id)
	} else {
		d.members[id] = m
	}
	if d.tracker.UpdateFromList(id, draingossip.Member{Group: m.group, StartedAt: startedAt, State: state}, current) {
		d.pending = append(d.pending, draingossip.Notice{Member: id, StartedAt: startedAt})
	}
}

// listComplete notifies other drivers of the members that the endpoint list newly marks as draining.
func (d *drainGossip) listComplete() {
	d.forward(d.pending)
	d.pending = nil
}

// forward sends notices to gossipFanout other drivers, now and a second time after gossipRepeatDelay.
func (d *drainGossip) forward(notices []draingossip.Notice) {
	if len(notices) == 0 {
		return
	}
	d.node.Count("drain_notices_forwarded")
	for first := 0; first < len(notices); first += draingossip.MaxNotices {
		datagram := draingossip.Encode(notices[first:])
		d.send(datagram)
		d.node.loop.At(d.node.loop.Now()+gossipRepeatDelay, func() { d.send(datagram) })
	}
}

func (d *drainGossip) send(datagram []byte) {
	for _, address := range d.drivers.SampleAlive(gossipFanout) {
		d.node.messenger.send(address, peers.Drain, datagram)
	}
}

// receive passes another driver's notices to the module, as an endpoint list of these members only, and forwards the new notices.
func (d *drainGossip) receive(datagram []byte) {
	notices, ok := draingossip.Decode(datagram)
	if !ok {
		d.node.Count("peer_messages_rejected")
		return
	}
	var forwarded []draingossip.Notice
	var draining []draingossip.Notice
	for _, notice := range notices {
		decision := d.tracker.Receive(notice)
		if decision.Forward {
			forwarded = append(forwarded, notice)
		}
		if decision.StopRequests {
			draining = append(draining, notice)
		}
	}
	d.applyNotices(draining)
	d.forward(forwarded)
}

// applyNotices reports draining members to the module, as changes of the endpoint list.
func (d *drainGossip) applyNotices(notices []draingossip.Notice) {
	if len(notices) == 0 {
		return
	}
	n := d.node
	n.module.ListBegins(driver.Changes)
	for _, notice := range notices {
		m := d.members[notice.Member]
		n.Count("drain_notices_applied")
		slog.Info("drain notice applied", "member", n.members.uids[m.member])
		n.module.EndpointListed(m.member, m.zone, m.group, driver.Draining, m.weight, n.onLocalClock(notice.StartedAt), false)
	}
	n.module.ListEnds(driver.Changes)
}
