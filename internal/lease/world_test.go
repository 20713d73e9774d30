package lease

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"passtack/internal/due"
	"passtack/internal/pcg"
)

const ms = time.Millisecond

// world is drivers that vote and ask in simulated time, with all that may go wrong between them. Each has a clock of its own.
type world struct {
	chance  *pcg.Source
	now     time.Duration // that no driver knows
	queue   due.Queue[func()]
	drivers []*simulated
	loss    float64
	double  float64
	slowest time.Duration // that a message takes
	cut     map[[2]int]bool
	gained  uint64 // highest number that anybody held
	holds   int
	acts    int
	refused int
	highest uint64 // that the witness saw
	broken  []string
	held    time.Duration // that somebody held
	heldAt  time.Duration
	fencing bool // clocks are beyond the bound: only the numbers hold
	course  []string
}

type simulated struct {
	world   *world
	number  int
	name    Node
	life    uint64
	rate    float64 // of its clock
	offset  time.Duration
	stamp   time.Duration // by which its time of day is wrong
	up      bool
	paused  time.Duration
	voter   *Voter
	asker   *Asker
	disk    map[string]Promise // nil: it has none
	copied  map[string]Promise
	lastEnd time.Duration
	due     *due.Item[func()]
	since   time.Duration
	set     Set
}

const lasts = 2 * time.Second

func newWorld(seed uint64, drivers int, set Set, disks bool) *world {
	w := &world{chance: pcg.New(seed), now: time.Hour, cut: make(map[[2]int]bool), slowest: 5 * ms}
	for i := range drivers {
		d := &simulated{world: w, number: i, name: Node(i + 1), rate: 1 + (w.chance.Float()-0.5)/100, offset: time.Duration(w.chance.Float() * float64(time.Hour)), set: set}
		if disks {
			d.disk = make(map[string]Promise)
		}
		w.drivers = append(w.drivers, d)
		w.at(time.Duration(w.chance.Float()*float64(100*ms)), d.start)
	}
	return w
}

func (w *world) at(in time.Duration, act func()) { w.queue.Push(w.now+in, act) }

func (w *world) run(until time.Duration) {
	for {
		at, ok := w.queue.First()
		if !ok || at > until {
			w.now = until
			return
		}
		w.now = max(w.now, at)
		act, _ := w.queue.Pop(w.now)
		act()
	}
}

