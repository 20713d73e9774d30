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

// clock is a manually advanced timer.
type clock struct {
	now    time.Duration
	events timerqueue.Queue[func()]
}

func (c *clock) Now() time.Duration                 { return c.now }
func (c *clock) At(at time.Duration, action func()) { c.events.Push(at, action) }
func (c *clock) run(d time.Duration) {
	end := c.now + d
	for at, ok := c.events.NextDue(); ok && at <= end; at, ok = c.events.NextDue() {
		c.now = max(c.now, at)
		action, _ := c.events.PopDue(c.now)
		action()
	}
	c.now = end
}

var memberSpec = MemberSpec{Cores: 2, Queue: 4, ColdShare: 0.25, WarmUp: 10 * time.Second, ColdMultiple: 3, OverloadWindow: time.Second, MaxReadWait: 50 * ms,
	LogDelay: 5 * ms, ApplyTime: 2 * ms, DedupWindow: time.Second}

var election = Election{Detection: [2]time.Duration{time.Second, 2 * time.Second}, Takeover: [2]time.Duration{time.Second, 2 * time.Second},
	HandOver: [2]time.Duration{200 * ms, 500 * ms}, DualClaim: 300 * ms}

func newGroup(seed uint64) (*clock, *Group) {
	c := &clock{now: 100 * time.Second}
	rng := pcg.New(seed)
	var members []*Member
	for i := range 3 {
		members = append(members, NewMember(fmt.Sprint("m", i), memberSpec, c, rng))
	}
	return c, NewGroup(0, election, c, rng, members...)
}

// ask submits one attempt and returns its result, TimedOut until there is one.
func ask(m *Member, j *Job) *Result {
	got := new(Result)
	got.Outcome = driver.TimedOut
	if j.Work == 0 {
		j.Work = 100 * ms
	}
	j.Done = func(r Result) { *got = r }
	m.Submit(j)
	return got
}

func TestQueues(t *testing.T) {
	c, g := newGroup(1)
	var all []*Result
	for range 8 {
		all = append(all, ask(g.Members[0], &Job{}))
	}
	for i, want := range []int{2, 4, 6, 6} { // two cores; the last two attempts find the queue full
		c.run(100 * ms)
		done := 0
		for _, r := range all {
			if r.Outcome == driver.OK {
				done++
			}
		}
		if done != want {
			t.Errorf("after %d00 ms %d are done, want %d", i+1, done, want)
		}
	}
	if all[6].Outcome != driver.Full || all[7].Outcome != driver.Full {
		t.Errorf("beyond the queue: %v", all[6].Outcome)
	}
	g.Members[0].Slowdown = 3
	slow := ask(g.Members[0], &Job{})
	if c.run(250 * ms); slow.Outcome == driver.OK {
		t.Error("the slowdown has no effect")
	}
	if c.run(60 * ms); slow.Outcome != driver.OK {
		t.Error("a slow member never ends")
	}
}

func TestPausedAndCancelledWork(t *testing.T) {
	c, g := newGroup(1)
	m := g.Members[0]
	r := ask(m, &Job{})
	m.Pause(c.now + time.Second)
	if c.run(900 * ms); r.Outcome == driver.OK {
		t.Error("a paused member answers")
	}
	if c.run(300 * ms); r.Outcome != driver.OK {
		t.Error("the member does not answer after its pause")
	}
	ask(m, &Job{})
	ask(m, &Job{})
	waiting := &Job{}
	r = ask(m, waiting)
	m.Cancel(waiting)
	if c.run(time.Second); r.Outcome == driver.OK {
		t.Error("cancelled waiting work has run")
	}
}

