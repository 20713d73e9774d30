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

// Result is the outcome of a run.
type Result struct {
	Script        *Script
	Seed          uint64
	Asked         int
	Served        int
	Utility       float64 // served utility as a part of the requested utility
	Answers       map[string]int
	Broken        []string        // violations of rules
	Latencies     []time.Duration // of RPCs that were ok, over all their tries, in rising order
	Digest        uint64          // of the whole record: equal for equal seeds
	Ledger        *emu.Ledger
	UtilitySeries UtilitySeries
	Outages       []Outage
	Timeline      Timeline
	Changes       []PrimaryChange // of primaries
	FencingServer *FencingServer  // nil: no lease holder sends summaries
	Versions      []VersionSample // versions that drivers and control machines reported, in order of arrival; only where they are processes
	Views         []ViewSample    // views that drivers reported, in order of arrival; only where they are processes
}

// ViewSample is a driver's view of its fleet at a time since the script's start.
type ViewSample struct {
	At       time.Duration
	Driver   int
	Statuses map[string]string // status by name
}

// Event is one entry of the timeline. Times count from the script's start.
type Event struct {
	At        time.Duration
	Who, What string
}

// Timeline is what happened to drivers, members and discovery, in order.
type Timeline struct{ Events []Event }

// Note adds an event.
func (t *Timeline) Note(at time.Duration, who, format string, args ...any) {
	t.Events = append(t.Events, Event{at, who, fmt.Sprintf(format, args...)})
}

// Print writes one line per event.
func (t *Timeline) Print(out io.Writer) {
	for _, event := range t.Events {
		fmt.Fprintf(out, "%9.3fs %-10s %s\n", event.At.Seconds(), event.Who, event.What)
	}
}

// Outage is a time in which some drivers were down. Times count from the script's start.
type Outage struct {
	At, Up  time.Duration // when the first driver went down, and when the last was up again
	Drivers []int
	Stages  map[string][]time.Duration // by recovery stage: time from restart until each driver reported it
}

// Outages tracks when drivers go down and come up.
type Outages struct {
	all  []Outage
	down map[int]bool
	up   map[int]time.Duration // restarted drivers: since when they are up
}

// DriverDown records that a driver went down.
func (o *Outages) DriverDown(n int, at time.Duration) {
	if o.down == nil {
		o.down, o.up = make(map[int]bool), make(map[int]time.Duration)
	}
	if len(o.down) == 0 {
		o.all = append(o.all, Outage{At: at, Up: -1, Stages: make(map[string][]time.Duration)})
	}
	last := &o.all[len(o.all)-1]
	if !slices.Contains(last.Drivers, n) {
		last.Drivers = append(last.Drivers, n)
	}
	o.down[n] = true
}

// DriverUp records that a driver serves again.
func (o *Outages) DriverUp(n int, at time.Duration) {
	if !o.down[n] {
		return
	}
	o.up[n] = at
	if delete(o.down, n); len(o.down) == 0 {
		o.all[len(o.all)-1].Up = at
	}
}

// StageReached records that a restarted driver reported a recovery stage.
func (o *Outages) StageReached(n int, stage string, at time.Duration) {
	if up, came := o.up[n]; came && !o.down[n] {
		last := &o.all[len(o.all)-1]
		last.Stages[stage] = append(last.Stages[stage], at-up)
	}
}

// Result evaluates what clients and the cluster recorded.
func (c *Clients) Result(s *Script, seed uint64, cluster *Cluster, outages Outages, fencing *FencingServer, end time.Duration) *Result {
	slices.Sort(c.Latencies)
	r := c.record
	result := &Result{Latencies: c.Latencies, Script: s, Seed: seed, Asked: c.Asked, Served: c.Served, Utility: c.ServedUtility / max(c.RequestedUtility, 1e-9),
		Answers: r.Counts(), Broken: r.Broken(end), Digest: r.Digest(), Ledger: cluster.ledger, UtilitySeries: c.UtilitySeries, Outages: outages.all, Timeline: cluster.Timeline, Changes: c.Changes(cluster), FencingServer: fencing}
	if fencing != nil {
		result.Broken = append(result.Broken, fencing.Broken()...)
	}
	return result
}

