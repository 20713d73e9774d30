package background

import "time"

// maxDoublings limits the exponent of the backoff.
const maxDoublings = 20

// SliceEnded records how a slice of a job, or its part on a worker, ended and what it used.
func (s *Scheduler) SliceEnded(id JobID, used Usage, outcome Outcome, now time.Duration) {
	j := s.jobs[id]
	j.account(used)
	if j.state == onWorker {
		s.busyWorkers--
		if j.cancelOnExit {
			j.enter(cancelled, now)
			return
		}
		j.enter(running, now)
	}
	switch outcome {
	case OnWorker:
		j.enter(onWorker, now)
		s.busyWorkers++
	case Done:
		j.lastDone = now
		j.failures = 0
		j.endRun(j.Period, now)
	case Failed:
		wait := max(j.Period, j.backoff())
		j.report.Failed++
		j.failures++
		j.endRun(wait, now)
	}
}

// account adds the usage of a slice. The time of a worker counts only in the report, since it takes no time of the event loop.
func (j *scheduledJob) account(used Usage) {
	r := &j.report
	r.Slices++
	r.Used.add(used)
	if j.state == onWorker {
		r.LongestWorkerPart = max(r.LongestWorkerPart, used.Time)
		used.Time = 0
	} else {
		r.LongestSlice = max(r.LongestSlice, used.Time)
	}
	j.loopTime += used.Time
	j.budget.spend(used)
}

// backoff returns the wait after a failure that follows j.failures others.
func (j *scheduledJob) backoff() time.Duration {
	if j.MinBackoff == 0 {
		return 0
	}
	return min(j.MinBackoff<<min(j.failures, maxDoublings), max(j.MaxBackoff, j.MinBackoff))
}

// endRun ends a run. The next run is due after wait, or at once if the job was triggered during this run and has not failed.
func (j *scheduledJob) endRun(wait, now time.Duration) {
	retries := j.Period == 0 && j.failures > 0 && j.MinBackoff > 0
	j.enter(idle, now)
	j.due = now + wait
	j.nextDue = 0
	if j.triggered && j.failures == 0 {
		j.due = now
	}
	if j.triggered || retries {
		j.state = waiting
	}
	j.triggered = false
}