func TestColdMembersCrashUnderOverload(t *testing.T) {
	for _, each := range []time.Duration{100 * ms, 20 * ms} {
		c, g := newGroup(1)
		m := g.Members[1]
		m.Kill()
		m.Start(0)
		if got := m.Capacity(); got != 0.25 {
			t.Errorf("capacity right after the start is %v", got)
		}
		for range 200 {
			if m.Up() {
				ask(m, &Job{Work: 20 * ms})
			}
			c.run(each)
		}
		if quick := each == 20*ms; m.Overloaded() != false && !quick {
			t.Errorf("crashed with one attempt every %v", each)
		}
	}
	c, g := newGroup(1)
	m := g.Members[1]
	m.Kill()
	m.Start(0)
	for range 100 {
		ask(m, &Job{Work: 100 * ms})
		c.run(10 * ms)
	}
	if !m.Overloaded() || m.Up() {
		t.Error("an overloaded cold member does not crash")
	}
	m.Start(0)
	c.run(11 * time.Second)
	for range 100 {
		ask(m, &Job{Work: 100 * ms})
		c.run(10 * ms)
	}
	if m.Overloaded() || m.Capacity() != 1 {
		t.Error("a warm member crashes")
	}
}

func TestLogAndReadsAheadOfReplica(t *testing.T) {
	c, g := newGroup(1)
	w := ask(g.Members[0], &Job{Write: true, Token: "a"})
	c.run(101 * ms)
	if w.Outcome != driver.OK || !w.Effect || w.Role != driver.Primary {
		t.Fatalf("the write: %+v", w)
	}
	if again := ask(g.Members[0], &Job{Write: true, Token: "a"}); true {
		if c.run(101 * ms); again.Outcome != driver.OK || again.Effect {
			t.Errorf("a repeat inside the window: %+v", again)
		}
	}
	c.run(time.Second)
	again := ask(g.Members[0], &Job{Write: true, Token: "a"})
	if c.run(101 * ms); !again.Effect {
		t.Error("a repeat beyond the window is dropped")
	}
	if r := ask(g.Members[1], &Job{Write: true}); true {
		if c.run(time.Second); r.Outcome != driver.Misdirected {
			t.Errorf("a write at a replica: %v", r.Outcome)
		}
	}
	g.Members[1].ApplySlowdown = 100 // 200 ms for each log entry
	for range 5 {
		ask(g.Members[0], &Job{Write: true, Work: ms})
		c.run(2 * ms)
	}
	ahead := ask(g.Members[1], &Job{After: c.now, Work: ms})
	if c.run(60 * ms); ahead.Outcome != driver.Misdirected || ahead.ReportedPosition >= c.now {
		t.Errorf("a read ahead of a replica that lags: %+v", ahead)
	}
	quick := ask(g.Members[2], &Job{After: c.now, Work: ms})
	if c.run(60 * ms); quick.Outcome != driver.OK {
		t.Errorf("a read at a replica that does not lag: %+v", quick)
	}
	before := g.Members[1].Position()
	c.run(3 * time.Second)
	if after := g.Members[1].Position(); after <= before || c.now-after > 10*ms {
		t.Errorf("the replica does not catch up: %v behind", c.now-after)
	}
}

