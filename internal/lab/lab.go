// Package lab plays rehearsals over scripts, arms and seeds, and keeps what they came to as tables and charts.
package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
	"passtack/internal/emu/rig"
)

// Row is one rehearsal.
type Row struct {
	Script     string  `parquet:"script"`
	Arm        string  `parquet:"arm"`
	Seed       uint64  `parquet:"seed"`
	RPCs       int64   `parquet:"rpcs"`
	OK         float64 `parquet:"ok"`
	Utility    float64 `parquet:"utility"`
	PushedBack int64   `parquet:"pushed_back"`
	Aborted    int64   `parquet:"aborted"`
	Nothing    int64   `parquet:"nothing"`
	Broken     int64   `parquet:"broken"`
	P50        float64 `parquet:"p50_ms"`
	P99        float64 `parquet:"p99_ms"`
	Digest     string  `parquet:"digest"`

	Drivers       int64   `parquet:"drivers"`
	Whole         float64 `parquet:"whole_s"` // after the last fall; under 0: never
	Lost          float64 `parquet:"lost_s"`  // of service, in seconds of the level before
	Connects      float64 `parquet:"connects"`
	ConnectsUsual float64 `parquet:"connects_usual"`
	Member        float64 `parquet:"connects_at_one"`
	MemberUsual   float64 `parquet:"connects_at_one_usual"`
	Lists         float64 `parquet:"lists"`
	ListsUsual    float64 `parquet:"lists_usual"`
	Full          float64 `parquet:"full"`
	Cold          float64 `parquet:"cold"`
	Stale         float64 `parquet:"stale"`

	First float64 `parquet:"first_10s"` // utility got of what began in the ten seconds after the script's last end of drivers
}

// How tells how rehearsals are played.
type How struct {
	Scale   int    // times the drivers, groups, sessions and RPCs of each script
	Program string // what is started as the drivers, as processes; "": simulated
	AtOnce  int    // plays at a time, 0: as many as there are cores
}

// Arm is a change of each script, by which it is compared with the first.
type Arm struct {
	Name   string
	change []func(*play.Script)
}

// ParseArm reads NAME or NAME:KEY=VALUE,... as a command line gives it.
func ParseArm(text string) (Arm, error) {
	name, changes, some := strings.Cut(text, ":")
	a := Arm{Name: name}
	if name == "" {
		return a, fmt.Errorf("arm %q has no name", text)
	}
	if !some {
		return a, nil
	}
	for change := range strings.SplitSeq(changes, ",") {
		key, value, _ := strings.Cut(change, "=")
		number, notNumber := strconv.ParseFloat(value, 64)
		span, notSpan := time.ParseDuration(value)
		whole := int(number)
		var act func(*play.Script)
		bad := notNumber != nil || number <= 0
		switch key {
		case "load": // times the script's rate
			act = func(s *play.Script) { s.Rate *= number }
		case "drivers":
			act, bad = func(s *play.Script) { s.Drivers = whole }, bad || number != float64(whole) || whole > 500
		case "cores":
			act, bad = func(s *play.Script) { s.MemberSpec.Cores = whole }, bad || number != float64(whole)
		case "queue":
			act, bad = func(s *play.Script) { s.MemberSpec.Queue = whole }, bad || number != float64(whole)
		case "retries":
			act, bad = func(s *play.Script) { s.Retries = whole }, notNumber != nil || number < 0 || number != float64(whole)
		case "obeys":
			act, bad = func(s *play.Script) { s.HonorsRetryAfter = value == "true" }, value != "true" && value != "false"
		case "folders": // drivers keep what they learn, and find it kept or emptied
			act, bad = func(s *play.Script) { s.Folders = value == "true" }, value != "true" && value != "false"
		case "spared": // no driver ends, however the script has it
			act, bad = (*play.Script).RemoveDriverEnds, value != "true"
		case "down": // how long the drivers stay away that the script ends, almost without load if it is long
			act, bad = func(s *play.Script) { s.SetDowntime(span) }, notSpan != nil || span < 50*time.Millisecond || span > 24*time.Hour
		case "list_delay":
			act, bad = func(s *play.Script) { s.ListDelay = span }, notSpan != nil || span < 0
		case "apply":
			act, bad = func(s *play.Script) { s.MemberSpec.ApplyTime = span }, notSpan != nil || span < 0
		default:
			return a, fmt.Errorf("arm %q: there is no %q; load, drivers, cores, queue, retries, obeys, folders, spared, down, list_delay and apply can be changed", name, key)
		}
		if bad {
			return a, fmt.Errorf("arm %q: %s cannot be %q", name, key, value)
		}
		a.change = append(a.change, act)
	}
	return a, nil
}

