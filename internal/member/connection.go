package member

import (
	"hash/maphash"
	"io"
	"net/netip"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/slotmap"
)

// maxResponsePause bounds a pause within a response. It is longer than the retransmission of a lost packet takes; members send a
// whole response without pauses.
const maxResponsePause = 250 * time.Millisecond

// connection is one connection to a member. It implements eventloop.Handler.
type connection struct {
	pool            *Pool
	handle          slotmap.Handle
	member          *member
	address         netip.AddrPort // where it was opened to; the member's address may have changed since
	stream          *eventloop.Stream
	openedAt        time.Duration
	established     bool // the member has accepted the greeting
	released        bool
	attempt         *attempt
	written         bool          // the attempt's request was handed to the stream
	respondedAt     time.Duration // of the latest response
	idleSince       time.Duration
	timer           eventloop.Timer // connect timeout; once established, timeout of a pause within a response
	responseStarted bool
	errorReceived   bool
	outcome         driver.Outcome // of the error that was received
	barrier         barrier
}

// connect opens a connection for an attempt.
func (p *Pool) connect(a *attempt, m *member) {
	c := &connection{pool: p, member: m, address: m.address, attempt: a, idleSince: p.loop.Now(), openedAt: p.loop.Now()}
	stream, err := p.loop.Dial(m.address, c, MaxResponseBytes)
	if err == nil {
		c.stream = stream
		if c.handle = p.connections.Insert(c); c.handle == 0 {
			stream.Close()
			err = eventloop.ErrNoDescriptors
		}
	}
	if err != nil {
		p.outcomes.Count("connects_failed")
		p.loop.Defer(func() { p.fail(a, Failure{NotConnected, false, err}) })
		return
	}
	a.connection = c
	p.connectLimiter.Started(&m.connections)
	p.outcomes.Count("connects")
	if greeting := p.protocol.Greeting(); greeting != nil {
		c.stream.Send(greeting)
	}
	c.timer = p.loop.At(p.loop.Now()+p.connectTimeout, func() {
		if p.connections.Get(c.handle) == c && !c.established {
			c.abort(errConnectTimeout)
		}
	})
}

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	if c.pool.protocol.Greeting() == nil {
		c.becomeEstablished()
	}
}

func (c *connection) becomeEstablished() {
	p, m := c.pool, c.member
	c.established = true
	p.connectLimiter.Established(&m.connections, p.loop.Now()-c.openedAt, p.loop.Now())
	p.loop.Cancel(c.timer)
	c.start()
	p.loop.Defer(p.serveQueues)
}

// start writes the attempt for which the connection was opened or reserved, if it still has one.
func (c *connection) start() {
	a := c.attempt
	switch {
	case a == nil && c.address == c.member.address:
		c.becomeIdle()
	case a == nil:
		c.close()
	case a.probe:
		c.writeProbe()
	case c.pool.loop.Clock() >= a.writeDeadline: // for example after this process was suspended
		c.attempt, a.connection = nil, nil
		c.becomeIdle()
		c.pool.loop.Defer(func() { c.pool.expire(a.handle) })
	default:
		c.write(a.request)
		a.request = nil
	}
}

// write sends the attempt's request with the time that is left by the clock, as this iteration of the loop may have taken long.
func (c *connection) write(request *driver.MemberRequest) {
	c.responseStarted, c.errorReceived, c.written = false, false, true
	left := max(c.attempt.deadline-c.pool.loop.Clock(), time.Millisecond)
	c.stream.Send(c.pool.protocol.EncodeRequest(request, left)...)
}

func (c *connection) writeProbe() {
	c.responseStarted, c.errorReceived, c.written = false, false, true
	c.stream.Send(c.pool.encodedProbe)
}

// Input implements eventloop.Handler. It consumes complete responses only, and uses no part of a malformed one.
func (c *connection) Input(in []byte) int {
	p := c.pool
	if c.barrier.pending {
		return c.barrierInput(in)
	}
	if c.established && c.attempt == nil {
		size, ok := p.protocol.ParseUnsolicited(in)
		if !ok {
			c.discard("members_closed_excess")
		}
		return size
	}
	c.parse(in, c.attempt != nil && c.attempt.probe, false)
	response := &p.response
	switch {
	case response.Malformed:
		c.abort(errMalformedResponse)
		return 0
	case response.Size == 0:
		if c.responseStarted && c.established {
			c.awaitMore()
		}
		return 0
	case !c.established && !c.onlyUnsolicited(in[response.Size:]):
		c.abort(errMalformedResponse)
		return 0
	case !c.established:
		c.becomeEstablished()
		return len(in)
	case !c.written:
		c.abort(errMalformedResponse)
		return 0
	}
	return c.complete(response, in)
}

