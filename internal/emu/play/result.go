package play

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"passtack/internal/emu"
)

// Result is what a rehearsal came to.
type Result struct {
	Script   *Script
	Seed     uint64
	Asked    int
	Served   int
	Utility  float64 // answered in time, over what was asked for
	Answers  map[string]int
	Broken   []string        // rules
	Took     []time.Duration // of RPCs that were ok, over all their tries, in rising order
	Digest   uint64          // of all that was recorded: the same for the same seed
	Ledger   *emu.Ledger
	Flow     Flow
	Falls    []Fall
	Course   Course
	Changes  []Change        // of primaries
	Witness  *Witness        // nil: nobody acts by leases
	Versions []VersionSample // what drivers and control machines that are processes told of versions, in the order in which it came
	Views    []ViewSample    // what drivers that are processes told of their views, in the order in which it came
}

// ViewSample is a driver's view of its fleet at some time after the script's start.
type ViewSample struct {
	At     time.Duration
	Driver int
	Is     map[string]string // status by name
}

// Moment is one thing that happened. Times count from the script's start.
type Moment struct {
	At        time.Duration
	Who, What string
}

// Course is what happened to drivers, members and discovery, in order.
type Course struct{ Moments []Moment }

// Note adds a moment.
func (c *Course) Note(at time.Duration, who, format string, args ...any) {
	c.Moments = append(c.Moments, Moment{at, who, fmt.Sprintf(format, args...)})
}

// Print writes a line for each moment.
func (c *Course) Print(out io.Writer) {
	for _, m := range c.Moments {
		fmt.Fprintf(out, "%9.3fs %-10s %s\n", m.At.Seconds(), m.Who, m.What)
	}
}

// Fall is a time in which some drivers were gone. Times count from the script's start.
type Fall struct {
	At, Up  time.Duration // when the first was gone, when the last was up again
	Drivers []int
	Stages  map[string][]time.Duration // by stage of coming back: how long after it was up each driver said to have reached it
}

// Falls keeps when drivers go and come.
type Falls struct {
	all  []Fall
	down map[int]bool
	up   map[int]time.Duration // of those that came back, since when
}

// Gone notes that a driver went, Back that it is up again.
func (f *Falls) Gone(n int, at time.Duration) {
	if f.down == nil {
		f.down, f.up = make(map[int]bool), make(map[int]time.Duration)
	}
	if len(f.down) == 0 {
		f.all = append(f.all, Fall{At: at, Up: -1, Stages: make(map[string][]time.Duration)})
	}
	last := &f.all[len(f.all)-1]
	if !slices.Contains(last.Drivers, n) {
		last.Drivers = append(last.Drivers, n)
	}
	f.down[n] = true
}

// Back notes that the nth driver serves again.
func (f *Falls) Back(n int, at time.Duration) {
	if !f.down[n] {
		return
	}
	f.up[n] = at
	if delete(f.down, n); len(f.down) == 0 {
		f.all[len(f.all)-1].Up = at
	}
}

// Reached notes that a driver which had been gone tells that it has come back so far.
func (f *Falls) Reached(n int, stage string, at time.Duration) {
	if up, came := f.up[n]; came && !f.down[n] {
		last := &f.all[len(f.all)-1]
		last.Stages[stage] = append(last.Stages[stage], at-up)
	}
}

// Result sums up what the clients saw, and what the cluster did.
func (c *Clients) Result(s *Script, seed uint64, cluster *Cluster, falls Falls, witness *Witness, end time.Duration) *Result {
	slices.Sort(c.Took)
	r := c.record
	result := &Result{Took: c.Took, Script: s, Seed: seed, Asked: c.Asked, Served: c.Served, Utility: c.Got / max(c.Worth, 1e-9),
		Answers: r.Counts(), Broken: r.Broken(end), Digest: r.Digest(), Ledger: cluster.ledger, Flow: c.Flow, Falls: falls.all, Course: cluster.Course, Changes: c.Changes(cluster), Witness: witness}
	if witness != nil {
		result.Broken = append(result.Broken, witness.Broken()...)
	}
	return result
}

