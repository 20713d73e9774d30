package lease

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

var simulationRuns = flag.Int("runs", 3000, "seeds of the simulated runs")

func voterSet(version uint32, voters ...Node) VoterSet { return VoterSet{Version: version, Voters: voters} }

// abreast plays seeds on all cores and stops at the first that breaks something.
func runSeeds(seeds int, run func(seed uint64) *simulation) (found *simulation, acquisitions, actions, fenced int64) {
	var next, sumAcquisitions, sumActions, sumFenced atomic.Int64
	var mutex sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= int64(seeds); seed = next.Add(1) {
				w := run(uint64(seed))
				sumAcquisitions.Add(int64(w.acquisitions))
				sumActions.Add(int64(w.actions))
				sumFenced.Add(int64(w.fenced))
				if len(w.violations) > 0 {
					mutex.Lock()
					if found == nil {
						found = w
						w.note("seed %d", seed)
					}
					mutex.Unlock()
					return
				}
			}
		})
	}
	workers.Wait()
	return found, sumAcquisitions.Load(), sumActions.Load(), sumFenced.Load()
}

// In thousands of runs with kills, stops, cuts, losses and folders kept, emptied or older: never do two hold at once, numbers only rise, and
// somebody holds again once the troubles are over.
func TestSimulatedMutualExclusion(t *testing.T) {
	found, acquisitions, actions, fenced := runSeeds(*simulationRuns, func(seed uint64) *simulation {
		voters := []Node{1, 2, 3, 4, 5}[:3+2*(seed%2)]
		w := newSimulation(seed, len(voters)+int(seed%3), voterSet(1, voters...), seed%4 != 0)
		w.runWithFaults(12, 12*time.Second)
		return w
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.violations, found)
	}
	t.Logf("%d runs, %d terms, %d acts, %d refused by their number", *simulationRuns, acquisitions, actions, fenced)
	if acquisitions < int64(*simulationRuns) || actions < 10*acquisitions || fenced == 0 {
		t.Errorf("%d terms, %d acts, %d refused show little", acquisitions, actions, fenced)
	}
}

// Where clocks run apart beyond the bound two may hold, but no act of an older one is taken after one of a newer.
func TestFencingBeyondClockDriftBound(t *testing.T) {
	fenced := 0
	for seed := range uint64(300) {
		w := newSimulation(seed, 4, voterSet(1, 1, 2, 3), true)
		w.driftUnbounded = true
		for i, d := range w.drivers {
			d.clockRate = []float64{1.3, 0.7, 1.2, 0.6}[i]
		}
		w.runWithFaults(12, 20*time.Second)
		if len(w.violations) > 0 {
			t.Fatalf("%v\n%v", w.violations, w)
		}
		fenced += w.fenced
	}
	if fenced == 0 {
		t.Error("no act of an older holder ever came")
	}
}

// The set of voters changes in two steps, while links are cut and drivers hear of it at other times: no two hold.
func TestVoterChangeDuringFaults(t *testing.T) {
	former, joint, next := voterSet(1, 1, 2, 3), VoterSet{2, []Node{3, 4, 5}, []Node{1, 2, 3}}, voterSet(3, 3, 4, 5)
	change := func(w *simulation, set VoterSet, within time.Duration) {
		for _, d := range w.drivers {
			w.after(time.Duration(w.random.Float()*float64(within)), func() {
				d.voters = set
				d.whenRunning(func() {
					d.voter.ChangeVoters(set)
					d.candidate.ChangeVoters(set)
				})
			})
		}
	}
	found, _, _, _ := runSeeds(*simulationRuns/3, func(seed uint64) *simulation {
		w := newSimulation(seed, 6, former, true)
		w.after(6*time.Second, func() { change(w, joint, 4*time.Second) })
		w.after(17*time.Second, func() { change(w, next, 4*time.Second) }) // once no driver has the first any more
		w.runWithFaults(24, 15*time.Second)
		return w
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.violations, found)
	}
}

