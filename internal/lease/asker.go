package lease

import (
	"slices"
	"time"

	"passtack/internal/pcg"
)

// AskerHost is what an asker acts through.
type CandidateHost interface {
	Send(to Node, m Message)
	Acquired(lease string, number uint64)
	Lost(lease string, number uint64)
}

// round is one question to all voters.
type round struct {
	number uint64 // of the round
	fencingToken   uint64 // fencing number
	sentAt   time.Duration
	grants    []Node
	rejections     []Node
	retryAfter   time.Duration // longest that a refusal told
}

func (r *round) rejectedBy(n Node) bool { return slices.Contains(r.rejections, n) }

const (
	maxRounds = 4                      // rounds whose answers may still come
	answerTimeout    = 300 * time.Millisecond // for which the answers to a question in vain are waited for
	minBackoff  = 100 * time.Millisecond // between two questions in vain; it doubles up to a lease
	renewalsPerTTL   = 3                      // in a lease
	maxQueueFullWait      = 20                     // leases that who finds the line full waits at most
)

// Asker wants one lease for its driver.
type Candidate struct {
	host   CandidateHost
	self     Holder
	leaseName   string
	ttl  time.Duration
	voters    VoterSet
	random *pcg.Source

	campaigning  bool
	fencingToken   uint64        // the number under which it holds, 0: it does not
	expiresAt    time.Duration // of its hold
	heldSince  time.Duration
	highestToken   uint64 // highest number heard of
	lastRound  uint64
	rounds []round       // the newest last
	nextRequestAt   time.Duration // when to ask
	answersDueAt  time.Duration // when a question in vain is given up; 0: none is out
	failures   int           // questions in vain, in a row
	knownHolder Holder        // who has it, as far as it was told
	rejectionReasons    map[Node]Reason  // of the latest refusals
	lastHeard  map[Node]time.Duration
}

// NewAsker makes one that wants nothing yet.
func NewCandidate(host CandidateHost, self Holder, leaseName string, ttl time.Duration, voters VoterSet, seed uint64) *Candidate {
	return &Candidate{host: host, self: self, leaseName: leaseName, ttl: ttl, voters: voters, random: pcg.New(seed), rejectionReasons: make(map[Node]Reason), lastHeard: make(map[Node]time.Duration)}
}

// Change takes over another set of voters. What is held goes on until its end; more time is asked for from the new set.
func (a *Candidate) ChangeVoters(voters VoterSet) { a.voters, a.rounds, a.answersDueAt = voters, nil, 0 }

// Want lets it ask, Leave gives back what it holds and asks no more.
func (a *Candidate) Campaign(now time.Duration) {
	if !a.campaigning {
		a.campaigning, a.nextRequestAt = true, now
	}
}

func (a *Candidate) Resign(now time.Duration) {
	a.campaigning = false
	a.loseLease(now)
	a.release(a.latestToken(), noVoter)
	a.rounds, a.answersDueAt = nil, 0
}

// Held is the guard: it tells, right before an act, whether that may be done, and under which number. Now has to be the time of that moment.
func (a *Candidate) Held(now time.Duration) (fencingToken uint64, ok bool) {
	return a.fencingToken, a.fencingToken != 0 && now < a.expiresAt
}

// latest is the term of the newest question.
func (a *Candidate) latestToken() uint64 {
	if len(a.rounds) == 0 {
		return 0
	}
	return a.rounds[len(a.rounds)-1].fencingToken
}

func noVoter(Node) bool { return false }

// release gives a term back to all voters but some.
func (a *Candidate) release(fencingToken uint64, except func(Node) bool) {
	if fencingToken == 0 {
		return
	}
	for _, n := range a.voters.All() {
		if except(n) {
			continue
		}
		a.host.Send(n, Message{Op: Release, Lease: a.leaseName, VoterSetVersion: a.voters.Version, FencingToken: fencingToken, Holder: a.self})
	}
}

func (a *Candidate) loseLease(now time.Duration) {
	if a.fencingToken == 0 {
		return
	}
	fencingToken := a.fencingToken
	a.fencingToken, a.expiresAt, a.rounds, a.answersDueAt = 0, 0, nil, 0
	a.nextRequestAt = now + a.jitter(minBackoff)
	a.host.Lost(a.leaseName, fencingToken)
	a.release(fencingToken, noVoter)
}

func (a *Candidate) jitter(limit time.Duration) time.Duration {
	return time.Duration(a.random.Float() * float64(limit))
}

// Wakes tells when Wake is to be called next.
func (a *Candidate) NextWake() (at time.Duration, ok bool) {
	if !a.campaigning {
		return 0, false
	}
	at = a.nextRequestAt
	if a.answersDueAt != 0 {
		at = min(at, a.answersDueAt)
	}
	if a.fencingToken != 0 {
		at = min(at, a.expiresAt)
	}
	return at, true
}

// Wake does what is due. Stamp counts up with the time of day: numbers begin there, so that they rise also where all voters have forgotten
// theirs. Nothing but numbers depends on it.
func (a *Candidate) Wake(now time.Duration, initialToken uint64) {
	if !a.campaigning {
		return
	}
	if a.fencingToken != 0 && now >= a.expiresAt {
		a.loseLease(now)
	}
	if a.answersDueAt != 0 && now >= a.answersDueAt {
		a.abandonRound(now)
	}
	if now >= a.nextRequestAt {
		a.sendRequest(now, initialToken)
	}
}

