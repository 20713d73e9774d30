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

var runs = flag.Int("runs", 3000, "seeds of the simulated runs")

func setOf(version uint32, voters ...Node) Set { return Set{Version: version, Voters: voters} }

// abreast plays seeds on all cores and stops at the first that breaks something.
func abreast(seeds int, play func(seed uint64) *world) (found *world, holds, acts, refused int64) {
	var next, sumHolds, sumActs, sumRefused atomic.Int64
	var mutex sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= int64(seeds); seed = next.Add(1) {
				w := play(uint64(seed))
				sumHolds.Add(int64(w.holds))
				sumActs.Add(int64(w.acts))
				sumRefused.Add(int64(w.refused))
				if len(w.broken) > 0 {
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
	return found, sumHolds.Load(), sumActs.Load(), sumRefused.Load()
}

// In thousands of runs with kills, stops, cuts, losses and folders kept, emptied or older: never do two hold at once, numbers only rise, and
// somebody holds again once the troubles are over.
func TestNoTwoHoldInSimulatedTime(t *testing.T) {
	found, holds, acts, refused := abreast(*runs, func(seed uint64) *world {
		voters := []Node{1, 2, 3, 4, 5}[:3+2*(seed%2)]
		w := newWorld(seed, len(voters)+int(seed%3), setOf(1, voters...), seed%4 != 0)
		w.play(12, 12*time.Second)
		return w
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.broken, found)
	}
	t.Logf("%d runs, %d terms, %d acts, %d refused by their number", *runs, holds, acts, refused)
	if holds < int64(*runs) || acts < 10*holds || refused == 0 {
		t.Errorf("%d terms, %d acts, %d refused show little", holds, acts, refused)
	}
}

// Where clocks run apart beyond the bound two may hold, but no act of an older one is taken after one of a newer.
func TestFencingHoldsBeyondTheBoundOnClocks(t *testing.T) {
	both := 0
	for seed := range uint64(300) {
		w := newWorld(seed, 4, setOf(1, 1, 2, 3), true)
		w.fencing = true
		for i, d := range w.drivers {
			d.rate = []float64{1.3, 0.7, 1.2, 0.6}[i]
		}
		w.play(12, 20*time.Second)
		if len(w.broken) > 0 {
			t.Fatalf("%v\n%v", w.broken, w)
		}
		both += w.refused
	}
	if both == 0 {
		t.Error("no act of an older holder ever came")
	}
}

// The set of voters changes in two steps, while links are cut and drivers hear of it at other times: no two hold.
func TestVotersChangeInTheMiddleOfTroubles(t *testing.T) {
	old, joint, fresh := setOf(1, 1, 2, 3), Set{2, []Node{3, 4, 5}, []Node{1, 2, 3}}, setOf(3, 3, 4, 5)
	change := func(w *world, set Set, within time.Duration) {
		for _, d := range w.drivers {
			w.at(time.Duration(w.chance.Float()*float64(within)), func() {
				d.set = set
				d.soon(func() {
					d.voter.Change(set)
					d.asker.Change(set)
				})
			})
		}
	}
	found, _, _, _ := abreast(*runs/3, func(seed uint64) *world {
		w := newWorld(seed, 6, old, true)
		w.at(6*time.Second, func() { change(w, joint, 4*time.Second) })
		w.at(17*time.Second, func() { change(w, fresh, 4*time.Second) }) // once no driver has the first any more
		w.play(24, 15*time.Second)
		return w
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.broken, found)
	}
}

// Mistakes that somebody might make are found by the same runs.
func TestPlantedMistakesAreFoundInSimulatedTime(t *testing.T) {
	for name, plant := range map[string]func(w *world){
		"the hold counts from the answer": func(w *world) {
			w.every(func(d *simulated) {
				for i := range d.asker.rounds {
					d.asker.rounds[i].sent = d.clock()
				}
			})
		},
		"a voter answers at once after a start": func(w *world) { w.every(func(d *simulated) { d.voter.silent = 0 }) },
		"less than half of the voters decide": func(w *world) {
			w.every(func(d *simulated) {
				for i := range d.asker.rounds {
					if r := &d.asker.rounds[i]; len(r.yes) == 1 {
						r.yes = append(r.yes, r.yes[0]%3+1)
						d.asker.granted(r, d.clock())
					}
				}
			})
		},
		"a number comes again": func(w *world) {
			w.every(func(d *simulated) {
				d.asker.seen, d.stamp = 0, -w.now+time.Second
				for _, v := range d.voter.votes {
					if d.clock() >= v.until {
						v.promise, v.kept = Promise{}, Promise{}
					}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found, _, _, _ := abreast(2000, func(seed uint64) *world {
				w := newWorld(seed, 5, setOf(1, 1, 2, 3), true)
				plant(w)
				w.play(12, 12*time.Second)
				w.broken = slices.DeleteFunc(w.broken, func(what string) bool { return strings.Contains(what, "nobody holds") })
				return w
			})
			if found == nil {
				t.Error("it is not found")
			}
		})
	}
}

// every lets something be done to all drivers before each thing that happens.
func (w *world) every(act func(*simulated)) {
	var again func()
	again = func() {
		for _, d := range w.drivers {
			if d.up {
				act(d)
			}
		}
		w.at(ms/2, again)
	}
	w.at(0, again)
}

// Twenty who ask at one moment all get it, one after the other, each for a moment, without delay between them.
func TestManyAskersComeToAnEnd(t *testing.T) {
	w := newWorld(5, 20, setOf(1, 1, 2, 3), false)
	w.run(w.now + 5*time.Second) // the voters' silence
	order := make(map[int]int)
	began := w.now
	var watch func()
	watch = func() {
		for _, d := range w.drivers {
			if _, ok := d.asker.Held(d.clock()); ok && order[d.number] == 0 {
				order[d.number] = len(order) + 1
				w.at(50*ms, func() { d.soon(func() { d.asker.Leave(d.clock()) }) })
			}
		}
		if len(order) < 20 {
			w.at(5*ms, watch)
		}
	}
	watch()
	w.run(began + 30*time.Second)
	if len(order) < 20 || len(w.broken) > 0 {
		t.Fatalf("%d of 20 had it, %v\n%v", len(order), w.broken, w)
	}
}

// How long nobody holds after the holder dies, and how many messages it takes.
func TestTimeWithoutAHolder(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(200) {
		w := newWorld(seed, 5, setOf(1, 1, 2, 3), false)
		w.run(w.now + 8*time.Second + time.Duration(w.chance.Float()*float64(time.Second)))
		for _, d := range w.drivers {
			if _, ok := d.asker.Held(d.clock()); ok && d.number > 2 {
				holds := w.holds
				d.kill()
				for from := w.now; w.holds == holds && w.now < from+time.Minute; {
					if w.run(w.now + 10*ms); w.holds > holds {
						gaps = append(gaps, w.now-from)
					}
				}
			}
		}
	}
	slices.Sort(gaps)
	if len(gaps) < 20 {
		t.Fatalf("%d deaths of a holder", len(gaps))
	}
	median, worst := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
	t.Logf("%d deaths, lease of %v: nobody holds for %v in the middle, %v in the worst of a hundred", len(gaps), lasts, median, worst)
	if worst > lasts+time.Second {
		t.Errorf("nobody holds for %v", worst)
	}
}

// What is no message is refused, and what is comes through as it was.
func TestMessagesAreReadAsTheyWereWritten(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		m := Message{Op: Op(rapid.IntRange(1, int(lastOp)).Draw(t, "op")), Why: Why(rapid.IntRange(0, int(lastWhy)).Draw(t, "why")),
			Lease: rapid.StringMatching(`[a-z0-9/]{1,32}`).Draw(t, "lease"), Version: rapid.Uint32().Draw(t, "version"), Round: rapid.Uint64().Draw(t, "round"),
			Number: rapid.Uint64().Draw(t, "number"), Lasts: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "lasts")),
			Holder: Holder{Node(rapid.Uint64().Draw(t, "node")), rapid.Uint64().Draw(t, "life")}}
		text := Append(nil, m)
		if got, ok := Read(text); !ok || got != m || len(text) > LongestMessage {
			t.Fatalf("%+v is read as %+v", m, got)
		}
		if _, ok := Read(text[:rapid.IntRange(0, len(text)-1).Draw(t, "cut")]); ok {
			t.Fatal("half a message is read")
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, Message{Op: Ask, Lease: "summary", Round: 1, Number: 2, Lasts: time.Second}))
	f.Fuzz(func(t *testing.T, in []byte) {
		if m, ok := Read(in); ok && fmt.Sprint(Append(nil, m)) != fmt.Sprint(in) {
			t.Errorf("%x is read as %+v", in, m)
		}
	})
}

// Who finds the line full rests, so that voters get little more in a larger fleet; and should all in line go with the holder, one who rests asks soon.
func TestAFullLineGoneWithTheHolderIsNoGap(t *testing.T) {
	set := Set{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}
	for seed := range uint64(10) {
		w := newWorld(seed+40, 60, set, false)
		w.run(w.now + 80*lasts)
		asks := 0
		for _, d := range w.drivers {
			asks += int(d.asker.round)
		}
		w.run(w.now + 20*lasts)
		for _, d := range w.drivers {
			asks -= int(d.asker.round)
		}
		if each := -asks / 20; each > 25 {
			t.Errorf("seed %d: %d questions in a lease", seed, each)
		}
		for w.holder() == nil {
			w.run(w.now + 20*ms)
		}
		gone := map[Node]bool{w.holder().name: true}
		for _, n := range set.Voters {
			waiting := w.drivers[n-1].voter.votes["x"].waiting
			if len(waiting) != mostWaiting {
				t.Errorf("seed %d: %d are in line at voter %d", seed, len(waiting), n)
			}
			for _, o := range waiting {
				gone[o.holder.Node] = true
			}
		}
		if len(gone) > 30 {
			t.Errorf("seed %d: voters have %d in line, in all", seed, len(gone))
		}
		for n := range gone {
			if d := w.drivers[n-1]; n <= 5 { // a voter stays, and wants it no more
				d.soon(func() { d.asker.Leave(d.clock()) })
			} else {
				d.kill()
			}
		}
		from := w.now
		for w.run(w.now + 20*ms); w.holder() == nil && w.now < from+time.Minute; w.run(w.now + 20*ms) {
		}
		if took := w.now - from; took > lasts+5*time.Second {
			t.Errorf("seed %d: nobody holds for %v", seed, took)
		}
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %v", seed, w.broken[0])
		}
	}
}

