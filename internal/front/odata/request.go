package odata

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/member"
	"passtack/internal/odata"
	"passtack/internal/slotmap"
)

// request is a request in service as one RPC, or one that waits for the response to another request.
type request struct {
	front         *Front
	http          *httpRequest
	exchange      *exchange // nil once its client has disconnected
	batchIndex    int       // index in the batch of the exchange
	handle        slotmap.Handle
	rpc           driver.RPC
	id            string
	memberRequest driver.MemberRequest
	ended         bool
	operationRequest
	repeatability
}

// operationRequest holds the operation that a request asks for, from its target, header fields and body.
type operationRequest struct {
	resource      odata.Resource
	operationKind odata.OperationKind
	operation     *odata.Operation
	group         driver.Group
	form          driver.Form // protocol of the group's members
	key           odata.Value
	values        map[string]odata.Value // by name of the property

	ifMatch         string
	ifNoneMatch     string
	requiredVersion string // version in If-Match, passed to the statement

	format           string // the media type of the response
	minimalMetadata  bool   // odata.metadata is minimal rather than none
	returnPreference string // for a write: minimal, representation or ""
}

// repeatability holds the repeatability fields of a request, and its state in the registry.
type repeatability struct {
	idempotencyKey  string // "": not repeatable
	repeatabilityID string
	firstSent       time.Duration
	entry           *idempotency.Entry // entry of this request, if it is repeatable
	joinedEntry     *idempotency.Entry // entry of the request whose response this request waits for
	joinTimeout     eventloop.Timer
}

// send hands the request to the driver, unless the front can answer it. A read must see all writes committed up to minPosition.
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
	if token == "" && req.operationKind.Writes() {
		token = req.id
	}
	f.ids.Begin(req.id)
	position := req.requiredPosition(minPosition)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request received", "id", req.id, "client", req.handle, "method", f.methods[method], "left_ms", (deadline - now).Milliseconds())
	}
	req.encode(method, token, position)
	sinceCommit := time.Duration(0)
	if position > 0 {
		sinceCommit = max(1, f.handler.MembersNow()-position)
	}
	req.rpc = f.handler.Take(f, driver.Client(req.handle), &driver.IncomingRPC{ // without a key: the registry knows repeats
		Method: method, Group: req.group, Session: req.session(), ArrivedAt: req.http.receivedAt, Deadline: deadline, SinceWrite: sinceCommit,
	})
}

// session returns the client's session: derived from the Session-Id field, else from the entity's key, or 0 without either.
func (req *request) session() driver.Session {
	if name := req.http.fields.Text("session-id"); name != "" {
		return front.SessionOf([]byte(name))
	}
	if req.key.Text == "" {
		return 0
	}
	return front.SessionOf([]byte(req.key.Text))
}

// requiredPosition returns the position that a read must see: the later of Session-Position and minPosition. It is 0 for a write.
func (req *request) requiredPosition(minPosition time.Duration) time.Duration {
	if req.operationKind.Writes() {
		return 0
	}
	text := req.http.fields.Text("session-position")
	return max(member.PlausiblePosition([]byte(text), req.front.handler.MembersNow(), 0), minPosition)
}

// newID returns a random id that no RPC in service uses.
func (f *Front) newID() string {
	for {
		id := fmt.Sprintf("%08x%08x", uint32(f.random.Uint32()), uint32(f.random.Uint32()))
		if !f.ids.Active(id) {
			return id
		}
	}
}

// finish ends the request with its response. Requests that wait for it get the same response.
func (req *request) finish(outcome idempotency.Outcome, r *response, position time.Duration) {
	if req.ended {
		return
	}
	f := req.front
	req.ended = true
	f.requests.Remove(req.handle)
	f.loop.Cancel(req.joinTimeout)
	if req.id != "" {
		f.ids.End(req.id)
	}
	if req.joinedEntry != nil {
		req.joinedEntry.RemoveWaiter(uint32(req.handle))
	}
	if req.entry != nil {
		r.fields = httpwire.AppendField(r.fields, "Repeatability-Result", "accepted")
		for _, h := range f.registry.Finish(req.entry, outcome, encodeResponse(r, f.config.Idempotency.MaxBytes/8), f.loop.Now()) {
			if waiter := f.requests.Get(slotmap.Handle(h)); waiter != nil {
				waiter.joinedEntry = nil
				waiter.finish(outcome, r, position)
			}
		}
	}
	switch e := req.exchange; {
	case e == nil:
	case e.batch != nil:
		e.batch.itemEnded(req, outcome, r, position)
	default:
		e.finish(r)
	}
}

// abandon ends a request whose client has disconnected. A repeatable request stays in service while an attempt is in flight,
// so that a repeat gets its outcome; it is retried only if another request waits for it.
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
	f.ids.End(req.id)
	if req.joinedEntry != nil {
		req.joinedEntry.RemoveWaiter(uint32(req.handle))
		if runner := f.requests.Get(slotmap.Handle(req.joinedEntry.Runner)); runner != nil {
			runner.stopRetries()
		}
		return
	}
	f.handler.ClientLeft(req.rpc)
}

// stopRetries prevents retries of a request unless its own client or another request waits for it.
func (req *request) stopRetries() {
	if req.exchange == nil && len(req.entry.Waiters) == 0 {
		req.front.handler.ClientHalfClosed(req.rpc)
	}
}
