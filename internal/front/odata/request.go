package odata

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/loop"
	"passtack/internal/member"
	"passtack/internal/odata"
	"passtack/internal/slots"
)

// request is one RPC in service, or one that waits for the response to another.
type request struct {
	front         *Front
	http          *httpRequest
	exchange      *exchange // nil once its client has disconnected
	batchIndex    int       // in the batch of the exchange
	handle        slots.Handle
	rpc           driver.RPC
	id            string
	memberRequest driver.Ask
	ended         bool
	operationRequest
	repeatability
}

// operationRequest is what a request asks for, by its target, header fields and body.
type operationRequest struct {
	resource  odata.Resource
	act       odata.OperationKind
	operation *odata.Operation
	group     driver.Group
	form      driver.Form // of the group's members
	key       odata.Value
	values    map[string]odata.Value // by property

	ifMatch         string
	ifNoneMatch     string
	requiredVersion string // by If-Match, for the statement

	format           string // the media type of the response
	minimalMetadata  bool   // rather than none
	returnPreference string // of a write: minimal, representation or none
}

// repeatability is what the client says of repeats of a request, and their state.
type repeatability struct {
	idempotencyKey  string // "": not repeatable
	repeatabilityID string
	firstSent       time.Duration
	entry           *idempotency.Entry // of this request, if it is repeatable
	joinedEntry     *idempotency.Entry // of the request whose response it waits for
	joinTimeout     loop.Timer
}

// send hands the request to the driver, unless it can be answered here. A read must see what was committed up to minPosition.
func (f *Front) send(req *request, deadline, minPosition time.Duration, method driver.Method) {
	now := f.loop.Now()
	if req.handle = f.requests.Insert(req); req.handle == 0 {
		req.finish(idempotency.NotRun, pushBackResponse(0), 0)
		return
	}
	token := ""
	if req.idempotencyKey != "" {
		if !f.checkIdempotency(req, now, deadline) {
			return
		}
		deadline = min(deadline, req.entry.Deadline)
		token = idempotencyToken(req.idempotencyKey, req.repeatabilityID)
	}
	req.id = f.newID()
	if token == "" && req.act.Writes() {
		token = req.id
	}
	f.activeIDs[req.id] = true
	position := req.requiredPosition(minPosition)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request received", "id", req.id, "client", req.handle, "method", f.methods[method], "left_ms", (deadline - now).Milliseconds())
	}
	req.encode(method, token, position)
	sinceCommit := time.Duration(0)
	if position > 0 {
		sinceCommit = max(1, f.handler.MembersNow()-position)
	}
	req.rpc = f.handler.Take(f, driver.Client(req.handle), method, req.group, req.session(), req.http.receivedAt, deadline, sinceCommit, false)
}

// session returns the client's session: the one that it names, else that of the entity's key, 0 without either.
func (req *request) session() driver.Session {
	if name := req.http.fields.Text("session-id"); name != "" {
		return front.SessionOf([]byte(name))
	}
	if req.key.Text == "" {
		return 0
	}
	return front.SessionOf([]byte(req.key.Text))
}

// requiredPosition returns the position that a read must see: the client's or minPosition. It is 0 for a write.
func (req *request) requiredPosition(minPosition time.Duration) time.Duration {
	if req.act.Writes() {
		return 0
	}
	text := req.http.fields.Text("session-position")
	return max(member.PlausiblePosition([]byte(text), req.front.handler.MembersNow(), 0), minPosition)
}

// newID returns an id that no RPC in service has.
func (f *Front) newID() string {
	for {
		id := fmt.Sprintf("%08x%08x", uint32(f.random.Uint32()), uint32(f.random.Uint32()))
		if !f.activeIDs[id] {
			return id
		}
	}
}

// finish ends the request with its response, and those that wait for it.
func (req *request) finish(outcome idempotency.Outcome, r *response, position time.Duration) {
	if req.ended {
		return
	}
	f := req.front
	req.ended = true
	f.requests.Remove(req.handle)
	f.loop.Cancel(req.joinTimeout)
	if req.id != "" {
		delete(f.activeIDs, req.id)
	}
	if req.joinedEntry != nil {
		req.joinedEntry.RemoveWaiter(uint32(req.handle))
	}
	if req.entry != nil {
		r.fields = httpwire.AppendField(r.fields, "Repeatability-Result", "accepted")
		for _, h := range f.registry.Finish(req.entry, outcome, encodeResponse(r, f.config.Idempotency.MaxBytes/8), f.loop.Now()) {
			if waiter := f.requests.Get(slots.Handle(h)); waiter != nil {
				waiter.joinedEntry = nil
				waiter.finish(outcome, r, position)
			}
		}
	}
	switch w := req.exchange; {
	case w == nil:
	case w.batch != nil:
		w.batch.itemEnded(req, outcome, r, position)
	default:
		w.finish(r)
	}
}

// abandon ends a request whose client has disconnected. A repeatable one stays in service while an attempt is in flight, so that
// a repeat gets its outcome; no further attempt is made unless another request waits for it.
func (req *request) abandon() {
	if req.ended {
		return
	}
	f := req.front
	if req.exchange = nil; req.entry != nil {
		f.handler.Count("repeats_left_running")
		req.stopRetries()
		return
	}
	req.ended = true
	f.requests.Remove(req.handle)
	f.loop.Cancel(req.joinTimeout)
	delete(f.activeIDs, req.id)
	if req.joinedEntry != nil {
		req.joinedEntry.RemoveWaiter(uint32(req.handle))
		if runner := f.requests.Get(slots.Handle(req.joinedEntry.Runner)); runner != nil {
			runner.stopRetries()
		}
		return
	}
	f.handler.ClientLeft(req.rpc)
}

// stopRetries prevents further attempts of a request that nobody waits for.
func (req *request) stopRetries() {
	if req.exchange == nil && len(req.entry.Waiters) == 0 {
		req.front.handler.ClientParts(req.rpc)
	}
}
