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
	depth  = flag.Int("depth", 11, "steps of the search over all orders")
	states = flag.Int("states", 250_000, "states that the search looks at, at most")
)

// What the search may do beside letting messages arrive and time pass, each so many times on one way.
const (
	mostAsks     = 3 // of each asker
	mostRestarts = 1
	mostDoubles  = 1
	mostLeaves   = 1
	mostTicks    = 12

	tick      = 100 * ms
	shortest  = 4 * tick
	askerOne  = 101
	electors  = 3
	contended = 2
)

// sent is a message on its way.
type sent struct {
	from, to Node
	m        Message
}

// point is one state of three voters, two askers, what is on its way between them, and time. All clocks are the same.
type point struct {
	now                       time.Duration
	voters                    [electors]*Voter
	askers                    [contended]*Asker
	way                       []sent
	asks                      [contended]int
	restarts, doubles, leaves int
	gained                    uint64
	wrong                     string
	from                      Node // who sends, during a step
}

func (p *point) Send(to Node, m Message)                    { p.way = append(p.way, sent{p.from, to, m}) }
func (p *point) Keep(_ string, _ Promise, then func(error)) { then(nil) }
func (p *point) Lost(string, uint64)                        {}
func (p *point) Gained(_ string, number uint64) {
	if number <= p.gained {
		p.wrong = "a number was held before"
	}
	p.gained = max(p.gained, number)
}

func firstPoint() *point {
	p := &point{now: tick}
	set := setOf(1, 1, 2, 3)
	for i := range p.voters {
		p.voters[i] = NewVoter(p, Node(i+1), set, shortest, nil, p.now)
		p.voters[i].silent = 0 // they have been there for long
	}
	for i := range p.askers {
		p.askers[i] = NewAsker(p, Holder{askerOne + Node(i), 1}, "x", shortest, set, uint64(i))
		p.askers[i].Want(mostTicks * tick * 2) // it asks when the search lets it
	}
	return p
}

func (p *point) copy() *point {
	c := *p
	c.way = slices.Clone(p.way)
	for i, v := range p.voters {
		o := *v
		o.host, o.votes = &c, make(map[string]*vote)
		for name, t := range v.votes {
			u := *t
			u.waiting = slices.Clone(t.waiting)
			o.votes[name] = &u
		}
		c.voters[i] = &o
	}
	for i, a := range p.askers {
		o := *a
		o.host, o.why, o.heard = &c, maps.Clone(a.why), maps.Clone(a.heard)
		chance := *a.chance
		o.chance = &chance
		o.rounds = slices.Clone(a.rounds)
		for j := range o.rounds {
			o.rounds[j].yes, o.rounds[j].no = slices.Clone(o.rounds[j].yes), slices.Clone(o.rounds[j].no)
		}
		c.askers[i] = &o
	}
	return &c
}

// key is what two states have to have in common to be one. Who waits, and what is only told, decides nothing.
func (p *point) key() xxh3.Uint128 {
	out := make([]byte, 0, 512)
	put := func(n uint64) { out = binary.LittleEndian.AppendUint64(out, n) }
	put(uint64(p.now))
	put(uint64(p.restarts)<<32 | uint64(p.doubles)<<16 | uint64(p.leaves))
	put(p.gained)
	for _, v := range p.voters {
		put(uint64(v.silent))
		if t := v.votes["x"]; t != nil {
			put(t.promise.Number)
			put(uint64(t.holder.Node))
			put(uint64(t.until))
		}
		out = append(out, 0xff)
	}
	for i, a := range p.askers {
		for _, n := range []uint64{uint64(p.asks[i]), a.term, uint64(a.end), a.seen, uint64(a.judge)} {
			put(n)
		}
		for _, r := range a.rounds {
			put(r.number)
			put(uint64(r.sent))
			for _, n := range electors3 {
				if slices.Contains(r.yes, n) {
					out = append(out, byte(n))
				}
				if r.refused(n) {
					out = append(out, byte(n)|0x80)
				}
			}
			out = append(out, 0xff)
		}
	}
	way := make([]uint64, 0, len(p.way))
	for _, s := range p.way {
		text := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(s.from)), uint64(s.to))
		way = append(way, xxh3.Hash(Append(text, s.m)))
	}
	slices.Sort(way)
	for _, k := range way {
		put(k)
	}
	return xxh3.Hash128(out)
}

var electors3 = []Node{1, 2, 3}

// deliver lets a message arrive.
func (p *point) deliver(s sent) {
	p.from = s.to
	if s.to <= electors {
		p.voters[s.to-1].Take(s.from, s.m, p.now)
	} else {
		p.askers[s.to-askerOne].Take(s.from, s.m, p.now)
	}
}

