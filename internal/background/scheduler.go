// Package background decides which background job of a driver runs when. RPCs go first: while the event loop is late all jobs
// yield, except those that have passed their deadline, which get one slice at a time, seldom.
//
// A Scheduler does no work itself. Its host asks for the next job, runs a slice of it on the event loop or hands it to a worker,
// and reports what that took.
package background

import (
	"slices"
	"time"
)

const (
	// lateThreshold is the lateness of the event loop from which jobs yield: two ticks of the module.
	lateThreshold = 10 * time.Millisecond
	// lateCooldown is for how long jobs go on yielding after the loop was late.
	lateCooldown = 50 * time.Millisecond
	// overdueSlicePause is the time between two slices of overdue jobs while the loop is late.
	overdueSlicePause = 100 * time.Millisecond
	// recheckInterval is after how long a blocked job is looked at again.
	recheckInterval = lateThreshold
)

// longAgo is before all times that count.
const longAgo = time.Duration(-1 << 62)

// Scheduler holds the background jobs of one driver. It is used by one goroutine.
type Scheduler struct {
	workers     int
	busyWorkers int
	jobs        []*scheduledJob
	lateAt      time.Duration // when the event loop was last late
	overdueAt   time.Duration // when a slice last ran although the loop was late
}

// scheduledJob is a job and its state.
type scheduledJob struct {
	Job
	state        jobState
	since        time.Duration // when the state was entered
	due          time.Duration // when the job is, or was, due
	nextDue      time.Duration // while a run is waiting or running: when the next comes due; 0: unknown
	lastDone     time.Duration // end of the last successful run
	failures     int           // consecutive
	loopTime     time.Duration // taken of the event loop, by which jobs of one priority are ranked
	budget       budget
	triggered    bool // while it was running
	cancelOnExit bool // cancelled while a worker had it
	report       RunReport
}

// New returns a scheduler for this number of workers.
func New(workers int) *Scheduler {
	return &Scheduler{workers: workers, lateAt: longAgo, overdueAt: longAgo}
}

// Add adds a job, which is due for the first time after its period.
func (s *Scheduler) Add(job Job, now time.Duration) JobID {
	s.jobs = append(s.jobs, &scheduledJob{
		Job:      job,
		since:    now,
		due:      now + job.Period,
		lastDone: longAgo,
		budget:   newBudget(job.Budget, now),
		report:   RunReport{Name: job.Name},
	})
	return JobID(len(s.jobs) - 1)
}

// Trigger makes a job due now. One that is running becomes due again when it ends.
func (s *Scheduler) Trigger(id JobID, now time.Duration) {
	j := s.jobs[id]
	switch j.state {
	case idle:
		j.due = min(j.due, now)
		if j.Period == 0 {
			j.due = now
		}
		s.enqueue(j, now)
	case running, onWorker:
		j.triggered = true
	}
}

// Cancel removes a job. It returns true if a worker has the job: the job is then cancelled when the worker returns.
func (s *Scheduler) Cancel(id JobID, now time.Duration) (pending bool) {
	j := s.jobs[id]
	if j.state == onWorker {
		j.cancelOnExit = true
		return true
	}
	j.enter(cancelled, now)
	return false
}

// ReportLateness reports how late the event loop came to something.
func (s *Scheduler) ReportLateness(lateness, now time.Duration) {
	if lateness >= lateThreshold {
		s.lateAt = now
	}
}

// loopLate reports whether RPCs need the event loop now.
func (s *Scheduler) loopLate(now time.Duration) bool { return now-s.lateAt < lateCooldown }

// Next returns the job that is to run a slice now; ok is false if none may.
func (s *Scheduler) Next(now time.Duration) (id JobID, ok bool) {
	var best *scheduledJob
	for i, j := range s.jobs {
		s.update(j, now)
		if s.blockedBy(j, now) != NotBlocked {
			continue
		}
		if best == nil || j.goesBefore(best) {
			best, id = j, JobID(i)
		}
	}
	if best == nil {
		return 0, false
	}
	if s.loopLate(now) {
		s.overdueAt = now
	}
	if best.state == waiting {
		best.start(now)
	}
	return id, true
}

// goesBefore ranks two jobs that may run.
func (j *scheduledJob) goesBefore(other *scheduledJob) bool {
	if j.Priority != other.Priority {
		return j.Priority > other.Priority
	}
	return j.loopTime < other.loopTime
}

func (j *scheduledJob) enter(state jobState, now time.Duration) { j.state, j.since = state, now }

func (j *scheduledJob) start(now time.Duration) {
	j.enter(running, now)
	j.report.Runs++
	if j.Deadline > 0 && now > j.due+j.Deadline {
		j.report.StartedLate++
	}
}

