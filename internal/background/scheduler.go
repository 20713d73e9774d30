// Package chores decides which background work of a driver runs when. RPCs go first: while the loop's turns come late all
// work yields, but for what would miss its deadline, which then gets one slice at a time, seldom. It does nothing itself:
// whoever hosts it asks for what may run, runs a slice of it on the loop or hands it to a worker, and tells what that took.
package background

import (
	"slices"
	"time"
)

// Spending is what work takes: time of the loop or of a worker, bytes written, operations of the disk or the network.
type Usage struct {
	Time       time.Duration
	Bytes      int
	Operations int
}

// Chore is work that comes again and again, or when it is asked for. All but the name may be left out.
type Job struct {
	Name       string
	Priority   int           // the higher goes first
	Period     time.Duration // from the end of one run to when the next is due; 0: only when it is asked for
	Deadline   time.Duration // after it was due: then it no longer yields to RPCs
	Budget     Usage         // a second; what is 0 is not bounded
	After      []string      // which have to end once more between when it was due and its start
	MinBackoff time.Duration // wait after a failure, which doubles with each more
	MaxBackoff time.Duration // up to this
}

// End is how a slice ended.
type Outcome uint8

const (
	More     Outcome = iota // there is more to do on the loop
	OnWorker                // a worker has it; Ran is called again once it is back
	Done                    // the run is over
	Failed                  // the run is over and has come to nothing
)

// Why tells what keeps a chore that is due from running.
type BlockedReason uint8

const (
	NotBlocked      BlockedReason = iota // it may run, or it runs
	NotDue                               // its time has not come
	LoopLate                             // the loop is late: RPCs go first
	BudgetExhausted                      // its budget is used up for now
	Dependency                           // what it comes after has not ended yet
	WorkersBusy                          // all workers are busy
	Outranked                            // others of its priority or of a higher one go first
	JobCancelled                         // it was cancelled
)

var whys = [...]string{"", "not due", "yields", "budget", "dependency", "workers", "others first", "cancelled"}

func (w BlockedReason) String() string { return whys[w] }

// Report is what became of one chore so far.
type RunReport struct {
	Name              string
	State             string // idle, waits, runs, away or cancelled
	BlockedBy         string // it waits
	Since             time.Duration
	Runs, Failed      int
	Skipped           int    // runs that came due while one was waiting or under way
	SkipReason        string // of the latest one skipped
	StartedLate       int    // runs that began after their deadline
	Slices            int
	Used              Usage         // over all
	LongestSlice      time.Duration // slice on the loop
	LongestWorkerPart time.Duration // part of a worker
}

const (
	// Lateness of the loop from which work yields: two ticks of the module.
	lateThreshold = 10 * time.Millisecond
	// Recovers is for how long after a late turn work goes on yielding.
	lateCooldown = 50 * time.Millisecond
	// Pressed is between two slices of what has passed its deadline while the loop is late.
	overdueSlicePause = 100 * time.Millisecond
	// Saved is how much of its budget a second a chore may save up.
	maxSavedBudget = time.Second
)

type state uint8

const (
	idle state = iota
	waits
	runs
	away
	cancelled
)

var states = [...]string{"idle", "waits", "runs", "away", "cancelled"}

type scheduledJob struct {
	Job
	state    state
	due      time.Duration // when it is, or was, due
	next     time.Duration // when the run after this one comes due while it is still waiting
	since    time.Duration // of its state
	ended    time.Duration // latest end of a run that was no failure
	failures int           // in a row
	counted  bool          // that it began late
	weight   time.Duration // time it has taken, by which those of one priority are level
	left     [3]float64    // of its budget: nanoseconds, bytes, operations
	filled   time.Duration
	asked    bool // while it ran
	stop     bool // cancelled while away
	report   RunReport
}

// Plan is all background work of one driver.
type Scheduler struct {
	workers int
	busy    int
	jobs    []*scheduledJob
	lateAt  time.Duration // when the loop was late last
	pressAt time.Duration // when a slice went on though the loop was late
}

// longAgo is before all times that count.
const longAgo = time.Duration(-1 << 62)

// New makes a plan for so many workers.
func New(workers int) *Scheduler {
	return &Scheduler{workers: workers, lateAt: longAgo, pressAt: longAgo}
}