func (a *Candidate) sendRequest(now time.Duration, initialToken uint64) {
	fencingToken := a.fencingToken
	if fencingToken == 0 {
		fencingToken = max(a.highestToken+1, initialToken)
		if a.highestToken = fencingToken; mutation == reusedToken {
			fencingToken = 1
		}
		a.answersDueAt, a.nextRequestAt = now+answerTimeout, now+a.ttl
	} else {
		a.nextRequestAt = now + a.ttl/renewalsPerTTL
	}
	a.lastRound++
	a.rounds = append(a.rounds, round{number: a.lastRound, fencingToken: fencingToken, sentAt: now})
	a.rounds = a.rounds[max(0, len(a.rounds)-maxRounds):]
	for _, n := range a.voters.All() {
		a.host.Send(n, Message{Op: Request, Lease: a.leaseName, VoterSetVersion: a.voters.Version, Round: a.lastRound, FencingToken: fencingToken, TTL: a.ttl, Holder: a.self})
	}
}

// Take hears a voter.
func (a *Candidate) Receive(from Node, m Message, now time.Duration) {
	if !a.campaigning || m.Lease != a.leaseName || !slices.Contains(a.voters.All(), from) {
		return
	}
	a.lastHeard[from] = now
	if m.Op == Available && m.Holder == a.self {
		if a.fencingToken == 0 && a.answersDueAt == 0 {
			a.highestToken, a.nextRequestAt = max(a.highestToken, m.FencingToken), now
		}
		return
	}
	if m.Op == Reject {
		a.highestToken = max(a.highestToken, m.FencingToken)
		a.rejectionReasons[from], a.knownHolder = m.Reason, m.Holder
	}
	i := slices.IndexFunc(a.rounds, func(r round) bool { return r.number == m.Round })
	if i < 0 {
		return
	}
	r := &a.rounds[i]
	switch {
	case m.Op == Grant && m.FencingToken == r.fencingToken && m.Holder == a.self && m.TTL >= a.ttl && !slices.Contains(r.grants, from):
		delete(a.rejectionReasons, from)
		r.grants = append(r.grants, from)
		a.countGrants(r, now)
	case m.Op == Reject && !r.rejectedBy(from):
		r.rejections, r.retryAfter = append(r.rejections, from), max(r.retryAfter, m.TTL)
		if a.fencingToken == 0 && a.answersDueAt != 0 && i == len(a.rounds)-1 && !a.voters.majorityPossible(r.rejectedBy) {
			a.abandonRound(now)
		}
	}
}

// granted counts a voter's word. The hold is counted from before the question went out, and is shorter than what the voters keep to.
func (a *Candidate) countGrants(r *round, now time.Duration) {
	if !a.voters.majority(func(n Node) bool { return slices.Contains(r.grants, n) }) {
		return
	}
	expiresAt := r.sentAt + a.ttl - a.ttl/driftDivisor
	if mutation == holdCountedFromAnswer {
		expiresAt += now - r.sentAt
	}
	if expiresAt <= now || a.fencingToken != 0 && r.fencingToken != a.fencingToken {
		return
	}
	a.expiresAt = max(a.expiresAt, expiresAt)
	if a.fencingToken != 0 {
		return
	}
	a.fencingToken, a.heldSince, a.failures, a.answersDueAt, a.knownHolder = r.fencingToken, now, 0, 0, a.self
	a.nextRequestAt = r.sentAt + a.ttl/renewalsPerTTL
	a.host.Acquired(a.leaseName, a.fencingToken)
}

// giveUp gives back what a question in vain was granted, and waits: for as long as it was told, longer with each, and by chance, so that
// many who ask at once come apart.
func (a *Candidate) abandonRound(now time.Duration) {
	r := &a.rounds[len(a.rounds)-1]
	a.answersDueAt = 0
	a.failures++
	backoff := min(minBackoff<<min(a.failures, 10), a.ttl)
	backoff = backoff/2 + a.jitter(backoff)
	switch retryAfter := r.retryAfter; {
	case retryAfter > 2*a.ttl: // there is no place in line: those who rest come one by one
		backoff = min(retryAfter, maxQueueFullWait*a.ttl)
		backoff = backoff/2 + a.jitter(backoff/2)
	case retryAfter > 0: // it has its place in line
		backoff = retryAfter + a.jitter(queueSpacing)
	}
	a.nextRequestAt = now + backoff
	a.release(r.fencingToken, r.rejectedBy) // who refused has nothing to get back
	a.rounds = nil
}

// Report is how it stands, for who looks.
type CandidateStatus struct {
	Lease  string
	Campaigning  bool
	FencingToken uint64        // 0: it does not hold
	HeldFor    time.Duration // it has held
	Remaining   time.Duration
	Holder Holder                 // who has it, as far as it knows
	RejectionReasons    map[Node]Reason           // of the latest refusals, by voter
	LastHeard  map[Node]time.Duration // how long ago each voter said something
}

// Look tells how it stands.
func (a *Candidate) Status(now time.Duration) CandidateStatus {
	r := CandidateStatus{Lease: a.leaseName, Campaigning: a.campaigning, Holder: a.knownHolder, RejectionReasons: a.rejectionReasons, LastHeard: make(map[Node]time.Duration)}
	if fencingToken, ok := a.Held(now); ok {
		r.FencingToken, r.HeldFor, r.Remaining = fencingToken, now-a.heldSince, a.expiresAt-now
	}
	for n, heardAt := range a.lastHeard {
		r.LastHeard[n] = now - heardAt
	}
	return r
}
