// Package lab plays rehearsal scripts with several arms and seeds, and saves the results as tables and charts.
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

// Row holds the results of one rehearsal. Its fields are the columns of rows.csv and rows.parquet; Usual columns hold the value before
// the last driver failure.
type Row struct {
	Script     string  `parquet:"script"`
	Arm        string  `parquet:"arm"`
	Seed       uint64  `parquet:"seed"`
	RPCs       int64   `parquet:"rpcs"`
	OK         float64 `parquet:"ok"`
	Utility    float64 `parquet:"utility"`
	PushedBack int64   `parquet:"pushed_back"`
	Aborted    int64   `parquet:"aborted"`
	NoAnswer   int64   `parquet:"nothing"`
	Broken     int64   `parquet:"broken"` // violations of rules
	P50        float64 `parquet:"p50_ms"`
	P99        float64 `parquet:"p99_ms"`
	Digest     string  `parquet:"digest"`

	Drivers             int64   `parquet:"drivers"`
	RecoverySeconds     float64 `parquet:"whole_s"` // time until full service after the last driver failure; negative: never reached
	LostSeconds         float64 `parquet:"lost_s"`  // lost service, as seconds at the service level before the failure
	Connects            float64 `parquet:"connects"`
	ConnectsUsual       float64 `parquet:"connects_usual"`
	MemberConnects      float64 `parquet:"connects_at_one"` // at the busiest member
	MemberConnectsUsual float64 `parquet:"connects_at_one_usual"`
	Lists               float64 `parquet:"lists"`
	ListsUsual          float64 `parquet:"lists_usual"`
	QueueFull           float64 `parquet:"full"`  // attempts that found the queue of a member full
	ColdBudgetUsed      float64 `parquet:"cold"`  // largest part of its cold budget that a member was sent in a window
	StaleWrites         float64 `parquet:"stale"` // writes at members that are no longer primary

	UtilityFirst10s float64 `parquet:"first_10s"` // part of the utility of RPCs begun in the 10 s after the last drivers that the script ends are back
}

// Options tells how rehearsals are played.
type Options struct {
	Scale       int    // multiplies the drivers, groups, sessions and RPCs of each script
	Program     string // program started for each driver process; "": drivers are simulated
	Concurrency int    // rehearsals played at the same time; 0: GOMAXPROCS
}

// Arm is a variant of the scripts: a name and the changes made to each script. Results are compared with those of the first arm.
type Arm struct {
	Name    string
	changes []func(*play.Script)
}

// ParseArm parses a command-line argument of the form NAME or NAME:KEY=VALUE,...
func ParseArm(text string) (Arm, error) {
	name, changes, hasChanges := strings.Cut(text, ":")
	a := Arm{Name: name}
	if name == "" {
		return a, fmt.Errorf("arm %q has no name", text)
	}
	if !hasChanges {
		return a, nil
	}
	for change := range strings.SplitSeq(changes, ",") {
		key, value, _ := strings.Cut(change, "=")
		number, numberErr := strconv.ParseFloat(value, 64)
		duration, durationErr := time.ParseDuration(value)
		integer := int(number)
		var apply func(*play.Script)
		invalid := numberErr != nil || number <= 0
		switch key {
		case "load": // multiplies the script's rate
			apply = func(s *play.Script) { s.Rate *= number }
		case "drivers":
			apply, invalid = func(s *play.Script) { s.Drivers = integer }, invalid || number != float64(integer) || integer > 500
		case "cores":
			apply, invalid = func(s *play.Script) { s.MemberSpec.Cores = integer }, invalid || number != float64(integer)
		case "queue":
			apply, invalid = func(s *play.Script) { s.MemberSpec.Queue = integer }, invalid || number != float64(integer)
		case "retries":
			apply, invalid = func(s *play.Script) { s.Retries = integer }, numberErr != nil || number < 0 || number != float64(integer)
		case "obeys":
			apply, invalid = func(s *play.Script) { s.HonorsRetryAfter = value == "true" }, value != "true" && value != "false"
		case "folders": // drivers save learned state in folders that a restart finds intact or emptied
			apply, invalid = func(s *play.Script) { s.StateFolders = value == "true" }, value != "true" && value != "false"
		case "spared": // drivers keep running where the script would end them
			apply, invalid = (*play.Script).RemoveDriverEnds, value != "true"
		case "down": // downtime of the drivers that the script ends; a long one has almost no load
			apply, invalid = func(s *play.Script) { s.SetDowntime(duration) }, durationErr != nil || duration < 50*time.Millisecond || duration > 24*time.Hour
		case "list_delay":
			apply, invalid = func(s *play.Script) { s.ListDelay = duration }, durationErr != nil || duration < 0
		case "apply":
			apply, invalid = func(s *play.Script) { s.MemberSpec.ApplyTime = duration }, durationErr != nil || duration < 0
		default:
			return a, fmt.Errorf("arm %q: unknown key %q; known keys are load, drivers, cores, queue, retries, obeys, folders, spared, down, list_delay and apply", name, key)
		}
		if invalid {
			return a, fmt.Errorf("arm %q: key %s has the invalid value %q", name, key, value)
		}
		a.changes = append(a.changes, apply)
	}
	return a, nil
}

