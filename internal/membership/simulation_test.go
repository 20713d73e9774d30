package membership

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
	"passtack/internal/timerqueue"
)

const (
	ms            = time.Millisecond
	probeInterval = time.Second
)

// simulation is a fleet in simulated time.
type simulation struct {
	random          *pcg.Source
	now             time.Duration
	queue           timerqueue.Queue[func()]
	hosts           []*simHost
	lossRate        float64
	duplicationRate float64
	partitioned     func(from, to int) bool             // nil if no link is cut
	record          func(from, to int, datagram []byte) // called for each datagram that is sent; may be nil

	falseDeaths    int                   // times that a running driver was declared dead
	resurrections  int                   // times that a driver that was gone for over two minutes was believed alive again
	firstDetection map[int]time.Duration // by driver that died: time until another driver first declared it dead
}

// simHost is the Host of one driver's list, and runs that list.
type simHost struct {
	sim         *simulation
	number      int
	name        string
	list        *List
	generation  int // number of starts
	up          bool
	pausedUntil time.Duration
	maxDelay    time.Duration // of each call into the list; the delay is random
	timer       *timerqueue.Item[func()]
	diedAt      time.Duration

	sentCount, sentBytes int
	receivedBytes        int // of all datagrams sent to it, also while it is down
}

func newSimulation(seed uint64, size int) *simulation {
	sim := &simulation{random: pcg.New(seed), now: time.Hour, firstDetection: make(map[int]time.Duration)}
	for i := range size {
		sim.hosts = append(sim.hosts, &simHost{sim: sim, number: i, name: fmt.Sprint("d", i)})
	}
	return sim
}

// randomDuration returns a random duration below the limit.
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Float() * float64(limit))
}

func (sim *simulation) after(delay time.Duration, action func()) {
	sim.queue.Push(sim.now+delay, action)
}

// advance runs the simulation for a duration of simulated time.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now + duration
	for {
		at, ok := sim.queue.NextDue()
		if !ok || at > end {
			sim.now = end
			return
		}
		sim.now = max(sim.now, at)
		action, _ := sim.queue.PopDue(sim.now)
		action()
	}
}

// startAll starts all drivers, at random times within the limit.
func (sim *simulation) startAll(limit time.Duration) {
	for _, h := range sim.hosts {
		sim.after(sim.randomDuration(limit), h.start)
	}
}

// resetTraffic resets the counts of messages and bytes.
func (sim *simulation) resetTraffic() {
	for _, h := range sim.hosts {
		h.sentCount, h.sentBytes, h.receivedBytes = 0, 0, 0
	}
}

// worstTraffic returns the highest rate of any driver since the given time, in bytes per second sent and received.
func (sim *simulation) worstTraffic(since time.Duration) (worst float64) {
	for _, h := range sim.hosts {
		worst = max(worst, float64(h.sentBytes+h.receivedBytes)/(sim.now-since).Seconds())
	}
	return worst
}

// disagreement returns "" if the lists of all running drivers have exactly the running drivers, in their current incarnations, as active. Otherwise
// it describes one difference.
func (sim *simulation) disagreement() string {
	for _, h := range sim.hosts {
		if !h.up {
			continue
		}
		for _, other := range sim.hosts {
			node := h.list.nodes.get(NodeIDOf(other.name))
			switch {
			case other.up && (node == nil || node.Status != Alive || node.Incarnation != other.list.self.Incarnation):
				return fmt.Sprintf("%s does not see %s as it is: %+v", h.name, other.name, node)
			case !other.up && node != nil && node.Status < Dead:
				return fmt.Sprintf("%s sees %s, which is gone: %+v", h.name, other.name, node)
			}
		}
	}
	return ""
}

// converge runs until all lists agree and returns how long that took, or -1 if it did not happen within the limit.
func (sim *simulation) converge(limit time.Duration) time.Duration {
	for start := sim.now; sim.now < start+limit; sim.advance(100 * ms) {
		if sim.disagreement() == "" {
			return sim.now - start
		}
	}
	return -1
}

