package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DriverReport is the state that a driver reports with each poll.
type DriverReport struct {
	Driver          string
	Version         uint64   // version in force; 0: none, the driver uses its local file
	RejectedVersion uint64   // a newer version that the driver cannot use; 0: none
	RejectReason    string   // why the driver rejected RejectedVersion
	NeedsRestart    []string // settings of Version that take effect only after a restart
}

// DriverStatus is the latest report of a driver and its times, as known to one machine.
type DriverStatus struct {
	DriverReport
	VersionSince time.Duration // when this pair of Version and RejectedVersion was first reported
	LastSeen     time.Duration // when the latest report arrived
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

// Report stores a driver's report. If maxDrivers are known, a new driver evicts the one whose last report is oldest.
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

// All returns the drivers in order of their names, and removes expired ones.
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
