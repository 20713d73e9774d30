package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

// FuzzRules sends random events to the router. The cluster checks its rules at each action.
func FuzzRules(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, []string{"none", "wait", "refuse"}[seed%3],
			"rules.only_draining_binds="+[]string{"false", "true"}[seed%2], "mixed="+[]string{"true", "false"}[seed/2%2])
		c.minDeadlineMillis = 20
		bad := []driver.Outcome{driver.Misdirected, driver.Full, driver.Failed, driver.NoConnection, driver.Broken, driver.TimedOut}
		for range 4000 {
			switch draw := c.random.Below(100); {
			case draw < 40:
				commit := time.Duration(0)
				if c.random.Below(3) > 0 {
					commit = c.now - time.Duration(1+c.random.Below(12000))*ms
				}
				c.request(c.random.Below(len(testMethods)), max(0, commit))
			case draw < 75 && len(c.openRPCs) > 0:
				c.endAttempt(c.openRPCs[c.random.Below(len(c.openRPCs))], driver.OK)
			case draw < 80 && len(c.openRPCs) > 0:
				c.endAttempt(c.openRPCs[c.random.Below(len(c.openRPCs))], bad[c.random.Below(len(bad))])
			case draw < 81:
				m := c.ids[c.random.Below(len(c.ids))]
				c.members[m].state = driver.MemberState(c.random.Below(3))
				c.announce(driver.Changes, m)
			case draw < 82:
				m := c.ids[c.random.Below(len(c.ids))]
				n := c.members[m]
				n.startedAt, n.state, n.attemptTimes, n.attemptLoads, n.leavingSince = c.now, driver.Ready, nil, nil, -1
				c.announce(driver.Changes, m)
			case draw < 83:
				group := c.random.Below(2)
				if m := c.ids[c.random.Below(len(c.ids))]; int(m%2) == group {
					c.primaries[group], c.members[m].wasPrimary = m, true
				}
			case draw < 84:
				c.members[c.ids[c.random.Below(len(c.ids))]].lag = time.Duration(c.random.Below(3000)) * ms
			case draw < 86 && len(c.probes) > 0:
				m, n := c.probes[0], c.members[c.probes[0]]
				c.probes = c.probes[1:]
				if c.random.Below(4) > 0 && c.primaries[m%2] != m {
					n.reportedPosition = max(n.reportedPosition, n.position)
					c.router.HealthCheckEnded(m, true, ms, []float64{n.position.Seconds(), 0})
				} else {
					c.router.HealthCheckEnded(m, false, ms, nil)
				}
			case draw < 87 && len(c.openRPCs) > 0:
				id := c.openRPCs[c.random.Below(len(c.openRPCs))]
				c.rpcs[id].answered = true
				c.router.ClientLeft(id)
			default:
				c.advance(time.Duration(5+c.random.Below(40)) * ms)
			}
		}
		c.advance(3 * time.Second)
		if len(c.router.rpcs) > 0 {
			t.Fatalf("%d RPCs are still kept after all were answered", len(c.router.rpcs))
		}
	})
}
