package capacity

import (
	"context"
	"log/slog"
	"math"
	"os"
	"runtime"
	"testing"
	"time"

	"passtack/internal/discovery"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/peers"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// These tests limit growth by counts at small sizes rather than by time: bytes, messages, allocations and bytes of state, which are the same for
// the same seed.

// checkGrowth fails when values grow with the size by a larger exponent than the given one.
func checkGrowth(t *testing.T, what string, maxExponent float64, sizes, values []float64) {
	t.Helper()
	exponent, _ := fitExponent(sizes, values)
	t.Logf("%s: %.4g at sizes %v, exponent %.2f, limit %.2f", what, values, sizes, exponent, maxExponent)
	if math.IsNaN(exponent) || exponent > maxExponent {
		t.Errorf("%s grows with exponent %.2f, want at most %.2f: %.4g at sizes %v", what, exponent, maxExponent, values, sizes)
	}
}

// increments returns the differences between consecutive values, with the larger size of each pair: a part that all sizes share cancels out.
func increments(sizes, values []float64) (upperSizes, differences []float64) {
	for i := 1; i < len(values); i++ {
		upperSizes, differences = append(upperSizes, sizes[i]), append(differences, values[i]-values[i-1])
	}
	return upperSizes, differences
}

// collect returns the values that a sweep measures, by measure.
func collect(t *testing.T, play func(point func(Point)) error) map[string]float64 {
	t.Helper()
	values := make(map[string]float64)
	if err := play(func(p Point) { values[p.Measure] = p.Value }); err != nil {
		t.Fatal(err)
	}
	return values
}

// In the steady state the membership traffic of a driver does not depend on the fleet's size. Its state, and the bytes it exchanges at a start, grow
// about linearly.
func TestViewCostPerDriverDoesNotGrowWithFleet(t *testing.T) {
	sizes := []float64{20, 40, 80, 160}
	var messages, worstMessages, state, startBytes []float64
	for _, size := range sizes {
		before := heapInUse()
		f, err := newSimulatedFleet(context.Background(), int(size), 7, viewConfig)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.startAll(); err != nil {
			t.Fatal(err)
		}
		if _, err := f.settle(time.Minute); err != nil {
			t.Fatal(err)
		}
		if err := f.run(30 * time.Second); err != nil {
			t.Fatal(err)
		}
		state = append(state, (heapInUse()-before)/size)
		got := collect(t, func(point func(Point)) error { return f.measureSteadyState(point, Point{}, "view", 20*time.Second) })
		messages, worstMessages = append(messages, got["view_messages"]), append(worstMessages, got["view_messages_worst"])
		if most := got["view_messages"] * peers.MaxDatagramLength; got["view_bytes"] > most {
			t.Errorf("%v drivers: %.0f bytes a second, want at most %.0f in that many messages", size, got["view_bytes"], most)
		}
		f.kill(3)
		if err := f.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		f.resetCounts()
		if err := f.start(3); err != nil {
			t.Fatal(err)
		}
		if err := f.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		_, sent := f.sent[3].sum(peers.Membership)
		_, taken := f.received[3].sum(peers.Membership)
		startBytes = append(startBytes, sent+taken)
	}
	checkGrowth(t, "messages a second", 0.02, sizes, messages)
	checkGrowth(t, "messages a second of the worst", 0.25, sizes, worstMessages) // by chance, some drivers are probed by more others at once
	at, by := increments(sizes, state)
	checkGrowth(t, "bytes of state of a driver", 1.25, at, by)
	checkGrowth(t, "bytes of a start", 1.2, sizes, startBytes)
}

// Lease traffic of the voters grows far slower than the fleet, because a driver that finds a voter's queue full stops requesting for a while. That of
// other drivers hardly grows.
func TestLeaseTrafficGrowsSlowerThanFleet(t *testing.T) {
	sizes := []float64{20, 40, 80, 160}
	var voters, askers, words []float64
	for _, size := range sizes {
		got := collect(t, func(point func(Point)) error { return playLeases(context.Background(), int(size), 7, point) })
		voters, askers, words = append(voters, got["voter_bytes"]), append(askers, got["asker_bytes"]), append(words, got["word_bytes"])
	}
	checkGrowth(t, "bytes a second of the worst voter", 0.5, sizes, voters)
	checkGrowth(t, "bytes a second of an asker", 0.25, sizes, askers)
	checkGrowth(t, "bytes a second of the holder's words", 0.1, sizes, words)
}

// The bytes of a list, and the cost of reading one and of storing its drain state, grow about linearly with its members. The cost of a watch without
// changes does not depend on the list's length.
func TestListCostGrowsWithMembers(t *testing.T) {
	sizes := []float64{100, 200, 400, 800}
	all := make(map[string][]float64)
	for _, size := range sizes {
		for measure, value := range collect(t, func(point func(Point)) error { return playList(context.Background(), 5, int(size), 7, point) }) {
			all[measure] = append(all[measure], value)
		}
	}
	for measure, maxExponent := range map[string]float64{"whole": 1.1, "start_bytes": 1.1, "read_allocations": 1.1, "read_allocated": 1.2, "drains_memory": 1.2,
		"watch_calls": 0.02, "watch_bytes": 0.02, "change_bytes": 0.05} {
		checkGrowth(t, measure, maxExponent, sizes, all[measure])
	}
}

// A driver's state of its members, and its allocations while it is idle, grow about linearly with its members, which refuse its connections.
func TestDriverStateGrowsWithMembers(t *testing.T) {
	sizes := []float64{100, 200, 400, 800}
	var state, allocated []float64
	for _, size := range sizes {
		before := heapInUse()
		f, err := newSimulatedFleet(context.Background(), 1, 7, viewConfig)
		if err != nil {
			t.Fatal(err)
		}
		f.agents[0].discovery.members = int(size)
		if err := f.startAll(); err != nil {
			t.Fatal(err)
		}
		if err := f.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		state = append(state, heapInUse()-before)
		var from, to runtime.MemStats
		runtime.ReadMemStats(&from)
		if err := f.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&to)
		allocated = append(allocated, float64(to.TotalAlloc-from.TotalAlloc))
	}
	at, by := increments(sizes, state)
	checkGrowth(t, "bytes of state", 1.25, at, by)
	checkGrowth(t, "bytes allocated in 10 s", 1.2, sizes, allocated)
}

// Restoring a list repeatedly does not grow the heap: the memory of the previous list is released.
func TestRestoringListsLeavesNoMemory(t *testing.T) {
	l, err := eventloop.NewWithSystem(sim.New(1, epoch).AddHost("one"), 16, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	client := discovery.New(l, discardHost{}, addressOf(2, 0, 8500))
	list := (&discoveryService{members: 400, rev: 1}).list(true)
	read := func(times int) {
		for range times {
			if err := client.Restore(list); err != nil {
				t.Fatal(err)
			}
		}
	}
	read(2)
	before := heapInUse()
	read(50)
	if left := heapInUse() - before; left > 16<<10 {
		t.Errorf("fifty restored lists left %.0f bytes on the heap", left)
	}
}
