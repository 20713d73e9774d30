package lease

import (
	"maps"
	"slices"
	"time"
)

// Promise is what a voter has to know in its next life: numbers that are used up, and the newest set of voters heard of.
type Promise struct {
	Number  uint64
	Version uint32
}

// VoterHost is what a voter acts through.
type VoterHost interface {
	Send(to Node, m Message)
	// Keep brings a promise to the disk and calls then; where there is none it calls at once.
	Keep(lease string, p Promise, then func(error))
}

// waiter asks in vain for now.
type waiter struct {
	holder Holder
	told   time.Duration // when it is to ask again
}

// vote is what a voter knows of one lease.
type vote struct {
	promise Promise
	kept    Promise
	holder  Holder
	until   time.Duration // the grant binds; it is over where that is past
	waiting []waiter      // in the order in which they came
}

const (
	mostLeases  = 64
	mostWaiting = 16                    // that stand in line; whoever asks beyond them is told to rest, so that what voters get grows little with the fleet
	patience    = 3 * time.Second       // for which who does not ask again in time keeps its place
	spacing     = 50 * time.Millisecond // between the times that two who wait are told
)

// Voter grants leases.
type Voter struct {
	host    VoterHost
	me      Node
	set     Set
	longest time.Duration
	silent  time.Duration // until when it grants nothing
	adopted uint32        // newest version of a set that it has heard of
	votes   map[string]*vote
}

// NewVoter makes one that has just started. Whatever it finds on its disk, it grants nothing for the longest that any lease may last: what
// it finds may be an older copy. What it knows are numbers and the set of voters.
func NewVoter(host VoterHost, me Node, set Set, longest time.Duration, kept map[string]Promise, now time.Duration) *Voter {
	v := &Voter{host: host, me: me, set: set, longest: longest, silent: now + longest + longest/Drift, adopted: set.Version, votes: make(map[string]*vote)}
	if plant == answersAtOnce {
		v.silent = now
	}
	for name, p := range kept {
		v.votes[name] = &vote{promise: p, kept: p}
		v.adopted = max(v.adopted, p.Version)
	}
	return v
}

// Change takes over another set of voters.
func (v *Voter) Change(set Set) {
	v.set = set
	v.adopted = max(v.adopted, set.Version)
}

// Votes tells whether it is a voter.
func (v *Voter) Votes() bool { return slices.Contains(v.set.All(), v.me) }

// Silence tells for how long it still grants nothing.
func (v *Voter) Silence(now time.Duration) time.Duration { return max(0, v.silent-now) }

// Hush lets it grant nothing for the longest lease, as after a start: there is another of its name.
func (v *Voter) Hush(now time.Duration) { v.silent = max(v.silent, now+v.longest+v.longest/Drift) }

// Take hears a message of a driver.
func (v *Voter) Take(from Node, m Message, now time.Duration) {
	if !v.Votes() || m.Holder.Node != from || len(m.Lease) == 0 || len(m.Lease) > LongestName {
		return
	}
	switch m.Op {
	case Ask:
		v.asked(m, now)
	case Release:
		v.released(m, now)
	}
}

func (v *Voter) asked(m Message, now time.Duration) {
	t := v.votes[m.Lease]
	if t == nil {
		if len(v.votes) >= mostLeases {
			return
		}
		t = new(vote)
		v.votes[m.Lease] = t
	}
	bound := now < t.until && t.holder != m.Holder
	mine := t.holder == m.Holder && m.Number == t.promise.Number // the same term
	switch {
	case now < v.silent:
		v.refuse(t, m, Silent, v.silent-now)
	case m.Version < v.adopted:
		v.refuse(t, m, Older, v.longest)
	case bound:
		v.refuse(t, m, Held, t.wait(m, now))
	case plant != reusesNumber && (m.Number < t.promise.Number || m.Number == t.promise.Number && !mine):
		v.refuse(t, m, Lower, 0)
	default:
		v.grant(t, m, now)
	}
}

// grant binds the voter at once; the answer goes out once what has to outlast it is kept.
func (v *Voter) grant(t *vote, m Message, now time.Duration) {
	v.adopted = max(v.adopted, m.Version)
	t.holder, t.until = m.Holder, now+min(m.Lasts, v.longest)
	t.promise = Promise{m.Number, v.adopted}
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.holder == m.Holder })
	answer := Message{Op: Grant, Lease: m.Lease, Version: v.set.Version, Round: m.Round, Number: m.Number, Lasts: min(m.Lasts, v.longest), Holder: m.Holder}
	if t.kept == t.promise {
		v.host.Send(m.Holder.Node, answer)
		return
	}
	promise := t.promise
	v.host.Keep(m.Lease, promise, func(err error) {
		if err != nil {
			v.refuse(t, m, Unkept, v.longest)
			return
		}
		t.kept = promise
		v.host.Send(m.Holder.Node, answer)
	})
}

func (v *Voter) refuse(t *vote, m Message, why Why, wait time.Duration) {
	v.host.Send(m.Holder.Node, Message{Op: Refuse, Why: why, Lease: m.Lease, Version: v.adopted, Round: m.Round, Number: t.promise.Number, Lasts: wait, Holder: t.holder})
}

// wait gives a place in line, and tells when its turn comes. Where the line is full it tells to rest: should all in line be gone with the holder, the
// next of the many who rest asks soon, and finds the lease free.
func (t *vote) wait(m Message, now time.Duration) time.Duration {
	h := m.Holder
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.holder != h && now > w.told+patience })
	place := slices.IndexFunc(t.waiting, func(w waiter) bool { return w.holder == h })
	if place < 0 {
		if len(t.waiting) >= mostWaiting {
			return t.until - now + rests*m.Lasts
		}
		place = len(t.waiting)
		t.waiting = append(t.waiting, waiter{holder: h})
	}
	told := t.until - now + time.Duration(place)*spacing
	t.waiting[place].told = now + told
	return told
}

// released frees what the holder gives back, and calls the first who waits. A question of the same term that comes late is refused then.
func (v *Voter) released(m Message, now time.Duration) {
	t := v.votes[m.Lease]
	if t == nil || m.Number < t.promise.Number || t.holder != m.Holder && now < t.until {
		return
	}
	t.promise.Number, t.holder, t.until = m.Number, Holder{}, now
	if len(t.waiting) > 0 {
		first := t.waiting[0].holder
		v.host.Send(first.Node, Message{Op: Free, Lease: m.Lease, Version: v.set.Version, Number: t.promise.Number, Holder: first})
	}
}

// Granted is what a voter has granted, for who looks.
type Granted struct {
	Lease   string
	Number  uint64
	Holder  Holder
	Left    time.Duration
	Waiting int
}

// Grants tells what it has granted, by name.
func (v *Voter) Grants(now time.Duration) (all []Granted) {
	for _, name := range slices.Sorted(maps.Keys(v.votes)) {
		t := v.votes[name]
		g := Granted{Lease: name, Number: t.promise.Number, Waiting: len(t.waiting)}
		if now < t.until {
			g.Holder, g.Left = t.holder, t.until-now
		}
		all = append(all, g)
	}
	return all
}
