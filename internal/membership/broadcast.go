package membership

import (
	"math"
	"slices"

	"passtack/driver"
)

// retransmitFactor times the decimal logarithm of the fleet is how often one change is sent.
const retransmitFactor = 4

// fullEntryPenalty exceeds how often any change is sent, so that full entries rank behind all compact ones.
const fullEntryPenalty = 1000

// broadcastQueue holds the drivers whose latest change is to be sent with the next messages, the latest first.
type broadcastQueue struct{ pending []NodeID }

// pushFront puts a driver before all others.
func (q *broadcastQueue) pushFront(id NodeID) {
	q.pending = slices.DeleteFunc(q.pending, func(other NodeID) bool { return other == id })
	q.pending = slices.Insert(q.pending, 0, id)
}

// broadcast queues the latest change of a driver.
func (l *List) broadcast(node *nodeState) {
	node.transmits = 0
	l.broadcasts.pushFront(node.ID)
	l.nodes.invalidateChecksum()
}

// transmitLimit is how often one change is sent.
func (l *List) transmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(l.nodes.activeCount()+1))))
}

// appendBroadcasts adds queued changes to a message until it is full: suspicions, refutations and departures before new drivers, of each those that
// were sent least, of them the latest. Changes that were sent often enough leave the queue. The subject is left out: send has
// dealt with it.
func (l *List) appendBroadcasts(e *encoder, subject *nodeState) {
	limit := l.transmitLimit()
	queue := l.broadcasts.pending
	slices.SortStableFunc(queue, func(a, b NodeID) int { return l.broadcastRank(a) - l.broadcastRank(b) })
	remaining := queue[:0]
	full := false
	for _, id := range queue {
		node := l.nodes.get(id)
		if node == nil || node.transmits >= limit {
			continue
		}
		switch {
		case node == l.self: // its entry is in every message
			node.transmits++
		case node != subject && !full:
			if full = !e.appendChange(node); !full {
				node.transmits++
			}
		}
		remaining = append(remaining, id)
	}
	l.broadcasts.pending = remaining
}

// broadcastRank orders the queue: the lower goes first.
func (l *List) broadcastRank(id NodeID) int {
	node := l.nodes.get(id)
	switch {
	case node == nil:
		return 0
	case node.compact:
		return node.transmits
	default:
		return node.transmits + fullEntryPenalty
	}
}

// send sends a message to an address. If it has a subject, a driver that it is about, and that one is not alive by this list, its entry comes
// before the queued changes.
func (l *List) send(to driver.Peer, h header, subject *nodeState) {
	l.sendMessage(to, h, subject, nil)
}

// sendMessage is send with range checksums, which only sync requests have.
func (l *List) sendMessage(to driver.Peer, h header, subject *nodeState, rangeChecksums []byte) {
	e := l.newEncoder(h, rangeChecksums)
	if subject != nil && subject.Status != Alive {
		e.appendEntry(&subject.Entry)
	}
	l.appendBroadcasts(e, subject)
	l.transmit(to, e)
}

// newEncoder begins a message of this driver.
func (l *List) newEncoder(h header, rangeChecksums []byte) *encoder {
	h.checksum = l.Checksum()
	return newEncoder(h, &l.self.Entry, rangeChecksums)
}

func (l *List) transmit(to driver.Peer, e *encoder) {
	datagram := e.finish()
	l.stats.Sent++
	l.stats.SentBytes += len(datagram)
	l.host.Send(to, datagram)
}
