package rules

import (
	"fmt"
	"math"
	"time"

	"passtack/driver"
)

const (
	silenceLatencies      = 4                      // usual latencies without any answer make a busy member suspect
	failureWeight         = 0.25                   // weight of the newest of a member's connections
	ejectionFailureRate   = 0.65                   // part of the connections that fail at a member that is down
	recheckInterval       = 200 * time.Millisecond // before a member that failed, said replica or is unheard of is asked
	maxProbationBackoff   = 2 * time.Second        // between trickles to a member set aside, which double up to this
	maxProbationAllowance = 16                     // a trickle that has doubled past this is no longer held back
	healthChecksPerRPC    = 0.25                   // probes for each RPC taken
	maxHealthCheckBudget  = 20.0                   // probes that may be saved up, and sent at the start
)

// learn keeps the member's latencies and health.
func (r *Router) recordOutcome(q *rpc, c *attempt, how driver.Outcome, lost bool, took, now time.Duration) {
	m := c.member
	switch how {
	case driver.OK:
		// What others overtook by far was probably lost on its way back: it is neither slow nor held any more.
		r.releaseOvertaken(m, c.sentAt, now)
		r.recordLatency(q.method, m, took)
		m.typicalDepth += sampleWeight * (float64(c.depth) - m.typicalDepth)
		m.lastReplyAt, m.lostReply, m.failureRate, m.backoff = now, false, m.failureRate*(1-failureWeight), recheckInterval
		if work := q.method.typical.Seconds(); r.warmingUp(m, now) {
			m.servedLoad, m.servedLoadAt = r.decayedLoad(m.servedLoad, now-m.servedLoadAt)+work, now
		} else {
			m.recentLoad, m.recentLoadAt = r.memberLoad(m, now)+work, now
		}
		if m.allowance > 0 { // one more for each that goes well doubles it each time around
			if m.allowance++; m.allowance > maxProbationAllowance || c.sentAt < m.ejectedAt {
				m.allowance = 0 // what it held is answered after all: it had only paused
			}
		}
	case driver.Miss, driver.Full:
		m.lastReplyAt = now
	case driver.Failed, driver.Broken, driver.NoConnection:
		// Now and then it is the network's doing, or the RPC's, which then fails elsewhere too; quick errors draw
		// RPCs. Where most members fail it is the fault of none, and a trickle for each would make it worse.
		if m.failureRate += failureWeight / float64(len(q.attempts)) * (1 - m.failureRate); m.failureRate > ejectionFailureRate && r.failingShare < 0.5 {
			r.eject(m, now, "fails or takes no connections")
		}
	case driver.TimedOut, driver.Cancelled:
		// It would have taken longer still. With the quick ones alone a jam would look like a fair day.
		if float64(took) > float64(q.method.typical)*m.ratio && !lost {
			r.recordLatency(q.method, m, took)
		}
		if m.allowance > 0 && m.lastReplyAt <= c.sentAt {
			r.eject(m, now, "still silent")
		}
	}
}

// overtaken lets go what was sent to the member long before what it has just answered.
func (r *Router) releaseOvertaken(m *member, sent, now time.Duration) {
	slowness, least := r.slowdown(m, now), time.Duration(math.MaxInt64)
	for _, meth := range r.methods {
		least = min(least, r.predictLatencyAt(meth, slowness, now))
	}
	for at := m.inFlight.First(); at != nil && at.Value.lastSentAt()+2*least < sent; {
		q, next := at.Value, at.Next()
		if q.lastSentAt()+2*r.predictLatencyAt(q.method, slowness, now) < sent {
			at.Leave()
		}
		at = next
	}
}

// setAside leaves a member that does not answer a trickle, which finds the first one back of a whole group.
func (r *Router) eject(m *member, now time.Duration, why string) {
	if m.allowance == 0 {
		m.ejectedAt = now
		r.host.Log(fmt.Sprintf("member %012x set aside: it %s", uint64(m.id), why))
	}
	if m.allowance /= 2; m.allowance == 0 {
		m.allowance, m.nextAttemptAt = 1, now+m.backoff
		m.backoff = min(2*m.backoff, maxProbationBackoff)
	}
}

// watchOver sets aside a member that has gone silent: with what it holds, answers should have come several
// times over. A single RPC may be slow or its answer lost: it no longer counts, and the next one must tell.
// It also probes what was not heard of, for a part of the RPCs taken: many drivers' probes would add up.
func (r *Router) checkHealth(m *member, now time.Duration) {
	if m.available && now-max(m.positionAt, m.checkedAt) > recheckInterval && r.healthCheckBudget >= 1 && r.settings.Bool("caps.probe") {
		r.healthCheckBudget--
		m.checkedAt = now
		r.host.Probe(m.id)
	}
	patience := time.Duration(0)
	for at := m.inFlight.First(); at != nil; at = at.Next() {
		patience = max(patience, silenceLatencies*at.Value.method.typical)
	}
	silent := m.allowance == 0 && now-max(m.lastReplyAt, r.resumedAt) > patience
	if silent && m.inFlight.Count() == 1 && !m.lostReply {
		m.lostReply = true
		m.inFlight.First().Leave()
	} else if silent && m.inFlight.Count() > 0 {
		r.eject(m, now, "has gone silent")
	}
}
