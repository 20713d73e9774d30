package rules

import (
	"fmt"
	"math"
	"time"

	"passtack/driver"
)

const (
	silence     = 4                      // usual latencies without any answer make a busy member suspect
	memory      = 0.25                   // weight of the newest of a member's connections
	failing     = 0.65                   // part of the connections that fail at a member that is down
	askAgain    = 200 * time.Millisecond // before a member that failed, said replica or is unheard of is asked
	lastPause   = 2 * time.Second        // between trickles to a member set aside, which double up to this
	trusted     = 16                     // a trickle that has doubled past this is no longer held back
	probePart   = 0.25                   // probes for each RPC taken
	probeCredit = 20.0                   // probes that may be saved up, and sent at the start
)

// learn keeps the member's latencies and health.
func (r *Router) learn(q *rpc, c *attempt, how driver.Outcome, lost bool, took, now time.Duration) {
	m := c.to
	switch how {
	case driver.OK:
		// What others overtook by far was probably lost on its way back: it is neither slow nor held any more.
		r.overtaken(m, c.sent, now)
		r.latency(q.method, m, took)
		m.depth += smoothing * (float64(c.depth) - m.depth)
		m.heard, m.missed, m.fails, m.pause = now, false, m.fails*(1-memory), askAgain
		if work := q.method.usual.Seconds(); r.cold(m, now) {
			m.shown, m.shownAt = r.recent(m.shown, now-m.shownAt)+work, now
		} else {
			m.load, m.loadAt = r.loadOf(m, now)+work, now
		}
		if m.trickle > 0 { // one more for each that goes well doubles it each time around
			if m.trickle++; m.trickle > trusted || c.sent < m.asideAt {
				m.trickle = 0 // what it held is answered after all: it had only paused
			}
		}
	case driver.Miss, driver.Full:
		m.heard = now
	case driver.Failed, driver.Broken, driver.NoConnection:
		// Now and then it is the network's doing, or the RPC's, which then fails elsewhere too; quick errors draw
		// RPCs. Where most members fail it is the fault of none, and a trickle for each would make it worse.
		if m.fails += memory / float64(len(q.calls)) * (1 - m.fails); m.fails > failing && r.failing < 0.5 {
			r.setAside(m, now, "fails or takes no connections")
		}
	case driver.TimedOut, driver.Cancelled:
		// It would have taken longer still. With the quick ones alone a jam would look like a fair day.
		if float64(took) > float64(q.method.usual)*m.ratio && !lost {
			r.latency(q.method, m, took)
		}
		if m.trickle > 0 && m.heard <= c.sent {
			r.setAside(m, now, "still silent")
		}
	}
}

// overtaken lets go what was sent to the member long before what it has just answered.
func (r *Router) overtaken(m *member, sent, now time.Duration) {
	slowness, least := r.slowness(m, now), time.Duration(math.MaxInt64)
	for _, meth := range r.methods {
		least = min(least, r.predictAt(meth, slowness, now))
	}
	for at := m.out.First(); at != nil && at.Value.lastSent()+2*least < sent; {
		q, next := at.Value, at.Next()
		if q.lastSent()+2*r.predictAt(q.method, slowness, now) < sent {
			at.Leave()
		}
		at = next
	}
}

// setAside leaves a member that does not answer a trickle, which finds the first one back of a whole group.
func (r *Router) setAside(m *member, now time.Duration, why string) {
	if m.trickle == 0 {
		m.asideAt = now
		r.host.Log(fmt.Sprintf("member %012x set aside: it %s", uint64(m.id), why))
	}
	if m.trickle /= 2; m.trickle == 0 {
		m.trickle, m.nextTry = 1, now+m.pause
		m.pause = min(2*m.pause, lastPause)
	}
}

// watchOver sets aside a member that has gone silent: with what it holds, answers should have come several
// times over. A single RPC may be slow or its answer lost: it no longer counts, and the next one must tell.
// It also probes what was not heard of, for a part of the RPCs taken: many drivers' probes would add up.
func (r *Router) watchOver(m *member, now time.Duration) {
	if m.sendable && now-max(m.posAt, m.probedAt) > askAgain && r.probes >= 1 && r.terms.Bool("caps.probe") {
		r.probes--
		m.probedAt = now
		r.host.Probe(m.id)
	}
	patience := time.Duration(0)
	for at := m.out.First(); at != nil; at = at.Next() {
		patience = max(patience, silence*at.Value.method.usual)
	}
	silent := m.trickle == 0 && now-max(m.heard, r.halted) > patience
	if silent && m.out.Count() == 1 && !m.missed {
		m.missed = true
		m.out.First().Leave()
	} else if silent && m.out.Count() > 0 {
		r.setAside(m, now, "has gone silent")
	}
}
