package capacity

import (
	"context"
	"slices"
	"strings"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
)

const (
	failureStatementRate = 20.0 // per second and driver: far below its ordinary share, so that many drivers fit in a play
	failurePlayDuration  = 28 * time.Second
	rackFailedMembers    = 6 // each of a different group
	rackFailedDrivers    = 3
	zoneCount            = 7
	regionCount          = 2
	regionDelay          = 15 * time.Millisecond // one way
)

// failure describes one failure: which members and drivers fail, how and for how long.
type failure struct {
	name, about string
	zones       int
	duration    time.Duration
	members     func(s *play.Script) []int // indexes of members that fail
	drivers     func(s *play.Script) []int // indexes of drivers that fail
	drainFirst  bool                       // members drain before they stop, instead of being killed
	partition   bool                       // no process fails, but the regions cannot reach each other
}

// indexesWhere returns the numbers below n that satisfy the condition.
func indexesWhere(n int, condition func(int) bool) (all []int) {
	for i := range n {
		if condition(i) {
			all = append(all, i)
		}
	}
	return all
}

func noIndexes(*play.Script) []int { return nil }

func fixedIndexes(numbers ...int) func(*play.Script) []int {
	return func(*play.Script) []int { return numbers }
}

func membersInZone(zone int) func(*play.Script) []int {
	return func(s *play.Script) []int {
		return indexesWhere(s.Groups*s.Members, func(n int) bool { return s.MemberZone(n) == zone })
	}
}

func driversInZone(zone int) func(*play.Script) []int {
	return func(s *play.Script) []int {
		return indexesWhere(s.Drivers, func(n int) bool { return s.DriverZone(n) == zone })
	}
}

var failures = []failure{
	{name: "machines", about: "two members fail, one of them a primary", zones: zoneCount, duration: 10 * time.Second,
		members: fixedIndexes(0, groupMembers+1), drivers: noIndexes},
	{name: "restart-replica", about: "a replica drains and starts again", zones: zoneCount, duration: 3 * time.Second,
		members: fixedIndexes(1), drivers: noIndexes, drainFirst: true},
	{name: "restart-primary", about: "a primary drains, hands over and starts again", zones: zoneCount, duration: 3 * time.Second,
		members: fixedIndexes(0), drivers: noIndexes, drainFirst: true},
	{name: "restart-driver", about: "a driver is killed and starts again", zones: zoneCount, duration: 3 * time.Second,
		members: noIndexes, drivers: fixedIndexes(0)},
	{name: "rack", about: "six members of six groups, two of them primaries, and three drivers fail at once", zones: zoneCount, duration: 10 * time.Second,
		members: func(*play.Script) (all []int) {
			for g := range rackFailedMembers {
				all = append(all, g*groupMembers+g%3)
			}
			return all
		}, drivers: fixedIndexes(0, 1, 2)},
	{name: "zone", about: "one zone of seven fails", zones: zoneCount, duration: 12 * time.Second, members: membersInZone(3), drivers: driversInZone(3)},
	{name: "region", about: "one region of two fails", zones: regionCount, duration: 12 * time.Second, members: membersInZone(0), drivers: driversInZone(0)},
	{name: "regions-apart", about: "two regions cannot reach each other", zones: regionCount, duration: 12 * time.Second, members: noIndexes, drivers: noIndexes, partition: true},
}

