package membership

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestConvergesAtEveryFleetSize checks that fleets of each size converge after starts, a crash, the crash of a third, restarts and a graceful
// shutdown, and that no running driver is declared dead. docs/fleet.md has the figures.
func TestConvergesAtEveryFleetSize(t *testing.T) {
	sizes, larger := []int{3, 10, 100}, 0 // FLEET_SIZE=300 runs a fleet of 300 instead
	if fmt.Sscan(os.Getenv("FLEET_SIZE"), &larger); larger > 0 {
		sizes = []int{larger}
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(uint64(n), n)
			sim.startAll(time.Second)
			sim.advance(time.Second)
			joined := sim.converge(time.Minute)
			sim.advance(30 * time.Second)
			sim.resetTraffic()
			sim.advance(30 * time.Second)
			sent, bytes := 0, 0
			for _, h := range sim.hosts {
				sent, bytes = sent+h.sentCount, bytes+h.sentBytes
			}
			sim.hosts[0].kill()
			crash := sim.converge(2 * time.Minute)
			first := sim.firstDetection[0]
			sim.hosts[0].start()
			back := sim.converge(time.Minute)
			for i := range n / 3 {
				sim.hosts[i].kill()
			}
			third := sim.converge(3 * time.Minute)
			for i := range n / 3 {
				sim.hosts[i].start()
			}
			thirdBack := sim.converge(time.Minute)
			sim.hosts[n-1].whenRunning(func() { sim.hosts[n-1].list.Leave() })
			sim.advance(10 * ms)
			sim.hosts[n-1].kill()
			left := sim.converge(time.Minute)
			t.Logf("%d drivers: joined after %v, crash detected first after %v and by all after %v, restart after %v, crash of a third after %v, their restart after %v, graceful shutdown after %v; %.1f messages and %.0f bytes per second and driver",
				n, joined, first, crash, back, third, thirdBack, left, float64(sent)/float64(n)/30, float64(bytes)/float64(n)/30)
			for event, took := range map[string]time.Duration{"joined": joined, "crash": crash, "back": back, "third": third, "third back": thirdBack, "left": left} {
				if took < 0 {
					t.Errorf("%s: the lists did not converge: %s", event, sim.disagreement())
				}
			}
			if sim.falseDeaths > 0 || left > 20*time.Second || crash > 60*time.Second {
				t.Errorf("%d running drivers were declared dead; a crash took %v to converge, a graceful shutdown %v", sim.falseDeaths, crash, left)
			}
		})
	}
}

// TestConvergesAfterRandomFaults checks that the lists converge after random faults, in fleets of several sizes, and that stale gossip does not make
// a driver alive again that has been gone for long.
func TestConvergesAfterRandomFaults(t *testing.T) {
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				convergesAfterRandomFaults(t, seed)
			}
		})
	}
	for seed := range uint64(300) {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

func convergesAfterRandomFaults(t *testing.T, seed uint64) {
	sim := newSimulation(seed, 5+int(seed%8))
	sim.startAll(2 * time.Second)
	for range 10 {
		sim.after(sim.randomDuration(80*time.Second), sim.injectFault)
	}
	sim.advance(100 * time.Second)
	sim.partitioned, sim.lossRate, sim.duplicationRate = nil, 0, 0
	for _, h := range sim.hosts {
		h.maxDelay = 0
	}
	if took := sim.converge(2 * time.Minute); took < 0 || sim.resurrections > 0 {
		t.Errorf("seed %d: converged after %v (below 0: not at all; %s), %d drivers that were gone were believed alive again", seed, took, sim.disagreement(), sim.resurrections)
	}
}

// TestNoFalseDeathsUnderMildFaults checks that no running driver is declared dead when a tenth of all messages is lost, when one link is cut in one or
// both directions, or when drivers are slow or paused for a short time.
func TestNoFalseDeathsUnderMildFaults(t *testing.T) {
	for name, inject := range map[string]func(sim *simulation){
		"a tenth is lost": func(sim *simulation) { sim.lossRate = 0.1 },
		"one link is cut": func(sim *simulation) {
			sim.partitioned = func(from, to int) bool { return from+to == 3 && (from == 1 || from == 2) }
		},
		"one link is cut one way": func(sim *simulation) {
			sim.partitioned = func(from, to int) bool { return from == 1 && to == 2 }
		},
		"one is slow": func(sim *simulation) { sim.hosts[3].maxDelay = 900 * ms },
		"one is paused": func(sim *simulation) {
			sim.after(time.Second, func() { sim.hosts[3].pausedUntil = sim.now + 1500*ms })
		},
		"all are a bit slow": func(sim *simulation) {
			for _, h := range sim.hosts {
				h.maxDelay = 100 * ms
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(9, 20)
			sim.startAll(time.Second)
			sim.advance(10 * time.Second)
			inject(sim)
			sim.advance(20 * time.Minute)
			if sim.falseDeaths > 0 {
				t.Errorf("%d false deaths in twenty minutes", sim.falseDeaths)
			}
		})
	}
}

// TestFalseDeathsByPacketLoss logs how often running drivers are declared dead at several rates of message loss, and checks that it does not happen up
// to a loss of a tenth.
func TestFalseDeathsByPacketLoss(t *testing.T) {
	for _, loss := range []float64{0.05, 0.1, 0.2, 0.3, 0.4} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(11, 50)
			sim.startAll(time.Second)
			sim.advance(20 * time.Second)
			sim.lossRate = loss
			sim.advance(15 * time.Minute)
			t.Logf("%v lost: %d false deaths among 50 drivers in a quarter of an hour", loss, sim.falseDeaths)
			if loss <= 0.1 && sim.falseDeaths > 0 {
				t.Errorf("%d false deaths", sim.falseDeaths)
			}
		})
	}
}

