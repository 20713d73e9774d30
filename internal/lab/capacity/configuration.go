package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/httpwire"
	"passtack/internal/node"
	"passtack/internal/pcg"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

func configurationSweeps() []Sweep {
	description := simulatedFleetAbout + " Two regions, 30 ms apart one way; two of three control machines and half of the drivers are in the first. Control machines are internal/rollout/server, with " +
		"simulated storage that takes 2 to 8 ms. The time of a driver and a version is counted from the commit of the version by a majority, or from the moment at which the driver last could not " +
		"reach a machine that is known to have the newest version, if that is later."
	return []Sweep{
		{Name: "configuration", Axis: Drivers, Sizes: DriverSizes, About: description + " No faults: ten versions, one every 3 s.",
			Play: func(ctx context.Context, size int, seed uint64, point func(Point)) error {
				return playConfiguration(ctx, size, seed, false, point)
			}},
		{Name: "configuration-faults", Axis: Drivers, Sizes: []int{30, 100, 470}, About: description + " 60 s with a publication every 1 to 3 s, some of them two at once and some that every driver rejects, and a fault every 2 to 5 s: " +
			"a machine killed, paused, cut off, cut off in one direction or restarted with empty storage, regions partitioned, a tenth of the drivers restarted. Then 11 s without new faults.",
			Play: func(ctx context.Context, size int, seed uint64, point func(Point)) error {
				return playConfiguration(ctx, size, seed, true, point)
			}},
	}
}

// crossRegionDelay is the additional one-way delay between regions.
const crossRegionDelay = 30 * time.Millisecond

// controlMachine is one control machine, over its restarts.
type controlMachine struct {
	fleet           *rolloutFleet
	index           int
	name            string
	host            *sim.Host
	address         netip.AddrPort
	persisted       server.PersistedState
	incarnation     int
	server          *server.Server // nil while the machine is down
	earlierCounters map[string]int // counters of earlier incarnations
}

// rolloutFleet is a fleet of simulated drivers with three control machines and a publisher.
type rolloutFleet struct {
	*simulatedFleet
	machines       []*controlMachine
	publisher      *sim.Host
	publisherLoop  *eventloop.Loop
	random         *pcg.Source
	partitioned    bool
	cutLinks       map[[2]*sim.Host]bool // from and to; the opposite direction is separate
	region         map[*sim.Host]int
	committedAt    map[uint64]time.Duration // by version, when it was first known to be committed
	newest         uint64
	texts          map[uint64]string // by version
	rejectable     map[uint64]bool   // versions that every driver rejects
	versionInForce []uint64          // by driver
	versionDecided []uint64          // by driver, newest version in force or rejected
	reachableSince []time.Duration   // by driver, since when it has been able to reach a fresh machine with the newest version
	delays         []float64         // seconds from commit to decision, over drivers and versions
	violations     error
	publications   int
	succeeded      int
	outdated       int
}

func newRolloutFleet(ctx context.Context, drivers int, seed uint64) (*rolloutFleet, error) {
	var machines []string
	for n := range 3 {
		machines = append(machines, strconv.Quote(addressOf(4, n, 7400).String()))
	}
	f, err := newSimulatedFleet(ctx, drivers, seed, fmt.Sprintf("configuration {\n  fleet = \"sweep\"\n  machines = [%s]\n}\n", strings.Join(machines, ", ")))
	if err != nil {
		return nil, err
	}
	r := &rolloutFleet{simulatedFleet: f, random: pcg.New(seed + 77), cutLinks: make(map[[2]*sim.Host]bool), region: make(map[*sim.Host]int), committedAt: make(map[uint64]time.Duration),
		texts: make(map[uint64]string), rejectable: make(map[uint64]bool), versionInForce: make([]uint64, drivers), versionDecided: make([]uint64, drivers), reachableSince: make([]time.Duration, drivers)}
	for n := range 3 {
		c := &controlMachine{fleet: r, index: n, name: "c" + strconv.Itoa(n), address: addressOf(4, n, 7400), earlierCounters: make(map[string]int)}
		c.host = f.world.AddHost(c.name)
		r.machines = append(r.machines, c)
		r.region[c.host] = n / 2
	}
	for i, h := range f.hosts {
		r.region[h] = i % 2
	}
	r.publisher = f.world.AddHost("publisher")
	if r.publisherLoop, err = eventloop.NewWithSystem(r.publisher, 1000, 64<<20); err != nil {
		return nil, err
	}
	r.publisher.Serve(r.publisherLoop, func() {})
	f.world.DefaultLink = func(from, to *sim.Host) (sim.Link, bool) {
		l := sim.LocalLink
		a, fromKnown := r.region[from]
		b, toKnown := r.region[to]
		if !fromKnown || !toKnown {
			return l, true
		}
		if a != b {
			l.Delay += crossRegionDelay
		}
		l.Cut = r.cutLinks[[2]*sim.Host{from, to}] || r.partitioned && a != b
		return l, true
	}
	return r, nil
}

