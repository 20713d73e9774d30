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
	failureStatements = 20.0 // a second of each driver: far under its ordinary part, so that many drivers fit in a play
	failureLasts      = 28 * time.Second
	rackMembers       = 6 // of different groups
	rackDrivers       = 3
	zonesInAll        = 7
	regionsInAll      = 2
	regionDelay       = 15 * time.Millisecond // one way
)

// failure is what fails, and how.
type failure struct {
	name, about string
	zones       int
	lasts       time.Duration
	members     func(s *play.Script) []int // that are killed
	drivers     func(s *play.Script) []int // likewise
	drains      bool                       // the members drain before
	apart       bool                       // nobody fails: regions lose each other
}

// among gives the numbers of which it holds.
func among(n int, holds func(int) bool) (all []int) {
	for i := range n {
		if holds(i) {
			all = append(all, i)
		}
	}
	return all
}

func nobody(*play.Script) []int { return nil }

func these(numbers ...int) func(*play.Script) []int {
	return func(*play.Script) []int { return numbers }
}

func membersOf(zone int) func(*play.Script) []int {
	return func(s *play.Script) []int {
		return among(s.Groups*s.Members, func(n int) bool { return s.MemberZone(n) == zone })
	}
}

func driversOf(zone int) func(*play.Script) []int {
	return func(s *play.Script) []int {
		return among(s.Drivers, func(n int) bool { return s.DriverZone(n) == zone })
	}
}

var failures = []failure{
	{name: "machines", about: "two members fail, of which one is a primary", zones: zonesInAll, lasts: 10 * time.Second,
		members: these(0, groupMembers+1), drivers: nobody},
	{name: "restart-replica", about: "a replica drains and starts again", zones: zonesInAll, lasts: 3 * time.Second,
		members: these(1), drivers: nobody, drains: true},
	{name: "restart-primary", about: "a primary drains, hands over and starts again", zones: zonesInAll, lasts: 3 * time.Second,
		members: these(0), drivers: nobody, drains: true},
	{name: "restart-driver", about: "a driver is killed and starts again", zones: zonesInAll, lasts: 3 * time.Second,
		members: nobody, drivers: these(0)},
	{name: "rack", about: "six members of six groups, of which two are primaries, and three drivers fail at once", zones: zonesInAll, lasts: 10 * time.Second,
		members: func(*play.Script) (all []int) {
			for g := range rackMembers {
				all = append(all, g*groupMembers+g%3)
			}
			return all
		}, drivers: these(0, 1, 2)},
	{name: "zone", about: "a zone of seven fails", zones: zonesInAll, lasts: 12 * time.Second, members: membersOf(3), drivers: driversOf(3)},
	{name: "region", about: "a region of two fails", zones: regionsInAll, lasts: 12 * time.Second, members: membersOf(0), drivers: driversOf(0)},
	{name: "regions-apart", about: "two regions lose each other", zones: regionsInAll, lasts: 12 * time.Second, members: nobody, drivers: nobody, apart: true},
}

// of gives the names of places by the zone that they are in.
func of(s *play.Script, zone int) (drivers, members []string) {
	for _, n := range driversOf(zone)(s) {
		drivers = append(drivers, play.Driver(n))
	}
	for _, n := range membersOf(zone)(s) {
		members = append(members, play.Member(n))
	}
	return drivers, members
}

