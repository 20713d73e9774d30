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
	searchDepth = flag.Int("depth", 11, "depth of the model check, in steps")
	maxStates   = flag.Int("states", 250_000, "maximum number of states of the model check")
)

// Limits on how often an event may occur on one path of the model, and parameters of the model. Deliveries are not limited.
const (
	maxRequests     = 3 // per candidate
	maxRestarts     = 1
	maxDuplicates   = 1
	maxResignations = 1
	maxTicks        = 12

	tick           = 100 * ms
	modelTTL       = 4 * tick
	firstCandidate = 101
	voterCount     = 3
	candidateCount = 2
)

// envelope is a message in transit.
type envelope struct {
	from, to Node
	message  Message
}

// model is one state of three voters, two candidates, the messages in transit between them, and the time. All of them share one clock.
type model struct {
	now                                time.Duration
	voters                             [voterCount]*Voter
	candidates                         [candidateCount]*Candidate
	inTransit                          []envelope
	requests                           [candidateCount]int
	restarts, duplicates, resignations int
	highestAcquired                    uint64
	violation                          string
	sender                             Node // sender of the messages of the current step
}

func (m *model) Send(to Node, message Message) {
	m.inTransit = append(m.inTransit, envelope{m.sender, to, message})
}
func (m *model) Persist(_ string, _ Promise, done func(error)) { done(nil) }
func (m *model) Lost(string, uint64)                           {}
func (m *model) Acquired(_ string, fencingToken uint64) {
	if fencingToken <= m.highestAcquired {
		m.violation = "a fencing token was used before"
	}
	m.highestAcquired = max(m.highestAcquired, fencingToken)
}

func initialModel() *model {
	m := &model{now: tick}
	set := voterSet(1, 1, 2, 3)
	for i := range m.voters {
		m.voters[i] = NewVoter(m, Node(i+1), set, modelTTL, nil, m.now)
		m.voters[i].silentUntil = 0 // as if the voter had started long ago
	}
	for i := range m.candidates {
		m.candidates[i] = NewCandidate(m, Holder{firstCandidate + Node(i), 1}, "x", modelTTL, set, uint64(i))
		m.candidates[i].Campaign(maxTicks * tick * 2) // after the end of the run, so that candidates send requests only in steps of the model
	}
	return m
}

func (m *model) copy() *model {
	c := *m
	c.inTransit = slices.Clone(m.inTransit)
	for i, v := range m.voters {
		voter := *v
		voter.host, voter.grants = &c, make(map[string]*grantState)
		for name, state := range v.grants {
			s := *state
			s.queue = slices.Clone(state.queue)
			voter.grants[name] = &s
		}
		c.voters[i] = &voter
	}
	for i, original := range m.candidates {
		candidate := *original
		candidate.host = &c
		candidate.observed.rejectionReasons, candidate.observed.lastHeard = maps.Clone(original.observed.rejectionReasons), maps.Clone(original.observed.lastHeard)
		random := *original.random
		candidate.random = &random
		candidate.rounds = slices.Clone(original.rounds)
		for j := range candidate.rounds {
			r := &candidate.rounds[j]
			r.grants, r.rejections = slices.Clone(r.grants), slices.Clone(r.rejections)
		}
		c.candidates[i] = &candidate
	}
	return &c
}