// Persist simulates storage with a latency of 2 to 8 ms. A state that is not yet stored when the machine is killed is lost.
func (c *controlMachine) Persist(state server.PersistedState, done func(error)) {
	incarnation, world := c.incarnation, c.fleet.world
	delay := 2*time.Millisecond + time.Duration(c.fleet.random.Float()*6)*time.Millisecond
	world.At(world.Now()+delay, func() {
		if c.incarnation != incarnation {
			return
		}
		c.persisted = state
		c.host.Post(func() { done(nil) })
	})
}

func (c *controlMachine) start() error {
	r := c.fleet
	c.host.Start()
	l, err := eventloop.NewWithSystem(c.host, 4096, 64<<20)
	if err != nil {
		return err
	}
	c.host.Serve(l, func() {})
	config := server.MachineConfig{Fleet: "sweep", Name: c.name, Listen: c.address}
	for _, other := range r.machines {
		if other != c {
			config.Peers = append(config.Peers, server.Peer{Name: other.name, Address: other.address})
		}
	}
	c.incarnation++
	c.server, err = server.New(l, config, c, c.persisted, r.seed*7919+uint64(c.index*1000+c.incarnation))
	if err != nil {
		return err
	}
	c.server.OnCommit = func(version uint64) { r.onCommit(c, version) }
	return nil
}

func (c *controlMachine) kill() {
	if c.server != nil {
		for _, name := range []string{"bytes_sent", "bytes_received", "calls"} {
			c.earlierCounters[name] += c.server.Counter(name)
		}
	}
	c.incarnation++
	c.host.Kill()
	c.server = nil
}

// onCommit records that a machine knows a version to be committed, and checks the order of versions and that all machines have the same text.
func (r *rolloutFleet) onCommit(c *controlMachine, version uint64) {
	if _, known := r.committedAt[version]; !known {
		r.committedAt[version] = r.world.Now()
		if version <= r.newest {
			r.addViolation("version %d was committed after version %d", version, r.newest)
		}
		r.newest = max(r.newest, version)
	}
	text := c.server.Machine().Committed().Text
	if earlier, known := r.texts[version]; known && earlier != text {
		r.addViolation("version %d is %q at machine %s and %q at another machine", version, text, c.name, earlier)
	}
	r.texts[version], r.rejectable[version] = text, strings.Contains(text, unservable)
}

// unservable is a setting that every driver rejects and that a control machine cannot recognize as invalid.
const unservable = `"class_read":["old"]`

// addViolation records a violated rule with the simulated time since the start.
func (r *rolloutFleet) addViolation(format string, args ...any) {
	r.violations = errors.Join(r.violations, fmt.Errorf("at %v: %w", r.world.Now()-epoch, fmt.Errorf(format, args...)))
}

// canReachNewest reports whether a driver can reach a fresh machine that has the newest version.
func (r *rolloutFleet) canReachNewest(i int) bool {
	d := r.hosts[i]
	return slices.ContainsFunc(r.machines, func(c *controlMachine) bool {
		return c.server != nil && c.server.Machine().IsFresh(r.world.Now()) && !r.cutLinks[[2]*sim.Host{d, c.host}] && !r.cutLinks[[2]*sim.Host{c.host, d}] &&
			!(r.partitioned && r.region[d] != r.region[c.host]) && c.server.Machine().Committed().Version == r.newest
	})
}

// configurationStep is the interval at which the versions of the drivers are observed.
const configurationStep = 10 * time.Millisecond

