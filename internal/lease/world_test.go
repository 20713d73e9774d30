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
type simulation struct {
	random  *pcg.Source
	now     time.Duration // that no driver knows
	queue   due.Queue[func()]
	drivers []*simulatedDriver
	loss    float64
	duplication  float64
	maxDelay time.Duration // that a message takes
	disconnected     map[[2]int]bool
	highestAcquired  uint64 // highest number that anybody held
	acquisitions   int
	actions    int
	fenced int
	highestObserved uint64 // that the witness saw
	violations  []string
	totalHeld    time.Duration // that somebody held
	totalHeldAt  time.Duration
	driftUnbounded bool // clocks are beyond the bound: only the numbers hold
	trace  []string
}

type simulatedDriver struct {
	simulation   *simulation
	number  int
	name    Node
	incarnation    uint64
	clockRate    float64 // of its clock
	clockOffset  time.Duration
	wallClockError   time.Duration // by which its time of day is wrong
	running      bool
	pausedUntil  time.Duration
	voter   *Voter
	candidate   *Candidate
	storage    map[string]Promise // nil: it has none
	olderStorage  map[string]Promise
	heldUntil time.Duration
	wakeItem     *due.Item[func()]
	heldSince   time.Duration
	voters     VoterSet
}

const simulatedTTL = 2 * time.Second

func newSimulation(seed uint64, drivers int, voters VoterSet, withStorage bool) *simulation {
	w := &simulation{random: pcg.New(seed), now: time.Hour, disconnected: make(map[[2]int]bool), maxDelay: 5 * ms}
	for i := range drivers {
		d := &simulatedDriver{simulation: w, number: i, name: Node(i + 1), clockRate: 1 + (w.random.Float()-0.5)/100, clockOffset: time.Duration(w.random.Float() * float64(time.Hour)), voters: voters}
		if withStorage {
			d.storage = make(map[string]Promise)
		}
		w.drivers = append(w.drivers, d)
		w.after(time.Duration(w.random.Float()*float64(100*ms)), d.start)
	}
	return w
}

func (w *simulation) after(delay time.Duration, action func()) { w.queue.Push(w.now+delay, action) }

func (w *simulation) run(until time.Duration) {
	for {
		at, ok := w.queue.First()
		if !ok || at > until {
			w.now = until
			return
		}
		w.now = max(w.now, at)
		action, _ := w.queue.Pop(w.now)
		action()
	}
}

