package rules

import (
	"fmt"
	"math"
	"time"

	"passtack/driver"
)

const (
	silenceLatencies      = 4                      // time without an answer after which a busy member is ejected, in typical latencies
	failureWeight         = 0.25                   // weight of the newest attempt in a member's failure rate
	ejectionFailureRate   = 0.65                   // failure rate from which a member is ejected
	maxFailingShare       = 0.5                    // share of failing members from which on no member is ejected for failures
	recheckInterval       = 200 * time.Millisecond // until a member that rejected an RPC or sent no report is tried again
	maxProbationBackoff   = 2 * time.Second        // between failed attempts in probation
	maxProbationAllowance = 16                     // number of attempts in flight above which probation ends
	healthChecksPerRPC    = 0.25                   // added to the budget of health checks by each RPC
	maxHealthCheckBudget  = 20.0                   // also the budget at the start
)

// health is the state of a member's outlier detection. An ejected member is in probation: it may have a few attempts in flight.
type health struct {
	failureRate            float64       // smoothed
	lastReplyAt, checkedAt time.Duration // latest answer, or start of a busy period if that is later; latest health check sent
	lostReply              bool          // its latest single attempt got no answer in time
	ejectedAt              time.Duration
	allowance              int           // attempts that it may have in flight in probation; 0: not ejected
	backoff, nextAttemptAt time.Duration // backoff: after the next failure in probation
}

func (h *health) ejected() bool { return h.allowance > 0 }

// recordSuccess raises the allowance. An answer to an attempt that was sent before the ejection ends probation: the member was only paused.
func (h *health) recordSuccess(sentAt, now time.Duration) {
	h.lastReplyAt, h.lostReply, h.failureRate, h.backoff = now, false, h.failureRate*(1-failureWeight), recheckInterval
	if !h.ejected() {
		return
	}
	if h.allowance++; h.allowance > maxProbationAllowance || sentAt < h.ejectedAt {
		h.allowance = 0
	}
}

// eject ejects the member, or halves its allowance if it is ejected already.
func (r *Router) eject(m *member, now time.Duration, reason string) {
	h := &m.health
	if !h.ejected() {
		h.ejectedAt = now
		r.host.Log(fmt.Sprintf("member %012x set aside: it %s", uint64(m.id), reason))
	}
	if h.allowance /= 2; h.allowance == 0 {
		h.allowance, h.nextAttemptAt = 1, now+h.backoff
		h.backoff = min(2*h.backoff, maxProbationBackoff)
	}
}

// recordOutcome learns from the outcome of an attempt. overtaken means that the attempt was no longer counted as in flight when it ended
// (releaseOvertaken).
func (r *Router) recordOutcome(q *rpc, a *attempt, outcome driver.Outcome, overtaken bool, took, now time.Duration) {
	m := a.member
	switch outcome {
	case driver.OK:
		r.releaseOvertaken(m, a.sentAt, now)
		r.recordLatency(q.method, m, took)
		m.latency.depth += sampleWeight * (float64(a.depth) - m.latency.depth)
		m.health.recordSuccess(a.sentAt, now)
		load := &m.load
		if r.warmingUp(m, now) {
			load = &m.servedLoad
		}
		load.Add(q.method.typical.value.Seconds(), now, r.loadWindow())
	case driver.Misdirected, driver.Full:
		m.health.lastReplyAt = now
	case driver.Failed, driver.Broken, driver.NoConnection:
		// A failure counts less if the RPC failed before, since the RPC itself may be the cause.
		m.health.failureRate += failureWeight / float64(len(q.attempts)) * (1 - m.health.failureRate)
		if m.health.failureRate > ejectionFailureRate && r.load.failingShare < maxFailingShare {
			r.eject(m, now, "fails or takes no connections")
		}
	case driver.TimedOut, driver.Cancelled:
		// The attempt would have taken even longer. Without these samples an overloaded member would look fast.
		if float64(took) > float64(q.method.typical.value)*m.latency.ratio && !overtaken {
			r.recordLatency(q.method, m, took)
		}
		if m.health.ejected() && m.health.lastReplyAt <= a.sentAt {
			r.eject(m, now, "still silent")
		}
	}
}

// releaseOvertaken stops counting attempts as in flight that were sent long before the one that the member has just answered: they were
// probably lost.
func (r *Router) releaseOvertaken(m *member, sentAt, now time.Duration) {
	slowdown, shortest := r.slowdown(m, now), time.Duration(math.MaxInt64)
	for _, meth := range r.methods {
		shortest = min(shortest, r.predictLatencyAt(meth, slowdown, now))
	}
	for link := m.inFlight.Front(); link != nil && link.Value.lastSentAt()+2*shortest < sentAt; {
		q, next := link.Value, link.Next()
		if q.lastSentAt()+2*r.predictLatencyAt(q.method, slowdown, now) < sentAt {
			link.Remove()
		}
		link = next
	}
}

// checkHealth ejects a member that is silent with attempts in flight. A single attempt does not suffice, as its answer may be lost: the
// attempt is then no longer counted as in flight, and the next one decides. checkHealth also sends a health check, within the budget, if no
// report is recent.
func (r *Router) checkHealth(m *member, now time.Duration) {
	h := &m.health
	if m.available && now-max(m.replication.reportedAt, h.checkedAt) > recheckInterval && r.healthCheckBudget >= 1 && r.settings.Bool("caps.probe") {
		r.healthCheckBudget--
		h.checkedAt = now
		r.host.Probe(m.id)
	}
	maxSilence := time.Duration(0)
	for link := m.inFlight.Front(); link != nil; link = link.Next() {
		maxSilence = max(maxSilence, silenceLatencies*link.Value.method.typical.value)
	}
	silent := !h.ejected() && now-max(h.lastReplyAt, r.ticks.resumedAt) > maxSilence
	if silent && m.inFlight.Len() == 1 && !h.lostReply {
		h.lostReply = true
		m.inFlight.Front().Remove()
	} else if silent && m.inFlight.Len() > 0 {
		r.eject(m, now, "has gone silent")
	}
}