// Play plays every script with every arm and seed, as many at a time as there are cores. When the context ends, those under
// way are ended and their rows are there; rows come in order in any case.
func Play(c context.Context, how How, files []string, arms []Arm, seeds []uint64, each func(done, all int, r Row)) ([]Row, error) {
	type task struct {
		place int
		file  string
		arm   Arm
		seed  uint64
	}
	var tasks []task
	for _, file := range files {
		for _, arm := range arms {
			for _, seed := range seeds {
				tasks = append(tasks, task{len(tasks), file, arm, seed})
			}
		}
	}
	for _, file := range files { // all are read before any is played
		if _, err := play.ReadScaled(file, max(how.Scale, 1)); err != nil {
			return nil, err
		}
	}
	rows, have := make([]Row, len(tasks)), make([]bool, len(tasks))
	queue := make(chan task)
	var workers sync.WaitGroup
	var mutex sync.Mutex
	var failed error
	done := 0
	if how.AtOnce == 0 {
		how.AtOnce = runtime.GOMAXPROCS(0)
	}
	for range min(how.AtOnce, len(tasks)) {
		workers.Go(func() {
			for t := range queue {
				r, err := one(how, t.file, t.arm, t.seed)
				mutex.Lock()
				if err != nil {
					failed = err
				} else {
					done++
					rows[t.place], have[t.place] = r, true
					each(done, len(tasks), r)
				}
				mutex.Unlock()
			}
		})
	}
	for _, t := range tasks {
		if c.Err() != nil {
			break
		}
		select {
		case queue <- t:
		case <-c.Done():
		}
	}
	close(queue)
	workers.Wait()
	var whole []Row
	for i, r := range rows {
		if have[i] {
			whole = append(whole, r)
		}
	}
	return whole, failed
}

func one(how How, file string, arm Arm, seed uint64) (Row, error) {
	s, err := play.ReadScaled(file, max(how.Scale, 1))
	if err != nil {
		return Row{}, err
	}
	for _, change := range arm.change {
		change(s)
	}
	var r *play.Result
	if how.Program != "" {
		r, err = rig.Play(s, seed, rig.Programs{Path: how.Program}, io.Discard)
	} else {
		r, err = play.Rehearse(s, seed)
	}
	if err != nil {
		return Row{}, fmt.Errorf("%s, arm %s, seed %d: %w", file, arm.Name, seed, err)
	}
	name := file[strings.LastIndexByte(file, '/')+1:]
	row := Row{
		Script: strings.TrimSuffix(name, ".hcl"), Arm: arm.Name, Seed: seed, RPCs: int64(r.Asked), OK: float64(r.Served) / float64(max(r.Asked, 1)),
		Utility: r.Utility, PushedBack: int64(r.Answers["pushed back"]), Aborted: int64(r.Answers["aborted"]), Nothing: int64(r.Answers["nothing"]),
		Broken: int64(len(r.Broken)), P50: r.Latency(50), P99: r.Latency(99), Digest: fmt.Sprintf("%016x", r.Digest),
		Drivers: int64(s.Drivers),
	}
	if back := s.LastDriverStart(); back > 0 {
		row.First = r.UtilitySeries.ServedShare(play.AllDrivers, back, back+10*time.Second)
	}
	if returns := r.Recoveries(); len(returns) > 0 {
		row.fell(returns[len(returns)-1])
	}
	return row, nil
}

// fell takes over how the fleet came back.
func (r *Row) fell(back play.Recovery) {
	connects, lists := back.Load(emu.Connects), back.Load(emu.Lists)
	r.Whole, r.Lost, r.Cold, r.Stale = back.Whole.Seconds(), back.Lost, back.Cold, back.Stale
	if back.Whole < 0 {
		r.Whole = -1
	}
	r.Connects, r.ConnectsUsual, r.Member, r.MemberUsual = connects.AllAfter, connects.AllBefore, connects.After, connects.Before
	r.Lists, r.ListsUsual, r.Full = lists.AllAfter, lists.AllBefore, back.Load(emu.QueueFull).AllAfter
}

// numbers are the columns of a row that can be compared, by name.
func (r *Row) numbers() map[string]float64 {
	return map[string]float64{"ok": r.OK, "utility": r.Utility, "broken": float64(r.Broken), "p99_ms": r.P99, "whole_s": r.Whole, "lost_s": r.Lost,
		"connects": r.Connects, "connects_at_one": r.Member, "lists": r.Lists, "full": r.Full, "cold": r.Cold, "stale": r.Stale, "first_10s": r.First}
}

