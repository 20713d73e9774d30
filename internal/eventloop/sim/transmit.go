package sim

import "time"

// alwaysResend is the shouldResend of an established stream.
func alwaysResend() bool { return true }

// transmit schedules onArrival for the time at which a segment or datagram of the given size arrives at the other host, no
// earlier than notBefore, and returns that time. A segment that is lost is resent, and one that arrives while the link is cut
// is resent while shouldResend returns true. shouldResend is nil for a datagram, which is dropped in both cases.
func (w *World) transmit(path path, notBefore time.Duration, shouldResend func() bool, bytes int, onArrival func()) (arrivalTime time.Duration) {
	link := w.link(path)
	arrivalTime = w.now + link.Delay
	if link.Jitter > 0 {
		arrivalTime += time.Duration(w.random.Float() * float64(link.Jitter))
	}
	for link.Loss > 0 && w.random.Float() < link.Loss {
		if shouldResend == nil {
			return arrivalTime
		}
		arrivalTime += max(link.ResendDelay, time.Millisecond)
	}
	if shouldResend == nil && link.Reorder > 0 && w.random.Float() < link.Reorder {
		arrivalTime += time.Duration(w.random.Float() * float64(link.ReorderDelay))
	}
	if arrivalTime = max(arrivalTime, notBefore); link.BytesPerSecond > 0 && bytes > 0 {
		arrivalTime += time.Duration(bytes) * time.Second / time.Duration(link.BytesPerSecond)
	}
	var deliver func()
	deliver = func() {
		if current := w.link(path); current.Cut {
			if shouldResend != nil && shouldResend() {
				w.schedule(w.now+max(current.ResendDelay, time.Millisecond), deliver)
			}
			return
		}
		onArrival()
	}
	w.schedule(arrivalTime, deliver)
	if shouldResend == nil && link.Duplicate > 0 && w.random.Float() < link.Duplicate {
		w.schedule(arrivalTime+time.Duration(w.random.Float()*float64(max(link.ReorderDelay, link.Delay))), deliver)
	}
	return arrivalTime
}

// sendToPeer sends a segment to the peer and calls onArrival when it arrives, after all segments that were sent before.
func (s *socket) sendToPeer(bytes int, onArrival func(p *socket)) {
	p := s.peer
	if p == nil {
		return
	}
	previous := s.lastArrival
	s.lastArrival = s.host.world.transmit(s.path, previous, alwaysResend, bytes, func() { onArrival(p) })
	s.lastArrival = max(s.lastArrival, previous) + 1 // distinct arrival times keep the segments in order
}

// splitProbability is the probability that a segment is shortened to a random size.
const splitProbability = 0.1

// segmentSize returns the size of the next segment of a stream, of which the given number of bytes is available.
func (w *World) segmentSize(s *socket, available int) int {
	limit := available
	if s.peer != nil {
		if l := w.link(s.path); l.MaxSegment > 0 {
			limit = min(limit, l.MaxSegment)
		}
	}
	if limit > 1 && w.random.Float() < splitProbability { // split a message at random
		return 1 + w.random.Below(limit)
	}
	return limit
}