// observe records the versions that drivers have in force or have rejected, and the delays since the commits.
func (r *rolloutFleet) observe() {
	now := r.world.Now()
	for i, n := range r.nodes {
		if n == nil {
			r.versionInForce[i], r.versionDecided[i], r.reachableSince[i] = 0, 0, now
			continue
		}
		s := n.Configuration()
		if s.Version < r.versionInForce[i] {
			r.addViolation("driver %d went back from version %d to %d", i, r.versionInForce[i], s.Version)
		}
		if s.Version != r.versionInForce[i] {
			r.checkInForce(i, n, s)
		}
		if newest := max(s.Version, s.RejectedVersion); newest > r.versionDecided[i] {
			for version := r.versionDecided[i] + 1; version <= newest && r.versionDecided[i] > 0; version++ {
				if committed, known := r.committedAt[version]; known {
					r.delays = append(r.delays, (now - max(committed, r.reachableSince[i])).Seconds())
				}
			}
			r.versionDecided[i] = newest
		}
		if !r.canReachNewest(i) {
			r.reachableSince[i] = now
		}
	}
}

// checkInForce checks that a driver's settings are those of the version that it reports as newly in force.
func (r *rolloutFleet) checkInForce(i int, n *node.Node, s rollout.DriverReport) {
	r.versionInForce[i] = s.Version
	var text struct {
		Settings struct{ Caps map[string]json.Number }
	}
	json.Unmarshal([]byte(r.texts[s.Version]), &text)
	if want, got := text.Settings.Caps["max_retry_after_us"].String(), n.Settings()["caps.longest_wait"]; want != got {
		r.addViolation("driver %d reports version %d in force and uses caps.longest_wait %s, want %s", i, s.Version, got, want)
	}
	if r.rejectable[s.Version] {
		r.addViolation("driver %d has version %d in force, which it should have rejected", i, s.Version)
	}
}

// advance runs the fleet, observes it at each step, and returns the violations found.
func (r *rolloutFleet) advance(duration time.Duration) error {
	for end := r.world.Now() + duration; r.world.Now() < end; {
		if err := r.simulatedFleet.run(configurationStep); err != nil {
			return err
		}
		if r.observe(); r.violations != nil {
			return r.violations
		}
	}
	return nil
}

// publication is a publish request that is sent to one machine after another until it is decided, as passtack config publish does.
type publication struct {
	fleet    *rolloutFleet
	text     string
	id, base uint64
	invalid  bool
	machine  int
	deadline time.Duration
	stream   *eventloop.Stream
	timer    eventloop.Timer
}

func (r *rolloutFleet) publish(invalid bool) {
	r.publications++
	text := fmt.Sprintf(`{"settings":{"caps":{"max_retry_after_us":%d}}}`, 1000000+r.publications)
	if invalid {
		text = fmt.Sprintf(`{"settings":{"caps":{"max_retry_after_us":%d},"family_info":{%s}}}`, 1000000+r.publications, unservable)
	}
	p := &publication{fleet: r, text: text, id: r.seed<<20 + uint64(r.publications), base: r.newest, invalid: invalid, machine: r.random.Below(3), deadline: r.world.Now() + 10*time.Second}
	r.publisher.Post(p.try)
}

func (p *publication) try() {
	l, address := p.fleet.publisherLoop, p.fleet.machines[p.machine].address
	if p.machine = (p.machine + 1) % 3; l.Now() > p.deadline {
		return
	}
	var err error
	if p.stream, err = l.Dial(address, p, 1<<16); err != nil {
		p.retryLater()
		return
	}
	out := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/publish"), "Host", address.String())
	out = httpwire.AppendField(out, server.VersionField, strconv.FormatUint(p.base, 10))
	out = httpwire.AppendField(out, server.PublicationField, strconv.FormatUint(p.id, 16))
	p.stream.Send(httpwire.AppendLength(out, len(p.text)), []byte(p.text))
	p.timer = l.At(l.Now()+3*time.Second, func() { p.Closed(nil) })
}

func (p *publication) retryLater() {
	p.fleet.publisherLoop.At(p.fleet.publisherLoop.Now()+200*time.Millisecond, p.try)
}

// Opened implements eventloop.Handler.
func (p *publication) Opened() {}

// Panicked implements eventloop.Handler.
func (p *publication) Panicked(error) { p.Closed(nil) }

