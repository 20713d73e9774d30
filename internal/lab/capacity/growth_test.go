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
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/peers"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// Growth is held by counts at small sizes, not by time: bytes, messages, allocations and bytes of state, the same for the same seed.

// grows fails where a count grows faster with the size than with the given exponent.
func grows(t *testing.T, what string, most float64, sizes, values []float64) {
	t.Helper()
	exponent, _ := power(sizes, values)
	t.Logf("%s: %.4g at %v, exponent %.2f, up to %.2f", what, values, sizes, exponent, most)
	if math.IsNaN(exponent) || exponent > most {
		t.Errorf("%s grows with the size to the %.2f, of %.2f at most: %.4g at %v", what, exponent, most, values, sizes)
	}
}

// steps gives how much each value is over the one before, with the sizes they belong to: what is the same at each size is left out.
func steps(sizes, values []float64) (at, by []float64) {
	for i := 1; i < len(values); i++ {
		at, by = append(at, sizes[i]), append(by, values[i]-values[i-1])
	}
	return at, by
}

// collect gives the points of a play by measure.
func collect(t *testing.T, play func(point func(Point)) error) map[string]float64 {
	t.Helper()
	values := make(map[string]float64)
	if err := play(func(p Point) { values[p.Measure] = p.Value }); err != nil {
		t.Fatal(err)
	}
	return values
}

// What a driver sends and hears of a view that rests is the same in a fleet of any size; what it knows grows with the fleet, and what it takes to come
// to know it when it starts does so too.
func TestAViewCostsADriverTheSameInAnyFleet(t *testing.T) {
	sizes := []float64{20, 40, 80, 160}
	var messages, worst, state, start []float64
	for _, size := range sizes {
		before := heap()
		f, err := newHollow(context.Background(), int(size), 7, viewWants)
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
		state = append(state, (heap()-before)/size)
		got := collect(t, func(point func(Point)) error { return f.steady(point, Point{}, "view", 20*time.Second) })
		messages, worst = append(messages, got["view_messages"]), append(worst, got["view_messages_worst"])
		if most := got["view_messages"] * peers.MaxDatagramLength; got["view_bytes"] > most {
			t.Errorf("%v drivers: %.0f bytes a second in messages for %.0f", size, got["view_bytes"], most)
		}
		f.kill(3)
		if err := f.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		f.forget()
		if err := f.start(3); err != nil {
			t.Fatal(err)
		}
		if err := f.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		_, sent := f.sent[3].of(peers.Membership)
		_, taken := f.taken[3].of(peers.Membership)
		start = append(start, sent+taken)
	}
	grows(t, "messages a second", 0.02, sizes, messages)
	grows(t, "messages a second of the worst", 0.25, sizes, worst) // whom more ask at once, by chance, than others
	at, by := steps(sizes, state)
	grows(t, "bytes of state of a driver", 1.25, at, by)
	grows(t, "bytes of a start", 1.2, sizes, start)
}

// Leases cost the voters little more where there are more drivers, as who finds the line full rests, and the others nothing more.
func TestLeasesGrowFarSlowerThanTheFleet(t *testing.T) {
	sizes := []float64{20, 40, 80, 160}
	var voters, askers, words []float64
	for _, size := range sizes {
		got := collect(t, func(point func(Point)) error { return playLeases(context.Background(), int(size), 7, point) })
		voters, askers, words = append(voters, got["voter_bytes"]), append(askers, got["asker_bytes"]), append(words, got["word_bytes"])
	}
	grows(t, "bytes a second of the worst voter", 0.5, sizes, voters)
	grows(t, "bytes a second of an asker", 0.25, sizes, askers)
	grows(t, "bytes a second of the holder's words", 0.1, sizes, words)
}

// A list's bytes, and what it takes to read one and to know its drains, grow with its members; a watch that brings nothing costs the same whatever the
// list is.
func TestAListGrowsWithItsMembers(t *testing.T) {
	sizes := []float64{100, 200, 400, 800}
	all := make(map[string][]float64)
	for _, size := range sizes {
		for measure, value := range collect(t, func(point func(Point)) error { return playList(context.Background(), 5, int(size), 7, point) }) {
			all[measure] = append(all[measure], value)
		}
	}
	for measure, most := range map[string]float64{"whole": 1.1, "start_bytes": 1.1, "read_allocations": 1.1, "read_allocated": 1.2, "drains_memory": 1.2,
		"watch_calls": 0.02, "watch_bytes": 0.02, "change_bytes": 0.05} {
		grows(t, measure, most, sizes, all[measure])
	}
}

// A driver's whole state of members, and what it allocates while it rests, grow with its members. They refuse its connections.
func TestADriversStateGrowsWithItsMembers(t *testing.T) {
	sizes := []float64{100, 200, 400, 800}
	var state, allocated []float64
	for _, size := range sizes {
		before := heap()
		f, err := newHollow(context.Background(), 1, 7, viewWants)
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
		state = append(state, heap()-before)
		var from, to runtime.MemStats
		runtime.ReadMemStats(&from)
		if err := f.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&to)
		allocated = append(allocated, float64(to.TotalAlloc-from.TotalAlloc))
	}
	at, by := steps(sizes, state)
	grows(t, "bytes of state", 1.25, at, by)
	grows(t, "bytes allocated in 10 s", 1.2, sizes, allocated)
}

// Reading a list twice takes as much as twice reading it: nothing stays of the first.
func TestListsLeaveNothingBehind(t *testing.T) {
	l, err := loop.NewWithSystem(sim.New(1, epoch).AddHost("one"), 16, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	side := discovery.New(l, counted{}, placeOf(2, 0, 8500))
	whole := (&discoveryAgent{members: 400, rev: 1}).list(true)
	read := func(times int) {
		for range times {
			if err := side.Restore(whole); err != nil {
				t.Fatal(err)
			}
		}
	}
	read(2)
	before := heap()
	read(50)
	if left := heap() - before; left > 16<<10 {
		t.Errorf("fifty lists leave %.0f bytes", left)
	}
}