// Play plays every script with every arm and seed, options.Concurrency rehearsals at a time. When the context ends, rehearsals under
// way are completed and their rows returned. Rows are ordered by script, arm and seed. onRow is called after each rehearsal.
func Play(ctx context.Context, options Options, files []string, arms []Arm, seeds []uint64, onRow func(done, total int, r Row)) ([]Row, error) {
	type task struct {
		index int
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
	for _, file := range files { // read all scripts before playing any, so that errors in them show at once
		if _, err := play.ReadScaled(file, max(options.Scale, 1)); err != nil {
			return nil, err
		}
	}
	rows, completed := make([]Row, len(tasks)), make([]bool, len(tasks))
	queue := make(chan task)
	var workers sync.WaitGroup
	var mutex sync.Mutex
	var playErr error
	done := 0
	if options.Concurrency == 0 {
		options.Concurrency = runtime.GOMAXPROCS(0)
	}
	for range min(options.Concurrency, len(tasks)) {
		workers.Go(func() {
			for t := range queue {
				r, err := playOne(options, t.file, t.arm, t.seed)
				mutex.Lock()
				if err != nil {
					playErr = err
				} else {
					done++
					rows[t.index], completed[t.index] = r, true
					onRow(done, len(tasks), r)
				}
				mutex.Unlock()
			}
		})
	}
	for _, t := range tasks {
		if ctx.Err() != nil {
			break
		}
		select {
		case queue <- t:
		case <-ctx.Done():
		}
	}
	close(queue)
	workers.Wait()
	var completedRows []Row
	for i, r := range rows {
		if completed[i] {
			completedRows = append(completedRows, r)
		}
	}
	return completedRows, playErr
}

func playOne(options Options, file string, arm Arm, seed uint64) (Row, error) {
	s, err := play.ReadScaled(file, max(options.Scale, 1))
	if err != nil {
		return Row{}, err
	}
	for _, change := range arm.changes {
		change(s)
	}
	var r *play.Result
	if options.Program != "" {
		r, err = rig.Play(s, seed, rig.Programs{Path: options.Program}, io.Discard)
	} else {
		r, err = play.Rehearse(s, seed)
	}
	if err != nil {
		return Row{}, fmt.Errorf("%s, arm %s, seed %d: %w", file, arm.Name, seed, err)
	}
	name := file[strings.LastIndexByte(file, '/')+1:]
	row := Row{
		Script: strings.TrimSuffix(name, ".hcl"), Arm: arm.Name, Seed: seed, RPCs: int64(r.Asked), OK: float64(r.Served) / float64(max(r.Asked, 1)),
		Utility: r.Utility, PushedBack: int64(r.Answers["pushed back"]), Aborted: int64(r.Answers["aborted"]), NoAnswer: int64(r.Answers["nothing"]),
		Broken: int64(len(r.Broken)), P50: r.Latency(50), P99: r.Latency(99), Digest: fmt.Sprintf("%016x", r.Digest),
		Drivers: int64(s.Drivers),
	}
	if returnAt := s.LastDriverStart(); returnAt > 0 {
		row.UtilityFirst10s = r.UtilitySeries.ServedShare(play.AllDrivers, returnAt, returnAt+10*time.Second)
	}
	if returns := r.Recoveries(); len(returns) > 0 {
		row.setRecovery(returns[len(returns)-1])
	}
	return row, nil
}

// setRecovery copies the measures of a recovery from a driver failure into the row.
func (r *Row) setRecovery(recovery play.Recovery) {
	connects, lists := recovery.Load(emu.Connects), recovery.Load(emu.Lists)
	r.RecoverySeconds, r.LostSeconds, r.ColdBudgetUsed, r.StaleWrites = recovery.FullServiceAfter.Seconds(), recovery.LostSeconds, recovery.ColdLoad, recovery.FormerPrimaryWrites
	if recovery.FullServiceAfter < 0 {
		r.RecoverySeconds = -1
	}
	r.Connects, r.ConnectsUsual, r.MemberConnects, r.MemberConnectsUsual = connects.AllAfter, connects.AllBefore, connects.After, connects.Before
	r.Lists, r.ListsUsual, r.QueueFull = lists.AllAfter, lists.AllBefore, recovery.Load(emu.QueueFull).AllAfter
}

// numericColumns returns the columns that Compare compares, by name.
func (r *Row) numericColumns() map[string]float64 {
	return map[string]float64{"ok": r.OK, "utility": r.Utility, "broken": float64(r.Broken), "p99_ms": r.P99, "whole_s": r.RecoverySeconds, "lost_s": r.LostSeconds,
		"connects": r.Connects, "connects_at_one": r.MemberConnects, "lists": r.Lists, "full": r.QueueFull, "cold": r.ColdBudgetUsed, "stale": r.StaleWrites, "first_10s": r.UtilityFirst10s}
}

// Difference is the difference between two sets of rows in one column, over the rehearsals with the same script and seed.
type Difference struct {
	Script, Column         string
	Pairs                  int
	MeanFirst, MeanSecond  float64
	MeanDifference, Margin float64 // mean of second - first, and half the width of its 95% confidence interval
}

// Compare pairs the rows of two sets by script and seed and returns the differences, second minus first, for each script and column.
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
		if other, known := first[key{r.Script, r.Seed}]; known {
			if pairs[r.Script] == nil {
				scripts = append(scripts, r.Script)
			}
			pairs[r.Script] = append(pairs[r.Script], [2]Row{other, r})
		}
	}
	for _, script := range scripts {
		var empty Row
		for _, column := range slices.Sorted(maps.Keys(empty.numericColumns())) {
			d := Difference{Script: script, Column: column, Pairs: len(pairs[script])}
			var differences []float64
			for _, p := range pairs[script] {
				x, y := p[0].numericColumns()[column], p[1].numericColumns()[column]
				d.MeanFirst, d.MeanSecond, differences = d.MeanFirst+x/float64(d.Pairs), d.MeanSecond+y/float64(d.Pairs), append(differences, y-x)
			}
			d.MeanDifference, d.Margin = meanWithError(differences)
			d.Margin *= studentQuantile(d.Pairs - 1)
			all = append(all, d)
		}
	}
	return all
}

