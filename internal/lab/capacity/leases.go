package capacity

import (
	"context"
	"fmt"
	"time"

	"passtack/internal/peers"
)

func leaseSweeps() []Sweep {
	return []Sweep{{
		Name: "leases", Axis: Drivers, Sizes: DriverSizes, Play: playLeases,
		About: hollowLeaves + " Five voters among the drivers, without folders; all ask for the one lease, of 5 s, whose holder watches discovery for all. No view. " +
			"Counted over 60 s from 30 s on; the holder is killed three times, 20 s apart. A word to all at once counts once for its sender.",
	}, {
		Name: "leases-regions", Axis: Drivers, Sizes: DriverSizes, Play: playLeasesInRegions,
		About: hollowLeaves + " The same with a view, in two regions 30 ms apart one way, of 4 and 3 zones; four of the five voters are in the first. Counted over 60 s from 30 s on. Holders of the first region are killed and started " +
			"again until one of the second holds; then the regions lose each other for a minute and find each other again, and a member drains of which discovery tells one driver. Who holds is looked at every 10 ms.",
	}}
}

const voters = 5

const leaseWants = `leases {
  fleet  = "sweep"
  voters = ["d0", "d1", "d2", "d3", "d4"]
  task "watch-discovery" {}
}
`

// holders are the drivers that hold the lease: one, or none.
func (f *hollow) holders() (all []int) {
	for i, n := range f.nodes {
		if n != nil && n.Counted("leases_acquired") > n.Counted("leases_lost") {
			all = append(all, i)
		}
	}
	return all
}

// holder is the driver that holds the lease; under 0: none does.
func (f *hollow) holder() int { return append(f.holders(), -1)[0] }