// Met reports whether the rules and the script's expectations are met.
func (r *Result) Met() bool {
	return len(r.Broken) == 0 && float64(r.Served) >= r.Script.MinOK*float64(r.Asked)
}

// Latency returns a percentile of the latency of RPCs that were ok, in milliseconds.
func (r *Result) Latency(percent float64) float64 {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(percent/100*float64(len(r.Latencies))), len(r.Latencies)-1)].Seconds() * 1000
}

// Print writes a report.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "script=%s seed=%d lasts=%v rpcs=%d ok=%.4f expected=%.4f utility=%.4f p50_ms=%.1f p99_ms=%.1f digest=%016x\n", r.Script.Name, r.Seed, r.Script.Duration,
		r.Asked, float64(r.Served)/float64(max(r.Asked, 1)), r.Script.MinOK, r.Utility, r.Latency(50), r.Latency(99), r.Digest)
	for _, name := range []string{emu.OK, emu.PushedBack, emu.Aborted, emu.Nothing, emu.NotTaken} {
		fmt.Fprintf(out, "tries_%s=%d\n", strings.ReplaceAll(name, " ", "_"), r.Answers[name])
	}
	recoveries := r.Recoveries()
	for _, recovery := range recoveries[:min(len(recoveries), 10)] {
		recovery.print(out)
	}
	if more := len(recoveries) - 10; more > 0 {
		fmt.Fprintf(out, "return: and %d more\n", more)
	}
	for _, b := range r.Broken[:min(len(r.Broken), 20)] {
		fmt.Fprintln(out, "broken", b)
	}
	if more := len(r.Broken) - 20; more > 0 {
		fmt.Fprintf(out, "broken: and %d more\n", more)
	}
}

// Table writes the counts of clients, members and discovery in each second, over all places.
func (r *Result) Table(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := []string{emu.RequestedUtility, emu.ServedUtility, emu.PushedBackTries, emu.UnansweredTries, emu.Connects, emu.Handshakes, emu.RejectedConnections, emu.Attempts, emu.QueueFull, emu.Probes,
		emu.ExploratoryWrites, emu.FormerPrimaryWrites, emu.LaggingReads, emu.Lists}
	fmt.Fprintf(w, "second\t%s\tcold\t\n", strings.Join(columns, "\t"))
	for n := range r.Ledger.Seconds() {
		fmt.Fprintf(w, "%d\t", n)
		for _, what := range columns {
			fmt.Fprintf(w, "%.0f\t", r.Ledger.Second(what, n))
		}
		cold, _ := r.Ledger.Peak(emu.ColdLoad, n, n+1)
		fmt.Fprintf(w, "%.2f\t\n", cold)
	}
	w.Flush()
}

// Load is the highest count per second of one quantity before an outage and during the recovery from it.
type Load struct {
	What                string
	Before, After       float64 // at the busiest single place
	AllBefore, AllAfter float64 // over all places
	Where               string  // busiest place after the outage began
}

// Recovery describes how a fleet recovered from an outage. Durations count from the time at which the last driver was
// up, and are negative if service never recovered.
type Recovery struct {
	Outage
	Level               float64       // part of the requested utility that was served before
	FullServiceAfter    time.Duration // until the fleet's service recovered
	SlowestDriver       time.Duration // until the last of the drivers that were down recovered
	MedianDriver        time.Duration // over those drivers
	LostSeconds         float64       // utility not served from the outage until recovery, in seconds of service at the level before
	Loads               []Load
	ColdLoad            float64 // largest part of its cold capacity that a cold member was sent
	FormerPrimaryWrites float64 // writes at members that were primary before
	LaggingReads        float64 // reads at members that were too far behind
	DrainedAttempts     float64 // attempts at members that were draining
}

// baselinePeriod is the longest time before an outage that counts as normal operation.
const baselinePeriod = 8 * time.Second

