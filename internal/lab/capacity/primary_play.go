package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"passtack/internal/emu/play"
)

// playTemplate is the script of the plays of changes and failures, with the reads and writes of the drills.
const playTemplate = `lasts = "14s"
fleet {
  drivers    = 1
  members    = 4
  handshake  = "5ms"
  list_delay = "1s"
  warm       = "8s"
}
load {
  rate    = 1
  retries = 3
  method "status-read" {
    need    = "bounded"
    bound   = "800ms"
    work    = "13ms..23ms"
    soft    = "1s"
    limit   = "2500ms"
    utility = 3
    late    = 0.2
    share   = 51
  }
  method "own-read" {
    need    = "session"
    work    = "13ms..23ms"
    soft    = "800ms"
    limit   = "2s"
    share   = 16
  }
  method "apply-write" {
    need    = "write"
    effect  = "tokened"
    window  = "1200ms"
    work    = "5ms..9ms"
    soft    = "600ms"
    limit   = "2s"
    utility = 6
    late    = 0.5
    share   = 33
  }
}
`

// The fleet size in two years, for which the sweeps measure.
const (
	fleetStatements = 840000.0 // per second
	fleetDrivers    = 470.0
	fleetMembers    = 1100.0
	groupMembers    = 4

	// driverStatements is the ordinary load of one driver, groupStatements its part for one group, both per second.
	driverStatements = fleetStatements / fleetDrivers
	groupStatements  = driverStatements * groupMembers / fleetMembers
)

// faultStart is when faults begin in these plays; the time before serves as the baseline.
const faultStart = 4 * time.Second

// newPlayScript returns a script with the given drivers and groups, and the statement rate of all drivers together. Sizes are set
// after parsing, as the parser's bounds are meant for scripts written by people.
func newPlayScript(name string, drivers, groups int, rate float64) (*play.Script, error) {
	s, err := play.ParseScript([]byte(playTemplate), name)
	if err != nil {
		return nil, err
	}
	s.Drivers, s.Groups, s.Rate, s.Sessions = drivers, groups, rate, 10*drivers*groups
	return s, nil
}

// nodeNames returns the names of the drivers or members from one number up to, but not including, another.
func nodeNames(name func(int) string, from, to int) (all []string) {
	for n := from; n < to; n++ {
		all = append(all, name(n))
	}
	return all
}

// percentile returns the nearest-rank percentile; 100 gives the largest value.
func percentile(values []float64, percent float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(int(math.Ceil(percent/100*float64(len(sorted)))), 1)-1]
}

// playReporter records the points of one play.
type playReporter struct {
	sweep  string
	axis   Axis
	size   int
	script *play.Script
	seed   uint64
	point  func(Point)
}

func (p *playReporter) report(measure, unit string, value float64) {
	p.point(Point{Sweep: p.sweep, Measure: measure, Unit: unit, Axis: string(p.axis), Size: int64(p.size), Drivers: int64(p.script.Drivers),
		Members: int64(p.script.Groups * p.script.Members), Seed: p.seed, Value: value, How: "simulated"})
}

// reportPercentiles reports the median, 99th percentile and largest value, or nothing if there are no values.
func (p *playReporter) reportPercentiles(measure string, values []float64) {
	if len(values) == 0 {
		return
	}
	p.report(measure+"_p50", "s", percentile(values, 50))
	p.report(measure+"_p99", "s", percentile(values, 99))
	p.report(measure+"_worst", "s", percentile(values, 100))
}

// reportBrokenRules reports how many rules were broken, and returns an error if any was: such a play is not a valid measurement.
func (p *playReporter) reportBrokenRules(r *play.Result) error {
	p.report("rules_broken", "rules", float64(len(r.Broken)))
	if len(r.Broken) > 0 {
		return fmt.Errorf("%s at %d, seed %d: rules broken: %s", p.sweep, p.size, p.seed, strings.Join(r.Broken[:min(len(r.Broken), 3)], "; "))
	}
	return nil
}
