package lease

import (
	"slices"
	"time"

	"passtack/internal/pcg"
)

// AskerHost is what an asker acts through.
type AskerHost interface {
	Send(to Node, m Message)
	Gained(lease string, number uint64)
	Lost(lease string, number uint64)
}

// round is one question to all voters.
type round struct {
	number uint64 // of the round
	term   uint64 // fencing number
	sent   time.Duration
	yes    []Node
	no     []Node
	wait   time.Duration // longest that a refusal told
}

func (r *round) refused(n Node) bool { return slices.Contains(r.no, n) }

const (
	remembered = 4                      // rounds whose answers may still come
	answers    = 300 * time.Millisecond // for which the answers to a question in vain are waited for
	leastWait  = 100 * time.Millisecond // between two questions in vain; it doubles up to a lease
	renewals   = 3                      // in a lease
	rests      = 20                     // leases that who finds the line full waits at most
)

// Asker wants one lease for its driver.
type Asker struct {
	host   AskerHost
	me     Holder
	name   string
	lasts  time.Duration
	set    Set
	chance *pcg.Source

	wants  bool
	term   uint64        // the number under which it holds, 0: it does not
	end    time.Duration // of its hold
	since  time.Duration
	seen   uint64 // highest number heard of
	round  uint64
	rounds []round       // the newest last
	next   time.Duration // when to ask
	judge  time.Duration // when a question in vain is given up; 0: none is out
	vain   int           // questions in vain, in a row
	holder Holder        // who has it, as far as it was told
	why    map[Node]Why  // of the latest refusals
	heard  map[Node]time.Duration
}

// NewAsker makes one that wants nothing yet.
func NewAsker(host AskerHost, me Holder, name string, lasts time.Duration, set Set, seed uint64) *Asker {
	return &Asker{host: host, me: me, name: name, lasts: lasts, set: set, chance: pcg.New(seed), why: make(map[Node]Why), heard: make(map[Node]time.Duration)}
}

// Change takes over another set of voters. What is held goes on until its end; more time is asked for from the new set.
func (a *Asker) Change(set Set) { a.set, a.rounds, a.judge = set, nil, 0 }

// Want lets it ask, Leave gives back what it holds and asks no more.
func (a *Asker) Want(now time.Duration) {
	if !a.wants {
		a.wants, a.next = true, now
	}
}

func (a *Asker) Leave(now time.Duration) {
	a.wants = false
	a.lose(now)
	a.release(a.latest(), nobody)
	a.rounds, a.judge = nil, 0
}

// Held is the guard: it tells, right before an act, whether that may be done, and under which number. Now has to be the time of that moment.
func (a *Asker) Held(now time.Duration) (number uint64, ok bool) {
	return a.term, a.term != 0 && now < a.end
}

// latest is the term of the newest question.
func (a *Asker) latest() uint64 {
	if len(a.rounds) == 0 {
		return 0
	}
	return a.rounds[len(a.rounds)-1].term
}

func nobody(Node) bool { return false }

// release gives a term back to all voters but some.
func (a *Asker) release(term uint64, but func(Node) bool) {
	if term == 0 {
		return
	}
	for _, n := range a.set.All() {
		if but(n) {
			continue
		}
		a.host.Send(n, Message{Op: Release, Lease: a.name, Version: a.set.Version, Number: term, Holder: a.me})
	}
}

func (a *Asker) lose(now time.Duration) {
	if a.term == 0 {
		return
	}
	term := a.term
	a.term, a.end, a.rounds, a.judge = 0, 0, nil, 0
	a.next = now + a.jitter(leastWait)
	a.host.Lost(a.name, term)
	a.release(term, nobody)
}

func (a *Asker) jitter(most time.Duration) time.Duration {
	return time.Duration(a.chance.Float() * float64(most))
}

// Wakes tells when Wake is to be called next.
func (a *Asker) Wakes() (at time.Duration, ok bool) {
	if !a.wants {
		return 0, false
	}
	at = a.next
	if a.judge != 0 {
		at = min(at, a.judge)
	}
	if a.term != 0 {
		at = min(at, a.end)
	}
	return at, true
}

// Wake does what is due. Stamp counts up with the time of day: numbers begin there, so that they rise also where all voters have forgotten
// theirs. Nothing but numbers depends on it.
func (a *Asker) Wake(now time.Duration, stamp uint64) {
	if !a.wants {
		return
	}
	if a.term != 0 && now >= a.end {
		a.lose(now)
	}
	if a.judge != 0 && now >= a.judge {
		a.giveUp(now)
	}
	if now >= a.next {
		a.ask(now, stamp)
	}
}

