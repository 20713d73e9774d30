package background

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/proptest"
)

const ms = time.Millisecond

// RPCs take precedence: while the event loop is late, only overdue jobs may run, one slice every tenth of a second.
func TestJobsYieldToRPCs(t *testing.T) {
	s := New(1)
	s.Add(Job{Name: "without deadline", Priority: 2, Period: 10 * ms}, 0)
	s.Add(Job{Name: "with deadline", Priority: 1, Period: 10 * ms, Deadline: 300 * ms}, 0)
	ran := make(map[string]int)
	for now := time.Duration(0); now < 2*time.Second; now += 5 * ms {
		s.ReportLateness(20*ms, now)
		if n, ok := s.Next(now); ok {
			ran[s.jobs[n].Name]++
			s.SliceEnded(n, Usage{Time: ms}, More, now)
		}
	}
	if ran["without deadline"] != 0 || ran["with deadline"] < 12 || ran["with deadline"] > 18 {
		t.Errorf("slices while the event loop is late: %v", ran)
	}
	reports := s.Reports(2 * time.Second)
	if r := reports[0]; r.BlockedBy != "yields" || r.Skipped < 100 || r.SkipReason != "yields" {
		t.Errorf("the waiting job reports %+v", r)
	}
	if n, ok := s.Next(2*time.Second + lateCooldown); !ok || s.jobs[n].Name != "without deadline" {
		t.Error("the job of the higher priority does not run once the event loop is in time")
	}
}

// Jobs of the same priority must get the same time of the event loop, whatever the length of their slices, and a job that was idle must
// not catch up. A job of a lower priority may run only if none of a higher priority may.
func TestPrioritiesAndFairness(t *testing.T) {
	s := New(4)
	slice := []time.Duration{ms, 5 * ms, 2 * ms, ms}
	for i, priority := range []int{1, 1, 1, 0} {
		s.Add(Job{Name: fmt.Sprint(i), Priority: priority}, 0)
	}
	s.Trigger(0, 0)
	s.Trigger(1, 0)
	s.Trigger(3, 0)
	spent, now := make([]time.Duration, 4), time.Duration(0)
	run := func(until time.Duration) {
		for now < until {
			n, ok := s.Next(now)
			if !ok {
				t.Fatal("no job runs")
			}
			now += slice[n]
			spent[n] += slice[n]
			s.SliceEnded(n, Usage{Time: slice[n]}, More, now)
		}
	}
	if run(time.Second); (spent[0]-spent[1]).Abs() > 10*ms || spent[3] != 0 {
		t.Errorf("time by job: %v", spent)
	}
	s.Trigger(2, now)
	before := slices.Clone(spent)
	if run(now + 600*ms); (spent[2]-(spent[0]-before[0])).Abs() > 15*ms || (spent[2]-(spent[1]-before[1])).Abs() > 15*ms {
		t.Errorf("the job triggered later gets %v, the others %v and %v", spent[2], spent[0]-before[0], spent[1]-before[1])
	}
	for n := range JobID(3) {
		s.SliceEnded(n, Usage{}, Done, now)
	}
	if n, ok := s.Next(now); !ok || n != 3 {
		t.Error("the job of the lowest priority does not run although no other is due")
	}
}

// No job may exceed its budget, start before its dependencies, run after its cancellation, or run while all workers are busy.
func TestBudgetsDependenciesAndWorkers(t *testing.T) {
	s := New(1)
	a := s.Add(Job{Name: "a", Budget: Usage{Bytes: 1000, Operations: 5}}, 0)
	now, bytes := time.Duration(0), 0
	for ; now < 10*time.Second; now += ms {
		s.Trigger(a, now)
		if n, ok := s.Next(now); ok {
			s.SliceEnded(n, Usage{Bytes: 100, Operations: 1}, Done, now)
			bytes += 100
		}
	}
	if bytes < 4900 || bytes > 6000 { // five operations a second are the stricter limit
		t.Errorf("the job writes %d bytes in ten seconds", bytes)
	}
	s = New(1)
	first := s.Add(Job{Name: "first"}, 0)
	second := s.Add(Job{Name: "second", After: []string{"first", "nobody"}}, 0)
	third := s.Add(Job{Name: "third"}, 0)
	s.Trigger(second, 0)
	if _, ok := s.Next(0); ok || s.Reports(0)[second].BlockedBy != "dependency" {
		t.Error("a job runs before the one that it depends on")
	}
	s.Trigger(first, ms)
	if n, ok := s.Next(ms); !ok || n != first {
		t.Fatal("the job without dependencies does not run")
	}
	s.SliceEnded(first, Usage{}, OnWorker, ms)
	s.Trigger(third, 2*ms)
	if _, ok := s.Next(2 * ms); ok || s.Reports(2 * ms)[third].BlockedBy != "workers" || s.BusyWorkers() != 1 {
		t.Error("more jobs run than there are workers")
	}
	if !s.Cancel(first, 3*ms) {
		t.Error("a job on a worker is cancelled at once")
	}
	s.SliceEnded(first, Usage{}, Done, 4*ms)
	if s.Reports(5 * ms)[first].State != "cancelled" || s.BusyWorkers() != 0 {
		t.Error("a job cancelled while on a worker continues")
	}
	if n, ok := s.Next(5 * ms); !ok || n != second { // its only other dependency does not exist
		t.Error("a job waits for a dependency that was cancelled")
	}
}

