package capacity

import (
	"context"
	"fmt"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
)

const (
	changeBound = 8 * time.Second // from a primary's silence to the first write at the next one, at every driver
	alwaysAsked = 20.0            // statements a second of a driver to one group at which it always has a write to make
	apartBefore = time.Second     // regions lose each other so long before the primary falls silent
	apartFor    = 9 * time.Second
	afterApart  = 4 * time.Second
	backBefore  = 3 * time.Second // the end: when a primary that hung or vanished is back
)

// silences are the ways in which a primary falls silent.
var silences = []string{"death", "hang", "vanish"}

// silence lets a member fall silent.
func silence(s *play.Script, how string, member int, at time.Duration) {
	lasts := s.Lasts - at - backBefore
	switch how {
	case "death": // it comes back cold
		s.Faults = append(s.Faults, play.Fault{Kind: "kill", At: at, Lasts: trouble, On: []int{member}})
	case "vanish": // neither its process nor its machine takes anything
		s.Faults = append(s.Faults, play.Fault{Kind: "cut", At: at, Lasts: lasts, From: places(play.Driver, 0, s.Drivers), To: []string{play.Member(member)}})
		fallthrough
	case "hang":
		s.Faults = append(s.Faults, play.Fault{Kind: "pause", At: at, Lasts: lasts, On: []int{member}})
	}
}

// spans are a change as some drivers lived it, in seconds. A driver that made no write until the end counts as if it had then.
type spans struct {
	all   []float64 // from a moment, such as the old one's silence, to its first write at the new one
	own   []float64 // of it, since the group had the new one
	asked []float64 // of that, since a client's write waited: the rest was want of a write
	never int
}

// add counts a driver. Since is the moment, begun the first one at which it could have written.
func (p *spans) add(c *play.PrimaryChange, driver int, since, begun, end time.Duration) {
	first := c.FirstWrite[driver]
	if first < 0 {
		first = end
		p.never++
	}
	p.all = append(p.all, (first - since).Seconds())
	p.own = append(p.own, max(0, first-begun).Seconds())
	if w := c.WaitedSince[driver]; w >= 0 {
		p.asked = append(p.asked, max(0, first-max(w, begun)).Seconds())
	}
}

func (p *points) spans(s *spans) {
	p.ranks("all", s.all)
	p.ranks("driver_part", s.own)
	p.ranks("driver_part_asked", s.asked)
	p.say("never", "drivers", float64(s.never))
}

// changeAt plays one change in one group, and gives its points. Apart: half of the drivers are cut off from half of the members meanwhile.
func changeAt(how string, apart bool, rate float64, name string, drivers int, seed uint64, point func(Point)) error {
	s, err := playOf(name, drivers, 1, rate*float64(drivers))
	if err != nil {
		return err
	}
	s.MemberSpec.Cores, s.MemberSpec.Queue = 64*max(1, drivers/fleetDrivers), 4096 // what it bears is not what is asked here
	healed, half := trouble-apartBefore+apartFor, drivers
	if apart {
		half, s.Lasts = drivers/2, healed+afterApart
		s.Faults = append(s.Faults, play.Fault{Kind: "partition", At: trouble - apartBefore, Lasts: apartFor, Islands: [][]string{
			append(places(play.Driver, 0, half), places(play.Member, 0, groupMembers/2)...),
			append(places(play.Driver, half, drivers), places(play.Member, groupMembers/2, groupMembers)...)}})
	}
	silence(s, how, 0, trouble)
	r, err := play.Rehearse(s, seed)
	if err != nil {
		return err
	}
	if len(r.Changes) == 0 {
		return fmt.Errorf("%s at %d, seed %d: the group has no new primary", name, drivers, seed)
	}
	c := &r.Changes[0]
	onFirst := c.Member == play.Member(0) || c.Member == play.Member(1) // half of the members
	var near, far spans
	for d := range drivers {
		if !apart || d < half == onFirst {
			near.add(c, d, trouble, c.At, s.Ends())
		} else {
			far.add(c, d, healed, healed, s.Ends())
		}
	}
	p := &points{name, Drivers, drivers, s, seed, point}
	p.say("group_part", "s", (c.At - trouble).Seconds())
	p.spans(&near)
	if apart {
		p.ranks("cut_off_since_healed", far.all)
		p.say("cut_off_never", "drivers", float64(far.never))
	}
	p.changeLoads(r, c)
	return p.rules(r)
}

