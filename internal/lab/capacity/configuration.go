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

	"passtack/internal/httpwire"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/node"
	"passtack/internal/pcg"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

func configurationSweeps() []Sweep {
	about := hollowLeaves + " Two regions, 30 ms apart one way; two of three control machines and half of the drivers in the first. Control machines are internal/rollout/server as it is, on a " +
		"disk of 2 to 8 ms that is no file. Time runs for a driver and a version from the moment at which a majority has it, or at which the driver last could not reach a machine that is sure to " +
		"have the newest, if that is later."
	return []Sweep{
		{Name: "configuration", Axis: Drivers, Sizes: DriverSizes, About: about + " No faults: a version each 3 s, ten times.",
			Play: func(stop context.Context, size int, seed uint64, point func(Point)) error {
				return playConfiguration(stop, size, seed, false, point)
			}},
		{Name: "configuration-faults", Axis: Drivers, Sizes: []int{30, 100, 470}, About: about + " 60 s with a publication every 1 to 3 s, some of them two at once and some that no driver can take, and a fault every 2 to 5 s: " +
			"a machine killed, stopped, cut off, cut off one way or brought back with an empty folder, regions apart, a tenth of the drivers restarted. Then all is well for 6 s.",
			Play: func(stop context.Context, size int, seed uint64, point func(Point)) error {
				return playConfiguration(stop, size, seed, true, point)
			}},
	}
}

const acrossRegions = 30 * time.Millisecond

// controller is one control machine in its lives.
type controller struct {
	rollouts  *rollouts
	number    int
	name      string
	host      *sim.Host
	at        netip.AddrPort
	persisted server.PersistedState
	life      int
	server    *server.Server // nil: it is down
	counted   map[string]int // of earlier lives
}

// rollouts is a fleet of hollow drivers with its control machines and publishers.
type rollouts struct {
	*hollow
	machines  []*controller
	publisher *sim.Host
	posts     *loop.Loop
	chance    *pcg.Source
	apart     bool
	cut       map[[2]*sim.Host]bool // one way
	region    map[*sim.Host]int
	counts    map[uint64]time.Duration // when each version first counted
	newest    uint64
	published map[uint64]string // text of each version
	refusable map[uint64]bool   // versions that no driver can take
	has       []uint64          // by driver, in force
	settled   []uint64          // by driver, in force or refused
	able      []time.Duration   // since when each could reach a machine that is sure
	took      []float64
	wrong     error
	asked     int
	succeeded int
	outdated  int
}

func newRollouts(stop context.Context, drivers int, seed uint64) (*rollouts, error) {
	var machines []string
	for n := range 3 {
		machines = append(machines, strconv.Quote(placeOf(4, n, 7400).String()))
	}
	f, err := newHollow(stop, drivers, seed, fmt.Sprintf("configuration {\n  fleet = \"sweep\"\n  machines = [%s]\n}\n", strings.Join(machines, ", ")))
	if err != nil {
		return nil, err
	}
	r := &rollouts{hollow: f, chance: pcg.New(seed + 77), cut: make(map[[2]*sim.Host]bool), region: make(map[*sim.Host]int), counts: make(map[uint64]time.Duration),
		published: make(map[uint64]string), refusable: make(map[uint64]bool), has: make([]uint64, drivers), settled: make([]uint64, drivers), able: make([]time.Duration, drivers)}
	for n := range 3 {
		c := &controller{rollouts: r, number: n, name: "c" + strconv.Itoa(n), at: placeOf(4, n, 7400), counted: make(map[string]int)}
		c.host = f.world.AddHost(c.name)
		r.machines = append(r.machines, c)
		r.region[c.host] = n / 2
	}
	for i, h := range f.hosts {
		r.region[h] = i % 2
	}
	r.publisher = f.world.AddHost("publisher")
	if r.posts, err = loop.NewWithSystem(r.publisher, 1000, 64<<20); err != nil {
		return nil, err
	}
	r.publisher.Serve(r.posts, func() {})
	f.world.DefaultLink = func(from, to *sim.Host) (sim.Link, bool) {
		l := sim.LocalLink
		a, placed := r.region[from]
		b, other := r.region[to]
		if !placed || !other {
			return l, true
		}
		if a != b {
			l.Delay += acrossRegions
		}
		l.Cut = r.cut[[2]*sim.Host{from, to}] || r.apart && a != b
		return l, true
	}
	return r, nil
}

// Keep is the machine's disk.
func (c *controller) Persist(k server.PersistedState, then func(error)) {
	life, l := c.life, c.rollouts.world
	wait := 2*time.Millisecond + time.Duration(c.rollouts.chance.Float()*6)*time.Millisecond
	l.At(l.Now()+wait, func() {
		if c.life != life {
			return
		}
		c.persisted = k
		c.host.Post(func() { then(nil) })
	})
}

