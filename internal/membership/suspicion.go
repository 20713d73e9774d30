package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConfirmations is how many further suspectors shorten a suspicion.
	maxConfirmations = 3
	// suspicionNotices is how many drivers, on average, send a suspect a notice shortly before its suspicion ends.
	suspicionNotices = 16
	// noticeLeadProbes is how many probe intervals before the end of the suspicion that notice is sent.
	noticeLeadProbes = 2
	// minSuspicionFactor times the decimal logarithm of the fleet is the shortest suspicion in probe intervals.
	minSuspicionFactor = 4
	// maxSuspicionFactor is how many times as long the suspicion by a single suspector lasts.
	maxSuspicionFactor = 3
	// minFleetForSuspicion is the fleet size that smaller fleets count as.
	minFleetForSuspicion = 10
)

// suspicion is the time in which a suspect can refute before it is declared dead.
type suspicion struct {
	deadline   time.Duration
	suspectors []SuspectorID // whose own probes failed
	noticeSent bool
}

// suspicionTimeout is how long a driver is suspect before it is dead, by the number of suspectors beyond the first: the more, the shorter.
func (l *List) suspicionTimeout(confirmations int) time.Duration {
	size := float64(max(l.nodes.activeCount(), minFleetForSuspicion))
	shortest := float64(l.config.ProbeInterval) * minSuspicionFactor * math.Log10(size)
	fraction := math.Log(float64(min(confirmations, maxConfirmations)+1)) / math.Log(maxConfirmations+1)
	return l.health.scale(time.Duration(shortest * (maxSuspicionFactor - (maxSuspicionFactor-1)*fraction)))
}

// nextSuspicionEvent is when a suspect gets its notice or, where it has had it or cannot be reached, when it is declared dead.
func (l *List) nextSuspicionEvent(node *nodeState) time.Duration {
	if node.suspicion.noticeSent || !node.reachable {
		return node.suspicion.deadline
	}
	return node.suspicion.deadline - noticeLeadProbes*l.config.ProbeInterval
}

// advanceSuspicions sends notices to suspects, declares them dead once their time is over, and forgets those that were dead for long.
func (l *List) advanceSuspicions(now time.Duration) {
	for _, node := range slices.Clone(l.nodes.sorted) {
		if node.Status == Suspect && !node.suspicion.noticeSent && node.reachable && now >= l.nextSuspicionEvent(node) {
			l.sendSuspicionNotice(node)
		}
		switch {
		case node.Status == Suspect && now >= node.suspicion.deadline:
			dead := node.Entry
			dead.Status, dead.Suspector = Dead, 0
			l.replaceEntry(node, dead, now, node.reason)
		case node.Status >= Dead && now-node.statusSince > deadRetentionProbes*l.config.ProbeInterval:
			l.nodes.remove(node.ID)
			l.tombstones.add(node.Entry)
		}
	}
}

// sendSuspicionNotice makes sure that a suspect knows of it: what it sent to refute may have been lost. In a large fleet only some do so.
func (l *List) sendSuspicionNotice(node *nodeState) {
	node.suspicion.noticeSent = true
	if l.random.Below(l.nodes.activeCount()) < suspicionNotices {
		l.send(node.address, header{kind: kindPing}, node)
	}
}

// suspect counts a driver whose own probe of the node failed. Drivers that only forward a suspicion are not counted.
func (l *List) suspect(node *nodeState, by SuspectorID, now time.Duration, reason string) {
	if node.Status == Alive {
		e := node.Entry
		e.Status, e.Suspector = Suspect, by
		l.replaceEntry(node, e, now, reason)
	}
	s := &node.suspicion
	if node.Status != Suspect || slices.Contains(s.suspectors, by) || len(s.suspectors) > maxConfirmations {
		return
	}
	s.suspectors = append(s.suspectors, by)
	s.deadline = min(s.deadline, node.statusSince+l.suspicionTimeout(len(s.suspectors)-1))
	node.Suspector = by
	l.broadcast(node)
}
