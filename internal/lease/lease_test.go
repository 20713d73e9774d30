package lease

import (
	"flag"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var simulationRuns = flag.Int("runs", 3000, "number of simulated runs")

func voterSet(version uint32, voters ...Node) VoterSet {
	return VoterSet{Version: version, Voters: voters}
}

// runSeeds runs the seeds 1 to seeds on all cores and stops at the first violation.
func runSeeds(seeds int, run func(seed uint64) *simulation) (found *simulation, acquisitions, actions, fenced int64) {
	var next, sumAcquisitions, sumActions, sumFenced atomic.Int64
	var mutex sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= int64(seeds); seed = next.Add(1) {
				s := run(uint64(seed))
				sumAcquisitions.Add(int64(s.acquisitions))
				sumActions.Add(int64(s.actions))
				sumFenced.Add(int64(s.fenced))
				if len(s.violations) > 0 {
					mutex.Lock()
					if found == nil {
						found = s
						s.recordEvent("seed %d", seed)
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

// TestSimulatedMutualExclusion checks, in thousands of runs with kills, pauses, partitions, lost messages and empty or outdated storage, that no
// two drivers hold the lease at the same time, that fencing tokens only increase, and that some driver holds the lease after the faults.
func TestSimulatedMutualExclusion(t *testing.T) {
	found, acquisitions, actions, fenced := runSeeds(*simulationRuns, func(seed uint64) *simulation {
		voters := []Node{1, 2, 3, 4, 5}[:3+2*(seed%2)]
		s := newSimulation(seed, len(voters)+int(seed%3), voterSet(1, voters...), seed%4 != 0)
		s.runWithFaults(12, 12*time.Second)
		return s
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.violations, found)
	}
	t.Logf("%d runs, %d acquisitions, %d actions, %d fenced", *simulationRuns, acquisitions, actions, fenced)
	if acquisitions < int64(*simulationRuns) || actions < 10*acquisitions || fenced == 0 {
		t.Errorf("%d acquisitions, %d actions and %d fenced actions are too few for the test to be meaningful", acquisitions, actions, fenced)
	}
}

// TestFencingBeyondClockDriftBound checks fencing with clocks that drift beyond the bound, so that two drivers may believe that they hold the
// lease: after an action with a higher fencing token none with a lower one is accepted.
func TestFencingBeyondClockDriftBound(t *testing.T) {
	fenced := 0
	for seed := range uint64(300) {
		s := newSimulation(seed, 4, voterSet(1, 1, 2, 3), true)
		s.driftUnbounded = true
		for i, d := range s.drivers {
			d.clockRate = []float64{1.3, 0.7, 1.2, 0.6}[i]
		}
		s.runWithFaults(12, 20*time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("%v\n%v", s.violations, s)
		}
		fenced += s.fenced
	}
	if fenced == 0 {
		t.Error("no action of an earlier holder was rejected")
	}
}

// TestVoterChangeDuringFaults changes the set of voters by way of a joint set, which reaches the drivers at different times, and checks that no two
// drivers hold the lease at the same time.
func TestVoterChangeDuringFaults(t *testing.T) {
	former, joint, next := voterSet(1, 1, 2, 3), VoterSet{2, []Node{3, 4, 5}, []Node{1, 2, 3}}, voterSet(3, 3, 4, 5)
	change := func(s *simulation, set VoterSet, within time.Duration) {
		for _, d := range s.drivers {
			s.after(time.Duration(s.random.Float()*float64(within)), func() {
				d.voters = set
				d.whenRunning(func() {
					d.voter.ChangeVoters(set)
					d.candidate.ChangeVoters(set)
				})
			})
		}
	}
	found, _, _, _ := runSeeds(*simulationRuns/3, func(seed uint64) *simulation {
		s := newSimulation(seed, 6, former, true)
		s.after(6*time.Second, func() { change(s, joint, 4*time.Second) })
		s.after(17*time.Second, func() { change(s, next, 4*time.Second) }) // by now no driver uses the former set
		s.runWithFaults(24, 15*time.Second)
		return s
	})
	if found != nil {
		t.Fatalf("%v\n%v", found.violations, found)
	}
}

// TestMutationsFoundBySimulation checks that the simulation finds deliberate bugs.
func TestMutationsFoundBySimulation(t *testing.T) {
	for name, mutate := range map[string]func(s *simulation){
		"hold counted from the answer": func(s *simulation) {
			s.beforeEachStep(func(d *simulatedDriver) {
				for i := range d.candidate.rounds {
					d.candidate.rounds[i].sentAt = d.clock()
				}
			})
		},
		"no silence after a start": func(s *simulation) { s.beforeEachStep(func(d *simulatedDriver) { d.voter.silentUntil = 0 }) },
		"less than half is a majority": func(s *simulation) {
			s.beforeEachStep(func(d *simulatedDriver) {
				for i := range d.candidate.rounds {
					if r := &d.candidate.rounds[i]; len(r.grants) == 1 {
						r.grants = append(r.grants, r.grants[0]%3+1)
						d.candidate.countGrants(r, d.clock())
					}
				}
			})
		},
		"reused token": func(s *simulation) {
			s.beforeEachStep(func(d *simulatedDriver) {
				d.candidate.highestToken, d.wallClockError = 0, -s.now+time.Second
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
				s := newSimulation(seed, 5, voterSet(1, 1, 2, 3), true)
				mutate(s)
				s.runWithFaults(12, 12*time.Second)
				s.violations = slices.DeleteFunc(s.violations, func(violation string) bool { return strings.Contains(violation, "nobody holds the lease") })
				return s
			})
			if found == nil {
				t.Error("the mutation is not found")
			}
		})
	}
}

// TestManyCandidatesAcquireInTurn checks that twenty candidates that start at the same time all acquire the lease within 30 seconds, if each
// resigns 50 ms after it has acquired the lease.
func TestManyCandidatesAcquireInTurn(t *testing.T) {
	s := newSimulation(5, 20, voterSet(1, 1, 2, 3), false)
	s.run(s.now + 5*time.Second) // until the voters have started to grant leases
	acquisitionOrder := make(map[int]int)
	start := s.now
	var watch func()
	watch = func() {
		for _, d := range s.drivers {
			if _, ok := d.candidate.Held(d.clock()); ok && acquisitionOrder[d.number] == 0 {
				acquisitionOrder[d.number] = len(acquisitionOrder) + 1
				s.after(50*ms, func() { d.whenRunning(func() { d.candidate.Resign(d.clock()) }) })
			}
		}
		if len(acquisitionOrder) < 20 {
			s.after(5*ms, watch)
		}
	}
	watch()
	s.run(start + 30*time.Second)
	if len(acquisitionOrder) < 20 || len(s.violations) > 0 {
		t.Fatalf("%d of 20 drivers acquired the lease, violations %v\n%v", len(acquisitionOrder), s.violations, s)
	}
}

// TestFailoverTime measures how long the lease has no holder after its holder was killed, and checks the 99th percentile.
func TestFailoverTime(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(200) {
		s := newSimulation(seed, 5, voterSet(1, 1, 2, 3), false)
		s.run(s.now + 8*time.Second + time.Duration(s.random.Float()*float64(time.Second)))
		for _, d := range s.drivers {
			if _, ok := d.candidate.Held(d.clock()); ok && d.number > 2 {
				acquisitions := s.acquisitions
				d.kill()
				for killedAt := s.now; s.acquisitions == acquisitions && s.now < killedAt+time.Minute; {
					if s.run(s.now + 10*ms); s.acquisitions > acquisitions {
						gaps = append(gaps, s.now-killedAt)
					}
				}
			}
		}
	}
	slices.Sort(gaps)
	if len(gaps) < 20 {
		t.Fatalf("only %d holders were killed, too few to measure", len(gaps))
	}
	median, percentile99 := gaps[len(gaps)/2], gaps[len(gaps)*99/100]
	t.Logf("%d holders killed, TTL %v: failover takes %v in the median, %v at the 99th percentile", len(gaps), simulatedTTL, median, percentile99)
	if percentile99 > simulatedTTL+time.Second {
		t.Errorf("no driver holds the lease for %v at the 99th percentile", percentile99)
	}
}

// TestFailoverWhenTheQueueFailsWithTheHolder checks that candidates outside the voters' queues ask rarely, so that the load of voters hardly grows
// with the fleet, and that one of them acquires the lease soon when the holder and all queued candidates fail together.
func TestFailoverWhenTheQueueFailsWithTheHolder(t *testing.T) {
	set := VoterSet{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}
	for seed := range uint64(10) {
		s := newSimulation(seed+40, 60, set, false)
		s.run(s.now + 80*simulatedTTL)
		requests := 0
		for _, d := range s.drivers {
			requests += int(d.candidate.lastRound)
		}
		s.run(s.now + 20*simulatedTTL)
		for _, d := range s.drivers {
			requests -= int(d.candidate.lastRound)
		}
		if perTTL := -requests / 20; perTTL > 25 {
			t.Errorf("seed %d: %d requests per TTL, want at most 25", seed, perTTL)
		}
		for s.holder() == nil {
			s.run(s.now + 20*ms)
		}
		failing := map[Node]bool{s.holder().name: true}
		for _, n := range set.Voters {
			queue := s.drivers[n-1].voter.grants["x"].queue
			if len(queue) != maxQueueLength {
				t.Errorf("seed %d: %d candidates are in the queue of voter %d", seed, len(queue), n)
			}
			for _, q := range queue {
				failing[q.holder.Node] = true
			}
		}
		if len(failing) > 30 {
			t.Errorf("seed %d: the holder and the voters' queues are %d drivers, want at most 30", seed, len(failing))
		}
		for n := range failing {
			if d := s.drivers[n-1]; n <= 5 { // a voter keeps running, but resigns as a candidate
				d.whenRunning(func() { d.candidate.Resign(d.clock()) })
			} else {
				d.kill()
			}
		}
		failedAt := s.now
		for s.run(s.now + 20*ms); s.holder() == nil && s.now < failedAt+time.Minute; s.run(s.now + 20*ms) {
		}
		if gap := s.now - failedAt; gap > simulatedTTL+5*time.Second {
			t.Errorf("seed %d: no driver holds the lease for %v", seed, gap)
		}
		if len(s.violations) > 0 {
			t.Errorf("seed %d: %v", seed, s.violations[0])
		}
	}
}