// common is the greatest common divisor.
func common(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// failureScript is the play of a failure with so many drivers, and members in proportion to the fleet's.
func failureScript(f *failure, drivers int) (*play.Script, error) {
	groups := max(int(float64(drivers)*fleetMembers/fleetDrivers/groupMembers+0.5), rackMembers)
	for common(drivers, groups) > 1 { // a session's number gives its driver and its group: with a common part each driver would meet some groups only
		groups++
	}
	s, err := playOf("failure-"+f.name, drivers, groups, failureStatements*float64(drivers))
	if err != nil {
		return nil, err
	}
	s.Lasts, s.Zones, s.Route, s.MemberSpec.Cores = failureLasts, f.zones, "spread", 1
	if f.zones == regionsInAll {
		hereDrivers, hereMembers := of(s, 0)
		thereDrivers, thereMembers := of(s, 1)
		s.Faults = append(s.Faults, play.Fault{Kind: "delay", Lasts: s.Ends(), From: hereDrivers, To: thereMembers, By: regionDelay},
			play.Fault{Kind: "delay", Lasts: s.Ends(), From: thereDrivers, To: hereMembers, By: regionDelay})
		if f.apart {
			s.Faults = append(s.Faults, play.Fault{Kind: "partition", At: trouble, Lasts: f.lasts,
				Islands: [][]string{append(hereDrivers, hereMembers...), append(thereDrivers, thereMembers...)}})
		}
	}
	if on := f.members(s); len(on) > 0 {
		s.Faults = append(s.Faults, play.Fault{Kind: map[bool]string{true: "drain", false: "kill"}[f.drains], At: trouble, Lasts: f.lasts, On: on})
	}
	if on := f.drivers(s); len(on) > 0 {
		s.Faults = append(s.Faults, play.Fault{Kind: "driver_kill", At: trouble, Lasts: f.lasts, On: on, Within: time.Second})
	}
	return s, nil
}

// failureAt plays one, and gives its points.
func failureAt(f *failure, drivers int, seed uint64, point func(Point)) error {
	s, err := failureScript(f, drivers)
	if err != nil {
		return err
	}
	r, err := play.Rehearse(s, seed)
	if err != nil {
		return err
	}
	p := &points{s.Name, Drivers, drivers, s, seed, point}
	level := r.UtilitySeries.ServedShare(play.AllDrivers, time.Second, trouble)
	whole, lostUntil := r.UtilitySeries.RecoveryTime(play.AllDrivers, level, trouble, s.Lasts), s.Lasts
	p.say("level", "utility got of what was asked", level)
	if whole >= 0 {
		p.say("whole_after", "s", whole.Seconds())
	}
	p.say("never_whole", "plays", map[bool]float64{true: 1}[whole < 0])
	p.say("lost", "s of the level before", (1-r.UtilitySeries.ServedShare(play.AllDrivers, trouble, lostUntil)/level)*(lostUntil-trouble).Seconds())
	p.say("worst_second", "utility got of what was asked", worstSecond(r, s))
	gone := f.drivers(s)
	concerned := among(drivers, func(d int) bool { return r.UtilitySeries.ServedShare(d, trouble, trouble+f.lasts) < 0.95*level })
	p.say("drivers_gone", "drivers", float64(len(gone)))
	p.say("drivers_concerned", "drivers under 95% of the level while it lasts", float64(len(concerned)))
	members := f.members(s)
	p.say("members_gone", "members", float64(len(members)))
	p.say("changes", "of primary", float64(len(r.Changes)))
	var group []float64
	for _, c := range r.Changes {
		group = append(group, (c.At - trouble).Seconds())
	}
	p.ranks("group_part", group)
	p.carried(r, gone, f.lasts)
	from, end := int(trouble/time.Second), r.Ledger.Seconds()
	for _, what := range []string{emu.Connects, emu.Lists, emu.Attempts, emu.Probes} {
		p.say(what+"_usual", "in the busiest second", r.Ledger.PeakTotal(what, 1, from))
		p.say(what+"_busiest", "in the busiest second", r.Ledger.PeakTotal(what, from, end))
	}
	usual, _ := r.Ledger.Peak(emu.Connects, 1, from)
	one, _ := r.Ledger.Peak(emu.Connects, from, end)
	p.say("connects_one_usual", "in the busiest second of one member", usual)
	p.say("connects_one_busiest", "in the busiest second of one member", one)
	p.say("former_writes", "attempts", r.Ledger.Sum(emu.FormerPrimaryWrites, from, end))
	p.say("pushed_back", "tries", r.Ledger.Sum(emu.PushedBackTries, from, end))
	p.say("no_answer", "tries", r.Ledger.Sum(emu.UnansweredTries, from, end))
	cold, _ := r.Ledger.Peak(emu.ColdLoad, from, end)
	p.say("cold_part", "of what tips a cold member", cold)
	return p.rules(r)
}

// worstSecond is the least utility of any second from the failure on.
func worstSecond(r *play.Result, s *play.Script) float64 {
	least := 1.0
	for at := trouble; at+time.Second <= s.Lasts; at += 100 * time.Millisecond {
		least = min(least, r.UtilitySeries.ServedShare(play.AllDrivers, at, at+time.Second))
	}
	return least
}

// carried is what the drivers that are left carry while others are gone, against what one had before.
func (p *points) carried(r *play.Result, gone []int, lasts time.Duration) {
	if len(gone) == 0 {
		return
	}
	from := int(trouble / time.Second)
	begun, over := from+2, from+int(lasts/time.Second) // clients have been dealt anew
	before := r.Ledger.Sum(emu.RequestedUtility, 1, from) / float64(from-1) / float64(p.script.Drivers)
	var times []float64
	for d := range p.script.Drivers {
		if !slices.Contains(gone, d) {
			times = append(times, r.Ledger.SumAt(emu.RequestedUtility, play.Driver(d), begun, over)/float64(over-begun)/before)
		}
	}
	sum := 0.0
	for _, v := range times {
		sum += v
	}
	p.say("carried_mean", "times what a driver had before", sum/float64(len(times)))
	p.say("carried_worst", "times what a driver had before", percentile(times, 100))
}

// failureSweeps play what fails.
func failureSweeps() (all []Sweep) {
	for _, f := range failures {
		all = append(all, Sweep{Name: "failure-" + f.name, Axis: Drivers, Sizes: []int{30, 60, 120, 240},
			About: strings.Join([]string{f.about, "members in proportion to the fleet's, a small part of its statements, members of one core"}, "; "),
			Play: func(_ context.Context, size int, seed uint64, point func(Point)) error {
				return failureAt(&f, size, seed, point)
			}})
	}
	return all
}
