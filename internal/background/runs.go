package background

import "time"

// maxDoublings limits the exponent of the backoff.
const maxDoublings = 20

// SliceEnded reports how a slice, or the part of a worker, ended and what it took.
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

// account adds what a slice took. The time of a worker counts only in the report: it is not the event loop's.
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

// backoff returns how long to wait after another failure.
func (j *scheduledJob) backoff() time.Duration {
	if j.MinBackoff == 0 {
		return 0
	}
	return min(j.MinBackoff<<min(j.failures, maxDoublings), max(j.MaxBackoff, j.MinBackoff))
}

// endRun ends a run. The next is due after wait, or at once if the job was triggered meanwhile and has not failed.
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