// Difference is how a column of two sets of rows differs, over the plays of the same script, arm and seed.
type Difference struct {
	Script, Column string
	Pairs          int
	A, B           float64 // means
	By, Around     float64 // mean of B - A, and half of its interval of 95%
}

// Compare pairs the rows of two sets by script and seed.
func Compare(a, b []Row) (all []Difference) {
	type key struct {
		script string
		seed   uint64
	}
	first := make(map[key]Row)
	for _, r := range a {
		first[key{r.Script, r.Seed}] = r
	}
	pairs, scripts := make(map[string][][2]Row), []string(nil)
	for _, r := range b {
		if o, known := first[key{r.Script, r.Seed}]; known {
			if pairs[r.Script] == nil {
				scripts = append(scripts, r.Script)
			}
			pairs[r.Script] = append(pairs[r.Script], [2]Row{o, r})
		}
	}
	for _, script := range scripts {
		var none Row
		for _, column := range slices.Sorted(maps.Keys(none.numbers())) {
			d := Difference{Script: script, Column: column, Pairs: len(pairs[script])}
			var by []float64
			for _, p := range pairs[script] {
				x, y := p[0].numbers()[column], p[1].numbers()[column]
				d.A, d.B, by = d.A+x/float64(d.Pairs), d.B+y/float64(d.Pairs), append(by, y-x)
			}
			d.By, d.Around = spread(by)
			d.Around *= student(d.Pairs - 1)
			all = append(all, d)
		}
	}
	return all
}

// student is the factor of a standard error that gives an interval of 95% with so many degrees of freedom.
func student(freedom int) float64 {
	if freedom < 1 {
		return math.Inf(1)
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(freedom)}.Quantile(0.975)
}

// Summary is what one arm of one script came to over its seeds.
type Summary struct {
	Script, Arm      string
	Seeds            int
	Mean, Least      float64 // of utility
	Most             float64
	OK               float64 // mean
	P99              float64 // mean, ms
	Broken           int64
	Against, Scatter float64 // mean difference to the first arm on the same seeds, and its standard error
}

// Summarize sums rows up, in their order.
func Summarize(rows []Row) (all []Summary) {
	first := make(map[string]string) // arm by script
	base := make(map[string]float64)
	key := func(r Row) string { return fmt.Sprint(r.Script, " ", r.Seed) }
	for _, r := range rows {
		if _, known := first[r.Script]; !known {
			first[r.Script] = r.Arm
		}
		if first[r.Script] == r.Arm {
			base[key(r)] = r.Utility
		}
	}
	for i := 0; i < len(rows); {
		j := i
		s := Summary{Script: rows[i].Script, Arm: rows[i].Arm, Least: math.Inf(1), Most: math.Inf(-1)}
		var differences []float64
		for ; j < len(rows) && rows[j].Script == s.Script && rows[j].Arm == s.Arm; j++ {
			r := rows[j]
			s.Mean, s.OK, s.P99 = s.Mean+r.Utility, s.OK+r.OK, s.P99+r.P99
			s.Least, s.Most, s.Broken = min(s.Least, r.Utility), max(s.Most, r.Utility), s.Broken+r.Broken
			if b, known := base[key(r)]; known {
				differences = append(differences, r.Utility-b)
			}
		}
		n := float64(j - i)
		s.Seeds, s.Mean, s.OK, s.P99 = j-i, s.Mean/n, s.OK/n, s.P99/n
		s.Against, s.Scatter = spread(differences)
		all = append(all, s)
		i = j
	}
	return all
}

// spread gives the mean and its standard error.
func spread(values []float64) (mean, err float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, v := range values {
		mean += v / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(sum / float64(len(values)-1) / float64(len(values)))
}

// Seeds reads 7 or 1..20.
func Seeds(text string) (seeds []uint64, err error) {
	from, to, ranged := strings.Cut(text, "..")
	if !ranged {
		to = from
	}
	a, bad := strconv.ParseUint(from, 10, 32)
	b, worse := strconv.ParseUint(to, 10, 32)
	if bad != nil || worse != nil || b < a || b-a >= 10_000 {
		return nil, fmt.Errorf("seeds %q are no number nor a range as 1..20, of up to 10000", text)
	}
	for s := a; s <= b; s++ {
		seeds = append(seeds, s)
	}
	return slices.Clip(seeds), nil
}
