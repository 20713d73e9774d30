// Package odata is the front for clients that speak OData 4.01 in JSON over HTTP/1.1. Each request is one RPC, each
// inner request of a batch too.
package odata

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/loop"
	"passtack/internal/odata"
	"passtack/internal/pcg"
	"passtack/internal/slots"
)

// Front is one listener.
type Front struct {
	loop        *loop.Loop
	clerk       driver.Clerk
	connections *front.Connections
	offer       *config.OData
	methods     []string // by number, as statements name them
	members     string   // the root that members serve under
	errands     slots.Table[*errand]
	open        front.Ids
	memory      *idempotency.Registry
	chance      *pcg.Source
	second      time.Duration // that now was made in
	now         string
}

// Listen starts to take clients in.
func Listen(l *loop.Loop, clerk driver.Clerk, at netip.AddrPort, door loop.Door, open front.Ids, offer *config.OData,
	methods []string, members string, seed uint64) (*Front, error) {
	f := &Front{
		loop: l, clerk: clerk, open: open, methods: methods, members: members, memory: idempotency.New(l.Now()), chance: pcg.New(seed),
	}
	f.Offer(offer)
	var err error
	f.connections, err = front.Listen(l, at, most(offer), door, clerk.Count, func(s *front.Connection) front.Handler {
		return &conn{Connection: s, front: f}
	})
	return f, err
}

// most is how many bytes one connection may bring that are not taken: a request whose body comes in small chunks.
func most(offer *config.OData) int { return offer.HTTP.Head + 2*offer.HTTP.Body }

// Offer changes what is offered and its limits. What is under way goes on as it began.
func (f *Front) Offer(offer *config.OData) {
	f.offer = offer
	if f.connections != nil {
		f.connections.Bear(most(offer))
	}
	f.memory.Sticky, f.memory.Retention = offer.Idempotency.Sticky, offer.Idempotency.TTL
	f.memory.MaxBytes, f.memory.MaxInProgress = offer.Idempotency.MaxBytes, offer.Idempotency.MaxPending
}

// Methods changes the names of methods, by number. What is under way keeps its numbers.
func (f *Front) Methods(names []string) { f.methods = names }

// Repeats gives what it remembers of repeatable requests.
func (f *Front) Repeats() *idempotency.Registry { return f.memory }

// Connections gives those that it holds.
func (f *Front) Connections() *front.Connections { return f.connections }

// conn is one connection; one request of it is served at a time, and what comes behind waits.
type conn struct {
	*front.Connection
	front     *Front
	served    *work // nil: none
	continued bool  // the client was told to send the body
}

// work is one request on a connection: a single one, or a batch.
type work struct {
	conn    *conn // nil once the client has left
	head    bool  // no body is wanted
	last    bool  // the connection ends behind it
	version string
	batch   *batchWork
	errand  *errand
	asking  bool // the answer may come while it is being asked for
}

// Asking reports whether a request of the connection is being served.
func (c *conn) Asking() bool { return c.served != nil }

// Opened implements loop.Handler.
func (c *conn) Opened() {}

// Half answers half of a request that nothing follows.
func (c *conn) Half() {
	c.fail(&httpwire.Fault{Status: 408, Reason: "half of a request came and no more"})
}

// Refuse answers what was read and not begun.
func (c *conn) Refuse() {
	c.Stream.Send(c.front.message(pushedBack(0), "4.01", false, true))
	c.Close(front.ClosedShutdown)
}

// Closed implements loop.Handler.
func (c *conn) Closed(cause error) {
	c.Connection.Leave(cause)
	c.letGo()
}

// letGo tells that nobody waits any more. What the client may ask for again goes on without it.
func (c *conn) letGo() {
	w := c.served
	if w == nil {
		return
	}
	c.served, w.conn = nil, nil
	c.Connection.Served()
	if w.batch != nil {
		w.batch.leave()
	} else if w.errand != nil {
		w.errand.leave()
	}
}

// Panicked ends what was being served: it may have run.
func (c *conn) Panicked(cause error) {
	if !c.Gone {
		c.Stream.Send(c.front.message(aborted(), "4.01", false, true))
	}
	c.letGo()
	c.Close(front.ClosedPanic)
}

// fail answers what cannot be read and ends the connection.
func (c *conn) fail(fault *httpwire.Fault) {
	c.front.clerk.Count("clients_refused")
	c.letGo()
	c.Stream.Send(c.front.message(failure(&odata.Error{Status: fault.Status, Code: "BadRequest", Text: fault.Reason}), "4.01", false, true))
	c.Close(front.ClosedUnreadable)
}

