package lease

import (
	"slices"
	"time"

	"passtack/internal/pcg"
)

// CandidateHost sends the messages of a candidate and is notified when the lease is acquired or lost.
type CandidateHost interface {
	// Send sends a message to a voter. Delivery is not guaranteed.
	Send(to Node, m Message)
	// Acquired is called when the driver acquires the lease.
	Acquired(lease string, fencingToken uint64)
	// Lost is called when the driver no longer holds the lease, because it expired or was released.
	Lost(lease string, fencingToken uint64)
}

const (
	maxRounds        = 4                      // number of latest rounds whose answers are still counted
	answerTimeout    = 300 * time.Millisecond // for requests that acquire the lease; requests that extend it have no timeout
	minBackoff       = 100 * time.Millisecond // doubled with each failed request, up to the TTL
	renewalsPerTTL   = 3
	maxQueueFullWait = 20 // in TTLs: longest wait between two requests of a candidate for which the voters' queues are full
)

// round is one request that was sent to all voters, with their answers.
type round struct {
	number       uint64
	fencingToken uint64
	sentAt       time.Duration
	grants       []Node
	rejections   []Node
	retryAfter   time.Duration // longest wait that any voter asked for
}

func (r *round) grantedBy(n Node) bool  { return slices.Contains(r.grants, n) }
func (r *round) rejectedBy(n Node) bool { return slices.Contains(r.rejections, n) }

// hold describes the lease while this driver holds it. The zero value means that the driver does not hold it.
type hold struct {
	fencingToken uint64
	since        time.Duration
	expiresAt    time.Duration
}

func (h hold) exists() bool { return h.fencingToken != 0 }

// observations are what a candidate has learned from voters. They are used for its status only.
type observations struct {
	holder           Holder
	rejectionReasons map[Node]Reason        // by voter, from its latest answer
	lastHeard        map[Node]time.Duration // by voter: arrival of its latest message
}

// Candidate acquires one lease for its driver and renews it.
type Candidate struct {
	host      CandidateHost
	self      Holder
	leaseName string
	ttl       time.Duration
	voters    VoterSet
	random    *pcg.Source

	campaigning    bool
	hold           hold
	observed       observations
	highestToken   uint64 // highest fencing token that this candidate has used or a voter has reported
	lastRound      uint64
	rounds         []round // oldest first
	nextRequestAt  time.Duration
	answerDeadline time.Duration // for the open request to acquire the lease; 0 if there is none
	failures       int           // consecutive requests that did not acquire the lease
}

// NewCandidate returns a candidate that sends no request before Campaign is called. The seed is for the random part of its backoff.
func NewCandidate(host CandidateHost, self Holder, leaseName string, ttl time.Duration, voters VoterSet, seed uint64) *Candidate {
	return &Candidate{
		host: host, self: self, leaseName: leaseName, ttl: ttl, voters: voters, random: pcg.New(seed),
		observed: observations{rejectionReasons: make(map[Node]Reason), lastHeard: make(map[Node]time.Duration)},
	}
}

// ChangeVoters replaces the set of voters. A lease that the driver holds stays valid until it expires, and
// later requests to extend it go to the new voters.
func (c *Candidate) ChangeVoters(voters VoterSet) {
	c.voters = voters
	c.closeRounds()
}

// Campaign starts requesting the lease, from the next call of Wake on.
func (c *Candidate) Campaign(now time.Duration) {
	if !c.campaigning {
		c.campaigning, c.nextRequestAt = true, now
	}
}

// Resign releases the lease and stops requesting it.
func (c *Candidate) Resign(now time.Duration) {
	c.campaigning = false
	c.loseLease(now)
	c.release(c.latestToken(), noVoter)
	c.closeRounds()
}

// Held reports whether the driver holds the lease at the time now, and returns its fencing token. Callers must check it for each
// action that needs the lease, with a clock reading taken right before the action.
func (c *Candidate) Held(now time.Duration) (fencingToken uint64, ok bool) {
	return c.hold.fencingToken, c.hold.exists() && now < c.hold.expiresAt
}

// latestToken returns the fencing token of the latest request, 0 if none is open.
func (c *Candidate) latestToken() uint64 {
	if len(c.rounds) == 0 {
		return 0
	}
	return c.rounds[len(c.rounds)-1].fencingToken
}

