package node

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/lease"
	"passtack/internal/peers"
)

const (
	maxDigests   = 2000 // limit of drivers in a summary
	readyPercent = 95   // readiness in percent from which on a driver counts as ready
)

// summaryTask collects digests from all drivers of the fleet and uploads their sum by HTTP to an address in the operator's file. The
// server there keeps the highest fencing token and answers lower ones with 409.
type summaryTask struct {
	leases    *leaseService
	candidate *lease.Candidate
	interval  time.Duration
	holding   bool                  // whether this driver holds the lease
	digests   map[lease.Node]digest // received since the last summary
	timer     eventloop.Timer       // for the next collection
	upload    *summaryUpload
}

// digest is the report of one driver about itself. Its fields are encoded in this order.
type digest struct {
	RPCs, OK, Rejected uint32 // since the driver's start
	InFlight           uint32 // RPCs
	Revision           uint64 // of its endpoint list
	ReadyPercent       uint8
}

// FleetSummary is the sum of all digests, which the lease holder uploads.
type FleetSummary struct {
	FencingToken   uint64 `json:"Number"`
	Holder         string
	HeldAt         time.Duration `json:"At"` // when the holder checked that it held the lease, by its own clock
	Drivers        int
	ReadyDrivers   int `json:"Ready"`
	RPCs           uint64
	OK             uint64
	Rejected       uint64 `json:"PushedBack"`
	InFlight       uint64 `json:"Held"`
	OldestRevision uint64 `json:"Oldest"` // of the drivers' endpoint lists
	NewestRevision uint64 `json:"Newest"`
}

// SummaryTaskStatus is the status of the task on one driver.
type SummaryTaskStatus struct {
	Failed   int    `json:"failed"`              // uploads without an answer, or with an error other than a rejection
	LatestMS *int64 `json:"latest_ms,omitempty"` // time since the latest upload was accepted, nil: none was accepted
	Accepted int    `json:"put"`
	Rejected int    `json:"refused"` // for a lower fencing token
}

func newSummaryTask(s *leaseService, candidate *lease.Candidate, t config.Task) *summaryTask {
	return &summaryTask{
		leases: s, candidate: candidate, interval: t.Interval, digests: make(map[lease.Node]digest),
		upload: &summaryUpload{node: s.node, address: t.Address, path: t.Path, timeout: max(t.Interval, time.Second)},
	}
}

func (s *summaryTask) acquired() {
	s.holding = true
	clear(s.digests)
	s.collect()
}

func (s *summaryTask) lost() {
	s.holding = false
	s.leases.node.loop.Cancel(s.timer)
	s.upload.disconnect()
}

// collect uploads the summary of the received digests, and requests new ones from all drivers.
func (s *summaryTask) collect() {
	l := s.leases.node.loop
	if !s.holding {
		return
	}
	s.digests[s.leases.holder.Node] = s.ownDigest()
	s.uploadSummary()
	clear(s.digests)
	if _, ok := s.candidate.Held(s.leases.clock()); ok {
		s.leases.messenger.send(driver.EveryPeer, peers.CollectDigests, nil)
	}
	l.Cancel(s.timer)
	s.timer = l.At(l.Now()+s.interval, s.collect)
}

func (s *summaryTask) ownDigest() digest {
	n := s.leases.node
	return digest{
		RPCs: uint32(n.counters["rpcs_taken"]), OK: uint32(n.counters["rpcs_ok"]), Rejected: uint32(n.counters["rpcs_pushed_back"]),
		InFlight: uint32(n.rpcs.Len()), Revision: uint64(n.discovery.Revision()), ReadyPercent: uint8(n.recovery.Ready() * 100),
	}
}

// receive answers the holder's request for a digest, or records a digest that was requested.
func (s *summaryTask) receive(from lease.Node, m peers.Message) {
	switch {
	case m.Kind == peers.CollectDigests:
		s.leases.sendTo(from, peers.Digest, s.ownDigest().encode())
	case m.Kind == peers.Digest && s.holding:
		if d, ok := decodeDigest(m.Body); ok && len(s.digests) < maxDigests {
			s.digests[from] = d
		}
	}
}

// uploadSummary checks that the lease is held right before the upload begins. It skips the upload while another is in progress.
func (s *summaryTask) uploadSummary() {
	if !s.upload.prepare() {
		return
	}
	now := s.leases.clock()
	fencingToken, ok := s.candidate.Held(now)
	if !ok {
		return
	}
	summary := sumDigests(s.digests)
	summary.FencingToken, summary.Holder, summary.HeldAt = fencingToken, s.leases.node.site.Name, now
	body, err := json.Marshal(summary)
	if err != nil {
		return
	}
	s.upload.put(fencingToken, body)
}

func sumDigests(digests map[lease.Node]digest) FleetSummary {
	sum := FleetSummary{Drivers: len(digests), OldestRevision: 1<<64 - 1}
	for _, d := range digests {
		sum.RPCs += uint64(d.RPCs)
		sum.OK += uint64(d.OK)
		sum.Rejected += uint64(d.Rejected)
		sum.InFlight += uint64(d.InFlight)
		sum.OldestRevision, sum.NewestRevision = min(sum.OldestRevision, d.Revision), max(sum.NewestRevision, d.Revision)
		if d.ReadyPercent >= readyPercent {
			sum.ReadyDrivers++
		}
	}
	return sum
}

func (s *summaryTask) status() any {
	u := s.upload
	status := SummaryTaskStatus{Accepted: u.accepted, Rejected: u.rejected, Failed: u.failed}
	if u.latest > 0 {
		ago := (u.node.loop.Now() - u.latest).Milliseconds()
		status.LatestMS = &ago
	}
	return status
}

// encode returns the fields in little-endian byte order.
func (d digest) encode() []byte {
	var out bytes.Buffer
	binary.Write(&out, binary.LittleEndian, d)
	return out.Bytes()
}

func decodeDigest(body []byte) (d digest, ok bool) {
	err := binary.Read(bytes.NewReader(body), binary.LittleEndian, &d)
	return d, err == nil
}
