// Package batch plans a batch of requests that one client sent together: which may go now, which may go side by side,
// how the time that is left is shared, what a read behind a write has to see, and which never go. Each request of the
// batch is one RPC with one outcome.
//
// In an ordered batch only reads go side by side. In one without an order a request waits for those that it needs, and
// for those before it that touch the same group where one of both writes. So a read behind a write of the same group
// sees it in either.
package batch

import (
	"errors"
	"fmt"
	"time"

	"passtack/driver"
)

// Item is one request of a batch.
type Item struct {
	Write bool
	Group driver.Group
	Needs []int         // earlier items that must be ok
	Soft  time.Duration // what it is expected to take at most
	Void  bool          // it has its outcome already and never goes
}

// End is an outcome.
type End uint8

const (
	// OK means that the request succeeded.
	OK      End = iota
	Refused     // nothing ran
	Aborted     // it may have run
)

// Skip tells why an item never goes.
type Skip uint8

const (
	// Goes means that the item is sent.
	Goes    Skip = iota
	Needed       // what it needs is not ok
	Stopped      // an earlier one is not ok, and the batch does not go on after that
	TooLate      // the time of the batch is over
)

type step struct {
	Item
	after        []int // items that must have ended, whatever their outcome
	tail         time.Duration
	begun, ended bool
	end          End
	skip         Skip
}

// Plan is a batch under way.
type Plan struct {
	steps   []step
	until   time.Duration
	goOn    bool // after one that is not ok
	abreast int
	out     int
	failed  bool
	wrote   map[driver.Group]time.Duration // position that what follows has to see
}

// ErrNeeds tells of an item that needs itself or a later one.
var ErrNeeds = errors.New("a request depends on one that does not come before it")

// New plans a batch whose client waits until then. No more than abreast items are out at once.
func New(items []Item, ordered, goOn bool, abreast int, until time.Duration) (*Plan, error) {
	p := &Plan{until: until, goOn: goOn, abreast: max(abreast, 1), wrote: make(map[driver.Group]time.Duration)}
	for i, item := range items {
		s := step{Item: item}
		for _, n := range item.Needs {
			if n < 0 || n >= i {
				return nil, fmt.Errorf("item %d: %w", i, ErrNeeds)
			}
			s.after = append(s.after, n)
		}
		for j := i - 1; j >= 0; j-- {
			o := items[j]
			if !o.Void && (o.Write || item.Write) && (ordered || o.Group == item.Group) {
				s.after = append(s.after, j)
				if o.Write { // all before it come before that
					break
				}
			}
		}
		if item.Void {
			s.ended, s.end, s.begun = true, Refused, true
			p.failed = true
		}
		p.steps = append(p.steps, s)
	}
	for i := len(p.steps) - 1; i >= 0; i-- { // the longest way from each to the end
		s := &p.steps[i]
		s.tail += s.Soft
		for _, j := range s.after {
			p.steps[j].tail = max(p.steps[j].tail, s.tail)
		}
	}
	return p, nil
}

// Next gives an item that may go now and how long it may take; a read has to see what was committed up to floor, 0:
// nothing of this batch. There is none where ok is false.
func (p *Plan) Next(now time.Duration) (i int, until, floor time.Duration, ok bool) {
	if p.out >= p.abreast {
		return 0, 0, 0, false
	}
	for i := range p.steps {
		s := &p.steps[i]
		if s.begun || !p.ready(s) {
			continue
		}
		switch {
		case p.lacks(s):
			p.drop(s, Needed)
			return p.Next(now)
		case p.failed && !p.goOn && p.before(i):
			p.drop(s, Stopped)
			return p.Next(now)
		case now >= p.until:
			p.drop(s, TooLate)
			return p.Next(now)
		}
		s.begun = true
		p.out++
		left := p.until - now
		if s.tail > s.Soft { // others come behind it: each gets of the time what it is expected to take of it
			left = time.Duration(float64(left) * float64(s.Soft) / float64(s.tail))
		}
		return i, now + left, p.wrote[s.Group], true
	}
	return 0, 0, 0, false
}

func (p *Plan) ready(s *step) bool {
	for _, j := range s.after {
		if !p.steps[j].ended {
			return false
		}
	}
	return true
}

func (p *Plan) lacks(s *step) bool {
	for _, j := range s.Needs {
		if p.steps[j].end != OK || p.steps[j].skip != Goes {
			return true
		}
	}
	return false
}

// before tells whether one before the item was not ok.
func (p *Plan) before(i int) bool {
	for _, s := range p.steps[:i] {
		if s.ended && s.end != OK {
			return true
		}
	}
	return false
}

func (p *Plan) drop(s *step, why Skip) { s.begun, s.ended, s.end, s.skip = true, true, Refused, why }

// Ended tells the outcome of an item that went, and the position of its commit if one was told.
func (p *Plan) Ended(i int, how End, position, now time.Duration) {
	s := &p.steps[i]
	s.ended, s.end = true, how
	p.out--
	p.failed = p.failed || how != OK
	if !s.Write || how == Refused {
		return
	}
	if how == Aborted || position <= 0 { // it may have committed as late as now
		position = now
	}
	p.wrote[s.Group] = max(p.wrote[s.Group], position)
}

// Skipped tells why an item never goes.
func (p *Plan) Skipped(i int) Skip { return p.steps[i].skip }

// Done tells whether every item has its outcome; Next must have been asked until it gave none.
func (p *Plan) Done() bool {
	for _, s := range p.steps {
		if !s.ended {
			return false
		}
	}
	return true
}
