package lease

import (
	"encoding/binary"
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/pcg"
)

var (
	searchDepth  = flag.Int("depth", 11, "steps of the search over all orders")
	maxStates = flag.Int("states", 250_000, "states that the search looks at, at most")
)

// What the search may do beside letting messages arrive and time pass, each so many times on one way.
const (
	maxRequests     = 3 // of each asker
	maxRestarts = 1
	maxDuplicates  = 1
	maxResignations   = 1
	maxTicks    = 12

	tick      = 100 * ms
	modelTTL  = 4 * tick
	firstCandidate  = 101
	voterCount  = 3
	candidateCount = 2
)

// sent is a message on its way.
type envelope struct {
	from, to Node
	message        Message
}

// point is one state of three voters, two askers, what is on its way between them, and time. All clocks are the same.
type model struct {
	now                       time.Duration
	voters                    [voterCount]*Voter
	candidates                    [candidateCount]*Candidate
	inTransit                       []envelope
	requests                      [candidateCount]int
	restarts, duplicates, resignations int
	highestAcquired                    uint64
	violation                     string
	sender                      Node // who sends, during a step
}

func (p *model) Send(to Node, m Message)                    { p.inTransit = append(p.inTransit, envelope{p.sender, to, m}) }
func (p *model) Persist(_ string, _ Promise, done func(error)) { done(nil) }
func (p *model) Lost(string, uint64)                        {}
func (p *model) Acquired(_ string, number uint64) {
	if number <= p.highestAcquired {
		p.violation = "a number was held before"
	}
	p.highestAcquired = max(p.highestAcquired, number)
}

func initialModel() *model {
	p := &model{now: tick}
	set := voterSet(1, 1, 2, 3)
	for i := range p.voters {
		p.voters[i] = NewVoter(p, Node(i+1), set, modelTTL, nil, p.now)
		p.voters[i].silentUntil = 0 // they have been there for long
	}
	for i := range p.candidates {
		p.candidates[i] = NewCandidate(p, Holder{firstCandidate + Node(i), 1}, "x", modelTTL, set, uint64(i))
		p.candidates[i].Campaign(maxTicks * tick * 2) // it asks when the search lets it
	}
	return p
}

func (p *model) copy() *model {
	c := *p
	c.inTransit = slices.Clone(p.inTransit)
	for i, v := range p.voters {
		o := *v
		o.host, o.grants = &c, make(map[string]*grantState)
		for name, t := range v.grants {
			u := *t
			u.queue = slices.Clone(t.queue)
			o.grants[name] = &u
		}
		c.voters[i] = &o
	}
	for i, a := range p.candidates {
		o := *a
		o.host, o.rejectionReasons, o.lastHeard = &c, maps.Clone(a.rejectionReasons), maps.Clone(a.lastHeard)
		chance := *a.random
		o.random = &chance
		o.rounds = slices.Clone(a.rounds)
		for j := range o.rounds {
			o.rounds[j].grants, o.rounds[j].rejections = slices.Clone(o.rounds[j].grants), slices.Clone(o.rounds[j].rejections)
		}
		c.candidates[i] = &o
	}
	return &c
}

