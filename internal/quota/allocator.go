// Package quota divides limited resources among listeners, so that a flood of requests to one leaves the others their share. It only
// decides how much of a resource each listener may use now, and which listeners should release some.
//
// Each listener has a fair share according to its weight. It may borrow what other listeners do not use, except for half of their
// shares, which stays reserved: a listener that becomes busy gets that half at once and the rest when the borrowers have released it.
package quota

import "time"

// Resource is a kind of limited resource.
type Resource uint8

// The resources of a listener.
const (
	Connections Resource = iota
	Bytes                // of buffers for long messages
	RPCs                 // in flight
	resourceCount
)

const (
	// reservedPart is the divisor that gives the part of a fair share that stays reserved for a listener that does not use it.
	reservedPart = 2

	// shortageDuration is how long a listener counts as short of a resource after it found no capacity.
	shortageDuration = time.Second
)

// Config is the configuration of one listener.
type Config struct {
	Weight float64
	Limits [resourceCount]int // 0: no limit of its own
}

// listener is the state of one listener.
type listener struct {
	Config
	used      [resourceCount]int
	shortages [resourceCount]shortage
}

// shortage records when a listener last found no capacity.
type shortage struct {
	reported bool
	at       time.Duration
}

func (s shortage) current(now time.Duration) bool { return s.reported && now-s.at < shortageDuration }

// Allocator divides the resources of one driver among its listeners. They are numbered from 0.
type Allocator struct {
	listeners   []*listener
	totalWeight float64
}

// Add adds a listener and returns its number.
func (a *Allocator) Add(config Config) int {
	id := len(a.listeners)
	a.listeners = append(a.listeners, &listener{})
	a.Update(id, config)
	return id
}

// Update changes the configuration of a listener. What it uses beyond a new limit is released as the uses end.
func (a *Allocator) Update(id int, config Config) {
	a.listeners[id].Config = config
	a.totalWeight = 0
	for _, l := range a.listeners {
		a.totalWeight += l.Weight
	}
}

// SetUsage sets how much of a resource a listener uses now.
func (a *Allocator) SetUsage(id int, r Resource, used int) { a.listeners[id].used[r] = used }

// FairShare returns the listener's share of total according to its weight and limit, at least 1.
func (a *Allocator) FairShare(id int, r Resource, total int) int {
	l := a.listeners[id]
	share := int(float64(total) * l.Weight / a.totalWeight)
	if l.Limits[r] > 0 {
		share = min(share, l.Limits[r])
	}
	return max(share, 1)
}

// Capacity returns how much of total a listener may use now.
func (a *Allocator) Capacity(id int, r Resource, total int) int {
	capacity := total
	for other, l := range a.listeners {
		if other != id {
			capacity -= max(l.used[r], a.FairShare(other, r, total)/reservedPart)
		}
	}
	if limit := a.listeners[id].Limits[r]; limit > 0 {
		capacity = min(capacity, limit)
	}
	return max(capacity, 0)
}

// ReportShortage records that a listener found no capacity.
func (a *Allocator) ReportShortage(id int, r Resource, now time.Duration) {
	a.listeners[id].shortages[r] = shortage{reported: true, at: now}
}

// Excess returns how much a listener should release: what it uses beyond its share, up to what other listeners that are short of the
// resource lack to reach their shares.
func (a *Allocator) Excess(id int, r Resource, total int, now time.Duration) int {
	borrowed := a.listeners[id].used[r] - a.FairShare(id, r, total)
	if borrowed <= 0 {
		return 0
	}
	missing := 0
	for other, l := range a.listeners {
		if other != id && l.shortages[r].current(now) {
			missing += max(a.FairShare(other, r, total)-l.used[r], 0)
		}
	}
	return min(borrowed, missing)
}
