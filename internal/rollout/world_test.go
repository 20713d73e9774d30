package rollout

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/internal/due"
	"passtack/internal/lease"
	"passtack/internal/pcg"
)

var simulationRuns = flag.Int("runs", 0, "seeds that the drawn worlds are played with, in place of CI's")

// world is three machines, some publishers and some drivers in simulated time. Messages are late, lost and doubled; machines die with what is
// not on their disks, and come back, at times with an empty folder. Who may write is drawn, too: two may believe that they do at once, as
// leases are not what versions rest on.
type simulation struct {
	now              time.Duration
	random           *pcg.Source
	queue            due.Queue[func()]
	replicas         []*replica
	drivers          []uint64 // versions in force
	lastNumber       uint64
	texts            map[uint64]string // by version, as anybody has them
	published        map[uint64]uint64 // version of each publication that was said to be published
	publishedFrom    map[uint64]uint64 // publication that was published from each version
	violation        string
	lossRate         float64
	cut              map[[2]int]bool
	mutate           func(m *Machine)
	versionsByClock  bool // versions are planted by the machines' clocks
	publishAttempts  int
	publishSuccesses int
}

// unit is one machine in its lives.
type replica struct {
	sim                *simulation
	index              int
	incarnation        uint64
	claimedIncarnation uint64   // a later one that it goes by
	machine            *Machine // nil: it is down
	disk               State
	diskBusyUntil      time.Duration // until then the disk writes what came before
}

func nodeOf(n int) lease.Node { return lease.Node(n + 1) }

func newSimulation(seed uint64, mutate func(m *Machine)) *simulation {
	w := &simulation{random: pcg.New(seed), drivers: make([]uint64, 5), texts: make(map[uint64]string), published: make(map[uint64]uint64), publishedFrom: make(map[uint64]uint64),
		cut: make(map[[2]int]bool), mutate: mutate}
	for n := range 3 {
		w.replicas = append(w.replicas, &replica{sim: w, index: n})
	}
	for _, u := range w.replicas {
		u.start()
	}
	return w
}

func (w *simulation) schedule(delay time.Duration, action func()) { w.queue.Push(w.now+delay, action) }

func (w *simulation) randomDelay(n int) time.Duration {
	return time.Duration(w.random.Below(n)) * time.Millisecond
}