func (a *Asker) ask(now time.Duration, stamp uint64) {
	term := a.term
	if term == 0 {
		term = max(a.seen+1, stamp)
		if a.seen = term; plant == reusesNumber {
			term = 1
		}
		a.judge, a.next = now+answers, now+a.lasts
	} else {
		a.next = now + a.lasts/renewals
	}
	a.round++
	a.rounds = append(a.rounds, round{number: a.round, term: term, sent: now})
	a.rounds = a.rounds[max(0, len(a.rounds)-remembered):]
	for _, n := range a.set.All() {
		a.host.Send(n, Message{Op: Ask, Lease: a.name, Version: a.set.Version, Round: a.round, Number: term, Lasts: a.lasts, Holder: a.me})
	}
}

// Take hears a voter.
func (a *Asker) Take(from Node, m Message, now time.Duration) {
	if !a.wants || m.Lease != a.name || !slices.Contains(a.set.All(), from) {
		return
	}
	a.heard[from] = now
	if m.Op == Free && m.Holder == a.me {
		if a.term == 0 && a.judge == 0 {
			a.seen, a.next = max(a.seen, m.Number), now
		}
		return
	}
	if m.Op == Refuse {
		a.seen = max(a.seen, m.Number)
		a.why[from], a.holder = m.Why, m.Holder
	}
	i := slices.IndexFunc(a.rounds, func(r round) bool { return r.number == m.Round })
	if i < 0 {
		return
	}
	r := &a.rounds[i]
	switch {
	case m.Op == Grant && m.Number == r.term && m.Holder == a.me && m.Lasts >= a.lasts && !slices.Contains(r.yes, from):
		delete(a.why, from)
		r.yes = append(r.yes, from)
		a.granted(r, now)
	case m.Op == Refuse && !r.refused(from):
		r.no, r.wait = append(r.no, from), max(r.wait, m.Lasts)
		if a.term == 0 && a.judge != 0 && i == len(a.rounds)-1 && !a.set.possible(r.refused) {
			a.giveUp(now)
		}
	}
}

// granted counts a voter's word. The hold is counted from before the question went out, and is shorter than what the voters keep to.
func (a *Asker) granted(r *round, now time.Duration) {
	if !a.set.majority(func(n Node) bool { return slices.Contains(r.yes, n) }) {
		return
	}
	end := r.sent + a.lasts - a.lasts/Drift
	if plant == countsFromAnswer {
		end += now - r.sent
	}
	if end <= now || a.term != 0 && r.term != a.term {
		return
	}
	a.end = max(a.end, end)
	if a.term != 0 {
		return
	}
	a.term, a.since, a.vain, a.judge, a.holder = r.term, now, 0, 0, a.me
	a.next = r.sent + a.lasts/renewals
	a.host.Gained(a.name, a.term)
}

// giveUp gives back what a question in vain was granted, and waits: for as long as it was told, longer with each, and by chance, so that
// many who ask at once come apart.
func (a *Asker) giveUp(now time.Duration) {
	r := &a.rounds[len(a.rounds)-1]
	a.judge = 0
	a.vain++
	wait := min(leastWait<<min(a.vain, 10), a.lasts)
	wait = wait/2 + a.jitter(wait)
	switch told := r.wait; {
	case told > 2*a.lasts: // there is no place in line: those who rest come one by one
		wait = min(told, rests*a.lasts)
		wait = wait/2 + a.jitter(wait/2)
	case told > 0: // it has its place in line
		wait = told + a.jitter(spacing)
	}
	a.next = now + wait
	a.release(r.term, r.refused) // who refused has nothing to get back
	a.rounds = nil
}

// Report is how it stands, for who looks.
type Report struct {
	Lease  string
	Wants  bool
	Number uint64        // 0: it does not hold
	For    time.Duration // it has held
	Left   time.Duration
	Holder Holder                 // who has it, as far as it knows
	Why    map[Node]Why           // of the latest refusals, by voter
	Heard  map[Node]time.Duration // how long ago each voter said something
}

// Look tells how it stands.
func (a *Asker) Look(now time.Duration) Report {
	r := Report{Lease: a.name, Wants: a.wants, Holder: a.holder, Why: a.why, Heard: make(map[Node]time.Duration)}
	if number, ok := a.Held(now); ok {
		r.Number, r.For, r.Left = number, now-a.since, a.end-now
	}
	for n, at := range a.heard {
		r.Heard[n] = now - at
	}
	return r
}
