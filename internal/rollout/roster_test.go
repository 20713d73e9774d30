package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Drivers with ever new names or long reasons must not make the roster grow without limit.
func TestRosterIsBounded(t *testing.T) {
	r := NewRoster()
	for d := range maxDrivers + 10 {
		r.Report(DriverReport{Driver: fmt.Sprint("d", d), Version: 1, RejectReason: fmt.Sprintf("%01000d", d)}, time.Duration(d))
	}
	r.Report(DriverReport{Driver: "d100", Version: 2}, time.Second)
	r.Report(DriverReport{Driver: "d100", Version: 2}, 2*time.Second)
	all := r.All(2 * time.Second)
	if len(all) != maxDrivers || len(all[len(all)-1].RejectReason) > maxReasonBytes {
		t.Fatalf("%d drivers are known", len(all))
	}
	index := slices.IndexFunc(all, func(status DriverStatus) bool { return status.Driver == "d100" })
	if status := all[index]; status.VersionSince != time.Second || status.LastSeen != 2*time.Second || status.Version != 2 {
		t.Errorf("%+v", status)
	}
	if slices.ContainsFunc(all, func(status DriverStatus) bool { return status.Driver == "d3" }) {
		t.Error("the driver that was silent for longest is still known")
	}
	if n := len(r.All(driverExpiry + 2*time.Second)); n != 0 {
		t.Errorf("%d drivers are known after they expired", n)
	}
}
