package emu

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Effect is what running twice would do.
type Effect uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Effect = iota
	// Tokened requests carry an idempotency token that members deduplicate by.
	Tokened
	// NonIdempotent requests must run at most once.
	NonIdempotent
)

// Answers that clients hear.
const (
	OK         = "ok"
	PushedBack = "pushed back"
	Aborted    = "aborted"
	Nothing    = "nothing"   // none in time, or the connection ended
	NotTaken   = "not taken" // nothing either, on a connection that the driver has never let in
)

// Allowed is how far the record may stray from the rules' own times.
type Allowed struct {
	Grace time.Duration // after hearing of a drain
	Slack time.Duration // more than any rule's time, for what is on its way
}

type asked struct {
	id, token, driver string
	effect            Effect
	at, until, heard  time.Duration
	answers           []string
	effects, runs     int
	stale             string
}

type arrival struct {
	id, member, driver string
	at                 time.Duration
}

type span struct{ from, to time.Duration }

// Record is what clients and members saw. The rules are checked from that, not from what drivers believe.
type Record struct {
	Allowed  Allowed
	asked    map[string]*asked
	order    []*asked
	arrivals []arrival
	told     map[[2]string][]span // by driver and member: from hearing of a drain until hearing of a start
	down     map[string][]span    // when drivers were dead or stood still
	held     map[string][]span    // when what drivers had sent could arrive late
	tokens   map[string]int       // effects
	tipped   []string
}

// NewRecord is empty.
func NewRecord(a Allowed) *Record {
	return &Record{Allowed: a, asked: make(map[string]*asked), told: make(map[[2]string][]span),
		down: make(map[string][]span), held: make(map[string][]span), tokens: make(map[string]int)}
}

// Asked notes a try of a client.
func (r *Record) Asked(id, token, driver string, e Effect, at, until time.Duration) {
	a := &asked{id: id, token: token, driver: driver, effect: e, at: at, until: until}
	r.asked[id] = a
	r.order = append(r.order, a)
}

// Heard notes what the client heard.
func (r *Record) Heard(id, answer string, at time.Duration) {
	if a := r.asked[id]; a != nil {
		a.answers = append(a.answers, answer)
		a.heard = at
	}
}

// DriverOf tells by which driver a try went.
func (r *Record) DriverOf(id string) string {
	if a := r.asked[id]; a != nil {
		return a.driver
	}
	return ""
}

// Arrived notes an attempt at a member, Ran that it ran; stale tells what its data lacked, "" where nothing.
func (r *Record) Arrived(id, member string, at time.Duration) {
	driver := ""
	if a := r.asked[id]; a != nil {
		driver = a.driver
	}
	r.arrivals = append(r.arrivals, arrival{id, member, driver, at})
}

// Ran notes that an attempt ran at a member, whether it had an effect, and what its data lacked.
func (r *Record) Ran(id string, effect bool, stale string) {
	a := r.asked[id]
	if a == nil {
		return
	}
	if a.runs++; effect {
		a.effects++
		if a.token != "" {
			r.tokens[a.token]++
		}
	}
	a.stale = stale
}

// Told notes that a driver heard that a member drains or is gone.
func (r *Record) Told(driver, member string, at time.Duration) {
	key := [2]string{driver, member}
	if known := r.told[key]; len(known) == 0 || known[len(known)-1].to < at {
		r.told[key] = append(known, span{at, forever})
	}
}

const forever = time.Duration(1<<63 - 1)

// Untold notes that a driver heard that a member is in service again.
func (r *Record) Untold(driver, member string, at time.Duration) {
	if known := r.told[[2]string{driver, member}]; len(known) > 0 && known[len(known)-1].to == forever {
		known[len(known)-1].to = at
	}
}

// Down notes that a driver was dead or stood still, whose duties do not count meanwhile.
func (r *Record) Down(driver string, from, to time.Duration) {
	r.down[driver] = append(r.down[driver], span{from, to})
}

// Held notes that what a driver had sent could arrive late: then an attempt's arrival does not tell when it was sent.
func (r *Record) Held(driver string, from, to time.Duration) {
	r.held[driver] = append(r.held[driver], span{from, to})
}