// onlyUnsolicited reports whether in consists of complete messages that may arrive without a request.
func (c *connection) onlyUnsolicited(in []byte) bool {
	for len(in) > 0 {
		size, ok := c.pool.protocol.ParseUnsolicited(in)
		if !ok || size == 0 {
			return false
		}
		in = in[size:]
	}
	return true
}

// complete ends the attempt with its response and returns the response's size. The connection is used again after a barrier, unless
// the member closes it, may get no further attempts, has sent excess bytes, or has changed its address.
func (c *connection) complete(response *Response, in []byte) (size int) {
	p, a := c.pool, c.attempt
	size = response.Size
	excess := size < len(in)
	reusable := !excess && !response.CloseAfter && c.address == c.member.address && !c.member.unavailable
	checksum := maphash.Bytes(responseSeed, in)
	c.attempt, c.written, c.errorReceived, c.respondedAt = nil, false, false, p.loop.Now()
	p.loop.Cancel(c.timer)
	p.finish(a, response.Outcome, response)
	switch {
	case reusable && a.probe: // the response to a health check is an answer to a barrier
		c.becomeIdle()
	case reusable:
		c.sendBarrier(checksum)
	case excess:
		c.discard("members_closed_excess")
	default:
		c.discard("")
	}
	return size
}

// parse parses what has been received of the response into the pool's response. An error that was received is final, even if
// more is missing.
func (c *connection) parse(in []byte, probing, ended bool) {
	p := c.pool
	response := &p.response
	response.reset(c.responseStarted)
	p.protocol.ParseResponse(in, c.established, probing, ended, p.loop.Now()+p.clockOffset, response)
	c.responseStarted, c.errorReceived, c.outcome = response.Started, response.ErrorReceived, response.Outcome
}

// awaitMore aborts the connection unless more of the response arrives within maxResponsePause. It waits longer while the stream
// has paused reading for lack of memory.
func (c *connection) awaitMore() {
	p := c.pool
	p.loop.Cancel(c.timer)
	c.timer = p.loop.At(p.loop.Now()+maxResponsePause, func() {
		if c.stream.ReadPaused() {
			c.awaitMore()
		} else if p.connections.Get(c.handle) == c && c.attempt != nil {
			c.abort(errResponseStalled)
		}
	})
}

func (c *connection) progress() Progress {
	switch {
	case !c.established:
		return NotConnected
	case !c.written || c.stream.Unsent() > 0:
		return PartlyWritten
	case c.responseStarted:
		return ResponseStarted
	}
	return FullyWritten
}

// Closed implements eventloop.Handler: it ends the attempt that the connection carried.
func (c *connection) Closed(cause error) {
	c.release()
	a := c.attempt
	if a == nil {
		return
	}
	if c.established && c.written && cause == io.EOF { // the end of the connection completes a response without a length
		response := &c.pool.response
		if c.parse(c.stream.Unread(), a.probe, true); response.Size > 0 && !response.Malformed {
			c.attempt = nil
			c.pool.finish(a, response.Outcome, response)
			return
		}
	}
	c.attempt = nil
	if c.errorReceived && (c.established || c.outcome == driver.Full) {
		c.pool.finish(a, c.outcome, nil)
		return
	}
	c.pool.fail(a, Failure{c.progress(), false, cause})
}

// Panicked implements eventloop.Handler.
func (c *connection) Panicked(cause error) { c.abort(cause) }

// abort closes the connection and ends the attempt that it carries.
func (c *connection) abort(cause error) {
	c.close()
	c.Closed(cause)
}

// close closes the connection and leaves the attempt that it carries.
func (c *connection) close() {
	c.stream.Close()
	c.release()
}

// release removes the connection from the pool. It may be called twice.
func (c *connection) release() {
	p, m := c.pool, c.member
	if !c.released && c.established {
		p.connectLimiter.Closed(&m.connections)
	} else if !c.released {
		p.connectLimiter.Failed(&m.connections, p.loop.Now()-c.openedAt, p.loop.Now())
		p.loop.Defer(func() { p.connectFailed(m) })
	}
	c.released = true
	if c.barrier.pending {
		p.loop.Defer(p.serveQueues)
	}
	c.endBarrier()
	p.loop.Cancel(c.timer)
	p.connections.Remove(c.handle)
	m.idle = slices.DeleteFunc(m.idle, func(other *connection) bool { return other == c })
}