// Closed implements eventloop.Handler.
func (p *publication) Closed(error) {
	p.fleet.publisherLoop.Cancel(p.timer)
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
		p.retryLater()
	}
}

// Input implements eventloop.Handler.
func (p *publication) Input(in []byte) int {
	status, body, size, _, err := httpwire.Answer(in, false)
	if size == 0 && err == nil {
		return 0
	}
	r := p.fleet
	var result server.PublishResult
	json.Unmarshal(body, &result)
	switch {
	case status == 200:
		r.succeeded++
		if text := r.texts[result.Version]; text != p.text {
			r.addViolation("publication %d was answered with version %d, whose text is %q", p.id, result.Version, text)
		}
		p.finish()
	case result.Outcome == rollout.Outdated:
		r.outdated++
		p.finish()
	default:
		p.Closed(nil)
	}
	return len(in)
}

func (p *publication) finish() {
	p.fleet.publisherLoop.Cancel(p.timer)
	p.stream.Close()
	p.stream = nil
}

// injectFault injects a random fault: into machines or links for 1 to 4 s, or into drivers for a quarter of that.
func (r *rolloutFleet) injectFault() error {
	now, c := r.world.Now(), r.machines[r.random.Below(3)]
	duration := time.Second + time.Duration(r.random.Float()*float64(3*time.Second))
	var startErr error
	restartLater := func(emptyDisk bool) {
		r.world.At(now+duration, func() {
			if c.server == nil {
				if emptyDisk {
					c.persisted = server.PersistedState{}
				}
				startErr = errors.Join(startErr, c.start())
			}
		})
	}
	switch r.random.Below(7) {
	case 0: // kill
		c.kill()
		restartLater(false)
	case 1: // pause
		c.host.Pause(now + duration)
	case 2: // cut off from the other machines and about half of the other hosts
		for _, o := range r.world.Hosts() {
			if o != c.host && (o.Name[0] == 'c' || r.random.Below(2) == 0) {
				r.cutLink(c.host, o, now+duration)
				r.cutLink(o, c.host, now+duration)
			}
		}
	case 3: // cut off in one direction: the machine cannot send to the other machines
		for _, o := range r.machines {
			if o != c {
				r.cutLink(c.host, o.host, now+duration)
			}
		}
	case 4: // restart with empty storage, of one machine at a time: versions whose storage a majority has lost cannot be recovered
		if !slices.ContainsFunc(r.machines, func(o *controlMachine) bool { return o.server == nil || !o.server.Machine().Joined() }) {
			c.kill()
			restartLater(true)
		}
	case 5: // regions partitioned
		r.partitioned = true
		r.world.At(now+duration, func() { r.partitioned = false })
	case 6: // a tenth of the drivers restarted
		for i := range r.nodes {
			if r.nodes[i] != nil && r.random.Below(10) == 0 {
				r.kill(i)
				r.world.At(now+duration/4, func() { startErr = errors.Join(startErr, r.start(i)) })
			}
		}
	}
	return startErr
}

// cutLink cuts the link from one host to another until the given time.
func (r *rolloutFleet) cutLink(from, to *sim.Host, until time.Duration) {
	link := [2]*sim.Host{from, to}
	r.cutLinks[link] = true
	r.world.At(until, func() { delete(r.cutLinks, link) })
}

// hasWriter reports whether a control machine holds the write lease.
func (r *rolloutFleet) hasWriter() bool {
	return slices.ContainsFunc(r.machines, func(c *controlMachine) bool { return c.server != nil && c.server.Machine().IsWriter() })
}

