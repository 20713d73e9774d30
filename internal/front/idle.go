package front

import (
	"time"

	"passtack/internal/chain"
)

const (
	clientTimeout     = 2 * time.Second        // for the first request, the rest of a message, or progress in reading a response
	firstRequestGrace = 200 * time.Millisecond // in which a newcomer is not evicted, as its first request may be on its way
)

// scheduleCheck schedules the next check of idle connections, for the time at which the connection given times out.
func (r *Connections) scheduleCheck(s *Connection) {
	if !r.checkScheduled {
		r.checkScheduled = true
		r.loop.At(s.idleSince+clientTimeout, r.checkIdle)
	}
}

// checkIdle closes connections that were idle for too long.
func (r *Connections) checkIdle() {
	r.checkScheduled = false
	r.checkChain(&r.newcomers)
	r.checkChain(&r.recentlyIdle)
}

func (r *Connections) checkChain(idle *chain.List[*Connection]) {
	for link := idle.Front(); link != nil; link = idle.Front() {
		s := link.Value
		if s.idleSince+clientTimeout > r.loop.Now() {
			r.scheduleCheck(s)
			return
		}
		link.Remove()
		r.timeOut(s)
	}
}

// timeOut ends what a connection does not complete. One that is idle after a request stays open.
func (r *Connections) timeOut(s *Connection) {
	switch unsent := s.Stream.Unsent(); {
	case unsent > 0 && (s.unsent == 0 || unsent < s.unsent): // the client reads slowly
		s.unsent = unsent
		s.BeginIdle()
	case unsent > 0:
		r.count("clients_stuck")
		s.recordClose(ClosedStuck)
		s.Stream.Close()
		s.handler.Closed(nil)
	case len(s.Stream.Unread()) > 0:
		s.handler.RejectIncomplete()
	case s.Stream.Alive() && s.hasRequested:
		s.reading = false
		r.dormant.PushBack(&s.link)
	case s.Stream.Alive():
		s.Close(ClosedIdle)
	default: // something has been received just now
		s.BeginIdle()
	}
}

// maxRequesters returns how many connections that have sent requests may be open before idle ones of them are closed: a fifth
// of all descriptors if the listener may use all that are for clients. Some clients never close their connections; others that
// connect at once must still find descriptors.
func (r *Connections) maxRequesters() int { return r.listener.MaxConnections() * 8 / 25 }

// limitIdle closes the connection that has been idle for longest after a request, if there are too many.
func (r *Connections) limitIdle() {
	if r.dormant.Len()+r.recentlyIdle.Len()+r.busy <= r.maxRequesters() {
		return
	}
	if !r.closeIdlest(&r.dormant, 0) {
		r.closeIdlest(&r.recentlyIdle, 0)
	}
}

// EvictIdle closes an idle connection, and reports whether there was one.
func (r *Connections) EvictIdle() bool { return r.evict(true) }

// Shed closes as many connections as another listener needs: idle ones, else the next whose request is answered.
func (r *Connections) Shed(count int) {
	r.toClose = 0
	for range count {
		if !r.evict(true) {
			r.toClose++
		}
	}
}

// evict closes the connection that has been idle for longest, a newcomer if there is one past its grace period. Unless it is
// urgent, those with recent requests have that period too. It reports whether it closed one.
func (r *Connections) evict(urgent bool) bool {
	grace := firstRequestGrace
	if urgent {
		grace = 0
	}
	return r.closeIdlest(&r.newcomers, firstRequestGrace) || r.closeIdlest(&r.dormant, 0) || r.closeIdlest(&r.recentlyIdle, grace)
}

// closeIdlest closes the connection of a chain that has been idle for longest, if for minIdle at least. It reports whether it
// closed one.
func (r *Connections) closeIdlest(idle *chain.List[*Connection], minIdle time.Duration) bool {
	for link := idle.Front(); link != nil; link = link.Next() {
		s := link.Value
		if r.loop.Now()-s.idleSince < minIdle {
			return false
		}
		if s.evictable() {
			s.Close(ClosedIdle)
			return true
		}
	}
	return false
}