// overdue reports whether a job has reached its deadline.
func (j *scheduledJob) overdue(now time.Duration) bool {
	return j.Deadline > 0 && now >= j.due+j.Deadline
}

// update lets an idle job wait once it is due, and counts the runs that a waiting or running one has missed.
func (s *Scheduler) update(j *scheduledJob, now time.Duration) {
	if j.Period <= 0 {
		return
	}
	if j.state == idle && now >= j.due {
		s.enqueue(j, j.due)
		j.nextDue = j.due + j.Period
	}
	for j.active() && j.nextDue > 0 && now >= j.nextDue {
		j.report.Skipped++
		j.report.SkipReason = "the run before"
		if j.state == waiting {
			j.report.SkipReason = s.blockedBy(j, now).String()
		}
		j.nextDue += j.Period
	}
}

func (j *scheduledJob) active() bool {
	return j.state == waiting || j.state == running || j.state == onWorker
}

// enqueue lets a job wait for its turn. Having been idle gives it no claim on the time that others took meanwhile.
func (s *Scheduler) enqueue(j *scheduledJob, since time.Duration) {
	j.enter(waiting, since)
	j.nextDue = 0
	j.loopTime = max(j.loopTime, s.minLoopTime(j))
}

// minLoopTime returns the least loop time of the other active jobs of the same priority, 0 without any.
func (s *Scheduler) minLoopTime(j *scheduledJob) time.Duration {
	least, found := time.Duration(0), false
	for _, other := range s.jobs {
		if other == j || other.Priority != j.Priority || other.state != waiting && other.state != running {
			continue
		}
		if !found || other.loopTime < least {
			least, found = other.loopTime, true
		}
	}
	return least
}

// blockedBy returns what prevents a job from running a slice now.
func (s *Scheduler) blockedBy(j *scheduledJob, now time.Duration) BlockedReason {
	switch j.state {
	case idle:
		return NotDue
	case cancelled:
		return JobCancelled
	case onWorker:
		return WorkersBusy
	}
	if j.state == waiting && now < j.due {
		return NotDue
	}
	if j.budget.refill(now); j.budget.exhausted() {
		return BudgetExhausted
	}
	if j.state == waiting && !s.dependenciesDone(j) {
		return Dependency
	}
	if s.busyWorkers >= s.workers {
		return WorkersBusy
	}
	if s.loopLate(now) && !s.mayRunOverdue(j, now) {
		return LoopLate
	}
	return NotBlocked
}

// mayRunOverdue reports whether a job gets a slice although the event loop is late.
func (s *Scheduler) mayRunOverdue(j *scheduledJob, now time.Duration) bool {
	return j.overdue(now) && now-s.overdueAt >= overdueSlicePause
}

// dependenciesDone reports whether all jobs of Job.After have finished since this one was due.
func (s *Scheduler) dependenciesDone(j *scheduledJob) bool {
	return !slices.ContainsFunc(j.After, func(name string) bool { return !s.doneSince(name, j.due) })
}

// doneSince reports whether a job has finished since then. Nobody waits for names without a job.
func (s *Scheduler) doneSince(name string, since time.Duration) bool {
	for _, j := range s.jobs {
		if j.Name == name && j.state != cancelled {
			return j.lastDone >= since
		}
	}
	return true
}

// NextWake returns when Next has to be asked again at the latest; ok is false if nothing has to be done before the next Trigger or
// SliceEnded.
func (s *Scheduler) NextWake(now time.Duration) (at time.Duration, ok bool) {
	for _, j := range s.jobs {
		if wake, wakes := s.wakeOf(j, now); wakes && (!ok || wake < at) {
			at, ok = wake, true
		}
	}
	return at, ok
}

func (s *Scheduler) wakeOf(j *scheduledJob, now time.Duration) (at time.Duration, ok bool) {
	switch s.blockedBy(j, now) {
	case NotBlocked:
		return now, true
	case NotDue:
		return max(j.due, now), j.Period > 0 || j.state == waiting
	case LoopLate, BudgetExhausted, Dependency:
		return now + recheckInterval, true
	}
	return 0, false
}

// BusyWorkers returns how many workers have a job.
func (s *Scheduler) BusyWorkers() int { return s.busyWorkers }

// Reports returns the reports of all jobs, by JobID.
func (s *Scheduler) Reports(now time.Duration) []RunReport {
	var reports []RunReport
	for _, j := range s.jobs {
		s.update(j, now)
		r := j.report
		r.State = j.state.String()
		r.Since = j.since
		if j.state == waiting {
			reason := s.blockedBy(j, now)
			if reason == NotBlocked {
				reason = Outranked
			}
			r.BlockedBy = reason.String()
		}
		reports = append(reports, r)
	}
	return reports
}
