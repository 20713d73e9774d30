package capacity

import (
	"context"
	"fmt"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
)

const (
	maxChangeTime     = 8 * time.Second // from a primary's failure to the first write at its successor, for every driver
	busyGroupRate     = 20.0            // statements per second and driver to one group; at this rate a driver always has a write waiting
	partitionLead     = time.Second     // time from the start of the partition to the primary's failure
	partitionDuration = 9 * time.Second
	afterPartition    = 4 * time.Second // time from the end of the partition to the end of the play
	returnLead        = 3 * time.Second // time from the return of a hung or vanished primary to the end of the play
)

// primaryFailures are the ways in which a primary stops answering.
var primaryFailures = []string{"death", "hang", "vanish"}

// addPrimaryFailure adds a failure of a member to a play.
func addPrimaryFailure(s *play.Script, kind string, member int, at time.Duration) {
	duration := s.Duration - at - returnLead
	switch kind {
	case "death": // it restarts cold
		s.Faults = append(s.Faults, play.Fault{Kind: "kill", At: at, Duration: faultStart, On: []int{member}})
	case "vanish": // paused, and its machine accepts no packets from drivers
		s.Faults = append(s.Faults, play.Fault{Kind: "cut", At: at, Duration: duration, From: nodeNames(play.Driver, 0, s.Drivers), To: []string{play.Member(member)}})
		fallthrough
	case "hang":
		s.Faults = append(s.Faults, play.Fault{Kind: "pause", At: at, Duration: duration, On: []int{member}})
	}
}

// changeTimes are the durations of a change of primary for some drivers, in seconds. A driver that made no write before the end of
// the play counts as if it had written at the end.
type changeTimes struct {
	total             []float64 // from a start, such as the old primary's failure, to the driver's first write at the new primary
	driverPart        []float64 // part of total after the group had its new primary
	driverPartWaiting []float64 // part of driverPart while a client's write was waiting; in the rest the driver had none to send
	withoutWrite      int
}

// add adds a driver. Total is counted from since; earliest is the first time at which the driver could have written.
func (p *changeTimes) add(c *play.PrimaryChange, driver int, since, earliest, end time.Duration) {
	first := c.FirstWrite[driver]
	if first < 0 {
		first = end
		p.withoutWrite++
	}
	p.total = append(p.total, (first - since).Seconds())
	p.driverPart = append(p.driverPart, max(0, first-earliest).Seconds())
	if w := c.WaitedSince[driver]; w >= 0 {
		p.driverPartWaiting = append(p.driverPartWaiting, max(0, first-max(w, earliest)).Seconds())
	}
}

// changeTimes reports the times of a change and the drivers that made no write.
func (p *playReporter) changeTimes(s *changeTimes) {
	p.reportPercentiles("all", s.total)
	p.reportPercentiles("driver_part", s.driverPart)
	p.reportPercentiles("driver_part_asked", s.driverPartWaiting)
	p.report("never", "drivers", float64(s.withoutWrite))
}

// playChange plays one change of primary in one group and records its points. With partition, half of the drivers are cut off from
// half of the members during the change.
func playChange(kind string, partition bool, rate float64, name string, drivers int, seed uint64, point func(Point)) error {
	s, err := newPlayScript(name, drivers, 1, rate*float64(drivers))
	if err != nil {
		return err
	}
	s.MemberSpec.Cores, s.MemberSpec.Queue = 64*max(1, drivers/fleetDrivers), 4096 // large, as the capacity of members is not measured here
	healedAt, firstHalf := faultStart-partitionLead+partitionDuration, drivers
	if partition {
		firstHalf, s.Duration = drivers/2, healedAt+afterPartition
		s.Faults = append(s.Faults, play.Fault{Kind: "partition", At: faultStart - partitionLead, Duration: partitionDuration, Islands: [][]string{
			append(nodeNames(play.Driver, 0, firstHalf), nodeNames(play.Member, 0, groupMembers/2)...),
			append(nodeNames(play.Driver, firstHalf, drivers), nodeNames(play.Member, groupMembers/2, groupMembers)...)}})
	}
	addPrimaryFailure(s, kind, 0, faultStart)
	r, err := play.Rehearse(s, seed)
	if err != nil {
		return err
	}
	if len(r.Changes) == 0 {
		return fmt.Errorf("%s at %d drivers, seed %d: group got no new primary", name, drivers, seed)
	}
	c := &r.Changes[0]
	newPrimaryInFirstHalf := c.Member == play.Member(0) || c.Member == play.Member(1) // the members on the side of the first half of the drivers
	var connected, cutOff changeTimes
	for d := range drivers {
		if !partition || d < firstHalf == newPrimaryInFirstHalf {
			connected.add(c, d, faultStart, c.At, s.Ends())
		} else {
			cutOff.add(c, d, healedAt, healedAt, s.Ends())
		}
	}
	p := &playReporter{name, Drivers, drivers, s, seed, point}
	p.report("group_part", "s", (c.At - faultStart).Seconds())
	p.changeTimes(&connected)
	if partition {
		p.reportPercentiles("cut_off_since_healed", cutOff.total)
		p.report("cut_off_never", "drivers", float64(cutOff.withoutWrite))
	}
	p.reportChangeLoad(r, c)
	return p.reportBrokenRules(r)
}

