package capacity

import (
	"context"
	"fmt"
	"time"

	"passtack/internal/eventloop/sim"
	"passtack/internal/membership"
	"passtack/internal/peers"
)

func viewSweeps() []Sweep {
	return []Sweep{{
		Name: "view", Axis: Drivers, Sizes: DriverSizes, Play: playView,
		About: simulatedFleetAbout + " One region, 0.2 to 0.3 ms between any two drivers, one probe a second. All start within 1 s; counted over 60 s, from 60 s on; then one is killed " +
			"and restarted, one shuts down, and a member drains, of which discovery informs one driver only. Times are those of each running driver, sampled every 20 ms.",
	}, {
		Name: "regions", Axis: Drivers, Sizes: DriverSizes, Play: playRegions,
		About: simulatedFleetAbout + " Two regions with 4 and 3 zones: 0.2 ms within a zone, 0.7 ms between zones, 30 ms one way between regions. The regions are partitioned for 12 minutes, " +
			"which gives the same state as an hour, because dead drivers are removed after 10 minutes; counted over the last 60 s of the partition. Then it heals.",
	}}
}

const viewConfig = "view {\n  fleet = \"sweep\"\n}\n"

// settle runs the fleet until each driver sees all others, and returns the time that took, in seconds.
func (f *simulatedFleet) settle(timeout time.Duration) (float64, error) {
	from := f.world.Now()
	_, missing, err := f.runUntil(timeout, 100*time.Millisecond, f.isSettled)
	if err == nil && missing > 0 {
		err = fmt.Errorf("%d of %d drivers do not see all others after %v", missing, len(f.nodes), timeout)
	}
	return (f.world.Now() - from).Seconds(), err
}

// emitDelays emits the p50, p99 and maximum of the delays, in seconds, after which drivers learned of an event. It returns an error
// if a driver did not learn of it.
func emitDelays(point func(Point), p Point, prefix string, delays []float64, missing int) error {
	if missing > 0 {
		return fmt.Errorf("%s: %d drivers did not learn of it within the timeout", prefix, missing)
	}
	p.Unit, p.How = "s", "simulated"
	for name, value := range map[string]float64{"p50": quantile(delays, 0.5), "p99": quantile(delays, 0.99), "worst": worst(delays)} {
		p.Measure, p.Value = prefix+"_"+name, value
		point(p)
	}
	return nil
}

// measureSteadyState measures the messages, bytes and CPU time of the views of a fleet in which nothing changes.
func (f *simulatedFleet) measureSteadyState(point func(Point), p Point, prefix string, duration time.Duration) error {
	f.resetCounts()
	cpuTime := processCPUTime()
	if err := f.run(duration); err != nil {
		return err
	}
	cpuTime = processCPUTime() - cpuTime
	var messages, sentBytes, receivedBytes []float64
	for i, n := range f.nodes {
		if n == nil {
			continue
		}
		m, b := f.sent[i].sum(peers.Membership)
		_, t := f.received[i].sum(peers.Membership)
		messages, sentBytes, receivedBytes = append(messages, m/duration.Seconds()), append(sentBytes, b/duration.Seconds()), append(receivedBytes, t/duration.Seconds())
	}
	for _, q := range []struct {
		measure, unit string
		value         float64
	}{
		{"messages", "messages/s per driver", mean(messages)}, {"messages_worst", "messages/s of the worst", worst(messages)},
		{"bytes", "B/s per driver, sent", mean(sentBytes)}, {"bytes_worst", "B/s of the worst, sent", worst(sentBytes)},
		{"bytes_taken_worst", "B/s of the worst, taken", worst(receivedBytes)},
		{"processor", "us a second per driver", float64(cpuTime.Microseconds()) / duration.Seconds() / float64(len(messages))},
	} {
		p.Measure, p.Unit, p.Value, p.How = prefix+"_"+q.measure, q.unit, q.value, "simulated"
		point(p)
	}
	return nil
}

