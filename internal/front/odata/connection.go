package odata

import (
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// connection is one client's connection. It serves one request at a time. It implements front.Handler.
type connection struct {
	*front.Connection
	front        *Front
	exchange     *exchange // nil: none
	sentContinue bool      // for the request that is being received
	parser       httpwire.Parser
}

// exchange is one request on a connection and its response: a single request or a batch.
type exchange struct {
	connection *connection // nil once the client has disconnected
	omitBody   bool        // the request is HEAD
	closeAfter bool        // the connection is closed after the response
	version    string
	batch      *batchRun
	request    *request
	starting   bool // serve has not returned yet, so Input has not consumed the request
}

// Busy implements front.Handler.
func (c *connection) Busy() bool { return c.exchange != nil }

// Opened implements eventloop.Handler.
func (c *connection) Opened() {}

// RejectIncomplete implements front.Handler.
func (c *connection) RejectIncomplete() {
	c.reject(&httpwire.Fault{Status: 408, Reason: "half of a request came and no more"})
}

// RejectUnstarted implements front.Handler.
func (c *connection) RejectUnstarted() {
	c.Stream.Send(c.front.encodeMessage(pushBackResponse(0), "4.01", false, true))
	c.Close(front.ClosedShutdown)
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(cause error) {
	c.Connection.Release(cause)
	c.abandon()
}

// abandon ends the exchange in service, if there is one, after its client has disconnected. Repeatable requests continue without
// their client.
func (c *connection) abandon() {
	e := c.exchange
	if e == nil {
		return
	}
	c.exchange, e.connection = nil, nil
	c.Connection.EndRequest()
	if e.batch != nil {
		e.batch.abandon()
	} else if e.request != nil {
		e.request.abandon()
	}
}

// Panicked implements eventloop.Handler. The client gets the response for a request that failed and may
// have run.
func (c *connection) Panicked(cause error) {
	if !c.Ended {
		c.Stream.Send(c.front.encodeMessage(abortResponse(), "4.01", false, true))
	}
	c.abandon()
	c.Close(front.ClosedPanic)
}

// reject answers a violation of the protocol and closes the connection.
func (c *connection) reject(fault *httpwire.Fault) {
	c.front.handler.Count("clients_rejected")
	c.abandon()
	c.Stream.Send(c.front.encodeMessage(errorResponse(&odata.Error{Status: fault.Status, Code: "BadRequest", Text: fault.Reason}), "4.01", false, true))
	c.Close(front.ClosedUnreadable)
}

// Input implements eventloop.Handler. It takes one request at a time.
func (c *connection) Input(in []byte) int {
	if c.Ended {
		return len(in)
	}
	if c.exchange != nil || !c.BeginRead() {
		return 0
	}
	f := c.front
	r, fault := c.parser.Next(in, f.config.HTTP)
	if fault != nil {
		c.reject(fault)
		return len(in)
	}
	if r.Size == 0 {
		if r.Continue && !c.sentContinue {
			c.sentContinue = true
			c.Stream.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return 0
	}
	c.sentContinue = false
	c.serve(&r)
	return r.Size
}

// serve starts a request. It may be answered during the call.
func (c *connection) serve(r *httpwire.Request) {
	f := c.front
	e := &exchange{connection: c, omitBody: string(r.Verb) == "HEAD", closeAfter: r.CloseAfter, version: "4.01", starting: true}
	c.BeginRequest()
	c.exchange = e
	httpReq := &httpRequest{verb: string(r.Verb), target: string(r.Target), fields: r.Fields, body: r.Body, receivedAt: c.Stream.ArrivedAt(r.Size)}
	if httpReq.fields.Text("odata-maxversion") == "4.0" {
		e.version = "4.0"
	}
	req, immediate := f.validate(httpReq)
	switch {
	case immediate != nil:
		e.finish(immediate)
	case req.resource.Kind == odata.BatchResource:
		f.serveBatch(e, httpReq)
	default:
		req.exchange, e.request = e, req
		f.send(req, f.deadline(httpReq, req.operation.MaxDeadline), 0, req.operation.Method)
	}
	e.starting = false
}

// finish sends the response on its connection.
func (e *exchange) finish(r *response) {
	c := e.connection
	if c == nil {
		return
	}
	f := c.front
	c.exchange, e.connection = nil, nil
	c.Connection.EndRequest()
	c.BeginIdle()
	c.Stream.Send(f.encodeMessage(r, e.version, e.omitBody, e.closeAfter))
	if e.closeAfter {
		c.Close(front.ClosedByClient)
	} else if !e.starting {
		c.AfterResponse()
	}
}
