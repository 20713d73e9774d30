package play

import (
	"strings"
	"time"

	"passtack/internal/emu"
)

// PrimaryChange is a change of a group's primary. Times count from the script's start; those by driver are negative if
// the event never occurred.
type PrimaryChange struct {
	Group       int
	At          time.Duration // when the group elected it
	Member      string
	FirstWrite  []time.Duration // by driver: when its first write ran at the new primary
	WaitedSince []time.Duration // by driver: start of the client's earliest wait for a write, no earlier than At
	Attempts    int             // at the new primary within firstPeriod
	Connects    int             // at the new primary within firstPeriod
}

// firstPeriod is how long attempts and connections are counted after a change.
const firstPeriod = time.Second

// writeTry is one try of a write as its client saw it.
type writeTry struct {
	group, driver      int
	startedAt, endedAt time.Duration
}

// primaryChanged records a change. The first primary of a group is not recorded.
func (c *Cluster) primaryChanged(group int, to *emu.Member) {
	first := make([]time.Duration, c.script.Drivers)
	for d := range first {
		first[d] = -1
	}
	c.changes = append(c.changes, &PrimaryChange{Group: group, At: c.loop.Now() - c.startedAt, Member: to.Name, FirstWrite: first})
}

// ownChange returns the latest change of the member's group if it made this member primary, else nil.
func (m *memberServer) ownChange() *PrimaryChange {
	changes := m.cluster.changes
	for i := len(changes) - 1; i >= 0; i-- {
		if c := changes[i]; c.Group == m.group {
			if c.Member == m.model.Name {
				return c
			}
			return nil
		}
	}
	return nil
}

// elapsed returns the time since the script's start.
func (c *Cluster) elapsed() time.Duration { return c.loop.Now() - c.startedAt }

// noteWrite records that a driver's write has run at the member.
func (m *memberServer) noteWrite(driver string) {
	if c, n := m.ownChange(), nodeNumber(strings.TrimPrefix(driver, "d")); c != nil && n < len(c.FirstWrite) && c.FirstWrite[n] < 0 {
		c.FirstWrite[n] = m.cluster.elapsed()
	}
}

// Changes returns all changes of primaries.
func (c *Clients) Changes(cluster *Cluster) (all []PrimaryChange) {
	for _, change := range cluster.changes {
		change.WaitedSince = make([]time.Duration, len(change.FirstWrite))
		for d := range change.WaitedSince {
			change.WaitedSince[d] = -1
		}
		for _, t := range c.writes {
			if t.group != change.Group || t.endedAt < change.At {
				continue
			}
			if since := max(t.startedAt, change.At); change.WaitedSince[t.driver] < 0 || since < change.WaitedSince[t.driver] {
				change.WaitedSince[t.driver] = since
			}
		}
		all = append(all, *change)
	}
	return all
}

// noteWriteTry records a try of a write that has ended.
func (conn *clientConn) noteWriteTry(r *clientRPC) {
	c := conn.clients
	if r.method.Need == "write" {
		asked := conn.giveUpAt - answerAllowance - r.method.Limit
		c.writes = append(c.writes, writeTry{r.session % c.script.Groups, conn.driver, asked - c.startedAt, c.loop.Now() - c.startedAt})
	}
}
