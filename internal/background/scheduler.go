// Package background schedules the background jobs of a driver. RPCs take precedence: while the event loop is late, all jobs yield,
// except that jobs past their deadline get one slice every overdueSlicePause.
//
// A Scheduler runs no jobs itself. Its caller asks for the next job, runs a slice of it on the event loop or passes it to a worker, and
// reports the usage.
package background

import (
	"slices"
	"time"
)

const (
	// lateThreshold is the lateness of the event loop from which jobs yield: two ticks of the decision module.
	lateThreshold = 10 * time.Millisecond
	// lateCooldown is the time for which jobs yield after the event loop was late.
	lateCooldown = 50 * time.Millisecond
	// overdueSlicePause is the shortest time between two slices of overdue jobs while the event loop is late.
	overdueSlicePause = 100 * time.Millisecond
	// recheckInterval is the time after which a blocked job is checked again.
	recheckInterval = lateThreshold
)

// longAgo is earlier than any other time.
const longAgo = time.Duration(-1 << 62)

// Scheduler holds the background jobs of one driver. It is used by one goroutine.
type Scheduler struct {
	workers            int
	busyWorkers        int
	jobs               []*scheduledJob
	lastLateAt         time.Duration // when the event loop was last reported late
	lastOverdueSliceAt time.Duration // when a slice last ran while the event loop was late
}

// scheduledJob is a job and its state.
type scheduledJob struct {
	Job
	state        jobState
	since        time.Duration // when the state was entered
	due          time.Duration // when the next run, or the one waiting or running, is due
	nextDue      time.Duration // when the run after the one waiting or running becomes due; 0: unknown
	lastDone     time.Duration // end of the last successful run
	failures     int           // consecutive
	loopTime     time.Duration // time taken of the event loop, by which jobs of the same priority are ranked
	budget       budget
	triggered    bool // the job was triggered while it was running or on a worker
	cancelOnExit bool // the job was cancelled while it was on a worker
	report       RunReport
}

// New returns a scheduler without jobs for this number of workers.
func New(workers int) *Scheduler {
	return &Scheduler{workers: workers, lastLateAt: longAgo, lastOverdueSliceAt: longAgo}
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

// Trigger makes a job due now. A job that is running becomes due again when its run ends.
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

// Cancel removes a job. If the job is on a worker, it is removed when the worker returns, and pending is true.
func (s *Scheduler) Cancel(id JobID, now time.Duration) (pending bool) {
	j := s.jobs[id]
	if j.state == onWorker {
		j.cancelOnExit = true
		return true
	}
	j.enter(cancelled, now)
	return false
}

// ReportLateness records by how much the event loop was late to handle an event.
func (s *Scheduler) ReportLateness(lateness, now time.Duration) {
	if lateness >= lateThreshold {
		s.lastLateAt = now
	}
}

// loopLate reports whether the event loop was late less than lateCooldown ago.
func (s *Scheduler) loopLate(now time.Duration) bool { return now-s.lastLateAt < lateCooldown }

// Next returns the job that has to run a slice now; ok is false if no job may run.
func (s *Scheduler) Next(now time.Duration) (id JobID, ok bool) {
	var best *scheduledJob
	for i, j := range s.jobs {
		s.update(j, now)
		if s.blockedBy(j, now) != NotBlocked {
			continue
		}
		if best == nil || j.ranksBefore(best) {
			best, id = j, JobID(i)
		}
	}
	if best == nil {
		return 0, false
	}
	if s.loopLate(now) {
		s.lastOverdueSliceAt = now
	}
	if best.state == waiting {
		best.start(now)
	}
	return id, true
}

// ranksBefore reports whether the job runs before another one if both may run.
func (j *scheduledJob) ranksBefore(other *scheduledJob) bool {
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

// overdue reports whether the job has reached its deadline.
func (j *scheduledJob) overdue(now time.Duration) bool {
	return j.Deadline > 0 && now >= j.due+j.Deadline
}

// update makes an idle periodic job wait once it is due, and counts the runs that a waiting or running job has skipped.
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

// enqueue makes a job wait. Its loop time is raised to that of the other jobs, so that it does not catch up on the time that they took
// while it was idle.
func (s *Scheduler) enqueue(j *scheduledJob, since time.Duration) {
	j.enter(waiting, since)
	j.nextDue = 0
	j.loopTime = max(j.loopTime, s.minLoopTime(j))
}

// minLoopTime returns the least loop time of the other jobs of the same priority that wait or run on the event loop, 0 if there are none.
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

// blockedBy returns why a job may not run a slice now, NotBlocked if it may.
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

// mayRunOverdue reports whether an overdue job may run a slice while the event loop is late.
func (s *Scheduler) mayRunOverdue(j *scheduledJob, now time.Duration) bool {
	return j.overdue(now) && now-s.lastOverdueSliceAt >= overdueSlicePause
}

// dependenciesDone reports whether all jobs of Job.After have finished a run since this job was due.
func (s *Scheduler) dependenciesDone(j *scheduledJob) bool {
	return !slices.ContainsFunc(j.After, func(name string) bool { return !s.doneSince(name, j.due) })
}

// doneSince reports whether the job of that name has finished a run since that time. It returns true if there is no such job.
func (s *Scheduler) doneSince(name string, since time.Duration) bool {
	for _, j := range s.jobs {
		if j.Name == name && j.state != cancelled {
			return j.lastDone >= since
		}
	}
	return true
}

// NextWake returns the latest time at which Next has to be called again; ok is false if that is not necessary before the next call of
// Trigger or SliceEnded.
func (s *Scheduler) NextWake(now time.Duration) (at time.Duration, ok bool) {
	for _, j := range s.jobs {
		if wake, wakes := s.wakeTime(j, now); wakes && (!ok || wake < at) {
			at, ok = wake, true
		}
	}
	return at, ok
}

func (s *Scheduler) wakeTime(j *scheduledJob, now time.Duration) (at time.Duration, ok bool) {
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

// BusyWorkers returns how many workers are running a job.
func (s *Scheduler) BusyWorkers() int { return s.busyWorkers }

// Reports returns the reports of all jobs, indexed by JobID.
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
