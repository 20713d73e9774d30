package capacity

import (
	"log/slog"
	"testing"
)

// Of each failure the fleet loses no more than told here, comes back to 95% of its level, and breaks no rule.
func TestFailures(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	const drivers = 14 // and 36 members
	for _, c := range []struct {
		name                  string
		lost                  float64 // seconds of the level, at most
		whole                 float64 // seconds until 95%, at most
		drivers, members      float64 // gone
		leastLoad, mostLoad   float64 // of a driver that is left
		leastMoved, mostMoved float64 // primaries
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
		if v["lost"] > c.lost || v["never_whole"] != 0 || v["whole_after"] > c.whole || v["drivers_gone"] != c.drivers || v["members_gone"] != c.members ||
			v["carried_mean"] < c.leastLoad || v["carried_mean"] > c.mostLoad || v["changes"] < c.leastMoved || v["changes"] > c.mostMoved || v["cold_part"] >= 1 {
			t.Errorf("%s: %v", c.name, v)
		}
	}
}

// In the play of each failure, at each size, every driver has sessions of every group: a play's session n belongs to driver and group by n alone.
func TestEveryDriverMeetsEveryGroup(t *testing.T) {
	for _, f := range failures {
		for _, drivers := range []int{14, 30, 60, 120, 240} {
			s, err := failureScript(&f, drivers)
			if err != nil {
				t.Fatal(err)
			}
			met := make(map[[2]int]bool)
			for n := range s.Sessions {
				met[[2]int{n % s.Drivers, n % s.Groups}] = true
			}
			if len(met) != s.Drivers*s.Groups {
				t.Errorf("%s: %d drivers and %d groups met in %d pairs", f.name, s.Drivers, s.Groups, len(met))
			}
		}
	}
}
