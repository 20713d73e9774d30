package sim

import "time"

// always is the shouldResend of a stream.
func always() bool { return true }

// transmit schedules arrive for when a segment or datagram of so many bytes arrives at the other host, no earlier than
// notBefore, and returns that time. What is lost, or arrives while the link is cut, is sent again while shouldResend returns
// true. A datagram has no shouldResend and is dropped.
func (w *World) transmit(path path, notBefore time.Duration, shouldResend func() bool, bytes int, arrive func()) (at time.Duration) {
	link := w.link(path)
	at = w.now + link.Delay
	if link.Jitter > 0 {
		at += time.Duration(w.random.Float() * float64(link.Jitter))
	}
	for link.Loss > 0 && w.random.Float() < link.Loss {
		if shouldResend == nil {
			return at
		}
		at += max(link.ResendDelay, time.Millisecond)
	}
	if shouldResend == nil && link.Reorder > 0 && w.random.Float() < link.Reorder {
		at += time.Duration(w.random.Float() * float64(link.ReorderDelay))
	}
	if at = max(at, notBefore); link.BytesPerSecond > 0 && bytes > 0 {
		at += time.Duration(bytes) * time.Second / time.Duration(link.BytesPerSecond)
	}
	var deliver func()
	deliver = func() {
		if current := w.link(path); current.Cut {
			if shouldResend != nil && shouldResend() {
				w.schedule(w.now+max(current.ResendDelay, time.Millisecond), deliver)
			}
			return
		}
		arrive()
	}
	w.schedule(at, deliver)
	if shouldResend == nil && link.Duplicate > 0 && w.random.Float() < link.Duplicate {
		w.schedule(at+time.Duration(w.random.Float()*float64(max(link.ReorderDelay, link.Delay))), deliver)
	}
	return at
}

// sendToPeer calls arrive when a segment arrives at the peer, after all that was sent before.
func (s *socket) sendToPeer(bytes int, arrive func(p *socket)) {
	p := s.peer
	if p == nil {
		return
	}
	previous := s.lastArrival
	s.lastArrival = s.host.world.transmit(s.path, previous, always, bytes, func() { arrive(p) })
	s.lastArrival = max(s.lastArrival, previous) + 1 // arrivals have distinct times, which keep their order
}

// splitProbability is the probability that a segment is cut short at random.
const splitProbability = 0.1

// segmentSize draws the size of the next segment of a stream.
func (w *World) segmentSize(s *socket, available int) int {
	limit := available
	if s.peer != nil {
		if l := w.link(s.path); l.MaxSegment > 0 {
			limit = min(limit, l.MaxSegment)
		}
	}
	if limit > 1 && w.random.Float() < splitProbability { // now and then a message is split
		return 1 + w.random.Below(limit)
	}
	return limit
}