// holder is who holds, nil: nobody.
func (w *world) holder() *simulated {
	for _, d := range w.drivers {
		if d.up {
			if _, ok := d.asker.Held(d.clock()); ok {
				return d
			}
		}
	}
	return nil
}

// words keeps what an asker sends.
type words struct{ sent map[Op][]Node }

func (w *words) Send(to Node, m Message) { w.sent[m.Op] = append(w.sent[m.Op], to) }
func (*words) Gained(string, uint64)     {}
func (*words) Lost(string, uint64)       {}

// A question in vain is given back to those only that may have granted it, and who is told to rest comes between half of that time and all of it.
func TestWhatIsInVainIsGivenBackToWhoMayHaveGrantedIt(t *testing.T) {
	w := &words{make(map[Op][]Node)}
	a := NewAsker(w, Holder{9, 1}, "x", lasts, Set{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}, 1)
	a.Want(0)
	a.Wake(0, 1)
	for n := Node(1); n <= 3; n++ {
		a.Take(n, Message{Op: Refuse, Why: Held, Lease: "x", Version: 1, Round: 1, Number: 5, Lasts: 10 * lasts, Holder: Holder{8, 1}}, ms)
	}
	if back := w.sent[Release]; !slices.Equal(back, []Node{4, 5}) {
		t.Errorf("given back to %v", back)
	}
	if a.next < 5*lasts || a.next > 10*lasts+ms {
		t.Errorf("told to rest for %v it asks again after %v", 10*lasts, a.next)
	}
}
