package membership

import (
	"testing"
	"time"
)

// shardedFleet follows the shards of all drivers of a simulation.
type shardedFleet struct {
	sim         *simulation
	total       int
	shards      []*Shards
	generations []int
	maxSum      int
}

func followShards(sim *simulation, total int) *shardedFleet {
	f := &shardedFleet{sim: sim, total: total, shards: make([]*Shards, len(sim.hosts)), generations: make([]int, len(sim.hosts))}
	sim.after(0, f.observe)
	return f
}

// observe lets the running drivers look at their lists, twice a second.
func (f *shardedFleet) observe() {
	for i, h := range f.sim.hosts {
		if f.shards[i] == nil || f.generations[i] != h.generation {
			f.shards[i], f.generations[i] = NewShards(probeInterval), h.generation
		}
		if h.up && f.sim.now >= h.pausedUntil {
			f.shards[i].Observe(h.list.ActiveCount(), len(f.sim.hosts), f.sim.now)
		}
	}
	f.maxSum = max(f.maxSum, f.sum())
	f.sim.after(500*ms, f.observe)
}

// sum is what all running drivers may use together.
func (f *shardedFleet) sum() (sum int) {
	for i, h := range f.sim.hosts {
		if h.up {
			sum += f.shards[i].Size(f.total, f.sim.now)
		}
	}
	return sum
}

// Under random crashes, starts, shutdowns, partitions and losses the shards of all drivers together never exceed the total; without faults
// they are nearly all of it, and the drivers that are left take over the shards of those that are gone.
func TestShardsNeverExceedTheTotal(t *testing.T) {
	const total = 1200
	for seed := range uint64(150) {
		sim := newSimulation(seed, 5+int(seed%8))
		sim.startAll(2 * time.Second)
		for range 14 {
			sim.after(sim.within(4*time.Minute), sim.injectFault)
		}
		fleet := followShards(sim, total)
		sim.advance(6 * time.Minute)
		if fleet.maxSum > total {
			t.Errorf("seed %d: %d of %d are used", seed, fleet.maxSum, total)
		}
	}
	sim := newSimulation(1, 10)
	sim.startAll(time.Second)
	fleet := followShards(sim, total)
	sim.advance(2 * time.Minute)
	if sum := fleet.sum(); sum < total*9/10 || sum > total {
		t.Errorf("without faults %d of %d are used", sum, total)
	}
	for i := range 3 {
		sim.hosts[i].kill()
	}
	sim.advance(3 * time.Minute)
	if sum := fleet.sum(); sum < total*3/4 || sum > total {
		t.Errorf("with three gone the others use %d of %d", sum, total)
	}
	sim.partitioned = func(from, to int) bool { return (from == 9) != (to == 9) }
	sim.advance(3 * time.Minute)
	if alone := fleet.shards[9].Size(total, sim.now); alone != total/20 {
		t.Errorf("a driver that is cut off uses %d", alone)
	}
}

// A shard shrinks as soon as drivers start, and grows only two leases after others are gone, as a fixed number in the settings cannot.
func TestShardShrinksAtOnceAndGrowsAfterTwoLeases(t *testing.T) {
	shards, now := NewShards(time.Second), time.Hour
	observe := func(activeCount int, duration time.Duration) {
		for end := now + duration; now < end; now += time.Second {
			shards.Observe(activeCount, 10, now)
		}
	}
	check := func(when string, want int) {
		t.Helper()
		if got := shards.Size(400, now); got != want {
			t.Errorf("%s: %d, not %d", when, got, want)
		}
	}
	observe(6, 10*time.Second)
	check("just started", 20)
	observe(6, 25*time.Second)
	check("one of six", 53)
	observe(8, time.Second)
	check("when two join", 45)
	observe(6, 55*time.Second)
	check("soon after two are gone", 45)
	observe(6, 10*time.Second)
	check("long after two are gone", 53)
	observe(3, 25*time.Second)
	check("cut off, before the lease is over", 53)
	observe(3, 10*time.Second)
	check("cut off", 20)
	if shards.InMajority(now) {
		t.Error("cut off it still counts as in the majority")
	}
}