// studentQuantile returns the factor by which a standard error is multiplied to give half the width of a 95% confidence interval.
func studentQuantile(degreesOfFreedom int) float64 {
	if degreesOfFreedom < 1 {
		return math.Inf(1)
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(degreesOfFreedom)}.Quantile(0.975)
}

// Summary aggregates the rows of one arm of one script over its seeds.
type Summary struct {
	Script, Arm                      string
	Seeds                            int
	MeanUtility, MinUtility          float64
	MaxUtility                       float64
	OK                               float64 // mean
	P99                              float64 // mean, ms
	Broken                           int64
	DifferenceToFirst, StandardError float64 // mean difference in utility to the first arm on the same seeds, and its standard error
}

// Summarize aggregates consecutive rows of the same script and arm, in their order.
func Summarize(rows []Row) (all []Summary) {
	first := make(map[string]string) // first arm by script
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
		s := Summary{Script: rows[i].Script, Arm: rows[i].Arm, MinUtility: math.Inf(1), MaxUtility: math.Inf(-1)}
		var differences []float64
		for ; j < len(rows) && rows[j].Script == s.Script && rows[j].Arm == s.Arm; j++ {
			r := rows[j]
			s.MeanUtility, s.OK, s.P99 = s.MeanUtility+r.Utility, s.OK+r.OK, s.P99+r.P99
			s.MinUtility, s.MaxUtility, s.Broken = min(s.MinUtility, r.Utility), max(s.MaxUtility, r.Utility), s.Broken+r.Broken
			if b, known := base[key(r)]; known {
				differences = append(differences, r.Utility-b)
			}
		}
		n := float64(j - i)
		s.Seeds, s.MeanUtility, s.OK, s.P99 = j-i, s.MeanUtility/n, s.OK/n, s.P99/n
		s.DifferenceToFirst, s.StandardError = meanWithError(differences)
		all = append(all, s)
		i = j
	}
	return all
}

// meanWithError returns the mean and its standard error, which is 0 for fewer than two values.
func meanWithError(values []float64) (mean, standardError float64) {
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

// Seeds parses a single seed such as 7 or a range such as 1..20.
func Seeds(text string) (seeds []uint64, err error) {
	from, to, ranged := strings.Cut(text, "..")
	if !ranged {
		to = from
	}
	a, fromErr := strconv.ParseUint(from, 10, 32)
	b, toErr := strconv.ParseUint(to, 10, 32)
	if fromErr != nil || toErr != nil || b < a || b-a >= 10_000 {
		return nil, fmt.Errorf("seeds %q: expected a number or a range such as 1..20, with at most 10000 seeds", text)
	}
	for s := a; s <= b; s++ {
		seeds = append(seeds, s)
	}
	return slices.Clip(seeds), nil
}
