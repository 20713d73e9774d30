package membership

import "time"

// Reasons for status changes, as shown to operators.
const (
	reasonFirstSeen        = "new"
	ReasonReportedBySelf   = "reported by itself"
	ReasonReportedByOthers = "reported by others"
	reasonSuspectedByOther = "suspected by others"
	reasonNameUsedTwice    = "name used twice"
)

// origin tells whether the driver that sent an entry is the driver that the entry describes.
type origin uint8

const (
	fromItself origin = iota // sent by the driver that the entry describes
	fromOther                // sent by any other driver
)

// merge merges a received entry into the list and returns the resulting state of the driver that it describes. It returns nil if the driver is
// still not in the list, or is this driver.
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

// mergeSelf refutes a received entry of this driver if it is wrong.
func (l *List) mergeSelf(e Entry, from origin) {
	self := l.self
	switch {
	case from == fromItself: // this driver's own message, or one from another driver with the same name
		if e.Incarnation != self.Incarnation {
			l.host.StatusChanged(e, reasonNameUsedTwice)
		}
	case l.left:
	case e.Incarnation > self.Incarnation: // the clock was set back since an earlier incarnation
		self.Incarnation, self.Refutation = e.Incarnation+1, 0
		l.broadcast(self)
	case e.Incarnation == self.Incarnation && e.Status != Alive && e.Refutation >= self.Refutation:
		self.Refutation = e.Refutation + 1
		l.health.degrade(1)
		l.broadcast(self)
	}
}

// mergeUnknown merges an entry of a driver that is not in the list.
func (l *List) mergeUnknown(e Entry, from origin, now time.Duration) *nodeState {
	tombstone, stale := l.tombstones[e.ID]
	stale = stale && !e.supersedes(&tombstone)
	if stale && from == fromOther {
		return nil
	}
	if e.Name == "" { // a compact entry; a sync fetches the full one
		return nil
	}
	if len(l.nodes.byID) >= maxNodes || e.Status >= Dead && from == fromOther {
		if e.Status >= Dead { // so that older gossip about the driver is recognized as stale
			l.tombstones.addUnlessFull(e)
		}
		return nil
	}
	delete(l.tombstones, e.ID)
	node := &nodeState{Entry: e, statusSince: now, lastSeenAt: now, suspicion: suspicion{deadline: now + l.suspicionTimeout(0)}}
	if stale {
		// The driver has to learn that it is believed dead: others that have removed it accept only a higher refutation number.
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

// mergeKnown merges an entry of a driver that is in the list.
func (l *List) mergeKnown(node *nodeState, e Entry, from origin, now time.Duration) {
	newer := e.supersedes(&node.Entry)
	switch {
	case from == fromItself && e.Status == Alive && node.Incarnation == e.Incarnation && node.Refutation >= e.Refutation && node.Status != Alive:
		l.broadcast(node) // the driver does not know yet that it is believed suspect or gone; the answer tells it
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

// addNode adds a driver to the list.
func (l *List) addNode(node *nodeState) {
	l.nodes.add(node)
	l.broadcast(node)
}

// replaceEntry replaces the known entry by one that supersedes it, but keeps the newer summary.
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
