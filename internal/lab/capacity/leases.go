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
		About: simulatedFleetAbout + " Five of the drivers are voters, without folders; all drivers request the only lease, of 5 s, whose holder watches discovery for the fleet. No view. " +
			"Counted over 60 s from 30 s on; then the holder is killed three times, 20 s apart. A broadcast counts once for its sender.",
	}, {
		Name: "leases-regions", Axis: Drivers, Sizes: DriverSizes, Play: playLeasesInRegions,
		About: simulatedFleetAbout + " As in leases, with a view, in two regions 30 ms apart one way, of 4 and 3 zones; four of the five voters are in the first region. Counted over 60 s from 30 s on. Holders in the first region are killed and " +
			"restarted until a driver of the second region holds the lease; then the regions are partitioned for 80 s, and after that a member drains, of which discovery informs one driver only. The holder is sampled every 10 ms.",
	}}
}

const voterCount = 5

const leaseConfig = `leases {
  fleet  = "sweep"
  voters = ["d0", "d1", "d2", "d3", "d4"]
  task "watch-discovery" {}
}
`

// holders returns the drivers that hold the lease, at most one unless the lease protocol fails.
func (f *simulatedFleet) holders() (all []int) {
	for i, n := range f.nodes {
		if n != nil && n.Counted("leases_acquired") > n.Counted("leases_lost") {
			all = append(all, i)
		}
	}
	return all
}

// holder returns the driver that holds the lease, or -1 if none does.
func (f *simulatedFleet) holder() int { return append(f.holders(), -1)[0] }

