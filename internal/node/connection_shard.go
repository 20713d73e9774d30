package node

import (
	"log/slog"

	"passtack/internal/membership"
)

// connectionShard bounds this driver's connections at each member by its shard of those that the member takes from all drivers.
type connectionShard struct {
	node        *Node
	shards      *membership.Shards
	connections int // at one member; 0: not bounded
}

// update follows the membership list.
func (s *connectionShard) update(activeDrivers, addresses int) {
	n, now := s.node, s.node.loop.Now()
	s.shards.Observe(activeDrivers, addresses, now)
	total := n.config.Membership.MemberConnections
	if total == 0 || addresses == 0 { // without addresses it is unknown how many drivers there may be
		return
	}
	if connections := s.shards.Size(total, now); connections != s.connections {
		slog.Info("connection shard changed", "connections", connections, "in_majority", s.shards.InMajority(now), "active_drivers", activeDrivers)
		s.connections = connections
		n.members.connectLimiter.SetMemberLimit(connections)
	}
	for _, p := range n.members.pools {
		p.CloseExcess()
	}
}
