package lease

import (
	"maps"
	"slices"
	"time"
)

// Promise is what a voter has to know in its next life: numbers that are used up, and the newest set of voters heard of.
type Promise struct {
	FencingToken  uint64
	VoterSetVersion uint32
}

// VoterHost is what a voter acts through.
type VoterHost interface {
	Send(to Node, m Message)
	// Keep brings a promise to the disk and calls then; where there is none it calls at once.
	Persist(lease string, p Promise, then func(error))
}

// waiter asks in vain for now.
type waiter struct {
	holder Holder
	retryAt   time.Duration // when it is to ask again
}

// vote is what a voter knows of one lease.
type grantState struct {
	promise Promise
	persisted    Promise
	holder  Holder
	expiresAt   time.Duration // the grant binds; it is over where that is past
	queue []waiter      // in the order in which they came
}

const (
	maxLeases  = 64
	maxQueueLength = 16                    // that stand in line; whoever asks beyond them is told to rest, so that what voters get grows little with the fleet
	queueTimeout    = 3 * time.Second       // for which who does not ask again in time keeps its place
	queueSpacing     = 50 * time.Millisecond // between the times that two who wait are told
)

// Voter grants leases.
type Voter struct {
	host    VoterHost
	self      Node
	voters     VoterSet
	maxTTL time.Duration
	silentUntil  time.Duration // until when it grants nothing
	newestVersion uint32        // newest version of a set that it has heard of
	grants   map[string]*grantState
}

// NewVoter makes one that has just started. Whatever it finds on its disk, it grants nothing for the longest that any lease may last: what
// it finds may be an older copy. What it knows are numbers and the set of voters.
func NewVoter(host VoterHost, self Node, voters VoterSet, maxTTL time.Duration, persisted map[string]Promise, now time.Duration) *Voter {
	v := &Voter{host: host, self: self, voters: voters, maxTTL: maxTTL, silentUntil: now + maxTTL + maxTTL/driftDivisor, newestVersion: voters.Version, grants: make(map[string]*grantState)}
	if mutation == noSilenceAfterStart {
		v.silentUntil = now
	}
	for name, p := range persisted {
		v.grants[name] = &grantState{promise: p, persisted: p}
		v.newestVersion = max(v.newestVersion, p.VoterSetVersion)
	}
	return v
}

// Change takes over another set of voters.
func (v *Voter) ChangeVoters(voters VoterSet) {
	v.voters = voters
	v.newestVersion = max(v.newestVersion, voters.Version)
}

// Votes tells whether it is a voter.
func (v *Voter) IsVoter() bool { return slices.Contains(v.voters.All(), v.self) }

// Silence tells for how long it still grants nothing.
func (v *Voter) SilentFor(now time.Duration) time.Duration { return max(0, v.silentUntil-now) }

// Hush lets it grant nothing for the longest lease, as after a start: there is another of its name.
func (v *Voter) Silence(now time.Duration) { v.silentUntil = max(v.silentUntil, now+v.maxTTL+v.maxTTL/driftDivisor) }

// Take hears a message of a driver.
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

func (v *Voter) handleRequest(m Message, now time.Duration) {
	state := v.grants[m.Lease]
	if state == nil {
		if len(v.grants) >= maxLeases {
			return
		}
		state = new(grantState)
		v.grants[m.Lease] = state
	}
	heldByAnother := now < state.expiresAt && state.holder != m.Holder
	sameHold := state.holder == m.Holder && m.FencingToken == state.promise.FencingToken // the same term
	switch {
	case now < v.silentUntil:
		v.reject(state, m, VoterStarting, v.silentUntil-now)
	case m.VoterSetVersion < v.newestVersion:
		v.reject(state, m, StaleVoterSet, v.maxTTL)
	case heldByAnother:
		v.reject(state, m, HeldByAnother, state.enqueue(m, now))
	case mutation != reusedToken && (m.FencingToken < state.promise.FencingToken || m.FencingToken == state.promise.FencingToken && !sameHold):
		v.reject(state, m, StaleToken, 0)
	default:
		v.grant(state, m, now)
	}
}

// grant binds the voter at once; the answer goes out once what has to outlast it is kept.
func (v *Voter) grant(state *grantState, m Message, now time.Duration) {
	v.newestVersion = max(v.newestVersion, m.VoterSetVersion)
	state.holder, state.expiresAt = m.Holder, now+min(m.TTL, v.maxTTL)
	state.promise = Promise{m.FencingToken, v.newestVersion}
	state.queue = slices.DeleteFunc(state.queue, func(w waiter) bool { return w.holder == m.Holder })
	answer := Message{Op: Grant, Lease: m.Lease, VoterSetVersion: v.voters.Version, Round: m.Round, FencingToken: m.FencingToken, TTL: min(m.TTL, v.maxTTL), Holder: m.Holder}
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
	v.host.Send(m.Holder.Node, Message{Op: Reject, Reason: reason, Lease: m.Lease, VoterSetVersion: v.newestVersion, Round: m.Round, FencingToken: state.promise.FencingToken, TTL: retryAfter, Holder: state.holder})
}

// wait gives a place in line, and tells when its turn comes. Where the line is full it tells to rest: should all in line be gone with the holder, the
// next of the many who rest asks soon, and finds the lease free.
func (s *grantState) enqueue(m Message, now time.Duration) time.Duration {
	holder := m.Holder
	s.queue = slices.DeleteFunc(s.queue, func(w waiter) bool { return w.holder != holder && now > w.retryAt+queueTimeout })
	position := slices.IndexFunc(s.queue, func(w waiter) bool { return w.holder == holder })
	if position < 0 {
		if len(s.queue) >= maxQueueLength {
			return s.expiresAt - now + maxQueueFullWait*m.TTL
		}
		position = len(s.queue)
		s.queue = append(s.queue, waiter{holder: holder})
	}
	retryAfter := s.expiresAt - now + time.Duration(position)*queueSpacing
	s.queue[position].retryAt = now + retryAfter
	return retryAfter
}

// released frees what the holder gives back, and calls the first who waits. A question of the same term that comes late is refused then.
func (v *Voter) handleRelease(m Message, now time.Duration) {
	state := v.grants[m.Lease]
	if state == nil || m.FencingToken < state.promise.FencingToken || state.holder != m.Holder && now < state.expiresAt {
		return
	}
	state.promise.FencingToken, state.holder, state.expiresAt = m.FencingToken, Holder{}, now
	if len(state.queue) > 0 {
		first := state.queue[0].holder
		v.host.Send(first.Node, Message{Op: Available, Lease: m.Lease, VoterSetVersion: v.voters.Version, FencingToken: state.promise.FencingToken, Holder: first})
	}
}

// Granted is what a voter has granted, for who looks.
type GrantStatus struct {
	Lease   string
	FencingToken  uint64
	Holder  Holder
	Remaining    time.Duration
	Waiting int
}

// Grants tells what it has granted, by name.
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
