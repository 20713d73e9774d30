package emu

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
	"passtack/internal/timerqueue"
)

const ms = time.Millisecond

// clock is time by hand.
type clock struct {
	now  time.Duration
	dues timerqueue.Queue[func()]
}

func (c *clock) Now() time.Duration              { return c.now }
func (c *clock) At(at time.Duration, act func()) { c.dues.Push(at, act) }
func (c *clock) run(d time.Duration) {
	end := c.now + d
	for at, ok := c.dues.NextDue(); ok && at <= end; at, ok = c.dues.NextDue() {
		c.now = max(c.now, at)
		act, _ := c.dues.PopDue(c.now)
		act()
	}
	c.now = end
}

var build = Build{Cores: 2, Queue: 4, Cold: 0.25, Warm: 10 * time.Second, Multiple: 3, Tips: time.Second, Patience: 50 * ms,
	Delay: 5 * ms, Apply: 2 * ms, Window: time.Second}

var election = Election{Notice: [2]time.Duration{time.Second, 2 * time.Second}, Takeover: [2]time.Duration{time.Second, 2 * time.Second},
	HandOver: [2]time.Duration{200 * ms, 500 * ms}, Contest: 300 * ms}

func newGroup(seed uint64) (*clock, *Group) {
	c := &clock{now: 100 * time.Second}
	chance := pcg.New(seed)
	var members []*Member
	for i := range 3 {
		members = append(members, NewMember(fmt.Sprint("m", i), build, c, chance))
	}
	return c, NewGroup(0, election, c, chance, members...)
}

// ask sends one attempt and notes what came back.
func ask(m *Member, j *Job) *Result {
	got := new(Result)
	got.How = driver.TimedOut
	if j.Work == 0 {
		j.Work = 100 * ms
	}
	j.Done = func(r Result) { *got = r }
	m.Take(j)
	return got
}

func TestQueues(t *testing.T) {
	c, g := newGroup(1)
	var all []*Result
	for range 8 {
		all = append(all, ask(g.Members[0], &Job{}))
	}
	for i, want := range []int{2, 4, 6, 6} { // two cores; the last two find the queue full
		c.run(100 * ms)
		done := 0
		for _, r := range all {
			if r.How == driver.OK {
				done++
			}
		}
		if done != want {
			t.Errorf("after %d00 ms %d are done, want %d", i+1, done, want)
		}
	}
	if all[6].How != driver.Full || all[7].How != driver.Full {
		t.Errorf("beyond the queue: %v", all[6].How)
	}
	g.Members[0].Slow = 3
	slow := ask(g.Members[0], &Job{})
	if c.run(250 * ms); slow.How == driver.OK {
		t.Error("a slow member is as quick as ever")
	}
	if c.run(60 * ms); slow.How != driver.OK {
		t.Error("a slow member never ends")
	}
}

func TestPausesAndGivenUpWork(t *testing.T) {
	c, g := newGroup(1)
	m := g.Members[0]
	r := ask(m, &Job{})
	m.Pause(c.now + time.Second)
	if c.run(900 * ms); r.How == driver.OK {
		t.Error("it answers while it stands still")
	}
	if c.run(300 * ms); r.How != driver.OK {
		t.Error("it does not go on after its pause")
	}
	ask(m, &Job{})
	ask(m, &Job{})
	waiting := &Job{}
	r = ask(m, waiting)
	m.Drop(waiting)
	if c.run(time.Second); r.How == driver.OK {
		t.Error("waiting work that was given up has run")
	}
}