// Add takes in a chore, due for the first time after a period, and gives its number.
func (p *Scheduler) Add(c Job, now time.Duration) int {
	k := &scheduledJob{Job: c, since: now, ended: longAgo, left: c.Budget.bounds(), filled: now, due: now + c.Period, report: RunReport{Name: c.Name}}
	p.jobs = append(p.jobs, k)
	return len(p.jobs) - 1
}

// Ask makes a chore due now. One that runs comes due again at its end.
func (p *Scheduler) Trigger(n int, now time.Duration) {
	k := p.jobs[n]
	switch k.state {
	case idle:
		k.due = min(k.due, now)
		if k.Period == 0 {
			k.due = now
		}
		p.begin(k, now)
	case runs, away:
		k.asked = true
	}
}

// Cancel takes a chore out. True: it is away, and comes to nothing when it is back.
func (p *Scheduler) Cancel(n int, now time.Duration) (under bool) {
	k := p.jobs[n]
	if k.state == away {
		k.stop = true
		return true
	}
	k.state, k.since = cancelled, now
	return false
}

// Late tells how much later than it was due the loop came to something.
func (p *Scheduler) ReportLateness(by, now time.Duration) {
	if by >= lateThreshold {
		p.lateAt = now
	}
}

// yields tells whether RPCs need the loop now.
func (p *Scheduler) yields(now time.Duration) bool { return now-p.lateAt < lateCooldown }

// Next gives the chore that is to run a slice now, if any may.
func (p *Scheduler) Next(now time.Duration) (n int, ok bool) {
	best := -1
	for i, k := range p.jobs {
		p.wake(k, now)
		if p.keeps(k, now) != NotBlocked {
			continue
		}
		if best < 0 || before(k, p.jobs[best]) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	k := p.jobs[best]
	if p.yields(now) {
		p.pressAt = now
	}
	if k.state == waits {
		k.state, k.since = runs, now
		k.report.Runs++
		if k.Deadline > 0 && now > k.due+k.Deadline {
			k.report.StartedLate++
		}
	}
	return best, true
}

// before tells which of two that may run goes first.
func before(a, b *scheduledJob) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.weight < b.weight
}

// wake lets an idle chore wait once it is due, and counts the runs that a waiting one has missed.
func (p *Scheduler) wake(k *scheduledJob, now time.Duration) {
	if k.state == idle && k.Period > 0 && now >= k.due {
		p.begin(k, k.due)
		k.next = k.due + k.Period
	}
	for (k.state == waits || k.state == away || k.state == runs) && k.Period > 0 && k.next > 0 && now >= k.next {
		k.report.Skipped++
		k.report.SkipReason = p.keeps(k, now).String()
		if k.state != waits {
			k.report.SkipReason = "the run before"
		}
		k.next += k.Period
	}
}

// begin lets a chore wait for its turn. Who rested has no claim on that time.
func (p *Scheduler) begin(k *scheduledJob, since time.Duration) {
	k.state, k.since, k.next = waits, since, 0
	k.weight = max(k.weight, p.level(k))
}

// level is the least that any other active chore of its priority has taken.
func (p *Scheduler) level(k *scheduledJob) time.Duration {
	least := time.Duration(-1)
	for _, o := range p.jobs {
		if o != k && o.Priority == k.Priority && (o.state == waits || o.state == runs) && (least < 0 || o.weight < least) {
			least = o.weight
		}
	}
	return max(least, 0)
}

// keeps tells what keeps a chore from running a slice now.
func (p *Scheduler) keeps(k *scheduledJob, now time.Duration) BlockedReason {
	switch k.state {
	case idle:
		return NotDue
	case cancelled:
		return JobCancelled
	case away:
		return WorkersBusy
	}
	if k.state == waits && now < k.due {
		return NotDue
	}
	if k.fill(now); !k.affords() {
		return BudgetExhausted
	}
	if k.state == waits && slices.ContainsFunc(k.After, func(name string) bool { return !p.endedSince(name, k.due) }) {
		return Dependency
	}
	if p.busy >= p.workers {
		return WorkersBusy
	}
	if p.yields(now) && (k.Deadline == 0 || now < k.due+k.Deadline || now-p.pressAt < overdueSlicePause) {
		return LoopLate
	}
	return NotBlocked
}

