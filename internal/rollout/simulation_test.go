package rollout

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/internal/lease"
	"passtack/internal/pcg"
	"passtack/internal/timerqueue"
)

var simulationRuns = flag.Int("runs", 0, "number of seeds to simulate; 0: the default of CI")

// simulation is three machines, some publishers and some drivers in simulated time. Messages are delayed, lost and duplicated. Machines crash,
// lose state that is not in storage yet, and restart, sometimes with empty storage. Leases are random too: two machines may hold the lease at
// the same time, since the safety of versions must not depend on leases being exclusive.
type simulation struct {
	now              time.Duration
	random           *pcg.Source
	queue            timerqueue.Queue[func()]
	replicas         []*replica
	drivers          []uint64 // version in force of each driver
	lastNumber       uint64
	texts            map[uint64]string // text of each version seen on any machine, driver or publisher
	published        map[uint64]uint64 // version of each publication that was reported as published
	violation        string            // first violation; "": none
	lossRate         float64
	cutLinks         map[[2]int]bool
	mutate           func(m *Machine)
	versionsByClock  bool // a mutation: see publishByClock
	publishAttempts  int
	publishSuccesses int
	lastWriter       *replica // writer that heal has chosen
}

// replica is one machine across its restarts.
type replica struct {
	sim                *simulation
	index              int
	incarnation        uint64
	claimedIncarnation uint64   // later incarnation adopted after IncarnationSuperseded
	machine            *Machine // nil: crashed
	disk               State
	diskBusyUntil      time.Duration // end of the earlier writes
}

func nodeOf(n int) lease.Node { return lease.Node(n + 1) }

func newSimulation(seed uint64, mutate func(m *Machine)) *simulation {
	s := &simulation{random: pcg.New(seed), drivers: make([]uint64, 5), texts: make(map[uint64]string), published: make(map[uint64]uint64),
		cutLinks: make(map[[2]int]bool), mutate: mutate}
	for n := range 3 {
		s.replicas = append(s.replicas, &replica{sim: s, index: n})
	}
	for _, r := range s.replicas {
		r.start()
	}
	return s
}

func (s *simulation) schedule(delay time.Duration, action func()) { s.queue.Push(s.now+delay, action) }

func (s *simulation) randomDelay(n int) time.Duration {
	return time.Duration(s.random.Below(n)) * time.Millisecond
}