// Input implements loop.Handler: it reads one request at a time.
func (c *conn) Input(in []byte) int {
	if c.Gone {
		return len(in)
	}
	if c.served != nil || !c.Hears() {
		return 0
	}
	f := c.front
	r, fault := httpwire.Next(in, f.offer.HTTP)
	if fault != nil {
		c.fail(fault)
		return len(in)
	}
	if r.Size == 0 {
		if r.Continue && !c.continued {
			c.continued = true
			c.Stream.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return 0
	}
	c.continued = false
	c.serve(&r)
	return r.Size
}

// serve begins a request. Its answer may come at once.
func (c *conn) serve(r *httpwire.Request) {
	f := c.front
	w := &work{conn: c, head: string(r.Verb) == "HEAD", last: r.Last, version: "4.01", asking: true}
	c.Serve()
	c.served = w
	q := &question{verb: string(r.Verb), target: string(r.Target), fields: r.Fields, body: r.Body, came: c.Stream.Came(r.Size)}
	if q.fields.Text("odata-maxversion") == "4.0" {
		w.version = "4.0"
	}
	e, done := f.judge(q)
	switch {
	case done != nil:
		w.finish(done)
	case e.resource.Kind == odata.BatchOf:
		f.batch(w, q)
	default:
		e.work, w.errand = w, e
		f.send(e, f.until(q, e.operation.Most), 0, e.operation.Method)
	}
	w.asking = false
}

// finish answers the request on its connection.
func (w *work) finish(r *reply) {
	c := w.conn
	if c == nil {
		return
	}
	f := c.front
	c.served, w.conn = nil, nil
	c.Connection.Served()
	c.Wait()
	c.Stream.Send(f.message(r, w.version, w.head, w.last))
	if w.last {
		c.Close(front.ClosedByClient)
	} else if !w.asking {
		c.Rest()
	}
}

// reply is an answer but for what every answer has.
type reply struct {
	status int
	fields []byte
	body   []byte
}

// message writes a whole answer.
func (f *Front) message(r *reply, version string, head, last bool) []byte {
	out := make([]byte, 0, 256+len(r.fields)+len(r.body))
	out = httpwire.AppendStatus(out, r.status)
	out = httpwire.AppendField(out, "Date", f.date())
	out = httpwire.AppendField(out, "OData-Version", version)
	out = append(out, r.fields...)
	if last {
		out = httpwire.AppendField(out, "Connection", "close")
	}
	if r.status == 204 || r.status == 304 {
		return append(out, "\r\n"...)
	}
	out = httpwire.AppendLength(out, len(r.body))
	if head {
		return out
	}
	return append(out, r.body...)
}

// date is the time in HTTP's form, made once a second.
func (f *Front) date() string {
	if second := f.loop.Now() / time.Second; second != f.second {
		f.second, f.now = second, time.Unix(int64(second), 0).UTC().Format(http.TimeFormat)
	}
	return f.now
}

func failure(e *odata.Error) *reply {
	return &reply{e.Status, httpwire.AppendField(nil, "Content-Type", "application/json"), e.Body()}
}

func pushedBack(comeBack time.Duration) *reply {
	r := failure(&odata.Error{Status: 503, Code: "PushedBack", Text: "not done now; asking again does no harm"})
	if comeBack > 0 {
		r.fields = httpwire.AppendField(r.fields, "Retry-After", fmt.Sprint(int((comeBack+time.Second-1)/time.Second)))
		r.fields = httpwire.AppendField(r.fields, "Retry-After-Ms", fmt.Sprint(int((comeBack+time.Millisecond-1)/time.Millisecond)))
	}
	return r
}

func aborted() *reply {
	return failure(&odata.Error{Status: 500, Code: "Aborted", Text: "it failed and may have been done"})
}

// Ask is what the errand asks of a member.
func (f *Front) Ask(from driver.Client) *driver.Ask {
	if e := f.errands.Get(slots.Handle(from)); e != nil {
		return &e.ask
	}
	return nil
}

// Answer renders what a member gave.
func (f *Front) Answer(to driver.Client, a *driver.Answer) {
	if e := f.errands.Get(slots.Handle(to)); e != nil {
		e.end(idempotency.Completed, f.render(e, a), a.Position)
	}
}

// PushBack tells the client that it may ask again, after some time if one is given.
func (f *Front) PushBack(to driver.Client, comeBack time.Duration) {
	if e := f.errands.Get(slots.Handle(to)); e != nil {
		e.end(idempotency.NotRun, pushedBack(comeBack), 0)
	}
}

// Abort tells the client that the RPC failed and may have run.
func (f *Front) Abort(to driver.Client) {
	if e := f.errands.Get(slots.Handle(to)); e != nil {
		e.end(idempotency.Uncertain, aborted(), 0)
	}
}

// Leave implements driver.Front.
func (f *Front) Leave() { f.connections.Leave() }

// Shut implements driver.Front.
func (f *Front) Shut() { f.connections.Shut() }

// Sweep implements driver.Front.
func (f *Front) Sweep(idle time.Duration) int { return f.connections.Sweep(idle) }

// Finish implements driver.Front.
func (f *Front) Finish() { f.connections.Finish() }

// Open implements driver.Front.
func (f *Front) Open() int { return f.connections.Count() }
