package membership

import (
	"time"

	"passtack/driver"
)

const (
	// maxSyncResponses is how many messages one sync fetches; the next one continues after them.
	maxSyncResponses = 4
	// syncRangeBits is how many leading bits of a driver's ID are the number of its range.
	syncRangeBits = 7
	syncRanges    = 1 << syncRangeBits
	// startupGraceProbes is for how many probe intervals no driver syncs from one that has just started.
	startupGraceProbes = 3
)

// syncRange is the range of IDs that an ID is in.
func syncRange(id NodeID) NodeID { return id >> (64 - syncRangeBits) }

// syncSession is the state of the anti-entropy sync: entries are fetched from one driver at a time, in the order of IDs.
type syncSession struct {
	source     driver.Peer
	after      NodeID        // the last ID received; 0: the sync starts over
	sentAt     time.Duration // of the request that is out; 0: none
	responses  int           // received in this session
	finishedAt time.Duration
}

func (s *syncSession) inProgress() bool { return s.sentAt != 0 }

// suspend ends the session; the next one continues after the latest entry.
func (s *syncSession) suspend(now time.Duration) { s.sentAt, s.finishedAt = 0, now }

// justStarted reports whether a driver has just started: it knows less than others and syncs itself. If all drivers synced from it, a start would
// cost with the square of the fleet. Where clocks differ it may count as older, never for longer as just started.
func (l *List) justStarted(node *nodeState, now time.Duration) bool {
	age := now - time.Duration(node.Incarnation)
	return age >= 0 && age < startupGraceProbes*l.config.ProbeInterval
}

// startSync fetches the entries of another list that differ from this one's, unless a sync is in progress or has ended just now.
func (l *List) startSync(from driver.Peer, now time.Duration) {
	s := &l.sync
	if s.inProgress() && now-s.sentAt < l.config.ProbeInterval || now-s.finishedAt < l.config.ProbeInterval {
		return
	}
	s.source, s.sentAt, s.responses = from, now, 0 // what was lost is requested again, from whichever driver comes next
	l.sendNextSyncRequest()
}

// sendNextSyncRequest requests what differs after the latest entry received. The range checksums are salted anew each time: two ranges that differ
// may have the same checksum, but not for long.
func (l *List) sendNextSyncRequest() {
	sequence := l.nextSequence()
	h := header{kind: kindSyncRequest, sequence: sequence, target: l.sync.after}
	l.sendMessage(l.sync.source, h, nil, l.nodes.rangeChecksums(sequence))
}

// sendSyncResponse sends the entries after the requested ID, of the ranges whose checksums differ. Ranges are a Merkle tree of one level, as in Dynamo
// (DeCandia and others, 2007, section 4.7). A request without checksums, of builds that do not know them, gets all.
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

// receiveSyncResponse requests what follows, until nothing is left.
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
