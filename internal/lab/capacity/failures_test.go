package capacity

import (
	"log/slog"
	"testing"
)

// Guards against failures after which the fleet loses more utility than the limit below, does not return to 95% of its level in time, or breaks a
// rule.
func TestFailures(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	const drivers = 14 // and 36 members
	for _, c := range []struct {
		name                         string
		maxLost                      float64 // lost utility, in seconds of the level before
		maxRecovery                  float64 // seconds until 95% of the level
		failedDrivers, failedMembers float64
		minLoad, maxLoad             float64 // mean load of the remaining drivers, relative to the mean before
		minChanges, maxChanges       float64 // changes of primary
	}{
		{"machines", 1, 6, 0, 2, 0, 0, 1, 1},
		{"restart-replica", 0.5, 1, 0, 1, 0, 0, 0, 0},
		{"restart-primary", 0.5, 1, 0, 1, 0, 0, 1, 1},
		{"restart-driver", 0.5, 3, 1, 0, 1, 1.2, 0, 0},
		{"rack", 3, 8, 3, 6, 1, 1.4, 2, 2},
		{"zone", 3, 8, 2, 5, 1.1, 1.3, 1, 1},
		{"region", 8, 14, 7, 18, 1.8, 2.2, 5, 5},
		{"regions-apart", 8, 14, 0, 0, 0, 0, 0, 0},
	} {
		v := playedAt(t, primarySweeps(), "failure-"+c.name, drivers)
		if v["lost"] > c.maxLost || v["never_whole"] != 0 || v["whole_after"] > c.maxRecovery || v["drivers_gone"] != c.failedDrivers || v["members_gone"] != c.failedMembers ||
			v["carried_mean"] < c.minLoad || v["carried_mean"] > c.maxLoad || v["changes"] < c.minChanges || v["changes"] > c.maxChanges || v["cold_part"] >= 1 {
			t.Errorf("%s: %v", c.name, v)
		}
	}
}

// Every driver must have sessions of every group. A session's number alone determines its driver and its group, so a common divisor
// of the two counts would leave some pairs without sessions.
func TestEveryDriverHasSessionsOfEveryGroup(t *testing.T) {
	for _, f := range failures {
		for _, drivers := range []int{14, 30, 60, 120, 240} {
			s, err := failureScript(&f, drivers)
			if err != nil {
				t.Fatal(err)
			}
			pairs := make(map[[2]int]bool)
			for n := range s.Sessions {
				pairs[[2]int{n % s.Drivers, n % s.Groups}] = true
			}
			if len(pairs) != s.Drivers*s.Groups {
				t.Errorf("%s: %d drivers and %d groups have sessions in %d pairs, want every pair", f.name, s.Drivers, s.Groups, len(pairs))
			}
		}
	}
}