// zoneNodeNames returns the names of the drivers and members in a zone.
func zoneNodeNames(s *play.Script, zone int) (drivers, members []string) {
	for _, n := range driversInZone(zone)(s) {
		drivers = append(drivers, play.Driver(n))
	}
	for _, n := range membersInZone(zone)(s) {
		members = append(members, play.Member(n))
	}
	return drivers, members
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// failureScript returns the play of a failure with the given number of drivers, and members in the same proportion as in the fleet.
func failureScript(f *failure, drivers int) (*play.Script, error) {
	groups := max(int(float64(drivers)*fleetMembers/fleetDrivers/groupMembers+0.5), rackFailedMembers)
	for greatestCommonDivisor(drivers, groups) > 1 { // a session's number determines its driver and its group: with a common divisor each driver would serve only some groups
		groups++
	}
	s, err := newPlayScript("failure-"+f.name, drivers, groups, failureStatementRate*float64(drivers))
	if err != nil {
		return nil, err
	}
	s.Duration, s.Zones, s.Route, s.MemberSpec.Cores = failurePlayDuration, f.zones, "spread", 1
	if f.zones == regionCount {
		hereDrivers, hereMembers := zoneNodeNames(s, 0)
		thereDrivers, thereMembers := zoneNodeNames(s, 1)
		s.Faults = append(s.Faults, play.Fault{Kind: "delay", Duration: s.Ends(), From: hereDrivers, To: thereMembers, By: regionDelay},
			play.Fault{Kind: "delay", Duration: s.Ends(), From: thereDrivers, To: hereMembers, By: regionDelay})
		if f.partition {
			s.Faults = append(s.Faults, play.Fault{Kind: "partition", At: faultStart, Duration: f.duration,
				Islands: [][]string{append(hereDrivers, hereMembers...), append(thereDrivers, thereMembers...)}})
		}
	}
	if on := f.members(s); len(on) > 0 {
		s.Faults = append(s.Faults, play.Fault{Kind: map[bool]string{true: "drain", false: "kill"}[f.drainFirst], At: faultStart, Duration: f.duration, On: on})
	}
	if on := f.drivers(s); len(on) > 0 {
		s.Faults = append(s.Faults, play.Fault{Kind: "driver_kill", At: faultStart, Duration: f.duration, On: on, Within: time.Second})
	}
	return s, nil
}

// playFailure plays one failure and records its points.
func playFailure(f *failure, drivers int, seed uint64, point func(Point)) error {
	s, err := failureScript(f, drivers)
	if err != nil {
		return err
	}
	r, err := play.Rehearse(s, seed)
	if err != nil {
		return err
	}
	p := &playReporter{s.Name, Drivers, drivers, s, seed, point}
	level := r.UtilitySeries.ServedShare(play.AllDrivers, time.Second, faultStart)
	recovery, lossEnd := r.UtilitySeries.RecoveryTime(play.AllDrivers, level, faultStart, s.Duration), s.Duration
	p.report("level", "utility got of what was asked", level)
	if recovery >= 0 {
		p.report("whole_after", "s", recovery.Seconds())
	}
	p.report("never_whole", "plays", map[bool]float64{true: 1}[recovery < 0])
	p.report("lost", "s of the level before", (1-r.UtilitySeries.ServedShare(play.AllDrivers, faultStart, lossEnd)/level)*(lossEnd-faultStart).Seconds())
	p.report("worst_second", "utility got of what was asked", worstSecond(r, s))
	killedDrivers := f.drivers(s)
	affected := indexesWhere(drivers, func(d int) bool {
		return r.UtilitySeries.ServedShare(d, faultStart, faultStart+f.duration) < 0.95*level
	})
	p.report("drivers_gone", "drivers", float64(len(killedDrivers)))
	p.report("drivers_concerned", "drivers under 95% of the level while it lasts", float64(len(affected)))
	killedMembers := f.members(s)
	p.report("members_gone", "members", float64(len(killedMembers)))
	p.report("changes", "of primary", float64(len(r.Changes)))
	var groupTimes []float64
	for _, c := range r.Changes {
		groupTimes = append(groupTimes, (c.At - faultStart).Seconds())
	}
	p.reportPercentiles("group_part", groupTimes)
	p.reportCarriedLoad(r, killedDrivers, f.duration)
	from, end := int(faultStart/time.Second), r.Ledger.Seconds()
	for _, counter := range []string{emu.Connects, emu.Lists, emu.Attempts, emu.Probes} {
		p.report(counter+"_usual", "in the busiest second", r.Ledger.PeakTotal(counter, 1, from))
		p.report(counter+"_busiest", "in the busiest second", r.Ledger.PeakTotal(counter, from, end))
	}
	usual, _ := r.Ledger.Peak(emu.Connects, 1, from)
	busiest, _ := r.Ledger.Peak(emu.Connects, from, end)
	p.report("connects_one_usual", "in the busiest second of one member", usual)
	p.report("connects_one_busiest", "in the busiest second of one member", busiest)
	p.report("former_writes", "attempts", r.Ledger.Sum(emu.FormerPrimaryWrites, from, end))
	p.report("pushed_back", "tries", r.Ledger.Sum(emu.PushedBackTries, from, end))
	p.report("no_answer", "tries", r.Ledger.Sum(emu.UnansweredTries, from, end))
	cold, _ := r.Ledger.Peak(emu.ColdLoad, from, end)
	p.report("cold_part", "of what tips a cold member", cold)
	return p.reportBrokenRules(r)
}

// worstSecond returns the lowest utility of any second after the start of the failure.
func worstSecond(r *play.Result, s *play.Script) float64 {
	least := 1.0
	for from := faultStart; from+time.Second <= s.Duration; from += 100 * time.Millisecond {
		least = min(least, r.UtilitySeries.ServedShare(play.AllDrivers, from, from+time.Second))
	}
	return least
}

// reportCarriedLoad reports the load of the remaining drivers while others are down, relative to the mean load of a driver before.
func (p *playReporter) reportCarriedLoad(r *play.Result, killed []int, duration time.Duration) {
	if len(killed) == 0 {
		return
	}
	from := int(faultStart / time.Second)
	settled, end := from+2, from+int(duration/time.Second) // after 2 s clients have moved to the remaining drivers
	before := r.Ledger.Sum(emu.RequestedUtility, 1, from) / float64(from-1) / float64(p.script.Drivers)
	var loads []float64
	for d := range p.script.Drivers {
		if !slices.Contains(killed, d) {
			loads = append(loads, r.Ledger.SumAt(emu.RequestedUtility, play.Driver(d), settled, end)/float64(end-settled)/before)
		}
	}
	sum := 0.0
	for _, v := range loads {
		sum += v
	}
	p.report("carried_mean", "times what a driver had before", sum/float64(len(loads)))
	p.report("carried_worst", "times what a driver had before", percentile(loads, 100))
}

// failureSweeps returns one sweep for each failure.
func failureSweeps() (all []Sweep) {
	for _, f := range failures {
		all = append(all, Sweep{Name: "failure-" + f.name, Axis: Drivers, Sizes: []int{30, 60, 120, 240},
			About: strings.Join([]string{f.about, "members in the fleet's proportion to drivers, a small part of its statements, members with one core"}, "; "),
			Play: func(_ context.Context, size int, seed uint64, point func(Point)) error {
				return playFailure(&f, size, seed, point)
			}})
	}
	return all
}
