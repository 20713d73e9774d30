// Package shutdown plans a graceful shutdown: how long new connections are accepted, from when connections are closed between two
// requests, from when requests are rejected instead of forwarded, and when the last answer must be sent. It does no I/O and reads no
// clock: all times are arguments.
package shutdown

import "time"

// Guarantees of the platform when it stops a driver.
const (
	maxCountedDeadline = 3 * time.Second        // a longer deadline of a request gives the driver no additional time
	killMargin         = 700 * time.Millisecond // SIGKILL follows SIGTERM after no less than the longest deadline plus this
	acceptDuration     = 700 * time.Millisecond // after SIGTERM, during which new connections may arrive
)

// Parts of that time that the driver itself may lose.
const (
	maxStall       = 150 * time.Millisecond // between reading the clock and writing an answer
	deliveryMargin = 100 * time.Millisecond // for delivering a signal, an iteration of the event loop and closing a connection
	minTimeLeft    = 100 * time.Millisecond // a request with less time left is rejected instead of forwarded
)

// Phase is a phase of a graceful shutdown. Each phase starts when the previous one ends.
type Phase uint8

const (
	// Accepting serves normally and accepts new connections.
	Accepting Phase = iota
	// Serving accepts no new connections and serves the open ones.
	Serving
	// Closing serves the open connections and closes each that has no request in flight.
	Closing
	// Rejecting waits for the answers to requests in flight and rejects further requests.
	Rejecting
	// Finished has answered all requests and closes the connections without reading from them.
	Finished
)

// phaseNames are the names of the phases in logs.
var phaseNames = [...]string{"accepting", "serving", "closing", "refusing", "over"}

// String returns the name of the phase in logs.
func (p Phase) String() string { return phaseNames[p] }

// Plan holds the start of each phase of a shutdown.
type Plan struct {
	phaseStarts [Finished + 1]time.Duration
}

// New plans a shutdown. sentAt is the earliest time at which SIGTERM can have been sent, from which the time until SIGKILL is counted;
// receivedAt is when it was received. maxDeadline is the longest deadline of a request.
func New(sentAt, receivedAt, maxDeadline time.Duration) Plan {
	maxDeadline = min(maxDeadline, maxCountedDeadline)
	killAt := sentAt + maxDeadline + killMargin
	finished := killAt - maxStall - deliveryMargin
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

// Phase returns the phase at the time now.
func (p *Plan) Phase(now time.Duration) Phase {
	phase := Accepting
	for phase < Finished && now >= p.phaseStarts[phase+1] {
		phase++
	}
	return phase
}

// Next returns when the next phase starts. ok is false in Finished, the last phase.
func (p *Plan) Next(now time.Duration) (at time.Duration, ok bool) {
	phase := p.Phase(now)
	if phase == Finished {
		return 0, false
	}
	return p.phaseStarts[phase+1], true
}

// Forwards reports whether a request that is read now may be sent to a member.
func (p *Plan) Forwards(now time.Duration) bool { return p.Phase(now) < Rejecting }

// BoundDeadline limits the deadline of a request to the end of the shutdown.
func (p *Plan) BoundDeadline(deadline time.Duration) time.Duration {
	return min(deadline, p.phaseStarts[Finished])
}