// endedSince tells whether a chore has ended a run since then. Names that nobody has are waited for by nobody.
func (p *Scheduler) endedSince(name string, since time.Duration) bool {
	for _, k := range p.jobs {
		if k.Name == name && k.state != cancelled {
			return k.ended >= since
		}
	}
	return true
}

// bounds are the parts of a spending; 0 in a budget bounds nothing.
func (s Usage) bounds() [3]float64 {
	return [3]float64{float64(s.Time), float64(s.Bytes), float64(s.Operations)}
}

// fill lets the budget grow again, up to what may be saved.
func (k *scheduledJob) fill(now time.Duration) {
	grown := float64(now-k.filled) / float64(time.Second)
	k.filled = now
	for i, most := range k.Budget.bounds() {
		k.left[i] = min(k.left[i]+grown*most, most*maxSavedBudget.Seconds())
	}
}

// affords tells whether something is left of each bound: what a slice takes is known only afterwards, so that it may go
// under and is waited for then.
func (k *scheduledJob) affords() bool {
	for i, most := range k.Budget.bounds() {
		if most > 0 && k.left[i] <= 0 {
			return false
		}
	}
	return true
}

// Ran tells how a slice, or a worker's part, has ended and what it took.
func (p *Scheduler) SliceEnded(n int, took Usage, how Outcome, now time.Duration) {
	k := p.jobs[n]
	if k.spend(took); k.state == away {
		k.report.LongestWorkerPart = max(k.report.LongestWorkerPart, took.Time)
		p.busy--
		if k.stop {
			k.state, k.since = cancelled, now
			return
		}
		k.state, k.since = runs, now
	}
	switch how {
	case OnWorker:
		k.state, k.since = away, now
		p.busy++
	case Done:
		k.failures, k.ended = 0, now
		p.rest(k, k.Period, now)
	case Failed:
		k.report.Failed++
		wait := k.Period
		if k.MinBackoff > 0 {
			wait = max(wait, min(k.MinBackoff<<min(k.failures, 20), max(k.MaxBackoff, k.MinBackoff)))
		}
		k.failures++
		p.rest(k, wait, now)
	}
}

// rest ends a run; the next is due after the wait, or as soon as it was asked for meanwhile.
func (p *Scheduler) rest(k *scheduledJob, wait, now time.Duration) {
	k.state, k.since, k.due, k.next = idle, now, now+wait, 0
	if k.asked && k.failures == 0 {
		k.due = now
	}
	if k.asked || k.Period == 0 && k.failures > 0 && k.MinBackoff > 0 {
		k.state = waits
	}
	k.asked = false
}

func (k *scheduledJob) spend(took Usage) {
	onLoop := took
	if k.state == away { // a worker's time is not the loop's
		onLoop.Time = 0
	}
	k.weight += onLoop.Time
	for i, part := range onLoop.bounds() {
		k.left[i] -= part
	}
	r := &k.report
	r.Slices++
	r.Used.Time, r.Used.Bytes, r.Used.Operations = r.Used.Time+took.Time, r.Used.Bytes+took.Bytes, r.Used.Operations+took.Operations
	if k.state != away {
		r.LongestSlice = max(r.LongestSlice, took.Time)
	}
}

// Wakes tells when to ask for the next slice at the latest.
func (p *Scheduler) NextWake(now time.Duration) (at time.Duration, ok bool) {
	first := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, k := range p.jobs {
		switch p.keeps(k, now) {
		case NotBlocked:
			first(now)
		case NotDue:
			if k.Period > 0 || k.state == waits {
				first(max(k.due, now))
			}
		case LoopLate, BudgetExhausted, Dependency:
			first(now + lateThreshold)
		case WorkersBusy: // whoever brings something back asks again
		}
	}
	return at, ok
}

// Busy tells how many workers have something.
func (p *Scheduler) BusyWorkers() int { return p.busy }

// Reports tells what became of all chores.
func (p *Scheduler) Reports(now time.Duration) (all []RunReport) {
	for _, k := range p.jobs {
		p.wake(k, now)
		r := k.report
		r.State, r.Since = states[k.state], k.since
		if k.state == waits {
			why := p.keeps(k, now)
			if why == NotBlocked {
				why = Outranked
			}
			r.BlockedBy = why.String()
		}
		all = append(all, r)
	}
	return all
}