// fingerprint is equal for states that behave the same. It leaves out the queues and fields that are used for the status only.
func (m *model) fingerprint() xxh3.Uint128 {
	out := make([]byte, 0, 512)
	put := func(n uint64) { out = binary.LittleEndian.AppendUint64(out, n) }
	put(uint64(m.now))
	put(uint64(m.restarts)<<32 | uint64(m.duplicates)<<16 | uint64(m.resignations))
	put(m.highestAcquired)
	for _, v := range m.voters {
		put(uint64(v.silentUntil))
		if state := v.grants["x"]; state != nil {
			put(state.promise.FencingToken)
			put(uint64(state.holder.Node))
			put(uint64(state.expiresAt))
		}
		out = append(out, 0xff)
	}
	for i, c := range m.candidates {
		for _, n := range []uint64{uint64(m.requests[i]), c.hold.fencingToken, uint64(c.hold.expiresAt), c.highestToken, uint64(c.answerDeadline)} {
			put(n)
		}
		for _, r := range c.rounds {
			put(r.number)
			put(uint64(r.sentAt))
			for _, n := range voterNodes {
				if r.grantedBy(n) {
					out = append(out, byte(n))
				}
				if r.rejectedBy(n) {
					out = append(out, byte(n)|0x80)
				}
			}
			out = append(out, 0xff)
		}
	}
	messages := make([]uint64, 0, len(m.inTransit))
	for _, e := range m.inTransit {
		encoded := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(e.from)), uint64(e.to))
		messages = append(messages, xxh3.Hash(AppendMessage(encoded, e.message)))
	}
	slices.Sort(messages)
	for _, hash := range messages {
		put(hash)
	}
	return xxh3.Hash128(out)
}

var voterNodes = []Node{1, 2, 3}

func (m *model) deliver(e envelope) {
	m.sender = e.to
	if e.to <= voterCount {
		m.voters[e.to-1].Receive(e.from, e.message, m.now)
	} else {
		m.candidates[e.to-firstCandidate].Receive(e.from, e.message, m.now)
	}
}

// successors visits every state that may follow this one. If mutate is not nil, it puts a deliberate bug into each of them.
func (m *model) successors(mutate func(*model), visit func(*model)) {
	apply := func(action func(c *model)) {
		c := m.copy()
		action(c)
		if mutate != nil {
			mutate(c)
		}
		// Available only makes a candidate ask sooner, and in the model a candidate may ask at any time.
		c.inTransit = slices.DeleteFunc(c.inTransit, func(e envelope) bool { return e.to > voterCount && e.message.Op == Available })
		c.checkInvariants()
		visit(c)
	}
	for i := range m.inTransit {
		apply(func(c *model) {
			e := c.inTransit[i]
			c.inTransit = slices.Delete(c.inTransit, i, i+1)
			c.deliver(e)
		})
		if m.duplicates < maxDuplicates {
			apply(func(c *model) {
				c.duplicates++
				c.deliver(c.inTransit[i])
			})
		}
	}
	if m.now < maxTicks*tick {
		apply(func(c *model) { c.now += tick })
	}
	for i, candidate := range m.candidates {
		if at, ok := candidate.NextWake(); ok && at <= m.now {
			apply(func(c *model) { c.wake(i) })
		}
		if m.requests[i] < maxRequests && candidate.answerDeadline == 0 && candidate.campaigning {
			apply(func(c *model) {
				c.requests[i]++
				c.candidates[i].nextRequestAt = c.now
				c.wake(i)
			})
		}
		if _, held := candidate.Held(m.now); held && m.resignations < maxResignations {
			apply(func(c *model) {
				c.resignations++
				c.sender = firstCandidate + Node(i)
				c.candidates[i].Resign(c.now)
				c.candidates[i].Campaign(maxTicks * tick * 2)
			})
		}
	}
	if m.restarts < maxRestarts {
		for i := range m.voters {
			for _, emptyStorage := range []bool{false, true} {
				apply(func(c *model) {
					c.restarts++
					persisted := make(map[string]Promise)
					if state := c.voters[i].grants["x"]; state != nil && !emptyStorage {
						persisted["x"] = state.promise
					}
					c.voters[i] = NewVoter(c, Node(i+1), c.voters[i].voters, modelTTL, persisted, c.now)
				})
			}
		}
	}
}

func (m *model) wake(i int) {
	m.sender = firstCandidate + Node(i)
	m.candidates[i].Wake(m.now, uint64(m.now/tick))
	if !m.candidates[i].hold.exists() || m.candidates[i].nextRequestAt > m.now+tick {
		m.candidates[i].nextRequestAt = maxTicks * tick * 2
	}
}

