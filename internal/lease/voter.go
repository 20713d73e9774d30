package lease

import (
	"maps"
	"slices"
	"time"
)

// Promise is what a voter has to know after a restart: no lease is granted under a fencing token that is not above FencingToken, nor to a
// candidate with an older set of voters.
type Promise struct {
	FencingToken    uint64
	VoterSetVersion uint32
}

// VoterHost is what a voter acts through.
type VoterHost interface {
	// Send sends a message to a candidate; it may be lost.
	Send(to Node, m Message)
	// Persist stores a promise and calls done, at once where there is no storage.
	Persist(lease string, p Promise, done func(error))
}

const (
	maxLeases      = 64
	maxQueueLength = 16                    // bounds what a voter receives in a large fleet; candidates beyond it come back less often
	queueTimeout   = 3 * time.Second       // after which a candidate that did not ask again when told loses its position
	queueSpacing   = 50 * time.Millisecond // between the times at which two candidates of the queue ask again
)

// queuedCandidate waits for a lease that another holds.
type queuedCandidate struct {
	holder  Holder
	retryAt time.Duration // as it was told
}

// grantState is what a voter knows of one lease.
type grantState struct {
	promise   Promise
	persisted Promise // the newest that is in storage
	holder    Holder
	expiresAt time.Duration     // of the grant
	queue     []queuedCandidate // in order of arrival
}

// Voter grants leases.
type Voter struct {
	host          VoterHost
	self          Node
	voters        VoterSet
	maxTTL        time.Duration
	silentUntil   time.Duration // before it the voter grants nothing
	newestVersion uint32        // of a set of voters, that it has seen
	grants        map[string]*grantState
}

// NewVoter returns a voter that has just started. It grants nothing for maxTTL, which no lease exceeds, as its storage may be an older
// copy and does not tell what it granted before.
func NewVoter(host VoterHost, self Node, voters VoterSet, maxTTL time.Duration, persisted map[string]Promise, now time.Duration) *Voter {
	v := &Voter{host: host, self: self, voters: voters, maxTTL: maxTTL, newestVersion: voters.Version, grants: make(map[string]*grantState)}
	if mutation != noSilenceAfterStart {
		v.Silence(now)
	}
	for name, p := range persisted {
		v.grants[name] = &grantState{promise: p, persisted: p}
		v.newestVersion = max(v.newestVersion, p.VoterSetVersion)
	}
	return v
}

// ChangeVoters replaces the set of voters.
func (v *Voter) ChangeVoters(voters VoterSet) {
	v.voters = voters
	v.newestVersion = max(v.newestVersion, voters.Version)
}

// IsVoter reports whether the set of voters names this driver.
func (v *Voter) IsVoter() bool { return slices.Contains(v.voters.All(), v.self) }

// Silence lets the voter grant nothing until each lease that it may have granted has expired: after a start, and where another process
// votes under the same name.
func (v *Voter) Silence(now time.Duration) {
	v.silentUntil = max(v.silentUntil, now+v.maxTTL+v.maxTTL/driftDivisor)
}

// SilentFor returns for how long the voter still grants nothing.
func (v *Voter) SilentFor(now time.Duration) time.Duration { return max(0, v.silentUntil-now) }

// Receive takes a message from a candidate.
func (v *Voter) Receive(from Node, m Message, now time.Duration) {
	if !v.IsVoter() || m.Holder.Node != from || len(m.Lease) == 0 || len(m.Lease) > MaxNameLength {
		return
	}
	switch m.Op {
	case Request:
		v.handleRequest(m, now)
	case Release:
		v.handleRelease(m, now)
	}
}

// handleRequest answers a request. A voter that knows maxLeases leases answers none for another.
func (v *Voter) handleRequest(m Message, now time.Duration) {
	state := v.grants[m.Lease]
	if state == nil {
		if len(v.grants) >= maxLeases {
			return
		}
		state = new(grantState)
		v.grants[m.Lease] = state
	}
	switch {
	case now < v.silentUntil:
		v.reject(state, m, VoterStarting, v.silentUntil-now)
	case m.VoterSetVersion < v.newestVersion:
		v.reject(state, m, StaleVoterSet, v.maxTTL)
	case state.heldByAnother(m.Holder, now):
		v.reject(state, m, HeldByAnother, state.enqueue(m, now))
	case state.tokenUsed(m) && mutation != reusedToken:
		v.reject(state, m, StaleToken, 0)
	default:
		v.grant(state, m, now)
	}
}