// Met tells whether the rules and the script's expectations are kept.
func (r *Result) Met() bool {
	return len(r.Broken) == 0 && float64(r.Served) >= r.Script.LeastOK*float64(r.Asked)
}

// Latency gives a percentile of what RPCs that were ok took, in milliseconds.
func (r *Result) Latency(percent float64) float64 {
	if len(r.Took) == 0 {
		return 0
	}
	return r.Took[min(int(percent/100*float64(len(r.Took))), len(r.Took)-1)].Seconds() * 1000
}

// Print writes a report.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "script=%s seed=%d lasts=%v rpcs=%d ok=%.4f expected=%.4f utility=%.4f p50_ms=%.1f p99_ms=%.1f digest=%016x\n", r.Script.Name, r.Seed, r.Script.Lasts,
		r.Asked, float64(r.Served)/float64(max(r.Asked, 1)), r.Script.LeastOK, r.Utility, r.Latency(50), r.Latency(99), r.Digest)
	for _, name := range []string{emu.OK, emu.PushedBack, emu.Aborted, emu.Nothing, emu.NotTaken} {
		fmt.Fprintf(out, "tries_%s=%d\n", strings.ReplaceAll(name, " ", "_"), r.Answers[name])
	}
	returns := r.Returns()
	for _, back := range returns[:min(len(returns), 10)] {
		back.print(out)
	}
	if more := len(returns) - 10; more > 0 {
		fmt.Fprintf(out, "return: and %d more\n", more)
	}
	for _, b := range r.Broken[:min(len(r.Broken), 20)] {
		fmt.Fprintln(out, "broken", b)
	}
	if more := len(r.Broken) - 20; more > 0 {
		fmt.Fprintf(out, "broken: and %d more\n", more)
	}
}

// Table writes what clients, members and discovery saw in each second, over all places.
func (r *Result) Table(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := []string{emu.Worth, emu.Got, emu.PushedOff, emu.Lost, emu.Connects, emu.Handshakes, emu.TurnedAway, emu.Attempts, emu.Fulls, emu.Probes,
		emu.Scouts, emu.Stale, emu.Behind, emu.Lists}
	fmt.Fprintf(w, "second\t%s\tcold\t\n", strings.Join(columns, "\t"))
	for n := range r.Ledger.Seconds() {
		fmt.Fprintf(w, "%d\t", n)
		for _, what := range columns {
			fmt.Fprintf(w, "%.0f\t", r.Ledger.Second(what, n))
		}
		cold, _ := r.Ledger.Peak(emu.ColdPart, n, n+1)
		fmt.Fprintf(w, "%.2f\t\n", cold)
	}
	w.Flush()
}

// Load is the busiest second of something before a fall and in the return from it.
type Load struct {
	What                string
	Before, After       float64 // at the busiest single place
	AllBefore, AllAfter float64 // over all places
	Where               string  // the place that was busiest after
}

// Return is how a fleet came back from a fall. Times are spans since the last driver was up, under 0 where service was never
// whole again.
type Return struct {
	Fall
	Level   float64       // utility got of what was asked for before
	Whole   time.Duration // of the fleet
	Worst   time.Duration // of the driver that took longest of those that fell
	Median  time.Duration // of those
	Lost    float64       // utility that was not got from the fall until service was whole, in seconds of the level before
	Loads   []Load
	Cold    float64 // the most that a cold member was sent of what tips it
	Stale   float64 // writes at members that are primary no more
	Behind  float64 // reads at members too far behind
	Drained float64 // attempts at members that drain
}

// calm is how long before a fall counts as usual, at most.
const calm = 8 * time.Second

