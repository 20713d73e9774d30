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

var runs = flag.Int("runs", 0, "seeds that the drawn worlds are played with, in place of CI's")

// world is three machines, some publishers and some drivers in simulated time. Messages are late, lost and doubled; machines die with what is
// not on their disks, and come back, at times with an empty folder. Who may write is drawn, too: two may believe that they do at once, as
// leases are not what versions rest on.
type world struct {
	now      time.Duration
	chance   *pcg.Source
	queue    due.Queue[func()]
	machines []*unit
	drivers  []uint64 // versions in force
	numbers  uint64
	texts    map[uint64]string // by version, as anybody has them
	ids      map[uint64]uint64 // version of each publication that was said to be published
	bases    map[uint64]uint64 // publication that was published from each version
	broken   string
	loss     float64
	cut      map[[2]int]bool
	change   func(m *Machine)
	clocks   bool // versions are planted by the machines' clocks
	asked    int
	done     int
}

// unit is one machine in its lives.
type unit struct {
	world *world
	n     int
	life  uint64
	said  uint64   // a later one that it goes by
	m     *Machine // nil: it is down
	disk  State
	busy  time.Duration // until then the disk writes what came before
}

func nodeOf(n int) lease.Node { return lease.Node(n + 1) }

func newWorld(seed uint64, change func(m *Machine)) *world {
	w := &world{chance: pcg.New(seed), drivers: make([]uint64, 5), texts: make(map[uint64]string), ids: make(map[uint64]uint64), bases: make(map[uint64]uint64),
		cut: make(map[[2]int]bool), change: change}
	for n := range 3 {
		w.machines = append(w.machines, &unit{world: w, n: n})
	}
	for _, u := range w.machines {
		u.start()
	}
	return w
}

func (w *world) at(wait time.Duration, act func()) { w.queue.Push(w.now+wait, act) }

func (w *world) below(n int) time.Duration {
	return time.Duration(w.chance.Below(n)) * time.Millisecond
}