// key is what two states have to have in common to be one. Who waits, and what is only told, decides nothing.
func (p *model) fingerprint() xxh3.Uint128 {
	out := make([]byte, 0, 512)
	put := func(n uint64) { out = binary.LittleEndian.AppendUint64(out, n) }
	put(uint64(p.now))
	put(uint64(p.restarts)<<32 | uint64(p.duplicates)<<16 | uint64(p.resignations))
	put(p.highestAcquired)
	for _, v := range p.voters {
		put(uint64(v.silentUntil))
		if t := v.grants["x"]; t != nil {
			put(t.promise.FencingToken)
			put(uint64(t.holder.Node))
			put(uint64(t.expiresAt))
		}
		out = append(out, 0xff)
	}
	for i, a := range p.candidates {
		for _, n := range []uint64{uint64(p.requests[i]), a.fencingToken, uint64(a.expiresAt), a.highestToken, uint64(a.answersDueAt)} {
			put(n)
		}
		for _, r := range a.rounds {
			put(r.number)
			put(uint64(r.sentAt))
			for _, n := range voterNodes {
				if slices.Contains(r.grants, n) {
					out = append(out, byte(n))
				}
				if r.rejectedBy(n) {
					out = append(out, byte(n)|0x80)
				}
			}
			out = append(out, 0xff)
		}
	}
	way := make([]uint64, 0, len(p.inTransit))
	for _, s := range p.inTransit {
		text := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(s.from)), uint64(s.to))
		way = append(way, xxh3.Hash(AppendMessage(text, s.message)))
	}
	slices.Sort(way)
	for _, k := range way {
		put(k)
	}
	return xxh3.Hash128(out)
}

var voterNodes = []Node{1, 2, 3}

// deliver lets a message arrive.
func (p *model) deliver(s envelope) {
	p.sender = s.to
	if s.to <= voterCount {
		p.voters[s.to-1].Receive(s.from, s.message, p.now)
	} else {
		p.candidates[s.to-firstCandidate].Receive(s.from, s.message, p.now)
	}
}

// steps calls with every state that may follow.
func (p *model) successors(mutate func(*model), visit func(*model)) {
	apply := func(action func(c *model)) {
		c := p.copy()
		action(c)
		if mutate != nil {
			mutate(c)
		}
		c.inTransit = slices.DeleteFunc(c.inTransit, func(s envelope) bool { return s.to > voterCount && s.message.Op == Available }) // it only saves time
		c.checkInvariants()
		visit(c)
	}
	for i := range p.inTransit {
		apply(func(c *model) {
			s := c.inTransit[i]
			c.inTransit = slices.Delete(c.inTransit, i, i+1)
			c.deliver(s)
		})
		if p.duplicates < maxDuplicates {
			apply(func(c *model) {
				c.duplicates++
				c.deliver(c.inTransit[i])
			})
		}
	}
	if p.now < maxTicks*tick {
		apply(func(c *model) { c.now += tick })
	}
	for i, a := range p.candidates {
		if at, ok := a.NextWake(); ok && at <= p.now {
			apply(func(c *model) { c.wake(i) })
		}
		if p.requests[i] < maxRequests && a.answersDueAt == 0 && a.campaigning {
			apply(func(c *model) {
				c.requests[i]++
				c.candidates[i].nextRequestAt = c.now
				c.wake(i)
			})
		}
		if _, held := a.Held(p.now); held && p.resignations < maxResignations {
			apply(func(c *model) {
				c.resignations++
				c.sender = firstCandidate + Node(i)
				c.candidates[i].Resign(c.now)
				c.candidates[i].Campaign(maxTicks * tick * 2)
			})
		}
	}
	if p.restarts < maxRestarts {
		for i := range p.voters {
			for _, emptyStorage := range []bool{false, true} {
				apply(func(c *model) {
					c.restarts++
					persisted := make(map[string]Promise)
					if t := c.voters[i].grants["x"]; t != nil && !emptyStorage {
						persisted["x"] = t.promise
					}
					c.voters[i] = NewVoter(c, Node(i+1), c.voters[i].voters, modelTTL, persisted, c.now)
				})
			}
		}
	}
}

func (p *model) wake(i int) {
	p.sender = firstCandidate + Node(i)
	p.candidates[i].Wake(p.now, uint64(p.now/tick))
	if p.candidates[i].fencingToken == 0 || p.candidates[i].nextRequestAt > p.now+tick {
		p.candidates[i].nextRequestAt = maxTicks * tick * 2
	}
}

// look checks what has to hold in every state.
func (p *model) checkInvariants() {
	_, one := p.candidates[0].Held(p.now)
	_, two := p.candidates[1].Held(p.now)
	if one && two {
		p.violation = "two hold at once"
	}
}