func TestColdMembersTip(t *testing.T) {
	for _, each := range []time.Duration{100 * ms, 20 * ms} {
		c, g := newGroup(1)
		m := g.Members[1]
		m.Die()
		m.Start(0)
		if got := m.Capacity(); got != 0.25 {
			t.Errorf("right after its start it can do %v", got)
		}
		for range 200 {
			if m.Up() {
				ask(m, &Job{Work: 20 * ms})
			}
			c.run(each)
		}
		if quick := each == 20*ms; m.Tipped() != false && !quick {
			t.Errorf("tipped by one attempt each %v", each)
		}
	}
	c, g := newGroup(1)
	m := g.Members[1]
	m.Die()
	m.Start(0)
	for range 100 {
		ask(m, &Job{Work: 100 * ms})
		c.run(10 * ms)
	}
	if !m.Tipped() || m.Up() {
		t.Error("far too much does not tip it")
	}
	m.Start(0)
	c.run(11 * time.Second)
	for range 100 {
		ask(m, &Job{Work: 100 * ms})
		c.run(10 * ms)
	}
	if m.Tipped() || m.Capacity() != 1 {
		t.Error("a warm member is tipped")
	}
}

func TestTheLogAndReadsAheadOfIt(t *testing.T) {
	c, g := newGroup(1)
	w := ask(g.Members[0], &Job{Write: true, Token: "a"})
	c.run(101 * ms)
	if w.How != driver.OK || !w.Effect || w.Role != driver.Primary {
		t.Fatalf("the write: %+v", w)
	}
	if again := ask(g.Members[0], &Job{Write: true, Token: "a"}); true {
		if c.run(101 * ms); again.How != driver.OK || again.Effect {
			t.Errorf("a repeat inside the window: %+v", again)
		}
	}
	c.run(time.Second)
	again := ask(g.Members[0], &Job{Write: true, Token: "a"})
	if c.run(101 * ms); !again.Effect {
		t.Error("a repeat beyond the window is dropped")
	}
	if r := ask(g.Members[1], &Job{Write: true}); true {
		if c.run(time.Second); r.How != driver.Misdirected {
			t.Errorf("a write at a replica: %v", r.How)
		}
	}
	g.Members[1].Lagging = 100 // 200 ms for each commit
	for range 5 {
		ask(g.Members[0], &Job{Write: true, Work: ms})
		c.run(2 * ms)
	}
	ahead := ask(g.Members[1], &Job{After: c.now, Work: ms})
	if c.run(60 * ms); ahead.How != driver.Misdirected || ahead.Position >= c.now {
		t.Errorf("a read ahead of a replica that lags: %+v", ahead)
	}
	quick := ask(g.Members[2], &Job{After: c.now, Work: ms})
	if c.run(60 * ms); quick.How != driver.OK {
		t.Errorf("at one that does not it waits and is answered: %+v", quick)
	}
	before := g.Members[1].Position()
	c.run(3 * time.Second)
	if after := g.Members[1].Position(); after <= before || c.now-after > 10*ms {
		t.Errorf("it never catches up: %v behind", c.now-after)
	}
}

// However members die, hang, drain and come back: at most one member is followed, positions of a replica never go back,
// and a group with members left gets a primary again.
func TestElections(t *testing.T) {
	for seed := range uint64(30) {
		c, g := newGroup(seed)
		chance := pcg.New(seed + 100)
		latest := make(map[*Member]time.Duration)
		lives := make(map[*Member]int)
		for range 200 {
			m := g.Members[chance.Below(3)]
			switch chance.Below(12) {
			case 0:
				if m.Up() {
					m.Die()
				}
			case 1:
				if !m.Up() {
					m.Start(time.Duration(chance.Below(2)) * time.Second)
				}
			case 2:
				m.Pause(c.now + time.Duration(chance.Below(5000))*ms)
				g.Suspect(m)
			case 3:
				if m.Up() && g.Primary() == m {
					m.Drain()
				}
			}
			if p := g.Primary(); p != nil && p.Up() {
				ask(p, &Job{Write: true, Work: ms})
			}
			c.run(100 * ms)
			for _, o := range g.Members {
				if lives[o] != o.life {
					lives[o], latest[o] = o.life, 0
				}
				if o.role == driver.Replica && o.up {
					at := o.Position()
					if at < latest[o] || at > c.now {
						t.Fatalf("seed %d: the position of %s goes from %v to %v", seed, o.Name, latest[o], at)
					}
					latest[o] = at
				}
			}
		}
		for _, m := range g.Members {
			if !m.Up() {
				m.Start(0)
			}
			m.drains = false
		}
		c.run(20 * time.Second)
		claims := 0
		for _, m := range g.Members {
			if m.role == driver.Primary {
				claims++
			}
		}
		if g.Primary() == nil || claims != 1 || g.Primary().role != driver.Primary {
			t.Errorf("seed %d: in the end %d claim the role", seed, claims)
		}
	}
}