func (w *world) note(format string, args ...any) {
	if len(w.course) < 400 {
		w.course = append(w.course, fmt.Sprintf("%9.3f ", (w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
	w.note("%s", w.broken[len(w.broken)-1])
}

func (d *simulated) clock() time.Duration {
	return d.offset + time.Duration(float64(d.world.now)*d.rate)
}

// truly is when its clock will show that.
func (d *simulated) truly(local time.Duration) time.Duration {
	return time.Duration(float64(local-d.offset) / d.rate)
}

func (d *simulated) start() {
	d.up, d.life = true, d.life+1
	d.voter = NewVoter(d, d.name, d.set, lasts, maps.Clone(d.disk), d.clock())
	d.asker = NewAsker(d, Holder{d.name, d.life}, "x", lasts, d.set, uint64(d.world.chance.Uint32()))
	d.asker.Want(d.clock())
	d.plan()
}

func (d *simulated) kill() {
	d.ends()
	d.up, d.voter, d.asker = false, nil, nil
}

// soon lets the driver do something, once it is not stopped any more.
func (d *simulated) soon(act func()) {
	life := d.life
	var try func()
	try = func() {
		if !d.up || d.life != life {
			return
		}
		if d.world.now < d.paused {
			d.world.queue.Push(d.paused, try)
			return
		}
		act()
		d.plan()
	}
	try()
}

func (d *simulated) plan() {
	d.look()
	d.world.queue.Remove(d.due)
	if at, ok := d.asker.Wakes(); ok {
		d.due = d.world.queue.Push(max(d.truly(at), d.world.now)+time.Nanosecond, func() {
			d.soon(func() { d.asker.Wake(d.clock(), d.dayTime()) })
		})
	}
}

func (d *simulated) dayTime() uint64 { return uint64((d.world.now + d.stamp) / ms) }

func (d *simulated) Send(to Node, m Message) {
	w, o := d.world, d.world.drivers[int(to)-1]
	if w.cut[[2]int{d.number, o.number}] || o != d && w.chance.Float() < w.loss {
		return
	}
	text := Append(nil, m)
	deliver := func() {
		o.soon(func() {
			if m, ok := Read(text); !ok {
				w.breaks("a message cannot be read: %x", text)
			} else if m.Op == Ask || m.Op == Release {
				o.voter.Take(d.name, m, o.clock())
			} else {
				o.asker.Take(d.name, m, o.clock())
			}
		})
	}
	for times := 1; times > 0; times-- {
		if o != d && w.chance.Float() < w.double {
			times++
		}
		w.at(time.Duration(w.chance.Float()*float64(w.slowest)), deliver)
	}
}

func (d *simulated) Keep(lease string, p Promise, then func(error)) {
	if d.disk == nil {
		then(nil)
		return
	}
	d.world.at(time.Duration(d.world.chance.Float()*float64(10*ms)), func() {
		life := d.life
		if d.up {
			d.disk[lease] = p
			d.soon(func() {
				if d.life == life {
					then(nil)
				}
			})
		}
	})
}

func (d *simulated) Gained(_ string, number uint64) {
	w := d.world
	w.holds++
	w.note("driver %d holds under %d", d.number, number)
	if number <= w.gained {
		w.breaks("driver %d holds under %d, %d was held before", d.number, number, w.gained)
	}
	w.gained = max(w.gained, number)
	d.since = w.now
	d.act(d.life)
}

func (d *simulated) Lost(_ string, number uint64) { d.ends() }

// ends notes that a hold is over.
func (d *simulated) ends() {
	if d.since != 0 {
		d.world.held += min(d.world.now, d.lastEnd) - d.since
		d.since, d.lastEnd = 0, 0
	}
}

// look compares what all believe: the guard of no two may say yes at one moment.
func (d *simulated) look() {
	w := d.world
	if _, ok := d.asker.Held(d.clock()); !ok {
		return
	}
	d.lastEnd = d.truly(d.asker.end)
	for _, o := range w.drivers {
		if o == d || !o.up || o.since == 0 || w.fencing {
			continue
		}
		if _, ok := o.asker.Held(o.clock()); ok {
			w.breaks("drivers %d and %d hold at once", d.number, o.number)
		}
	}
}

// act does something that others see, a moment after the guard was asked; the driver may be stopped between.
func (d *simulated) act(life uint64) {
	w := d.world
	if !d.up || d.life != life {
		return
	}
	if number, ok := d.asker.Held(d.clock()); ok && w.now >= d.paused {
		if w.chance.Below(200) == 0 { // stopped between the question and the act
			d.paused = w.now + time.Duration(w.chance.Float()*float64(3*lasts))
		}
		w.at(time.Duration(w.chance.Float()*float64(3*ms)), func() {
			d.soon(func() {
				if number < w.highest {
					w.refused++
					return
				}
				w.acts++
				w.highest = number
			})
		})
	} else if !ok {
		return
	}
	w.at(50*ms, func() { d.act(life) })
}

// trouble lets something go wrong, and be mended.
func (w *world) trouble() {
	pick := func() int { return w.chance.Below(len(w.drivers)) }
	lasts := time.Duration(math.Pow(10, 1+2.7*w.chance.Float())) * ms // 10 ms to 5 s
	d := w.drivers[pick()]
	switch w.chance.Below(9) {
	case 0, 1:
		if !d.up {
			return
		}
		how := w.chance.Below(3)
		w.note("driver %d is killed for %v, its folder is %d", d.number, lasts, how)
		d.kill()
		switch {
		case d.disk == nil:
		case how == 1:
			d.disk = make(map[string]Promise)
		case how == 2 && d.copied != nil:
			d.disk = maps.Clone(d.copied)
		}
		d.copied = maps.Clone(d.disk)
		w.at(lasts, d.start)
	case 2:
		w.note("driver %d stands still for %v", d.number, lasts)
		d.paused = w.now + lasts
	case 3, 4:
		o := w.drivers[pick()]
		oneWay := w.chance.Below(2) == 0
		w.note("%d to %d is cut for %v, one way: %v", d.number, o.number, lasts, oneWay)
		for _, road := range [][2]int{{d.number, o.number}, {o.number, d.number}} {
			if w.cut[road] = true; oneWay {
				break
			}
		}
		w.at(lasts, func() { w.cut[[2]int{d.number, o.number}], w.cut[[2]int{o.number, d.number}] = false, false })
	case 5:
		half := w.chance.Below(1 << len(w.drivers))
		w.note("a partition %b for %v", half, lasts)
		for i := range w.drivers {
			for j := range w.drivers {
				if half>>i&1 != half>>j&1 {
					w.cut[[2]int{i, j}] = true
				}
			}
		}
		w.at(lasts, func() { clear(w.cut) })
	case 6:
		w.note("messages are lost, doubled and late for %v", lasts)
		w.loss, w.double, w.slowest = 0.3, 0.3, 1500*ms
		w.at(lasts, func() { w.loss, w.double, w.slowest = 0, 0, 5*ms })
	case 7:
		if w.chance.Below(4) == 0 {
			w.note("all are killed for %v", lasts)
			for _, d := range w.drivers {
				if d.up {
					d.kill()
					w.at(lasts, d.start)
				}
			}
		}
	case 8:
		if d.up {
			w.note("driver %d gives back", d.number)
			d.soon(func() { d.asker.Leave(d.clock()) })
			w.at(lasts, func() { d.soon(func() { d.asker.Want(d.clock()) }) })
		}
	}
}

// play lets troubles come for so long, and then none: somebody has to hold again in the end.
func (w *world) play(troubles int, quiet time.Duration) {
	for range troubles {
		w.at(time.Duration(w.chance.Float()*float64(time.Duration(troubles)*time.Second)), w.trouble)
	}
	end := w.now + time.Duration(troubles)*time.Second + 6*time.Second
	w.run(end)
	w.loss, w.double, w.slowest = 0, 0, 5*ms
	clear(w.cut)
	for _, d := range w.drivers {
		d.soon(func() { d.asker.Want(d.clock()) })
	}
	w.run(end + quiet)
	for w.now < end+quiet+2*lasts { // one that stands still may have lost it this moment
		if slices.ContainsFunc(w.drivers, func(d *simulated) bool {
			if !d.up {
				return false
			}
			_, ok := d.asker.Held(d.clock())
			return ok
		}) {
			return
		}
		w.run(w.now + 20*ms)
	}
	w.breaks("%v after the last trouble nobody holds", quiet)
}

func (w *world) String() string { return strings.Join(w.course, "\n") }
