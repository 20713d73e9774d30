package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DriverReport is what a driver reports of itself with each poll.
type DriverReport struct {
	Driver          string
	Version         uint64   // in force; 0: the driver's own file
	RejectedVersion uint64   // a newer version that the driver cannot use; 0: none
	RejectReason    string   // why not
	NeedsRestart    []string // settings of Version that take effect only after a restart
}

// DriverStatus is a driver as one machine knows it.
type DriverStatus struct {
	DriverReport
	VersionSince time.Duration // when Version and RejectedVersion were first reported together
	LastSeen     time.Duration // when the latest report came
}

// Roster holds the latest report of each driver that polls a machine.
type Roster struct{ drivers map[string]*DriverStatus }

const (
	maxDrivers      = 4096
	maxReasonBytes  = 512
	maxNeedsRestart = 32            // settings
	driverExpiry    = 6 * time.Hour // after the last report
)

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{make(map[string]*DriverStatus)} }

// Report stores a driver's report. With maxDrivers known, a new one evicts the driver that was silent for longest.
func (r *Roster) Report(report DriverReport, now time.Duration) {
	report.RejectReason = report.RejectReason[:min(len(report.RejectReason), maxReasonBytes)]
	report.NeedsRestart = report.NeedsRestart[:min(len(report.NeedsRestart), maxNeedsRestart)]
	status := r.drivers[report.Driver]
	if status == nil {
		if len(r.drivers) >= maxDrivers {
			r.evictOldest()
		}
		status = &DriverStatus{VersionSince: now}
		r.drivers[report.Driver] = status
	} else if status.Version != report.Version || status.RejectedVersion != report.RejectedVersion {
		status.VersionSince = now
	}
	status.DriverReport, status.LastSeen = report, now
}

func (r *Roster) evictOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(r.drivers)), func(a, b *DriverStatus) int {
		return cmp.Compare(a.LastSeen, b.LastSeen)
	})
	delete(r.drivers, oldest.Driver)
}

// All returns the drivers by name, and removes those that have expired.
func (r *Roster) All(now time.Duration) (all []DriverStatus) {
	for _, name := range slices.Sorted(maps.Keys(r.drivers)) {
		if status := r.drivers[name]; now-status.LastSeen < driverExpiry {
			all = append(all, *status)
		} else {
			delete(r.drivers, name)
		}
	}
	return all
}
