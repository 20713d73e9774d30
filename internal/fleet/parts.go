package fleet

import "time"

// Parts tells what a driver may take of something that all drivers share and of which they together must never take more than there is, as
// connections at one member. A half is for everybody at all times, an even part each of as many drivers as there are addresses. The
// other half is for those who see more than half of these drivers, an even part each of as many as were seen of late: a part shrinks at once
// and grows only once those who are gone have surely given theirs up. Who does not see half any more keeps its part for one lease.
//
// It holds where a cut is noticed by both sides within one lease of each other. Where it is not, the half of everybody is all that is sure.
type Parts struct {
	lease   time.Duration
	since   time.Duration // it has seen more than half
	until   time.Duration // it counts as one of them
	widths  []width       // falling, of late: the first is the widest
	address int
}

// width is how many were seen, and until when that counts.
type width struct {
	living int
	until  time.Duration
}

const (
	everybody = 2  // a half
	leases    = 30 // questions of a view in a lease
)

// NewParts begins with what everybody has.
func NewParts(every time.Duration) *Parts {
	return &Parts{lease: leases * every, since: never}
}

const never = time.Duration(1<<63 - 1)

// See takes how many drivers are there, with this one, of so many addresses.
func (p *Parts) See(living, addresses int, now time.Duration) {
	p.address = max(addresses, 1)
	for len(p.widths) > 0 && (p.widths[0].until < now || len(p.widths) > 1 && p.widths[0].living <= living) {
		p.widths = p.widths[1:]
	}
	for len(p.widths) > 0 && p.widths[len(p.widths)-1].living <= living {
		p.widths = p.widths[:len(p.widths)-1]
	}
	p.widths = append(p.widths, width{living, now + 2*p.lease})
	switch {
	case 2*living > p.address:
		p.since = min(p.since, now)
		p.until = now + p.lease
	case now >= p.until:
		p.since = never
	}
}

// Of gives the part of a whole, at least one.
func (p *Parts) Of(whole int, now time.Duration) int {
	if p.address == 0 { // it has seen nothing yet
		return 1
	}
	part := float64(whole) / float64(everybody*p.address)
	if p.Whole(now) {
		part += float64(whole) * (everybody - 1) / everybody / float64(max(p.widths[0].living, 1))
	}
	return max(int(part), 1)
}

// Whole tells whether it has a part of the three quarters.
func (p *Parts) Whole(now time.Duration) bool {
	return p.since != never && now-p.since >= p.lease && now < p.until
}