// A job that fails must be retried with exponential backoff up to its limit, and run with its period again once it succeeds. A job that
// is triggered during a run must run once more.
func TestFailuresAndTriggers(t *testing.T) {
	s := New(1)
	n := s.Add(Job{Name: "save", Period: 100 * ms, MinBackoff: 100 * ms, MaxBackoff: time.Minute}, 0)
	runs := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * ms {
		if _, ok := s.Next(now); ok {
			runs++
			s.SliceEnded(n, Usage{}, Failed, now)
		}
	}
	if runs < 15 || runs > 22 {
		t.Errorf("%d runs in ten minutes in which all fail", runs)
	}
	now := 12 * time.Minute
	if _, ok := s.Next(now); !ok {
		t.Fatal("the job is not retried within its longest backoff")
	}
	s.SliceEnded(n, Usage{}, OnWorker, now)
	s.Trigger(n, now+ms)
	s.SliceEnded(n, Usage{}, Done, now+2*ms)
	if _, ok := s.Next(now + 2*ms); !ok {
		t.Error("a job triggered during its run does not run again")
	}
	s.SliceEnded(n, Usage{}, Done, now+3*ms)
	if _, ok := s.Next(now + 50*ms); ok {
		t.Error("the job runs before its period is over")
	}
	if at, ok := s.NextWake(now + 50*ms); !ok || at != now+103*ms {
		t.Errorf("the scheduler wakes at %v, want 103ms", at-now)
	}
	once := New(1)
	k := once.Add(Job{Name: "once", MinBackoff: time.Second, MaxBackoff: time.Second}, 0)
	once.Trigger(k, 0)
	once.Next(0)
	once.SliceEnded(k, Usage{}, Failed, 0)
	if _, ok := once.Next(999 * ms); ok {
		t.Error("a failed job does not wait for its backoff")
	}
	if _, ok := once.Next(time.Second); !ok {
		t.Error("a failed job is not retried")
	}
}

// For any order of calls: no more jobs may be on workers than there are workers, no cancelled job may run, and the scheduler must wake
// no later than a job may run.
func TestSchedulerInvariantsInAnyOrderOfCalls(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		s, now := New(workers), time.Duration(0)
		onWorkers, wasCancelled := []JobID(nil), make(map[JobID]bool)
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			job := Job{Name: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Period: time.Duration(rapid.IntRange(0, 50).Draw(t, "period")) * ms,
				Deadline: time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * ms, Budget: Usage{Operations: rapid.IntRange(0, 20).Draw(t, "operations")},
				MinBackoff: 10 * ms, MaxBackoff: 80 * ms}
			if i > 0 && rapid.Bool().Draw(t, "depends") {
				job.After = []string{fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "on"))}
			}
			s.Add(job, now)
		}
		randomJob := func() JobID { return JobID(rapid.IntRange(0, len(s.jobs)-1).Draw(t, "job")) }
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.Trigger(randomJob(), now)
			case 1:
				s.ReportLateness(time.Duration(rapid.IntRange(0, 30).Draw(t, "late"))*ms, now)
			case 2:
				n := randomJob()
				wasCancelled[n] = true
				s.Cancel(n, now)
			case 3:
				if len(onWorkers) > 0 {
					s.SliceEnded(onWorkers[0], Usage{Time: ms, Operations: 1}, rapid.SampledFrom([]Outcome{Done, Failed}).Draw(t, "outcome on the worker"), now)
					onWorkers = onWorkers[1:]
				}
			default:
				at, wakes := s.NextWake(now)
				n, ok := s.Next(now)
				if ok && (!wakes || at > now) {
					t.Fatalf("a job may run now, but the scheduler wakes in %v (%v)", at-now, wakes)
				}
				if !ok {
					continue
				}
				if wasCancelled[n] || slices.Contains(onWorkers, n) {
					t.Fatal("a job runs although it was cancelled or is on a worker")
				}
				outcome := rapid.SampledFrom([]Outcome{More, OnWorker, Done, Failed}).Draw(t, "how")
				if s.SliceEnded(n, Usage{Time: ms, Operations: 1}, outcome, now); outcome == OnWorker {
					onWorkers = append(onWorkers, n)
				}
			}
			if len(onWorkers) != s.BusyWorkers() || s.BusyWorkers() > workers {
				t.Fatalf("%d jobs are on workers, the scheduler reports %d of %d workers busy", len(onWorkers), s.BusyWorkers(), workers)
			}
		}
	})
}
