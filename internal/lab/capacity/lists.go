package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"passtack/driver"
	"passtack/internal/discovery"
	"passtack/internal/draingossip"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
)

func listSweeps() []Sweep {
	const about = "The drivers' discovery client (internal/discovery) on simulated loops, with one connection and one agent each. Entries of lists are counted and dropped: no decision module, no " +
		"connections to members. Bytes are those of HTTP, in both directions. All drivers start at once and fetch the whole list; they watch it for 60 s; then one member drains."
	return []Sweep{
		{Name: "list", Axis: Members, Sizes: MemberSizes, About: about + " 30 drivers.", Play: func(ctx context.Context, size int, seed uint64, point func(Point)) error {
			return playList(ctx, 30, size, seed, point)
		}},
		{Name: "list-fleet", Axis: Drivers, Sizes: DriverSizes, About: about + " 1,100 members.", Play: func(ctx context.Context, size int, seed uint64, point func(Point)) error {
			return playList(ctx, size, UsualMembers, seed, point)
		}},
	}
}

// listRecorder is a discovery.Host that records when the first whole list and the first change arrive.
type listRecorder struct {
	list          *discovery.Client
	entries       int
	fullListAt    time.Duration // when the whole list had arrived
	firstChangeAt time.Duration // when the first change had arrived
	now           func() time.Duration
}

// ListBegins implements discovery.Host; it does nothing.
func (r *listRecorder) ListBegins(driver.ListKind) {}

// Count implements discovery.Host; it does nothing.
func (r *listRecorder) Count(string) {}

// Listed implements discovery.Host by counting the entry.
func (r *listRecorder) Listed(string, netip.AddrPort, string, driver.Group, driver.MemberState, float64, time.Duration, bool) {
	r.entries++
}

// ListEnds implements discovery.Host by recording the time.
func (r *listRecorder) ListEnds(kind driver.ListKind) {
	switch {
	case kind == driver.Complete && r.fullListAt == 0:
		r.fullListAt = r.now()
	case kind == driver.Changes && r.entries > 0 && r.fullListAt > 0 && r.firstChangeAt == 0:
		r.firstChangeAt = r.now()
	}
	r.entries = 0
}

func playList(ctx context.Context, drivers, members int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(drivers), Members: int64(members), How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	world := sim.New(seed, epoch)
	newLoop := func(name string, descriptors int) (*eventloop.Loop, error) {
		h := world.AddHost(name)
		l, err := eventloop.NewWithSystem(h, descriptors, 8<<20)
		if err == nil {
			h.Serve(l, func() {})
		}
		return l, err
	}
	discoveryLoop, err := newLoop("discovery", 2*drivers+100)
	if err != nil {
		return err
	}
	d := &discoveryService{members: members, rev: 1}
	var readers []*listRecorder
	for i := range drivers {
		at := addressOf(2, i, 8500)
		if _, err := d.addAgent(discoveryLoop, at); err != nil {
			return err
		}
		l, err := newLoop(driverName(i), 16)
		if err != nil {
			return err
		}
		r := &listRecorder{now: world.Now}
		r.list = discovery.New(l, r, at)
		l.Defer(func() {
			r.list.Fetch()
			r.list.SetWatching(true)
		})
		readers = append(readers, r)
	}
	run := func(duration time.Duration) error {
		for end := world.Now() + duration; world.Now() < end; {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			world.Run(min(end, world.Now()+100*time.Millisecond))
		}
		return nil
	}
	takeCounts := func() (calls, bytes float64) {
		for _, a := range d.agents {
			calls, bytes = calls+float64(a.calls), bytes+float64(a.bytesSent+a.bytesReceived)
			a.calls, a.bytesSent, a.bytesReceived = 0, 0, 0
		}
		return calls, bytes
	}
	cpuTime := processCPUTime()
	if err := run(2 * time.Second); err != nil {
		return err
	}
	cpuTime = processCPUTime() - cpuTime
	for i, r := range readers {
		if r.fullListAt == 0 {
			return fmt.Errorf("driver %d has no endpoint list after 2 s", i)
		}
	}
	calls, bytes := takeCounts()
	emit("start_bytes", "B per driver at a start", bytes/float64(drivers))
	emit("start_fleet", "MB of the fleet at a start of all", bytes/1e6)
	emit("start_calls", "calls of the fleet at a start of all", calls)
	emit("start_processor", "us per driver at a start, both ends", float64(cpuTime.Microseconds())/float64(drivers))
	emit("starts_a_day", "B/s of the fleet for 370 starts a day", bytes/float64(drivers)*370/86400)
	const duration = time.Minute
	if err := run(duration); err != nil {
		return err
	}
	calls, bytes = takeCounts()
	emit("watch_calls", "calls/s of the fleet", calls/duration.Seconds())
	emit("watch_bytes", "B/s per driver", bytes/duration.Seconds()/float64(drivers))
	drainedAt := world.Now()
	discoveryLoop.At(world.Now(), func() { d.drain(members/2, nil) })
	if err := run(100 * time.Millisecond); err != nil {
		return err
	}
	var delays []float64
	for i, r := range readers {
		if r.firstChangeAt == 0 {
			return fmt.Errorf("driver %d did not receive the change of the list within 100 ms", i)
		}
		delays = append(delays, (r.firstChangeAt - drainedAt).Seconds())
	}
	_, bytes = takeCounts()
	emit("change_bytes", "B per driver and change, with the next call", bytes/float64(drivers))
	emit("change_known", "s until the last driver knows", worst(delays))
	return measureListCosts(point, p, d)
}