// run goes on for a while, or until something is broken.
func (w *world) run(lasts time.Duration) {
	end := w.now + lasts
	for w.broken == "" {
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

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// has checks that one version says one thing.
func (w *world) has(e Entry, who string) {
	if text, known := w.texts[e.Version]; known && text != e.Text {
		w.breaks("version %d is %q at %s and %q elsewhere", e.Version, e.Text, who, text)
	}
	w.texts[e.Version] = e.Text
}

func (u *unit) start() {
	u.life, u.busy = u.world.next(), 0
	var others []lease.Node
	for n := range 3 {
		if n != u.n {
			others = append(others, nodeOf(n))
		}
	}
	u.m = New(u, nodeOf(u.n), others, u.disk)
	if c := u.world.change; c != nil {
		c(u.m)
	}
	life := u.life
	var wake func()
	wake = func() {
		if u.life == life && u.m != nil {
			u.m.Wake()
			u.world.at(Beat, wake)
		}
	}
	u.world.at(u.world.below(200), wake)
}

func (w *world) next() uint64 {
	w.numbers++
	return w.numbers
}

// dies loses what is not on the disk yet.
func (u *unit) dies() { u.m, u.life = nil, 0 }

func (u *unit) Send(to lease.Node, g Message) {
	w, o, life := u.world, u.world.machines[to-1], max(u.life, u.said)
	for range 1 + w.chance.Below(8)/7 {
		if w.chance.Float() < w.loss || w.cut[[2]int{u.n, o.n}] {
			continue
		}
		w.at(w.below(60)+w.below(3)*w.below(60)/time.Millisecond, func() {
			if o.m != nil && !w.cut[[2]int{u.n, o.n}] {
				o.m.Take(nodeOf(u.n), life, g, w.now)
			}
		})
	}
}

func (u *unit) Keep(s State, then func(error)) {
	life, w := u.life, u.world
	u.busy = max(u.busy, w.now) + time.Millisecond + w.below(5) + w.below(8)/(7*time.Millisecond)*w.below(300)
	w.queue.Push(u.busy, func() {
		if u.life != life {
			return
		}
		u.disk = s
		then(nil)
	})
}

func (u *unit) Newest(e Entry) { u.world.has(e, fmt.Sprintf("machine %d", u.n)) }
func (u *unit) StepDown()      {}

func (u *unit) Outlived(life uint64) {
	if life > max(u.life, u.said) {
		u.said = life + 1
	}
}

func (u *unit) Answer(ticket uint64, o Outcome, version uint64) {
	w := u.world
	if o != Published {
		return
	}
	w.done++
	text := fmt.Sprint("text ", ticket>>32)
	if was, twice := w.ids[ticket]; twice && was != version {
		w.breaks("publication %d became version %d and version %d", ticket, was, version)
	}
	w.ids[ticket] = version
	w.has(Entry{Version: version, Text: text}, "a publisher")
}

// publish asks a machine; the text names its publication.
func (w *world) publish(n int, id, base uint64) {
	if u := w.machines[n]; u.m != nil {
		w.asked++
		if w.clocks {
			u.byClock(Publish{Ticket: id<<32 | base, ID: id<<32 | base, Text: fmt.Sprint("text ", id)})
			return
		}
		u.m.Publish(Publish{Ticket: id<<32 | base, ID: id<<32 | base, Base: base, Text: fmt.Sprint("text ", id)})
	}
}

// byClock is a planted mistake: the machine that writes gives a text the version that its own clock says, which are some seconds apart.
func (u *unit) byClock(p Publish) {
	if m := u.m; m.Writes() && m.writing == nil {
		m.inHand = &p
		m.write(Entry{Version: uint64((u.world.now + time.Duration(u.n)*3*time.Second) / (700 * time.Millisecond)), Text: p.Text})
	}
}

// look lets a driver take what a machine gives it.
func (w *world) look(d, n int) {
	u := w.machines[n]
	if u.m == nil {
		return
	}
	if e := u.m.Newest(); e.Version > w.drivers[d] {
		w.drivers[d] = e.Version
		w.has(e, fmt.Sprintf("driver %d", d))
	}
	if !u.m.Ahead(w.drivers[d]) {
		w.breaks("machine %d takes version %d for one that cannot be", n, w.drivers[d])
	}
}

func (w *world) joined() bool {
	return !slices.ContainsFunc(w.machines, func(u *unit) bool { return u.m == nil || !u.m.Joined() })
}

// fault lets something happen.
func (w *world) fault() {
	u := w.machines[w.chance.Below(3)]
	switch w.chance.Below(9) {
	case 0, 1: // dies and comes back
		if u.m != nil {
			u.dies()
			w.at(w.below(1500), func() { u.back(false) })
		}
	case 2: // with an empty folder, one at a time
		if w.joined() {
			u.dies()
			w.at(w.below(300), func() { u.back(true) })
		}
	case 3, 4: // one may write, whoever else believes so
		if u.m != nil && u.m.Joined() {
			u.m.Lost()
			u.m.Gained(w.next())
		}
	case 5:
		if u.m != nil {
			u.m.Lost()
		}
	case 6:
		o := w.chance.Below(3)
		w.cut[[2]int{u.n, o}] = true
		w.at(w.below(2000), func() { delete(w.cut, [2]int{u.n, o}) })
	case 7:
		w.loss = w.chance.Float() / 3
	case 8:
		w.loss = 0
	}
}

func (u *unit) back(empty bool) {
	if u.m != nil {
		return
	}
	if empty {
		u.disk = State{}
	}
	u.start()
}

// play draws troubles, publications and drivers, and then lets all be well again.
func play(seed uint64, change func(m *Machine), clocks bool) *world {
	w := newWorld(seed, change)
	w.clocks = clocks
	w.run(2 * time.Second)
	var id uint64
	for range 150 {
		w.run(w.below(120))
		switch w.chance.Below(4) {
		case 0:
			w.fault()
		case 1:
			id++
			base := w.chance.Below(len(w.drivers))
			n, again := w.chance.Below(3), id
			w.publish(n, id, w.drivers[base])
			w.at(w.below(400), func() { w.publish(w.chance.Below(3), again, w.drivers[base]) })
		default:
			w.look(w.chance.Below(len(w.drivers)), w.chance.Below(3))
		}
	}
	if w.broken != "" {
		return w
	}
	w.loss = 0
	clear(w.cut)
	w.run(3 * time.Second)
	for _, u := range w.machines {
		u.back(false)
	}
	w.run(2 * time.Second)
	for _, u := range w.machines {
		u.m.Lost()
	}
	u := w.machines[w.chance.Below(3)]
	u.m.Gained(w.next())
	w.run(2 * time.Second)
	for d := range w.drivers {
		w.look(d, 0)
	}
	w.run(time.Second)
	before := u.m.Newest().Version
	w.publish(u.n, 1<<30, before)
	w.run(2 * time.Second)
	for _, o := range w.machines {
		if e := o.m.Newest(); e.Version <= before || e.Text != fmt.Sprint("text ", 1<<30) || !o.m.Fresh(w.now) {
			w.breaks("in the end machine %d has version %d, %q, fresh %v; version %d was there before", o.n, e.Version, e.Text, o.m.Fresh(w.now), before)
		}
	}
	for d, v := range w.drivers {
		if v > before {
			w.breaks("driver %d has version %d, newer than any of the machines, %d", d, v, before)
		}
	}
	return w
}

// In drawn worlds no version says two things, none comes twice, no publication does, and in the end all have the same.
func TestNoVersionComesTwice(t *testing.T) {
	seeds := 1500
	if *runs > 0 {
		seeds = *runs
	}
	asked, done, most := 0, 0, uint64(0)
	for seed := range seeds {
		w := play(uint64(seed)+1, nil, false)
		if w.broken != "" {
			t.Fatalf("seed %d: %s", seed+1, w.broken)
		}
		asked, done, most = asked+w.asked, done+w.done, max(most, slices.Max(w.drivers))
	}
	t.Logf("%d worlds, %d publications asked for, %d published, version %d at the most", seeds, asked, done, most)
	if done < seeds*3 {
		t.Errorf("too little was published to tell: %d in %d worlds", done, seeds)
	}
}

// Each planted mistake is found by the same draw.
func TestPlantedMistakesAreFound(t *testing.T) {
	for name, change := range map[string]func(m *Machine){
		"a majority of one":                  func(m *Machine) { m.majority = 1 },
		"versions by clock":                  nil,
		"what others know is not taken over": func(m *Machine) { m.state.Joined = true },
	} {
		found := 0
		for seed := uint64(1); seed <= 300 && found == 0; seed++ {
			if w := play(seed, change, change == nil); w.broken != "" {
				found++
				t.Logf("%s: seed %d: %s", name, seed, w.broken)
			}
		}
		if found == 0 {
			t.Errorf("%s is not found in 300 worlds", name)
		}
	}
}