// Loads that are compared, in the order in which they are shown.
var loads = []string{emu.Connects, emu.Handshakes, emu.OpenMost, emu.Attempts, emu.Probes, emu.Scouts, emu.Lists, emu.TurnedAway, emu.Fulls}

// Returns measures all falls.
func (r *Result) Returns() (all []Return) {
	end := r.Script.Lasts
	for i, f := range r.Falls {
		back := Return{Fall: f, Whole: -1, Worst: -1, Median: -1}
		from := max(f.At-calm, time.Second)
		if i > 0 && r.Falls[i-1].Up >= 0 {
			from = max(from, r.Falls[i-1].Up)
		}
		back.Level = r.Flow.Part(Every, from, f.At)
		until := end
		if i+1 < len(r.Falls) {
			until = r.Falls[i+1].At
		}
		if f.Up >= 0 {
			back.Whole = r.Flow.Whole(Every, back.Level, f.Up, until)
			var each []time.Duration
			for _, d := range f.Drivers {
				w := r.Flow.Whole(d, back.Level, f.Up, until)
				if w < 0 {
					w = until
				}
				each = append(each, w)
			}
			slices.Sort(each)
			if back.Median, back.Worst = each[len(each)/2], each[len(each)-1]; back.Worst == until {
				back.Worst = -1
			}
			if back.Median == until {
				back.Median = -1
			}
		}
		stop := until
		if back.Whole >= 0 {
			stop = f.Up + back.Whole
		}
		for at := f.At; at+piece <= stop; at += piece {
			back.Lost += max(0, 1-r.Flow.Part(Every, at, at+piece)/max(back.Level, 1e-9)) * piece.Seconds()
		}
		second := func(d time.Duration) int { return int(d / time.Second) }
		first, fell, last := second(from+time.Second-1), second(f.At), second(stop+steady)+1
		for _, what := range loads {
			l := Load{What: what, AllBefore: r.Ledger.Total(what, first, fell), AllAfter: r.Ledger.Total(what, fell, last)}
			l.Before, _ = r.Ledger.Peak(what, first, fell)
			l.After, l.Where = r.Ledger.Peak(what, fell, last)
			back.Loads = append(back.Loads, l)
		}
		back.Cold, _ = r.Ledger.Peak(emu.ColdPart, fell, last)
		back.Stale, back.Behind = r.Ledger.Sum(emu.Stale, fell, last), r.Ledger.Sum(emu.Behind, fell, last)
		back.Drained = r.Ledger.Sum(emu.Drained, fell, last)
		all = append(all, back)
	}
	return all
}

// Load gives what was measured of one thing.
func (r *Return) Load(what string) Load {
	for _, l := range r.Loads {
		if l.What == what {
			return l
		}
	}
	return Load{}
}

func (r *Return) print(out io.Writer) {
	span := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(time.Millisecond).String()
	}
	fmt.Fprintf(out, "return fall=%s up=%s drivers=%d level=%.4f whole=%s median=%s worst=%s lost_s=%.2f cold=%.2f stale_writes=%.0f behind=%.0f drained=%.0f\n",
		span(r.At), span(r.Up), len(r.Drivers), r.Level, span(r.Whole), span(r.Median), span(r.Worst), r.Lost, r.Cold, r.Stale, r.Behind, r.Drained)
	for _, stage := range []string{"proving", "warming", "whole"} {
		if took := slices.Sorted(slices.Values(r.Stages[stage])); len(took) > 0 {
			fmt.Fprintf(out, "stage reached=%s drivers=%d median=%s worst=%s\n", stage, len(took), span(took[len(took)/2]), span(took[len(took)-1]))
		}
	}
	for _, l := range r.Loads {
		if l.AllAfter > 0 {
			fmt.Fprintf(out, "load what=%s one_before=%.0f one_after=%.0f at=%s all_before=%.0f all_after=%.0f\n", l.What, l.Before, l.After, l.Where, l.AllBefore, l.AllAfter)
		}
	}
}
