// Package share parts what is scarce among listeners, so that a flood on one leaves the others their part. It decides
// only: how many of a kind each may hold now, and who should let go of some.
//
// Each listener has a part by its weight. What another does not use is lent to it, but for half of the other's part,
// which waits there: whoever comes finds that at once, and the rest as soon as the borrower has let go.
package quota

import "time"

// Kind is what is parted.
type Resource uint8

const (
	Connections Resource = iota
	Bytes                // of long messages
	RPCs                 // under way
	resourceCount
)

// wanting is how long a listener that found no room counts as one that wants some.
const shortageDuration = time.Second

// Terms are one listener's. A limit of 0 is none of its own.
type Config struct {
	Weight float64
	Limits [resourceCount]int
}

type listener struct {
	Config
	used   [resourceCount]int
	lacked [resourceCount]time.Duration // when it last found no room
	lacks  [resourceCount]bool
}

// Shares knows all listeners, numbered from 0.
type Allocator struct {
	listeners   []*listener
	totalWeight float64 // of the weights
}

// Join adds a listener and gives its number.
func (s *Allocator) Add(t Config) int {
	s.listeners = append(s.listeners, &listener{})
	s.Update(len(s.listeners)-1, t)
	return len(s.listeners) - 1
}

// Change gives a listener other terms. What it holds beyond them goes as it ends.
func (s *Allocator) Update(i int, t Config) {
	s.listeners[i].Config = t
	s.totalWeight = 0
	for _, l := range s.listeners {
		s.totalWeight += l.Weight
	}
}

// Hold tells how many of the kind a listener holds now.
func (s *Allocator) SetUsage(i int, k Resource, held int) { s.listeners[i].used[k] = held }

// Part is the listener's of so many, by its weight; nobody's is nothing.
func (s *Allocator) FairShare(i int, k Resource, most int) int {
	l := s.listeners[i]
	part := int(float64(most) * l.Weight / s.totalWeight)
	if l.Limits[k] > 0 {
		part = min(part, l.Limits[k])
	}
	return max(part, 1)
}

// Room tells how many of the kind, of so many in all, a listener may hold now.
func (s *Allocator) Capacity(i int, k Resource, most int) int {
	room := most
	for j, l := range s.listeners {
		if j != i {
			room -= max(l.used[k], s.FairShare(j, k, most)/2)
		}
	}
	if limit := s.listeners[i].Limits[k]; limit > 0 {
		room = min(room, limit)
	}
	return max(room, 0)
}

// Lacks notes that a listener found no room.
func (s *Allocator) ReportShortage(i int, k Resource, now time.Duration) {
	s.listeners[i].lacked[k], s.listeners[i].lacks[k] = now, true
}

// Over tells how many a listener should let go of: what it borrowed, once somebody below its part found no room
// lately.
func (s *Allocator) Excess(i int, k Resource, most int, now time.Duration) int {
	over := s.listeners[i].used[k] - s.FairShare(i, k, most)
	if over <= 0 {
		return 0
	}
	short := 0
	for j, l := range s.listeners {
		if part := s.FairShare(j, k, most); j != i && l.lacks[k] && now-l.lacked[k] < shortageDuration && l.used[k] < part {
			short += part - l.used[k]
		}
	}
	return min(over, short)
}