// run goes on for a while, or until something is broken.
func (w *simulation) run(duration time.Duration) {
	end := w.now + duration
	for w.violation == "" {
		at, ok := w.queue.First()
		if !ok || at > end {
			break
		}
		w.now = max(w.now, at)
		if act, ok := w.queue.Pop(w.now); ok {
			act()
		}
	}
	w.now = max(w.now, end)
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// has checks that one version says one thing.
func (w *simulation) checkText(e Entry, who string) {
	if text, known := w.texts[e.Version]; known && text != e.Text {
		w.fail("version %d is %q at %s and %q elsewhere", e.Version, e.Text, who, text)
	}
	w.texts[e.Version] = e.Text
}

func (u *replica) start() {
	u.incarnation, u.diskBusyUntil = u.sim.nextNumber(), 0
	var others []lease.Node
	for n := range 3 {
		if n != u.index {
			others = append(others, nodeOf(n))
		}
	}
	u.machine = New(u, nodeOf(u.index), others, u.disk)
	if c := u.sim.mutate; c != nil {
		c(u.machine)
	}
	life := u.incarnation
	var wake func()
	wake = func() {
		if u.incarnation == life && u.machine != nil {
			u.machine.Tick()
			u.sim.schedule(HeartbeatInterval, wake)
		}
	}
	u.sim.schedule(u.sim.randomDelay(200), wake)
}

func (w *simulation) nextNumber() uint64 {
	w.lastNumber++
	return w.lastNumber
}

// dies loses what is not on the disk yet.
func (u *replica) crash() { u.machine, u.incarnation = nil, 0 }

func (u *replica) Send(to lease.Node, g Message) {
	w, o, life := u.sim, u.sim.replicas[to-1], max(u.incarnation, u.claimedIncarnation)
	for range 1 + w.random.Below(8)/7 {
		if w.random.Float() < w.lossRate || w.cut[[2]int{u.index, o.index}] {
			continue
		}
		w.schedule(w.randomDelay(60)+w.randomDelay(3)*w.randomDelay(60)/time.Millisecond, func() {
			if o.machine != nil && !w.cut[[2]int{u.index, o.index}] {
				o.machine.Receive(nodeOf(u.index), life, g, w.now)
			}
		})
	}
}

func (u *replica) Persist(s State, then func(error)) {
	life, w := u.incarnation, u.sim
	u.diskBusyUntil = max(u.diskBusyUntil, w.now) + time.Millisecond + w.randomDelay(5) + w.randomDelay(8)/(7*time.Millisecond)*w.randomDelay(300)
	w.queue.Push(u.diskBusyUntil, func() {
		if u.incarnation != life {
			return
		}
		u.disk = s
		then(nil)
	})
}

func (u *replica) VersionCommitted(e Entry) { u.sim.checkText(e, fmt.Sprintf("machine %d", u.index)) }
func (u *replica) StepDown()                {}

func (u *replica) IncarnationSuperseded(incarnation uint64) {
	if incarnation > max(u.incarnation, u.claimedIncarnation) {
		u.claimedIncarnation = incarnation + 1
	}
}

func (u *replica) PublishDone(requestID uint64, o Outcome, version uint64) {
	w := u.sim
	if o != Published {
		return
	}
	w.publishSuccesses++
	text := fmt.Sprint("text ", requestID>>32)
	if was, twice := w.published[requestID]; twice && was != version {
		w.fail("publication %d became version %d and version %d", requestID, was, version)
	}
	w.published[requestID] = version
	w.checkText(Entry{Version: version, Text: text}, "a publisher")
}

// publish asks a machine; the text names its publication.
func (w *simulation) publish(index int, id, baseVersion uint64) {
	if u := w.replicas[index]; u.machine != nil {
		w.publishAttempts++
		if w.versionsByClock {
			u.publishByClock(PublishRequest{RequestID: id<<32 | baseVersion, PublicationID: id<<32 | baseVersion, Text: fmt.Sprint("text ", id)})
			return
		}
		u.machine.Publish(PublishRequest{RequestID: id<<32 | baseVersion, PublicationID: id<<32 | baseVersion, BaseVersion: baseVersion, Text: fmt.Sprint("text ", id)})
	}
}

// byClock is a planted mistake: the machine that writes gives a text the version that its own clock says, which are some seconds apart.
func (u *replica) publishByClock(p PublishRequest) {
	if m := u.machine; m.IsWriter() && m.proposal == nil {
		m.activePublish = &p
		m.propose(Entry{Version: uint64((u.sim.now + time.Duration(u.index)*3*time.Second) / (700 * time.Millisecond)), Text: p.Text})
	}
}

// look lets a driver take what a machine gives it.
func (w *simulation) pollDriver(d, n int) {
	u := w.replicas[n]
	if u.machine == nil {
		return
	}
	if e := u.machine.Committed(); e.Version > w.drivers[d] {
		w.drivers[d] = e.Version
		w.checkText(e, fmt.Sprintf("driver %d", d))
	}
	if !u.machine.ObserveVersion(w.drivers[d]) {
		w.fail("machine %d takes version %d for one that cannot be", n, w.drivers[d])
	}
}

func (w *simulation) allJoined() bool {
	return !slices.ContainsFunc(w.replicas, func(u *replica) bool { return u.machine == nil || !u.machine.Joined() })
}

// fault lets something happen.
func (w *simulation) injectFault() {
	u := w.replicas[w.random.Below(3)]
	switch w.random.Below(9) {
	case 0, 1: // dies and comes back
		if u.machine != nil {
			u.crash()
			w.schedule(w.randomDelay(1500), func() { u.restart(false) })
		}
	case 2: // with an empty folder, one at a time
		if w.allJoined() {
			u.crash()
			w.schedule(w.randomDelay(300), func() { u.restart(true) })
		}
	case 3, 4: // one may write, whoever else believes so
		if u.machine != nil && u.machine.Joined() {
			u.machine.LeaseLost()
			u.machine.LeaseGained(w.nextNumber())
		}
	case 5:
		if u.machine != nil {
			u.machine.LeaseLost()
		}
	case 6:
		o := w.random.Below(3)
		w.cut[[2]int{u.index, o}] = true
		w.schedule(w.randomDelay(2000), func() { delete(w.cut, [2]int{u.index, o}) })
	case 7:
		w.lossRate = w.random.Float() / 3
	case 8:
		w.lossRate = 0
	}
}

func (u *replica) restart(empty bool) {
	if u.machine != nil {
		return
	}
	if empty {
		u.disk = State{}
	}
	u.start()
}

// play draws troubles, publications and drivers, and then lets all be well again.
func simulate(seed uint64, mutate func(m *Machine), versionsByClock bool) *simulation {
	w := newSimulation(seed, mutate)
	w.versionsByClock = versionsByClock
	w.run(2 * time.Second)
	var id uint64
	for range 150 {
		w.run(w.randomDelay(120))
		switch w.random.Below(4) {
		case 0:
			w.injectFault()
		case 1:
			id++
			base := w.random.Below(len(w.drivers))
			n, again := w.random.Below(3), id
			w.publish(n, id, w.drivers[base])
			w.schedule(w.randomDelay(400), func() { w.publish(w.random.Below(3), again, w.drivers[base]) })
		default:
			w.pollDriver(w.random.Below(len(w.drivers)), w.random.Below(3))
		}
	}
	if w.violation != "" {
		return w
	}
	w.lossRate = 0
	clear(w.cut)
	w.run(3 * time.Second)
	for _, u := range w.replicas {
		u.restart(false)
	}
	w.run(2 * time.Second)
	for _, u := range w.replicas {
		u.machine.LeaseLost()
	}
	u := w.replicas[w.random.Below(3)]
	u.machine.LeaseGained(w.nextNumber())
	w.run(2 * time.Second)
	for d := range w.drivers {
		w.pollDriver(d, 0)
	}
	w.run(time.Second)
	before := u.machine.Committed().Version
	w.publish(u.index, 1<<30, before)
	w.run(2 * time.Second)
	for _, o := range w.replicas {
		if e := o.machine.Committed(); e.Version <= before || e.Text != fmt.Sprint("text ", 1<<30) || !o.machine.IsFresh(w.now) {
			w.fail("in the end machine %d has version %d, %q, fresh %v; version %d was there before", o.index, e.Version, e.Text, o.machine.IsFresh(w.now), before)
		}
	}
	for d, v := range w.drivers {
		if v > before {
			w.fail("driver %d has version %d, newer than any of the machines, %d", d, v, before)
		}
	}
	return w
}

// In drawn worlds no version says two things, none comes twice, no publication does, and in the end all have the same.
func TestVersionsAreUniqueAndConverge(t *testing.T) {
	seeds := 1500
	if *simulationRuns > 0 {
		seeds = *simulationRuns
	}
	asked, done, most := 0, 0, uint64(0)
	for seed := range seeds {
		w := simulate(uint64(seed)+1, nil, false)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+1, w.violation)
		}
		asked, done, most = asked+w.publishAttempts, done+w.publishSuccesses, max(most, slices.Max(w.drivers))
	}
	t.Logf("%d worlds, %d publications asked for, %d published, version %d at the most", seeds, asked, done, most)
	if done < seeds*3 {
		t.Errorf("too little was published to tell: %d in %d worlds", done, seeds)
	}
}

// Each planted mistake is found by the same draw.
func TestMutationsAreDetected(t *testing.T) {
	for name, change := range map[string]func(m *Machine){
		"a majority of one":                  func(m *Machine) { m.majority = 1 },
		"versions by clock":                  nil,
		"what others know is not taken over": func(m *Machine) { m.state.Joined = true },
	} {
		found := 0
		for seed := uint64(1); seed <= 300 && found == 0; seed++ {
			if w := simulate(seed, change, change == nil); w.violation != "" {
				found++
				t.Logf("%s: seed %d: %s", name, seed, w.violation)
			}
		}
		if found == 0 {
			t.Errorf("%s is not found in 300 worlds", name)
		}
	}
}
