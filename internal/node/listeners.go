package node

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/front"
	odatafront "passtack/internal/front/odata"
	pgfront "passtack/internal/front/pg"
	"passtack/internal/loop"
	"passtack/internal/quota"
	"passtack/internal/shutdown"
)

const (
	maxRPCs           = 1 << 15                // in service by all listeners together
	rebalanceInterval = 100 * time.Millisecond // between two checks whether a listener has borrowed connections that another needs
)

// listenerSet is all listeners for clients and the quotas between them.
type listenerSet struct {
	node        *Node
	all         []*listener // the platform's first
	byFront     map[driver.Front]*listener
	quotas      quota.Allocator
	rebalanceAt time.Duration // of the next rebalancing
}

// listener is one listener and what it has in use.
type listener struct {
	set         *listenerSet
	name        string
	front       driver.Front
	connections *front.Connections
	quotaID     int // in the set's quotas
	rpcs        int // in service
	rpcsTaken   int // since the start
}

func newListenerSet(n *Node) listenerSet {
	return listenerSet{node: n, byFront: make(map[driver.Front]*listener)}
}

// open listens for all fronts of the operator's file, the platform's first.
func (s *listenerSet) open() error {
	n := s.node
	methods := n.site.methods()
	ids := make(front.ActiveIDs)
	for _, f := range n.config.Listeners {
		l := &listener{set: s, name: f.Name, quotaID: s.quotas.Add(f.Quota)}
		address := f.Listen
		if !address.IsValid() {
			address = n.site.Listen
		}
		if err := n.openWithRetry(func() error { return l.open(f, address, ids, methods) }); err != nil {
			return fmt.Errorf("front %s, listen %s: %w", f.Name, address, err)
		}
		s.all = append(s.all, l)
		s.byFront[l.front] = l
	}
	return nil
}

// open listens for clients of one front.
func (l *listener) open(f *config.Listener, address netip.AddrPort, ids front.ActiveIDs, methods siteMethods) error {
	n := l.set.node
	seed := n.site.Seed + uint64(l.quotaID)
	switch f.Protocol {
	case "pg":
		pg, err := pgfront.Listen(n.loop, &n.rpcs, address, l.limits(), ids, methods.names, methods.inSession, methods.tokened, seed)
		if err != nil {
			return err
		}
		l.front, l.connections = pg, pg.Connections()
	case "odata":
		odata, err := odatafront.Listen(n.loop, &n.rpcs, address, l.limits(), ids, f.OData, methods.names, n.config.MemberRoot, seed)
		if err != nil {
			return err
		}
		l.front, l.connections = odata, odata.Connections()
		n.learned.restoreRequests(f.Name, odata.Registry())
	}
	return nil
}

// applySettings takes the methods of the site's settings. Retired ones are not served any more.
func (s *listenerSet) applySettings(site *Site) {
	methods := site.methods()
	served := slices.Clone(methods.names)
	for i := range served {
		if methods.retired[i] {
			served[i] = ""
		}
	}
	for _, l := range s.all {
		switch f := l.front.(type) {
		case *pgfront.Front:
			f.SetMethods(served, methods.inSession, methods.tokened)
		case *odatafront.Front: // its operations name no retired method
			f.SetMethods(methods.names)
		}
	}
}

// limits bounds what the listener's connections use to its quota.
func (l *listener) limits() loop.AcceptLimiter {
	capacity := func(kind quota.Resource) func(int) int {
		return func(total int) int { return l.capacity(kind, total) }
	}
	return loop.AcceptLimiter{Descriptors: capacity(quota.Connections), Bytes: capacity(quota.Bytes)}
}

// capacity returns how much of a total the listener may use now. Without a free connection it is noted as one that needs some.
func (l *listener) capacity(kind quota.Resource, total int) int {
	s := l.set
	s.reportUsage()
	capacity := s.quotas.Capacity(l.quotaID, kind, total)
	if l.connections != nil {
		if open, _ := l.connections.Usage(); kind == quota.Connections && open >= capacity {
			s.quotas.ReportShortage(l.quotaID, kind, s.node.loop.Now())
		}
	}
	return capacity
}

// admits reports whether the listener may have one more RPC in service.
func (l *listener) admits() bool {
	if len(l.set.all) == 1 && l.set.node.config.Listeners[0].Quota.Limits[quota.RPCs] == 0 {
		return true
	}
	return l.rpcs < l.capacity(quota.RPCs, maxRPCs)
}

// reportUsage reports to the quotas what all listeners use.
func (s *listenerSet) reportUsage() {
	for _, l := range s.all {
		connections, bytes := l.connections.Usage()
		s.quotas.SetUsage(l.quotaID, quota.Connections, connections)
		s.quotas.SetUsage(l.quotaID, quota.Bytes, bytes)
		s.quotas.SetUsage(l.quotaID, quota.RPCs, l.rpcs)
	}
}

// rebalanceConnections lets listeners that have borrowed connections close some that another one needs.
func (s *listenerSet) rebalanceConnections() {
	l := s.node.loop
	if len(s.all) < 2 || l.Now() < s.rebalanceAt {
		return
	}
	s.rebalanceAt = l.Now() + rebalanceInterval
	s.reportUsage()
	for _, each := range s.all {
		each.connections.Shed(s.quotas.Excess(each.quotaID, quota.Connections, l.MaxDescriptors()*5/8, l.Now()))
	}
}

// openClients counts the connections of clients.
func (s *listenerSet) openClients() (open int) {
	for _, l := range s.all {
		open += l.front.Open()
	}
	return open
}

// gauges are what the counters line has of each listener, if there are several.
func (s *listenerSet) gauges() (line []any) {
	if len(s.all) < 2 {
		return nil
	}
	for _, l := range s.all {
		line = append(line, "front_"+l.name+"_clients", l.front.Open(), "front_"+l.name+"_rpcs", l.rpcs,
			"front_"+l.name+"_taken", l.rpcsTaken)
	}
	return line
}

// closeClients closes the connections that may be closed in a phase of a shutdown. It returns how much is left: connections,
// and RPCs that no connection waits for but whose outcome may still be asked for.
func (s *listenerSet) closeClients(phase shutdown.Phase) (left int) {
	for _, l := range s.all {
		idle := earlyCloseIdle
		l.front.StopAccepting()
		if phase >= shutdown.Closing {
			l.front.Drain()
			idle = 0
		}
		if phase == shutdown.Finished {
			l.front.CloseAll()
		}
		left += l.front.CloseIdle(idle) + l.rpcs
	}
	return left
}

// evictIdle frees a descriptor: it closes the connection to a member that has been idle for longest. It also closes an idle
// client's, whose descriptor is free a moment later, so that the next need no member's.
func (n *Node) evictIdle() bool {
	for _, l := range n.listeners.all {
		if l.connections.EvictIdle() {
			break
		}
	}
	return n.members.evictIdle()
}
