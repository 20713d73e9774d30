package rules

import (
	"fmt"
	"testing"
	"time"

	"passtack/driver"
)

// An empty list, and then a stale one that lists a draining member as ready, must not stop the service. The cluster checks rule 3: the
// draining member gets no RPCs.
func TestStaleEndpointListDoesNotStopServiceWhenOnlyDrainingBinds(t *testing.T) {
	c := newSettledCluster(t, "none", "rules.only_draining_binds=true")
	c.members[104].state = driver.Draining
	c.announce(driver.Changes, 104)
	c.router.ListBegins(driver.Complete)
	c.router.ListEnds(driver.Complete)
	c.members[104].state = driver.Ready
	c.announce(driver.Changes, 104)
	c.advance(drainGrace)
	before := c.attempts
	c.traffic(50, 5*ms, 2, 4)
	if sent := c.attempts - before; sent < 95 {
		t.Fatalf("%d of 100 RPCs sent while the list had no members", sent)
	}
}

// If members are replaced again and again, the router's state must not grow, and the host must be told to forget the old members.
func TestReplacedMembersAreRemoved(t *testing.T) {
	c := newSettledCluster(t, "none")
	kept := len(c.router.memberList)
	for i := range 50 {
		old, fresh := c.ids[i], driver.Member(1000+i)
		n := *c.members[old]
		n.startedAt, n.state = c.now, driver.Ready
		c.members[fresh], c.members[old].state = &n, driver.Gone
		c.ids = append(c.ids, fresh)
		c.announce(driver.Changes, old, fresh)
		c.router.groupOf(driver.Group(1000 + i)) // as an RPC for this group would
		c.advance(15 * time.Second)
	}
	c.announce(driver.Changes)
	if len(c.router.memberList) != kept || len(c.router.members) != kept || len(c.forgotten) != 50 || len(c.router.groups) != 2 {
		t.Errorf("%d members instead of %d, %d forgotten, %d groups", len(c.router.memberList), kept, len(c.forgotten), len(c.router.groups))
	}
}

func TestFailedWatchIsRetriedOnceAfterBackoff(t *testing.T) {
	c := newCluster(t, 1, "wait", "list=asked")
	for range 50 {
		c.watches = 0
		c.router.ListEnds(driver.NoList)
		if c.advance(MaxListRetryWait / 2); c.watches != 0 {
			t.Fatal("the watch was retried in less than half of the longest wait")
		}
		if c.advance(MaxListRetryWait/2 + 5*ms); c.watches != 1 {
			t.Fatalf("%d watches after the longest wait", c.watches)
		}
		if c.advance(2 * time.Second); c.watches != 1 {
			t.Fatalf("%d watches after one failure", c.watches)
		}
	}
}

// Guards against a host that keeps connections to a member which drains or is gone, whoever tells the router so.
func TestHostIsToldWhichMembersAreAvailable(t *testing.T) {
	for _, onlyDrainingBinds := range []bool{false, true} {
		c := newCluster(t, 1, "none", fmt.Sprintf("rules.only_draining_binds=%t", onlyDrainingBinds))
		m := c.ids[0]
		for _, step := range []struct {
			state     driver.MemberState
			available bool
		}{{driver.Ready, true}, {driver.Gone, onlyDrainingBinds}, {driver.Ready, true}, {driver.Draining, false}, {driver.Gone, false}} {
			c.members[m].state = step.state
			c.announce(driver.Changes, m)
			if c.unavailable[m] == step.available {
				t.Errorf("only draining binds: %t; in state %d the host was told that the member is available: %t", onlyDrainingBinds, step.state, !c.unavailable[m])
			}
		}
	}
}
