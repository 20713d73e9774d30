package rollout

import (
	"maps"
	"slices"
	"time"
)

// Standing is what a driver has told of itself with its latest call.
type Standing struct {
	Driver  string
	Version uint64   // in force; 0: what its own file says
	Refused uint64   // a newer one that it cannot take, 0: none
	Why     string   // of that
	Restart []string // settings of the version in force that wait for a restart of the driver
}

// Listed is a driver as one machine knows it.
type Listed struct {
	Standing
	Since time.Duration // when it was first heard with that version in force, or refused
	Heard time.Duration
}

// Roster is what a machine knows of the drivers that have asked it.
type Roster struct{ drivers map[string]*Listed }

const (
	mostDrivers = 4096
	mostWhy     = 512           // bytes
	mostRestart = 32            // settings
	forgotten   = 6 * time.Hour // after which a silent driver is gone
)

// NewRoster makes an empty one.
func NewRoster() *Roster { return &Roster{make(map[string]*Listed)} }

// Tell notes what a driver says. Where too many are known, who was silent for longest goes.
func (r *Roster) Tell(s Standing, now time.Duration) {
	s.Why = s.Why[:min(len(s.Why), mostWhy)]
	s.Restart = s.Restart[:min(len(s.Restart), mostRestart)]
	l := r.drivers[s.Driver]
	if l == nil {
		if len(r.drivers) >= mostDrivers {
			first := slices.MinFunc(slices.Collect(maps.Values(r.drivers)), func(a, b *Listed) int { return int(a.Heard - b.Heard) })
			delete(r.drivers, first.Driver)
		}
		l = &Listed{Since: now}
		r.drivers[s.Driver] = l
	} else if l.Version != s.Version || l.Refused != s.Refused {
		l.Since = now
	}
	l.Standing, l.Heard = s, now
}

// All are those that were heard not too long ago, by name.
func (r *Roster) All(now time.Duration) (all []Listed) {
	for _, name := range slices.Sorted(maps.Keys(r.drivers)) {
		if l := r.drivers[name]; now-l.Heard < forgotten {
			all = append(all, *l)
		} else {
			delete(r.drivers, name)
		}
	}
	return all
}
