package node

import (
	"log/slog"

	"passtack/internal/membership"
)

// connectionShard limits this driver's connections to each member to its shard of the connections that the member accepts from all
// drivers.
type connectionShard struct {
	node        *Node
	shards      *membership.Shards
	connections int // limit for each member; 0: unlimited
}

// update recalculates the limit from the membership list and closes connections above it.
func (s *connectionShard) update(activeDrivers, addresses int) {
	n, now := s.node, s.node.loop.Now()
	s.shards.Observe(activeDrivers, addresses, now)
	total := n.config.Membership.MemberConnections
	if total == 0 || addresses == 0 { // the maximum number of drivers is unknown without their addresses
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
