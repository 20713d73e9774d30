// Package quota divides limited resources among listeners, so that a flood on one leaves the others their share. It only decides:
// how much of a resource each may use now, and who should release some.
//
// Each listener has a fair share by its weight. What another does not use is lent to it, except for half of the other's share,
// which stays reserved: a listener that becomes busy gets that half at once and the rest as soon as the borrowers have released it.
package quota

import "time"

// Resource is what is divided.
type Resource uint8

// The resources of a listener.
const (
	Connections Resource = iota
	Bytes                // of long messages
	RPCs                 // in flight
	resourceCount
)

const (
	// reservedPart is the part of its fair share, as a divisor, that is reserved for a listener that does not use it.
	reservedPart = 2

	// shortageDuration is for how long a listener that found no capacity counts as short of it.
	shortageDuration = time.Second
)

// Config is the configuration of one listener.
type Config struct {
	Weight float64
	Limits [resourceCount]int // 0: none of its own
}

// listener is the state of one listener.
type listener struct {
	Config
	used      [resourceCount]int
	shortages [resourceCount]shortage
}

// shortage is when a listener last found no capacity.
type shortage struct {
	reported bool
	at       time.Duration
}

func (s shortage) current(now time.Duration) bool { return s.reported && now-s.at < shortageDuration }

// Allocator divides the resources of one driver among its listeners, which are numbered from 0.
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

// Update changes the configuration of a listener. What it uses beyond that is released as it ends.
func (a *Allocator) Update(id int, config Config) {
	a.listeners[id].Config = config
	a.totalWeight = 0
	for _, l := range a.listeners {
		a.totalWeight += l.Weight
	}
}

// SetUsage sets how much of a resource a listener uses now.
func (a *Allocator) SetUsage(id int, r Resource, used int) { a.listeners[id].used[r] = used }

// FairShare returns the listener's share of total by its weight, at least 1.
func (a *Allocator) FairShare(id int, r Resource, total int) int {
	l := a.listeners[id]
	share := int(float64(total) * l.Weight / a.totalWeight)
	if l.Limits[r] > 0 {
		share = min(share, l.Limits[r])
	}
	return max(share, 1)
}

// Capacity returns how much of a resource, of which there is total, a listener may use now.
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

// ReportShortage reports that a listener found no capacity.
func (a *Allocator) ReportShortage(id int, r Resource, now time.Duration) {
	a.listeners[id].shortages[r] = shortage{reported: true, at: now}
}

// Excess returns how much a listener should release: what it uses beyond its share, as far as listeners below theirs are short of it.
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