func (s *grantState) heldByAnother(holder Holder, now time.Duration) bool {
	return now < s.expiresAt && s.holder != holder
}

// tokenUsed reports whether a request's fencing token is used up. The holder's own is not: it extends its lease.
func (s *grantState) tokenUsed(m Message) bool {
	if m.FencingToken == s.promise.FencingToken {
		return s.holder != m.Holder
	}
	return m.FencingToken < s.promise.FencingToken
}

// grant binds the voter at once, and answers once the promise is in storage.
func (v *Voter) grant(state *grantState, m Message, now time.Duration) {
	ttl := min(m.TTL, v.maxTTL)
	v.newestVersion = max(v.newestVersion, m.VoterSetVersion)
	state.holder, state.expiresAt = m.Holder, now+ttl
	state.promise = Promise{m.FencingToken, v.newestVersion}
	state.queue = slices.DeleteFunc(state.queue, func(q queuedCandidate) bool { return q.holder == m.Holder })
	answer := Message{
		Op: Grant, Lease: m.Lease, VoterSetVersion: v.voters.Version, Round: m.Round, FencingToken: m.FencingToken, TTL: ttl, Holder: m.Holder,
	}
	if state.persisted == state.promise {
		v.host.Send(m.Holder.Node, answer)
		return
	}
	promise := state.promise
	v.host.Persist(m.Lease, promise, func(err error) {
		if err != nil {
			v.reject(state, m, NotPersisted, v.maxTTL)
			return
		}
		state.persisted = promise
		v.host.Send(m.Holder.Node, answer)
	})
}

func (v *Voter) reject(state *grantState, m Message, reason Reason, retryAfter time.Duration) {
	v.host.Send(m.Holder.Node, Message{
		Op: Reject, Reason: reason, Lease: m.Lease, VoterSetVersion: v.newestVersion, Round: m.Round,
		FencingToken: state.promise.FencingToken, TTL: retryAfter, Holder: state.holder,
	})
}

// enqueue gives the candidate a position in the queue and returns after which time it is to ask again. Where the queue is full that is
// long. Should all in the queue fail together with the holder, some candidate outside of it still asks soon, as there are many.
func (s *grantState) enqueue(m Message, now time.Duration) (retryAfter time.Duration) {
	s.queue = slices.DeleteFunc(s.queue, func(q queuedCandidate) bool { return q.holder != m.Holder && now > q.retryAt+queueTimeout })
	position := slices.IndexFunc(s.queue, func(q queuedCandidate) bool { return q.holder == m.Holder })
	if position < 0 {
		if len(s.queue) >= maxQueueLength {
			return s.expiresAt - now + maxQueueFullWait*m.TTL
		}
		position = len(s.queue)
		s.queue = append(s.queue, queuedCandidate{holder: m.Holder})
	}
	retryAfter = s.expiresAt - now + time.Duration(position)*queueSpacing
	s.queue[position].retryAt = now + retryAfter
	return retryAfter
}

// handleRelease frees the lease that its holder gives back, and notifies the first candidate of the queue. A delayed request under the
// same fencing token is rejected from then on.
func (v *Voter) handleRelease(m Message, now time.Duration) {
	state := v.grants[m.Lease]
	if state == nil || m.FencingToken < state.promise.FencingToken || state.heldByAnother(m.Holder, now) {
		return
	}
	state.promise.FencingToken, state.holder, state.expiresAt = m.FencingToken, Holder{}, now
	if len(state.queue) > 0 {
		first := state.queue[0].holder
		v.host.Send(first.Node, Message{
			Op: Available, Lease: m.Lease, VoterSetVersion: v.voters.Version, FencingToken: state.promise.FencingToken, Holder: first,
		})
	}
}

// GrantStatus is a snapshot of what a voter has granted of one lease, for operators.
type GrantStatus struct {
	Lease        string
	FencingToken uint64        // highest that it has granted or that was released
	Holder       Holder        // zero: the lease is not granted
	Remaining    time.Duration // until the grant expires
	Waiting      int           // candidates in the queue
}

// Grants returns a snapshot, sorted by lease.
func (v *Voter) Grants(now time.Duration) (statuses []GrantStatus) {
	for _, name := range slices.Sorted(maps.Keys(v.grants)) {
		state := v.grants[name]
		g := GrantStatus{Lease: name, FencingToken: state.promise.FencingToken, Waiting: len(state.queue)}
		if now < state.expiresAt {
			g.Holder, g.Remaining = state.holder, state.expiresAt-now
		}
		statuses = append(statuses, g)
	}
	return statuses
}
