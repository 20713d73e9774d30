package lease

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"passtack/internal/pcg"
	"passtack/internal/timerqueue"
)

const ms = time.Millisecond

// simulation runs drivers that are voters and candidates in simulated time, with faults. Each driver has its own clock.
type simulation struct {
	random          *pcg.Source
	now             time.Duration // true time, which drivers cannot read
	queue           timerqueue.Queue[func()]
	drivers         []*simulatedDriver
	loss            float64
	duplication     float64
	maxDelay        time.Duration // longest delay of a message; the delay is random
	disconnected    map[[2]int]bool
	highestAcquired uint64 // highest fencing token that any driver has held
	acquisitions    int
	actions         int    // number of accepted actions
	fenced          int    // number of actions rejected because of their fencing token
	highestObserved uint64 // highest fencing token of an accepted action
	violations      []string
	driftUnbounded  bool // clocks drift beyond the bound: only fencing tokens are checked
	trace           []string
}

type simulatedDriver struct {
	simulation     *simulation
	number         int
	name           Node
	incarnation    uint64
	clockRate      float64
	clockOffset    time.Duration
	wallClockError time.Duration
	running        bool
	pausedUntil    time.Duration
	voter          *Voter
	candidate      *Candidate
	storage        map[string]Promise // nil if the driver stores nothing
	olderStorage   map[string]Promise // copy from an earlier stop
	wakeItem       *timerqueue.Item[func()]
	heldSince      time.Duration
	voters         VoterSet
}

const simulatedTTL = 2 * time.Second

func newSimulation(seed uint64, drivers int, voters VoterSet, withStorage bool) *simulation {
	s := &simulation{random: pcg.New(seed), now: time.Hour, disconnected: make(map[[2]int]bool), maxDelay: 5 * ms}
	for i := range drivers {
		d := &simulatedDriver{simulation: s, number: i, name: Node(i + 1), clockRate: 1 + (s.random.Float()-0.5)/100, clockOffset: time.Duration(s.random.Float() * float64(time.Hour)), voters: voters}
		if withStorage {
			d.storage = make(map[string]Promise)
		}
		s.drivers = append(s.drivers, d)
		s.after(time.Duration(s.random.Float()*float64(100*ms)), d.start)
	}
	return s
}

func (s *simulation) after(delay time.Duration, action func()) { s.queue.Push(s.now+delay, action) }

func (s *simulation) run(until time.Duration) {
	for {
		at, ok := s.queue.NextDue()
		if !ok || at > until {
			s.now = until
			return
		}
		s.now = max(s.now, at)
		action, _ := s.queue.PopDue(s.now)
		action()
	}
}

func (s *simulation) recordEvent(format string, args ...any) {
	if len(s.trace) < 400 {
		s.trace = append(s.trace, fmt.Sprintf("%9.3f ", (s.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
	s.recordEvent("%s", s.violations[len(s.violations)-1])
}

func (d *simulatedDriver) clock() time.Duration {
	return d.clockOffset + time.Duration(float64(d.simulation.now)*d.clockRate)
}

// simulationTime returns the simulated time at which the driver's clock reads local.
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
	d.heldSince = 0
	d.running, d.voter, d.candidate = false, nil, nil
}

// whenRunning runs an action as soon as the driver is not paused, or never if the driver is killed before.
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

func (d *simulatedDriver) wallClock() uint64 {
	return uint64((d.simulation.now + d.wallClockError) / ms)
}

func (d *simulatedDriver) Send(to Node, m Message) {
	s, receiver := d.simulation, d.simulation.drivers[int(to)-1]
	if s.disconnected[[2]int{d.number, receiver.number}] || receiver != d && s.random.Float() < s.loss {
		return
	}
	encoded := AppendMessage(nil, m)
	deliver := func() {
		receiver.whenRunning(func() {
			if m, ok := ParseMessage(encoded); !ok {
				s.recordViolation("a sent message cannot be decoded: %x", encoded)
			} else if m.Op == Request || m.Op == Release {
				receiver.voter.Receive(d.name, m, receiver.clock())
			} else {
				receiver.candidate.Receive(d.name, m, receiver.clock())
			}
		})
	}
	for times := 1; times > 0; times-- {
		if receiver != d && s.random.Float() < s.duplication {
			times++
		}
		s.after(time.Duration(s.random.Float()*float64(s.maxDelay)), deliver)
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

func (d *simulatedDriver) Acquired(_ string, fencingToken uint64) {
	s := d.simulation
	s.acquisitions++
	s.recordEvent("driver %d acquired the lease with token %d", d.number, fencingToken)
	if fencingToken <= s.highestAcquired {
		s.recordViolation("driver %d acquired the lease with token %d after %d", d.number, fencingToken, s.highestAcquired)
	}
	s.highestAcquired = max(s.highestAcquired, fencingToken)
	d.heldSince = s.now
	d.performAction(d.incarnation)
}

func (d *simulatedDriver) Lost(string, uint64) { d.heldSince = 0 }

// checkExclusion records a violation if this driver and another hold the lease at the same time.
func (d *simulatedDriver) checkExclusion() {
	s := d.simulation
	if _, ok := d.candidate.Held(d.clock()); !ok {
		return
	}
	for _, other := range s.drivers {
		if other == d || !other.running || other.heldSince == 0 || s.driftUnbounded {
			continue
		}
		if _, ok := other.candidate.Held(other.clock()); ok {
			s.recordViolation("drivers %d and %d hold the lease at the same time", d.number, other.number)
		}
	}
}

// performAction performs an action that needs the lease, shortly after checking that the driver holds it, and schedules the next one. The
// driver may be paused between the check and the action.
func (d *simulatedDriver) performAction(incarnation uint64) {
	s := d.simulation
	if !d.running || d.incarnation != incarnation {
		return
	}
	if fencingToken, ok := d.candidate.Held(d.clock()); ok && s.now >= d.pausedUntil {
		if s.random.Below(200) == 0 { // paused between the check and the action
			d.pausedUntil = s.now + time.Duration(s.random.Float()*float64(3*simulatedTTL))
		}
		s.after(time.Duration(s.random.Float()*float64(3*ms)), func() {
			d.whenRunning(func() {
				if fencingToken < s.highestObserved {
					s.fenced++
					return
				}
				s.actions++
				s.highestObserved = fencingToken
			})
		})
	} else if !ok {
		return
	}
	s.after(50*ms, func() { d.performAction(incarnation) })
}

func (s *simulation) String() string { return strings.Join(s.trace, "\n") }

// beforeEachStep runs an action on all running drivers, every half millisecond.
func (s *simulation) beforeEachStep(action func(*simulatedDriver)) {
	var step func()
	step = func() {
		for _, d := range s.drivers {
			if d.running {
				action(d)
			}
		}
		s.after(ms/2, step)
	}
	s.after(0, step)
}

// holder returns the driver that holds the lease, or nil if none does.
func (s *simulation) holder() *simulatedDriver {
	for _, d := range s.drivers {
		if d.running {
			if _, ok := d.candidate.Held(d.clock()); ok {
				return d
			}
		}
	}
	return nil
}
