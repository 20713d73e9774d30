package chores

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
func TestWorkYieldsToRPCs(t *testing.T) {
	p := New(1)
	p.Add(Chore{Name: "patient", Priority: 2, Period: 10 * ms}, 0)
	p.Add(Chore{Name: "pressing", Priority: 1, Period: 10 * ms, Deadline: 300 * ms}, 0)
	ran := make(map[string]int)
	for now := time.Duration(0); now < 2*time.Second; now += 5 * ms {
		p.Late(20*ms, now)
		if n, ok := p.Next(now); ok {
			ran[p.all[n].Name]++
			p.Ran(n, Spending{Time: ms}, Goes, now)
		}
	}
	if ran["patient"] != 0 || ran["pressing"] < 12 || ran["pressing"] > 18 {
		t.Errorf("while the loop is late: %v", ran)
	}
	reports := p.Reports(2 * time.Second)
	if r := reports[0]; r.Why != "yields" || r.Skipped < 100 || r.Cause != "yields" {
		t.Errorf("what waits says %+v", r)
	}
	if n, ok := p.Next(2*time.Second + recovers); !ok || p.all[n].Name != "patient" {
		t.Error("once the loop is in time the higher priority does not run")
	}
}

// Within one priority time is shared evenly, whatever a slice takes; a chore that rested has no claim on the time before. A lower one runs
// only once no higher one is due.
func TestPrioritiesAndFairness(t *testing.T) {
	p := New(4)
	slice := []time.Duration{ms, 5 * ms, 2 * ms, ms}
	for i, priority := range []int{1, 1, 1, 0} {
		p.Add(Chore{Name: fmt.Sprint(i), Priority: priority}, 0)
	}
	p.Ask(0, 0)
	p.Ask(1, 0)
	p.Ask(3, 0)
	spent, now := make([]time.Duration, 4), time.Duration(0)
	run := func(until time.Duration) {
		for now < until {
			n, ok := p.Next(now)
			if !ok {
				t.Fatal("nothing runs")
			}
			now += slice[n]
			spent[n] += slice[n]
			p.Ran(n, Spending{Time: slice[n]}, Goes, now)
		}
	}
	if run(time.Second); (spent[0]-spent[1]).Abs() > 10*ms || spent[3] != 0 {
		t.Errorf("spent %v", spent)
	}
	p.Ask(2, now)
	before := slices.Clone(spent)
	if run(now + 600*ms); (spent[2]-(spent[0]-before[0])).Abs() > 15*ms || (spent[2]-(spent[1]-before[1])).Abs() > 15*ms {
		t.Errorf("who comes later gets %v, the others %v and %v", spent[2], spent[0]-before[0], spent[1]-before[1])
	}
	for n := range 3 {
		p.Ran(n, Spending{}, Done, now)
	}
	if n, ok := p.Next(now); !ok || n != 3 {
		t.Error("the lowest does not run though no other is due")
	}
}

// Budgets hold over any second and are not lost to a long rest; dependencies, deadlines, cancels and workers are kept.
func TestBudgetsDependenciesAndWorkers(t *testing.T) {
	p := New(1)
	a := p.Add(Chore{Name: "a", Budget: Spending{Bytes: 1000, Operations: 5}}, 0)
	now, bytes := time.Duration(0), 0
	for ; now < 10*time.Second; now += ms {
		p.Ask(a, now)
		if n, ok := p.Next(now); ok {
			p.Ran(n, Spending{Bytes: 100, Operations: 1}, Done, now)
			bytes += 100
		}
	}
	if bytes < 4900 || bytes > 6000 { // five operations a second are the narrower bound
		t.Errorf("%d bytes in ten seconds", bytes)
	}
	p = New(1)
	first := p.Add(Chore{Name: "first"}, 0)
	second := p.Add(Chore{Name: "second", After: []string{"first", "nobody"}}, 0)
	third := p.Add(Chore{Name: "third"}, 0)
	p.Ask(second, 0)
	if _, ok := p.Next(0); ok || p.Reports(0)[second].Why != "dependency" {
		t.Error("it runs before what it depends on")
	}
	p.Ask(first, ms)
	if n, ok := p.Next(ms); !ok || n != first {
		t.Fatal("the first does not run")
	}
	p.Ran(first, Spending{}, Away, ms)
	p.Ask(third, 2*ms)
	if _, ok := p.Next(2 * ms); ok || p.Reports(2 * ms)[third].Why != "workers" || p.Busy() != 1 {
		t.Error("more is out than there are workers")
	}
	if !p.Cancel(first, 3*ms) {
		t.Error("what is away is cancelled at once")
	}
	p.Ran(first, Spending{}, Done, 4*ms)
	if p.Reports(5 * ms)[first].State != "cancelled" || p.Busy() != 0 {
		t.Error("what was cancelled while away goes on")
	}
	if n, ok := p.Next(5 * ms); !ok || n != second { // nobody is left to wait for
		t.Error("a cancelled chore is waited for")
	}
}

