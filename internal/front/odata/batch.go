package odata

import (
	"time"

	"passtack/internal/batch"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/loop"
	"passtack/internal/odata"
)

// batchWork is a batch under way.
type batchWork struct {
	work    *work
	front   *Front
	batch   *odata.Batch
	plan    *batch.Plan
	errands []*errand // nil where an item has its answer without one
	replies []*reply
	pumping bool
	overdue loop.Due
}

const mostDefault = 30 * time.Second // that a batch may last whose client does not say

// batch begins a batch.
func (f *Front) batch(w *work, q *question) {
	parsed, err := odata.ParseBatch(q.fields.Text("content-type"), q.body, odata.BatchLimits{Items: f.offer.MaxBatch, HTTP: f.offer.HTTP})
	if err != nil {
		w.finish(failure(err))
		return
	}
	f.clerk.Count("batches_taken")
	b := &batchWork{work: w, front: f, batch: parsed, errands: make([]*errand, len(parsed.Items)), replies: make([]*reply, len(parsed.Items))}
	w.batch = b
	items, lasts := make([]batch.Item, len(parsed.Items)), time.Duration(0)
	for i := range parsed.Items {
		if err := b.prepare(i); err != nil {
			b.replies[i] = err
		}
		items[i] = batch.Item{Needs: parsed.Items[i].Needs, Void: b.replies[i] != nil && b.replies[i].status >= 400}
		if e := b.errands[i]; e != nil {
			items[i].Write, items[i].Group, items[i].Soft = e.act.Writes(), e.group, e.operation.Soft
			lasts += e.operation.Most
		}
	}
	until := f.until(q, min(max(lasts, time.Second), mostDefault))
	goOn := preference(q.fields, "continue-on-error")
	if b.plan, err = plan(items, parsed.Ordered, goOn == "true", f.offer.MaxConcurrent, until); err != nil {
		w.finish(failure(err))
		return
	}
	b.overdue = f.loop.At(until, b.pump)
	b.pump()
}

func plan(items []batch.Item, ordered, goOn bool, abreast int, until time.Duration) (*batch.Plan, *odata.Error) {
	p, err := batch.New(items, ordered, goOn, abreast, until)
	if err != nil {
		return nil, fault(400, "BadRequest", "%v", err)
	}
	return p, nil
}

// prepare judges one item; it gives its answer where nothing has to be sent.
func (b *batchWork) prepare(i int) *reply {
	item := &b.batch.Items[i]
	if item.Fault != nil {
		return failure(item.Fault)
	}
	target := item.Target
	if to, rest, ok := b.batch.Reference(target); ok { // to what an earlier one creates, whose key it brings
		e := b.errands[to]
		if e == nil || e.act != odata.Create {
			return failure(fault(400, "BadRequest", "%s refers to what creates nothing", target))
		}
		target = e.resource.Set.Name + "(" + odata.Encode(odata.KeyOf(e.key)) + ")" + rest
	}
	e, done := b.front.judge(&question{verb: item.Verb, target: target, fields: item.Fields, body: item.Body, inner: true})
	if done != nil {
		return done
	}
	e.work, e.index = b.work, i
	b.errands[i] = e
	return nil
}

// pump sends what may go now, and answers the whole once each item has its answer.
func (b *batchWork) pump() {
	if b.pumping || b.work == nil {
		return
	}
	b.pumping = true
	f := b.front
	for i, until, floor, ok := b.plan.Next(f.loop.Now()); ok; i, until, floor, ok = b.plan.Next(f.loop.Now()) {
		e := b.errands[i]
		if e == nil { // a document, which is known
			b.plan.Ended(i, batch.OK, 0, f.loop.Now())
			continue
		}
		method := e.operation.Method
		if floor > 0 {
			method = e.operation.AfterWrite
		}
		e.question.came = f.loop.Now() // it waited for others of the batch, by the client's own wish
		f.send(e, until, floor, method)
		if b.work == nil {
			return
		}
	}
	b.pumping = false
	if !b.plan.Done() {
		return
	}
	answers := make([]odata.InnerAnswer, len(b.replies))
	for i, r := range b.replies {
		if r == nil {
			r = skipped(b.plan.Skipped(i))
		}
		answers[i] = odata.InnerAnswer{Status: r.status, Fields: r.fields, Body: r.body}
	}
	media, body := b.batch.Render(answers)
	f.loop.Forget(b.overdue)
	w := b.work
	b.work = nil
	w.finish(&reply{200, httpwire.AppendField(nil, "Content-Type", media), body})
}

func skipped(why batch.Skip) *reply {
	switch why {
	case batch.Needed:
		return failure(fault(424, "FailedDependency", "not sent: a request that this one depends on was not done"))
	case batch.Stopped:
		return failure(fault(424, "FailedDependency", "not sent: an earlier request of the batch was not done"))
	}
	return failure(fault(503, "PushedBack", "not sent: the time of the batch is over"))
}

// ended takes the answer of one item.
func (b *batchWork) ended(e *errand, how idempotency.Outcome, r *reply, position time.Duration) {
	if b.work == nil {
		return
	}
	b.replies[e.index] = r
	end := batch.OK
	switch {
	case how == idempotency.NotRun:
		end = batch.Refused
	case how == idempotency.Uncertain:
		end = batch.Aborted
	case r.status >= 400:
		end = batch.Refused
	}
	b.plan.Ended(e.index, end, position, b.front.loop.Now())
	b.pump()
}

// leave ends a batch whose client has left: what was not sent never is.
func (b *batchWork) leave() {
	b.work = nil
	b.front.loop.Forget(b.overdue)
	for i, e := range b.errands {
		if e != nil && b.replies[i] == nil && (e.rpc != 0 || e.joined != nil) {
			e.leave()
		}
	}
}