func playConfiguration(ctx context.Context, size int, seed uint64, faults bool, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: minimalMembers, How: "simulated"}
	emit := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	r, err := newRolloutFleet(ctx, size, seed)
	if err != nil {
		return err
	}
	for _, c := range r.machines {
		if err := c.start(); err != nil {
			return err
		}
	}
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.advance(3 * time.Second); err != nil {
		return err
	}
	if !r.hasWriter() {
		return errors.New("no control machine holds the write lease after 5 s")
	}
	r.publish(false)
	if err := r.advance(4 * time.Second); err != nil {
		return err
	}
	if oldest := slices.Min(r.versionInForce); oldest == 0 {
		return errors.New("the first version is not in force at every driver after 4 s")
	}
	r.delays = nil
	before, cpuTime, began := r.sumCounters(), processCPUTime(), r.world.Now()
	if faults {
		err = r.runWithFaults(60 * time.Second)
	} else {
		for range 10 {
			if r.publish(false); err == nil {
				err = r.advance(3 * time.Second)
			}
		}
	}
	if err != nil {
		return err
	}
	seconds := (r.world.Now() - began).Seconds()
	after := r.sumCounters()
	if err := r.checkConvergence(); err != nil {
		return err
	}
	if len(r.delays) == 0 {
		return errors.New("no version came into force")
	}
	slices.Sort(r.delays)
	quantileOf := func(fraction float64) float64 {
		return r.delays[min(int(fraction*float64(len(r.delays))), len(r.delays)-1)]
	}
	emit("in_force_p50", "s until a version is in force at a driver", quantileOf(0.5))
	emit("in_force_p99", "s until a version is in force at a driver", quantileOf(0.99))
	emit("in_force_worst", "s until a version is in force, the worst driver and version", r.delays[len(r.delays)-1])
	emit("late", "drivers and versions over 4 s", float64(len(r.delays)-countBelow(r.delays, 4)))
	emit("in_force", "drivers and versions counted", float64(len(r.delays)))
	emit("versions", "that counted", float64(len(r.committedAt)))
	emit("driver_bytes", "B/s per driver, sent and taken", float64(after["bytes"]-before["bytes"])/seconds/float64(size))
	emit("machine_bytes", "B/s of a control machine, sent and taken", float64(after["bytes"]-before["bytes"])/seconds/3)
	emit("calls", "calls/s per driver", float64(after["calls"]-before["calls"])/seconds/float64(size))
	emit("processor", "us a second per driver, all together", float64((processCPUTime()-cpuTime).Microseconds())/seconds/float64(size))
	return nil
}

// countBelow returns how many of the sorted values are less than the limit.
func countBelow(sorted []float64, limit float64) int {
	index, _ := slices.BinarySearch(sorted, limit)
	return index
}

// sumCounters sums the counters of all machines over all their incarnations.
func (r *rolloutFleet) sumCounters() map[string]int {
	all := make(map[string]int)
	for _, c := range r.machines {
		for _, name := range []string{"bytes_sent", "bytes_received", "calls"} {
			n := c.earlierCounters[name]
			if c.server != nil {
				n += c.server.Counter(name)
			}
			if all[name] += n; name != "calls" {
				all["bytes"] += n
			}
		}
	}
	return all
}

// runWithFaults runs the fleet with random faults and publications.
func (r *rolloutFleet) runWithFaults(duration time.Duration) error {
	end := r.world.Now() + duration
	nextFault, nextPublication := r.world.Now()+time.Second, r.world.Now()
	randomDuration := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.random.Float()*float64(most-least))
	}
	for now := r.world.Now(); now < end; now = r.world.Now() {
		if now >= nextFault {
			nextFault = now + randomDuration(2*time.Second, 5*time.Second)
			if err := r.injectFault(); err != nil {
				return err
			}
		}
		if now >= nextPublication {
			nextPublication = now + randomDuration(time.Second, 3*time.Second)
			r.publish(r.random.Below(6) == 0)
			if r.random.Below(4) == 0 {
				r.publish(false)
			}
		}
		if err := r.advance(configurationStep); err != nil {
			return err
		}
	}
	return nil
}

// checkConvergence runs the fleet without new faults and publications and returns an error for a driver that has neither applied nor rejected the
// newest version. Then it checks that a further version comes into force at every driver.
func (r *rolloutFleet) checkConvergence() error {
	if err := r.advance(11 * time.Second); err != nil { // longer than the longest fault, 4 s, and the deadline of a publication, 10 s
		return err
	}
	want := r.newest
	for i, n := range r.nodes {
		s := n.Configuration()
		if s.Version != want && s.RejectedVersion != want {
			return fmt.Errorf("after the faults driver %d has version %d in force and %d rejected, want version %d", i, s.Version, s.RejectedVersion, want)
		}
	}
	r.publish(false)
	if err := r.advance(4 * time.Second); err != nil {
		return err
	}
	if oldest := slices.Min(r.versionInForce); oldest != r.newest || r.newest == want {
		return fmt.Errorf("the newest version is %d, the oldest in force at a driver is %d", r.newest, oldest)
	}
	return nil
}