// reportChangeLoad reports the load of a change on the new primary, and the attempts that reached the former one.
func (p *playReporter) reportChangeLoad(r *play.Result, c *play.PrimaryChange) {
	from, end := int(faultStart/time.Second), r.Ledger.Seconds()
	p.report("new_primary_attempts", "attempts in its first second", float64(c.Attempts))
	p.report("new_primary_connects", "connections in its first second", float64(c.Connects))
	p.report("usual_attempts", "attempts a second of the play's members", r.Ledger.Sum(emu.Attempts, 1, from)/float64(from-1))
	p.report("former_writes", "attempts", r.Ledger.Sum(emu.FormerPrimaryWrites, from, end))
	p.report("scouts", "attempts", r.Ledger.Sum(emu.ExploratoryWrites, from, end))
	p.report("lists_busiest", "calls a second", r.Ledger.PeakTotal(emu.Lists, from, end))
	cold, _ := r.Ledger.Peak(emu.ColdLoad, from, end)
	p.report("cold_part", "of what tips a cold member", cold)
	p.report("utility", "of what was asked", r.Utility)
}

// loneDriverSweep plays one driver with its ordinary load on all groups, some of which change their primary one after the other.
func loneDriverSweep(kind string) Sweep {
	const changing, interval = 6, 500 * time.Millisecond
	name := "primary-" + kind + "-lone"
	return Sweep{Name: name, Axis: Members, Sizes: []int{120, 550, 1100, 2200},
		About: fmt.Sprintf("one driver with its ordinary %.0f statements a second, spread over all groups, of which %d change their primary (%s); there is no other driver", driverStatements, changing, kind),
		Play: func(_ context.Context, members int, seed uint64, point func(Point)) error {
			s, err := newPlayScript(name, 1, members/groupMembers, driverStatements)
			if err != nil {
				return err
			}
			for n := range changing {
				addPrimaryFailure(s, kind, n*groupMembers, faultStart+time.Duration(n)*interval)
			}
			r, err := play.Rehearse(s, seed)
			if err != nil {
				return err
			}
			var times changeTimes
			var groupTimes []float64
			for i := range r.Changes {
				c := &r.Changes[i]
				at := faultStart + time.Duration(c.Group)*interval
				times.add(c, 0, at, c.At, s.Ends())
				groupTimes = append(groupTimes, (c.At - at).Seconds())
			}
			p := &playReporter{name, Members, members, s, seed, point}
			p.report("changes", "groups", float64(len(groupTimes)))
			p.reportPercentiles("group_part", groupTimes)
			p.changeTimes(&times)
			p.report("utility", "of what was asked", r.Utility)
			return p.reportBrokenRules(r)
		}}
}

// primarySweeps returns the sweeps of changes of primary and of failures.
func primarySweeps() []Sweep { return append(changeSweeps(), failureSweeps()...) }

// changeSweeps returns the sweeps of changes of primary: by failure, load and partition, and one of a lone driver per failure.
func changeSweeps() (all []Sweep) {
	for _, kind := range primaryFailures {
		for _, suffix := range []string{"", "-apart"} {
			for _, load := range []struct {
				name string
				rate float64
			}{{"-ordinary", groupStatements}, {"-asked", busyGroupRate}} {
				name := "primary-" + kind + load.name + suffix
				all = append(all, Sweep{Name: name, Axis: Drivers, Sizes: []int{30, 100, 235, 470, 940},
					About: fmt.Sprintf("one group of %d whose primary stops answering (%s), %.1f statements a second from each driver; members of other groups and their load are left out", groupMembers, kind, load.rate),
					Play: func(_ context.Context, size int, seed uint64, point func(Point)) error {
						return playChange(kind, suffix != "", load.rate, name, size, seed, point)
					}})
			}
		}
		all = append(all, loneDriverSweep(kind))
	}
	return all
}
