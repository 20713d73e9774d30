package node

import "passtack/internal/membership"

// FleetStatus is a driver's membership list, as the control endpoint reports it.
type FleetStatus struct {
	Name            string
	ActiveCount     int    `json:"Living"`
	ConnectionShard int    `json:"Part"`  // limit of connections to one member, 0: unlimited
	InMajority      bool   `json:"Whole"` // whether the shard includes connections reserved for drivers that see a majority
	Checksum        uint64 `json:"Sum"`   // equal lists have equal checksums
	Pauses          int    `json:"Halts"` // how often the process was suspended or starved
	Sent            int    // messages
	SentBytes       int    `json:"Bytes"`
	Received        int    `json:"Taken"`
	Malformed       int    `json:"Unread"` // messages received that could not be decoded

	Drivers []DriverStatus `json:"All"`
}

// DriverStatus is the status of one driver as seen by another one.
type DriverStatus struct {
	Name         string
	Status       string
	Reason       string `json:"Cause"` // why its status changed last
	Self         bool
	Incarnation  uint64 `json:"Life"`        // of the process
	Refutation   uint32 `json:"Incarnation"` // number that the driver raises to refute that it is suspect or dead
	StatusAgeMS  int64  `json:"ForMS"`
	LastSeenMS   int64  `json:"HeardMS"` // time since its last message
	Ready        float64
	RequestRate  int `json:"Load"`     // RPCs per second
	ListRevision int `json:"Revision"` // of its endpoint list
}

func (f *fleetMembership) status() FleetStatus {
	stats := f.list.Stats()
	s := FleetStatus{
		Name:            f.node.site.Name,
		ActiveCount:     f.list.ActiveCount(),
		ConnectionShard: f.shard.connections,
		InMajority:      f.shard.shards.InMajority(f.node.loop.Now()),
		Checksum:        f.list.Checksum(),
		Pauses:          stats.Pauses,
		Sent:            stats.Sent,
		SentBytes:       stats.SentBytes,
		Received:        stats.Received,
		Malformed:       stats.Malformed,
	}
	for _, node := range f.list.Nodes(f.node.loop.Clock()) {
		s.Drivers = append(s.Drivers, driverStatus(&node))
	}
	return s
}

func driverStatus(node *membership.NodeStatus) DriverStatus {
	return DriverStatus{
		Name:         node.Name,
		Status:       node.Status.String(),
		Reason:       controlReason(node.Reason),
		Self:         node.Self,
		Incarnation:  node.Incarnation,
		Refutation:   node.Refutation,
		StatusAgeMS:  node.StatusAge.Milliseconds(),
		LastSeenMS:   node.LastSeenAgo.Milliseconds(),
		Ready:        float64(node.Summary.ReadyPercent) / 100,
		RequestRate:  int(node.Summary.RequestRate),
		ListRevision: int(node.Summary.ListRevision),
	}
}

// controlReason returns the text for a reason in answers of the control endpoint. It must not change: operators' scripts compare it.
func controlReason(reason string) string {
	switch reason {
	case membership.ReasonReportedBySelf:
		return "says so itself"
	case membership.ReasonReportedByOthers:
		return "told by others"
	}
	return reason
}
