package node

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/front"
	odatafront "passtack/internal/front/odata"
	pgfront "passtack/internal/front/pg"
	"passtack/internal/loop"
	"passtack/internal/operator"
	"passtack/internal/share"
)

// door is one listener and what it holds.
type door struct {
	node        *Node
	name        string
	front       driver.Front
	connections *front.Connections
	number      int // among the shares
	rpcs        int // under way
	taken       int
}

// manyRPCs is what all fronts together may have under way.
const manyRPCs = 1 << 15

// openDoors listens for all fronts that the operator wants, the platform's first.
func (n *Node) openDoors() error {
	names, sessions, tokened, _ := n.site.methods()
	open := make(front.Ids)
	for _, f := range n.wants.Fronts {
		d := &door{node: n, name: f.Name, number: n.shares.Join(f.Share)}
		at := f.Listen
		if !at.IsValid() {
			at = n.site.Listen
		}
		err := n.patiently(func() error { return n.listenAt(d, f, at, open, names, sessions, tokened) })
		if err != nil {
			return fmt.Errorf("front %s, listen %s: %w", f.Name, at, err)
		}
		n.doors = append(n.doors, d)
		n.byFront[d.front] = d
	}
	return nil
}

// listenAt opens one front.
func (n *Node) listenAt(d *door, f *operator.Front, at netip.AddrPort, open front.Ids, names []string, sessions, tokened []bool) error {
	seed := n.site.Seed + uint64(d.number)
	switch f.Protocol {
	case "pg":
		portal, err := pgfront.Listen(n.loop, n, at, d.limits(), open, names, sessions, tokened, seed)
		if err != nil {
			return err
		}
		d.front, d.connections = portal, portal.Connections()
	case "odata":
		offices, err := odatafront.Listen(n.loop, n, at, d.limits(), open, f.OData, names, n.wants.Root, seed)
		if err != nil {
			return err
		}
		d.front, d.connections = offices, offices.Connections()
		n.recallRepeats(f.Name, offices)
	}
	return nil
}

// limits bounds what a door's connections hold by its share.
func (d *door) limits() loop.Door {
	ask := func(kind share.Kind) func(int) int {
		return func(most int) int { return d.roomFor(kind, most) }
	}
	return loop.Door{Descriptors: ask(share.Connections), Bytes: ask(share.Bytes)}
}

// roomFor tells how much of a kind the door may hold now.
func (d *door) roomFor(kind share.Kind, most int) int {
	n := d.node
	n.tally()
	room := n.shares.Room(d.number, kind, most)
	if d.connections != nil {
		if connections, _ := d.connections.Held(); kind == share.Connections && connections >= room {
			n.shares.Lacks(d.number, kind, n.loop.Now())
		}
	}
	return room
}

// tally tells what all doors hold.
func (n *Node) tally() {
	for _, o := range n.doors {
		connections, bytes := o.connections.Held()
		n.shares.Hold(o.number, share.Connections, connections)
		n.shares.Hold(o.number, share.Bytes, bytes)
		n.shares.Hold(o.number, share.RPCs, o.rpcs)
	}
}

// mayTake tells whether one more RPC may be under way.
func (d *door) mayTake() bool {
	if len(d.node.doors) == 1 && d.node.wants.Fronts[0].Share.Limits[share.RPCs] == 0 {
		return true
	}
	return d.rpcs < d.roomFor(share.RPCs, manyRPCs)
}

const parting = 100 * time.Millisecond // looks whether a front has borrowed what another needs

// partAnew lets who has borrowed connections that another needs end some.
func (n *Node) partAnew() {
	if len(n.doors) < 2 || n.loop.Now() < n.partAt {
		return
	}
	n.partAt = n.loop.Now() + parting
	n.tally()
	for _, d := range n.doors {
		d.connections.Yield(n.shares.Over(d.number, share.Connections, n.loop.Most()*5/8, n.loop.Now()))
	}
}

// FormOf tells how the members of a group are spoken to.
func (n *Node) FormOf(group driver.Group) driver.Form { return n.wants.Forms[group] }

// offer takes over what the operator wants now, and names what needs a restart.
func (n *Node) offer(wants *operator.File) (restart []string) {
	n.lines.Level.Set(wants.Level)
	n.lines.Sample.Store(wants.Sample)
	same := len(wants.Fronts) == len(n.wants.Fronts) && wants.Root == n.wants.Root && wants.Host == n.wants.Host
	for g, form := range wants.Forms {
		same = same && n.wants.Forms[g] == form
	}
	if !same || len(wants.Forms) != len(n.wants.Forms) {
		restart = append(restart, "fronts or members")
	}
	if (wants.State == nil) != (n.wants.State == nil) || wants.State != nil && *wants.State != *n.wants.State {
		restart = append(restart, "state")
	}
	if restartLeases(n.wants.Leases, wants.Leases) {
		restart = append(restart, "leases")
	} else if n.leases != nil && !reflect.DeepEqual(n.wants.Leases, wants.Leases) {
		n.wants.Leases = wants.Leases
		n.leases.change(wants.Leases)
	}
	if (wants.View == nil) != (n.wants.View == nil) || wants.View != nil && *wants.View != *n.wants.View {
		restart = append(restart, "view")
	}
	if !reflect.DeepEqual(wants.Configuration, n.wants.Configuration) {
		restart = append(restart, "configuration")
	}
	if wants.Control != n.wants.Control {
		restart = append(restart, "control")
	}
	for _, f := range wants.Fronts {
		i := slices.IndexFunc(n.wants.Fronts, func(o *operator.Front) bool {
			return o.Name == f.Name && o.Protocol == f.Protocol && o.Listen == f.Listen
		})
		if i < 0 {
			restart = append(restart, "front "+f.Name)
			continue
		}
		n.wants.Fronts[i].Share = f.Share
		n.shares.Change(n.doors[i].number, f.Share)
		if offices, ok := n.doors[i].front.(*odatafront.Front); ok {
			n.wants.Fronts[i].OData = f.OData
			offices.Offer(f.OData)
		}
	}
	return restart
}

// restartLeases tells whether leases have changed in more than who votes.
func restartLeases(a, b *operator.Leases) bool {
	if a == nil || b == nil {
		return a != b
	}
	was, is := *a, *b
	was.Version, was.Voters, was.Former, is.Version, is.Voters, is.Former = 0, nil, nil, 0, nil, nil
	return !reflect.DeepEqual(was, is)
}
