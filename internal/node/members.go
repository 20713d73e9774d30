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

// Limits for connections to members, for sites whose settings have none.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = time.Hour
)

// memberRegistry numbers the members of the endpoint list and owns the pools of connections to them. It is the discovery.Host: it
// receives the endpoint list, and passes it on to the module.
type memberRegistry struct {
	node           *Node
	pools          [driver.Forms]*member.Pool // by the protocol of the members
	connectLimiter recovery.ConnectLimiter
	ids            map[string]driver.Member // by uid
	uids           map[driver.Member]string
	lastID         driver.Member  // the latest that was given out
	zones          []string       // in the order of their numbers
	listKind       driver.Listing // of the list that is being received
}

func newMemberRegistry(n *Node) memberRegistry {
	return memberRegistry{
		node: n, connectLimiter: recovery.NewConnectLimiter(defaultConnectTimeout),
		ids: make(map[string]driver.Member), uids: make(map[driver.Member]string),
	}
}

// openPools creates a pool of connections for each protocol of members.
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

// applySettings takes what the site's settings say of zones and of connections to members.
func (r *memberRegistry) applySettings(site *Site) {
	r.zones = strings.Split(site.Settings["zones"], ",")
	connectTimeout := site.duration("caps.connect_timeout", defaultConnectTimeout)
	idleTimeout := site.duration("caps.idle_close", defaultIdleTimeout)
	r.connectLimiter.SetTimeout(connectTimeout)
	for _, p := range r.pools {
		p.SetTimeouts(connectTimeout, idleTimeout)
	}
}

// poolOf returns the pool for the protocol that the members of a group speak.
func (r *memberRegistry) poolOf(group driver.Group) *member.Pool {
	return r.pools[r.node.formOf(group)]
}

// formOf reports the protocol that the members of a group speak.
func (n *Node) formOf(group driver.Group) driver.Form { return n.config.Forms[group] }

// Count adds one to a counter.
func (r *memberRegistry) Count(name string) { r.node.Count(name) }

// ListBegins starts an endpoint list or a set of changes to it.
func (r *memberRegistry) ListBegins(kind driver.Listing) {
	r.listKind = kind
	r.node.module.ListBegins(kind)
}

// Listed takes one entry of the endpoint list. A member keeps its number until it is forgotten, whatever its address; no
// number is used twice.
func (r *memberRegistry) Listed(uid string, address netip.AddrPort, zone string, group driver.Group, state driver.Standing,
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
	if address.IsValid() {
		r.poolOf(group).SetAddress(id, address)
	}
	zoneNumber := driver.Zone(max(0, slices.Index(r.zones, zone)))
	if n.membership != nil {
		n.membership.drainGossip.memberListed(uid, listedMember{id, zoneNumber, group, size}, state, started, r.listKind != driver.Cached)
	}
	n.module.EndpointListed(id, zoneNumber, group, state, size, n.onLocalClock(started), primary)
}

// ListEnds completes an endpoint list, or reports that none came.
func (r *memberRegistry) ListEnds(kind driver.Listing) {
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

// forget removes a member. If it is listed again, it gets another number.
func (r *memberRegistry) forget(m driver.Member) {
	for _, p := range r.pools {
		p.Forget(m)
	}
	delete(r.ids, r.uids[m])
	delete(r.uids, m)
}

// probe sends a health check to a member, which one of the pools knows.
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

// openConnections counts the connections to all members.
func (r *memberRegistry) openConnections() (open int) {
	for _, p := range r.pools {
		open += p.Open()
	}
	return open
}

// waitingAttempts counts the attempts that wait for a connection.
func (r *memberRegistry) waitingAttempts() (waiting int) {
	for _, p := range r.pools {
		waiting += p.Waiting()
	}
	return waiting
}

// evictIdle closes the connection to a member that has been idle for longest, and reports whether there was one.
func (r *memberRegistry) evictIdle() bool {
	var longest *member.Pool
	longestSince := time.Duration(0)
	for _, p := range r.pools {
		if since, ok := p.OldestIdle(); ok && (longest == nil || since < longestSince) {
			longest, longestSince = p, since
		}
	}
	return longest != nil && longest.EvictIdle()
}