// checkInvariants records a violation if both candidates hold the lease.
func (m *model) checkInvariants() {
	_, first := m.candidates[0].Held(m.now)
	_, second := m.candidates[1].Held(m.now)
	if first && second {
		m.violation = "two candidates hold the lease at the same time"
	}
}

// search visits all interleavings breadth first, up to a depth and a number of states, and returns the first violation, or "".
func search(depth, maxStates int, mutate func(*model)) (violation string, visited, deepest int) {
	fingerprints := make(map[xxh3.Uint128]struct{})
	layer := []*model{initialModel()}
	for deepest = 0; deepest < depth && len(layer) > 0; deepest++ {
		var next []*model
		for _, m := range layer {
			m.successors(mutate, func(c *model) {
				if violation != "" || len(fingerprints) >= maxStates {
					return
				}
				if c.violation != "" {
					violation = c.violation
					return
				}
				fingerprint := c.fingerprint()
				if _, known := fingerprints[fingerprint]; known {
					return
				}
				fingerprints[fingerprint] = struct{}{}
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

// randomWalk follows one random path of the given number of steps and returns its violation, or "".
func randomWalk(seed uint64, steps int, mutate func(*model)) string {
	random, m := pcg.New(seed), initialModel()
	for range steps {
		var successors []*model
		m.successors(mutate, func(c *model) { successors = append(successors, c) })
		if len(successors) == 0 {
			return ""
		}
		if m = successors[random.Below(len(successors))]; m.violation != "" {
			return m.violation
		}
	}
	return ""
}

// TestModelCheck checks that no two candidates hold the lease at the same time and that no fencing token is used twice, in every interleaving up
// to a depth and on random paths beyond it. Steps are messages that are delivered, duplicated or never delivered, voters that restart with or
// without their storage, the passing of time, and candidates that ask, wait or resign.
func TestModelCheck(t *testing.T) {
	violation, visited, deepest := search(*searchDepth, *maxStates, nil)
	if violation != "" {
		t.Fatal(violation)
	}
	t.Logf("%d states, up to %d steps", visited, deepest)
	if visited < 10_000 {
		t.Errorf("%d states visited, want at least 10,000", visited)
	}
	for seed := range uint64(500) {
		if violation := randomWalk(seed, 60, nil); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestMutationsFoundByModelCheck checks that the model check finds deliberate bugs.
func TestMutationsFoundByModelCheck(t *testing.T) {
	for name, mutate := range map[string]func(*model){
		"hold counted from the answer": func(m *model) {
			for _, c := range m.candidates {
				if c.hold.exists() && c.hold.expiresAt < m.now+modelTTL-modelTTL/driftDivisor && len(c.rounds) > 0 && len(c.rounds[len(c.rounds)-1].grants) == 2 {
					c.hold.expiresAt = m.now + modelTTL - modelTTL/driftDivisor
					c.rounds[len(c.rounds)-1].grants = append(c.rounds[len(c.rounds)-1].grants, 9) // so that the mutation is applied only once
				}
			}
		},
		"no silence after a start": func(m *model) {
			for _, v := range m.voters {
				v.silentUntil = 0
			}
		},
		"less than half is a majority": func(m *model) {
			for _, c := range m.candidates {
				for i := range c.rounds {
					if r := &c.rounds[i]; len(r.grants) == 1 {
						r.grants = append(r.grants, r.grants[0]%3+1)
						c.countGrants(r, m.now)
					}
				}
			}
		},
		"reused token": func(m *model) {
			for _, v := range m.voters {
				if state := v.grants["x"]; state != nil && m.now >= state.expiresAt {
					state.promise.FencingToken = 0
				}
			}
			for _, c := range m.candidates {
				c.highestToken = 0
			}
			m.highestAcquired = min(m.highestAcquired, 1<<40)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := ""
			if violation, _, _ := search(*searchDepth, 40_000, mutate); violation != "" {
				found = violation
			}
			for seed := uint64(0); found == "" && seed < 60_000; seed++ {
				found = randomWalk(seed, 40, mutate)
			}
			if found == "" {
				t.Error("the mutation is not found")
			}
		})
	}
}
