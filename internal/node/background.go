package node

import (
	"time"

	"passtack/internal/background"
	"passtack/internal/eventloop"
)

const (
	sliceBudget      = time.Millisecond // time for slices in one iteration of the event loop
	minSliceInterval = time.Millisecond // time between two iterations with slices
)

// jobSlice runs one slice of a background job on the event loop.
type jobSlice func() (background.Usage, background.Outcome)

// backgroundJobs runs the background jobs of a driver on its event loop, at the times that their scheduler sets.
type backgroundJobs struct {
	loop      *eventloop.Loop
	simulated bool // the clock does not advance within an iteration of the loop
	scheduler *background.Scheduler
	slices    []jobSlice      // by background.JobID
	timer     eventloop.Timer // for the next slice; nil: not set
	wakeAt    time.Duration   // when timer expires
}

func newBackgroundJobs(l *eventloop.Loop, simulated bool) *backgroundJobs {
	return &backgroundJobs{loop: l, simulated: simulated, scheduler: background.New(workerCount)}
}

// add registers a job, which is scheduled from now on.
func (b *backgroundJobs) add(job background.Job, slice jobSlice) background.JobID {
	b.slices = append(b.slices, slice)
	id := b.scheduler.Add(job, b.loop.Now())
	b.scheduleNext()
	return id
}

// trigger requests a run of a job as soon as the scheduler allows it.
func (b *backgroundJobs) trigger(id background.JobID) {
	b.scheduler.Trigger(id, b.loop.Now())
	b.scheduleNext()
}

// workerReturned reports to the scheduler that a worker has finished its part of a job. A non-nil err means that it failed.
func (b *backgroundJobs) workerReturned(id background.JobID, used background.Usage, err error) {
	outcome := background.Done
	if err != nil {
		outcome = background.Failed
	}
	b.scheduler.SliceEnded(id, used, outcome, b.loop.Now())
	b.scheduleNext()
}

// scheduleNext sets the timer for the next slice, unless it is already set to an earlier time.
func (b *backgroundJobs) scheduleNext() {
	now := b.loop.Now()
	at, scheduled := b.scheduler.NextWake(now)
	if !scheduled || b.timer != nil && b.wakeAt <= at {
		return
	}
	b.loop.Cancel(b.timer)
	b.wakeAt = max(at, now+minSliceInterval)
	b.timer = b.loop.At(b.wakeAt, b.runSlices)
}

// runSlices runs slices of the jobs that are due, until sliceBudget is used.
func (b *backgroundJobs) runSlices() {
	now := b.loop.Now()
	b.scheduler.ReportLateness(now-b.wakeAt, now)
	b.timer = nil
	began := b.loop.Clock()
	for b.loop.Clock()-began < sliceBudget {
		id, ok := b.scheduler.Next(now)
		if !ok {
			break
		}
		sliceBegan := b.loop.Clock()
		used, outcome := b.slices[id]()
		used.Time += b.loop.Clock() - sliceBegan
		b.scheduler.SliceEnded(id, used, outcome, now)
		if outcome == background.More && b.simulated {
			break // the simulated clock would never reach the budget
		}
	}
	b.scheduleNext()
}
