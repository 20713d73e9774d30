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
type listener struct {
	node        *Node
	name        string
	front       driver.Front
	connections *front.Connections
	quotaID     int // among the shares
	rpcs        int // under way
	rpcsTaken   int
}

// manyRPCs is what all fronts together may have under way.
const maxRPCs = 1 << 15

// openDoors listens for all fronts that the operator wants, the platform's first.
func (n *Node) openListeners() error {
	names, sessions, tokened, _ := n.site.methods()
	open := make(front.Ids)
	for _, f := range n.config.Fronts {
		d := &listener{node: n, name: f.Name, quotaID: n.quotas.Join(f.Share)}
		at := f.Listen
		if !at.IsValid() {
			at = n.site.Listen
		}
		err := n.openWithRetry(func() error { return n.listenAt(d, f, at, open, names, sessions, tokened) })
		if err != nil {
			return fmt.Errorf("front %s, listen %s: %w", f.Name, at, err)
		}
		n.listeners = append(n.listeners, d)
		n.listenerOf[d.front] = d
	}
	return nil
}

// listenAt opens one front.
func (n *Node) listenAt(d *listener, f *operator.Front, at netip.AddrPort, open front.Ids, names []string, sessions, tokened []bool) error {
	seed := n.site.Seed + uint64(d.quotaID)
	switch f.Protocol {
	case "pg":
		portal, err := pgfront.Listen(n.loop, n, at, d.limits(), open, names, sessions, tokened, seed)
		if err != nil {
			return err
		}
		d.front, d.connections = portal, portal.Connections()
	case "odata":
		offices, err := odatafront.Listen(n.loop, n, at, d.limits(), open, f.OData, names, n.config.Root, seed)
		if err != nil {
			return err
		}
		d.front, d.connections = offices, offices.Connections()
		n.recallRepeats(f.Name, offices)
	}
	return nil
}

// limits bounds what a door's connections hold by its share.
func (d *listener) limits() loop.Door {
	ask := func(kind share.Kind) func(int) int {
		return func(most int) int { return d.capacityFor(kind, most) }
	}
	return loop.Door{Descriptors: ask(share.Connections), Bytes: ask(share.Bytes)}
}

// roomFor tells how much of a kind the door may hold now.
func (d *listener) capacityFor(kind share.Kind, most int) int {
	n := d.node
	n.reportUsage()
	room := n.quotas.Room(d.quotaID, kind, most)
	if d.connections != nil {
		if connections, _ := d.connections.Held(); kind == share.Connections && connections >= room {
			n.quotas.Lacks(d.quotaID, kind, n.loop.Now())
		}
	}
	return room
}

// tally tells what all doors hold.
func (n *Node) reportUsage() {
	for _, o := range n.listeners {
		connections, bytes := o.connections.Held()
		n.quotas.Hold(o.quotaID, share.Connections, connections)
		n.quotas.Hold(o.quotaID, share.Bytes, bytes)
		n.quotas.Hold(o.quotaID, share.RPCs, o.rpcs)
	}
}

// mayTake tells whether one more RPC may be under way.
func (d *listener) admits() bool {
	if len(d.node.listeners) == 1 && d.node.config.Fronts[0].Share.Limits[share.RPCs] == 0 {
		return true
	}
	return d.rpcs < d.capacityFor(share.RPCs, maxRPCs)
}

const rebalanceInterval = 100 * time.Millisecond // looks whether a front has borrowed what another needs

// partAnew lets who has borrowed connections that another needs end some.
func (n *Node) rebalanceConnections() {
	if len(n.listeners) < 2 || n.loop.Now() < n.rebalanceAt {
		return
	}
	n.rebalanceAt = n.loop.Now() + rebalanceInterval
	n.reportUsage()
	for _, d := range n.listeners {
		d.connections.Yield(n.quotas.Over(d.quotaID, share.Connections, n.loop.Most()*5/8, n.loop.Now()))
	}
}

// FormOf tells how the members of a group are spoken to.
func (n *Node) FormOf(group driver.Group) driver.Form { return n.config.Forms[group] }

// offer takes over what the operator wants now, and names what needs a restart.
func (n *Node) applyConfig(wants *operator.File) (restart []string) {
	n.lines.Level.Set(wants.Level)
	n.lines.Sample.Store(wants.Sample)
	same := len(wants.Fronts) == len(n.config.Fronts) && wants.Root == n.config.Root && wants.Host == n.config.Host
	for g, form := range wants.Forms {
		same = same && n.config.Forms[g] == form
	}
	if !same || len(wants.Forms) != len(n.config.Forms) {
		restart = append(restart, "fronts or members")
	}
	if (wants.State == nil) != (n.config.State == nil) || wants.State != nil && *wants.State != *n.config.State {
		restart = append(restart, "state")
	}
	if leasesNeedRestart(n.config.Leases, wants.Leases) {
		restart = append(restart, "leases")
	} else if n.leases != nil && !reflect.DeepEqual(n.config.Leases, wants.Leases) {
		n.config.Leases = wants.Leases
		n.leases.changeVoters(wants.Leases)
	}
	if (wants.View == nil) != (n.config.View == nil) || wants.View != nil && *wants.View != *n.config.View {
		restart = append(restart, "view")
	}
	if !reflect.DeepEqual(wants.Configuration, n.config.Configuration) {
		restart = append(restart, "configuration")
	}
	if wants.Control != n.config.Control {
		restart = append(restart, "control")
	}
	for _, f := range wants.Fronts {
		i := slices.IndexFunc(n.config.Fronts, func(o *operator.Front) bool {
			return o.Name == f.Name && o.Protocol == f.Protocol && o.Listen == f.Listen
		})
		if i < 0 {
			restart = append(restart, "front "+f.Name)
			continue
		}
		n.config.Fronts[i].Share = f.Share
		n.quotas.Change(n.listeners[i].quotaID, f.Share)
		if offices, ok := n.listeners[i].front.(*odatafront.Front); ok {
			n.config.Fronts[i].OData = f.OData
			offices.Offer(f.OData)
		}
	}
	return restart
}

// restartLeases tells whether leases have changed in more than who votes.
func leasesNeedRestart(a, b *operator.Leases) bool {
	if a == nil || b == nil {
		return a != b
	}
	was, is := *a, *b
	was.Version, was.Voters, was.Former, is.Version, is.Voters, is.Former = 0, nil, nil, 0, nil, nil
	return !reflect.DeepEqual(was, is)
}
