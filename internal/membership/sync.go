package membership

import (
	"time"

	"passtack/driver"
)

const (
	// maxSyncResponses is the number of messages that one sync session fetches; the next session continues after them.
	maxSyncResponses = 4
	// syncRangeBits is the number of leading bits of a driver's ID that are the number of its range.
	syncRangeBits = 7
	syncRanges    = 1 << syncRangeBits
	// startupGraceProbes is the time after a driver's start in which no other driver syncs from it, in probe intervals.
	startupGraceProbes = 3
)

// syncRange returns the number of the range that contains an ID.
func syncRange(id NodeID) NodeID { return id >> (64 - syncRangeBits) }

// syncSession is the state of the anti-entropy sync: entries are fetched from one driver at a time, in the order of IDs.
type syncSession struct {
	source     driver.Peer
	after      NodeID        // last ID received; 0 if the next session starts from the beginning
	sentAt     time.Duration // of the open request; 0 if there is none
	responses  int           // number received in this session
	finishedAt time.Duration
}

func (s *syncSession) inProgress() bool { return s.sentAt != 0 }

// suspend ends the session; the next one continues after the last ID received.
func (s *syncSession) suspend(now time.Duration) { s.sentAt, s.finishedAt = 0, now }

// justStarted reports whether a driver has just started: such a driver knows less than others and syncs from them. If all drivers synced from it,
// the traffic of a start would grow with the square of the fleet size. If clocks differ, a driver may count as just started for a
// shorter time, never for longer.
func (l *List) justStarted(node *nodeState, now time.Duration) bool {
	age := now - time.Duration(node.Incarnation)
	return age >= 0 && age < startupGraceProbes*l.config.ProbeInterval
}

// startSync fetches the entries of another driver's list that differ from this one's, unless a session is in progress or has ended within the last
// probe interval.
func (l *List) startSync(from driver.Peer, now time.Duration) {
	s := &l.sync
	if s.inProgress() && now-s.sentAt < l.config.ProbeInterval || now-s.finishedAt < l.config.ProbeInterval {
		return
	}
	s.source, s.sentAt, s.responses = from, now, 0 // after a lost message, the request is sent again to the next driver whose list differs
	l.sendNextSyncRequest()
}

// sendNextSyncRequest requests the differing entries after the last one received. The range checksums have a new salt each time, so that ranges that
// differ but happen to have the same checksum are found by a later request.
func (l *List) sendNextSyncRequest() {
	sequence := l.nextSequence()
	h := header{kind: kindSyncRequest, sequence: sequence, target: l.sync.after}
	l.sendMessage(l.sync.source, h, nil, l.nodes.rangeChecksums(sequence))
}

// sendSyncResponse sends the entries after the requested ID, of the ranges whose checksums differ. The ranges are a Merkle tree of one level, as in
// Dynamo (DeCandia and others, 2007, section 4.7). In response to a request without checksums, from an older build, it sends all entries.
func (l *List) sendSyncResponse(to driver.Peer, request message) {
	first, found := l.nodes.position(request.target)
	if found {
		first++
	}
	equal := make([]bool, syncRanges)
	if len(request.rangeChecksums) > 0 {
		for i, sum := range l.nodes.rangeChecksums(request.sequence) {
			equal[i] = sum == request.rangeChecksums[i]
		}
	}
	e := l.newEncoder(header{kind: kindSyncResponse}, nil)
	for _, node := range l.nodes.sorted[first:] {
		if node == l.self || equal[syncRange(node.ID)] {
			continue
		}
		if !e.appendEntry(&node.Entry) {
			e.setMore()
			break
		}
	}
	l.transmit(to, e)
}

// receiveSyncResponse requests the entries that follow, until there are no more or the session has fetched maxSyncResponses messages.
func (l *List) receiveSyncResponse(from driver.Peer, m message, now time.Duration) {
	s := &l.sync
	if !s.inProgress() || s.source != from {
		return
	}
	if len(m.entries) == 0 || !m.more {
		s.after = 0
		s.suspend(now)
		return
	}
	s.after, s.sentAt = m.entries[len(m.entries)-1].ID, now
	if s.responses++; s.responses >= maxSyncResponses {
		s.suspend(now)
		return
	}
	l.sendNextSyncRequest()
}