func (c *controller) start() error {
	r := c.rollouts
	c.host.Start()
	l, err := loop.NewWithSystem(c.host, 4096, 64<<20)
	if err != nil {
		return err
	}
	c.host.Serve(l, func() {})
	place := server.MachineConfig{Fleet: "sweep", Name: c.name, Listen: c.at}
	for _, o := range r.machines {
		if o != c {
			place.Peers = append(place.Peers, server.Peer{Name: o.name, Address: o.at})
		}
	}
	c.life++
	c.server, err = server.New(l, place, c, c.persisted, r.seed*7919+uint64(c.number*1000+c.life))
	if err != nil {
		return err
	}
	c.server.OnCommit = func(version uint64) { r.counted(c, version) }
	return nil
}

func (c *controller) kill() {
	if c.server != nil {
		for _, what := range []string{"bytes_sent", "bytes_received", "calls"} {
			c.counted[what] += c.server.Counter(what)
		}
	}
	c.life++
	c.host.Kill()
	c.server = nil
}

// counted notes that a version counts.
func (r *rollouts) counted(c *controller, version uint64) {
	if _, known := r.counts[version]; !known {
		r.counts[version] = r.world.Now()
		if version <= r.newest {
			r.breaks("version %d counts after version %d", version, r.newest)
		}
		r.newest = max(r.newest, version)
	}
	text := c.server.Machine().Committed().Text
	if was, known := r.published[version]; known && was != text {
		r.breaks("version %d is %q at %s and %q elsewhere", version, text, c.name, was)
	}
	r.published[version], r.refusable[version] = text, strings.Contains(text, unservable)
}

// unservable is what no driver can take, and a control machine cannot know that.
const unservable = `"class_read":["old"]`

func (r *rollouts) breaks(format string, args ...any) {
	r.wrong = errors.Join(r.wrong, fmt.Errorf("at %v: %w", r.world.Now()-epoch, fmt.Errorf(format, args...)))
}

// reaches tells whether a driver can ask a machine that is sure to have the newest.
func (r *rollouts) reaches(i int) bool {
	d := r.hosts[i]
	return slices.ContainsFunc(r.machines, func(c *controller) bool {
		return c.server != nil && c.server.Machine().IsFresh(r.world.Now()) && !r.cut[[2]*sim.Host{d, c.host}] && !r.cut[[2]*sim.Host{c.host, d}] &&
			!(r.apart && r.region[d] != r.region[c.host]) && c.server.Machine().Committed().Version == r.newest
	})
}

const configurationStep = 10 * time.Millisecond

// look notes what drivers have in force.
func (r *rollouts) look() {
	now := r.world.Now()
	for i, n := range r.nodes {
		if n == nil {
			r.has[i], r.settled[i], r.able[i] = 0, 0, now
			continue
		}
		s := n.Configuration()
		if s.Version < r.has[i] {
			r.breaks("driver %d goes back from version %d to %d", i, r.has[i], s.Version)
		}
		if s.Version != r.has[i] {
			r.inForce(i, n, s)
		}
		if newest := max(s.Version, s.RejectedVersion); newest > r.settled[i] {
			for version := r.settled[i] + 1; version <= newest && r.settled[i] > 0; version++ {
				if at, counts := r.counts[version]; counts {
					r.took = append(r.took, (now - max(at, r.able[i])).Seconds())
				}
			}
			r.settled[i] = newest
		}
		if !r.reaches(i) {
			r.able[i] = now
		}
	}
}

// inForce looks whether a driver goes by the version that it has just come to have.
func (r *rollouts) inForce(i int, n *node.Node, s rollout.DriverReport) {
	r.has[i] = s.Version
	var text struct {
		Settings struct{ Caps map[string]json.Number }
	}
	json.Unmarshal([]byte(r.published[s.Version]), &text)
	if want, is := text.Settings.Caps["max_retry_after_us"].String(), n.Settings()["caps.longest_wait"]; want != is {
		r.breaks("driver %d says that it has version %d in force and goes by %s where that says %s", i, s.Version, is, want)
	}
	if r.refusable[s.Version] {
		r.breaks("driver %d has version %d in force, which cannot be served by", i, s.Version)
	}
}

// pass lets time go by.
func (r *rollouts) pass(lasts time.Duration) error {
	for end := r.world.Now() + lasts; r.world.Now() < end; {
		if err := r.hollow.run(configurationStep); err != nil {
			return err
		}
		if r.look(); r.wrong != nil {
			return r.wrong
		}
	}
	return nil
}