// steps calls with every state that may follow.
func (p *point) steps(plant func(*point), each func(*point)) {
	try := func(act func(c *point)) {
		c := p.copy()
		act(c)
		if plant != nil {
			plant(c)
		}
		c.way = slices.DeleteFunc(c.way, func(s sent) bool { return s.to > electors && s.m.Op == Free }) // it only saves time
		c.look()
		each(c)
	}
	for i := range p.way {
		try(func(c *point) {
			s := c.way[i]
			c.way = slices.Delete(c.way, i, i+1)
			c.deliver(s)
		})
		if p.doubles < mostDoubles {
			try(func(c *point) {
				c.doubles++
				c.deliver(c.way[i])
			})
		}
	}
	if p.now < mostTicks*tick {
		try(func(c *point) { c.now += tick })
	}
	for i, a := range p.askers {
		if at, ok := a.Wakes(); ok && at <= p.now {
			try(func(c *point) { c.wake(i) })
		}
		if p.asks[i] < mostAsks && a.judge == 0 && a.wants {
			try(func(c *point) {
				c.asks[i]++
				c.askers[i].next = c.now
				c.wake(i)
			})
		}
		if _, held := a.Held(p.now); held && p.leaves < mostLeaves {
			try(func(c *point) {
				c.leaves++
				c.from = askerOne + Node(i)
				c.askers[i].Leave(c.now)
				c.askers[i].Want(mostTicks * tick * 2)
			})
		}
	}
	if p.restarts < mostRestarts {
		for i := range p.voters {
			for _, emptied := range []bool{false, true} {
				try(func(c *point) {
					c.restarts++
					kept := make(map[string]Promise)
					if t := c.voters[i].votes["x"]; t != nil && !emptied {
						kept["x"] = t.promise
					}
					c.voters[i] = NewVoter(c, Node(i+1), c.voters[i].set, shortest, kept, c.now)
				})
			}
		}
	}
}

func (p *point) wake(i int) {
	p.from = askerOne + Node(i)
	p.askers[i].Wake(p.now, uint64(p.now/tick))
	if p.askers[i].term == 0 || p.askers[i].next > p.now+tick {
		p.askers[i].next = mostTicks * tick * 2
	}
}

// look checks what has to hold in every state.
func (p *point) look() {
	_, one := p.askers[0].Held(p.now)
	_, two := p.askers[1].Held(p.now)
	if one && two {
		p.wrong = "two hold at once"
	}
}

// search goes through all orders, nearest first, and gives what it found wrong.
func search(depth, most int, plant func(*point)) (wrong string, seen, deepest int) {
	known := make(map[xxh3.Uint128]struct{})
	layer := []*point{firstPoint()}
	for deepest = 0; deepest < depth && len(layer) > 0; deepest++ {
		var next []*point
		for _, p := range layer {
			p.steps(plant, func(c *point) {
				if wrong != "" || len(known) >= most {
					return
				}
				if c.wrong != "" {
					wrong = c.wrong
					return
				}
				k := c.key()
				if _, was := known[k]; was {
					return
				}
				known[k] = struct{}{}
				next = append(next, c)
			})
			if wrong != "" || len(known) >= most {
				return wrong, len(known), deepest + 1
			}
		}
		layer = next
	}
	return wrong, len(known), deepest
}

// walk goes one way at random, deeper than a search comes, and tells what it found wrong.
func walk(seed uint64, steps int, plant func(*point)) string {
	chance, p := pcg.New(seed), firstPoint()
	for range steps {
		var all []*point
		p.steps(plant, func(c *point) { all = append(all, c) })
		if len(all) == 0 {
			return ""
		}
		if p = all[chance.Below(len(all))]; p.wrong != "" {
			return p.wrong
		}
	}
	return ""
}

// Every order in which messages arrive, come twice or never, voters start again with or without what they knew, time passes, and askers ask,
// wait and give back, up to a depth; and many ways beyond it: no two hold at once and no number comes twice.
func TestEveryOrderOfLeases(t *testing.T) {
	wrong, seen, deepest := search(*depth, *states, nil)
	if wrong != "" {
		t.Fatal(wrong)
	}
	t.Logf("%d states, up to %d steps", seen, deepest)
	if seen < 10_000 {
		t.Errorf("%d states are few", seen)
	}
	for seed := range uint64(500) {
		if wrong := walk(seed, 60, nil); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// The same search finds what somebody might do wrong.
func TestPlantedMistakesAreFoundByTheSearch(t *testing.T) {
	for name, plant := range map[string]func(*point){
		"the hold counts from the answer": func(p *point) {
			for _, a := range p.askers {
				if a.term != 0 && a.end < p.now+shortest-shortest/Drift && len(a.rounds) > 0 && len(a.rounds[len(a.rounds)-1].yes) == 2 {
					a.end = p.now + shortest - shortest/Drift
					a.rounds[len(a.rounds)-1].yes = append(a.rounds[len(a.rounds)-1].yes, 9) // once
				}
			}
		},
		"a voter answers at once after a start": func(p *point) {
			for _, v := range p.voters {
				v.silent = 0
			}
		},
		"less than half of the voters decide": func(p *point) {
			for _, a := range p.askers {
				for i := range a.rounds {
					if r := &a.rounds[i]; len(r.yes) == 1 {
						r.yes = append(r.yes, r.yes[0]%3+1)
						a.granted(r, p.now)
					}
				}
			}
		},
		"a number comes again": func(p *point) {
			for _, v := range p.voters {
				if u := v.votes["x"]; u != nil && p.now >= u.until {
					u.promise.Number = 0
				}
			}
			for _, a := range p.askers {
				a.seen = 0
			}
			p.gained = min(p.gained, 1<<40)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := ""
			if wrong, _, _ := search(*depth, 40_000, plant); wrong != "" {
				found = wrong
			}
			for seed := uint64(0); found == "" && seed < 60_000; seed++ {
				found = walk(seed, 40, plant)
			}
			if found == "" {
				t.Error("it is not found")
			}
		})
	}
}
