package node

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/front"
	odatafront "passtack/internal/front/odata"
	pgfront "passtack/internal/front/pg"
	"passtack/internal/quota"
	"passtack/internal/shutdown"
)

const (
	maxRPCs           = 1 << 15                // limit for RPCs being served by all listeners together
	rebalanceInterval = 100 * time.Millisecond // time between two checks for connections that one listener has borrowed and another needs
)

// listenerSet is the set of listeners for clients, with the quotas that they share.
type listenerSet struct {
	node        *Node
	all         []*listener // the platform's listener is the first
	byFront     map[driver.Front]*listener
	quotas      quota.Allocator
	rebalanceAt time.Duration // time of the next rebalancing
}

// listener is one listener for clients and the resources that it uses.
type listener struct {
	set         *listenerSet
	name        string
	front       driver.Front
	connections *front.Connections
	quotaID     int // its number in the set's quotas
	rpcs        int // number of RPCs being served
	rpcsTaken   int // number of RPCs admitted since the start
}

func newListenerSet(n *Node) listenerSet {
	return listenerSet{node: n, byFront: make(map[driver.Front]*listener)}
}

// open opens the listeners of all fronts in the operator's file, the platform's listener first.
func (s *listenerSet) open() error {
	n := s.node
	methods := n.site.methods()
	ids := front.NewRequestIDs()
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

// open opens the listener of one front.
func (l *listener) open(f *config.Listener, address netip.AddrPort, ids *front.RequestIDs, methods siteMethods) error {
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

// applySettings applies the methods in the site's settings. Retired methods are no longer served.
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
		case *odatafront.Front: // the operations of an OData front use no retired methods
			f.SetMethods(methods.names)
		}
	}
}

// limits returns limits that keep the descriptors and buffers of the listener's connections within its quota.
func (l *listener) limits() eventloop.AcceptLimiter {
	capacity := func(resource quota.Resource) func(int) int {
		return func(total int) int { return l.capacity(resource, total) }
	}
	return eventloop.AcceptLimiter{Descriptors: capacity(quota.Connections), Bytes: capacity(quota.Bytes)}
}

// capacity returns how much of a total the listener may use at present. If all its connections are in use, a shortage is reported to
// the quotas.
func (l *listener) capacity(resource quota.Resource, total int) int {
	s := l.set
	s.reportUsage()
	capacity := s.quotas.Capacity(l.quotaID, resource, total)
	if l.connections != nil {
		if open, _ := l.connections.Usage(); resource == quota.Connections && open >= capacity {
			s.quotas.ReportShortage(l.quotaID, resource, s.node.loop.Now())
		}
	}
	return capacity
}

// admits reports whether the listener may serve one more RPC.
func (l *listener) admits() bool {
	if len(l.set.all) == 1 && l.set.node.config.Listeners[0].Quota.Limits[quota.RPCs] == 0 {
		return true
	}
	return l.rpcs < l.capacity(quota.RPCs, maxRPCs)
}

// reportUsage reports the current usage of all listeners to the quotas.
func (s *listenerSet) reportUsage() {
	for _, l := range s.all {
		connections, bytes := l.connections.Usage()
		s.quotas.SetUsage(l.quotaID, quota.Connections, connections)
		s.quotas.SetUsage(l.quotaID, quota.Bytes, bytes)
		s.quotas.SetUsage(l.quotaID, quota.RPCs, l.rpcs)
	}
}

// rebalanceConnections closes connections of listeners that use more than their share, as far as another listener needs them.
func (s *listenerSet) rebalanceConnections() {
	l := s.node.loop
	if len(s.all) < 2 || l.Now() < s.rebalanceAt {
		return
	}
	s.rebalanceAt = l.Now() + rebalanceInterval
	s.reportUsage()
	for _, listener := range s.all {
		listener.connections.Shed(s.quotas.Excess(listener.quotaID, quota.Connections, l.MaxDescriptors()*5/8, l.Now()))
	}
}

// openClients returns the number of client connections.
func (s *listenerSet) openClients() (open int) {
	for _, l := range s.all {
		open += l.front.Open()
	}
	return open
}

// gauges returns the values of each listener for the counters line of the log, if there are several listeners.
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

// closeClients closes the connections that may be closed in a phase of a shutdown. It returns the number of remaining connections
// plus the number of RPCs in service. An RPC whose connection is closed counts, as a client may still ask for its outcome.
func (s *listenerSet) closeClients(phase shutdown.Phase) (remaining int) {
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
		remaining += l.front.CloseIdle(idle) + l.rpcs
	}
	return remaining
}

// evictIdle frees a descriptor: it closes the connection to a member that has been idle longest. It also closes an idle client
// connection. That descriptor becomes free shortly after, so that the next descriptor that is needed may cost no
// connection to a member.
func (n *Node) evictIdle() bool {
	for _, l := range n.listeners.all {
		if l.connections.EvictIdle() {
			break
		}
	}
	return n.members.evictIdle()
}
