package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

func TestSessionReadsStayOnPrimaryUntilReplicasCatchUp(t *testing.T) {
	c := newSettledCluster(t, "none")
	commit := c.now - 20*ms
	for _, m := range c.ids[2:] {
		c.members[m].lag = 300 * ms
	}
	if to := c.sentTo(t, 1, commit); to != c.primaries[to%2] {
		t.Fatalf("pinned read went to replica %d", to)
	}
	c.traffic(80, 10*ms, 2)
	if to := c.sentTo(t, 1, commit); to == c.primaries[to%2] {
		t.Fatal("a read stayed on the primary after all replicas had caught up")
	}
}

func TestRememberedCommitPinsSessionReads(t *testing.T) {
	c := newSettledCluster(t, "none", "family_info.token=remembered")
	for _, m := range c.ids[2:] {
		c.members[m].lag = time.Second
	}
	id := c.request(4, 0)
	c.endAttempt(id, driver.OK)
	c.advance(5 * ms)
	for range 10 {
		if to := c.sentTo(t, 1, 0); int(to%2) == c.rpcs[id].group && to != c.primaries[to%2] {
			t.Fatalf("session read went to replica %d after its write", to)
		}
	}
}

// A read that is pinned to the primary, but would be late there, must go to a replica that has caught up and to no other.
func TestPinnedReadAvoidsASlowPrimary(t *testing.T) {
	c := newSettledCluster(t, "none")
	c.members[102].lag, c.members[103].lag = time.Minute, time.Minute
	c.advance(time.Second)
	c.traffic(60, 5*ms, 1, 2)
	for _, p := range c.primaries {
		c.router.members[p].latency.ratio, c.router.members[p].latency.sampledAt = 1e6, c.now
	}
	commit := c.now - 300*ms
	if to := c.sentTo(t, 1, commit); to == c.primaries[to%2] || to < 104 {
		t.Fatalf("pinned read went to %d, the slow primary or a replica that lags", to)
	}
}

// Restored state only orders the candidates for primary: a restored primary gets one write until it has answered, also if another member has
// taken over meanwhile. It must be ignored for members that have started since, and if the clock went back.
func TestRestoredStateIsNoProofOfRoles(t *testing.T) {
	old := newSettledCluster(t, "none")
	learned := make(map[driver.Member]driver.MemberSnapshot)
	for from := 0; ; { // in batches, as hosts do it
		if from = old.router.LearnedMembers(from, 1, func(m driver.Member, k driver.MemberSnapshot) { learned[m] = k }); from == 0 {
			break
		}
	}
	for _, moved := range []bool{false, true} {
		c := newCluster(t, 2, "none")
		c.now = old.now + time.Second
		c.router.Wake()
		c.members[104].startedAt = c.now - 10*ms
		c.announce(driver.Changes, 104)
		for m, k := range learned {
			c.router.RestoreMember(m, k, old.now)
		}
		if moved {
			c.primaries[0], c.primaries[1] = 102, 103
		}
		for _, g := range c.router.groups {
			if g.primary != nil {
				t.Fatal("a restored primary counts as proven")
			}
		}
		if m := c.router.members[104]; m.replication.replicaProvenAt != unknownTime || m.replication.position != unknownTime {
			t.Error("state of a member that has started since was restored")
		}
		if m := c.router.members[106]; m.replication.position == unknownTime || m.replication.replicaProvenAt == unknownTime {
			t.Error("state of a member that has not started since was not restored")
		}
		first := make(map[int]driver.Member)
		for range 12 {
			id := c.request(4, 0)
			q := c.rpcs[id]
			if q.lastAttempt >= 0 && first[q.group] != 0 {
				t.Fatalf("a second write goes to %d before the exploratory one to %d was answered", q.member, first[q.group])
			} else if q.lastAttempt >= 0 {
				first[q.group] = q.member
			}
		}
		if first[1] != 101 || first[0] != 100 && first[0] != 104 { // nothing was restored for 104, which has started since
			t.Errorf("the first writes go to %v", first)
		}
		c.traffic(100, 5*ms)
	}
	c := newCluster(t, 3, "none")
	c.router.RestoreMember(102, driver.MemberSnapshot{Position: c.now - ms, Replica: c.now - ms, Timed: c.now, Ratio: 2}, c.now+time.Hour)
	if c.router.members[102].replication.position != unknownTime {
		t.Error("state that was saved in the future was restored")
	}
	c.router.RestoreSessionCommit(9, c.now-time.Second)
	c.router.RestoreSessionCommit(10, c.now+time.Second)
	c.router.RestoreSessionCommit(11, c.now-commitRetention)
	if len(c.router.sessionCommits) != 1 || c.router.sessionCommits[9] != c.now-time.Second {
		t.Errorf("restored commits: %v", c.router.sessionCommits)
	}
}
