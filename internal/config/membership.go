package config

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

// Membership configures how a driver maintains the membership list of its fleet.
type Membership struct {
	Fleet             string
	Interval          time.Duration // between two pings
	MemberConnections int           // connections that a member accepts from all drivers together; 0: unknown
}

// membership reads the block that configures the membership list. If the file has leases, the fleets must be the same.
func (r *reader) membership(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "every", "connections"})
	if c == nil {
		return
	}
	m := &Membership{
		Interval:          r.durationOf(c, "every", time.Second, 50*time.Millisecond, time.Minute),
		MemberConnections: r.intOf(c, "connections", 0, 1, 1<<20),
	}
	f.Membership = m
	var location hcl.Range
	m.Fleet, location = r.fleet(c)
	if namePattern.MatchString(m.Fleet) && f.Leases != nil && f.Leases.Fleet != m.Fleet {
		r.addError(location, "fleet %q differs from the fleet of the leases, %q", m.Fleet, f.Leases.Fleet)
	}
}
