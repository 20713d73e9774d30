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
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
)

func listSweeps() []Sweep {
	const about = "Drivers' side of discovery (internal/discovery) on simulated loops, one connection and one agent each; what a list is told to counts and keeps nothing: no module, no " +
		"connections to members. Bytes are those of HTTP, both ways. All start at once and fetch the whole list; they watch for 60 s; then one member drains."
	return []Sweep{
		{Name: "list", Axis: Members, Sizes: MemberSizes, About: about + " 30 drivers.", Play: func(stop context.Context, size int, seed uint64, point func(Point)) error {
			return playList(stop, 30, size, seed, point)
		}},
		{Name: "list-fleet", Axis: Drivers, Sizes: DriverSizes, About: about + " 1,100 members.", Play: func(stop context.Context, size int, seed uint64, point func(Point)) error {
			return playList(stop, size, UsualMembers, seed, point)
		}},
	}
}

// reader is told what a list says.
type reader struct {
	list    *discovery.Client
	entries int
	whole   time.Duration // when it had the whole list
	changed time.Duration // when it first had a change
	now     func() time.Duration
}

// ListBegins implements discovery.Host; it does nothing.
func (r *reader) ListBegins(driver.Listing) {}

// Count implements discovery.Host; it does nothing.
func (r *reader) Count(string) {}

// Listed implements discovery.Host by counting the entry.
func (r *reader) Listed(string, netip.AddrPort, string, driver.Group, driver.Standing, float64, time.Duration, bool) {
	r.entries++
}

// ListEnds implements discovery.Host.
func (r *reader) ListEnds(how driver.Listing) {
	switch {
	case how == driver.Whole && r.whole == 0:
		r.whole = r.now()
	case how == driver.Changes && r.entries > 0 && r.whole > 0 && r.changed == 0:
		r.changed = r.now()
	}
	r.entries = 0
}

func playList(stop context.Context, drivers, members int, seed uint64, point func(Point)) error {
	p := Point{Drivers: int64(drivers), Members: int64(members), How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	world := sim.New(seed, epoch)
	serve := func(name string, descriptors int) (*loop.Loop, error) {
		h := world.AddHost(name)
		l, err := loop.NewWithSystem(h, descriptors, 8<<20)
		if err == nil {
			h.Serve(l, func() {})
		}
		return l, err
	}
	field, err := serve("discovery", 2*drivers+100)
	if err != nil {
		return err
	}
	d := &discoveryAgent{members: members, rev: 1}
	var readers []*reader
	for i := range drivers {
		at := placeOf(2, i, 8500)
		if _, err := d.agent(field, at); err != nil {
			return err
		}
		l, err := serve(driverName(i), 16)
		if err != nil {
			return err
		}
		r := &reader{now: world.Now}
		r.list = discovery.New(l, r, at)
		l.Defer(func() {
			r.list.Fetch()
			r.list.SetWatching(true)
		})
		readers = append(readers, r)
	}
	run := func(lasts time.Duration) error {
		for end := world.Now() + lasts; world.Now() < end; {
			if stop.Err() != nil {
				return context.Cause(stop)
			}
			world.Run(min(end, world.Now()+100*time.Millisecond))
		}
		return nil
	}
	sum := func() (calls, bytes float64) {
		for _, a := range d.agents {
			calls, bytes = calls+float64(a.calls), bytes+float64(a.sent+a.taken)
			a.calls, a.sent, a.taken = 0, 0, 0
		}
		return calls, bytes
	}
	spent := processor()
	if err := run(2 * time.Second); err != nil {
		return err
	}
	spent = processor() - spent
	for i, r := range readers {
		if r.whole == 0 {
			return fmt.Errorf("driver %d has no list after 2 s", i)
		}
	}
	calls, bytes := sum()
	one("start_bytes", "B per driver at a start", bytes/float64(drivers))
	one("start_fleet", "MB of the fleet at a start of all", bytes/1e6)
	one("start_calls", "calls of the fleet at a start of all", calls)
	one("start_processor", "us per driver at a start, both ends", float64(spent.Microseconds())/float64(drivers))
	one("starts_a_day", "B/s of the fleet for 370 starts a day", bytes/float64(drivers)*370/86400)
	const lasts = time.Minute
	if err := run(lasts); err != nil {
		return err
	}
	calls, bytes = sum()
	one("watch_calls", "calls/s of the fleet", calls/lasts.Seconds())
	one("watch_bytes", "B/s per driver", bytes/lasts.Seconds()/float64(drivers))
	drained := world.Now()
	field.At(world.Now(), func() { d.drain(members/2, nil) })
	if err := run(100 * time.Millisecond); err != nil {
		return err
	}
	var known []float64
	for i, r := range readers {
		if r.changed == 0 {
			return fmt.Errorf("driver %d knows of no change", i)
		}
		known = append(known, (r.changed - drained).Seconds())
	}
	_, bytes = sum()
	one("change_bytes", "B per driver and change, with the next call", bytes/float64(drivers))
	one("change_known", "s until the last driver knows", worst(known))
	return listCounts(point, p, d)
}

// counted is a host that keeps nothing.
type counted struct{}

// ListBegins implements discovery.Host; it does nothing.
func (counted) ListBegins(driver.Listing) {}

// ListEnds implements discovery.Host; it does nothing.
func (counted) ListEnds(driver.Listing) {}

// Count implements discovery.Host; it does nothing.
func (counted) Count(string) {}

// Listed implements discovery.Host; it does nothing.
func (counted) Listed(string, netip.AddrPort, string, driver.Group, driver.Standing, float64, time.Duration, bool) {
}

// listCounts counts what reading a whole list and knowing its drains takes, on this machine's own loop.
func listCounts(point func(Point), p Point, d *discoveryAgent) error {
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value, p.How = measure, unit, value, "counted"
		point(p)
	}
	whole := d.list(true)
	one("whole", "B of a whole list, as JSON", float64(len(whole)))
	l, err := loop.NewWithSystem(sim.New(1, epoch).AddHost("one"), 16, 1<<20)
	if err != nil {
		return err
	}
	side := discovery.New(l, counted{}, placeOf(2, 0, 8500))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := side.Restore(whole); err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	one("read_allocations", "allocations to read a whole list", float64(after.Mallocs-before.Mallocs))
	one("read_allocated", "B allocated to read a whole list", float64(after.TotalAlloc-before.TotalAlloc))
	var took []float64
	for range 11 {
		began := time.Now()
		if err := side.Restore(whole); err != nil {
			return err
		}
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	one("read", "ms to read a whole list", median(took))
	one("drains_memory", "B of what a driver knows of drains", drainsHeap(d.members))
	return nil
}

// drainsHeap is what knowing members' drains takes.
func drainsHeap(members int) float64 {
	before := heap()
	known := draingossip.NewTracker()
	for m := range members {
		known.UpdateFromList(draingossip.MemberID(m)*0x9e3779b97f4a7c15, draingossip.Member{Group: driver.Group(m / 2), StartedAt: epoch, Standing: driver.Ready}, true)
	}
	after := heap()
	runtime.KeepAlive(known)
	return after - before
}
