package rules

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/driver"
)

// Many drivers with little traffic see all members restart. Each driver's part of the slow-start budget is far less than one RPC; together
// they must use some of the budget and no more.
func TestSlowStartBudgetOfRestartedGroupsAddsUp(t *testing.T) {
	const drivers, carried = 60, 0.05 // carried: a quarter of an attempt per window; it is kept, as no warm member is left
	sent := 0.0
	for seed := range uint64(drivers) {
		c := newCluster(t, seed, "wait")
		c.traffic(7, 150*ms, 2) // clients request more than twice as much
		c.router.load.carried = carried
		for _, m := range c.ids {
			c.members[m].attemptTimes, c.members[m].attemptLoads, c.members[m].startedAt = nil, nil, c.now
		}
		c.announce(driver.Changes, c.ids...)
		c.traffic(7, 150*ms, 2)
		for _, m := range c.ids {
			for _, work := range c.members[m].attemptLoads {
				sent += work
			}
		}
	}
	if budget := 3 * 0.25 * carried * drivers * 8; sent > budget || sent < budget/10 {
		t.Fatalf("%.1f s of work sent to members in slow start in a window, their budget is %.1f", sent, budget)
	}
}

// All members but one of each group leave the list, and the two that are left restart. Their slow-start budgets must not grow by that.
func TestLastWarmingMembersGetNoLargerBudget(t *testing.T) {
	c := newCluster(t, 1, "wait")
	c.traffic(100, 10*ms, 0, 2) // for a second
	requested, heaviest := c.router.load.firstTries.At(c.now-10*ms, loadWindow), 0.0
	for _, m := range c.router.methods {
		heaviest = max(heaviest, m.typical.value.Seconds())
	}
	for _, m := range c.ids[2:] {
		c.members[m].state = driver.Gone
	}
	for _, m := range c.ids[:2] {
		c.members[m].startedAt, c.members[m].attemptTimes, c.members[m].attemptLoads = c.now, nil, nil
	}
	c.router.load.carried, c.maxWarmLoad = 0, math.Inf(1) // no load of warm members is known
	c.announce(driver.Changes, c.ids...)
	c.advance(2 * scanInterval)
	for range 100 {
		c.request(2, 0)
	}
	for _, m := range c.ids[:2] {
		sent := 0.0
		for _, work := range c.members[m].attemptLoads {
			sent += work
		}
		if most := slowStartShare*3*0.3*requested/8 + heaviest; sent == 0 || sent > most {
			t.Errorf("%.2f s of work went to %d, %.2f at most are allowed", sent, m, most)
		}
	}
}

// The same load comes through few or many drivers, one of them five times busier. Then replicas or all members restart, with or without the
// drivers, or a member in slow start becomes primary. Together the drivers must stay within the slow-start budget in every window and must not
// leave most of it unused.
func TestSlowStartBudgetAddsUpOverManyDrivers(t *testing.T) {
	const perMember, warmFor = 24.0, 6 * time.Second // perMember: RPCs per second that a member gets from all drivers
	for _, drivers := range []int{2, 20, 30, 300} {
		for name, restarted := range map[string][]driver.Member{
			"a replica of each": {104, 105}, "replicas of a group": {102, 104, 106}, "a primary": {100},
			"all": {100, 101, 102, 103, 104, 105, 106, 107}, "the last replica of a group": {104}, "the next primary": {104},
			"all in a burst": {100, 101, 102, 103, 104, 105, 106, 107}, "a replica of each in a burst": {104, 105},
			"all, and the drivers too": {100, 101, 102, 103, 104, 105, 106, 107}, "a replica of each, and the drivers too": {104, 105},
		} {
			t.Run(fmt.Sprint(drivers, " drivers, ", name), func(t *testing.T) {
				t.Parallel()
				var sent [8][]time.Duration
				var loads [2]float64 // what a primary and a replica get in a window
				began := 100*time.Second + warmFor
				for n := range drivers {
					c := newCluster(t, uint64(n)*7919+3, "wait", "drivers="+strconv.Itoa(drivers))
					part := 1 / float64(drivers+4)
					if n == 0 {
						part *= 5
					}
					began = c.now + warmFor
					c.randomTraffic(perMember*8*part, warmFor)
					for i, m := range c.ids {
						kind := min(i/2, 1)
						loads[kind] += float64(len(c.members[m].attemptTimes)) / float64(2+4*kind) / warmFor.Seconds()
						c.members[m].attemptTimes, c.members[m].attemptLoads = nil, nil
					}
					if strings.HasSuffix(name, "drivers too") { // the drivers restart and know only an endpoint list
						before := c.now
						c = newCluster(t, uint64(n)*7919+4, "wait", "drivers="+strconv.Itoa(drivers))
						c.advance(before - c.now)
					}
					for _, m := range restarted { // their capacity is the load of a primary
						c.members[m].startedAt, c.members[m].capacity, c.members[m].capacityLeft = c.now, perMember*8*part/6, c.random.Float()
					}
					c.announce(driver.Changes, restarted...)
					c.maxWarmLoad = math.Inf(1) // the check by the load that one driver sees does not apply
					switch name {
					case "the last replica of a group":
						c.unreachable = []driver.Member{102, 106}
					case "the next primary": // after two seconds without a primary, in which its RPCs are queued and retried
						c.primaries[0], c.unreachable = 0, []driver.Member{100}
						c.randomTraffic(perMember*8*part, 2*time.Second)
						c.primaries[0] = 104
					}
					burst := 1.0
					if strings.HasSuffix(name, "burst") {
						burst = 2
					}
					c.randomTraffic(perMember*8*part*burst, 4*time.Second)
					for _, m := range restarted {
						sent[m-100] = append(sent[m-100], c.members[m].attemptTimes...)
					}
				}
				carried, fullest := max(loads[0], loads[1]), 0.0 // all members have the capacity of the busier role
				for _, m := range restarted {
					times := sent[m-100]
					slices.Sort(times)
					for i, first := 0, 0; i < len(times); i++ {
						for times[i]-times[first] >= loadWindow {
							first++
						}
						share := 0.25 + 0.75*float64(max(0, times[first]-began))/float64(slowStartDuration)
						fullest = max(fullest, float64(i-first+1)/(3*share*carried))
						if n := 3 * share * carried; float64(i-first+1) > n+2*math.Sqrt(n)+2 {
							t.Errorf("%d drivers, %s: %d RPCs to %d in a window, %.1f are allowed", drivers, name, i-first+1, m, n)
							break
						}
					}
					part := 0.12
					if strings.HasSuffix(name, "drivers too") { // they begin with what members have answered
						part = 0.08
					}
					if least := part * 3 * (0.25 + 0.15) * carried * 4; float64(len(times)) < least && name != "a replica of each" { // there other members serve the load
						t.Errorf("%d drivers, %s: %d RPCs to %d in 4 s, want %.1f", drivers, name, len(times), m, least)
					}
				}
				most := 0.95
				if name == "the last replica of a group" || strings.HasSuffix(name, "burst") { // the primary carries more meanwhile, and the drivers see that
					most = 1.2
				}
				if t.Logf("%d drivers, %s: the fullest window has %.2f of the budget", drivers, name, fullest); fullest > most {
					t.Errorf("%d drivers, %s: a window had %.2f of the budget", drivers, name, fullest)
				}
			})
		}
	}
}
