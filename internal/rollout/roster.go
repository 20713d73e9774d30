package rollout

import (
	"maps"
	"slices"
	"time"
)

// Standing is what a driver has told of itself with its latest call.
type DriverReport struct {
	Driver          string
	Version         uint64   // in force; 0: what its own file says
	RejectedVersion uint64   // a newer one that it cannot take, 0: none
	RejectReason    string   // of that
	NeedsRestart    []string // settings of the version in force that wait for a restart of the driver
}

// Listed is a driver as one machine knows it.
type DriverStatus struct {
	DriverReport
	VersionSince time.Duration // when it was first heard with that version in force, or refused
	LastSeen     time.Duration
}

// Roster is what a machine knows of the drivers that have asked it.
type Roster struct{ drivers map[string]*DriverStatus }

const (
	maxDrivers      = 4096
	maxReasonBytes  = 512           // bytes
	maxNeedsRestart = 32            // settings
	driverExpiry    = 6 * time.Hour // after which a silent driver is gone
)

// NewRoster makes an empty one.
func NewRoster() *Roster { return &Roster{make(map[string]*DriverStatus)} }

// Tell notes what a driver says. Where too many are known, who was silent for longest goes.
func (r *Roster) Report(s DriverReport, now time.Duration) {
	s.RejectReason = s.RejectReason[:min(len(s.RejectReason), maxReasonBytes)]
	s.NeedsRestart = s.NeedsRestart[:min(len(s.NeedsRestart), maxNeedsRestart)]
	l := r.drivers[s.Driver]
	if l == nil {
		if len(r.drivers) >= maxDrivers {
			first := slices.MinFunc(slices.Collect(maps.Values(r.drivers)), func(a, b *DriverStatus) int { return int(a.LastSeen - b.LastSeen) })
			delete(r.drivers, first.Driver)
		}
		l = &DriverStatus{VersionSince: now}
		r.drivers[s.Driver] = l
	} else if l.Version != s.Version || l.RejectedVersion != s.RejectedVersion {
		l.VersionSince = now
	}
	l.DriverReport, l.LastSeen = s, now
}

// All are those that were heard not too long ago, by name.
func (r *Roster) All(now time.Duration) (all []DriverStatus) {
	for _, name := range slices.Sorted(maps.Keys(r.drivers)) {
		if l := r.drivers[name]; now-l.LastSeen < driverExpiry {
			all = append(all, *l)
		} else {
			delete(r.drivers, name)
		}
	}
	return all
}
