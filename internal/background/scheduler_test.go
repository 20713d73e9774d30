package background

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

const ms = time.Millisecond

// RPCs go first: while the loop is late nothing runs, but for what has passed its deadline, one slice in a tenth of a second.
func TestJobsYieldToRPCs(t *testing.T) {
	p := New(1)
	p.Add(Job{Name: "patient", Priority: 2, Period: 10 * ms}, 0)
	p.Add(Job{Name: "pressing", Priority: 1, Period: 10 * ms, Deadline: 300 * ms}, 0)
	ran := make(map[string]int)
	for now := time.Duration(0); now < 2*time.Second; now += 5 * ms {
		p.ReportLateness(20*ms, now)
		if n, ok := p.Next(now); ok {
			ran[p.jobs[n].Name]++
			p.SliceEnded(n, Usage{Time: ms}, More, now)
		}
	}
	if ran["patient"] != 0 || ran["pressing"] < 12 || ran["pressing"] > 18 {
		t.Errorf("while the loop is late: %v", ran)
	}
	reports := p.Reports(2 * time.Second)
	if r := reports[0]; r.BlockedBy != "yields" || r.Skipped < 100 || r.SkipReason != "yields" {
		t.Errorf("what waits says %+v", r)
	}
	if n, ok := p.Next(2*time.Second + lateCooldown); !ok || p.jobs[n].Name != "patient" {
		t.Error("once the loop is in time the higher priority does not run")
	}
}

// Within one priority time is shared evenly, whatever a slice takes; a chore that rested has no claim on the time before. A lower one runs
// only once no higher one is due.
func TestPrioritiesAndFairness(t *testing.T) {
	p := New(4)
	slice := []time.Duration{ms, 5 * ms, 2 * ms, ms}
	for i, priority := range []int{1, 1, 1, 0} {
		p.Add(Job{Name: fmt.Sprint(i), Priority: priority}, 0)
	}
	p.Trigger(0, 0)
	p.Trigger(1, 0)
	p.Trigger(3, 0)
	spent, now := make([]time.Duration, 4), time.Duration(0)
	run := func(until time.Duration) {
		for now < until {
			n, ok := p.Next(now)
			if !ok {
				t.Fatal("nothing runs")
			}
			now += slice[n]
			spent[n] += slice[n]
			p.SliceEnded(n, Usage{Time: slice[n]}, More, now)
		}
	}
	if run(time.Second); (spent[0]-spent[1]).Abs() > 10*ms || spent[3] != 0 {
		t.Errorf("spent %v", spent)
	}
	p.Trigger(2, now)
	before := slices.Clone(spent)
	if run(now + 600*ms); (spent[2]-(spent[0]-before[0])).Abs() > 15*ms || (spent[2]-(spent[1]-before[1])).Abs() > 15*ms {
		t.Errorf("who comes later gets %v, the others %v and %v", spent[2], spent[0]-before[0], spent[1]-before[1])
	}
	for n := range 3 {
		p.SliceEnded(n, Usage{}, Done, now)
	}
	if n, ok := p.Next(now); !ok || n != 3 {
		t.Error("the lowest does not run though no other is due")
	}
}

// Budgets hold over any second and are not lost to a long rest; dependencies, deadlines, cancels and workers are kept.
func TestBudgetsDependenciesAndWorkers(t *testing.T) {
	p := New(1)
	a := p.Add(Job{Name: "a", Budget: Usage{Bytes: 1000, Operations: 5}}, 0)
	now, bytes := time.Duration(0), 0
	for ; now < 10*time.Second; now += ms {
		p.Trigger(a, now)
		if n, ok := p.Next(now); ok {
			p.SliceEnded(n, Usage{Bytes: 100, Operations: 1}, Done, now)
			bytes += 100
		}
	}
	if bytes < 4900 || bytes > 6000 { // five operations a second are the narrower bound
		t.Errorf("%d bytes in ten seconds", bytes)
	}
	p = New(1)
	first := p.Add(Job{Name: "first"}, 0)
	second := p.Add(Job{Name: "second", After: []string{"first", "nobody"}}, 0)
	third := p.Add(Job{Name: "third"}, 0)
	p.Trigger(second, 0)
	if _, ok := p.Next(0); ok || p.Reports(0)[second].BlockedBy != "dependency" {
		t.Error("it runs before what it depends on")
	}
	p.Trigger(first, ms)
	if n, ok := p.Next(ms); !ok || n != first {
		t.Fatal("the first does not run")
	}
	p.SliceEnded(first, Usage{}, OnWorker, ms)
	p.Trigger(third, 2*ms)
	if _, ok := p.Next(2 * ms); ok || p.Reports(2 * ms)[third].BlockedBy != "workers" || p.BusyWorkers() != 1 {
		t.Error("more is out than there are workers")
	}
	if !p.Cancel(first, 3*ms) {
		t.Error("what is away is cancelled at once")
	}
	p.SliceEnded(first, Usage{}, Done, 4*ms)
	if p.Reports(5 * ms)[first].State != "cancelled" || p.BusyWorkers() != 0 {
		t.Error("what was cancelled while away goes on")
	}
	if n, ok := p.Next(5 * ms); !ok || n != second { // nobody is left to wait for
		t.Error("a cancelled chore is waited for")
	}
}

