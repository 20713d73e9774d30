// Package pg is the listener side of version 3 of PostgreSQL's protocol: simple queries, without passwords.
package pg

import (
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/front"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/slotmap"
)

// Front is one listener. It implements driver.Front.
type Front struct {
	loop        *eventloop.Loop
	handler     driver.RPCHandler
	methods     map[string]driver.Method
	sessions    map[driver.Method]bool // methods whose quoted key names the session
	keyed       map[driver.Method]bool // methods that need an idempotency key
	ids         *front.RequestIDs
	connections *front.Connections
	cancelKeys  *pcg.Source
}

// Listen accepts clients. The slices are indexed by method: its name, whether its key names the session, and whether it needs
// an idempotency key. The seed is for the random cancel keys.
func Listen(l *eventloop.Loop, handler driver.RPCHandler, address netip.AddrPort, limits eventloop.AcceptLimiter, ids *front.RequestIDs, methods []string,
	sessions, keyed []bool, seed uint64) (*Front, error) {
	f := &Front{cancelKeys: pcg.New(seed), loop: l, handler: handler, ids: ids}
	f.SetMethods(methods, sessions, keyed)
	var err error
	f.connections, err = front.Listen(l, address, pgwire.MaxMessageLength+1, limits, handler.Count, func(s *front.Connection) front.Handler {
		return &client{Connection: s, front: f, cancelKey: f.cancelKeys.Uint32()}
	})
	return f, err
}

// SetMethods changes the methods that clients may call. One without a name is not served.
func (f *Front) SetMethods(names []string, sessions, keyed []bool) {
	f.methods, f.sessions, f.keyed = make(map[string]driver.Method), make(map[driver.Method]bool), make(map[driver.Method]bool)
	for i, name := range names {
		if number := driver.Method(i); name != "" {
			f.methods[name], f.sessions[number], f.keyed[number] = number, sessions[i], keyed[i]
		}
	}
}

// busyClient returns the client whose RPC is in service, nil if there is none.
func (f *Front) busyClient(id driver.Client) *client {
	if c, ok := f.connections.Handler(slotmap.Handle(id)).(*client); ok && c.busy {
		return c
	}
	return nil
}

// MemberRequest implements driver.Front. It returns the parts of the client's statement before and after the remaining
// time in its comment.
func (f *Front) MemberRequest(from driver.Client) *driver.MemberRequest {
	c := f.busyClient(from)
	if c == nil {
		return nil
	}
	text := c.Stream.Unread()[c.textOffset : c.messageSize-1]
	c.request.Before, c.request.After = text[:c.budgetSpan[0]], text[c.budgetSpan[1]:]
	return &c.request
}

// Connection implements driver.Front.
func (f *Front) Connection(of driver.Client) driver.Connection {
	return driver.Connection(slotmap.Handle(of).Slot())
}

var readyMessage = pgwire.AppendReady(nil)

// Answer implements driver.Front. It forwards the messages of a member.
func (f *Front) Answer(to driver.Client, a *driver.Answer) {
	f.respond(to, append(a.Parts, readyMessage)...)
}

// PushBack implements driver.Front. The retry delay, if there is one, is the detail of the error, in milliseconds.
func (f *Front) PushBack(to driver.Client, _ driver.Execution, retryAfter time.Duration) {
	detail := -1
	if retryAfter > 0 {
		detail = int((retryAfter + time.Millisecond - 1) / time.Millisecond)
	}
	f.respond(to, pgwire.AppendError(nil, false, codeTooManyConnections, "pushed back", detail), readyMessage)
}

// Abort implements driver.Front.
func (f *Front) Abort(to driver.Client, _ driver.Execution) {
	f.respond(to, pgwire.AppendError(nil, false, codeSystemError, "aborted", -1), readyMessage)
}

// cancel ends the RPC of a client that requested the cancellation over another connection.
func (f *Front) cancel(id driver.Client, cancelKey uint32) {
	if c := f.busyClient(id); c != nil && c.cancelKey == cancelKey {
		f.handler.Count("clients_cancelled")
		f.ids.Leave(c.id, f.loop.Now())
		f.respond(id, pgwire.AppendError(nil, false, codeQueryCanceled, "cancelled", -1), readyMessage)
		f.handler.ClientLeft(c.rpc)
	}
}

// respond sends the response to the client's RPC and ends it. If the RPC is still being admitted, Input consumes the message.
func (f *Front) respond(to driver.Client, parts ...[]byte) {
	c := f.busyClient(to)
	if c == nil {
		return
	}
	c.endRPC()
	c.BeginIdle()
	c.Stream.Send(parts...)
	if c.admitting {
		return
	}
	c.Stream.Skip(c.messageSize)
	c.consumed(c.messageSize)
	c.AfterResponse()
}

// Connections returns the listener's connections.
func (f *Front) Connections() *front.Connections { return f.connections }

// StopAccepting implements driver.Front.
func (f *Front) StopAccepting() { f.connections.StopAccepting() }

// Drain implements driver.Front.
func (f *Front) Drain() { f.connections.Drain() }

// CloseIdle implements driver.Front.
func (f *Front) CloseIdle(idle time.Duration) int { return f.connections.CloseIdle(idle) }

// CloseAll implements driver.Front.
func (f *Front) CloseAll() { f.connections.CloseAll() }

// Open implements driver.Front.
func (f *Front) Open() int { return f.connections.Count() }
