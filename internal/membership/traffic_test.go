package membership

import (
	"testing"
	"time"
)

// What a crash costs any driver until all know of it, the crashed one's address included, grows far slower than the fleet.
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
	t.Logf("%.0f bytes a second at the worst of 60, %.0f of 240", worst[0], worst[1])
	if worst[1] > 3*worst[0] || worst[1] > 2000 {
		t.Errorf("%.0f bytes a second at the worst of 60, %.0f of 240", worst[0], worst[1])
	}
}

// Where half of the list changes at once, as regions lose and find each other, no driver spends more than 5 KB a second on it.
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
		{"lose", func(from, to int) bool { return (from < 80) != (to < 80) }, apart},
		{"find", nil, joined},
	} {
		sim.resetTraffic()
		sim.partitioned = phase.partitioned
		start := sim.now
		for sim.advance(20 * time.Second); sim.now < start+2*time.Minute && !phase.converged(); {
			sim.advance(time.Second)
		}
		worst := sim.worstTraffic(start)
		t.Logf("as halves %s each other, for %v: %.0f bytes a second at the worst", phase.name, sim.now-start, worst)
		if worst > 5000 {
			t.Errorf("as halves %s each other: %.0f bytes a second at the worst", phase.name, worst)
		}
	}
}
