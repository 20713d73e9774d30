// Package batch plans the requests of a client's batch: their order, which of them may be in flight at the same time, how the remaining
// time is divided, which commits a read must see, and which requests are never sent. Each request is one RPC with one outcome.
//
// In an ordered batch only reads are in flight at the same time. In an unordered batch a request waits for the requests that it depends
// on, and for earlier requests of the same group if one of the two is a write. In both, a read sees the earlier writes to its group.
package batch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"passtack/driver"
)

// Item is one request of a batch.
type Item struct {
	Write     bool
	Group     driver.Group
	DependsOn []int         // earlier items that must succeed
	Expected  time.Duration // expected duration: the soft deadline of its method, in proportion to which the remaining time is divided
	Answered  bool          // rejected when the batch was parsed; it is not sent
}

// Outcome is the outcome of an item.
type Outcome uint8

const (
	// OK means that the request succeeded.
	OK Outcome = iota
	// NotRun means that the request failed or was rejected without changing anything.
	NotRun
	// Uncertain means that the request may have run.
	Uncertain
)

// SkipReason is why an item is never sent.
type SkipReason uint8

const (
	// NotSkipped means that the item was or will be sent, or was rejected when the batch was parsed.
	NotSkipped SkipReason = iota
	// DependencyFailed means that a request on which the item depends did not succeed.
	DependencyFailed
	// EarlierFailed means that an earlier request did not succeed and the client did not ask to continue on errors.
	EarlierFailed
	// DeadlinePassed means that the batch has no time left.
	DeadlinePassed
)

// step is an item and its state.
type step struct {
	Item
	waitsFor    []int         // earlier items that must end before this one starts, with any outcome
	longestPath time.Duration // expected duration of the slowest chain of items that starts with this one
	started     bool
	ended       bool
	outcome     Outcome
	skipReason  SkipReason
}

// Plan holds the state of a batch.
type Plan struct {
	steps           []step
	deadline        time.Duration
	continueOnError bool
	maxConcurrent   int
	inFlight        int
	failed          bool                           // an item did not succeed
	commitPositions map[driver.Group]time.Duration // latest position that the batch has committed, by group
}

// ErrDependency is returned for an item that depends on itself or on a later item.
var ErrDependency = errors.New("a request depends on one that does not come before it")

// New plans a batch. At most maxConcurrent items are in flight at the same time.
func New(items []Item, ordered, continueOnError bool, maxConcurrent int, deadline time.Duration) (*Plan, error) {
	p := &Plan{
		deadline: deadline, continueOnError: continueOnError, maxConcurrent: max(maxConcurrent, 1),
		commitPositions: make(map[driver.Group]time.Duration),
	}
	for i, item := range items {
		s := step{Item: item}
		for _, n := range item.DependsOn {
			if n < 0 || n >= i {
				return nil, fmt.Errorf("item %d: %w", i, ErrDependency)
			}
		}
		s.waitsFor = append(slices.Clone(item.DependsOn), conflicts(items, i, ordered)...)
		if item.Answered {
			s.ended, s.outcome, s.started = true, NotRun, true
			p.failed = true
		}
		p.steps = append(p.steps, s)
	}
	p.setLongestPaths()
	return p, nil
}

// conflicts returns the earlier items that must end before item i because one of the two is a write. It stops at the last write among
// them, since that write itself waits for the items before it.
func conflicts(items []Item, i int, ordered bool) (earlier []int) {
	for j := i - 1; j >= 0; j-- {
		o := items[j]
		if !o.Answered && (o.Write || items[i].Write) && (ordered || o.Group == items[i].Group) {
			earlier = append(earlier, j)
			if o.Write {
				break
			}
		}
	}
	return earlier
}

// setLongestPaths computes the longest path from each step to the end of the batch.
func (p *Plan) setLongestPaths() {
	for i := len(p.steps) - 1; i >= 0; i-- {
		s := &p.steps[i]
		s.longestPath += s.Expected
		for _, j := range s.waitsFor {
			p.steps[j].longestPath = max(p.steps[j].longestPath, s.longestPath)
		}
	}
}

// Next returns an item to send now, its deadline, and the position that it must see, which is 0 if the batch has committed nothing in its
// group. ok is false if no item may be sent now.
func (p *Plan) Next(now time.Duration) (i int, deadline, minPosition time.Duration, ok bool) {
	if p.inFlight >= p.maxConcurrent {
		return 0, 0, 0, false
	}
	for i := range p.steps {
		s := &p.steps[i]
		if s.started || !p.ready(s) {
			continue
		}
		switch {
		case p.dependencyFailed(s):
			p.skip(s, DependencyFailed)
			return p.Next(now)
		case p.failed && !p.continueOnError && p.earlierFailed(i):
			p.skip(s, EarlierFailed)
			return p.Next(now)
		case now >= p.deadline:
			p.skip(s, DeadlinePassed)
			return p.Next(now)
		}
		s.started = true
		p.inFlight++
		left := p.deadline - now
		if s.longestPath > s.Expected { // share the remaining time with the items that wait for this one
			left = time.Duration(float64(left) * float64(s.Expected) / float64(s.longestPath))
		}
		return i, now + left, p.commitPositions[s.Group], true
	}
	return 0, 0, 0, false
}

// ready reports whether all items that the step waits for have ended.
func (p *Plan) ready(s *step) bool {
	for _, j := range s.waitsFor {
		if !p.steps[j].ended {
			return false
		}
	}
	return true
}

// dependencyFailed reports whether an item on which the step depends did not succeed.
func (p *Plan) dependencyFailed(s *step) bool {
	for _, j := range s.DependsOn {
		if p.steps[j].outcome != OK || p.steps[j].skipReason != NotSkipped {
			return true
		}
	}
	return false
}

// earlierFailed reports whether an item before item i did not succeed.
func (p *Plan) earlierFailed(i int) bool {
	for _, s := range p.steps[:i] {
		if s.ended && s.outcome != OK {
			return true
		}
	}
	return false
}

func (p *Plan) skip(s *step, reason SkipReason) {
	s.started, s.ended, s.outcome, s.skipReason = true, true, NotRun, reason
}

// Complete records the outcome of an item that was sent, and the position of its commit, 0 if that is unknown.
func (p *Plan) Complete(i int, outcome Outcome, position, now time.Duration) {
	s := &p.steps[i]
	s.ended, s.outcome = true, outcome
	p.inFlight--
	p.failed = p.failed || outcome != OK
	if !s.Write || outcome == NotRun {
		return
	}
	if outcome == Uncertain || position <= 0 { // it may have committed as late as now
		position = now
	}
	p.commitPositions[s.Group] = max(p.commitPositions[s.Group], position)
}

// Skipped returns why an item is never sent, NotSkipped if it was not skipped.
func (p *Plan) Skipped(i int) SkipReason { return p.steps[i].skipReason }

// Done reports whether all items have an outcome. Next must have been called until ok was false.
func (p *Plan) Done() bool {
	for _, s := range p.steps {
		if !s.ended {
			return false
		}
	}
	return true
}