// discardHost is a discovery.Host that ignores all calls.
type discardHost struct{}

// ListBegins implements discovery.Host; it does nothing.
func (discardHost) ListBegins(driver.ListKind) {}

// ListEnds implements discovery.Host; it does nothing.
func (discardHost) ListEnds(driver.ListKind) {}

// Count implements discovery.Host; it does nothing.
func (discardHost) Count(string) {}

// Listed implements discovery.Host; it does nothing.
func (discardHost) Listed(string, netip.AddrPort, string, driver.Group, driver.MemberState, float64, time.Duration, bool) {
}

// measureListCosts measures, in real time and on the real heap, the cost of reading a whole list and of storing the drain state of its members.
func measureListCosts(point func(Point), p Point, d *discoveryService) error {
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value, p.How = measure, unit, value, "counted"
		point(p)
	}
	whole := d.list(true)
	emit("whole", "B of a whole list, as JSON", float64(len(whole)))
	l, err := eventloop.NewWithSystem(sim.New(1, epoch).AddHost("one"), 16, 1<<20)
	if err != nil {
		return err
	}
	client := discovery.New(l, discardHost{}, addressOf(2, 0, 8500))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := client.Restore(whole); err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	emit("read_allocations", "allocations to read a whole list", float64(after.Mallocs-before.Mallocs))
	emit("read_allocated", "B allocated to read a whole list", float64(after.TotalAlloc-before.TotalAlloc))
	var took []float64
	for range 11 {
		began := time.Now()
		if err := client.Restore(whole); err != nil {
			return err
		}
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	emit("read", "ms to read a whole list", median(took))
	emit("drains_memory", "B of what a driver knows of drains", drainStateBytes(d.members))
	return nil
}

const (
	drainMeasurements = 5  // a single release of memory by other code during one of them changes no median
	drainTrackers     = 32 // held at once, so that other changes of the heap weigh little
)

// drainStateBytes returns the heap bytes that a driver holds for the drain state of the given number of members.
func drainStateBytes(members int) float64 {
	var measured []float64
	for range drainMeasurements {
		measured = append(measured, drainTrackersBytes(members)/drainTrackers)
	}
	return median(measured)
}

// drainTrackersBytes returns the heap bytes of drainTrackers drivers' drain state.
func drainTrackersBytes(members int) float64 {
	var trackers [drainTrackers]*draingossip.Tracker
	before := heapInUse()
	for i := range trackers {
		trackers[i] = newDrainTracker(members)
	}
	after := heapInUse()
	runtime.KeepAlive(&trackers)
	return after - before
}

func newDrainTracker(members int) *draingossip.Tracker {
	tracker := draingossip.NewTracker()
	for m := range members {
		tracker.UpdateFromList(draingossip.MemberID(m)*0x9e3779b97f4a7c15, draingossip.Member{Group: driver.Group(m / 2), StartedAt: epoch, State: driver.Ready}, true)
	}
	return tracker
}