// search goes through all orders, nearest first, and gives what it found wrong.
func search(depth, maxStates int, mutate func(*model)) (violation string, visited, deepest int) {
	fingerprints := make(map[xxh3.Uint128]struct{})
	layer := []*model{initialModel()}
	for deepest = 0; deepest < depth && len(layer) > 0; deepest++ {
		var next []*model
		for _, p := range layer {
			p.successors(mutate, func(c *model) {
				if violation != "" || len(fingerprints) >= maxStates {
					return
				}
				if c.violation != "" {
					violation = c.violation
					return
				}
				k := c.fingerprint()
				if _, was := fingerprints[k]; was {
					return
				}
				fingerprints[k] = struct{}{}
				next = append(next, c)
			})
			if violation != "" || len(fingerprints) >= maxStates {
				return violation, len(fingerprints), deepest + 1
			}
		}
		layer = next
	}
	return violation, len(fingerprints), deepest
}

// walk goes one way at random, deeper than a search comes, and tells what it found wrong.
func randomWalk(seed uint64, steps int, mutate func(*model)) string {
	random, p := pcg.New(seed), initialModel()
	for range steps {
		var successors []*model
		p.successors(mutate, func(c *model) { successors = append(successors, c) })
		if len(successors) == 0 {
			return ""
		}
		if p = successors[random.Below(len(successors))]; p.violation != "" {
			return p.violation
		}
	}
	return ""
}

// Every order in which messages arrive, come twice or never, voters start again with or without what they knew, time passes, and askers ask,
// wait and give back, up to a depth; and many ways beyond it: no two hold at once and no number comes twice.
func TestModelCheck(t *testing.T) {
	violation, visited, deepest := search(*searchDepth, *maxStates, nil)
	if violation != "" {
		t.Fatal(violation)
	}
	t.Logf("%d states, up to %d steps", visited, deepest)
	if visited < 10_000 {
		t.Errorf("%d states are few", visited)
	}
	for seed := range uint64(500) {
		if violation := randomWalk(seed, 60, nil); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// The same search finds what somebody might do wrong.
func TestMutationsFoundByModelCheck(t *testing.T) {
	for name, mutate := range map[string]func(*model){
		"the hold counts from the answer": func(p *model) {
			for _, a := range p.candidates {
				if a.fencingToken != 0 && a.expiresAt < p.now+modelTTL-modelTTL/driftDivisor && len(a.rounds) > 0 && len(a.rounds[len(a.rounds)-1].grants) == 2 {
					a.expiresAt = p.now + modelTTL - modelTTL/driftDivisor
					a.rounds[len(a.rounds)-1].grants = append(a.rounds[len(a.rounds)-1].grants, 9) // once
				}
			}
		},
		"a voter answers at once after a start": func(p *model) {
			for _, v := range p.voters {
				v.silentUntil = 0
			}
		},
		"less than half of the voters decide": func(p *model) {
			for _, a := range p.candidates {
				for i := range a.rounds {
					if r := &a.rounds[i]; len(r.grants) == 1 {
						r.grants = append(r.grants, r.grants[0]%3+1)
						a.countGrants(r, p.now)
					}
				}
			}
		},
		"a number comes again": func(p *model) {
			for _, v := range p.voters {
				if u := v.grants["x"]; u != nil && p.now >= u.expiresAt {
					u.promise.FencingToken = 0
				}
			}
			for _, a := range p.candidates {
				a.highestToken = 0
			}
			p.highestAcquired = min(p.highestAcquired, 1<<40)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := ""
			if wrong, _, _ := search(*searchDepth, 40_000, mutate); wrong != "" {
				found = wrong
			}
			for seed := uint64(0); found == "" && seed < 60_000; seed++ {
				found = randomWalk(seed, 40, mutate)
			}
			if found == "" {
				t.Error("it is not found")
			}
		})
	}
}