// publication goes from machine to machine until it is decided, as passtack config publish does.
type publication struct {
	rollouts *rollouts
	text     string
	id, base uint64
	bad      bool
	at       int
	ends     time.Duration
	stream   *loop.Stream
	due      loop.Timer
}

func (r *rollouts) publish(bad bool) {
	r.asked++
	text := fmt.Sprintf(`{"settings":{"caps":{"max_retry_after_us":%d}}}`, 1000000+r.asked)
	if bad {
		text = fmt.Sprintf(`{"settings":{"caps":{"max_retry_after_us":%d},"family_info":{%s}}}`, 1000000+r.asked, unservable)
	}
	p := &publication{rollouts: r, text: text, id: r.seed<<20 + uint64(r.asked), base: r.newest, bad: bad, at: r.chance.Below(3), ends: r.world.Now() + 10*time.Second}
	r.publisher.Post(p.try)
}

func (p *publication) try() {
	l, at := p.rollouts.posts, p.rollouts.machines[p.at].at
	if p.at = (p.at + 1) % 3; l.Now() > p.ends {
		return
	}
	var err error
	if p.stream, err = l.Dial(at, p, 1<<16); err != nil {
		p.again()
		return
	}
	out := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/publish"), "Host", at.String())
	out = httpwire.AppendField(out, server.VersionField, strconv.FormatUint(p.base, 10))
	out = httpwire.AppendField(out, server.PublicationField, strconv.FormatUint(p.id, 16))
	p.stream.Send(httpwire.AppendLength(out, len(p.text)), []byte(p.text))
	p.due = l.At(l.Now()+3*time.Second, func() { p.Closed(nil) })
}

func (p *publication) again() {
	p.rollouts.posts.At(p.rollouts.posts.Now()+200*time.Millisecond, p.try)
}

// Opened implements loop.Handler.
func (p *publication) Opened() {}

// Panicked implements loop.Handler.
func (p *publication) Panicked(error) { p.Closed(nil) }

// Closed implements loop.Handler.
func (p *publication) Closed(error) {
	p.rollouts.posts.Cancel(p.due)
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
		p.again()
	}
}

// Input implements loop.Handler.
func (p *publication) Input(in []byte) int {
	status, body, size, _, err := httpwire.Answer(in, false)
	if size == 0 && err == nil {
		return 0
	}
	r := p.rollouts
	var told server.PublishResult
	json.Unmarshal(body, &told)
	switch {
	case status == 200:
		r.succeeded++
		if text := r.published[told.Version]; text != p.text {
			r.breaks("publication %d is said to be version %d, which says %q", p.id, told.Version, text)
		}
		p.done()
	case told.Outcome == rollout.Outdated:
		r.outdated++
		p.done()
	default:
		p.Closed(nil)
	}
	return len(in)
}

func (p *publication) done() {
	p.rollouts.posts.Cancel(p.due)
	p.stream.Close()
	p.stream = nil
}

// fault lets something happen to machines, links or drivers.
func (r *rollouts) fault() error {
	now, c := r.world.Now(), r.machines[r.chance.Below(3)]
	lasts := time.Second + time.Duration(r.chance.Float()*float64(3*time.Second))
	var wrong error
	back := func(empty bool) {
		r.world.At(now+lasts, func() {
			if c.server == nil {
				if empty {
					c.persisted = server.PersistedState{}
				}
				wrong = errors.Join(wrong, c.start())
			}
		})
	}
	switch r.chance.Below(7) {
	case 0:
		c.kill()
		back(false)
	case 1:
		c.host.Pause(now + lasts)
	case 2:
		for _, o := range r.world.Hosts() {
			if o != c.host && (o.Name[0] == 'c' || r.chance.Below(2) == 0) {
				r.part(c.host, o, now+lasts)
				r.part(o, c.host, now+lasts)
			}
		}
	case 3:
		for _, o := range r.machines {
			if o != c {
				r.part(c.host, o.host, now+lasts)
			}
		}
	case 4: // one at a time: what a majority has lost nobody can tell
		if !slices.ContainsFunc(r.machines, func(o *controller) bool { return o.server == nil || !o.server.Machine().Joined() }) {
			c.kill()
			back(true)
		}
	case 5:
		r.apart = true
		r.world.At(now+lasts, func() { r.apart = false })
	case 6:
		for i := range r.nodes {
			if r.nodes[i] != nil && r.chance.Below(10) == 0 {
				r.kill(i)
				r.world.At(now+lasts/4, func() { wrong = errors.Join(wrong, r.start(i)) })
			}
		}
	}
	return wrong
}

// part cuts one way between two hosts for a while.
func (r *rollouts) part(from, to *sim.Host, until time.Duration) {
	way := [2]*sim.Host{from, to}
	r.cut[way] = true
	r.world.At(until, func() { delete(r.cut, way) })
}