// injectFault starts a random fault that lasts up to 20 seconds.
func (sim *simulation) injectFault() {
	h := sim.hosts[sim.random.Below(len(sim.hosts))]
	duration := sim.randomDuration(20 * time.Second)
	switch sim.random.Below(7) {
	case 0:
		h.kill()
		sim.after(duration, h.start)
	case 1:
		h.kill() // permanently
	case 2:
		h.pausedUntil = sim.now + duration
	case 3:
		half := sim.random.Below(1 << len(sim.hosts))
		sim.partitioned = func(from, to int) bool { return half>>from&1 != half>>to&1 }
		sim.after(duration, func() { sim.partitioned = nil })
	case 4:
		unreachable := sim.random.Below(len(sim.hosts))
		sim.partitioned = func(from, to int) bool { return from == h.number && to == unreachable }
		sim.after(duration, func() { sim.partitioned = nil })
	case 5:
		sim.lossRate, sim.duplicationRate = 0.3, 0.3
		sim.after(duration, func() { sim.lossRate, sim.duplicationRate = 0, 0 })
	case 6:
		if h.up {
			h.whenRunning(func() { h.list.Leave() })
			sim.after(20*ms, h.kill)
			sim.after(20*ms+duration, h.start)
		}
	}
}

func (h *simHost) start() {
	if !h.up {
		h.startIncarnation(uint64(h.sim.now), uint64(h.sim.random.Uint32()))
	}
}

// startIncarnation starts the driver with the given incarnation.
func (h *simHost) startIncarnation(incarnation, seed uint64) {
	h.up, h.generation = true, h.generation+1
	h.list = New(h, h.name, Config{ProbeInterval: probeInterval, Incarnation: incarnation}, seed, h.sim.now)
	h.schedule()
}

func (h *simHost) kill() {
	if h.up {
		h.up, h.diedAt = false, h.sim.now
	}
}

// whenRunning runs an action after the driver's delay, as soon as the driver is not paused, or never if the driver stops before.
func (h *simHost) whenRunning(action func()) {
	generation := h.generation
	var attempt func()
	attempt = func() {
		if !h.up || h.generation != generation {
			return
		}
		if h.sim.now < h.pausedUntil {
			h.sim.queue.Push(h.pausedUntil, attempt)
			return
		}
		action()
		h.schedule()
	}
	if h.maxDelay > 0 {
		h.sim.after(h.sim.randomDuration(h.maxDelay), attempt)
		return
	}
	attempt()
}

func (h *simHost) schedule() {
	h.sim.queue.Remove(h.timer)
	at := max(h.list.NextWake(), h.sim.now+ms)
	h.timer = h.sim.queue.Push(at, func() { h.whenRunning(func() { h.list.Wake(h.sim.now) }) })
}

func (h *simHost) PeerCount() int { return len(h.sim.hosts) }

func (h *simHost) Send(to driver.Peer, datagram []byte) {
	sim, receiver := h.sim, h.sim.hosts[to]
	h.sentCount++
	h.sentBytes += len(datagram)
	receiver.receivedBytes += len(datagram)
	if sim.record != nil {
		sim.record(h.number, int(to), datagram)
	}
	if receiver == h || sim.partitioned != nil && sim.partitioned(h.number, receiver.number) || sim.random.Float() < sim.lossRate {
		return
	}
	datagram = slices.Clone(datagram)
	for copies := 1; copies > 0; copies-- {
		if sim.random.Float() < sim.duplicationRate {
			copies++
		}
		latency := time.Duration((0.2 + sim.random.Float()) * float64(ms))
		sim.after(latency, func() {
			receiver.whenRunning(func() { receiver.list.Receive(driver.Peer(h.number), datagram, sim.now) })
		})
	}
}

func (h *simHost) StatusChanged(e Entry, _ string) {
	sim := h.sim
	number, _ := strconv.Atoi(e.Name[1:])
	subject := sim.hosts[number]
	switch {
	case e.Status == Dead && subject.up && subject.list != nil && subject.list.self.Incarnation == e.Incarnation && sim.now >= subject.pausedUntil:
		sim.falseDeaths++
	case e.Status == Dead && !subject.up:
		if _, known := sim.firstDetection[number]; !known {
			sim.firstDetection[number] = sim.now - subject.diedAt
		}
	case e.Status == Alive && !subject.up && sim.now-subject.diedAt > 2*time.Minute:
		sim.resurrections++
	}
}

// capturingHost stores the latest datagram instead of sending it.
type capturingHost struct {
	*simHost
	datagram *[]byte
}

func (c *capturingHost) Send(_ driver.Peer, datagram []byte) { *c.datagram = datagram }