// run advances the simulation by a duration. It stops at the first violation.
func (s *simulation) run(duration time.Duration) {
	end := s.now + duration
	for s.violation == "" {
		dueAt, ok := s.queue.NextDue()
		if !ok || dueAt > end {
			break
		}
		s.now = max(s.now, dueAt)
		if action, ok := s.queue.PopDue(s.now); ok {
			action()
		}
	}
	s.now = max(s.now, end)
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// checkText checks that a version has the same text at every observer.
func (s *simulation) checkText(e Entry, observer string) {
	if text, known := s.texts[e.Version]; known && text != e.Text {
		s.fail("version %d is %q at %s and %q elsewhere", e.Version, e.Text, observer, text)
	}
	s.texts[e.Version] = e.Text
}

func (r *replica) start() {
	r.incarnation, r.diskBusyUntil = r.sim.nextNumber(), 0
	var peers []lease.Node
	for n := range 3 {
		if n != r.index {
			peers = append(peers, nodeOf(n))
		}
	}
	r.machine = New(r, nodeOf(r.index), peers, r.disk)
	if mutate := r.sim.mutate; mutate != nil {
		mutate(r.machine)
	}
	incarnation := r.incarnation
	var tick func()
	tick = func() {
		if r.incarnation == incarnation && r.machine != nil {
			r.machine.Tick()
			r.sim.schedule(HeartbeatInterval, tick)
		}
	}
	r.sim.schedule(r.sim.randomDelay(200), tick)
}

func (s *simulation) nextNumber() uint64 {
	s.lastNumber++
	return s.lastNumber
}

// crash stops the machine. State that is not in storage yet is lost.
func (r *replica) crash() { r.machine, r.incarnation = nil, 0 }

func (r *replica) Send(to lease.Node, msg Message) {
	s, target, incarnation := r.sim, r.sim.replicas[to-1], max(r.incarnation, r.claimedIncarnation)
	for range 1 + s.random.Below(8)/7 {
		if s.random.Float() < s.lossRate || s.cutLinks[[2]int{r.index, target.index}] {
			continue
		}
		s.schedule(s.randomDelay(60)+s.randomDelay(3)*s.randomDelay(60)/time.Millisecond, func() {
			if target.machine != nil && !s.cutLinks[[2]int{r.index, target.index}] {
				target.machine.Receive(nodeOf(r.index), incarnation, msg, s.now)
			}
		})
	}
}

func (r *replica) Persist(state State, done func(error)) {
	incarnation, s := r.incarnation, r.sim
	write := time.Millisecond + s.randomDelay(5)
	stall := s.randomDelay(8) / (7 * time.Millisecond) * s.randomDelay(300) // one write in eight stalls
	r.diskBusyUntil = max(r.diskBusyUntil, s.now) + write + stall
	s.queue.Push(r.diskBusyUntil, func() {
		if r.incarnation != incarnation {
			return
		}
		r.disk = state
		done(nil)
	})
}

func (r *replica) VersionCommitted(e Entry) { r.sim.checkText(e, fmt.Sprintf("machine %d", r.index)) }
func (r *replica) StepDown()                {}

func (r *replica) IncarnationSuperseded(incarnation uint64) {
	if incarnation > max(r.incarnation, r.claimedIncarnation) {
		r.claimedIncarnation = incarnation + 1
	}
}

func (r *replica) PublishDone(requestID uint64, o Outcome, version uint64) {
	s := r.sim
	if o != Published {
		return
	}
	s.publishSuccesses++
	text := fmt.Sprint("text ", requestID>>32)
	if previous, known := s.published[requestID]; known && previous != version {
		s.fail("publication %d became version %d and version %d", requestID, previous, version)
	}
	s.published[requestID] = version
	s.checkText(Entry{Version: version, Text: text}, "a publisher")
}

// publish sends a publication to a machine. The text contains the publication ID.
func (s *simulation) publish(index int, id, baseVersion uint64) {
	if r := s.replicas[index]; r.machine != nil {
		s.publishAttempts++
		if s.versionsByClock {
			r.publishByClock(PublishRequest{RequestID: id<<32 | baseVersion, PublicationID: id<<32 | baseVersion, Text: fmt.Sprint("text ", id)})
			return
		}
		r.machine.Publish(PublishRequest{RequestID: id<<32 | baseVersion, PublicationID: id<<32 | baseVersion, BaseVersion: baseVersion, Text: fmt.Sprint("text ", id)})
	}
}

// publishByClock is a mutation: the writer derives the version from its own clock, and the machines' clocks differ by 3 s each.
func (r *replica) publishByClock(p PublishRequest) {
	if m := r.machine; m.IsWriter() && m.term.proposal == nil {
		m.term.activePublish = &p
		m.propose(Entry{Version: uint64((r.sim.now + time.Duration(r.index)*3*time.Second) / (700 * time.Millisecond)), Text: p.Text})
	}
}

// pollDriver lets a driver poll a machine and apply its newest version.
func (s *simulation) pollDriver(d, n int) {
	r := s.replicas[n]
	if r.machine == nil {
		return
	}
	if e := r.machine.Committed(); e.Version > s.drivers[d] {
		s.drivers[d] = e.Version
		s.checkText(e, fmt.Sprintf("driver %d", d))
	}
	if !r.machine.ObserveVersion(s.drivers[d]) {
		s.fail("machine %d rejects version %d as implausible", n, s.drivers[d])
	}
}

func (s *simulation) allJoined() bool {
	return !slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.machine == nil || !r.machine.Joined() })
}

// injectFault injects a random fault or changes the lease holder.
func (s *simulation) injectFault() {
	r := s.replicas[s.random.Below(3)]
	switch s.random.Below(9) {
	case 0, 1: // crash and restart
		if r.machine != nil {
			r.crash()
			s.schedule(s.randomDelay(1500), func() { r.restart(false) })
		}
	case 2: // restart with empty storage; only one machine at a time
		if s.allJoined() {
			r.crash()
			s.schedule(s.randomDelay(300), func() { r.restart(true) })
		}
	case 3, 4: // gains the lease, even if another machine holds it
		if r.machine != nil && r.machine.Joined() {
			r.machine.LeaseLost()
			r.machine.LeaseGained(s.nextNumber())
		}
	case 5:
		if r.machine != nil {
			r.machine.LeaseLost()
		}
	case 6:
		o := s.random.Below(3)
		s.cutLinks[[2]int{r.index, o}] = true
		s.schedule(s.randomDelay(2000), func() { delete(s.cutLinks, [2]int{r.index, o}) })
	case 7:
		s.lossRate = s.random.Float() / 3
	case 8:
		s.lossRate = 0
	}
}