// TestProcessPauseAndPartitionRecovery checks that a driver that was paused does not cause false deaths because of answers that it missed, and is seen
// alive soon after; that the halves of a long partition converge again; and that two fleets that never met merge if one link connects them.
func TestProcessPauseAndPartitionRecovery(t *testing.T) {
	sim := newSimulation(4, 12)
	sim.startAll(time.Second)
	sim.advance(15 * time.Second)
	sim.hosts[5].pausedUntil = sim.now + 30*time.Second
	sim.advance(30 * time.Second)
	if sim.converge(30*time.Second) < 0 || sim.hosts[5].list.Stats().Pauses == 0 || sim.falseDeaths > 0 {
		t.Errorf("after a pause: %s, %d false deaths", sim.disagreement(), sim.falseDeaths)
	}
	sim.partitioned = func(from, to int) bool { return (from < 6) != (to < 6) }
	sim.advance(2 * time.Minute)
	if active := sim.hosts[0].list.ActiveCount(); active != 6 {
		t.Errorf("a driver sees %d active drivers in its half, want 6", active)
	}
	sim.hosts[1].kill()
	sim.partitioned = nil
	healed := sim.converge(2 * time.Minute)
	t.Logf("healed after %v", healed)
	if healed < 0 {
		t.Errorf("after the partition healed: %s", sim.disagreement())
	}
	sim = newSimulation(5, 12)
	sim.partitioned = func(from, to int) bool {
		connecting := from == 0 && to == 11 || from == 11 && to == 0
		return (from < 6) != (to < 6) && !connecting
	}
	sim.startAll(time.Second)
	sim.advance(time.Minute)
	if active := sim.hosts[3].list.ActiveCount(); active != 12 {
		t.Errorf("through the link that connects the halves, %d of 12 drivers are known", active)
	}
}

// TestClockStepBetweenIncarnationsAndStableOwners checks that the lists converge after a driver's clock was set back between two incarnations, and that
// when a driver is gone only its keys change their owner.
func TestClockStepBetweenIncarnationsAndStableOwners(t *testing.T) {
	sim := newSimulation(6, 5)
	sim.startAll(time.Second)
	sim.advance(15 * time.Second)
	sim.hosts[2].kill()
	sim.advance(10 * time.Second)
	sim.hosts[2].startIncarnation(1, 7) // far lower than its previous incarnation
	if took := sim.converge(time.Minute); took < 0 {
		t.Errorf("after a clock was set back: %s", sim.disagreement())
	}
	migrated, count := 0, 1000
	before := make(map[string]string)
	for n := range count {
		key := fmt.Sprint(n)
		before[key] = sim.hosts[0].list.Owner(key)
	}
	sim.hosts[4].kill()
	sim.converge(time.Minute)
	for key, owner := range before {
		if newOwner := sim.hosts[1].list.Owner(key); newOwner != owner && owner != "d4" {
			t.Fatalf("%s migrates from %s to %s, though neither is gone", key, owner, newOwner)
		} else if newOwner != owner {
			migrated++
		}
	}
	if migrated < count/10 || migrated > count*3/10 {
		t.Errorf("%d of %d keys migrated, want 10 to 30 %%", migrated, count)
	}
}
