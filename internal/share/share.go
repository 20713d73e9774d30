// Package share parts what is scarce among listeners, so that a flood on one leaves the others their part. It decides
// only: how many of a kind each may hold now, and who should let go of some.
//
// Each listener has a part by its weight. What another does not use is lent to it, but for half of the other's part,
// which waits there: whoever comes finds that at once, and the rest as soon as the borrower has let go.
package share

import "time"

// Kind is what is parted.
type Kind uint8

const (
	Connections Kind = iota
	Bytes            // of long messages
	RPCs             // under way
	kinds
)

// wanting is how long a listener that found no room counts as one that wants some.
const wanting = time.Second

// Terms are one listener's. A limit of 0 is none of its own.
type Terms struct {
	Weight float64
	Limits [kinds]int
}

type listener struct {
	Terms
	held   [kinds]int
	lacked [kinds]time.Duration // when it last found no room
	lacks  [kinds]bool
}

// Shares knows all listeners, numbered from 0.
type Shares struct {
	all   []*listener
	total float64 // of the weights
}

// Join adds a listener and gives its number.
func (s *Shares) Join(t Terms) int {
	s.all = append(s.all, &listener{})
	s.Change(len(s.all)-1, t)
	return len(s.all) - 1
}

// Change gives a listener other terms. What it holds beyond them goes as it ends.
func (s *Shares) Change(i int, t Terms) {
	s.all[i].Terms = t
	s.total = 0
	for _, l := range s.all {
		s.total += l.Weight
	}
}

// Hold tells how many of the kind a listener holds now.
func (s *Shares) Hold(i int, k Kind, held int) { s.all[i].held[k] = held }

// Part is the listener's of so many, by its weight; nobody's is nothing.
func (s *Shares) Part(i int, k Kind, most int) int {
	l := s.all[i]
	part := int(float64(most) * l.Weight / s.total)
	if l.Limits[k] > 0 {
		part = min(part, l.Limits[k])
	}
	return max(part, 1)
}

// Room tells how many of the kind, of so many in all, a listener may hold now.
func (s *Shares) Room(i int, k Kind, most int) int {
	room := most
	for j, l := range s.all {
		if j != i {
			room -= max(l.held[k], s.Part(j, k, most)/2)
		}
	}
	if limit := s.all[i].Limits[k]; limit > 0 {
		room = min(room, limit)
	}
	return max(room, 0)
}

// Lacks notes that a listener found no room.
func (s *Shares) Lacks(i int, k Kind, now time.Duration) {
	s.all[i].lacked[k], s.all[i].lacks[k] = now, true
}

// Over tells how many a listener should let go of: what it borrowed, once somebody below its part found no room
// lately.
func (s *Shares) Over(i int, k Kind, most int, now time.Duration) int {
	over := s.all[i].held[k] - s.Part(i, k, most)
	if over <= 0 {
		return 0
	}
	short := 0
	for j, l := range s.all {
		if part := s.Part(j, k, most); j != i && l.lacks[k] && now-l.lacked[k] < wanting && l.held[k] < part {
			short += part - l.held[k]
		}
	}
	return min(over, short)
}
