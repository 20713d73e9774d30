package membership

import "time"

// Shards divides a capacity that all drivers share and must never exceed together, as connections at one member, and computes this driver's shard.
// Half of the capacity is guaranteed: an equal shard for each address that a driver may have. The other half is for the drivers that see a majority of
// these: an equal shard for each driver seen of late. So a shard shrinks at once, and grows only once the drivers that are gone have surely given
// theirs up. A driver that loses sight of the majority keeps its shard for one lease.
//
// The capacity holds if both sides of a partition notice it within one lease of each other. If they do not, only the guaranteed half is sure to hold.
type Shards struct {
	lease         time.Duration
	addressCount  int
	inMajority    bool // it saw a majority, within the last lease
	majoritySince time.Duration
	majorityUntil time.Duration
	activeCounts  slidingMaximum // of the last two leases
}

const (
	// guaranteedDivisor: a half of the capacity is guaranteed.
	guaranteedDivisor = 2
	// leaseProbes is how many probe intervals a lease has.
	leaseProbes = 30
)

// NewShards returns a division that grants the guaranteed shard.
func NewShards(probeInterval time.Duration) *Shards {
	return &Shards{lease: leaseProbes * probeInterval}
}

// Observe takes how many drivers are active, this one included, of so many addresses.
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

// Size is this driver's shard of a total, at least one.
func (s *Shards) Size(total int, now time.Duration) int {
	if s.addressCount == 0 { // nothing was observed yet
		return 1
	}
	size := float64(total) / float64(guaranteedDivisor*s.addressCount)
	if s.InMajority(now) {
		size += float64(total) * (guaranteedDivisor - 1) / guaranteedDivisor / float64(max(s.activeCounts.max(), 1))
	}
	return max(int(size), 1)
}

// InMajority reports whether this driver has a shard of the half for those that see a majority: it has seen one for a lease.
func (s *Shards) InMajority(now time.Duration) bool {
	return s.inMajority && now-s.majoritySince >= s.lease && now < s.majorityUntil
}

// slidingMaximum is the highest of the values that have not expired.
type slidingMaximum struct{ falling []expiringValue }

type expiringValue struct {
	value     int
	expiresAt time.Duration
}

// add takes a value in and drops those that have expired or can no longer be the highest.
func (m *slidingMaximum) add(value int, now, expiresAt time.Duration) {
	for len(m.falling) > 0 && m.falling[0].expiresAt < now {
		m.falling = m.falling[1:]
	}
	for len(m.falling) > 0 && m.falling[len(m.falling)-1].value <= value {
		m.falling = m.falling[:len(m.falling)-1]
	}
	m.falling = append(m.falling, expiringValue{value, expiresAt})
}

// max is the highest value as of the latest add.
func (m *slidingMaximum) max() int { return m.falling[0].value }
