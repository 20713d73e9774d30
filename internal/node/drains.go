package node

import (
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/fleet"
	"passtack/internal/peers"
)

// listedAs is how the list has a member, to say that it drains.
type listedAs struct {
	member driver.Member
	zone   driver.Zone
	group  driver.Group
	size   float64
}

// drains are passed on between drivers that have a view of their fleet: each to some others, now and once more, as letters may be lost.
type drains struct {
	view   *view
	known  *fleet.Drains
	places map[uint64]listedAs
	news   []fleet.Drain // of the list that is being told
}

const (
	toSome   = 4
	onceMore = 100 * time.Millisecond
)

// listed takes what a list says of a member.
func (d *drains) listed(uid string, p listedAs, state driver.Standing, started time.Duration, fresh bool) {
	number := xxh3.HashString(uid)
	if state == driver.Gone {
		delete(d.places, number)
	} else {
		d.places[number] = p
	}
	if d.known.Listed(number, fleet.Member{Group: p.group, Started: started, Standing: state}, fresh) {
		d.news = append(d.news, fleet.Drain{Member: number, Started: started})
	}
}

// listEnds tells some others of what has begun to drain.
func (d *drains) listEnds() {
	d.pass(d.news)
	d.news = nil
}

func (d *drains) pass(all []fleet.Drain) {
	if len(all) == 0 {
		return
	}
	n := d.view.node
	n.Count("drains_passed_on")
	for from := 0; from < len(all); from += fleet.MostDrains {
		text := fleet.AppendDrains(nil, all[from:])
		tell := func() {
			for _, at := range d.view.seen.Some(toSome) {
				d.view.send(at, peers.Drain, text)
			}
		}
		tell()
		n.loop.At(n.loop.Now()+onceMore, tell)
	}
}

// heard lets the module know what another driver says, as a list would.
func (d *drains) heard(text []byte) {
	n := d.view.node
	all, ok := fleet.ReadDrains(text)
	if !ok {
		n.Count("peer_messages_rejected")
		return
	}
	var on []fleet.Drain
	begun := false
	for _, h := range all {
		act, pass := d.known.Heard(h)
		if pass {
			on = append(on, h)
		}
		if !act {
			continue
		}
		if !begun {
			begun = true
			n.module.ListBegins(driver.Changes)
		}
		p := d.places[h.Member]
		n.Count("drains_heard")
		slog.Info("drain_heard", "member", n.members.uids[p.member])
		n.module.Listed(p.member, p.zone, p.group, driver.Draining, p.size, n.byOwnClock(h.Started), false)
	}
	if begun {
		n.module.ListEnds(driver.Changes)
	}
	d.pass(on)
}