func (c *Candidate) closeRounds() { c.rounds, c.answerDeadline = nil, 0 }

func noVoter(Node) bool { return false }

// release releases the grants for a fencing token at all voters for which except is false.
func (c *Candidate) release(fencingToken uint64, except func(Node) bool) {
	if fencingToken == 0 {
		return
	}
	for _, n := range c.voters.All() {
		if except(n) {
			continue
		}
		c.host.Send(n, Message{Op: Release, Lease: c.leaseName, VoterSetVersion: c.voters.Version, FencingToken: fencingToken, Holder: c.self})
	}
}

func (c *Candidate) loseLease(now time.Duration) {
	if !c.hold.exists() {
		return
	}
	fencingToken := c.hold.fencingToken
	c.hold = hold{}
	c.closeRounds()
	c.nextRequestAt = now + c.jitter(minBackoff)
	c.host.Lost(c.leaseName, fencingToken)
	c.release(fencingToken, noVoter)
}

// jitter returns a random duration below the limit.
func (c *Candidate) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Float() * float64(limit))
}

// NextWake returns the time at which Wake must be called next; ok is false while the candidate does not campaign.
func (c *Candidate) NextWake() (at time.Duration, ok bool) {
	if !c.campaigning {
		return 0, false
	}
	at = c.nextRequestAt
	if c.answerDeadline != 0 {
		at = min(at, c.answerDeadline)
	}
	if c.hold.exists() {
		at = min(at, c.hold.expiresAt)
	}
	return at, true
}

// Wake does what is due at the time now: it ends an expired lease, abandons a request whose answer deadline has passed, and sends the next
// request. A new fencing token is at least minToken, which the host derives from the time of day, so that tokens increase even after all
// voters have lost their storage. Nothing else depends on minToken.
func (c *Candidate) Wake(now time.Duration, minToken uint64) {
	if !c.campaigning {
		return
	}
	if c.hold.exists() && now >= c.hold.expiresAt {
		c.loseLease(now)
	}
	if c.answerDeadline != 0 && now >= c.answerDeadline {
		c.abandonRound(now)
	}
	if now >= c.nextRequestAt {
		c.sendRequest(now, minToken)
	}
}

// sendRequest requests the lease from all voters, or its extension under the same fencing token.
func (c *Candidate) sendRequest(now time.Duration, minToken uint64) {
	fencingToken := c.hold.fencingToken
	if c.hold.exists() {
		c.nextRequestAt = now + c.ttl/renewalsPerTTL
	} else {
		fencingToken = c.newToken(minToken)
		c.answerDeadline, c.nextRequestAt = now+answerTimeout, now+c.ttl
	}
	c.lastRound++
	c.rounds = append(c.rounds, round{number: c.lastRound, fencingToken: fencingToken, sentAt: now})
	c.rounds = c.rounds[max(0, len(c.rounds)-maxRounds):]
	request := Message{
		Op: Request, Lease: c.leaseName, VoterSetVersion: c.voters.Version, Round: c.lastRound, FencingToken: fencingToken, TTL: c.ttl, Holder: c.self,
	}
	for _, n := range c.voters.All() {
		c.host.Send(n, request)
	}
}

func (c *Candidate) newToken(minToken uint64) uint64 {
	c.highestToken = max(c.highestToken+1, minToken)
	if mutation == reusedToken {
		return 1
	}
	return c.highestToken
}

