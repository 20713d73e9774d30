package capacity

import (
	"context"
	"fmt"
	"time"

	"passtack/internal/loop/sim"
	"passtack/internal/membership"
	"passtack/internal/peers"
)

func viewSweeps() []Sweep {
	return []Sweep{{
		Name: "view", Axis: Drivers, Sizes: DriverSizes, Play: playView,
		About: hollowLeaves + " One region, 0.2 to 0.3 ms between any two, a question a second. All start within a second; counted over 60 s from 60 s on; then one is killed, " +
			"it starts again, one stops as planned, and a member drains of which discovery tells one driver. Times are of each driver that runs, looked at every 20 ms.",
	}, {
		Name: "regions", Axis: Drivers, Sizes: DriverSizes, Play: playRegions,
		About: hollowLeaves + " Two regions with 4 and 3 zones: 0.2 ms within a zone, 0.7 ms between two, 30 ms one way between regions. The regions lose each other for 12 minutes: " +
			"an hour is shortened to what brings the same state, as whoever is dead is forgotten after 10 minutes; counted over the last 60 s of it. Then they find each other again.",
	}}
}

const viewWants = "view {\n  fleet = \"sweep\"\n}\n"

// settle lets a fleet that has just started find itself, and gives how long that took.
func (f *hollow) settle(most time.Duration) (float64, error) {
	from := f.world.Now()
	_, never, err := f.until(most, 100*time.Millisecond, f.settled)
	if err == nil && never > 0 {
		err = fmt.Errorf("%d of %d drivers do not see all others after %v", never, len(f.nodes), most)
	}
	return (f.world.Now() - from).Seconds(), err
}

// times gives the quantiles of what drivers took to know something; who never knew is an error.
func times(point func(Point), p Point, what string, when []float64, never int) error {
	if never > 0 {
		return fmt.Errorf("%s: %d drivers never knew", what, never)
	}
	p.Unit, p.How = "s", "simulated"
	for name, value := range map[string]float64{"p50": quantile(when, 0.5), "p99": quantile(when, 0.99), "worst": worst(when)} {
		p.Measure, p.Value = what+"_"+name, value
		point(p)
	}
	return nil
}

// steady counts what the view of a fleet that rests takes.
func (f *hollow) steady(point func(Point), p Point, what string, lasts time.Duration) error {
	f.forget()
	spent := processor()
	if err := f.run(lasts); err != nil {
		return err
	}
	spent = processor() - spent
	var messages, bytes, heard []float64
	for i, n := range f.nodes {
		if n == nil {
			continue
		}
		m, b := f.sent[i].of(peers.Membership)
		_, t := f.taken[i].of(peers.Membership)
		messages, bytes, heard = append(messages, m/lasts.Seconds()), append(bytes, b/lasts.Seconds()), append(heard, t/lasts.Seconds())
	}
	for _, q := range []struct {
		measure, unit string
		value         float64
	}{
		{"messages", "messages/s per driver", mean(messages)}, {"messages_worst", "messages/s of the worst", worst(messages)},
		{"bytes", "B/s per driver, sent", mean(bytes)}, {"bytes_worst", "B/s of the worst, sent", worst(bytes)},
		{"bytes_taken_worst", "B/s of the worst, taken", worst(heard)},
		{"processor", "us a second per driver", float64(spent.Microseconds()) / lasts.Seconds() / float64(len(messages))},
	} {
		p.Measure, p.Unit, p.Value, p.How = what+"_"+q.measure, q.unit, q.value, "simulated"
		point(p)
	}
	return nil
}

// most is what the worst driver has sent and taken a second since then.
func (f *hollow) most(from time.Duration) (most float64) {
	for i := range f.sent {
		_, s := f.sent[i].of(peers.Membership)
		_, t := f.taken[i].of(peers.Membership)
		most = max(most, (s+t)/max((f.world.Now()-from).Seconds(), 0.1))
	}
	return most
}