// writes tells whether some machine does.
func (r *rollouts) writes() bool {
	return slices.ContainsFunc(r.machines, func(c *controller) bool { return c.server != nil && c.server.Machine().IsWriter() })
}

func playConfiguration(stop context.Context, size int, seed uint64, faults bool, point func(Point)) error {
	p := Point{Drivers: int64(size), Members: few, How: "simulated"}
	one := func(measure, unit string, value float64) {
		p.Measure, p.Unit, p.Value = measure, unit, value
		point(p)
	}
	r, err := newRollouts(stop, size, seed)
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
	if err := r.pass(3 * time.Second); err != nil {
		return err
	}
	if !r.writes() {
		return errors.New("no control machine writes after 5 s")
	}
	r.publish(false)
	if err := r.pass(4 * time.Second); err != nil {
		return err
	}
	if least := slices.Min(r.has); least == 0 {
		return errors.New("the first version is not in force everywhere after 4 s")
	}
	r.took = nil
	before, spent, began := r.traffic(), processor(), r.world.Now()
	if faults {
		err = r.troubled(60 * time.Second)
	} else {
		for range 10 {
			if r.publish(false); err == nil {
				err = r.pass(3 * time.Second)
			}
		}
	}
	if err != nil {
		return err
	}
	lasts := (r.world.Now() - began).Seconds()
	after := r.traffic()
	if err := r.settle(); err != nil {
		return err
	}
	if len(r.took) == 0 {
		return errors.New("no version came into force")
	}
	slices.Sort(r.took)
	at := func(part float64) float64 { return r.took[min(int(part*float64(len(r.took))), len(r.took)-1)] }
	one("in_force_p50", "s until a version is in force at a driver", at(0.5))
	one("in_force_p99", "s until a version is in force at a driver", at(0.99))
	one("in_force_worst", "s until a version is in force, the worst driver and version", r.took[len(r.took)-1])
	one("late", "drivers and versions over 4 s", float64(len(r.took)-sortedBelow(r.took, 4)))
	one("in_force", "drivers and versions counted", float64(len(r.took)))
	one("versions", "that counted", float64(len(r.counts)))
	one("driver_bytes", "B/s per driver, sent and taken", float64(after["bytes"]-before["bytes"])/lasts/float64(size))
	one("machine_bytes", "B/s of a control machine, sent and taken", float64(after["bytes"]-before["bytes"])/lasts/3)
	one("calls", "calls/s per driver", float64(after["calls"]-before["calls"])/lasts/float64(size))
	one("processor", "us a second per driver, all together", float64((processor()-spent).Microseconds())/lasts/float64(size))
	return nil
}

func sortedBelow(sorted []float64, most float64) int {
	at, _ := slices.BinarySearch(sorted, most)
	return at
}

// traffic sums up what machines have counted, in all their lives.
func (r *rollouts) traffic() map[string]int {
	all := make(map[string]int)
	for _, c := range r.machines {
		for _, what := range []string{"bytes_sent", "bytes_received", "calls"} {
			n := c.counted[what]
			if c.server != nil {
				n += c.server.Counter(what)
			}
			if all[what] += n; what != "calls" {
				all["bytes"] += n
			}
		}
	}
	return all
}

// troubled lets faults and publications come by chance.
func (r *rollouts) troubled(lasts time.Duration) error {
	end := r.world.Now() + lasts
	nextFault, nextText := r.world.Now()+time.Second, r.world.Now()
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.chance.Float()*float64(most-least))
	}
	for now := r.world.Now(); now < end; now = r.world.Now() {
		if now >= nextFault {
			nextFault = now + span(2*time.Second, 5*time.Second)
			if err := r.fault(); err != nil {
				return err
			}
		}
		if now >= nextText {
			nextText = now + span(time.Second, 3*time.Second)
			r.publish(r.chance.Below(6) == 0)
			if r.chance.Below(4) == 0 {
				r.publish(false)
			}
		}
		if err := r.pass(configurationStep); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until all is well, and tells who has not the newest then.
func (r *rollouts) settle() error {
	if err := r.pass(11 * time.Second); err != nil { // faults and tries to publish are over by then
		return err
	}
	want := r.newest
	for i, n := range r.nodes {
		s := n.Configuration()
		if s.Version != want && s.RejectedVersion != want {
			return fmt.Errorf("in the end driver %d has version %d, has refused %d, and version %d counts", i, s.Version, s.RejectedVersion, want)
		}
	}
	r.publish(false)
	if err := r.pass(4 * time.Second); err != nil {
		return err
	}
	if low := slices.Min(r.has); low != r.newest || r.newest == want {
		return fmt.Errorf("the last version is %d, and some driver has %d", r.newest, low)
	}
	return nil
}
