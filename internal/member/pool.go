// Package member manages the connections to database members for every protocol. A connection carries one attempt or health
// check at a time. The pool reports the outcome of each one, and the progress of an attempt that got no response. A Protocol
// encodes the requests and parses the responses. All calls come from the goroutine of the event loop.
package member

import (
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/linkedlist"
	"passtack/internal/recovery"
	"passtack/internal/slotmap"
)

// MaxResponseBytes bounds the bytes of a response, which is buffered until it is complete.
const MaxResponseBytes = 1088<<10 + 1

// Pool holds the connections to all members of one protocol. It implements driver.MemberPool.
type Pool struct {
	loop           *eventloop.Loop
	outcomes       driver.OutcomeHandler
	protocol       Protocol
	encodedProbe   []byte
	members        map[driver.Member]*member
	connections    slotmap.Map[*connection]
	attempts       slotmap.Map[*attempt]
	connectTimeout time.Duration
	idleTimeout    time.Duration // after which an idle connection is not used again
	response       Response      // reused for every response
	clockOffset    time.Duration // by which the members' clock is ahead of the loop's
	connectLimiter *recovery.ConnectLimiter
	congested      linkedlist.List[*member] // members with attempts that wait for a connection
}

// member is a database process and the pool's connections to it.
type member struct {
	id              driver.Member
	address         netip.AddrPort
	unavailable     bool            // no connection is kept for later attempts
	idle            []*connection   // in the order in which they became idle
	idleTimer       eventloop.Timer // closes the connections that have been idle for too long
	failureLogAfter time.Duration   // time before which no further failure is logged
	barriers        int             // connections with a barrier that is not answered yet
	connections     recovery.MemberConnections
	waiting         linkedlist.List[*attempt]
	congested       linkedlist.Element[*member]
}

// New creates a pool. Connections must be established within connectTimeout and are not used after having been idle for
// idleTimeout. All pools of a driver share connectLimiter.
func New(l *eventloop.Loop, outcomes driver.OutcomeHandler, protocol Protocol, connectLimiter *recovery.ConnectLimiter,
	connectTimeout, idleTimeout time.Duration) *Pool {
	p := &Pool{
		loop: l, outcomes: outcomes, protocol: protocol, encodedProbe: protocol.EncodeProbe(), members: make(map[driver.Member]*member), connectLimiter: connectLimiter,
	}
	p.SetTimeouts(connectTimeout, idleTimeout)
	return p
}

// SetTimeouts changes the timeouts for connections that are opened or become idle from now on. Members close connections after
// idleTimeout, so the pool stops using them an eighth of it earlier.
func (p *Pool) SetTimeouts(connectTimeout, idleTimeout time.Duration) {
	p.connectTimeout, p.idleTimeout = connectTimeout, idleTimeout-idleTimeout/8
}

// SetClockOffset sets by how much the clock of the members' positions is ahead of the loop's.
func (p *Pool) SetClockOffset(ahead time.Duration) { p.clockOffset = ahead }

// SetAddress adds a member or changes its address. Connections to a former address are not used again.
func (p *Pool) SetAddress(id driver.Member, address netip.AddrPort) {
	m := p.members[id]
	if m == nil {
		p.members[id] = &member{id: id, address: address}
	} else if m.address != address {
		p.CloseIdle(id)
		m.address = address
	}
}

// SetAvailable records whether a member may get further attempts. A connection to one that may not, as it drains or is gone, is closed
// after the response to its attempt.
func (p *Pool) SetAvailable(id driver.Member, available bool) {
	if m := p.members[id]; m != nil {
		m.unavailable = !available
	}
}

// Forget removes a member. No further attempts are sent to it.
func (p *Pool) Forget(id driver.Member) {
	if m := p.members[id]; m != nil {
		p.CloseIdle(id)
		m.address = netip.AddrPort{} // connections that are in use never become idle again
		delete(p.members, id)
		m.congested.Remove()
	}
}

// Waiting counts the attempts that wait for a connection.
func (p *Pool) Waiting() (waiting int) {
	for link := p.congested.Front(); link != nil; link = link.Next() {
		waiting += link.Value.waiting.Len()
	}
	return waiting
}

// Open counts the connections, established or not.
func (p *Pool) Open() int { return p.connections.Len() }

// InFlight counts the attempts and health checks that have no outcome yet.
func (p *Pool) InFlight() int { return p.attempts.Len() }
