package front

import (
	"time"

	"passtack/internal/linkedlist"
)

const (
	clientTimeout     = 2 * time.Second        // for the first request, the rest of a message, or progress in reading a response
	firstRequestGrace = 200 * time.Millisecond // for which a new connection is not evicted, as its first request may be in transit
)

// scheduleCheck schedules a check of idle connections for the time-out of the given one, unless a check is scheduled already.
func (cs *Connections) scheduleCheck(c *Connection) {
	if !cs.checkScheduled {
		cs.checkScheduled = true
		cs.loop.At(c.idleSince+clientTimeout, cs.checkIdle)
	}
}

// checkIdle handles all connections that have been idle for clientTimeout.
func (cs *Connections) checkIdle() {
	cs.checkScheduled = false
	cs.checkList(&cs.newConnections)
	cs.checkList(&cs.recentlyIdle)
}

func (cs *Connections) checkList(idle *linkedlist.List[*Connection]) {
	for link := idle.Front(); link != nil; link = idle.Front() {
		c := link.Value
		if c.idleSince+clientTimeout > cs.loop.Now() {
			cs.scheduleCheck(c)
			return
		}
		link.Remove()
		cs.timeOut(c)
	}
}

// timeOut handles a connection that made no progress within clientTimeout. One that is idle after a request stays open.
func (cs *Connections) timeOut(c *Connection) {
	switch unsent := c.Stream.Unsent(); {
	case unsent > 0 && (c.unsent == 0 || unsent < c.unsent): // the client reads slowly
		c.unsent = unsent
		c.BeginIdle()
	case unsent > 0:
		cs.count("clients_stuck")
		c.recordClose(ClosedStuck)
		c.Stream.Close()
		c.handler.Closed(nil)
	case len(c.Stream.Unread()) > 0:
		c.handler.RejectIncomplete()
	case c.Stream.Alive() && c.hasRequested:
		c.reading = false
		cs.longIdle.PushBack(&c.link)
	case c.Stream.Alive():
		c.Close(ClosedIdle)
	default: // input or an end of the connection has arrived in the kernel and is still unread
		c.BeginIdle()
	}
}

// maxAfterRequest returns how many connections that have sent a request may be open before idle ones of them are closed. It is
// a fifth of all descriptors if the listener may use all those for clients. Some clients never close their connections, and
// descriptors must remain for many clients that connect at once.
func (cs *Connections) maxAfterRequest() int { return cs.listener.MaxConnections() * 8 / 25 }

// limitIdle closes the connection that has been idle for longest after a request, if more than maxAfterRequest are open.
func (cs *Connections) limitIdle() {
	if cs.longIdle.Len()+cs.recentlyIdle.Len()+cs.busy <= cs.maxAfterRequest() {
		return
	}
	if !cs.closeLongestIdle(&cs.longIdle, 0) {
		cs.closeLongestIdle(&cs.recentlyIdle, 0)
	}
}

// EvictIdle closes an idle connection, and reports whether there was one.
func (cs *Connections) EvictIdle() bool { return cs.evict(true) }

// Shed closes count connections whose descriptors another listener needs: idle ones, otherwise the next ones whose request ends.
func (cs *Connections) Shed(count int) {
	cs.toClose = 0
	for range count {
		if !cs.evict(true) {
			cs.toClose++
		}
	}
}

// evict closes the connection that has been idle for longest, preferably a new one past firstRequestGrace. Unless it is urgent,
// connections that served a request are not closed within that period either. It reports whether it closed one.
func (cs *Connections) evict(urgent bool) bool {
	grace := firstRequestGrace
	if urgent {
		grace = 0
	}
	return cs.closeLongestIdle(&cs.newConnections, firstRequestGrace) || cs.closeLongestIdle(&cs.longIdle, 0) || cs.closeLongestIdle(&cs.recentlyIdle, grace)
}

// closeLongestIdle closes the connection of a list that has been idle for longest, if for at least minIdle. It reports whether
// it closed one.
func (cs *Connections) closeLongestIdle(idle *linkedlist.List[*Connection], minIdle time.Duration) bool {
	for link := idle.Front(); link != nil; link = link.Next() {
		c := link.Value
		if cs.loop.Now()-c.idleSince < minIdle {
			return false
		}
		if c.evictable() {
			c.Close(ClosedIdle)
			return true
		}
	}
	return false
}
