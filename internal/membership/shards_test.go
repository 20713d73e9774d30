package membership

import (
	"testing"
	"time"
)

// shardedFleet keeps the Shards of all drivers of a simulation.
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

// observe updates the shards of all running drivers from their lists, twice a second.
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

// sum returns the sum of the shards of all running drivers.
func (f *shardedFleet) sum() (sum int) {
	for i, h := range f.sim.hosts {
		if h.up {
			sum += f.shards[i].Size(f.total, f.sim.now)
		}
	}
	return sum
}

// TestShardsNeverExceedTheTotal checks that under random crashes, starts, shutdowns, partitions and message loss the sum of all shards never exceeds
// the total, that without faults it is nearly the total, and that the remaining drivers take over the shards of those that are gone.
func TestShardsNeverExceedTheTotal(t *testing.T) {
	const total = 1200
	for seed := range uint64(150) {
		sim := newSimulation(seed, 5+int(seed%8))
		sim.startAll(2 * time.Second)
		for range 14 {
			sim.after(sim.randomDuration(4*time.Minute), sim.injectFault)
		}
		fleet := followShards(sim, total)
		sim.advance(6 * time.Minute)
		if fleet.maxSum > total {
			t.Errorf("seed %d: the shards add up to %d of %d", seed, fleet.maxSum, total)
		}
	}
	sim := newSimulation(1, 10)
	sim.startAll(time.Second)
	fleet := followShards(sim, total)
	sim.advance(2 * time.Minute)
	if sum := fleet.sum(); sum < total*9/10 || sum > total {
		t.Errorf("without faults the shards add up to %d of %d, want at least 90 %%", sum, total)
	}
	for i := range 3 {
		sim.hosts[i].kill()
	}
	sim.advance(3 * time.Minute)
	if sum := fleet.sum(); sum < total*3/4 || sum > total {
		t.Errorf("with three drivers gone the shards of the others add up to %d of %d, want at least 75 %%", sum, total)
	}
	sim.partitioned = func(from, to int) bool { return (from == 9) != (to == 9) }
	sim.advance(3 * time.Minute)
	if alone := fleet.shards[9].Size(total, sim.now); alone != total/20 {
		t.Errorf("a driver that is cut off has a shard of %d, want the guaranteed 60", alone)
	}
}

// TestShardShrinksAtOnceAndGrowsAfterTwoLeases checks that a shard shrinks as soon as drivers start, grows only two leases after others are gone, and
// falls to the guaranteed shard one lease after the driver was cut off.
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
			t.Errorf("%s: shard is %d, want %d", when, got, want)
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
		t.Error("a driver that is cut off still counts as in the majority")
	}
}
