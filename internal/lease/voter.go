package lease

import (
	"maps"
	"slices"
	"time"
)

// Promise is the part of a voter's state that must survive a restart. The voter grants the lease neither under a fencing token that is not
// above FencingToken nor to a candidate whose set of voters is older than VoterSetVersion.
type Promise struct {
	FencingToken    uint64
	VoterSetVersion uint32
}

// VoterHost sends the messages of a voter and stores its promises.
type VoterHost interface {
	// Send sends a message to a candidate. Delivery is not guaranteed.
	Send(to Node, m Message)
	// Persist stores a promise and then calls done; without storage it calls done immediately.
	Persist(lease string, p Promise, done func(error))
}

const (
	maxLeases      = 64
	maxQueueLength = 16                    // bounds the messages that a voter receives in a large fleet; candidates outside the queue ask less often
	queueTimeout   = 3 * time.Second       // a candidate whose next request is later than its retryAt by more than this loses its position
	queueSpacing   = 50 * time.Millisecond // interval between the next requests of successive candidates in the queue
)

// queuedCandidate is a candidate that waits for a lease held by another driver.
type queuedCandidate struct {
	holder  Holder
	retryAt time.Duration // time at which the voter told it to ask again
}

// grantState is what a voter knows about one lease.
type grantState struct {
	promise   Promise
	persisted Promise // latest promise in storage
	holder    Holder
	expiresAt time.Duration     // end of the grant
	queue     []queuedCandidate // in order of first request
}

// Voter grants leases to candidates on behalf of one driver.
type Voter struct {
	host                  VoterHost
	self                  Node
	voters                VoterSet
	maxTTL                time.Duration
	silentUntil           time.Duration // the voter grants nothing before this time
	newestVoterSetVersion uint32        // highest version of any set of voters that the voter has seen
	grants                map[string]*grantState
}

// NewVoter returns a voter that has just started. It grants nothing until every lease granted before the start, of maxTTL at most,
// has expired: its storage may be an older copy and does not record all earlier grants.
func NewVoter(host VoterHost, self Node, voters VoterSet, maxTTL time.Duration, persisted map[string]Promise, now time.Duration) *Voter {
	v := &Voter{host: host, self: self, voters: voters, maxTTL: maxTTL, newestVoterSetVersion: voters.Version, grants: make(map[string]*grantState)}
	if mutation != noSilenceAfterStart {
		v.Silence(now)
	}
	for name, p := range persisted {
		v.grants[name] = &grantState{promise: p, persisted: p}
		v.newestVoterSetVersion = max(v.newestVoterSetVersion, p.VoterSetVersion)
	}
	return v
}

// ChangeVoters replaces the set of voters.
func (v *Voter) ChangeVoters(voters VoterSet) {
	v.voters = voters
	v.newestVoterSetVersion = max(v.newestVoterSetVersion, voters.Version)
}

// IsVoter reports whether the set of voters names this driver.
func (v *Voter) IsVoter() bool { return slices.Contains(v.voters.All(), v.self) }

// Silence makes the voter grant nothing until each lease that it may have granted has expired. It is called after a start, and when another
// process votes under the same name.
func (v *Voter) Silence(now time.Duration) {
	v.silentUntil = max(v.silentUntil, now+v.maxTTL+v.maxTTL/driftDivisor)
}

// SilentFor returns how much longer the voter grants nothing.
func (v *Voter) SilentFor(now time.Duration) time.Duration { return max(0, v.silentUntil-now) }

// Receive processes a message from a candidate.
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

// handleRequest answers a request. A voter that knows maxLeases leases ignores requests for any other.
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
	case m.VoterSetVersion < v.newestVoterSetVersion:
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

// tokenUsed reports whether the fencing token of a request was used before. The holder may use its own again, to extend its lease.
func (s *grantState) tokenUsed(m Message) bool {
	if m.FencingToken == s.promise.FencingToken {
		return s.holder != m.Holder
	}
	return m.FencingToken < s.promise.FencingToken
}

// grant records the grant at once and answers when the promise is in storage.
func (v *Voter) grant(state *grantState, m Message, now time.Duration) {
	ttl := min(m.TTL, v.maxTTL)
	v.newestVoterSetVersion = max(v.newestVoterSetVersion, m.VoterSetVersion)
	state.holder, state.expiresAt = m.Holder, now+ttl
	state.promise = Promise{m.FencingToken, v.newestVoterSetVersion}
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
		Op: Reject, Reason: reason, Lease: m.Lease, VoterSetVersion: v.newestVoterSetVersion, Round: m.Round,
		FencingToken: state.promise.FencingToken, TTL: retryAfter, Holder: state.holder,
	})
}

// enqueue gives the candidate a position in the queue and returns the wait until its next request, which is long if the queue is full. Should
// all candidates in the queue fail together with the holder, one of the many outside the queue still asks soon.
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

// handleRelease ends the grant when its holder releases the lease, and notifies the first candidate in the queue. From then on a delayed
// request under the same fencing token is rejected.
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

// GrantStatus is a snapshot of a voter's grant of one lease, for operators.
type GrantStatus struct {
	Lease        string
	FencingToken uint64        // highest token that was granted or released
	Holder       Holder        // zero if the lease is not granted
	Remaining    time.Duration // time until the grant expires
	Waiting      int           // number of candidates in the queue
}

// Grants returns a snapshot of all known leases, sorted by name.
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