func (r *Record) mayBeOld(c arrival) bool {
	return slices.ContainsFunc(r.held[c.driver], func(s span) bool { return c.at > s.from && c.at < s.to+time.Second })
}

// Tipped notes that a cold member fell over.
func (r *Record) Tipped(member string) { r.tipped = append(r.tipped, member) }

func (r *Record) excused(a *asked) bool {
	return slices.ContainsFunc(r.down[a.driver], func(s span) bool { return s.from < a.until && a.at < s.to })
}

// Counts sums what clients heard.
func (r *Record) Counts() map[string]int {
	counts := make(map[string]int)
	for _, a := range r.order {
		for _, answer := range a.answers {
			counts[answer]++
		}
	}
	return counts
}

// Broken names what breaks a rule, in the order of the rules.
func (r *Record) Broken(end time.Duration) (broken []string) {
	say := func(rule int, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("rule %d: %s", rule, fmt.Sprintf(format, args...)))
	}
	for _, a := range r.order {
		if a.until+r.Allowed.Slack > end || r.excused(a) || len(a.answers) == 1 && a.answers[0] == NotTaken {
			continue
		}
		switch {
		case len(a.answers) != 1:
			say(1, "%s has %d answers", a.id, len(a.answers))
		case a.answers[0] == Nothing:
			say(1, "%s of %s has no answer before its time is up", a.id, a.driver)
		case a.heard > a.until+r.Allowed.Slack:
			say(1, "%s is answered %v late", a.id, a.heard-a.until)
		}
	}
	for _, c := range r.arrivals {
		if a := r.asked[c.id]; a != nil && len(a.answers) > 0 && a.answers[0] != Nothing && a.answers[0] != NotTaken && c.at > a.heard+r.Allowed.Slack && !r.mayBeOld(c) {
			say(1, "%s reaches %s %v after its answer", c.id, c.member, c.at-a.heard)
		}
	}
	for _, a := range r.order {
		answer := ""
		if len(a.answers) > 0 {
			answer = a.answers[0]
		}
		if a.effect == NonIdempotent && a.effects > 1 {
			say(2, "%s had %d effects", a.id, a.effects)
		}
		if a.effect != Idempotent && answer == PushedBack && a.effects > 0 {
			say(2, "%s is pushed back though it had an effect", a.id)
		}
		if answer == OK && a.runs == 0 {
			say(1, "%s is ok though nothing ran", a.id)
		}
	}
	for _, token := range slices.Sorted(keysOf(r.tokens)) {
		if n := r.tokens[token]; n > 1 {
			say(2, "token %s had %d effects:%s", token, n, r.triesOf(token))
		}
	}
	for _, c := range r.arrivals {
		for _, s := range r.told[[2]string{c.driver, c.member}] {
			if c.at > s.from+r.Allowed.Grace+r.Allowed.Slack && c.at < s.to && !r.mayBeOld(c) {
				say(3, "%s reaches %s %v after %s heard that it drains", c.id, c.member, c.at-s.from, c.driver)
			}
		}
	}
	for _, m := range r.tipped {
		say(4, "%s was tipped over while cold", m)
	}
	for _, a := range r.order {
		if len(a.answers) > 0 && a.answers[0] == OK && a.stale != "" {
			say(5, "%s is answered from data that %s", a.id, a.stale)
		}
	}
	return broken
}

// triesOf tells of each try with a token how it went.
func (r *Record) triesOf(token string) string {
	var text strings.Builder
	for _, a := range r.order {
		if a.token == token {
			fmt.Fprintf(&text, " %s by %s from %v to %v, heard %s, %d effects;", a.id, a.driver, a.at, a.heard, strings.Join(a.answers, " and "), a.effects)
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

// Digest sums up all that was recorded.
func (r *Record) Digest() uint64 {
	hash := fnv.New64a()
	for _, a := range r.order {
		fmt.Fprintln(hash, a.id, a.token, a.driver, a.at, a.heard, a.answers, a.effects, a.runs)
	}
	for _, c := range r.arrivals {
		fmt.Fprintln(hash, c.id, c.member, c.at)
	}
	return hash.Sum64()
}

// Arrivals counts the attempts that members got.
func (r *Record) Arrivals() int { return len(r.arrivals) }
