package membership

import (
	"testing"
	"time"
)

// TestCrashTrafficGrowsSlowlyWithFleetSize checks that the traffic of the busiest driver between a crash and its detection by all, including the
// traffic to the crashed driver's address, grows far slower than the fleet.
func TestCrashTrafficGrowsSlowlyWithFleetSize(t *testing.T) {
	t.Parallel()
	var worst [2]float64
	for i, size := range []int{60, 240} {
		sim := newSimulation(13, size)
		sim.startAll(time.Second)
		sim.advance(2 * time.Minute)
		sim.resetTraffic()
		start := sim.now
		sim.hosts[size/3].kill()
		if sim.converge(time.Minute) < 0 {
			t.Fatal(sim.disagreement())
		}
		worst[i] = sim.worstTraffic(start)
	}
	t.Logf("busiest driver: %.0f bytes per second in a fleet of 60, %.0f in one of 240", worst[0], worst[1])
	if worst[1] > 3*worst[0] || worst[1] > 2000 {
		t.Errorf("busiest driver: %.0f bytes per second in a fleet of 60, %.0f in one of 240", worst[0], worst[1])
	}
}

// TestPartitionTrafficStaysWithinBudget checks that no driver sends and receives more than 5 KB per second when half of its list changes at once, as
// at the start and the end of a partition.
func TestPartitionTrafficStaysWithinBudget(t *testing.T) {
	t.Parallel()
	sim := newSimulation(15, 160)
	sim.startAll(time.Second)
	sim.advance(2 * time.Minute)
	apart := func() bool {
		return sim.hosts[0].list.ActiveCount() == 80 && sim.hosts[159].list.ActiveCount() == 80
	}
	joined := func() bool { return sim.disagreement() == "" }
	for _, phase := range []struct {
		name        string
		partitioned func(from, to int) bool
		converged   func() bool
	}{
		{"partition", func(from, to int) bool { return (from < 80) != (to < 80) }, apart},
		{"recovery", nil, joined},
	} {
		sim.resetTraffic()
		sim.partitioned = phase.partitioned
		start := sim.now
		for sim.advance(20 * time.Second); sim.now < start+2*time.Minute && !phase.converged(); {
			sim.advance(time.Second)
		}
		worst := sim.worstTraffic(start)
		t.Logf("%s, for %v: busiest driver %.0f bytes per second", phase.name, sim.now-start, worst)
		if worst > 5000 {
			t.Errorf("%s: busiest driver %.0f bytes per second, want at most 5000", phase.name, worst)
		}
	}
}