// Quantities that are compared, in the order of the report.
var loads = []string{emu.Connects, emu.Handshakes, emu.MaxOpen, emu.Attempts, emu.Probes, emu.ExploratoryWrites, emu.Lists, emu.RejectedConnections, emu.QueueFull}

// Recoveries evaluates all outages.
func (r *Result) Recoveries() (all []Recovery) {
	end := r.Script.Duration
	for i, outage := range r.Outages {
		recovery := Recovery{Outage: outage, FullServiceAfter: -1, SlowestDriver: -1, MedianDriver: -1}
		from := max(outage.At-baselinePeriod, time.Second)
		if i > 0 && r.Outages[i-1].Up >= 0 {
			from = max(from, r.Outages[i-1].Up)
		}
		recovery.Level = r.UtilitySeries.ServedShare(AllDrivers, from, outage.At)
		until := end
		if i+1 < len(r.Outages) {
			until = r.Outages[i+1].At
		}
		if outage.Up >= 0 {
			recovery.FullServiceAfter = r.UtilitySeries.RecoveryTime(AllDrivers, recovery.Level, outage.Up, until)
			var each []time.Duration
			for _, d := range outage.Drivers {
				w := r.UtilitySeries.RecoveryTime(d, recovery.Level, outage.Up, until)
				if w < 0 {
					w = until
				}
				each = append(each, w)
			}
			slices.Sort(each)
			if recovery.MedianDriver, recovery.SlowestDriver = each[len(each)/2], each[len(each)-1]; recovery.SlowestDriver == until {
				recovery.SlowestDriver = -1
			}
			if recovery.MedianDriver == until {
				recovery.MedianDriver = -1
			}
		}
		stop := until
		if recovery.FullServiceAfter >= 0 {
			stop = outage.Up + recovery.FullServiceAfter
		}
		for at := outage.At; at+sliceLength <= stop; at += sliceLength {
			recovery.LostSeconds += max(0, 1-r.UtilitySeries.ServedShare(AllDrivers, at, at+sliceLength)/max(recovery.Level, 1e-9)) * sliceLength.Seconds()
		}
		second := func(d time.Duration) int { return int(d / time.Second) }
		first, fell, last := second(from+time.Second-1), second(outage.At), second(stop+recoveryWindow)+1
		for _, what := range loads {
			l := Load{What: what, AllBefore: r.Ledger.PeakTotal(what, first, fell), AllAfter: r.Ledger.PeakTotal(what, fell, last)}
			l.Before, _ = r.Ledger.Peak(what, first, fell)
			l.After, l.Where = r.Ledger.Peak(what, fell, last)
			recovery.Loads = append(recovery.Loads, l)
		}
		recovery.ColdLoad, _ = r.Ledger.Peak(emu.ColdLoad, fell, last)
		recovery.FormerPrimaryWrites, recovery.LaggingReads = r.Ledger.Sum(emu.FormerPrimaryWrites, fell, last), r.Ledger.Sum(emu.LaggingReads, fell, last)
		recovery.DrainedAttempts = r.Ledger.Sum(emu.DrainedAttempts, fell, last)
		all = append(all, recovery)
	}
	return all
}

// Load returns the comparison of one quantity.
func (r *Recovery) Load(what string) Load {
	for _, l := range r.Loads {
		if l.What == what {
			return l
		}
	}
	return Load{}
}

func (r *Recovery) print(out io.Writer) {
	span := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(time.Millisecond).String()
	}
	fmt.Fprintf(out, "return fall=%s up=%s drivers=%d level=%.4f whole=%s median=%s worst=%s lost_s=%.2f cold=%.2f stale_writes=%.0f behind=%.0f drained=%.0f\n",
		span(r.At), span(r.Up), len(r.Drivers), r.Level, span(r.FullServiceAfter), span(r.MedianDriver), span(r.SlowestDriver), r.LostSeconds, r.ColdLoad, r.FormerPrimaryWrites, r.LaggingReads, r.DrainedAttempts)
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
