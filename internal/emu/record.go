package emu

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Effect is what happens when a request runs more than once.
type Effect uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Effect = iota
	// Tokened requests carry an idempotency token by which members drop repeats.
	Tokened
	// NonIdempotent requests must run at most once.
	NonIdempotent
)

// Answers as clients see them.
const (
	OK         = "ok"
	PushedBack = "pushed back"
	Aborted    = "aborted"
	Nothing    = "nothing"   // no answer in time, or the connection ended
	NotTaken   = "not taken" // no answer, on a connection that the driver has never admitted
)

// Tolerance is how far the record may deviate from the times that the rules state.
type Tolerance struct {
	Grace time.Duration // after a driver hears of a drain
	Slack time.Duration // beyond any time in the rules, for data in transit
}

type clientTry struct {
	id, token, driver           string
	effect                      Effect
	start, deadline, answeredAt time.Duration
	answers                     []string
	effects, runs               int
	stale                       string
}

type arrival struct {
	id, member, driver string
	at                 time.Duration
}

type span struct{ from, to time.Duration }

// Record holds what clients and members observed. The rules are checked against it, not against what drivers believe.
type Record struct {
	Tolerance    Tolerance
	triesByID    map[string]*clientTry
	tries        []*clientTry
	arrivals     []arrival
	drainKnown   map[[2]string][]span // by driver and member: from hearing of a drain until hearing that the member is in service
	driverDown   map[string][]span    // when drivers were dead or suspended
	sendsDelayed map[string][]span    // when data sent by drivers could arrive late
	tokenEffects map[string]int       // number of effects by token
	overloaded   []string
}

// NewRecord returns an empty record.
func NewRecord(t Tolerance) *Record {
	return &Record{Tolerance: t, triesByID: make(map[string]*clientTry), drainKnown: make(map[[2]string][]span),
		driverDown: make(map[string][]span), sendsDelayed: make(map[string][]span), tokenEffects: make(map[string]int)}
}

// TrySent records a try of a client.
func (r *Record) TrySent(id, token, driver string, e Effect, at, until time.Duration) {
	a := &clientTry{id: id, token: token, driver: driver, effect: e, start: at, deadline: until}
	r.triesByID[id] = a
	r.tries = append(r.tries, a)
}

// TryAnswered records the answer that the client received.
func (r *Record) TryAnswered(id, answer string, at time.Duration) {
	if a := r.triesByID[id]; a != nil {
		a.answers = append(a.answers, answer)
		a.answeredAt = at
	}
}

// DriverOf returns the driver to which a try was sent.
func (r *Record) DriverOf(id string) string {
	if a := r.triesByID[id]; a != nil {
		return a.driver
	}
	return ""
}

// AttemptArrived records the arrival of an attempt at a member.
func (r *Record) AttemptArrived(id, member string, at time.Duration) {
	driver := ""
	if a := r.triesByID[id]; a != nil {
		driver = a.driver
	}
	r.arrivals = append(r.arrivals, arrival{id, member, driver, at})
}

// AttemptRan records that an attempt ran at a member, whether it had an effect, and what its data lacked (empty if
// nothing).
func (r *Record) AttemptRan(id string, effect bool, stale string) {
	a := r.triesByID[id]
	if a == nil {
		return
	}
	if a.runs++; effect {
		a.effects++
		if a.token != "" {
			r.tokenEffects[a.token]++
		}
	}
	a.stale = stale
}

// DrainHeard records that a driver heard that a member drains or is gone.
func (r *Record) DrainHeard(driver, member string, at time.Duration) {
	key := [2]string{driver, member}
	if known := r.drainKnown[key]; len(known) == 0 || known[len(known)-1].to < at {
		r.drainKnown[key] = append(known, span{at, forever})
	}
}

const forever = time.Duration(1<<63 - 1)

// InServiceHeard records that a driver heard that a member is in service again.
func (r *Record) InServiceHeard(driver, member string, at time.Duration) {
	if known := r.drainKnown[[2]string{driver, member}]; len(known) > 0 && known[len(known)-1].to == forever {
		known[len(known)-1].to = at
	}
}

// DriverDown records that a driver was dead or suspended; tries in that time are exempt from rule 1.
func (r *Record) DriverDown(driver string, from, to time.Duration) {
	r.driverDown[driver] = append(r.driverDown[driver], span{from, to})
}

// SendsDelayed records that data sent by a driver could arrive late: in that time the arrival of an attempt does not
// show when it was sent.
func (r *Record) SendsDelayed(driver string, from, to time.Duration) {
	r.sendsDelayed[driver] = append(r.sendsDelayed[driver], span{from, to})
}