// maxTraffic returns the membership bytes per second, sent and received, of the driver with the most, since the given time.
func (f *simulatedFleet) maxTraffic(from time.Duration) (maxTraffic float64) {
	for i := range f.sent {
		_, s := f.sent[i].sum(peers.Membership)
		_, t := f.received[i].sum(peers.Membership)
		maxTraffic = max(maxTraffic, (s+t)/max((f.world.Now()-from).Seconds(), 0.1))
	}
	return maxTraffic
}

func playView(ctx context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: minimalMembers, How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	before := heapInUse()
	f, err := newSimulatedFleet(ctx, size, seed, viewConfig)
	if err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	took, err := f.settle(2 * time.Minute)
	if err != nil {
		return err
	}
	emit("joined", "s until all know all, after a start of all within a second", took+2)
	_, bytes := f.sent[0].sum(peers.Membership)
	_, received := f.received[0].sum(peers.Membership)
	emit("joined_bytes", "B of one driver, sent and taken, until then", bytes+received)
	if err := f.run(time.Minute); err != nil {
		return err
	}
	emit("memory", "B per driver, all of a hollow one", (heapInUse()-before)/float64(size))
	if err := f.measureSteadyState(point, p, "view", time.Minute); err != nil {
		return err
	}
	killed := size / 3
	f.resetCounts()
	f.kill(killed)
	from := f.world.Now()
	delays, missing, err := f.runUntil(3*time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.statusSeen(i, killed)
		return s >= membership.Dead
	})
	if err != nil {
		return err
	}
	if err := emitDelays(point, p, "crash_known", delays, missing); err != nil {
		return err
	}
	emit("crash_bytes_worst", "B/s of the worst, sent and taken, until all know of a crash", f.maxTraffic(from))
	if err := f.run(20 * time.Second); err != nil {
		return err
	}
	f.resetCounts()
	from = f.world.Now()
	minIncarnation := uint64(from)
	if err := f.start(killed); err != nil {
		return err
	}
	if delays, missing, err = f.runUntil(time.Minute, 20*time.Millisecond, func(i int) bool {
		s, incarnation := f.statusSeen(i, killed)
		return i == killed || s == membership.Alive && incarnation >= minIncarnation
	}); err != nil {
		return err
	}
	if err := emitDelays(point, p, "start_known", delays, missing); err != nil {
		return err
	}
	if _, err := f.settle(time.Minute); err != nil {
		return err
	}
	_, bytes = f.sent[killed].sum(peers.Membership)
	_, received = f.received[killed].sum(peers.Membership)
	emit("start_bytes", "B of the one that starts, sent and taken, until it knows all", bytes+received)
	if err := f.run(20 * time.Second); err != nil {
		return err
	}
	leaving := size / 2
	f.hosts[leaving].Post(func() { f.nodes[leaving].Membership().Leave() })
	from = f.world.Now()
	if err := f.run(100 * time.Millisecond); err != nil { // a leaving driver still answers messages that it has received
		return err
	}
	if delays, missing, err = f.runUntil(time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.statusSeen(i, leaving)
		return i == leaving || s >= membership.Dead
	}); err != nil {
		return err
	}
	elapsed := 100 * time.Millisecond
	for i := range delays {
		delays[i] += elapsed.Seconds()
	}
	if err := emitDelays(point, p, "stop_known", delays, missing); err != nil {
		return err
	}
	f.kill(leaving)
	if err := f.run(from + 20*time.Second - min(f.world.Now(), from+19*time.Second)); err != nil {
		return err
	}
	f.resetCounts()
	f.agents[0].discovery.drain(0, f.agents[1])
	delays, missing, err = f.runUntil(20*time.Second, 5*time.Millisecond, func(i int) bool { return i == 1 || f.nodes[i].Counted("drain_notices_applied") > 0 })
	if err != nil {
		return err
	}
	emit("drain_not_heard", "drivers that no other tells: their own list does", float64(missing))
	if err := emitDelays(point, p, "drain_known", delays, 0); err != nil {
		return err
	}
	var drainBytes []float64
	for i := range f.sent {
		_, b := f.sent[i].sum(peers.Drain)
		drainBytes = append(drainBytes, b)
	}
	emit("drain_bytes", "B per driver and drain, sent", mean(drainBytes))
	return nil
}

