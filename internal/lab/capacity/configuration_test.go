package capacity

import (
	"context"
	"fmt"
	"testing"
)

// rolled plays a sweep of configuration and gives its points by measure.
func rolled(t *testing.T, name string, drivers int, seed uint64) map[string]float64 {
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

// Under drawn faults each version is in force everywhere within 4 s, with bytes under the budget of a driver; what a play itself finds broken
// (a version that goes back, comes twice, says two things or is not gone by) is its error.
func TestConfigurationUnderDrawnFaults(t *testing.T) {
	for _, c := range []struct {
		drivers int
		seeds   uint64
	}{{40, 6}, {470, 1}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d drivers, seed %d", c.drivers, seed+1), func(t *testing.T) {
				t.Parallel()
				got := rolled(t, "configuration-faults", c.drivers, seed+1)
				if got["in_force_worst"] > 4 || got["late"] > 0 || got["versions"] < 10 || got["driver_bytes"] > 5000 {
					t.Errorf("%v", got)
				}
				t.Logf("%.0f versions, p50 %.3f s, worst %.3f s, %.0f B/s of a driver", got["versions"], got["in_force_p50"], got["in_force_worst"], got["driver_bytes"])
			})
		}
	}
}

// What a driver spends on calls does not grow with the fleet.
func TestConfigurationCostsADriverTheSame(t *testing.T) {
	few, many := rolled(t, "configuration", 20, 1), rolled(t, "configuration", 160, 1)
	if calls := many["calls"] / few["calls"]; calls > 1.05 || many["driver_bytes"] > few["driver_bytes"] {
		t.Errorf("calls a second %v and %v, bytes %v and %v", few["calls"], many["calls"], few["driver_bytes"], many["driver_bytes"])
	}
	if many["in_force_worst"] > 0.5 {
		t.Errorf("%v s without faults", many["in_force_worst"])
	}
}
