package sim

import (
	"time"

	"passtack/internal/due"
	"passtack/internal/loop"
)

// firstFD is the first descriptor that a host opens. A new process has three open.
const firstFD = 3

// defaultCost is the IterationTime of a new host.
const defaultCost = 20 * time.Microsecond

// Hosts returns the hosts in the order in which they were added.
func (w *World) Hosts() []*Host { return w.hosts }

// AddHost adds a host.
func (w *World) AddHost(name string) *Host {
	h := &Host{
		Name:          name,
		world:         w,
		number:        len(w.hosts),
		sockets:       make(map[int]*socket),
		nextFD:        firstFD,
		IterationTime: defaultCost,
	}
	w.hosts = append(w.hosts, h)
	return h
}

// Host is one machine that runs one program on a loop. It implements loop.System.
type Host struct {
	Name          string
	IterationTime time.Duration // duration of each iteration of the loop, during which the host does nothing else
	Iterations    int           // number of iterations so far
	ClockOffset   time.Duration // offset of the host's clock from the world's; set it before the loop is made

	world       *World
	number      int
	wakeup      *due.Item[*Host] // in World.wakeups; nil while the host is idle or runs
	stale       bool             // the host is in World.stale
	loop        *loop.Loop       // nil while no program runs
	onWake      func()
	wakePending bool // Wake was called
	sockets     map[int]*socket
	nextFD      int
	active      []*socket     // that may be ready, in the order in which they became so
	busyUntil   time.Duration // end of the current iteration
	pausedUntil time.Duration
	down        bool
}

// Serve runs the iterations of a loop that was made on this host. It calls onWake after each Wake.
func (h *Host) Serve(l *loop.Loop, onWake func()) {
	h.loop, h.onWake = l, onWake
	h.touch()
}

// Post runs callback in the next iteration of the host's loop. It does nothing if no program runs.
func (h *Host) Post(callback func()) {
	if h.loop != nil {
		h.loop.At(h.world.now+h.ClockOffset, callback)
		h.touch()
	}
}

// Pause suspends the program until the given time. The host continues to receive.
func (h *Host) Pause(until time.Duration) {
	h.pausedUntil = max(h.pausedUntil, until)
	h.touch()
}

// Kill ends the program at once. Its connections are reset and new ones refused.
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

// Start makes the host ready for another program after Kill.
func (h *Host) Start() { h.down = false }

// touch notes that the time of the next iteration may have changed.
func (h *Host) touch() {
	if w := h.world; len(w.touched) == 0 || w.touched[len(w.touched)-1] != h {
		w.touched = append(w.touched, h)
	}
}

// nextWakeup returns the time of the next iteration; ok is false if nothing is pending.
func (h *Host) nextWakeup() (at time.Duration, ok bool) {
	if h.loop == nil || h.loop.Stopped() {
		return 0, false
	}
	if h.wakePending || h.anyReady() {
		at, ok = h.world.now, true
	} else if at, ok = h.loop.NextTimer(); !ok {
		return 0, false
	} else {
		at -= h.ClockOffset
	}
	return max(at, h.busyUntil, h.pausedUntil), true
}

// anyReady reports whether a socket is ready.
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
	if at, ok := h.nextWakeup(); !ok || at > h.world.now {
		return
	}
	h.busyUntil = h.world.now + h.IterationTime
	h.Iterations++
	h.loop.RunOnce(0, h.onWake)
}
