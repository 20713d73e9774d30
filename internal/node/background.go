package node

import (
	"time"

	"passtack/internal/background"
	"passtack/internal/loop"
)

const (
	sliceBudget      = time.Millisecond // for slices in one iteration of the event loop
	minSliceInterval = time.Millisecond // between two iterations with slices
)

// jobSlice runs one slice of a background job on the event loop.
type jobSlice func() (background.Usage, background.Outcome)

// backgroundJobs runs the background jobs of a driver on its event loop, when their scheduler says so.
type backgroundJobs struct {
	loop      *loop.Loop
	simulated bool // time stands still within an iteration of the loop
	scheduler *background.Scheduler
	slices    []jobSlice // by background.JobID
	timer     loop.Timer // of the next slice
	wakeAt    time.Duration
}

func newBackgroundJobs(l *loop.Loop, simulated bool) *backgroundJobs {
	return &backgroundJobs{loop: l, simulated: simulated, scheduler: background.New(workerCount)}
}

// add adds a job, which runs by its schedule from now on.
func (b *backgroundJobs) add(job background.Job, slice jobSlice) background.JobID {
	b.slices = append(b.slices, slice)
	id := b.scheduler.Add(job, b.loop.Now())
	b.scheduleNext()
	return id
}

// trigger lets a job run as soon as its scheduler allows.
func (b *backgroundJobs) trigger(id background.JobID) {
	b.scheduler.Trigger(id, b.loop.Now())
	b.scheduleNext()
}

// workerReturned reports that a worker has done its part of a job.
func (b *backgroundJobs) workerReturned(id background.JobID, used background.Usage, err error) {
	outcome := background.Done
	if err != nil {
		outcome = background.Failed
	}
	b.scheduler.SliceEnded(id, used, outcome, b.loop.Now())
	b.scheduleNext()
}

// scheduleNext sets the timer for the next slice, unless it is set to an earlier time.
func (b *backgroundJobs) scheduleNext() {
	now := b.loop.Now()
	at, wakes := b.scheduler.NextWake(now)
	if !wakes || b.timer != nil && b.wakeAt <= at {
		return
	}
	b.loop.Cancel(b.timer)
	b.wakeAt = max(at, now+minSliceInterval)
	b.timer = b.loop.At(b.wakeAt, b.runSlices)
}

// runSlices runs slices of the jobs that may run, up to sliceBudget.
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
			break // the clock would never reach the budget
		}
	}
	b.scheduleNext()
}
