package sim

import (
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/timerqueue"
)

// firstFD is the number of the first descriptor that a program opens. A new process starts with three open descriptors.
const firstFD = 3

// defaultIterationTime is the initial IterationTime of a host.
const defaultIterationTime = 20 * time.Microsecond

// Hosts returns the hosts in the order in which they were added.
func (w *World) Hosts() []*Host { return w.hosts }

// AddHost adds a host to the world and returns it.
func (w *World) AddHost(name string) *Host {
	h := &Host{
		Name:          name,
		world:         w,
		number:        len(w.hosts),
		sockets:       make(map[int]*socket),
		nextFD:        firstFD,
		IterationTime: defaultIterationTime,
	}
	w.hosts = append(w.hosts, h)
	return h
}

// Host is a simulated machine that runs one program on a loop. It implements eventloop.System.
type Host struct {
	Name          string
	IterationTime time.Duration // duration of each iteration of the loop, during which the host does nothing else
	Iterations    int           // number of iterations so far
	ClockOffset   time.Duration // offset of the host's clock from the world's; set it before the loop is made

	world       *World
	number      int
	wakeup      *timerqueue.Item[*Host] // item in World.wakeups; nil while the host is idle or runs
	stale       bool                    // the host is in World.stale
	loop        *eventloop.Loop         // nil while no program runs
	onWake      func()
	wakePending bool // Wake was called
	sockets     map[int]*socket
	nextFD      int
	active      []*socket     // sockets that may be ready, in the order in which they became active
	busyUntil   time.Duration // end of the current iteration
	pausedUntil time.Duration
	down        bool
}

// Serve makes the simulation run the iterations of a loop that was created on this host. onWake is called after each Wake.
func (h *Host) Serve(l *eventloop.Loop, onWake func()) {
	h.loop, h.onWake = l, onWake
	h.touch()
}

// Post schedules callback for the next iteration of the host's loop. It does nothing if no program runs.
func (h *Host) Post(callback func()) {
	if h.loop != nil {
		h.loop.At(h.world.now+h.ClockOffset, callback)
		h.touch()
	}
}

// Pause suspends the program until the given time. The host still receives segments and datagrams meanwhile.
func (h *Host) Pause(until time.Duration) {
	h.pausedUntil = max(h.pausedUntil, until)
	h.touch()
}

// Kill ends the program immediately. Its connections are reset and new ones are refused.
func (h *Host) Kill() {
	h.down, h.loop = true, nil
	h.touch()
	for fd := firstFD; fd < h.nextFD; fd++ {
		if s := h.sockets[fd]; s != nil {
			s.resetPeers()
			h.Close(fd)
		}
	}
	h.active = nil
}

// Start makes the host ready to run another program after Kill.
func (h *Host) Start() { h.down = false }

// touch records that the time of the host's next iteration may have changed.
func (h *Host) touch() {
	if w := h.world; len(w.touched) == 0 || w.touched[len(w.touched)-1] != h {
		w.touched = append(w.touched, h)
	}
}

// nextWakeup returns the time of the next iteration. ok is false if the loop has nothing to do.
func (h *Host) nextWakeup() (wakeAt time.Duration, ok bool) {
	if h.loop == nil || h.loop.Stopped() {
		return 0, false
	}
	if h.wakePending || h.anyReady() {
		wakeAt, ok = h.world.now, true
	} else if wakeAt, ok = h.loop.NextTimer(); !ok {
		return 0, false
	} else {
		wakeAt -= h.ClockOffset
	}
	return max(wakeAt, h.busyUntil, h.pausedUntil), true
}

// anyReady reports whether any socket of the host is ready.
func (h *Host) anyReady() bool {
	for _, s := range h.active {
		if s.readyEvents() != 0 {
			return true
		}
	}
	return false
}

// runIteration runs one iteration of the loop if it is due.
func (h *Host) runIteration() {
	if wakeAt, ok := h.nextWakeup(); !ok || wakeAt > h.world.now {
		return
	}
	h.busyUntil = h.world.now + h.IterationTime
	h.Iterations++
	h.loop.RunOnce(0, h.onWake)
}
