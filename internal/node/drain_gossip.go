package node

import (
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/draingossip"
	"passtack/internal/peers"
)

// listedAs is how the list has a member, to say that it drains.
type listedMember struct {
	member driver.Member
	zone   driver.Zone
	group  driver.Group
	weight float64
}

// drains are passed on between drivers that have a view of their fleet: each to some others, now and once more, as letters may be lost.
type drainGossip struct {
	membership *fleetMembership
	tracker    *draingossip.Tracker
	members    map[draingossip.MemberID]listedMember
	unsent     []draingossip.Notice // of the list that is being told
}

const (
	gossipFanout      = 4
	gossipRepeatDelay = 100 * time.Millisecond
)

// listed takes what a list says of a member.
func (d *drainGossip) memberListed(uid string, p listedMember, state driver.Standing, started time.Duration, fresh bool) {
	number := draingossip.MemberID(xxh3.HashString(uid))
	if state == driver.Gone {
		delete(d.members, number)
	} else {
		d.members[number] = p
	}
	if d.tracker.UpdateFromList(number, draingossip.Member{Group: p.group, StartedAt: started, Standing: state}, fresh) {
		d.unsent = append(d.unsent, draingossip.Notice{Member: number, StartedAt: started})
	}
}

// listEnds tells some others of what has begun to drain.
func (d *drainGossip) listComplete() {
	d.gossip(d.unsent)
	d.unsent = nil
}

func (d *drainGossip) gossip(all []draingossip.Notice) {
	if len(all) == 0 {
		return
	}
	n := d.membership.node
	n.Count("drains_passed_on")
	for from := 0; from < len(all); from += draingossip.MaxNotices {
		text := draingossip.Encode(all[from:])
		tell := func() {
			for _, at := range d.membership.list.SampleAlive(gossipFanout) {
				d.membership.write(at, peers.Drain, text)
			}
		}
		tell()
		n.loop.At(n.loop.Now()+gossipRepeatDelay, tell)
	}
}

// heard lets the module know what another driver says, as a list would.
func (d *drainGossip) receive(text []byte) {
	n := d.membership.node
	all, ok := draingossip.Decode(text)
	if !ok {
		n.Count("letters_strange")
		return
	}
	var on []draingossip.Notice
	begun := false
	for _, h := range all {
		decision := d.tracker.Receive(h)
		if decision.Forward {
			on = append(on, h)
		}
		if !decision.StopRequests {
			continue
		}
		if !begun {
			begun = true
			n.module.ListBegins(driver.Changes)
		}
		p := d.members[h.Member]
		n.Count("drains_heard")
		slog.Info("drain_heard", "member", n.uids[p.member])
		n.module.Listed(p.member, p.zone, p.group, driver.Draining, p.weight, n.onLocalClock(h.StartedAt), false)
	}
	if begun {
		n.module.ListEnds(driver.Changes)
	}
	d.gossip(on)
}