// A hang that ends just as another takes over: for a moment two claim the role, and what the old one writes is no commit.
func TestTwoClaimTheRole(t *testing.T) {
	c, g := newGroup(5)
	old := g.Primary()
	old.Pause(c.now + 10*time.Second)
	g.Suspect(old)
	for g.Primary() == old || g.Primary() == nil {
		c.run(10 * ms)
	}
	old.paused = c.now
	if old.Role() != driver.Primary || g.Primary() == old {
		t.Fatal("it does not claim the role any more")
	}
	c.run(15 * time.Second)
	if old.Role() != driver.Replica {
		t.Error("it claims the role for ever")
	}
}

func record() *Record {
	r := NewRecord(Allowed{Grace: 250 * ms, Slack: 50 * ms})
	r.Asked("a", "", "d0", Idempotent, 0, time.Second)
	r.Arrived("a", "m0", 10*ms)
	r.Ran("a", false, "")
	r.Heard("a", OK, 100*ms)
	return r
}

// Each rule is seen to break when what guards it is left out of the record.
func TestTheCheckerFindsEachRule(t *testing.T) {
	if broken := record().Broken(time.Minute); len(broken) > 0 {
		t.Errorf("a calm record: %v", broken)
	}
	for want, spoil := range map[string]func(r *Record){
		"rule 1: b has 0 answers": func(r *Record) { r.Asked("b", "", "d0", Idempotent, 0, time.Second) },
		"rule 1: a has 2 answers": func(r *Record) { r.Heard("a", OK, 200*ms) },
		"rule 1: b of d0 has no answer": func(r *Record) {
			r.Asked("b", "", "d0", Idempotent, 0, time.Second)
			r.Heard("b", Nothing, time.Second)
		},
		"rule 1: a reaches m1":   func(r *Record) { r.Arrived("a", "m1", 300*ms) },
		"rule 1: b is ok though": func(r *Record) { r.Asked("b", "", "d0", Idempotent, 0, time.Second); r.Heard("b", OK, 100*ms) },
		"rule 2: b had 2 effects": func(r *Record) {
			r.Asked("b", "", "d0", NonIdempotent, 0, time.Second)
			r.Ran("b", true, "")
			r.Ran("b", true, "")
			r.Heard("b", OK, 100*ms)
		},
		"rule 2: b is pushed back though": func(r *Record) {
			r.Asked("b", "t", "d0", Tokened, 0, time.Second)
			r.Ran("b", true, "")
			r.Heard("b", PushedBack, 100*ms)
		},
		"rule 2: token t had 2 effects": func(r *Record) {
			for _, id := range []string{"b", "c"} {
				r.Asked(id, "t", "d0", Tokened, 0, time.Second)
				r.Ran(id, true, "")
				r.Heard(id, OK, 100*ms)
			}
		},
		"rule 3: a reaches m0": func(r *Record) { r.Told("d0", "m0", -400*ms) },
		"rule 4: m2 was":       func(r *Record) { r.Tipped("m2") },
		"rule 5: b is answered": func(r *Record) {
			r.Asked("b", "", "d0", Idempotent, 0, time.Second)
			r.Ran("b", false, "is 2 s old")
			r.Heard("b", OK, 100*ms)
		},
	} {
		r := record()
		spoil(r)
		if broken := r.Broken(time.Minute); len(broken) != 1 || !strings.HasPrefix(broken[0], want) {
			t.Errorf("%s: %v", want, broken)
		}
	}
	r := record()
	r.Asked("b", "", "d1", Idempotent, 0, time.Second)
	r.Heard("b", Nothing, time.Second)
	r.Down("d1", 500*ms, 600*ms)
	if broken := r.Broken(time.Minute); len(broken) > 0 {
		t.Errorf("what a killed driver held is no duty of it: %v", broken)
	}
}