// A chore that fails comes back later and later, up to its bound, and as usual once it succeeds. One that is asked for while it runs runs
// once more.
func TestFailuresAndTriggers(t *testing.T) {
	p := New(1)
	n := p.Add(Job{Name: "save", Period: 100 * ms, MinBackoff: 100 * ms, MaxBackoff: time.Minute}, 0)
	runs := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * ms {
		if _, ok := p.Next(now); ok {
			runs++
			p.SliceEnded(n, Usage{}, Failed, now)
		}
	}
	if runs < 15 || runs > 22 {
		t.Errorf("%d runs in ten minutes of failures", runs)
	}
	now := 12 * time.Minute
	if _, ok := p.Next(now); !ok {
		t.Fatal("it does not come back")
	}
	p.SliceEnded(n, Usage{}, OnWorker, now)
	p.Trigger(n, now+ms)
	p.SliceEnded(n, Usage{}, Done, now+2*ms)
	if _, ok := p.Next(now + 2*ms); !ok {
		t.Error("what was asked for meanwhile does not run")
	}
	p.SliceEnded(n, Usage{}, Done, now+3*ms)
	if _, ok := p.Next(now + 50*ms); ok {
		t.Error("it runs before its period is over")
	}
	if at, ok := p.NextWake(now + 50*ms); !ok || at != now+103*ms {
		t.Errorf("it wakes at %v", at-now)
	}
	once := New(1)
	k := once.Add(Job{Name: "once", MinBackoff: time.Second, MaxBackoff: time.Second}, 0)
	once.Trigger(k, 0)
	once.Next(0)
	once.SliceEnded(k, Usage{}, Failed, 0)
	if _, ok := once.Next(999 * ms); ok {
		t.Error("it does not wait after a failure")
	}
	if _, ok := once.Next(time.Second); !ok {
		t.Error("what failed is not tried again")
	}
}

// Whatever happens in whatever order: no more is away than there are workers, nothing runs that was cancelled, and whenever something may
// run the plan wakes for it in time.
func TestSchedulerInAnyOrder(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		p, now := New(workers), time.Duration(0)
		out, dead := []int(nil), make(map[int]bool)
		for i := range rapid.IntRange(1, 5).Draw(t, "chores") {
			c := Job{Name: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Period: time.Duration(rapid.IntRange(0, 50).Draw(t, "period")) * ms,
				Deadline: time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * ms, Budget: Usage{Operations: rapid.IntRange(0, 20).Draw(t, "operations")},
				MinBackoff: 10 * ms, MaxBackoff: 80 * ms}
			if i > 0 && rapid.Bool().Draw(t, "depends") {
				c.After = []string{fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "on"))}
			}
			p.Add(c, now)
		}
		any := func() int { return rapid.IntRange(0, len(p.jobs)-1).Draw(t, "chore") }
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Trigger(any(), now)
			case 1:
				p.ReportLateness(time.Duration(rapid.IntRange(0, 30).Draw(t, "late"))*ms, now)
			case 2:
				n := any()
				dead[n] = true
				p.Cancel(n, now)
			case 3:
				if len(out) > 0 {
					p.SliceEnded(out[0], Usage{Time: ms, Operations: 1}, rapid.SampledFrom([]Outcome{Done, Failed}).Draw(t, "end"), now)
					out = out[1:]
				}
			default:
				at, wakes := p.NextWake(now)
				n, ok := p.Next(now)
				if ok && (!wakes || at > now) {
					t.Fatalf("something may run now, but it wakes at %v (%v)", at-now, wakes)
				}
				if !ok {
					continue
				}
				if dead[n] || slices.Contains(out, n) {
					t.Fatal("it runs though it was cancelled or is away")
				}
				how := rapid.SampledFrom([]Outcome{More, OnWorker, Done, Failed}).Draw(t, "how")
				if p.SliceEnded(n, Usage{Time: ms, Operations: 1}, how, now); how == OnWorker {
					out = append(out, n)
				}
			}
			if len(out) != p.BusyWorkers() || p.BusyWorkers() > workers {
				t.Fatalf("%d are away, %d are known of, %d workers", len(out), p.BusyWorkers(), workers)
			}
		}
	})
}