// waitForHolder runs the fleet until a driver holds the lease and returns the time that took, in seconds.
func (f *simulatedFleet) waitForHolder(timeout time.Duration) (float64, error) {
	for from := f.world.Now(); f.world.Now() < from+timeout; {
		if f.holder() >= 0 {
			return (f.world.Now() - from).Seconds(), nil
		}
		if err := f.run(10 * time.Millisecond); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("no driver holds the lease after %v", timeout)
}

func playLeases(ctx context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: minimalMembers, How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, err := newSimulatedFleet(ctx, size, seed, leaseConfig)
	if err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	first, err := f.waitForHolder(time.Minute)
	if err != nil {
		return err
	}
	emit("first_holder", "s after a start of all within a second", first+2)
	if err := f.run(10 * time.Second); err != nil {
		return err
	}
	var helloBytes []float64
	for i := range f.received {
		_, b := f.received[i].sum(peers.Hello)
		helloBytes = append(helloBytes, b)
	}
	emit("greetings_worst", "B of the worst, taken, at a start of all", worst(helloBytes))
	if err := f.run(30*time.Second - time.Duration(first*float64(time.Second))); err != nil {
		return err
	}
	f.resetCounts()
	cpuTime := processCPUTime()
	const duration = time.Minute
	if err := f.run(duration); err != nil {
		return err
	}
	cpuTime = processCPUTime() - cpuTime
	holder := f.holder()
	kinds := []peers.Kind{peers.Hello, peers.Lease}
	var voterMessages, voterBytes, askerMessages, askerBytes, revisionBytes []float64
	for i := range f.sent {
		m, b := f.sent[i].sum(kinds...)
		cm, cb := f.broadcasts[i].sum(kinds...)
		tm, tb := f.received[i].sum(kinds...)
		m, b = (m+cm+tm)/duration.Seconds(), (b+cb+tb)/duration.Seconds()
		_, w := f.received[i].sum(peers.Revision)
		if i < voterCount {
			voterMessages, voterBytes = append(voterMessages, m), append(voterBytes, b)
		} else {
			askerMessages, askerBytes = append(askerMessages, m), append(askerBytes, b)
		}
		revisionBytes = append(revisionBytes, w/duration.Seconds())
	}
	emit("voter_messages", "messages/s of the worst voter, sent and taken", worst(voterMessages))
	emit("voter_bytes", "B/s of the worst voter, sent and taken", worst(voterBytes))
	emit("asker_messages", "messages/s per asker, sent and taken", mean(askerMessages))
	emit("asker_bytes", "B/s per asker, sent and taken", mean(askerBytes))
	emit("asker_bytes_worst", "B/s of the worst asker, sent and taken", worst(askerBytes))
	emit("word_bytes", "B/s of the holder's words, taken by the worst", worst(revisionBytes))
	if holder >= 0 {
		m, _ := f.broadcasts[holder].sum(peers.Revision)
		emit("words", "words to all/s of the holder", m/duration.Seconds())
	}
	calls := 0
	for _, a := range f.agents {
		calls += a.calls
	}
	emit("list_calls", "calls/s of the fleet while one watches for all", float64(calls)/duration.Seconds())
	emit("processor", "us a second per driver", float64(cpuTime.Microseconds())/duration.Seconds()/float64(size))
	var took []float64
	for range 3 {
		if holder = f.holder(); holder < 0 {
			return fmt.Errorf("no driver holds the lease at %v", f.world.Now()-epoch)
		}
		f.kill(holder)
		t, err := f.waitForHolder(time.Minute)
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
	emit("new_holder", "s until another holds, after the holder's crash", median(took))
	emit("new_holder_worst", "s until another holds, worst of three", worst(took))
	return nil
}

func playLeasesInRegions(ctx context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: minimalMembers, How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, partitioned, err := startInRegions(ctx, size, seed, leaseConfig+viewConfig)
	if err != nil {
		return err
	}
	if _, err := f.waitForHolder(time.Minute); err != nil {
		return err
	}
	if err := f.run(30 * time.Second); err != nil {
		return err
	}
	// measureMinute measures for one minute the bytes of the busiest voter and the fleet's calls for the endpoint list.
	measureMinute := func(prefix string) error {
		f.resetCounts()
		const duration = time.Minute
		if err := f.run(duration); err != nil {
			return err
		}
		var bytes []float64
		calls := 0
		for i := range f.sent {
			_, b := f.sent[i].sum(peers.Hello, peers.Lease)
			_, c := f.broadcasts[i].sum(peers.Hello, peers.Lease)
			_, t := f.received[i].sum(peers.Hello, peers.Lease)
			if i < voterCount {
				bytes = append(bytes, (b+c+t)/duration.Seconds())
			}
			calls += f.agents[i].calls
		}
		emit(prefix+"_voter_bytes", "B/s of the worst voter, sent and taken", worst(bytes))
		emit(prefix+"_list_calls", "calls/s of the fleet", float64(calls)/duration.Seconds())
		return nil
	}
	if err := measureMinute("together"); err != nil {
		return err
	}
	kills := 0
	for regionOf(f.holder()) != 1 {
		if kills++; kills > 40 {
			return fmt.Errorf("after %d kills no driver of the second region holds the lease", kills)
		}
		killed := f.holder()
		f.kill(killed)
		if _, err := f.waitForHolder(time.Minute); err != nil {
			return err
		}
		if err := f.start(killed); err != nil {
			return err
		}
		if err := f.run(11 * time.Second); err != nil { // a restarted voter grants nothing for 10 s
			return err
		}
		if f.holder() < 0 {
			if _, err := f.waitForHolder(time.Minute); err != nil {
				return err
			}
		}
	}
	*partitioned = true
	from, twoHolders, newHolderAfter := f.world.Now(), 0, -1.0
	for f.world.Now() < from+20*time.Second {
		if err := f.run(10 * time.Millisecond); err != nil {
			return err
		}
		if len(f.holders()) > 1 {
			twoHolders++
		}
		if h := f.holder(); newHolderAfter < 0 && h >= 0 && regionOf(h) == 0 {
			newHolderAfter = (f.world.Now() - from).Seconds()
		}
	}
	if newHolderAfter < 0 {
		return fmt.Errorf("20 s after the partition no driver of the first region holds the lease")
	}
	emit("apart_new_holder", "s until one of the majority's region holds", newHolderAfter)
	if err := measureMinute("apart"); err != nil {
		return err
	}
	*partitioned = false
	f.resetCounts()
	from = f.world.Now()
	for f.world.Now() < from+20*time.Second {
		if err := f.run(10 * time.Millisecond); err != nil {
			return err
		}
		if len(f.holders()) > 1 {
			twoHolders++
		}
	}
	emit("two_hold", "times of 4,000 looks", float64(twoHolders))
	if err := f.run(2 * time.Minute); err != nil {
		return err
	}
	f.agents[0].discovery.drain(0, f.agents[1])
	delays, missing, err := f.runUntil(20*time.Second, 5*time.Millisecond, func(i int) bool { return i == 1 || f.nodes[i].Counted("drain_notices_applied") > 0 })
	if err != nil {
		return err
	}
	emit("drain_not_heard", "drivers that no other tells: their own list does", float64(missing))
	return emitDelays(point, p, "drain_known", delays, 0)
}