// holds waits for a holder and gives how long that took, in seconds.
func (f *hollow) holds(most time.Duration) (float64, error) {
	for from := f.world.Now(); f.world.Now() < from+most; {
		if f.holder() >= 0 {
			return (f.world.Now() - from).Seconds(), nil
		}
		if err := f.run(10 * time.Millisecond); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("nobody holds the lease after %v", most)
}

func playLeases(stop context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: few, How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, err := newHollow(stop, size, seed, leaseWants)
	if err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	first, err := f.holds(time.Minute)
	if err != nil {
		return err
	}
	one("first_holder", "s after a start of all within a second", first+2)
	if err := f.run(10 * time.Second); err != nil {
		return err
	}
	var greeted []float64
	for i := range f.taken {
		_, b := f.taken[i].of(peers.Hello)
		greeted = append(greeted, b)
	}
	one("greetings_worst", "B of the worst, taken, at a start of all", worst(greeted))
	if err := f.run(30*time.Second - time.Duration(first*float64(time.Second))); err != nil {
		return err
	}
	f.forget()
	spent := processor()
	const lasts = time.Minute
	if err := f.run(lasts); err != nil {
		return err
	}
	spent = processor() - spent
	holder := f.holder()
	about := []peers.Kind{peers.Hello, peers.Lease}
	var votedMessages, votedBytes, askedMessages, askedBytes, words []float64
	for i := range f.sent {
		m, b := f.sent[i].of(about...)
		cm, cb := f.crowds[i].of(about...)
		tm, tb := f.taken[i].of(about...)
		m, b = (m+cm+tm)/lasts.Seconds(), (b+cb+tb)/lasts.Seconds()
		_, w := f.taken[i].of(peers.Revision)
		if i < voters {
			votedMessages, votedBytes = append(votedMessages, m), append(votedBytes, b)
		} else {
			askedMessages, askedBytes = append(askedMessages, m), append(askedBytes, b)
		}
		words = append(words, w/lasts.Seconds())
	}
	one("voter_messages", "messages/s of the worst voter, sent and taken", worst(votedMessages))
	one("voter_bytes", "B/s of the worst voter, sent and taken", worst(votedBytes))
	one("asker_messages", "messages/s per asker, sent and taken", mean(askedMessages))
	one("asker_bytes", "B/s per asker, sent and taken", mean(askedBytes))
	one("asker_bytes_worst", "B/s of the worst asker, sent and taken", worst(askedBytes))
	one("word_bytes", "B/s of the holder's words, taken by the worst", worst(words))
	if holder >= 0 {
		m, _ := f.crowds[holder].of(peers.Revision)
		one("words", "words to all/s of the holder", m/lasts.Seconds())
	}
	calls := 0
	for _, a := range f.agents {
		calls += a.calls
	}
	one("list_calls", "calls/s of the fleet while one watches for all", float64(calls)/lasts.Seconds())
	one("processor", "us a second per driver", float64(spent.Microseconds())/lasts.Seconds()/float64(size))
	var took []float64
	for range 3 {
		if holder = f.holder(); holder < 0 {
			return fmt.Errorf("nobody holds the lease at %v", f.world.Now()-epoch)
		}
		f.kill(holder)
		t, err := f.holds(time.Minute)
		if err != nil {
			return err
		}
		took = append(took, t)
		if err := f.start(holder); err != nil {
			return err
		}
		if err := f.run(20 * time.Second); err != nil {
			return err
		}
	}
	one("new_holder", "s until another holds, after the holder's crash", median(took))
	one("new_holder_worst", "s until another holds, worst of three", worst(took))
	return nil
}

func playLeasesInRegions(stop context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: few, How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, apart, err := startRegions(stop, size, seed, leaseWants+viewWants)
	if err != nil {
		return err
	}
	if _, err := f.holds(time.Minute); err != nil {
		return err
	}
	if err := f.run(30 * time.Second); err != nil {
		return err
	}
	// spent tells what the worst voter spends over a minute from now on, and how often the fleet asks for the list
	spent := func(during string) error {
		f.forget()
		const lasts = time.Minute
		if err := f.run(lasts); err != nil {
			return err
		}
		var bytes []float64
		calls := 0
		for i := range f.sent {
			_, b := f.sent[i].of(peers.Hello, peers.Lease)
			_, c := f.crowds[i].of(peers.Hello, peers.Lease)
			_, t := f.taken[i].of(peers.Hello, peers.Lease)
			if i < voters {
				bytes = append(bytes, (b+c+t)/lasts.Seconds())
			}
			calls += f.agents[i].calls
		}
		one(during+"_voter_bytes", "B/s of the worst voter, sent and taken", worst(bytes))
		one(during+"_list_calls", "calls/s of the fleet", float64(calls)/lasts.Seconds())
		return nil
	}
	if err := spent("together"); err != nil {
		return err
	}
	kills := 0
	for regionOf(f.holder()) != 1 {
		if kills++; kills > 40 {
			return fmt.Errorf("after %d kills no driver of the second region holds", kills)
		}
		gone := f.holder()
		f.kill(gone)
		if _, err := f.holds(time.Minute); err != nil {
			return err
		}
		if err := f.start(gone); err != nil {
			return err
		}
		if err := f.run(11 * time.Second); err != nil { // a voter that has started is silent for ten
			return err
		}
		if f.holder() < 0 {
			if _, err := f.holds(time.Minute); err != nil {
				return err
			}
		}
	}
	*apart = true
	from, twice, moved := f.world.Now(), 0, -1.0
	for f.world.Now() < from+20*time.Second {
		if err := f.run(10 * time.Millisecond); err != nil {
			return err
		}
		if len(f.holders()) > 1 {
			twice++
		}
		if h := f.holder(); moved < 0 && h >= 0 && regionOf(h) == 0 {
			moved = (f.world.Now() - from).Seconds()
		}
	}
	if moved < 0 {
		return fmt.Errorf("with the regions apart for 20 s nobody of the first holds")
	}
	one("apart_new_holder", "s until one of the majority's region holds", moved)
	if err := spent("apart"); err != nil {
		return err
	}
	*apart = false
	f.forget()
	from = f.world.Now()
	for f.world.Now() < from+20*time.Second {
		if err := f.run(10 * time.Millisecond); err != nil {
			return err
		}
		if len(f.holders()) > 1 {
			twice++
		}
	}
	one("two_hold", "times of 4,000 looks", float64(twice))
	if err := f.run(2 * time.Minute); err != nil {
		return err
	}
	f.agents[0].discovery.drain(0, f.agents[1])
	when, never, err := f.until(20*time.Second, 5*time.Millisecond, func(i int) bool { return i == 1 || f.nodes[i].Counted("drain_notices_applied") > 0 })
	if err != nil {
		return err
	}
	one("drain_not_heard", "drivers that no other tells: their own list does", float64(never))
	return times(point, p, "drain_known", when, 0)
}
