package member

import (
	"hash/maphash"
	"time"
)

// responseSeed seeds the checksums of responses.
var responseSeed = maphash.MakeSeed()

// barrier is a request that does nothing at the member, sent behind each response. A connection delivers bytes in order, so all
// that the member has sent behind the response, such as a second copy of it that its system held back, arrives before the answer
// to the barrier. Only that answer makes the connection available again: without it, such bytes could be taken for the response
// to the next request.
type barrier struct {
	pending  bool
	response uint64        // checksum of the response before it
	sentAt   time.Duration // of the latest barrier
	watched  bool          // a timer is set that calls checkBarrier
}

// sendBarrier sends a barrier behind a response with the given checksum.
func (c *connection) sendBarrier(response uint64) {
	c.barrier.pending, c.barrier.response, c.barrier.sentAt = true, response, c.pool.loop.Now()
	c.member.barriers++
	c.responseStarted = false
	c.stream.Send(c.pool.encodedProbe)
	if !c.barrier.watched {
		c.watchBarrier()
	}
}

// watchBarrier sets a timer for the answer to the barrier. It runs on if the answer comes, and serves later barriers too: timers are
// set once in a while rather than for each response.
func (c *connection) watchBarrier() {
	c.barrier.watched = true
	c.pool.loop.At(c.barrier.sentAt+c.pool.connectTimeout, c.checkBarrier)
}

// checkBarrier closes the connection if the answer to the barrier has not come in time.
func (c *connection) checkBarrier() {
	p := c.pool
	if p.connections.Get(c.handle) != c {
		return
	}
	c.barrier.watched = false
	switch {
	case !c.barrier.pending:
	case p.loop.Now()-c.barrier.sentAt >= p.connectTimeout:
		c.discard("members_closed_silent")
	default:
		c.watchBarrier()
	}
}

// barrierInput parses input while the answer to a barrier is outstanding, and returns the bytes consumed. Anything but that answer
// closes the connection.
func (c *connection) barrierInput(in []byte) int {
	c.parse(in, true, false)
	response := &c.pool.response
	switch {
	case response.Size == 0 && !response.Malformed:
		return 0
	case !c.answersBarrier(response, in):
		c.discard("members_closed_excess")
		return 0
	}
	c.endBarrier()
	if c.address != c.member.address || c.member.unavailable {
		c.discard("")
		return 0
	}
	c.becomeIdle()
	return response.Size
}

// endBarrier records that no answer to a barrier is outstanding on the connection.
func (c *connection) endBarrier() {
	if c.barrier.pending {
		c.barrier.pending = false
		c.member.barriers--
	}
}

// awaitsBarrier reports whether another attempt should wait for an answer to a barrier: it comes sooner than a new connection.
func (m *member) awaitsBarrier() bool { return m.waiting.Len() < m.barriers }

// answersBarrier reports whether in holds the answer to the barrier and nothing else. A copy of the response before it is no
// answer, even if the protocol would allow it as one.
func (c *connection) answersBarrier(response *Response, in []byte) bool {
	return !response.Malformed && !response.ErrorReceived && !response.CloseAfter && response.Size == len(in) &&
		maphash.Bytes(responseSeed, in) != c.barrier.response
}

// discard closes a connection that carries no attempt, counts the reason if there is one, and serves the attempts that wait for a
// connection.
func (c *connection) discard(reason string) {
	if reason != "" {
		c.pool.outcomes.Count(reason)
	}
	c.close()
	c.pool.loop.Defer(c.pool.serveQueues)
}
