package rules

import (
	"fmt"
	"math"
	"time"

	"passtack/driver"
)

const (
	silenceLatencies      = 4                      // typical latencies without an answer after which a busy member is ejected
	failureWeight         = 0.25                   // weight of the newest attempt in a member's failure rate
	ejectionFailureRate   = 0.65                   // failure rate from which a member is ejected
	maxFailingShare       = 0.5                    // share of failing members from which failures are blamed on none
	recheckInterval       = 200 * time.Millisecond // until a member that rejected an RPC, or did not report, is tried again
	maxProbationBackoff   = 2 * time.Second        // between failed attempts in probation
	maxProbationAllowance = 16                     // attempts in flight, past which probation ends
	healthChecksPerRPC    = 0.25                   // added to the budget of health checks
	maxHealthCheckBudget  = 20.0                   // also the budget at the start
)

// health tells whether a member answers. An ejected member is in probation: it may have a few attempts in flight.
type health struct {
	failureRate            float64       // smoothed
	lastReplyAt, checkedAt time.Duration // latest answer, or start of a busy period; latest health check sent
	lostReply              bool          // its latest single attempt got no answer in time
	ejectedAt              time.Duration
	allowance              int           // attempts that it may have in flight in probation; 0: not ejected
	backoff, nextAttemptAt time.Duration // backoff: after the next failure in probation
}

func (h *health) ejected() bool { return h.allowance > 0 }

// recordSuccess raises the allowance. The answer to an attempt from before the ejection ends probation: the member had only paused.
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
func (r *Router) eject(m *member, now time.Duration, why string) {
	h := &m.health
	if !h.ejected() {
		h.ejectedAt = now
		r.host.Log(fmt.Sprintf("member %012x set aside: it %s", uint64(m.id), why))
	}
	if h.allowance /= 2; h.allowance == 0 {
		h.allowance, h.nextAttemptAt = 1, now+h.backoff
		h.backoff = min(2*h.backoff, maxProbationBackoff)
	}
}

// recordOutcome learns from an attempt. An overtaken one no longer counts as in flight.
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
	case driver.Miss, driver.Full:
		m.health.lastReplyAt = now
	case driver.Failed, driver.Broken, driver.NoConnection:
		// It counts less for an RPC that failed before, which may be the cause itself.
		m.health.failureRate += failureWeight / float64(len(q.attempts)) * (1 - m.health.failureRate)
		if m.health.failureRate > ejectionFailureRate && r.load.failingShare < maxFailingShare {
			r.eject(m, now, "fails or takes no connections")
		}
	case driver.TimedOut, driver.Cancelled:
		// It would have taken even longer. Without these samples an overloaded member would look fast.
		if float64(took) > float64(q.method.typical.value)*m.latency.ratio && !overtaken {
			r.recordLatency(q.method, m, took)
		}
		if m.health.ejected() && m.health.lastReplyAt <= a.sentAt {
			r.eject(m, now, "still silent")
		}
	}
}

// releaseOvertaken stops counting as in flight what was sent long before the attempt that the member has just answered: it was probably lost.
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

// checkHealth ejects a member that is silent with attempts in flight; a single one is released, as its answer may be lost, and the next
// one decides. It also sends a health check, within the budget, where no report is recent.
func (r *Router) checkHealth(m *member, now time.Duration) {
	h := &m.health
	if m.available && now-max(m.replication.reportedAt, h.checkedAt) > recheckInterval && r.healthCheckBudget >= 1 && r.settings.Bool("caps.probe") {
		r.healthCheckBudget--
		h.checkedAt = now
		r.host.Probe(m.id)
	}
	patience := time.Duration(0)
	for link := m.inFlight.Front(); link != nil; link = link.Next() {
		patience = max(patience, silenceLatencies*link.Value.method.typical.value)
	}
	silent := !h.ejected() && now-max(h.lastReplyAt, r.ticks.resumedAt) > patience
	if silent && m.inFlight.Len() == 1 && !h.lostReply {
		h.lostReply = true
		m.inFlight.Front().Remove()
	} else if silent && m.inFlight.Len() > 0 {
		r.eject(m, now, "has gone silent")
	}
}
