package node

import (
	"time"

	"passtack/internal/background"
	"passtack/internal/control"
	"passtack/internal/loop"
)

// duty is what a chore does on the loop in one slice.
type duty func() (background.Usage, background.Outcome)

// backgroundJobs is the driver's work beside RPCs. What decides when it runs is the plan.
type backgroundJobs struct {
	plan   *background.Scheduler
	duties []duty
	due    loop.Due
	at     time.Duration // of that
	jobs   chan job      // nil: there are no workers, and the loop does their part
	done   chan func()   // what the loop is to do with outcomes
}

// job is what a worker does. It rings the loop once it is over.
type job struct {
	act  func() error
	then func(err error, took time.Duration)
}

// answers are what operators may ask.
func (n *Node) answers() control.Handlers {
	all := control.Handlers{"status": func() any { return n.status() }}
	if n.leases != nil {
		all["leases"] = func() any { return n.leases.status() }
	}
	if n.membership != nil {
		all["fleet"] = func() any { return n.membership.status() }
	}
	return all
}

// Status is what a driver tells of itself and of its background work. Times are in milliseconds.
type Status struct {
	Name     string
	Comeback string
	Ready    float64
	Counters map[string]int
	Chores   []ChoreStatus

	Configuration *ConfigurationStatus // nil: no control machine is asked
}

// ChoreStatus is one chore.
type ChoreStatus struct {
	Name, State, Why, Skipped     string
	ForMS                         int64 // in its state
	Runs, Failed, Late, Skips     int
	Slices, Bytes, Operations     int
	SpentMS, LongestMS, SlowestMS float64
}

func (n *Node) status() Status {
	now := n.loop.Now()
	s := Status{Name: n.site.Name, Comeback: n.recovery.Stage().String(), Ready: n.recovery.Ready(), Counters: n.counters, Configuration: n.configuration.status()}
	if n.background.plan == nil {
		return s
	}
	for _, r := range n.background.plan.Reports(now) {
		s.Chores = append(s.Chores, ChoreStatus{Name: r.Name, State: r.State, Why: r.BlockedBy, Skipped: r.SkipReason, ForMS: (now - r.Since).Milliseconds(),
			Runs: r.Runs, Failed: r.Failed, Late: r.StartedLate, Skips: r.Skipped, Slices: r.Slices, Bytes: r.Used.Bytes, Operations: r.Used.Operations,
			SpentMS: r.Used.Time.Seconds() * 1000, LongestMS: r.LongestSlice.Seconds() * 1000, SlowestMS: r.LongestWorkerPart.Seconds() * 1000})
	}
	return s
}

const (
	workers   = 2                // for chores
	aTurn     = time.Millisecond // that slices may take in one turn of the loop
	leastRest = time.Millisecond // between two turns with slices
	lastWords = 2 * time.Second  // that workers have when the driver ends
)

// chore takes in work, which runs from now on.
func (n *Node) chore(c background.Job, act duty) background.JobID {
	b := &n.background
	if b.plan == nil {
		b.plan = background.New(workers)
	}
	b.duties = append(b.duties, act)
	number := b.plan.Add(c, n.loop.Now())
	n.plan()
	return number
}

// askFor lets a chore run as soon as it may.
func (n *Node) askFor(number background.JobID) {
	n.background.plan.Trigger(number, n.loop.Now())
	n.plan()
}

// plan lets the next slice come when it is time.
func (n *Node) plan() {
	b := &n.background
	at, any := b.plan.NextWake(n.loop.Now())
	if !any || b.due != nil && b.at <= at {
		return
	}
	n.loop.Forget(b.due)
	b.at = max(at, n.loop.Now()+leastRest)
	b.due = n.loop.At(b.at, n.slice)
}

// slice runs what may run, for a moment.
func (n *Node) slice() {
	b, now := &n.background, n.loop.Now()
	b.plan.ReportLateness(now-b.at, now)
	b.due = nil
	for began := n.loop.Clock(); n.loop.Clock()-began < aTurn; {
		number, any := b.plan.Next(now)
		if !any {
			break
		}
		from := n.loop.Clock()
		took, how := b.duties[number]()
		took.Time += n.loop.Clock() - from
		if b.plan.SliceEnded(number, took, how, now); how == background.More && n.simulated {
			break // there no time passes in a turn
		}
	}
	n.plan()
}

// returned tells that what a chore gave to a worker is back.
func (n *Node) returned(number background.JobID, took background.Usage, err error) {
	how := background.Done
	if err != nil {
		how = background.Failed
	}
	n.background.plan.SliceEnded(number, took, how, n.loop.Now())
	n.plan()
}

// carry lets a worker act, and the loop go on with the outcome.
func (n *Node) carry(act func() error, then func(error, time.Duration)) {
	if n.background.jobs == nil {
		err := act()
		n.loop.Later(func() { then(err, 0) })
		return
	}
	n.background.jobs <- job{act, then}
}

// hearWorkers takes what they have done.
func (n *Node) hearWorkers() {
	for {
		select {
		case act := <-n.background.done:
			act()
		default:
			return
		}
	}
}

// work lets goroutines of their own do what would block the loop. They ring it when they are done.
func (n *Node) work() (end func()) {
	if n.background.plan == nil && n.leases == nil && n.configuration == nil {
		return func() {}
	}
	const hands = workers + 2 // one more for promises and one for configurations, so that the loop never waits for a place
	jobs, over := make(chan job, hands), make(chan struct{}, hands)
	n.background.jobs, n.background.done = jobs, make(chan func(), hands)
	for range hands {
		go func() {
			for j := range jobs {
				began := time.Now()
				err := j.act()
				took := time.Since(began)
				n.background.done <- func() { j.then(err, took) }
				n.loop.Ring()
			}
			over <- struct{}{}
		}()
	}
	return func() {
		close(jobs)
		waits := hands
		for patience := time.After(lastWords); waits > 0; waits-- {
			select {
			case <-over:
			case <-patience:
				waits = 1
			}
		}
		n.hearWorkers()
		n.saveRest()
	}
}
