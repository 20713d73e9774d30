package play

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// A change of primary must report each driver's first write at the new primary, after the group's election, and none
// for a driver that cannot reach it.
func TestChangesOfPrimary(t *testing.T) {
	discardLogs()
	s, err := ParseScript([]byte(`lasts = "12s"
fleet {
  drivers = 4
  members = 3
}
load {
  rate    = 200
  retries = 2
  method "put" {
    need   = "write"
    effect = "tokened"
    window = "1200ms"
    work   = "2ms..4ms"
    soft   = "1s"
    limit  = "1500ms"
    share  = 1
  }
}
trouble "kill" {
  at    = "3s"
  lasts = "4s"
  on    = [0]
}
trouble "cut" {
  at    = "2s"
  lasts = "14s"
  from  = ["d3"]
  to    = ["members"]
}
`), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Rehearse(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 || len(r.Changes) != 1 {
		t.Fatalf("broken %v, changes %+v", r.Broken, r.Changes)
	}
	c := r.Changes[0]
	if c.Group != 0 || c.Member == "m0" || c.At < 5*time.Second || c.At > 8*time.Second {
		t.Errorf("%+v", c)
	}
	for d := range 3 {
		if c.FirstWrite[d] <= c.WaitedSince[d] || c.WaitedSince[d] < c.At || c.FirstWrite[d] > c.At+time.Second {
			t.Errorf("driver %d: its first write ran at %v, waited for since %v; the group had a primary at %v", d, c.FirstWrite[d], c.WaitedSince[d], c.At)
		}
	}
	if c.FirstWrite[3] >= 0 || c.WaitedSince[3] < c.At {
		t.Errorf("a driver that was cut off wrote at %v, waited for since %v", c.FirstWrite[3], c.WaitedSince[3])
	}
	second := int(c.At / time.Second)
	if seen := r.Ledger.Sum("attempts", second, second+2); c.Attempts < 100 || float64(c.Attempts) > seen || c.Connects < 3 || c.Connects > c.Attempts {
		t.Errorf("%d attempts and %d connections in the first second, %.0f attempts in all", c.Attempts, c.Connects, seen)
	}
}

// The sessions of dead drivers must be spread evenly: with one zone of seven down, each remaining driver has seven
// sixths of its own.
func TestSessionsOfDeadDriversAreSpread(t *testing.T) {
	const drivers, zones, each = 70, 7, 100
	c := Clients{up: make([]bool, drivers), sessionDriver: make([]int, drivers*each)}
	for n := range c.sessionDriver {
		c.sessionDriver[n] = n % drivers
	}
	for n := range drivers {
		c.setUp(n, n%zones != 3)
	}
	has := make(map[int]int)
	for n := range c.sessionDriver {
		has[c.driverOf(n)]++
	}
	for n := range drivers {
		if n%zones == 3 && has[n] > 0 || n%zones != 3 && (has[n] < each*7/6-5 || has[n] > each*7/6+5) {
			t.Errorf("driver %d has %d sessions", n, has[n])
		}
	}
	c.setUp(3, true)
	if c.driverOf(3) != 3 {
		t.Error("a restarted driver does not get its sessions back")
	}
}

// Drivers and each group's members must be spread over the script's zones, and the settings must name the zone of each
// driver.
func TestZones(t *testing.T) {
	discardLogs()
	s, err := ParseScript([]byte(strings.Replace(fourDrivers, "drivers = 4", "drivers = 4\n  groups = 2\n  zones = 3", 1)), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var members []int
	for n := range 6 {
		members = append(members, s.MemberZone(n))
	}
	if !slices.Equal(members, []int{0, 1, 2, 1, 2, 0}) || s.DriverSettings(3)["zone"] != "0" || s.DriverSettings(2)["zone"] != "2" || s.DriverSettings(0)["zones"] != "a,b,c" {
		t.Errorf("members %v, %v", members, s.DriverSettings(2))
	}
	s.Duration = 3 * time.Second
	if r, err := Rehearse(s, 1); err != nil || len(r.Broken) > 0 || r.Utility < 0.95 {
		t.Errorf("%v %+v", err, r)
	}
	if _, err := ParseScript([]byte(strings.Replace(fourDrivers, "drivers = 4", "drivers = 4\n  zones = 27", 1)), "x.hcl"); err == nil || !strings.Contains(err.Error(), "fleet zones: 27 is not from 1 to 26") {
		t.Error(err)
	}
}
