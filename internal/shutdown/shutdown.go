// Package shutdown decides the course of a planned stop: how long new connections are accepted, when connections are ended
// between requests, when requests are refused without being forwarded, and the last moment for an answer. It does no I/O;
// all times come in as arguments.
package shutdown

import "time"

// What whoever stops a driver promises, and what the driver itself may lose of it.
const (
	longestCounted = 3 * time.Second        // a longer deadline gives the driver no more time
	killAfter      = 700 * time.Millisecond // SIGKILL comes no sooner than the longest deadline and this after SIGTERM was sent
	newcomers      = 700 * time.Millisecond // new connections may come for so long after SIGTERM

	holdUp   = 150 * time.Millisecond // the driver may be held up for so long between reading its clock and writing
	delivery = 100 * time.Millisecond // a signal, a turn of the event loop and the end of a connection may take so long
	tooShort = 100 * time.Millisecond // a request that has less time left is refused, not forwarded
)

// Phase is a part of a planned stop. Each begins when the one before it ends.
type Phase uint8

const (
	// Accepting serves on, new connections too.
	Accepting Phase = iota
	// Serving takes no new connections and serves those that are open.
	Serving
	// Closing serves on and ends each connection that has no request under way.
	Closing
	// Refusing waits for the answers of what is under way and refuses whatever else is read.
	Refusing
	// Over has answered all. Connections are ended without reading on.
	Over
)

var phaseNames = [...]string{"accepting", "serving", "closing", "refusing", "over"}

// String gives the phase as logs have it.
func (p Phase) String() string { return phaseNames[p] }

// Plan is the course of one planned stop.
type Plan struct {
	begins [Over + 1]time.Duration
}

// New plans a stop. The signal was heard at one time and sent no earlier than at another; longest is the longest deadline of
// any request. SIGKILL is counted from the earliest moment at which the signal can have been sent.
func New(sent, heard, longest time.Duration) Plan {
	longest = min(longest, longestCounted)
	kill := sent + longest + killAfter
	over := kill - holdUp - delivery
	refusing := over - tooShort
	closing := min(sent+killAfter+longest/2, refusing-tooShort)
	return Plan{[...]time.Duration{
		Accepting: sent,
		Serving:   min(heard+newcomers, closing),
		Closing:   closing,
		Refusing:  refusing,
		Over:      over,
	}}
}

// Phase tells which part of the stop a time belongs to.
func (p *Plan) Phase(now time.Duration) Phase {
	phase := Accepting
	for phase < Over && now >= p.begins[phase+1] {
		phase++
	}
	return phase
}

// Next tells when the phase after this one begins. None comes after Over.
func (p *Plan) Next(now time.Duration) (at time.Duration, ok bool) {
	phase := p.Phase(now)
	if phase == Over {
		return 0, false
	}
	return p.begins[phase+1], true
}

// MayForward tells whether a request that is read now may still go to a member.
func (p *Plan) MayForward(now time.Duration) bool { return p.Phase(now) < Refusing }

// Until bounds the time by which a request has its answer.
func (p *Plan) Until(until time.Duration) time.Duration { return min(until, p.begins[Over]) }