func (r *Record) mayBeDelayed(c arrival) bool {
	return slices.ContainsFunc(r.sendsDelayed[c.driver], func(s span) bool { return c.at > s.from && c.at < s.to+time.Second })
}

// MemberOverloaded records that a cold member crashed under too much load.
func (r *Record) MemberOverloaded(member string) { r.overloaded = append(r.overloaded, member) }

func (r *Record) excused(a *clientTry) bool {
	return slices.ContainsFunc(r.driverDown[a.driver], func(s span) bool { return s.from < a.deadline && a.start < s.to })
}

// Counts returns the number of answers of each kind.
func (r *Record) Counts() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.tries {
		for _, answer := range a.answers {
			counts[answer]++
		}
	}
	return counts
}

// Broken describes each violation of a rule, in the order of the checks.
func (r *Record) Broken(end time.Duration) (broken []string) {
	report := func(rule int, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("rule %d: %s", rule, fmt.Sprintf(format, args...)))
	}
	for _, a := range r.tries {
		if a.deadline+r.Tolerance.Slack > end || r.excused(a) || len(a.answers) == 1 && a.answers[0] == NotTaken {
			continue
		}
		switch {
		case len(a.answers) != 1:
			report(1, "%s has %d answers", a.id, len(a.answers))
		case a.answers[0] == Nothing:
			report(1, "%s of %s has no answer before its deadline", a.id, a.driver)
		case a.answeredAt > a.deadline+r.Tolerance.Slack:
			report(1, "%s is answered %v late", a.id, a.answeredAt-a.deadline)
		}
	}
	for _, c := range r.arrivals {
		if a := r.triesByID[c.id]; a != nil && len(a.answers) > 0 && a.answers[0] != Nothing && a.answers[0] != NotTaken && c.at > a.answeredAt+r.Tolerance.Slack && !r.mayBeDelayed(c) {
			report(1, "%s reaches %s %v after its answer", c.id, c.member, c.at-a.answeredAt)
		}
	}
	for _, a := range r.tries {
		answer := ""
		if len(a.answers) > 0 {
			answer = a.answers[0]
		}
		if a.effect == NonIdempotent && a.effects > 1 {
			report(2, "%s had %d effects", a.id, a.effects)
		}
		if a.effect != Idempotent && answer == PushedBack && a.effects > 0 {
			report(2, "%s is pushed back though it had an effect", a.id)
		}
		if answer == OK && a.runs == 0 {
			report(1, "%s is ok though nothing ran", a.id)
		}
	}
	for _, token := range slices.Sorted(keysOf(r.tokenEffects)) {
		if n := r.tokenEffects[token]; n > 1 {
			report(2, "token %s had %d effects:%s", token, n, r.describeTries(token))
		}
	}
	for _, c := range r.arrivals {
		for _, s := range r.drainKnown[[2]string{c.driver, c.member}] {
			if c.at > s.from+r.Tolerance.Grace+r.Tolerance.Slack && c.at < s.to && !r.mayBeDelayed(c) {
				report(3, "%s reaches %s %v after %s heard that it drains", c.id, c.member, c.at-s.from, c.driver)
			}
		}
	}
	for _, m := range r.overloaded {
		report(4, "%s was overloaded while cold", m)
	}
	for _, a := range r.tries {
		if len(a.answers) > 0 && a.answers[0] == OK && a.stale != "" {
			report(5, "%s is answered from data that %s", a.id, a.stale)
		}
	}
	return broken
}

// describeTries describes each try with a token and its outcome.
func (r *Record) describeTries(token string) string {
	var text strings.Builder
	for _, a := range r.tries {
		if a.token == token {
			fmt.Fprintf(&text, " %s by %s from %v to %v, heard %s, %d effects;", a.id, a.driver, a.start, a.answeredAt, strings.Join(a.answers, " and "), a.effects)
		}
	}
	return strings.TrimSuffix(text.String(), ";")
}

func keysOf(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Digest returns a hash over the whole record.
func (r *Record) Digest() uint64 {
	hash := fnv.New64a()
	for _, a := range r.tries {
		fmt.Fprintln(hash, a.id, a.token, a.driver, a.start, a.answeredAt, a.answers, a.effects, a.runs)
	}
	for _, c := range r.arrivals {
		fmt.Fprintln(hash, c.id, c.member, c.at)
	}
	return hash.Sum64()
}

// Arrivals returns the number of attempts that arrived at members.
func (r *Record) Arrivals() int { return len(r.arrivals) }