// Guards against a group without a primary, with two, or with replica positions that go back, while members die, hang,
// drain and restart at random.
func TestElections(t *testing.T) {
	for seed := range uint64(30) {
		c, g := newGroup(seed)
		rng := pcg.New(seed + 100)
		latest := make(map[*Member]time.Duration)
		incarnations := make(map[*Member]int)
		for range 200 {
			m := g.Members[rng.Below(3)]
			switch rng.Below(12) {
			case 0:
				if m.Up() {
					m.Kill()
				}
			case 1:
				if !m.Up() {
					m.Start(time.Duration(rng.Below(2)) * time.Second)
				}
			case 2:
				m.Pause(c.now + time.Duration(rng.Below(5000))*ms)
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
				if incarnations[o] != o.incarnation {
					incarnations[o], latest[o] = o.incarnation, 0
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
			m.draining = false
		}
		c.run(20 * time.Second)
		claims := 0
		for _, m := range g.Members {
			if m.role == driver.Primary {
				claims++
			}
		}
		if g.Primary() == nil || claims != 1 || g.Primary().role != driver.Primary {
			t.Errorf("seed %d: %d members claim the primary role at the end", seed, claims)
		}
	}
}

// A primary that resumes from a hang after another took over claims its role for a moment, and must give it up.
func TestHungPrimaryGivesUpItsRole(t *testing.T) {
	c, g := newGroup(5)
	old := g.Primary()
	old.Pause(c.now + 10*time.Second)
	g.Suspect(old)
	for g.Primary() == old || g.Primary() == nil {
		c.run(10 * ms)
	}
	old.pausedUntil = c.now
	if old.Role() != driver.Primary || g.Primary() == old {
		t.Fatal("the old primary does not claim the role after its pause")
	}
	c.run(15 * time.Second)
	if old.Role() != driver.Replica {
		t.Error("the old primary does not give up the role")
	}
}

func validRecord() *Record {
	r := NewRecord(Tolerance{Grace: 250 * ms, Slack: 50 * ms})
	r.TrySent("a", "", "d0", Idempotent, 0, time.Second)
	r.AttemptArrived("a", "m0", 10*ms)
	r.AttemptRan("a", false, "")
	r.TryAnswered("a", OK, 100*ms)
	return r
}

// Guards against a check that finds nothing: each case adds the violation of one rule to a correct record.
func TestRecordDetectsEachRuleViolation(t *testing.T) {
	if broken := validRecord().Broken(time.Minute); len(broken) > 0 {
		t.Errorf("a valid record: %v", broken)
	}
	for want, spoil := range map[string]func(r *Record){
		"rule 1: b has 0 answers": func(r *Record) { r.TrySent("b", "", "d0", Idempotent, 0, time.Second) },
		"rule 1: a has 2 answers": func(r *Record) { r.TryAnswered("a", OK, 200*ms) },
		"rule 1: b of d0 has no answer": func(r *Record) {
			r.TrySent("b", "", "d0", Idempotent, 0, time.Second)
			r.TryAnswered("b", Nothing, time.Second)
		},
		"rule 1: a reaches m1":   func(r *Record) { r.AttemptArrived("a", "m1", 300*ms) },
		"rule 1: b is ok though": func(r *Record) { r.TrySent("b", "", "d0", Idempotent, 0, time.Second); r.TryAnswered("b", OK, 100*ms) },
		"rule 2: b had 2 effects": func(r *Record) {
			r.TrySent("b", "", "d0", NonIdempotent, 0, time.Second)
			r.AttemptRan("b", true, "")
			r.AttemptRan("b", true, "")
			r.TryAnswered("b", OK, 100*ms)
		},
		"rule 2: b is pushed back though": func(r *Record) {
			r.TrySent("b", "t", "d0", Tokened, 0, time.Second)
			r.AttemptRan("b", true, "")
			r.TryAnswered("b", PushedBack, 100*ms)
		},
		"rule 2: token t had 2 effects": func(r *Record) {
			for _, id := range []string{"b", "c"} {
				r.TrySent(id, "t", "d0", Tokened, 0, time.Second)
				r.AttemptRan(id, true, "")
				r.TryAnswered(id, OK, 100*ms)
			}
		},
		"rule 3: a reaches m0": func(r *Record) { r.DrainHeard("d0", "m0", -400*ms) },
		"rule 4: m2 was":       func(r *Record) { r.MemberOverloaded("m2") },
		"rule 5: b is answered": func(r *Record) {
			r.TrySent("b", "", "d0", Idempotent, 0, time.Second)
			r.AttemptRan("b", false, "is 2 s old")
			r.TryAnswered("b", OK, 100*ms)
		},
	} {
		r := validRecord()
		spoil(r)
		if broken := r.Broken(time.Minute); len(broken) != 1 || !strings.HasPrefix(broken[0], want) {
			t.Errorf("%s: %v", want, broken)
		}
	}
	r := validRecord()
	r.TrySent("b", "", "d1", Idempotent, 0, time.Second)
	r.TryAnswered("b", Nothing, time.Second)
	r.DriverDown("d1", 500*ms, 600*ms)
	if broken := r.Broken(time.Minute); len(broken) > 0 {
		t.Errorf("tries of a killed driver are not exempt: %v", broken)
	}
}