// Mistakes that somebody might make are found by the same runs.
func TestMutationsFoundBySimulation(t *testing.T) {
	for name, mutate := range map[string]func(w *simulation){
		"the hold counts from the answer": func(w *simulation) {
			w.beforeEachStep(func(d *simulatedDriver) {
				for i := range d.candidate.rounds {
					d.candidate.rounds[i].sentAt = d.clock()
				}
			})
		},
		"a voter answers at once after a start": func(w *simulation) { w.beforeEachStep(func(d *simulatedDriver) { d.voter.silentUntil = 0 }) },
		"less than half of the voters decide": func(w *simulation) {
			w.beforeEachStep(func(d *simulatedDriver) {
				for i := range d.candidate.rounds {
					if r := &d.candidate.rounds[i]; len(r.grants) == 1 {
						r.grants = append(r.grants, r.grants[0]%3+1)
						d.candidate.countGrants(r, d.clock())
					}
				}
			})
		},
		"a number comes again": func(w *simulation) {
			w.beforeEachStep(func(d *simulatedDriver) {
				d.candidate.highestToken, d.wallClockError = 0, -w.now+time.Second
				for _, v := range d.voter.grants {
					if d.clock() >= v.expiresAt {
						v.promise, v.persisted = Promise{}, Promise{}
					}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found, _, _, _ := runSeeds(2000, func(seed uint64) *simulation {
				w := newSimulation(seed, 5, voterSet(1, 1, 2, 3), true)
				mutate(w)
				w.runWithFaults(12, 12*time.Second)
				w.violations = slices.DeleteFunc(w.violations, func(what string) bool { return strings.Contains(what, "nobody holds") })
				return w
			})
			if found == nil {
				t.Error("it is not found")
			}
		})
	}
}

// every lets something be done to all drivers before each thing that happens.
func (w *simulation) beforeEachStep(action func(*simulatedDriver)) {
	var step func()
	step = func() {
		for _, d := range w.drivers {
			if d.running {
				action(d)
			}
		}
		w.after(ms/2, step)
	}
	w.after(0, step)
}

// Twenty who ask at one moment all get it, one after the other, each for a moment, without delay between them.
func TestManyCandidatesAcquireInTurn(t *testing.T) {
	w := newSimulation(5, 20, voterSet(1, 1, 2, 3), false)
	w.run(w.now + 5*time.Second) // the voters' silence
	acquisitionOrder := make(map[int]int)
	start := w.now
	var watch func()
	watch = func() {
		for _, d := range w.drivers {
			if _, ok := d.candidate.Held(d.clock()); ok && acquisitionOrder[d.number] == 0 {
				acquisitionOrder[d.number] = len(acquisitionOrder) + 1
				w.after(50*ms, func() { d.whenRunning(func() { d.candidate.Resign(d.clock()) }) })
			}
		}
		if len(acquisitionOrder) < 20 {
			w.after(5*ms, watch)
		}
	}
	watch()
	w.run(start + 30*time.Second)
	if len(acquisitionOrder) < 20 || len(w.violations) > 0 {
		t.Fatalf("%d of 20 had it, %v\n%v", len(acquisitionOrder), w.violations, w)
	}
}

// How long nobody holds after the holder dies, and how many messages it takes.
func TestFailoverTime(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(200) {
		w := newSimulation(seed, 5, voterSet(1, 1, 2, 3), false)
		w.run(w.now + 8*time.Second + time.Duration(w.random.Float()*float64(time.Second)))
		for _, d := range w.drivers {
			if _, ok := d.candidate.Held(d.clock()); ok && d.number > 2 {
				acquisitions := w.acquisitions
				d.kill()
				for killedAt := w.now; w.acquisitions == acquisitions && w.now < killedAt+time.Minute; {
					if w.run(w.now + 10*ms); w.acquisitions > acquisitions {
						gaps = append(gaps, w.now-killedAt)
					}
				}
			}
		}
	}
	slices.Sort(gaps)
	if len(gaps) < 20 {
		t.Fatalf("%d deaths of a holder", len(gaps))
	}
	median, percentile99 := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
	t.Logf("%d deaths, lease of %v: nobody holds for %v in the middle, %v in the worst of a hundred", len(gaps), simulatedTTL, median, percentile99)
	if percentile99 > simulatedTTL+time.Second {
		t.Errorf("nobody holds for %v", percentile99)
	}
}

// What is no message is refused, and what is comes through as it was.
func TestMessageRoundTrip(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		m := Message{Op: Op(rapid.IntRange(1, int(lastOp)).Draw(t, "op")), Reason: Reason(rapid.IntRange(0, int(lastReason)).Draw(t, "why")),
			Lease: rapid.StringMatching(`[a-z0-9/]{1,32}`).Draw(t, "lease"), VoterSetVersion: rapid.Uint32().Draw(t, "version"), Round: rapid.Uint64().Draw(t, "round"),
			FencingToken: rapid.Uint64().Draw(t, "number"), TTL: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "lasts")),
			Holder: Holder{Node(rapid.Uint64().Draw(t, "node")), rapid.Uint64().Draw(t, "life")}}
		encoded := AppendMessage(nil, m)
		if got, ok := ParseMessage(encoded); !ok || got != m || len(encoded) > MaxMessageLength {
			t.Fatalf("%+v is read as %+v", m, got)
		}
		if _, ok := ParseMessage(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")]); ok {
			t.Fatal("half a message is read")
		}
	})
}

