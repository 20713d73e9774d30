package membership

import "time"

// Shards divides a capacity that all drivers together must never exceed, such as connections at one member, and computes this driver's shard.
// Half of the capacity is guaranteed: it is divided equally among all addresses that drivers may have. The other half is for drivers that
// see a majority of the addresses, divided by the highest number of active drivers seen during the last two leases. So a shard shrinks at once when
// drivers start, and grows only when drivers that are gone have certainly given up theirs. A driver that no longer sees a majority keeps its shard
// for one lease.
//
// The capacity is not exceeded if both sides of a partition notice it within one lease of each other. Otherwise only the guaranteed half is
// certain.
type Shards struct {
	lease         time.Duration
	addressCount  int
	inMajority    bool // this driver has seen a majority within the last lease
	majoritySince time.Duration
	majorityUntil time.Duration
	activeCounts  slidingMaximum // during the last two leases
}

const (
	// guaranteedDivisor: half of the capacity is guaranteed.
	guaranteedDivisor = 2
	// leaseProbes is the duration of a lease in probe intervals.
	leaseProbes = 30
)

// NewShards returns a division of which this driver has its guaranteed shard only.
func NewShards(probeInterval time.Duration) *Shards {
	return &Shards{lease: leaseProbes * probeInterval}
}

// Observe records the number of active drivers, including this one, and the number of addresses.
func (s *Shards) Observe(activeCount, addressCount int, now time.Duration) {
	s.addressCount = max(addressCount, 1)
	s.activeCounts.add(activeCount, now, now+2*s.lease)
	switch {
	case 2*activeCount > s.addressCount:
		if !s.inMajority {
			s.inMajority, s.majoritySince = true, now
		}
		s.majorityUntil = now + s.lease
	case now >= s.majorityUntil:
		s.inMajority = false
	}
}

// Size returns this driver's shard of a total, at least one.
func (s *Shards) Size(total int, now time.Duration) int {
	if s.addressCount == 0 { // Observe was not called yet
		return 1
	}
	size := float64(total) / float64(guaranteedDivisor*s.addressCount)
	if s.InMajority(now) {
		size += float64(total) * (guaranteedDivisor - 1) / guaranteedDivisor / float64(max(s.activeCounts.max(), 1))
	}
	return max(int(size), 1)
}

// InMajority reports whether this driver may use a shard of the half that is not guaranteed: it has seen a majority for at least one lease.
func (s *Shards) InMajority(now time.Duration) bool {
	return s.inMajority && now-s.majoritySince >= s.lease && now < s.majorityUntil
}

// slidingMaximum computes the highest of the values that have not expired.
type slidingMaximum struct{ descending []expiringValue }

type expiringValue struct {
	value     int
	expiresAt time.Duration
}

// add adds a value and removes those that have expired or can no longer become the highest.
func (m *slidingMaximum) add(value int, now, expiresAt time.Duration) {
	for len(m.descending) > 0 && m.descending[0].expiresAt < now {
		m.descending = m.descending[1:]
	}
	for len(m.descending) > 0 && m.descending[len(m.descending)-1].value <= value {
		m.descending = m.descending[:len(m.descending)-1]
	}
	m.descending = append(m.descending, expiringValue{value, expiresAt})
}

// max returns the highest value as of the latest call of add.
func (m *slidingMaximum) max() int { return m.descending[0].value }
