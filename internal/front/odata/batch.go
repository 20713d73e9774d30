package odata

import (
	"time"

	"passtack/internal/batch"
	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/odata"
)

// batchRun is a batch in service, with the requests and responses of its items.
type batchRun struct {
	exchange  *exchange
	front     *Front
	batch     *odata.Batch
	plan      *batch.Plan
	requests  []*request // nil for a request answered without an RPC
	responses []*response
	sending   bool // sendReady is running; calls from within it return at once
	timeout   eventloop.Timer
}

// maxBatchDefault bounds the duration of a batch whose client sets no deadline.
const maxBatchDefault = 30 * time.Second

// serveBatch parses a batch, prepares its requests and sends those that are ready.
func (f *Front) serveBatch(e *exchange, httpReq *httpRequest) {
	parsed, err := odata.ParseBatch(httpReq.fields.Text("content-type"), httpReq.body, odata.BatchLimits{Items: f.config.MaxBatch, HTTP: f.config.HTTP})
	if err != nil {
		e.finish(errorResponse(err))
		return
	}
	f.handler.Count("batches_taken")
	b := &batchRun{exchange: e, front: f, batch: parsed, requests: make([]*request, len(parsed.Items)), responses: make([]*response, len(parsed.Items))}
	e.batch = b
	items, duration := make([]batch.Item, len(parsed.Items)), time.Duration(0)
	for i := range parsed.Items {
		if err := b.prepare(i); err != nil {
			b.responses[i] = err
		}
		items[i] = batch.Item{DependsOn: parsed.Items[i].DependsOn, Answered: b.responses[i] != nil && b.responses[i].status >= 400}
		if req := b.requests[i]; req != nil {
			items[i].Write, items[i].Group, items[i].Expected = req.operationKind.Writes(), req.group, req.operation.SoftDeadline
			duration += req.operation.MaxDeadline
		}
	}
	deadline := f.deadline(httpReq, min(max(duration, time.Second), maxBatchDefault))
	continueOnError := preference(httpReq.fields, "continue-on-error")
	if b.plan, err = newPlan(items, parsed.Ordered, continueOnError == "true", f.config.MaxConcurrent, deadline); err != nil {
		e.finish(errorResponse(err))
		return
	}
	b.timeout = f.loop.At(deadline, b.sendReady)
	b.sendReady()
}

// newPlan returns the plan of the order in which the requests of a batch are sent.
func newPlan(items []batch.Item, ordered, continueOnError bool, maxConcurrent int, deadline time.Duration) (*batch.Plan, *odata.Error) {
	p, err := batch.New(items, ordered, continueOnError, maxConcurrent, deadline)
	if err != nil {
		return nil, newError(400, "BadRequest", "%v", err)
	}
	return p, nil
}

// prepare validates one request of the batch. It returns the response if no RPC is needed, else nil.
func (b *batchRun) prepare(i int) *response {
	item := &b.batch.Items[i]
	if item.Fault != nil {
		return errorResponse(item.Fault)
	}
	target := item.Target
	if index, rest, ok := b.batch.Reference(target); ok { // a reference to an entity that an earlier request of the batch creates
		req := b.requests[index]
		if req == nil || req.operationKind != odata.Create {
			return errorResponse(newError(400, "BadRequest", "%s refers to what creates nothing", target))
		}
		target = req.resource.Set.Name + "(" + odata.Encode(odata.KeyOf(req.key)) + ")" + rest
	}
	req, immediate := b.front.validate(&httpRequest{verb: item.Verb, target: target, fields: item.Fields, body: item.Body, inBatch: true})
	if immediate != nil {
		return immediate
	}
	req.exchange, req.batchIndex = b.exchange, i
	b.requests[i] = req
	return nil
}

// sendReady sends the requests that may be sent now, and answers the batch once each of its requests has a response.
func (b *batchRun) sendReady() {
	if b.sending || b.exchange == nil {
		return
	}
	b.sending = true
	f := b.front
	for i, deadline, minPosition, ok := b.plan.Next(f.loop.Now()); ok; i, deadline, minPosition, ok = b.plan.Next(f.loop.Now()) {
		req := b.requests[i]
		if req == nil { // answered without an RPC
			b.plan.Complete(i, batch.OK, 0, f.loop.Now())
			continue
		}
		method := req.operation.Method
		if minPosition > 0 {
			method = req.operation.AfterWrite
		}
		req.http.receivedAt = f.loop.Now() // the wait for other requests of the batch does not count
		f.send(req, deadline, minPosition, method)
		if b.exchange == nil {
			return
		}
	}
	b.sending = false
	if !b.plan.Done() {
		return
	}
	answers := make([]odata.BatchAnswer, len(b.responses))
	for i, r := range b.responses {
		if r == nil {
			r = skippedResponse(b.plan.Skipped(i))
		}
		answers[i] = odata.BatchAnswer{Status: r.status, Fields: r.fields, Body: r.body}
	}
	media, body := b.batch.Render(answers)
	f.loop.Cancel(b.timeout)
	e := b.exchange
	b.exchange = nil
	e.finish(&response{200, httpwire.AppendField(nil, "Content-Type", media), body})
}

// skippedResponse returns the response to a request of a batch that was never sent.
func skippedResponse(reason batch.SkipReason) *response {
	switch reason {
	case batch.DependencyFailed:
		return errorResponse(newError(424, "FailedDependency", "not sent: a request that this one depends on was not done"))
	case batch.EarlierFailed:
		return errorResponse(newError(424, "FailedDependency", "not sent: an earlier request of the batch was not done"))
	}
	return errorResponse(newError(503, "PushedBack", "not sent: the time of the batch is over"))
}

// itemEnded records the response to one request of the batch, and sends the requests that have become ready.
func (b *batchRun) itemEnded(req *request, outcome idempotency.Outcome, r *response, position time.Duration) {
	if b.exchange == nil {
		return
	}
	b.responses[req.batchIndex] = r
	itemOutcome := batch.OK
	switch {
	case outcome == idempotency.NotRun:
		itemOutcome = batch.NotRun
	case outcome == idempotency.Uncertain:
		itemOutcome = batch.Uncertain
	case r.status >= 400:
		itemOutcome = batch.NotRun
	}
	b.plan.Complete(req.batchIndex, itemOutcome, position, b.front.loop.Now())
	b.sendReady()
}

// abandon ends a batch whose client has disconnected. Requests that were not sent are dropped.
func (b *batchRun) abandon() {
	b.exchange = nil
	b.front.loop.Cancel(b.timeout)
	for i, req := range b.requests {
		if req != nil && b.responses[i] == nil && (req.rpc != 0 || req.joinedEntry != nil) {
			req.abandon()
		}
	}
}