func playView(stop context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: few, How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	before := heap()
	f, err := newHollow(stop, size, seed, viewWants)
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
	one("joined", "s until all know all, after a start of all within a second", took+2)
	_, bytes := f.sent[0].of(peers.Membership)
	_, heard := f.taken[0].of(peers.Membership)
	one("joined_bytes", "B of one driver, sent and taken, until then", bytes+heard)
	if err := f.run(time.Minute); err != nil {
		return err
	}
	one("memory", "B per driver, all of a hollow one", (heap()-before)/float64(size))
	if err := f.steady(point, p, "view", time.Minute); err != nil {
		return err
	}
	gone := size / 3
	f.forget()
	f.kill(gone)
	from := f.world.Now()
	when, never, err := f.until(3*time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.sees(i, gone)
		return s >= membership.Dead
	})
	if err != nil {
		return err
	}
	if err := times(point, p, "crash_known", when, never); err != nil {
		return err
	}
	one("crash_bytes_worst", "B/s of the worst, sent and taken, until all know of a crash", f.most(from))
	if err := f.run(20 * time.Second); err != nil {
		return err
	}
	f.forget()
	from = f.world.Now()
	began := uint64(from)
	if err := f.start(gone); err != nil {
		return err
	}
	if when, never, err = f.until(time.Minute, 20*time.Millisecond, func(i int) bool {
		s, life := f.sees(i, gone)
		return i == gone || s == membership.Alive && life >= began
	}); err != nil {
		return err
	}
	if err := times(point, p, "start_known", when, never); err != nil {
		return err
	}
	if _, err := f.settle(time.Minute); err != nil {
		return err
	}
	_, bytes = f.sent[gone].of(peers.Membership)
	_, heard = f.taken[gone].of(peers.Membership)
	one("start_bytes", "B of the one that starts, sent and taken, until it knows all", bytes+heard)
	if err := f.run(20 * time.Second); err != nil {
		return err
	}
	leaves := size / 2
	f.hosts[leaves].Post(func() { f.nodes[leaves].Membership().Leave() })
	from = f.world.Now()
	if err := f.run(100 * time.Millisecond); err != nil { // it goes on for a while to answer what it has taken
		return err
	}
	if when, never, err = f.until(time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.sees(i, leaves)
		return i == leaves || s >= membership.Dead
	}); err != nil {
		return err
	}
	late := 100 * time.Millisecond
	for i := range when {
		when[i] += late.Seconds()
	}
	if err := times(point, p, "stop_known", when, never); err != nil {
		return err
	}
	f.kill(leaves)
	if err := f.run(from + 20*time.Second - min(f.world.Now(), from+19*time.Second)); err != nil {
		return err
	}
	f.forget()
	f.agents[0].discovery.drain(0, f.agents[1])
	when, never, err = f.until(20*time.Second, 5*time.Millisecond, func(i int) bool { return i == 1 || f.nodes[i].Counted("drain_notices_applied") > 0 })
	if err != nil {
		return err
	}
	one("drain_not_heard", "drivers that no other tells: their own list does", float64(never))
	if err := times(point, p, "drain_known", when, 0); err != nil {
		return err
	}
	var drained []float64
	for i := range f.sent {
		_, b := f.sent[i].of(peers.Drain)
		drained = append(drained, b)
	}
	one("drain_bytes", "B per driver and drain, sent", mean(drained))
	return nil
}

const zones = 7

// regionOf puts drivers in zones in turn: four zones are of the first region, three of the other.
func regionOf(i int) int {
	if i%zones < 4 {
		return 0
	}
	return 1
}

// startRegions starts a fleet in two regions of zones, which lose each other while apart holds.
func startRegions(stop context.Context, size int, seed uint64, wants string) (f *hollow, apart *bool, err error) {
	if f, err = newHollow(stop, size, seed, wants); err != nil {
		return nil, nil, err
	}
	apart = new(bool)
	f.world.DefaultLink = func(from, to *sim.Host) (sim.Link, bool) {
		a, known := f.numbers[from]
		b, both := f.numbers[to]
		if !known || !both {
			return sim.Link{}, false
		}
		l := sim.LocalLink
		switch {
		case regionOf(a) != regionOf(b):
			l.Delay, l.Jitter, l.Cut = 30*time.Millisecond, 3*time.Millisecond, *apart
		case a%zones != b%zones:
			l.Delay = 700 * time.Microsecond
		}
		return l, true
	}
	return f, apart, f.startAll()
}

func playRegions(stop context.Context, size int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: few, How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	f, apart, err := startRegions(stop, size, seed, viewWants)
	if err != nil {
		return err
	}
	took, err := f.settle(2 * time.Minute)
	if err != nil {
		return err
	}
	one("joined", "s until all know all, after a start of all within a second", took+2)
	if err := f.run(time.Minute); err != nil {
		return err
	}
	if err := f.steady(point, p, "view", time.Minute); err != nil {
		return err
	}
	gone := size / 3
	f.kill(gone)
	when, never, err := f.until(3*time.Minute, 20*time.Millisecond, func(i int) bool {
		s, _ := f.sees(i, gone)
		return s >= membership.Dead
	})
	if err != nil {
		return err
	}
	if err := times(point, p, "crash_known", when, never); err != nil {
		return err
	}
	if err := f.start(gone); err != nil {
		return err
	}
	if _, err := f.settle(time.Minute); err != nil {
		return err
	}
	*apart = true
	cutAt := f.world.Now()
	f.forget()
	of := [2]int{}
	for i := range f.nodes {
		of[regionOf(i)]++
	}
	when, never, err = f.until(9*time.Minute, 100*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == of[regionOf(i)] })
	if err != nil {
		return err
	}
	if err := times(point, p, "cut_known", when, never); err != nil {
		return err
	}
	one("cut_noticing_bytes_worst", "B/s of the worst, sent and taken, until it is known", f.most(cutAt))
	if err := f.run(cutAt + 11*time.Minute - f.world.Now()); err != nil {
		return err
	}
	if err := f.steady(point, p, "cut", time.Minute); err != nil {
		return err
	}
	*apart = false
	f.forget()
	healed := f.world.Now()
	if when, never, err = f.until(5*time.Minute, 100*time.Millisecond, func(i int) bool { return f.nodes[i].Membership().ActiveCount() == size }); err != nil {
		return err
	}
	one("heal_never", "drivers that do not know all 5 minutes after the regions meet", float64(never))
	if err := times(point, p, "heal_known", when, 0); err != nil {
		return err
	}
	one("heal_bytes_worst", "B/s of the worst, sent and taken, until all know all", f.most(healed))
	return nil
}