// changeLoads is what a change brings to the new primary, and what goes astray.
func (p *points) changeLoads(r *play.Result, c *play.PrimaryChange) {
	from, end := int(trouble/time.Second), r.Ledger.Seconds()
	p.say("new_primary_attempts", "attempts in its first second", float64(c.Attempts))
	p.say("new_primary_connects", "connections in its first second", float64(c.Connects))
	p.say("usual_attempts", "attempts a second of the play's members", r.Ledger.Sum(emu.Attempts, 1, from)/float64(from-1))
	p.say("former_writes", "attempts", r.Ledger.Sum(emu.FormerPrimaryWrites, from, end))
	p.say("scouts", "attempts", r.Ledger.Sum(emu.Scouts, from, end))
	p.say("lists_busiest", "calls a second", r.Ledger.PeakTotal(emu.Lists, from, end))
	cold, _ := r.Ledger.Peak(emu.ColdLoad, from, end)
	p.say("cold_part", "of what tips a cold member", cold)
	p.say("utility", "of what was asked", r.Utility)
}

// loneDriver has its ordinary part of all groups, of which some change their primary one after the other.
func loneDriver(how string) Sweep {
	const changing, every = 6, 500 * time.Millisecond
	name := "primary-" + how + "-lone"
	return Sweep{Name: name, Axis: Members, Sizes: []int{120, 550, 1100, 2200},
		About: fmt.Sprintf("one driver with its ordinary %.0f statements a second, dealt over all groups, of which %d change their primary (%s); there is no other driver", driverStatements, changing, how),
		Play: func(_ context.Context, members int, seed uint64, point func(Point)) error {
			s, err := playOf(name, 1, members/groupMembers, driverStatements)
			if err != nil {
				return err
			}
			for n := range changing {
				silence(s, how, n*groupMembers, trouble+time.Duration(n)*every)
			}
			r, err := play.Rehearse(s, seed)
			if err != nil {
				return err
			}
			var all spans
			var group []float64
			for i := range r.Changes {
				c := &r.Changes[i]
				at := trouble + time.Duration(c.Group)*every
				all.add(c, 0, at, c.At, s.Ends())
				group = append(group, (c.At - at).Seconds())
			}
			p := &points{name, Members, members, s, seed, point}
			p.say("changes", "groups", float64(len(group)))
			p.ranks("group_part", group)
			p.spans(&all)
			p.say("utility", "of what was asked", r.Utility)
			return p.rules(r)
		}}
}

// primarySweeps play changes of primary and failures.
func primarySweeps() []Sweep { return append(changeSweeps(), failureSweeps()...) }

func changeSweeps() (all []Sweep) {
	for _, how := range silences {
		for _, apart := range []string{"", "-apart"} {
			for _, load := range []struct {
				name string
				rate float64
			}{{"-ordinary", groupStatements}, {"-asked", alwaysAsked}} {
				name := "primary-" + how + load.name + apart
				all = append(all, Sweep{Name: name, Axis: Drivers, Sizes: []int{30, 100, 235, 470, 940},
					About: fmt.Sprintf("one group of %d whose primary falls silent (%s), %.1f statements a second from each driver; the other members and what drivers send them are left out", groupMembers, how, load.rate),
					Play: func(_ context.Context, size int, seed uint64, point func(Point)) error {
						return changeAt(how, apart != "", load.rate, name, size, seed, point)
					}})
			}
		}
		all = append(all, loneDriver(how))
	}
	return all
}
