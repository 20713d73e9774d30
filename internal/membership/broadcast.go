package membership

import (
	"math"
	"slices"

	"passtack/driver"
)

// retransmitFactor times the decimal logarithm of the fleet size is how often a driver sends one change.
const retransmitFactor = 4

// fullEntryPenalty is larger than any number of transmissions of a change, so that full entries rank behind all compact ones.
const fullEntryPenalty = 1000

// broadcastQueue holds the drivers whose latest change is to be sent with the next messages, the most recent change first.
type broadcastQueue struct{ pending []NodeID }

// pushFront moves or inserts a driver at the front of the queue.
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

// transmitLimit returns how often one change is sent.
func (l *List) transmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(l.nodes.activeCount()+1))))
}

// appendBroadcasts adds queued changes to a message until it is full: suspicions, refutations and departures before new drivers and summaries,
// then those sent least often, then the most recent. Changes that were sent often enough are removed from the queue. The subject is left out:
// send has added its entry if needed.
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
		case node == l.self: // the entry of this driver is in every message
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

// broadcastRank returns the rank by which the queue is sorted: lower ranks are sent first.
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

// send sends a message to an address. The subject is the driver that the message is about, or nil. If it is not alive according to this list,
// its entry is added before the queued changes.
func (l *List) send(to driver.Peer, h header, subject *nodeState) {
	l.sendMessage(to, h, subject, nil)
}

// sendMessage does what send does and adds range checksums, which only sync requests have.
func (l *List) sendMessage(to driver.Peer, h header, subject *nodeState, rangeChecksums []byte) {
	e := l.newEncoder(h, rangeChecksums)
	if subject != nil && subject.Status != Alive {
		e.appendEntry(&subject.Entry)
	}
	l.appendBroadcasts(e, subject)
	l.transmit(to, e)
}

// newEncoder starts a message from this driver.
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
