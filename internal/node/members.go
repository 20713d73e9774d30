package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/member"
	odatamember "passtack/internal/member/odata"
	pgmember "passtack/internal/member/pg"
	"passtack/internal/recovery"
	"passtack/internal/settings"
)

// Default limits for connections to members.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = time.Hour
)

// memberRegistry assigns numbers to the members of the endpoint list and owns the connection pools. It implements discovery.Host:
// it receives the endpoint list from the discovery client and passes it to the module.
type memberRegistry struct {
	node           *Node
	pools          [driver.FormCount]*member.Pool // indexed by the protocol of the members
	connectLimiter recovery.ConnectLimiter
	ids            map[string]driver.Member // keyed by uid
	uids           map[driver.Member]string
	lastID         driver.Member   // number assigned last
	zones          []string        // indexed by zone number
	listKind       driver.ListKind // kind of the list that is being received
}

func newMemberRegistry(n *Node) memberRegistry {
	return memberRegistry{
		node: n, connectLimiter: recovery.NewConnectLimiter(defaultConnectTimeout),
		ids: make(map[string]driver.Member), uids: make(map[driver.Member]string),
	}
}

// openPools creates a connection pool for each protocol that members speak.
func (r *memberRegistry) openPools() {
	n := r.node
	load := member.LoadReportParser{Columns: n.site.reportColumns(), Translate: settings.ProjectName}
	host := n.config.MemberHost
	if host == "" {
		host = n.site.Name
	}
	r.openPool(driver.Statements, &pgmember.Protocol{Load: load})
	r.openPool(driver.Requests, &odatamember.Protocol{Load: load, Host: host})
}

func (r *memberRegistry) openPool(form driver.Form, protocol member.Protocol) {
	n := r.node
	r.pools[form] = member.New(n.loop, &n.rpcs, protocol, &r.connectLimiter, defaultConnectTimeout, defaultIdleTimeout)
}

// applySettings applies the site's settings for zones and for connections to members.
func (r *memberRegistry) applySettings(site *Site) {
	r.zones = strings.Split(site.Settings["zones"], ",")
	connectTimeout := site.duration("caps.connect_timeout", defaultConnectTimeout)
	idleTimeout := site.duration("caps.idle_close", defaultIdleTimeout)
	r.connectLimiter.SetTimeout(connectTimeout)
	for _, p := range r.pools {
		p.SetTimeouts(connectTimeout, idleTimeout)
	}
}

// poolOf returns the connection pool for the members of a group.
func (r *memberRegistry) poolOf(group driver.Group) *member.Pool {
	return r.pools[r.node.formOf(group)]
}

// formOf returns the protocol that the members of a group speak.
func (n *Node) formOf(group driver.Group) driver.Form { return n.config.Forms[group] }

// Count adds one to a counter.
func (r *memberRegistry) Count(name string) { r.node.Count(name) }

// ListBegins marks the start of an endpoint list, or of a set of changes to it.
func (r *memberRegistry) ListBegins(kind driver.ListKind) {
	r.listKind = kind
	r.node.module.ListBegins(kind)
}

// Listed handles one entry of the endpoint list. A member keeps its number until it is forgotten, even if its address changes.
// Numbers are never reused.
func (r *memberRegistry) Listed(uid string, address netip.AddrPort, zone string, group driver.Group, state driver.MemberState,
	size float64, started time.Duration, primary bool) {
	n := r.node
	id, known := r.ids[uid]
	if !known {
		r.lastID++
		id = r.lastID
		r.ids[uid], r.uids[id] = id, uid
		slog.Info("member added", "member", fmt.Sprintf("%012x", uint64(id)), "uid", uid, "endpoint", address, "group", group)
		defer func() { n.learned.restoreMember(id, uid) }()
	}
	pool := r.poolOf(group)
	if address.IsValid() {
		pool.SetAddress(id, address)
	}
	zoneNumber := driver.Zone(max(0, slices.Index(r.zones, zone)))
	if n.membership != nil {
		n.membership.drainGossip.memberListed(uid, listedMember{id, zoneNumber, group, size}, state, started, r.listKind != driver.Cached)
	}
	n.module.EndpointListed(id, zoneNumber, group, state, size, n.onLocalClock(started), primary)
}

// ListEnds marks the end of an endpoint list. With driver.NoList, discovery has returned no list.
func (r *memberRegistry) ListEnds(kind driver.ListKind) {
	n := r.node
	if kind != driver.Cached && kind != driver.NoList {
		n.recovery.ListReceived()
	}
	n.timer.resume()
	n.module.ListEnds(kind)
	if n.membership != nil {
		n.membership.drainGossip.listComplete()
	}
}

// forget removes a member. A member that is listed again later gets a new number.
func (r *memberRegistry) forget(m driver.Member) {
	for _, p := range r.pools {
		p.Forget(m)
	}
	delete(r.ids, r.uids[m])
	delete(r.uids, m)
}

// probe sends a health check to a member. Only the pool that has an address for the member sends one.
func (r *memberRegistry) probe(m driver.Member) {
	for _, p := range r.pools {
		p.Probe(m)
	}
}

// closeIdle closes the idle connections to a member.
func (r *memberRegistry) closeIdle(m driver.Member) {
	for _, p := range r.pools {
		p.CloseIdle(m)
	}
}

// setAvailable tells the pools whether a member may get attempts. Only the pool that has an address for the member heeds it.
func (r *memberRegistry) setAvailable(m driver.Member, available bool) {
	for _, p := range r.pools {
		p.SetAvailable(m, available)
	}
}

// openConnections returns the number of connections to all members.
func (r *memberRegistry) openConnections() (open int) {
	for _, p := range r.pools {
		open += p.Open()
	}
	return open
}

// waitingAttempts returns the number of attempts that wait for a connection.
func (r *memberRegistry) waitingAttempts() (waiting int) {
	for _, p := range r.pools {
		waiting += p.Waiting()
	}
	return waiting
}

// evictIdle closes the connection to a member that has been idle longest, and reports whether there was an idle one.
func (r *memberRegistry) evictIdle() bool {
	var oldestPool *member.Pool
	oldestSince := time.Duration(0)
	for _, p := range r.pools {
		if since, ok := p.OldestIdle(); ok && (oldestPool == nil || since < oldestSince) {
			oldestPool, oldestSince = p, since
		}
	}
	return oldestPool != nil && oldestPool.EvictIdle()
}
