package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"passtack/internal/rollout/server"
)

// fleetStatus is what all control machines report together.
type fleetStatus struct {
	machines []server.Status
	silent   []string // machines without an answer, with the errors
	drivers  map[string]server.DriverStatus
}

// status asks all machines. Of a driver that several know the latest report is taken.
func (m controlMachines) status() (fleetStatus, error) {
	f := fleetStatus{drivers: make(map[string]server.DriverStatus)}
	for _, a := range m.getAll("/status") {
		var s server.Status
		err := a.err
		if err == nil {
			err = json.Unmarshal(a.body, &s)
		}
		if err != nil {
			f.silent = append(f.silent, fmt.Sprintf("%s: %v", a.address, err))
			continue
		}
		f.machines = append(f.machines, s)
		for _, d := range s.Drivers {
			if other, known := f.drivers[d.Name]; !known || d.LastSeenMS < other.LastSeenMS {
				f.drivers[d.Name] = d
			}
		}
	}
	if len(f.machines) == 0 {
		return f, errors.New(strings.Join(f.silent, "\n"))
	}
	return f, nil
}

// version returns the newest version that is committed.
func (f fleetStatus) version() (newest uint64) {
	for _, s := range f.machines {
		newest = max(newest, s.Version)
	}
	return newest
}

// driverCounts are numbers of drivers with regard to one version.
type driverCounts struct {
	inForce  int // of that version or a newer one
	lagging  int
	rejected int
}

func (f fleetStatus) count(version uint64) (counts driverCounts) {
	for _, d := range f.drivers {
		switch {
		case d.Version >= version:
			counts.inForce++
		case d.RejectedVersion >= version:
			counts.rejected++
		default:
			counts.lagging++
		}
	}
	return counts
}

// print prints which drivers have a version in force and why others have not, and the state of the machines.
func (f fleetStatus) print(version uint64) error {
	counts := f.count(version)
	fmt.Printf("version %d is in force at %d of %d drivers; %d lag, %d refuse it\n", version, counts.inForce, len(f.drivers), counts.lagging, counts.rejected)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if counts.inForce < len(f.drivers) {
		fmt.Fprintln(w, "\ndriver\tin force\tsince\theard\twhy not")
	}
	f.printDrivers(w, version)
	f.printMachines(w)
	return w.Flush()
}

func (f fleetStatus) printDrivers(w io.Writer, version uint64) {
	names := slices.Sorted(maps.Keys(f.drivers))
	for _, name := range names {
		d := f.drivers[name]
		if d.Version >= version {
			continue
		}
		reason := "lags"
		if d.RejectedVersion >= version {
			reason = fmt.Sprintf("refuses %d: %s", d.RejectedVersion, d.RejectReason)
		}
		fmt.Fprintf(w, "%s\t%d\t%.1fs ago\t%.1fs ago\t%s\n", name, d.Version, float64(d.VersionAgeMS)/1000, float64(d.LastSeenMS)/1000, reason)
	}
	for _, name := range names {
		if d := f.drivers[name]; len(d.NeedsRestart) > 0 {
			fmt.Fprintf(w, "%s\t%d\t\t\tneeds a restart for %s\n", name, d.Version, strings.Join(d.NeedsRestart, ", "))
		}
	}
}

func (f fleetStatus) printMachines(w io.Writer) {
	fmt.Fprintln(w, "\nmachine\tversion\tvotes\tsure\twho writes")
	for _, s := range f.machines {
		writer := s.Writer
		if writer == "" {
			writer = "unknown"
		}
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%s\n", s.Machine, s.Version, s.Votes, s.Fresh, writer)
	}
	for _, s := range f.silent {
		fmt.Fprintln(w, s)
	}
}
