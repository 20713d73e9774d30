package play

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Condition is how bytes travel in one direction between two nodes, relative to the usual link.
type Condition struct {
	Cut, Refuse           bool
	Delay, Jitter         time.Duration
	Loss, Double, Reorder float64       // probability per packet; the last two for datagrams only
	MaxExtraDelay         time.Duration // largest delay of duplicates and of packets that others overtake
	Rate                  int           // bytes per second of each stream, 0: no limit
}

// Link is a pair of nodes of which the first calls the second.
type Link struct{ From, To string }

// Names of nodes other than drivers d0, d1, ..., members m0, m1, ... and control machines c0, c1, ...
const (
	discoveryNode = "discovery"
	clientsNode   = "clients"
)

// Driver returns the name of the nth driver.
func Driver(n int) string { return "d" + strconv.Itoa(n) }

// Member returns the name of the nth member.
func Member(n int) string { return "m" + strconv.Itoa(n) }

// DriverZone returns the zone of the nth driver.
func (s *Script) DriverZone(n int) int { return n % s.Zones }

// MemberZone returns the zone of the nth member. The first primaries of the groups are spread over the zones too.
func (s *Script) MemberZone(n int) int { return (n + n/s.Members) % s.Zones }

// zoneNames returns the names of all zones.
func (s *Script) zoneNames() (names []string) {
	for z := range s.Zones {
		names = append(names, string(rune('a'+z)))
	}
	return names
}

// Links returns all links of the script's fleet.
func (s *Script) Links() (links []Link) {
	for d := range s.Drivers {
		links = append(links, Link{clientsNode, Driver(d)}, Link{Driver(d), discoveryNode})
		for m := range s.Groups * s.Members {
			links = append(links, Link{Driver(d), Member(m)})
		}
		for o := range s.Drivers {
			if o != d {
				links = append(links, Link{Driver(d), Driver(o)})
			}
		}
		for c := range s.Controls {
			links = append(links, Link{Driver(d), Control(c)})
		}
	}
	for c := range s.Controls {
		for o := range s.Controls {
			if o != c {
				links = append(links, Link{Control(c), Control(o)})
			}
		}
	}
	return links
}

// readNodes expands a node name or a range of them: d3, d0..5, drivers, m1, m0..3, members, c0, controls, discovery,
// clients.
func (s *Script) readNodes(text string) (names []string, err error) {
	all := map[byte]int{'d': s.Drivers, 'm': s.Groups * s.Members, 'c': s.Controls}
	switch text {
	case discoveryNode, clientsNode:
		return []string{text}, nil
	case "controls":
		text = fmt.Sprintf("c0..%d", all['c']-1)
	case "drivers":
		text = fmt.Sprintf("d0..%d", all['d']-1)
	case "members":
		text = fmt.Sprintf("m0..%d", all['m']-1)
	}
	if text == "" || all[text[0]] == 0 {
		return nil, fmt.Errorf("%q is none of d0, d0..5, drivers, m0, m0..5, members, discovery and clients", text)
	}
	low, high, ranged := strings.Cut(text[1:], "..")
	if !ranged {
		high = low
	}
	from, bad := strconv.Atoi(low)
	to, worse := strconv.Atoi(high)
	if bad != nil || worse != nil || from < 0 || to < from || to >= all[text[0]] {
		return nil, fmt.Errorf("%q names nodes that do not exist: the last is %c%d", text, text[0], all[text[0]]-1)
	}
	for n := from; n <= to; n++ {
		names = append(names, text[:1]+strconv.Itoa(n))
	}
	return names, nil
}

// activeAt reports whether the fault is in effect at a time after the script's start. One with a period is in effect
// in every other period.
func (f *Fault) activeAt(at time.Duration) bool {
	if at < f.At || at >= f.At+f.Duration {
		return false
	}
	return f.Every == 0 || (at-f.At)/f.Every%2 == 0
}

// affects reports whether a link fault concerns data from one node to another.
func (f *Fault) affects(from, to string) bool {
	if f.Kind == "partition" {
		apart, placed := true, 0
		for _, island := range f.Islands {
			a, b := slices.Contains(island, from), slices.Contains(island, to)
			if a && b {
				apart = false
			}
			if a || b {
				placed++
			}
		}
		return apart && placed > 1
	}
	return slices.Contains(f.From, from) && slices.Contains(f.To, to) ||
		!f.OneWay && slices.Contains(f.To, from) && slices.Contains(f.From, to)
}

// Between returns the condition from one node to another at a time after the script's start.
func (s *Script) Between(at time.Duration, from, to string) (c Condition) {
	for i := range s.Faults {
		f := &s.Faults[i]
		if faultKinds[f.Kind].target != "link" || !f.activeAt(at) || !f.affects(from, to) {
			continue
		}
		switch f.Kind {
		case "cut", "partition":
			c.Cut = true
		case "refuse":
			c.Refuse = true
		case "loss":
			c.Loss = max(c.Loss, min(f.Times, 0.9))
		case "delay":
			c.Delay, c.Jitter = c.Delay+f.By, c.Jitter+f.Jitter
		case "double":
			c.Double, c.MaxExtraDelay = max(c.Double, min(f.Times, 1)), max(c.MaxExtraDelay, f.By)
		case "reorder":
			c.Reorder, c.MaxExtraDelay = max(c.Reorder, min(f.Times, 1)), max(c.MaxExtraDelay, f.By)
		case "thin":
			if c.Rate == 0 || f.Rate < c.Rate {
				c.Rate = f.Rate
			}
		}
	}
	return c
}

// ResetAt reports whether streams on a link are reset at a time.
func (s *Script) ResetAt(at time.Duration, l Link) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		return f.Kind == "reset" && f.At == at && f.affects(l.From, l.To)
	})
}

// LinkChangeTimes returns the times at which the condition of a link changes, in order.
func (s *Script) LinkChangeTimes() (times []time.Duration) {
	for _, f := range s.Faults {
		if faultKinds[f.Kind].target != "link" {
			continue
		}
		times = append(times, f.At, f.At+f.Duration)
		for at := f.At + f.Every; f.Every > 0 && at < f.At+f.Duration; at += f.Every {
			times = append(times, at)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}
