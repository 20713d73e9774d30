package play

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Condition is how bytes go one way between two places of a script, beside what is usual.
type Condition struct {
	Cut, Refuse           bool
	Delay, Jitter         time.Duration
	Loss, Double, Reorder float64       // parts of the pieces; the last two of datagrams only
	Late                  time.Duration // what is doubled or overtaken comes later by that at most
	Rate                  int           // bytes a second of each stream, 0: as many as come
}

// Road is a way on which one place calls another.
type Road struct{ From, To string }

// Names of places that are no driver d0, d1, ..., no member m0, m1, ... and no control machine c0, c1, ...
const (
	toDiscovery = "discovery"
	fromClients = "clients"
)

// Driver and Member name places by number.
func Driver(n int) string { return "d" + strconv.Itoa(n) }

// Member returns the name of the nth member.
func Member(n int) string { return "m" + strconv.Itoa(n) }

// DriverZone and MemberZone number zones by what is in them. First primaries are spread over them too.
func (s *Script) DriverZone(n int) int { return n % s.Zones }

// MemberZone returns the zone of the nth member.
func (s *Script) MemberZone(n int) int { return (n + n/s.Members) % s.Zones }

// zoneNames are those of all zones.
func (s *Script) zoneNames() (names []string) {
	for z := range s.Zones {
		names = append(names, string(rune('a'+z)))
	}
	return names
}

// Roads are all ways that a fleet of the script has.
func (s *Script) Roads() (roads []Road) {
	for d := range s.Drivers {
		roads = append(roads, Road{fromClients, Driver(d)}, Road{Driver(d), toDiscovery})
		for m := range s.Groups * s.Members {
			roads = append(roads, Road{Driver(d), Member(m)})
		}
		for o := range s.Drivers {
			if o != d {
				roads = append(roads, Road{Driver(d), Driver(o)})
			}
		}
		for c := range s.Controls {
			roads = append(roads, Road{Driver(d), Control(c)})
		}
	}
	for c := range s.Controls {
		for o := range s.Controls {
			if o != c {
				roads = append(roads, Road{Control(c), Control(o)})
			}
		}
	}
	return roads
}

// places reads a name or a range of places: d3, d0..5, drivers, m1, m0..3, members, c0, controls, discovery, clients.
func (s *Script) places(text string) (names []string, err error) {
	all := map[byte]int{'d': s.Drivers, 'm': s.Groups * s.Members, 'c': s.Controls}
	switch text {
	case toDiscovery, fromClients:
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
		return nil, fmt.Errorf("%q names places that there are not: the last is %c%d", text, text[0], all[text[0]]-1)
	}
	for n := from; n <= to; n++ {
		names = append(names, text[:1]+strconv.Itoa(n))
	}
	return names, nil
}

// acts tells whether a trouble is felt at a time after the script's start; one that flaps is felt every other while.
func (t *Trouble) acts(at time.Duration) bool {
	if at < t.At || at >= t.At+t.Lasts {
		return false
	}
	return t.Every == 0 || (at-t.At)/t.Every%2 == 0
}

// touches tells whether a trouble of links is about what goes from one place to another.
func (t *Trouble) touches(from, to string) bool {
	if t.Kind == "partition" {
		apart, placed := true, 0
		for _, island := range t.Islands {
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
	return slices.Contains(t.From, from) && slices.Contains(t.To, to) ||
		!t.OneWay && slices.Contains(t.To, from) && slices.Contains(t.From, to)
}

// Between tells how bytes go from one place to another at a time after the script's start.
func (s *Script) Between(at time.Duration, from, to string) (c Condition) {
	for i := range s.Troubles {
		t := &s.Troubles[i]
		if kinds[t.Kind].about != "link" || !t.acts(at) || !t.touches(from, to) {
			continue
		}
		switch t.Kind {
		case "cut", "partition":
			c.Cut = true
		case "refuse":
			c.Refuse = true
		case "loss":
			c.Loss = max(c.Loss, min(t.Times, 0.9))
		case "delay":
			c.Delay, c.Jitter = c.Delay+t.By, c.Jitter+t.Jitter
		case "double":
			c.Double, c.Late = max(c.Double, min(t.Times, 1)), max(c.Late, t.By)
		case "reorder":
			c.Reorder, c.Late = max(c.Reorder, min(t.Times, 1)), max(c.Late, t.By)
		case "thin":
			if c.Rate == 0 || t.Rate < c.Rate {
				c.Rate = t.Rate
			}
		}
	}
	return c
}

// Resets tells whether streams on a road are reset at a time.
func (s *Script) Resets(at time.Duration, r Road) bool {
	return slices.ContainsFunc(s.Troubles, func(t Trouble) bool {
		return t.Kind == "reset" && t.At == at && t.touches(r.From, r.To)
	})
}

// Edges are the times at which a link changes, in order.
func (s *Script) Edges() (edges []time.Duration) {
	for _, t := range s.Troubles {
		if kinds[t.Kind].about != "link" {
			continue
		}
		edges = append(edges, t.At, t.At+t.Lasts)
		for at := t.At + t.Every; t.Every > 0 && at < t.At+t.Lasts; at += t.Every {
			edges = append(edges, at)
		}
	}
	slices.Sort(edges)
	return slices.Compact(edges)
}