func (w *simulation) note(format string, args ...any) {
	if len(w.trace) < 400 {
		w.trace = append(w.trace, fmt.Sprintf("%9.3f ", (w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
	w.note("%s", w.violations[len(w.violations)-1])
}

func (d *simulatedDriver) clock() time.Duration {
	return d.clockOffset + time.Duration(float64(d.simulation.now)*d.clockRate)
}

// truly is when its clock will show that.
func (d *simulatedDriver) simulationTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-d.clockOffset) / d.clockRate)
}

func (d *simulatedDriver) start() {
	d.running, d.incarnation = true, d.incarnation+1
	d.voter = NewVoter(d, d.name, d.voters, simulatedTTL, maps.Clone(d.storage), d.clock())
	d.candidate = NewCandidate(d, Holder{d.name, d.incarnation}, "x", simulatedTTL, d.voters, uint64(d.simulation.random.Uint32()))
	d.candidate.Campaign(d.clock())
	d.schedule()
}

func (d *simulatedDriver) kill() {
	d.endHold()
	d.running, d.voter, d.candidate = false, nil, nil
}

// soon lets the driver do something, once it is not stopped any more.
func (d *simulatedDriver) whenRunning(action func()) {
	incarnation := d.incarnation
	var attempt func()
	attempt = func() {
		if !d.running || d.incarnation != incarnation {
			return
		}
		if d.simulation.now < d.pausedUntil {
			d.simulation.queue.Push(d.pausedUntil, attempt)
			return
		}
		action()
		d.schedule()
	}
	attempt()
}

func (d *simulatedDriver) schedule() {
	d.checkExclusion()
	d.simulation.queue.Remove(d.wakeItem)
	if at, ok := d.candidate.NextWake(); ok {
		d.wakeItem = d.simulation.queue.Push(max(d.simulationTime(at), d.simulation.now)+time.Nanosecond, func() {
			d.whenRunning(func() { d.candidate.Wake(d.clock(), d.wallClock()) })
		})
	}
}

func (d *simulatedDriver) wallClock() uint64 { return uint64((d.simulation.now + d.wallClockError) / ms) }

func (d *simulatedDriver) Send(to Node, m Message) {
	w, receiver := d.simulation, d.simulation.drivers[int(to)-1]
	if w.disconnected[[2]int{d.number, receiver.number}] || receiver != d && w.random.Float() < w.loss {
		return
	}
	encoded := AppendMessage(nil, m)
	deliver := func() {
		receiver.whenRunning(func() {
			if m, ok := ParseMessage(encoded); !ok {
				w.violate("a message cannot be read: %x", encoded)
			} else if m.Op == Request || m.Op == Release {
				receiver.voter.Receive(d.name, m, receiver.clock())
			} else {
				receiver.candidate.Receive(d.name, m, receiver.clock())
			}
		})
	}
	for times := 1; times > 0; times-- {
		if receiver != d && w.random.Float() < w.duplication {
			times++
		}
		w.after(time.Duration(w.random.Float()*float64(w.maxDelay)), deliver)
	}
}

func (d *simulatedDriver) Persist(lease string, p Promise, done func(error)) {
	if d.storage == nil {
		done(nil)
		return
	}
	d.simulation.after(time.Duration(d.simulation.random.Float()*float64(10*ms)), func() {
		incarnation := d.incarnation
		if d.running {
			d.storage[lease] = p
			d.whenRunning(func() {
				if d.incarnation == incarnation {
					done(nil)
				}
			})
		}
	})
}

func (d *simulatedDriver) Acquired(_ string, number uint64) {
	w := d.simulation
	w.acquisitions++
	w.note("driver %d holds under %d", d.number, number)
	if number <= w.highestAcquired {
		w.violate("driver %d holds under %d, %d was held before", d.number, number, w.highestAcquired)
	}
	w.highestAcquired = max(w.highestAcquired, number)
	d.heldSince = w.now
	d.performAction(d.incarnation)
}

func (d *simulatedDriver) Lost(_ string, number uint64) { d.endHold() }

// ends notes that a hold is over.
func (d *simulatedDriver) endHold() {
	if d.heldSince != 0 {
		d.simulation.totalHeld += min(d.simulation.now, d.heldUntil) - d.heldSince
		d.heldSince, d.heldUntil = 0, 0
	}
}

// look compares what all believe: the guard of no two may say yes at one moment.
func (d *simulatedDriver) checkExclusion() {
	w := d.simulation
	if _, ok := d.candidate.Held(d.clock()); !ok {
		return
	}
	d.heldUntil = d.simulationTime(d.candidate.expiresAt)
	for _, other := range w.drivers {
		if other == d || !other.running || other.heldSince == 0 || w.driftUnbounded {
			continue
		}
		if _, ok := other.candidate.Held(other.clock()); ok {
			w.violate("drivers %d and %d hold at once", d.number, other.number)
		}
	}
}

// act does something that others see, a moment after the guard was asked; the driver may be stopped between.
func (d *simulatedDriver) performAction(incarnation uint64) {
	w := d.simulation
	if !d.running || d.incarnation != incarnation {
		return
	}
	if number, ok := d.candidate.Held(d.clock()); ok && w.now >= d.pausedUntil {
		if w.random.Below(200) == 0 { // stopped between the question and the act
			d.pausedUntil = w.now + time.Duration(w.random.Float()*float64(3*simulatedTTL))
		}
		w.after(time.Duration(w.random.Float()*float64(3*ms)), func() {
			d.whenRunning(func() {
				if number < w.highestObserved {
					w.fenced++
					return
				}
				w.actions++
				w.highestObserved = number
			})
		})
	} else if !ok {
		return
	}
	w.after(50*ms, func() { d.performAction(incarnation) })
}

// trouble lets something go wrong, and be mended.
func (w *simulation) injectFault() {
	pick := func() int { return w.random.Below(len(w.drivers)) }
	duration := time.Duration(math.Pow(10, 1+2.7*w.random.Float())) * ms // 10 ms to 5 s
	d := w.drivers[pick()]
	switch w.random.Below(9) {
	case 0, 1:
		if !d.running {
			return
		}
		storageFate := w.random.Below(3)
		w.note("driver %d is killed for %v, its folder is %d", d.number, duration, storageFate)
		d.kill()
		switch {
		case d.storage == nil:
		case storageFate == 1:
			d.storage = make(map[string]Promise)
		case storageFate == 2 && d.olderStorage != nil:
			d.storage = maps.Clone(d.olderStorage)
		}
		d.olderStorage = maps.Clone(d.storage)
		w.after(duration, d.start)
	case 2:
		w.note("driver %d stands still for %v", d.number, duration)
		d.pausedUntil = w.now + duration
	case 3, 4:
		other := w.drivers[pick()]
		oneWay := w.random.Below(2) == 0
		w.note("%d to %d is cut for %v, one way: %v", d.number, other.number, duration, oneWay)
		for _, link := range [][2]int{{d.number, other.number}, {other.number, d.number}} {
			if w.disconnected[link] = true; oneWay {
				break
			}
		}
		w.after(duration, func() { w.disconnected[[2]int{d.number, other.number}], w.disconnected[[2]int{other.number, d.number}] = false, false })
	case 5:
		island := w.random.Below(1 << len(w.drivers))
		w.note("a partition %b for %v", island, duration)
		for i := range w.drivers {
			for j := range w.drivers {
				if island>>i&1 != island>>j&1 {
					w.disconnected[[2]int{i, j}] = true
				}
			}
		}
		w.after(duration, func() { clear(w.disconnected) })
	case 6:
		w.note("messages are lost, doubled and late for %v", duration)
		w.loss, w.duplication, w.maxDelay = 0.3, 0.3, 1500*ms
		w.after(duration, func() { w.loss, w.duplication, w.maxDelay = 0, 0, 5*ms })
	case 7:
		if w.random.Below(4) == 0 {
			w.note("all are killed for %v", duration)
			for _, d := range w.drivers {
				if d.running {
					d.kill()
					w.after(duration, d.start)
				}
			}
		}
	case 8:
		if d.running {
			w.note("driver %d gives back", d.number)
			d.whenRunning(func() { d.candidate.Resign(d.clock()) })
			w.after(duration, func() { d.whenRunning(func() { d.candidate.Campaign(d.clock()) }) })
		}
	}
}

// play lets troubles come for so long, and then none: somebody has to hold again in the end.
func (w *simulation) runWithFaults(faults int, quiet time.Duration) {
	for range faults {
		w.after(time.Duration(w.random.Float()*float64(time.Duration(faults)*time.Second)), w.injectFault)
	}
	end := w.now + time.Duration(faults)*time.Second + 6*time.Second
	w.run(end)
	w.loss, w.duplication, w.maxDelay = 0, 0, 5*ms
	clear(w.disconnected)
	for _, d := range w.drivers {
		d.whenRunning(func() { d.candidate.Campaign(d.clock()) })
	}
	w.run(end + quiet)
	for w.now < end+quiet+2*simulatedTTL { // one that stands still may have lost it this moment
		if slices.ContainsFunc(w.drivers, func(d *simulatedDriver) bool {
			if !d.running {
				return false
			}
			_, ok := d.candidate.Held(d.clock())
			return ok
		}) {
			return
		}
		w.run(w.now + 20*ms)
	}
	w.violate("%v after the last trouble nobody holds", quiet)
}

func (w *simulation) String() string { return strings.Join(w.trace, "\n") }