// Receive processes a message from a voter.
func (c *Candidate) Receive(from Node, m Message, now time.Duration) {
	if !c.campaigning || m.Lease != c.leaseName || !slices.Contains(c.voters.All(), from) {
		return
	}
	c.observed.lastHeard[from] = now
	if m.Op == Available && m.Holder == c.self {
		if !c.hold.exists() && c.answerDeadline == 0 {
			c.highestToken, c.nextRequestAt = max(c.highestToken, m.FencingToken), now
		}
		return
	}
	if m.Op == Reject {
		c.highestToken = max(c.highestToken, m.FencingToken)
		c.observed.rejectionReasons[from], c.observed.holder = m.Reason, m.Holder
	}
	i := slices.IndexFunc(c.rounds, func(r round) bool { return r.number == m.Round })
	if i < 0 {
		return
	}
	r := &c.rounds[i]
	switch m.Op {
	case Grant:
		if m.FencingToken == r.fencingToken && m.Holder == c.self && m.TTL >= c.ttl && !r.grantedBy(from) {
			delete(c.observed.rejectionReasons, from)
			r.grants = append(r.grants, from)
			c.countGrants(r, now)
		}
	case Reject:
		if !r.rejectedBy(from) {
			r.rejections, r.retryAfter = append(r.rejections, from), max(r.retryAfter, m.TTL)
			newest := i == len(c.rounds)-1
			if !c.hold.exists() && c.answerDeadline != 0 && newest && !c.voters.majorityPossible(r.rejectedBy) {
				c.abandonRound(now)
			}
		}
	}
}

// countGrants acquires or extends the lease once a majority has granted the request. The lease counts as held from before the
// request was sent, for the TTL less the bound on clock drift, so the hold ends before any voter grants the lease to another driver.
func (c *Candidate) countGrants(r *round, now time.Duration) {
	if !c.voters.majority(r.grantedBy) {
		return
	}
	expiresAt := r.sentAt + c.ttl - c.ttl/driftDivisor
	if mutation == holdCountedFromAnswer {
		expiresAt += now - r.sentAt
	}
	if expiresAt <= now {
		return
	}
	if c.hold.exists() {
		if r.fencingToken == c.hold.fencingToken {
			c.hold.expiresAt = max(c.hold.expiresAt, expiresAt)
		}
		return
	}
	c.hold = hold{fencingToken: r.fencingToken, since: now, expiresAt: expiresAt}
	c.failures, c.answerDeadline, c.observed.holder = 0, 0, c.self
	c.nextRequestAt = r.sentAt + c.ttl/renewalsPerTTL
	c.host.Acquired(c.leaseName, c.hold.fencingToken)
}

// abandonRound releases the grants of a request that failed, and backs off.
func (c *Candidate) abandonRound(now time.Duration) {
	r := &c.rounds[len(c.rounds)-1]
	c.answerDeadline = 0
	c.failures++
	c.nextRequestAt = now + c.backoff(r.retryAfter)
	c.release(r.fencingToken, r.rejectedBy) // a voter that rejected the request has granted nothing
	c.rounds = nil
}

// backoff returns the wait until the next request: exponential with jitter, so that candidates do not all ask at the
// same time, unless voters have told the candidate when to ask again.
func (c *Candidate) backoff(retryAfter time.Duration) time.Duration {
	exponential := min(minBackoff<<min(c.failures, 10), c.ttl)
	exponential = exponential/2 + c.jitter(exponential)
	switch {
	case retryAfter > 2*c.ttl: // the queue is full: candidates outside it spread their next requests over time
		wait := min(retryAfter, maxQueueFullWait*c.ttl)
		return wait/2 + c.jitter(wait/2)
	case retryAfter > 0: // the candidate has a position in the queue
		return retryAfter + c.jitter(queueSpacing)
	}
	return exponential
}

// CandidateStatus is a snapshot of a candidate for operators.
type CandidateStatus struct {
	Lease            string
	Campaigning      bool
	FencingToken     uint64 // 0 if the driver does not hold the lease
	HeldFor          time.Duration
	Remaining        time.Duration          // time until the lease expires
	Holder           Holder                 // last holder that this driver learned of; may be outdated
	RejectionReasons map[Node]Reason        // by voter, from its latest answer
	LastHeard        map[Node]time.Duration // by voter: time since its latest message
}

// Status returns a snapshot.
func (c *Candidate) Status(now time.Duration) CandidateStatus {
	s := CandidateStatus{
		Lease: c.leaseName, Campaigning: c.campaigning, Holder: c.observed.holder, RejectionReasons: c.observed.rejectionReasons,
		LastHeard: make(map[Node]time.Duration),
	}
	if fencingToken, ok := c.Held(now); ok {
		s.FencingToken, s.HeldFor, s.Remaining = fencingToken, now-c.hold.since, c.hold.expiresAt-now
	}
	for voter, heardAt := range c.observed.lastHeard {
		s.LastHeard[voter] = now - heardAt
	}
	return s
}
