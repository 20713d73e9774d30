// Package shutdown plans a graceful shutdown: for how long new connections are accepted, when connections are closed between
// two requests, when requests are rejected without being forwarded, and the last moment for an answer. It does no I/O and
// reads no clock: all times are arguments.
package shutdown

import "time"

// What the platform promises when it stops a driver.
const (
	maxCountedDeadline = 3 * time.Second        // a request's longer deadline gives the driver no more time
	killMargin         = 700 * time.Millisecond // SIGKILL comes no sooner than the longest deadline and this after SIGTERM was sent
	acceptDuration     = 700 * time.Millisecond // for which new connections may come after SIGTERM
)

// What the driver may lose of that time itself.
const (
	maxStall       = 150 * time.Millisecond // between reading the clock and writing
	deliveryMargin = 100 * time.Millisecond // for a signal, an iteration of the event loop and the end of a connection
	minTimeLeft    = 100 * time.Millisecond // a request that has less is rejected, not forwarded
)

// Phase is a part of a graceful shutdown. Each begins when the one before it ends.
type Phase uint8

const (
	// Accepting serves as before, new connections too.
	Accepting Phase = iota
	// Serving accepts no new connections and serves those that are open.
	Serving
	// Closing serves on, and closes each connection that has no request in flight.
	Closing
	// Rejecting waits for the answers of requests in flight and rejects those that are read.
	Rejecting
	// Finished has answered all requests. Connections are closed without reading on.
	Finished
)

// phaseNames are as logs have them.
var phaseNames = [...]string{"accepting", "serving", "closing", "refusing", "over"}

// String returns the name of the phase, as operators see it.
func (p Phase) String() string { return phaseNames[p] }

// Plan is when each phase of one shutdown begins.
type Plan struct {
	begins [Finished + 1]time.Duration
}

// New plans a shutdown whose signal was received at one time and sent at sentAt at the earliest: SIGKILL is counted from
// there. maxDeadline is the longest deadline of a request.
func New(sentAt, receivedAt, maxDeadline time.Duration) Plan {
	maxDeadline = min(maxDeadline, maxCountedDeadline)
	kill := sentAt + maxDeadline + killMargin
	finished := kill - maxStall - deliveryMargin
	rejecting := finished - minTimeLeft
	closing := min(sentAt+killMargin+maxDeadline/2, rejecting-minTimeLeft)
	return Plan{[...]time.Duration{
		Accepting: sentAt,
		Serving:   min(receivedAt+acceptDuration, closing),
		Closing:   closing,
		Rejecting: rejecting,
		Finished:  finished,
	}}
}

// Phase returns the phase at a time.
func (p *Plan) Phase(now time.Duration) Phase {
	phase := Accepting
	for phase < Finished && now >= p.begins[phase+1] {
		phase++
	}
	return phase
}

// Next returns when the next phase begins. There is none after Finished.
func (p *Plan) Next(now time.Duration) (at time.Duration, ok bool) {
	phase := p.Phase(now)
	if phase == Finished {
		return 0, false
	}
	return p.begins[phase+1], true
}

// Forwards reports whether a request that is read now may still be sent to a member.
func (p *Plan) Forwards(now time.Duration) bool { return p.Phase(now) < Rejecting }

// BoundDeadline limits the deadline of a request to the end of the shutdown.
func (p *Plan) BoundDeadline(deadline time.Duration) time.Duration {
	return min(deadline, p.begins[Finished])
}
