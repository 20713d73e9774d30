package comeback

import "time"

// Stage is how far a driver has come back since its start.
type Stage uint8

const (
	Listing Stage = iota // it serves from the list that it was started with
	Proving              // discovery has told a list; not every group that was asked for has proven its primary
	Warming              // it still pushes more back than usual, or attempts wait for connections
	Whole
)

var names = [...]string{"listing", "proving", "warming", "whole"}

func (s Stage) String() string { return names[s] }

// limits are how long each stage lasts at most: what does not come is not waited for.
var limits = [Whole]time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

const (
	settles = 500 * time.Millisecond // for which a driver must serve as usual to count as whole
	usual   = 0.05                   // of the RPCs may be pushed back then
	halt    = time.Second            // that it stood still makes a driver begin anew
)

// Return is the way of one driver through the stages. It gives no permission and holds nothing back: it tells how ready the
// driver is.
type Return struct {
	stage        Stage
	began, since time.Duration // the return, the stage
	looked       time.Duration // the latest look
	listed       bool
	asked        map[uint16]bool // groups; true: the primary has proven itself
	proven       int
	answered     int // of RPCs, since the latest while began
	pushedBack   int
	while        time.Duration
}

// NewReturn begins now.
func NewReturn(now time.Duration) *Return {
	r := new(Return)
	r.begin(now)
	return r
}

func (r *Return) begin(now time.Duration) {
	r.stage, r.began, r.since, r.looked, r.while = Listing, now, now, now, now
	r.listed, r.asked, r.proven, r.answered, r.pushedBack = false, make(map[uint16]bool), 0, 0, 0
}

// Listed tells that discovery has said something.
func (r *Return) Listed() { r.listed = true }

// Asked tells that an RPC came for a group, Proven that a member has answered as its primary.
func (r *Return) Asked(group uint16) {
	if _, known := r.asked[group]; r.stage < Warming && !known {
		r.asked[group] = false
	}
}

func (r *Return) Proven(group uint16) {
	if r.stage < Warming && !r.asked[group] {
		r.asked[group] = true
		r.proven++
	}
}

// Answered tells that an RPC got its final answer.
func (r *Return) Answered(pushedBack bool) {
	if r.stage == Whole {
		return
	}
	if r.answered++; pushedBack {
		r.pushedBack++
	}
}

// Look moves on to the next stage where its condition is met or its time is up; waits counts the attempts that wait for a
// connection. It tells whether the stage has changed. A look that comes much too late tells that the driver stood still:
// all that it knows is old, and it begins anew.
func (r *Return) Look(now time.Duration, waits int) (changed bool) {
	late := now - r.looked
	if r.looked = now; late > halt {
		r.begin(now)
		return true
	}
	if r.stage == Whole {
		return false
	}
	done := false
	switch r.stage {
	case Listing:
		done = r.listed
	case Proving:
		done = r.proven == len(r.asked)
	case Warming:
		if r.while == 0 || waits > 0 || float64(r.pushedBack) > usual*float64(r.answered) {
			r.while, r.answered, r.pushedBack = now, 0, 0
		}
		done = now-r.while >= settles
	}
	if !done && now-r.since < limits[r.stage] {
		return false
	}
	r.stage++
	r.since, r.while, r.answered, r.pushedBack = now, now, 0, 0
	return true
}

// Stage tells how far the driver has come, and Age since when it comes back.
func (r *Return) Stage() Stage                        { return r.stage }
func (r *Return) Age(now time.Duration) time.Duration { return now - r.began }

// Ready is the part of the way that is behind the driver, for whoever brings clients back in proportion.
func (r *Return) Ready() float64 {
	switch r.stage {
	case Listing:
		return 0
	case Proving:
		return 0.5 * float64(r.proven) / float64(max(len(r.asked), 1))
	case Warming:
		return 0.5 + 0.5*(1-float64(r.pushedBack)/float64(max(r.answered, 1)))
	}
	return 1
}
