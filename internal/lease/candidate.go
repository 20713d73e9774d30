package lease

import (
	"slices"
	"time"

	"passtack/internal/pcg"
)

// CandidateHost is what a candidate acts through.
type CandidateHost interface {
	// Send sends a message to a voter; it may be lost.
	Send(to Node, m Message)
	// Acquired reports that the driver holds the lease from now on.
	Acquired(lease string, fencingToken uint64)
	// Lost reports that the driver does not hold the lease any more: it expired or was given back.
	Lost(lease string, fencingToken uint64)
}

const (
	maxRounds        = 4                      // rounds whose answers are still counted
	answerTimeout    = 300 * time.Millisecond // for answers to a request for a lease that is not held
	minBackoff       = 100 * time.Millisecond // doubles with each failure, up to the TTL
	renewalsPerTTL   = 3
	maxQueueFullWait = 20 // in TTLs, between two requests of a candidate that finds the queue of voters full
)

// round is one request to all voters, with their answers.
type round struct {
	number       uint64
	fencingToken uint64
	sentAt       time.Duration
	grants       []Node
	rejections   []Node
	retryAfter   time.Duration // the longest that a voter said
}

func (r *round) grantedBy(n Node) bool  { return slices.Contains(r.grants, n) }
func (r *round) rejectedBy(n Node) bool { return slices.Contains(r.rejections, n) }

// hold is a lease that is held. The zero value: it is not.
type hold struct {
	fencingToken uint64
	since        time.Duration
	expiresAt    time.Duration
}

func (h hold) exists() bool { return h.fencingToken != 0 }

// observations are what a candidate learned from voters. Only the status shows them.
type observations struct {
	holder           Holder
	rejectionReasons map[Node]Reason        // by voter, of the latest answers
	lastHeard        map[Node]time.Duration // by voter
}

// Candidate acquires one lease for its driver and renews it.
type Candidate struct {
	host      CandidateHost
	self      Holder
	leaseName string
	ttl       time.Duration
	voters    VoterSet
	random    *pcg.Source

	campaigning   bool
	hold          hold
	observed      observations
	highestToken  uint64 // that was used or that a voter named
	lastRound     uint64
	rounds        []round // the newest last
	nextRequestAt time.Duration
	answersDueAt  time.Duration // of a request for a lease that is not held, 0: none is open
	failures      int           // requests in a row that did not acquire the lease
}

// NewCandidate returns a candidate that asks for nothing until Campaign. Seed draws its backoff.
func NewCandidate(host CandidateHost, self Holder, leaseName string, ttl time.Duration, voters VoterSet, seed uint64) *Candidate {
	return &Candidate{
		host: host, self: self, leaseName: leaseName, ttl: ttl, voters: voters, random: pcg.New(seed),
		observed: observations{rejectionReasons: make(map[Node]Reason), lastHeard: make(map[Node]time.Duration)},
	}
}

// ChangeVoters replaces the set of voters. A lease that is held stays until it expires; the new voters extend it.
func (c *Candidate) ChangeVoters(voters VoterSet) {
	c.voters = voters
	c.closeRounds()
}

// Campaign lets the candidate ask for the lease, from the next Wake on.
func (c *Candidate) Campaign(now time.Duration) {
	if !c.campaigning {
		c.campaigning, c.nextRequestAt = true, now
	}
}

// Resign gives the lease back and asks for it no more.
func (c *Candidate) Resign(now time.Duration) {
	c.campaigning = false
	c.loseLease(now)
	c.release(c.latestToken(), noVoter)
	c.closeRounds()
}

// Held is the guard of an action: it reports whether the lease is held at this moment, and its fencing token. Now has to be read right
// before the action.
func (c *Candidate) Held(now time.Duration) (fencingToken uint64, ok bool) {
	return c.hold.fencingToken, c.hold.exists() && now < c.hold.expiresAt
}

// latestToken is the fencing token of the newest request, 0: none is open.
func (c *Candidate) latestToken() uint64 {
	if len(c.rounds) == 0 {
		return 0
	}
	return c.rounds[len(c.rounds)-1].fencingToken
}

func (c *Candidate) closeRounds() { c.rounds, c.answersDueAt = nil, 0 }

func noVoter(Node) bool { return false }

