package rules

import (
	"slices"
	"time"

	"passtack/driver"
)

// recordAnswer records a final answer of the router. It checks rule 1, one answer for each RPC, and rule 2, no duplicate runs:
// mayRetry means that the answer tells the client that it may retry.
func (c *cluster) recordAnswer(id driver.RPC, mayRetry bool) {
	q := c.rpcs[id]
	if q == nil || q.answered {
		c.t.Fatalf("rule 1: second answer to %d", id)
	}
	q.answered = true
	m := testMethods[q.method]
	if mayRetry && q.duplicatesUntil > 0 {
		c.t.Fatalf("rule 2: repeat %d pushed back though an earlier try may have run", id)
	}
	if mayRetry && (q.mayHaveRun || q.openAttempts > 0) && m.effect != "idempotent" { // members forget a token, and the client may retry later
		c.t.Fatalf("rule 2: %d pushed back after it may have run", id)
	}
}

func (c *cluster) Cancel(id driver.RPC, n int) {
	q := c.rpcs[id]
	if n > q.lastAttempt {
		c.t.Fatalf("an attempt was cancelled that was never sent")
	}
	q.cancelled = true
}

// Attempt checks the rules for attempts: 1, none after the final answer; 2, none that could be a duplicate run; 3, none to a member that was
// listed as leaving; 4, slow start; 5, freshness of reads.
func (c *cluster) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	c.attempts++
	q, n := c.rpcs[id], c.members[to]
	if q == nil || n == nil || int(to%2) != q.group {
		c.t.Fatalf("attempt of %d to %d of another group", id, to)
	}
	if q.answered || c.now > q.deadline {
		c.t.Fatalf("rule 1: attempt of %d after its end", id)
	}
	m := testMethods[q.method]
	if q.openAttempts > 0 {
		c.t.Fatalf("two attempts of %d at once", id)
	}
	if q.mayHaveRun && (m.effect == "non-idempotent" || m.effect == "tokened" && c.now >= q.firstRunAt+1200*ms) {
		c.t.Fatalf("rule 2: %d sent again after it may have run", id)
	}
	if q.mayHaveRun && m.repeats == "zone" && c.zoneOf(to) != q.firstRunZone {
		c.t.Fatalf("rule 2: %d sent to another zone after it may have run", id)
	}
	if q.mayHaveRun && m.effect == "tokened" && by >= q.firstRunAt+1200*ms {
		c.t.Fatalf("rule 2: %d may reach its member %v after it may have run", id, by-q.firstRunAt)
	}
	if by <= c.now || by > q.deadline {
		c.t.Fatalf("%d is to be sent by %v, at %v", id, by, c.now)
	}
	if c.unavailable[to] {
		c.t.Fatalf("rule 3: attempt to %d, which the host was told to be unavailable", to)
	}
	if n.leavingSince >= 0 && c.now > n.leavingSince+drainGrace {
		c.t.Fatalf("rule 3: attempt to %d, which was listed as leaving %v ago", to, c.now-n.leavingSince)
	}
	if !c.membersCheckFreshness && (!n.wasPrimary || n.deniedPrimary) {
		floor := map[string]time.Duration{"bounded": c.now - 500*ms, "session": q.commit, "fresh": q.arrivedAt}[m.need]
		if n.reportedPosition < floor {
			c.t.Fatalf("rule 5: %s read sent to a member at position %v, needs %v", m.need, n.reportedPosition, floor)
		}
	}
	if q.duplicatesUntil > 0 && by >= q.duplicatesUntil {
		c.t.Fatalf("rule 2: repeat %d may reach its member %v after members forget an earlier try", id, by-q.duplicatesUntil)
	}
	n.attemptTimes, n.attemptLoads = append(n.attemptTimes, c.now), append(n.attemptLoads, c.router.methods[q.method].typical.value.Seconds())
	c.checkSlowStart(to)
	q.openAttempts, q.lastAttempt, q.member, q.sentAt, q.timeoutAt = 1, q.lastAttempt+1, to, c.now, q.deadline
	if timeout > 0 {
		q.timeoutAt = min(q.deadline, c.now+timeout)
	}
	c.openRPCs = append(c.openRPCs, id)
}

// checkSlowStart checks rule 4, which limits the work sent to a member in slow start, against the load that warm members carried; that is no
// more than their capacity.
func (c *cluster) checkSlowStart(to driver.Member) {
	n := c.members[to]
	age := c.now - n.startedAt
	sum := func(since time.Duration) (work float64) {
		for i, at := range n.attemptTimes {
			if at > since {
				work += n.attemptLoads[i]
			}
		}
		return work
	}
	if n.startedAt == driver.LongAgo || age >= slowStartDuration {
		c.maxWarmLoad = max(c.maxWarmLoad, sum(c.now-8*loadWindow))
		return
	}
	heaviest := slices.MaxFunc(c.router.methods, func(a, b *method) int { return int(a.typical.value - b.typical.value) }).typical.value.Seconds()
	share := 0.25 + 0.75*float64(max(0, age-loadWindow))/float64(slowStartDuration)
	if got := sum(c.now - loadWindow); got > 3*max(share*c.maxWarmLoad, n.maxServedLoad)+2*heaviest {
		c.t.Fatalf("rule 4: %.2f s of work in a window to a member %v old, warm ones had %.2f in eight, it served %.2f", got, age, c.maxWarmLoad, n.maxServedLoad)
	}
}