func FuzzParseMessage(f *testing.F) {
	f.Add(AppendMessage(nil, Message{Op: Request, Lease: "summary", Round: 1, FencingToken: 2, TTL: time.Second}))
	f.Fuzz(func(t *testing.T, in []byte) {
		if m, ok := ParseMessage(in); ok && fmt.Sprint(AppendMessage(nil, m)) != fmt.Sprint(in) {
			t.Errorf("%x is read as %+v", in, m)
		}
	})
}

// Who finds the line full rests, so that voters get little more in a larger fleet; and should all in line go with the holder, one who rests asks soon.
func TestFailoverWhenTheQueueFailsWithTheHolder(t *testing.T) {
	set := VoterSet{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}
	for seed := range uint64(10) {
		w := newSimulation(seed+40, 60, set, false)
		w.run(w.now + 80*simulatedTTL)
		requests := 0
		for _, d := range w.drivers {
			requests += int(d.candidate.lastRound)
		}
		w.run(w.now + 20*simulatedTTL)
		for _, d := range w.drivers {
			requests -= int(d.candidate.lastRound)
		}
		if perTTL := -requests / 20; perTTL > 25 {
			t.Errorf("seed %d: %d questions in a lease", seed, perTTL)
		}
		for w.holder() == nil {
			w.run(w.now + 20*ms)
		}
		failing := map[Node]bool{w.holder().name: true}
		for _, n := range set.Voters {
			queue := w.drivers[n-1].voter.grants["x"].queue
			if len(queue) != maxQueueLength {
				t.Errorf("seed %d: %d are in line at voter %d", seed, len(queue), n)
			}
			for _, o := range queue {
				failing[o.holder.Node] = true
			}
		}
		if len(failing) > 30 {
			t.Errorf("seed %d: voters have %d in line, in all", seed, len(failing))
		}
		for n := range failing {
			if d := w.drivers[n-1]; n <= 5 { // a voter stays, and wants it no more
				d.whenRunning(func() { d.candidate.Resign(d.clock()) })
			} else {
				d.kill()
			}
		}
		failedAt := w.now
		for w.run(w.now + 20*ms); w.holder() == nil && w.now < failedAt+time.Minute; w.run(w.now + 20*ms) {
		}
		if gap := w.now - failedAt; gap > simulatedTTL+5*time.Second {
			t.Errorf("seed %d: nobody holds for %v", seed, gap)
		}
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations[0])
		}
	}
}

// holder is who holds, nil: nobody.
func (w *simulation) holder() *simulatedDriver {
	for _, d := range w.drivers {
		if d.running {
			if _, ok := d.candidate.Held(d.clock()); ok {
				return d
			}
		}
	}
	return nil
}

// words keeps what an asker sends.
type sentMessages struct{ receivers map[Op][]Node }

func (w *sentMessages) Send(to Node, m Message) { w.receivers[m.Op] = append(w.receivers[m.Op], to) }
func (*sentMessages) Acquired(string, uint64)     {}
func (*sentMessages) Lost(string, uint64)       {}

// A question in vain is given back to those only that may have granted it, and who is told to rest comes between half of that time and all of it.
func TestAbandonedRoundIsReleasedWhereGrantsArePossible(t *testing.T) {
	host := &sentMessages{make(map[Op][]Node)}
	candidate := NewCandidate(host, Holder{9, 1}, "x", simulatedTTL, VoterSet{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}, 1)
	candidate.Campaign(0)
	candidate.Wake(0, 1)
	for n := Node(1); n <= 3; n++ {
		candidate.Receive(n, Message{Op: Reject, Reason: HeldByAnother, Lease: "x", VoterSetVersion: 1, Round: 1, FencingToken: 5, TTL: 10 * simulatedTTL, Holder: Holder{8, 1}}, ms)
	}
	if released := host.receivers[Release]; !slices.Equal(released, []Node{4, 5}) {
		t.Errorf("given back to %v", released)
	}
	if candidate.nextRequestAt < 5*simulatedTTL || candidate.nextRequestAt > 10*simulatedTTL+ms {
		t.Errorf("told to rest for %v it asks again after %v", 10*simulatedTTL, candidate.nextRequestAt)
	}
}