func (r *replica) restart(empty bool) {
	if r.machine != nil {
		return
	}
	if empty {
		r.disk = State{}
	}
	r.start()
}

// simulate runs random faults, publications and polls, then ends all faults and checks that all machines converge.
func simulate(seed uint64, mutate func(m *Machine), versionsByClock bool) *simulation {
	s := newSimulation(seed, mutate)
	s.versionsByClock = versionsByClock
	s.run(2 * time.Second)
	var id uint64
	for range 150 {
		s.run(s.randomDelay(120))
		switch s.random.Below(4) {
		case 0:
			s.injectFault()
		case 1:
			id++
			base := s.random.Below(len(s.drivers))
			n, publicationID := s.random.Below(3), id
			s.publish(n, id, s.drivers[base])
			s.schedule(s.randomDelay(400), func() { s.publish(s.random.Below(3), publicationID, s.drivers[base]) })
		default:
			s.pollDriver(s.random.Below(len(s.drivers)), s.random.Below(3))
		}
	}
	if s.violation == "" {
		s.heal()
		s.checkConvergence()
	}
	return s
}

// heal ends all faults and makes one machine the writer.
func (s *simulation) heal() {
	s.lossRate = 0
	clear(s.cutLinks)
	s.run(3 * time.Second)
	for _, r := range s.replicas {
		r.restart(false)
	}
	s.run(2 * time.Second)
	for _, r := range s.replicas {
		r.machine.LeaseLost()
	}
	s.lastWriter = s.replicas[s.random.Below(3)]
	s.lastWriter.machine.LeaseGained(s.nextNumber())
	s.run(2 * time.Second)
	for d := range s.drivers {
		s.pollDriver(d, 0)
	}
	s.run(time.Second)
}

// checkConvergence checks that a publication reaches all machines, and that no driver is ahead of them.
func (s *simulation) checkConvergence() {
	before := s.lastWriter.machine.Committed().Version
	s.publish(s.lastWriter.index, 1<<30, before)
	s.run(2 * time.Second)
	for _, r := range s.replicas {
		e, fresh := r.machine.Committed(), r.machine.IsFresh(s.now)
		if e.Version <= before || e.Text != fmt.Sprint("text ", 1<<30) || !fresh {
			s.fail("after the faults ended, machine %d has version %d, %q, fresh %v; version %d was committed before", r.index, e.Version, e.Text, fresh, before)
		}
	}
	for d, v := range s.drivers {
		if v > before {
			s.fail("driver %d has version %d, newer than version %d of the machines", d, v, before)
		}
	}
}

// Under random faults no version has two texts and no publication becomes two versions. After the faults all machines have the same version.
func TestVersionsAreUniqueAndConverge(t *testing.T) {
	seeds := 1500
	if *simulationRuns > 0 {
		seeds = *simulationRuns
	}
	attempts, published, newest := 0, 0, uint64(0)
	for seed := range seeds {
		s := simulate(uint64(seed)+1, nil, false)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed+1, s.violation)
		}
		attempts, published = attempts+s.publishAttempts, published+s.publishSuccesses
		newest = max(newest, slices.Max(s.drivers))
	}
	t.Logf("%d simulations, %d publish attempts, %d published, newest version %d", seeds, attempts, published, newest)
	if published < seeds*3 {
		t.Errorf("too few publications for a meaningful check: %d in %d simulations", published, seeds)
	}
}

// The simulation detects each of these faults in the protocol. A check that can no longer fail would pass unnoticed otherwise.
func TestMutationsAreDetected(t *testing.T) {
	for name, mutate := range map[string]func(m *Machine){
		"a majority of one":               func(m *Machine) { m.majority = 1 },
		"versions by clock":               nil,
		"empty storage votes immediately": func(m *Machine) { m.state.Joined = true },
	} {
		found := 0
		for seed := uint64(1); seed <= 300 && found == 0; seed++ {
			if s := simulate(seed, mutate, mutate == nil); s.violation != "" {
				found++
				t.Logf("%s: seed %d: %s", name, seed, s.violation)
			}
		}
		if found == 0 {
			t.Errorf("mutation %q is not detected in 300 simulations", name)
		}
	}
}
