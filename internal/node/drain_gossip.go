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
	// gossipFanout is how many other drivers a notice is sent to.
	gossipFanout = 4
	// gossipRepeatDelay is after how long it is sent to as many once more, as datagrams may be lost.
	gossipRepeatDelay = 100 * time.Millisecond
)

// listedMember is a member as the endpoint list has it.
type listedMember struct {
	member driver.Member
	zone   driver.Zone
	group  driver.Group
	weight float64
}

// drainGossip notifies other drivers of members that drain, and passes their notices to the module.
type drainGossip struct {
	node    *Node
	drivers *membership.List // that notices are sent to
	tracker *draingossip.Tracker
	members map[draingossip.MemberID]listedMember
	pending []draingossip.Notice // of the endpoint list that is being read
}

func newDrainGossip(n *Node, drivers *membership.List) *drainGossip {
	return &drainGossip{node: n, drivers: drivers, tracker: draingossip.NewTracker(), members: make(map[draingossip.MemberID]listedMember)}
}

// memberListed takes what the endpoint list says of a member. A list that is not current may be outdated.
func (d *drainGossip) memberListed(uid string, m listedMember, standing driver.Standing, startedAt time.Duration, current bool) {
	id := draingossip.MemberID(xxh3.HashString(uid))
	if standing == driver.Gone {
		delete(d.members, id)
	} else {
		d.members[id] = m
	}
	if d.tracker.UpdateFromList(id, draingossip.Member{Group: m.group, StartedAt: startedAt, Standing: standing}, current) {
		d.pending = append(d.pending, draingossip.Notice{Member: id, StartedAt: startedAt})
	}
}

// listComplete notifies other drivers of the members that have begun to drain by the endpoint list.
func (d *drainGossip) listComplete() {
	d.forward(d.pending)
	d.pending = nil
}

// forward sends notices to some other drivers, now and once more.
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

// receive passes another driver's notices to the module, as an endpoint list of these members only, and forwards what is new.
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

// applyNotices tells the module which members drain.
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