// release gives the grants for a fencing token back to all voters except some.
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

// jitter draws a duration below limit.
func (c *Candidate) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Float() * float64(limit))
}

// NextWake returns when Wake is to be called next; ok is false where the candidate does not campaign.
func (c *Candidate) NextWake() (at time.Duration, ok bool) {
	if !c.campaigning {
		return 0, false
	}
	at = c.nextRequestAt
	if c.answersDueAt != 0 {
		at = min(at, c.answersDueAt)
	}
	if c.hold.exists() {
		at = min(at, c.hold.expiresAt)
	}
	return at, true
}

// Wake does what is due by now. A new fencing token is at least minToken, which the host takes from the time of day: so tokens rise even
// where all voters have lost theirs. Nothing else depends on minToken.
func (c *Candidate) Wake(now time.Duration, minToken uint64) {
	if !c.campaigning {
		return
	}
	if c.hold.exists() && now >= c.hold.expiresAt {
		c.loseLease(now)
	}
	if c.answersDueAt != 0 && now >= c.answersDueAt {
		c.abandonRound(now)
	}
	if now >= c.nextRequestAt {
		c.sendRequest(now, minToken)
	}
}

// sendRequest asks all voters for the lease, or to extend it under its fencing token.
func (c *Candidate) sendRequest(now time.Duration, minToken uint64) {
	fencingToken := c.hold.fencingToken
	if c.hold.exists() {
		c.nextRequestAt = now + c.ttl/renewalsPerTTL
	} else {
		fencingToken = c.newToken(minToken)
		c.answersDueAt, c.nextRequestAt = now+answerTimeout, now+c.ttl
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

// Receive takes a message from a voter.
func (c *Candidate) Receive(from Node, m Message, now time.Duration) {
	if !c.campaigning || m.Lease != c.leaseName || !slices.Contains(c.voters.All(), from) {
		return
	}
	c.observed.lastHeard[from] = now
	if m.Op == Available && m.Holder == c.self {
		if !c.hold.exists() && c.answersDueAt == 0 {
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
			if !c.hold.exists() && c.answersDueAt != 0 && newest && !c.voters.majorityPossible(r.rejectedBy) {
				c.abandonRound(now)
			}
		}
	}
}

// countGrants acquires or extends the lease once a majority has granted the request. The hold is counted from before the request was
// sent and is shorter than the TTL by the bound on clock drift, so it ends before any voter grants the lease to another.
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
	c.failures, c.answersDueAt, c.observed.holder = 0, 0, c.self
	c.nextRequestAt = r.sentAt + c.ttl/renewalsPerTTL
	c.host.Acquired(c.leaseName, c.hold.fencingToken)
}

// abandonRound gives back the grants of a request that failed, and backs off.
func (c *Candidate) abandonRound(now time.Duration) {
	r := &c.rounds[len(c.rounds)-1]
	c.answersDueAt = 0
	c.failures++
	c.nextRequestAt = now + c.backoff(r.retryAfter)
	c.release(r.fencingToken, r.rejectedBy) // who rejected it has granted nothing
	c.rounds = nil
}

// backoff returns the wait until the next request: exponential with jitter, so that candidates that ask at once come apart, unless voters
// said after which time to ask again.
func (c *Candidate) backoff(retryAfter time.Duration) time.Duration {
	exponential := min(minBackoff<<min(c.failures, 10), c.ttl)
	exponential = exponential/2 + c.jitter(exponential)
	switch {
	case retryAfter > 2*c.ttl: // the queue is full: those outside come back spread over time
		wait := min(retryAfter, maxQueueFullWait*c.ttl)
		return wait/2 + c.jitter(wait/2)
	case retryAfter > 0: // its position in the queue
		return retryAfter + c.jitter(queueSpacing)
	}
	return exponential
}

// CandidateStatus is a snapshot of a candidate for operators.
type CandidateStatus struct {
	Lease            string
	Campaigning      bool
	FencingToken     uint64 // 0: the driver does not hold the lease
	HeldFor          time.Duration
	Remaining        time.Duration          // until the hold expires
	Holder           Holder                 // as far as this driver knows; it may be outdated
	RejectionReasons map[Node]Reason        // by voter, of the latest answers
	LastHeard        map[Node]time.Duration // by voter, how long ago it said something
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