// regionZoneCount is the number of zones over both regions.
const regionZoneCount = 7

// regionOf returns the region of a driver, 0 or 1. Drivers are assigned to zones in turn; region 0 has four zones, region 1 has three.
func regionOf(i int) int {
	if i%regionZoneCount < 4 {
		return 0
	}
	return 1
}

// startInRegions starts a fleet in two regions. No datagram passes between the regions while *partitioned is true.
func startInRegions(ctx context.Context, size int, seed uint64, config string) (f *simulatedFleet, partitioned *bool, err error) {
	if f, err = newSimulatedFleet(ctx, size, seed, config); err != nil {
		return nil, nil, err
	}
	partitioned = new(bool)
	f.world.DefaultLink = func(from, to *sim.Host) (sim.Link, bool) {
		a, fromKnown := f.driverIndex[from]
		b, toKnown := f.driverIndex[to]
		if !fromKnown || !toKnown {
			return sim.Link{}, false
		}
		l := sim.LocalLink
		switch {
		case regionOf(a) != regionOf(b):
			l.Delay, l.Jitter, l.Cut = 30*time.Millisecond, 3*time.Millisecond, *partitioned
		case a%regionZoneCount != b%regionZoneCount:
			l.Delay = 700 * time.Microsecond
		}
		return l, true
	}
	return f, partitioned, f.startAll()
}

func playRegions(ctx context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: minimalMembers, How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, partitioned, err := startInRegions(ctx, size, seed, viewConfig)
	if err != nil {
		return err
	}
	took, err := f.settle(2 * time.Minute)
	if err != nil {
		return err
	}
	emit("joined", "s until all know all, after a start of all within a second", took+2)
	if err := f.run(time.Minute); err != nil {
		return err
	}
	if err := f.measureSteadyState(point, p, "view", time.Minute); err != nil {
		return err
	}
	killed := size / 3
	f.kill(killed)
	delays, missing, err := f.runUntil(3*time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.statusSeen(i, killed)
		return s >= membership.Dead
	})
	if err != nil {
		return err
	}
	if err := emitDelays(point, p, "crash_known", delays, missing); err != nil {
		return err
	}
	if err := f.start(killed); err != nil {
		return err
	}
	if _, err := f.settle(time.Minute); err != nil {
		return err
	}
	*partitioned = true
	cutAt := f.world.Now()
	f.resetCounts()
	regionSize := [2]int{}
	for i := range f.nodes {
		regionSize[regionOf(i)]++
	}
	delays, missing, err = f.runUntil(9*time.Minute, 100*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == regionSize[regionOf(i)] })
	if err != nil {
		return err
	}
	if err := emitDelays(point, p, "cut_known", delays, missing); err != nil {
		return err
	}
	emit("cut_noticing_bytes_worst", "B/s of the worst, sent and taken, until it is known", f.maxTraffic(cutAt))
	if err := f.run(cutAt + 11*time.Minute - f.world.Now()); err != nil {
		return err
	}
	if err := f.measureSteadyState(point, p, "cut", time.Minute); err != nil {
		return err
	}
	*partitioned = false
	f.resetCounts()
	healed := f.world.Now()
	if delays, missing, err = f.runUntil(5*time.Minute, 100*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == size }); err != nil {
		return err
	}
	emit("heal_never", "drivers that do not know all 5 minutes after the regions meet", float64(missing))
	if err := emitDelays(point, p, "heal_known", delays, 0); err != nil {
		return err
	}
	emit("heal_bytes_worst", "B/s of the worst, sent and taken, until all know all", f.maxTraffic(healed))
	return nil
}
