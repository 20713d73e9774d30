package capacity

import (
	"context"
	"fmt"
	"testing"
)

// playConfigurationSweep plays a sweep of configuration versions and returns its values by measure.
func playConfigurationSweep(t *testing.T, name string, drivers int, seed uint64) map[string]float64 {
	t.Helper()
	got := make(map[string]float64)
	for _, s := range configurationSweeps() {
		if s.Name == name {
			if err := s.Play(context.Background(), drivers, seed, func(p Point) { got[p.Measure] = p.Value }); err != nil {
				t.Fatalf("%s, %d drivers, seed %d: %v", name, drivers, seed, err)
			}
		}
	}
	return got
}

// Under random faults each version is in force at every reachable driver within 4 s, and a driver's traffic is within its budget of
// 5000 B/s. The sweep itself fails when a version goes back, is committed out of order, has two texts or is reported but not applied.
func TestConfigurationUnderRandomFaults(t *testing.T) {
	for _, c := range []struct {
		drivers int
		seeds   uint64
	}{{40, 6}, {470, 1}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d drivers, seed %d", c.drivers, seed+1), func(t *testing.T) {
				t.Parallel()
				got := playConfigurationSweep(t, "configuration-faults", c.drivers, seed+1)
				if got["in_force_worst"] > 4 || got["late"] > 0 || got["versions"] < 10 || got["driver_bytes"] > 5000 {
					t.Errorf("%v", got)
				}
				t.Logf("%.0f versions, p50 %.3f s, worst %.3f s, %.0f B/s of a driver", got["versions"], got["in_force_p50"], got["in_force_worst"], got["driver_bytes"])
			})
		}
	}
}

// Guards against configuration traffic of a driver that grows with the number of drivers, and against slow versions without faults.
func TestConfigurationCostPerDriverDoesNotGrowWithFleet(t *testing.T) {
	few, many := playConfigurationSweep(t, "configuration", 20, 1), playConfigurationSweep(t, "configuration", 160, 1)
	if calls := many["calls"] / few["calls"]; calls > 1.05 || many["driver_bytes"] > few["driver_bytes"] {
		t.Errorf("calls a second %v and %v, bytes %v and %v", few["calls"], many["calls"], few["driver_bytes"], many["driver_bytes"])
	}
	if many["in_force_worst"] > 0.5 {
		t.Errorf("without faults the slowest driver applied a version after %v s, want at most 0.5 s", many["in_force_worst"])
	}
}
