// Package odata is the listener side of OData 4.01 in JSON over HTTP/1.1. Each request, alone or in a batch, is one RPC.
package odata

import (
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/front"
	"passtack/internal/idempotency"
	"passtack/internal/pcg"
	"passtack/internal/slotmap"
)

// Front is one listener. It implements driver.Front.
type Front struct {
	loop        *eventloop.Loop
	handler     driver.RPCHandler
	connections *front.Connections
	config      *config.OData
	methods     []string // names in statements, by method number
	memberRoot  string   // root of the paths at members
	requests    slotmap.Map[*request]
	ids         *front.RequestIDs
	registry    *idempotency.Registry
	random      *pcg.Source
	dateSecond  time.Duration // second for which dateText was formatted
	dateText    string
}

// Listen starts a listener for clients. methods holds the method names by number. Members that speak OData serve paths below memberRoot.
// The seed is for the random ids of requests.
func Listen(l *eventloop.Loop, handler driver.RPCHandler, address netip.AddrPort, limits eventloop.AcceptLimiter, ids *front.RequestIDs, settings *config.OData,
	methods []string, memberRoot string, seed uint64) (*Front, error) {
	f := &Front{
		loop: l, handler: handler, ids: ids, methods: methods, memberRoot: memberRoot, registry: idempotency.New(l.Now()), random: pcg.New(seed),
	}
	f.SetConfig(settings)
	var err error
	f.connections, err = front.Listen(l, address, maxUnread(settings), limits, handler.Count, func(s *front.Connection) front.Handler {
		return &connection{Connection: s, front: f}
	})
	return f, err
}

// maxUnread returns how many bytes a connection may have received and not consumed: a body in small chunks takes up to twice its
// size.
func maxUnread(settings *config.OData) int { return settings.HTTP.Head + 2*settings.HTTP.Body }

// SetConfig changes the entity sets, operations and limits. Requests in service keep the former ones.
func (f *Front) SetConfig(settings *config.OData) {
	f.config = settings
	if f.connections != nil {
		f.connections.SetMaxUnread(maxUnread(settings))
	}
	f.registry.Sticky, f.registry.Retention = settings.Idempotency.Sticky, settings.Idempotency.TTL
	f.registry.MaxBytes, f.registry.MaxInProgress = settings.Idempotency.MaxBytes, settings.Idempotency.MaxPending
}

// SetMethods changes the names of the methods, by number. Requests in service keep their method numbers.
func (f *Front) SetMethods(names []string) { f.methods = names }

// Registry returns the registry of repeatable requests.
func (f *Front) Registry() *idempotency.Registry { return f.registry }

// Connections returns the listener's connections.
func (f *Front) Connections() *front.Connections { return f.connections }

// MemberRequest implements driver.Front.
func (f *Front) MemberRequest(from driver.Client) *driver.MemberRequest {
	if req := f.requests.Get(slotmap.Handle(from)); req != nil {
		return &req.memberRequest
	}
	return nil
}

// Connection implements driver.Front.
func (f *Front) Connection(of driver.Client) driver.Connection {
	req := f.requests.Get(slotmap.Handle(of))
	if req == nil || req.exchange == nil || req.exchange.connection == nil {
		return driver.UnknownConnection
	}
	return driver.Connection(req.exchange.connection.Handle.Slot())
}

// Answer implements driver.Front.
func (f *Front) Answer(to driver.Client, a *driver.Answer) {
	if req := f.requests.Get(slotmap.Handle(to)); req != nil {
		req.finish(idempotency.Completed, f.render(req, a), a.Position)
	}
}

// PushBack implements driver.Front.
func (f *Front) PushBack(to driver.Client, execution driver.Execution, retryAfter time.Duration) {
	if req := f.requests.Get(slotmap.Handle(to)); req != nil {
		req.finish(outcomeWithoutAnswer[execution], pushBackResponse(retryAfter), 0)
	}
}

// Abort implements driver.Front.
func (f *Front) Abort(to driver.Client, execution driver.Execution) {
	if req := f.requests.Get(slotmap.Handle(to)); req != nil {
		req.finish(outcomeWithoutAnswer[execution], abortResponse(), 0)
	}
}

// outcomeWithoutAnswer is the outcome of a request that no member answered.
var outcomeWithoutAnswer = [...]idempotency.Outcome{driver.NotRun: idempotency.NotRun, driver.MayHaveRun: idempotency.Uncertain}

// Drain implements driver.Front.
func (f *Front) Drain() { f.connections.Drain() }

// StopAccepting implements driver.Front.
func (f *Front) StopAccepting() { f.connections.StopAccepting() }

// CloseIdle implements driver.Front.
func (f *Front) CloseIdle(idle time.Duration) int { return f.connections.CloseIdle(idle) }

// CloseAll implements driver.Front.
func (f *Front) CloseAll() { f.connections.CloseAll() }

// Open implements driver.Front.
func (f *Front) Open() int { return f.connections.Count() }
