package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConfirmations is the number of further suspectors that shorten a suspicion.
	maxConfirmations = 3
	// suspicionNotices is the number of drivers that, on average, send a suspect a notice shortly before its suspicion ends.
	suspicionNotices = 16
	// noticeLeadProbes is the time between that notice and the end of the suspicion, in probe intervals.
	noticeLeadProbes = 2
	// minSuspicionFactor times the decimal logarithm of the fleet size is the shortest suspicion, in probe intervals.
	minSuspicionFactor = 4
	// maxSuspicionFactor is the duration of a suspicion by a single suspector, as a multiple of the shortest one.
	maxSuspicionFactor = 3
	// minFleetForSuspicion is the fleet size that is assumed for smaller fleets.
	minFleetForSuspicion = 10
)

// suspicion is the period in which a suspect can refute the suspicion before it is declared dead.
type suspicion struct {
	deadline   time.Duration
	suspectors []SuspectorID // drivers whose own probes failed
	noticeSent bool
}

// suspicionTimeout returns how long a driver is suspect before it is declared dead. It is shorter the more suspectors there are beyond the first.
func (l *List) suspicionTimeout(confirmations int) time.Duration {
	size := float64(max(l.nodes.activeCount(), minFleetForSuspicion))
	shortest := float64(l.config.ProbeInterval) * minSuspicionFactor * math.Log10(size)
	fraction := math.Log(float64(min(confirmations, maxConfirmations)+1)) / math.Log(maxConfirmations+1)
	return l.health.scale(time.Duration(shortest * (maxSuspicionFactor - (maxSuspicionFactor-1)*fraction)))
}

// nextSuspicionEvent returns when a suspect is sent its notice or, if that was sent or its address is unknown, when it is declared dead.
func (l *List) nextSuspicionEvent(node *nodeState) time.Duration {
	if node.suspicion.noticeSent || !node.reachable {
		return node.suspicion.deadline
	}
	return node.suspicion.deadline - noticeLeadProbes*l.config.ProbeInterval
}

// advanceSuspicions sends notices to suspects, declares them dead at their deadlines, and replaces drivers that were gone for long by tombstones.
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

// sendSuspicionNotice tells a suspect that it is suspected, in case its refutation was lost. In a large fleet only some of the drivers send it.
func (l *List) sendSuspicionNotice(node *nodeState) {
	node.suspicion.noticeSent = true
	if l.random.Below(l.nodes.activeCount()) < suspicionNotices {
		l.send(node.address, header{kind: kindPing}, node)
	}
}

// suspect makes a node suspect and records the suspector, a driver whose own probe of the node failed. Drivers that only forward a suspicion are
// not recorded.
func (l *List) suspect(node *nodeState, suspector SuspectorID, now time.Duration, reason string) {
	if node.Status == Alive {
		e := node.Entry
		e.Status, e.Suspector = Suspect, suspector
		l.replaceEntry(node, e, now, reason)
	}
	s := &node.suspicion
	if node.Status != Suspect || slices.Contains(s.suspectors, suspector) || len(s.suspectors) > maxConfirmations {
		return
	}
	s.suspectors = append(s.suspectors, suspector)
	s.deadline = min(s.deadline, node.statusSince+l.suspicionTimeout(len(s.suspectors)-1))
	node.Suspector = suspector
	l.broadcast(node)
}
