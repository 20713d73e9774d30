package node

import (
	"fmt"
	"slices"

	"passtack/internal/lease"
)

// LeasesStatus is the state of the leases as one driver sees it. Voters and this driver appear by name, other drivers by number. Times are
// in milliseconds.
type LeasesStatus struct {
	Name        string   // of the driver
	Version     uint32   // of the set of voters
	Voters      []string // by name
	Former      []string // in a joint set, the previous voters
	SilentForMS int64    `json:"SilentMS"` // time for which this voter still grants nothing
	Leases      []LeaseStatus
	Grants      []GrantStatus `json:"Votes"` // of this voter
}

// LeaseStatus is a lease as a candidate sees it.
type LeaseStatus struct {
	Lease            string
	Holder           string            // "": unknown
	FencingToken     uint64            `json:"Number"` // 0: this driver does not hold it
	HeldForMS        int64             `json:"ForMS"`
	RemainingMS      int64             `json:"LeftMS"`
	RejectionReasons map[string]string `json:"Why"`   // by voter
	LastHeardMS      map[string]int64  `json:"Heard"` // by voter, time since its last message
	Task             any               // DiscoveryWatcherStatus or SummaryTaskStatus
}

// GrantStatus is the grant of this voter for one lease.
type GrantStatus struct {
	Lease        string
	Holder       string // "": the lease is not granted
	FencingToken uint64 `json:"Number"`
	RemainingMS  int64  `json:"LeftMS"`
	Waiting      int    // candidates in the queue
}

// status returns a snapshot for operators.
func (s *leaseService) status() LeasesStatus {
	now := s.clock()
	status := LeasesStatus{Name: s.node.site.Name, Version: s.config.Version, Voters: s.config.Voters, Former: s.config.FormerVoters}
	if s.voter.IsVoter() {
		status.SilentForMS = s.voter.SilentFor(now).Milliseconds()
		for _, g := range s.voter.Grants(now) {
			status.Grants = append(status.Grants, GrantStatus{
				Lease: g.Lease, Holder: s.driverName(g.Holder.Node), FencingToken: g.FencingToken,
				RemainingMS: g.Remaining.Milliseconds(), Waiting: g.Waiting,
			})
		}
	}
	for _, c := range s.candidacies {
		status.Leases = append(status.Leases, s.leaseStatus(c.Status(now), c.task))
	}
	return status
}

func (s *leaseService) leaseStatus(c lease.CandidateStatus, task leaseTask) LeaseStatus {
	status := LeaseStatus{
		Lease: c.Lease, Holder: s.driverName(c.Holder.Node), FencingToken: c.FencingToken,
		HeldForMS: c.HeldFor.Milliseconds(), RemainingMS: c.Remaining.Milliseconds(),
		RejectionReasons: make(map[string]string), LastHeardMS: make(map[string]int64), Task: task.status(),
	}
	for voter, reason := range c.RejectionReasons {
		status.RejectionReasons[s.driverName(voter)] = reason.String()
	}
	for voter, ago := range c.LastHeard {
		status.LastHeardMS[s.driverName(voter)] = ago.Milliseconds()
	}
	return status
}

// driverName returns the name of a voter or of this driver, "" for no driver, and the number of any other in hexadecimal.
func (s *leaseService) driverName(node lease.Node) string {
	for _, name := range slices.Concat(s.config.Voters, s.config.FormerVoters, []string{s.node.site.Name}) {
		if lease.NodeOf(name) == node {
			return name
		}
	}
	if node == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(node))
}