// A chore that fails comes back later and later, up to its bound, and as usual once it succeeds. One that is asked for while it runs runs
// once more.
func TestFailuresAndQuestions(t *testing.T) {
	p := New(1)
	n := p.Add(Chore{Name: "save", Period: 100 * ms, Least: 100 * ms, Most: time.Minute}, 0)
	runs := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * ms {
		if _, ok := p.Next(now); ok {
			runs++
			p.Ran(n, Spending{}, Failed, now)
		}
	}
	if runs < 15 || runs > 22 {
		t.Errorf("%d runs in ten minutes of failures", runs)
	}
	now := 12 * time.Minute
	if _, ok := p.Next(now); !ok {
		t.Fatal("it does not come back")
	}
	p.Ran(n, Spending{}, Away, now)
	p.Ask(n, now+ms)
	p.Ran(n, Spending{}, Done, now+2*ms)
	if _, ok := p.Next(now + 2*ms); !ok {
		t.Error("what was asked for meanwhile does not run")
	}
	p.Ran(n, Spending{}, Done, now+3*ms)
	if _, ok := p.Next(now + 50*ms); ok {
		t.Error("it runs before its period is over")
	}
	if at, ok := p.Wakes(now + 50*ms); !ok || at != now+103*ms {
		t.Errorf("it wakes at %v", at-now)
	}
	once := New(1)
	k := once.Add(Chore{Name: "once", Least: time.Second, Most: time.Second}, 0)
	once.Ask(k, 0)
	once.Next(0)
	once.Ran(k, Spending{}, Failed, 0)
	if _, ok := once.Next(999 * ms); ok {
		t.Error("it does not wait after a failure")
	}
	if _, ok := once.Next(time.Second); !ok {
		t.Error("what failed is not tried again")
	}
}

// Whatever happens in whatever order: no more is away than there are workers, nothing runs that was cancelled, and whenever something may
// run the plan wakes for it in time.
func TestPlansInAnyOrder(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		p, now := New(workers), time.Duration(0)
		out, dead := []int(nil), make(map[int]bool)
		for i := range rapid.IntRange(1, 5).Draw(t, "chores") {
			c := Chore{Name: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Period: time.Duration(rapid.IntRange(0, 50).Draw(t, "period")) * ms,
				Deadline: time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * ms, Budget: Spending{Operations: rapid.IntRange(0, 20).Draw(t, "operations")},
				Least: 10 * ms, Most: 80 * ms}
			if i > 0 && rapid.Bool().Draw(t, "depends") {
				c.After = []string{fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "on"))}
			}
			p.Add(c, now)
		}
		any := func() int { return rapid.IntRange(0, len(p.all)-1).Draw(t, "chore") }
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Ask(any(), now)
			case 1:
				p.Late(time.Duration(rapid.IntRange(0, 30).Draw(t, "late"))*ms, now)
			case 2:
				n := any()
				dead[n] = true
				p.Cancel(n, now)
			case 3:
				if len(out) > 0 {
					p.Ran(out[0], Spending{Time: ms, Operations: 1}, rapid.SampledFrom([]End{Done, Failed}).Draw(t, "end"), now)
					out = out[1:]
				}
			default:
				at, wakes := p.Wakes(now)
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
				how := rapid.SampledFrom([]End{Goes, Away, Done, Failed}).Draw(t, "how")
				if p.Ran(n, Spending{Time: ms, Operations: 1}, how, now); how == Away {
					out = append(out, n)
				}
			}
			if len(out) != p.Busy() || p.Busy() > workers {
				t.Fatalf("%d are away, %d are known of, %d workers", len(out), p.Busy(), workers)
			}
		}
	})
}
