package config

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

// Membership is how a driver keeps the membership list of its fleet.
type Membership struct {
	Fleet             string
	Interval          time.Duration // between two pings
	MemberConnections int           // that a member accepts from all drivers together; 0: not known
}

// membership reads how the membership list is kept. Leases are of the same fleet.
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
	var at hcl.Range
	m.Fleet, at = r.fleet(c)
	if namePattern.MatchString(m.Fleet) && f.Leases != nil && f.Leases.Fleet != m.Fleet {
		r.addError(at, "fleet is another than that of the leases (%q, %q)", m.Fleet, f.Leases.Fleet)
	}
}
