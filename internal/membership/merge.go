package membership

import "time"

// Reasons of status changes, as operators read them.
const (
	reasonFirstSeen        = "new"
	ReasonReportedBySelf   = "reported by itself"
	ReasonReportedByOthers = "reported by others"
	reasonSuspectedByOther = "suspected by others"
	reasonNameUsedTwice    = "name used twice"
)

// origin is who sent an entry.
type origin uint8

const (
	fromItself origin = iota // the driver that the entry is of
	fromOther                // any other driver
)

// merge takes in an entry that was received, and returns what is known of its driver then; nil: nothing, or it is this driver's own.
func (l *List) merge(e Entry, from origin, now time.Duration) *nodeState {
	if e.ID == l.self.ID {
		l.mergeSelf(e, from)
		return nil
	}
	node := l.nodes.get(e.ID)
	if node == nil {
		return l.mergeUnknown(e, from, now)
	}
	l.mergeKnown(node, e, from, now)
	return node
}

// mergeSelf refutes an entry of this driver that is wrong.
func (l *List) mergeSelf(e Entry, from origin) {
	self := l.self
	switch {
	case from == fromItself: // this driver's own message, or that of another of the same name
		if e.Incarnation != self.Incarnation {
			l.host.StatusChanged(e, reasonNameUsedTwice)
		}
	case l.left:
	case e.Incarnation > self.Incarnation: // the clock has gone back since an earlier incarnation
		self.Incarnation, self.Refutation = e.Incarnation+1, 0
		l.broadcast(self)
	case e.Incarnation == self.Incarnation && e.Status != Alive && e.Refutation >= self.Refutation:
		self.Refutation = e.Refutation + 1
		l.health.degrade(1)
		l.broadcast(self)
	}
}

// mergeUnknown takes in a driver that is not in the list.
func (l *List) mergeUnknown(e Entry, from origin, now time.Duration) *nodeState {
	tombstone, stale := l.tombstones[e.ID]
	stale = stale && !e.supersedes(&tombstone)
	if stale && from == fromOther {
		return nil
	}
	if e.Name == "" { // a compact entry; the full one comes by sync
		return nil
	}
	if len(l.nodes.byID) >= maxNodes || e.Status >= Dead && from == fromOther {
		if e.Status >= Dead { // older gossip about it is known to be stale then
			l.tombstones.addUnlessFull(e)
		}
		return nil
	}
	delete(l.tombstones, e.ID)
	node := &nodeState{Entry: e, statusSince: now, lastSeenAt: now, suspicion: suspicion{deadline: now + l.suspicionTimeout(0)}}
	if stale {
		// It must hear that it is believed dead: others that have forgotten it accept only a higher refutation number.
		node.Incarnation, node.Refutation = tombstone.Incarnation, tombstone.Refutation
		node.Status, node.Suspector = tombstone.Status, tombstone.Suspector
		node.compact = true
		l.addNode(node)
		return node
	}
	l.addNode(node)
	l.host.StatusChanged(node.Entry, reasonFirstSeen)
	return node
}

// mergeKnown takes in an entry of a driver in the list.
func (l *List) mergeKnown(node *nodeState, e Entry, from origin, now time.Duration) {
	newer := e.supersedes(&node.Entry)
	switch {
	case from == fromItself && e.Status == Alive && node.Incarnation == e.Incarnation && node.Refutation >= e.Refutation && node.Status != Alive:
		l.broadcast(node) // it does not know yet that it is believed to be gone; the answer says so
	case newer && e.Status == Suspect && e.sameRefutation(&node.Entry):
		l.suspect(node, e.Suspector, now, reasonSuspectedByOther)
	case newer && from == fromItself:
		l.replaceEntry(node, e, now, ReasonReportedBySelf)
	case newer:
		l.replaceEntry(node, e, now, ReasonReportedByOthers)
	case from == fromOther && e.Status == Suspect && node.Status == Suspect && e.sameRefutation(&node.Entry):
		l.suspect(node, e.Suspector, now, "")
	}
	if e.Incarnation == node.Incarnation && e.Summary.Sequence > node.Summary.Sequence {
		node.Summary = e.Summary
		node.compact = false
		l.broadcast(node)
	}
}

// addNode takes a driver into the list.
func (l *List) addNode(node *nodeState) {
	l.nodes.add(node)
	l.broadcast(node)
}

// replaceEntry takes over an entry that supersedes the known one, but for an older summary.
func (l *List) replaceEntry(node *nodeState, e Entry, now time.Duration, reason string) {
	before := node.Entry
	sameIncarnation := before.Incarnation == e.Incarnation
	if e.Name == "" {
		e.Name = before.Name
	}
	if sameIncarnation && before.Summary.Sequence > e.Summary.Sequence {
		e.Summary = before.Summary
	}
	node.Entry = e
	node.compact = sameIncarnation
	node.statusSince, node.reason = now, reason
	node.suspicion = suspicion{deadline: now + l.suspicionTimeout(0)}
	l.broadcast(node)
	if before.Status != e.Status {
		l.host.StatusChanged(node.Entry, reason)
	}
}
