package pg

import (
	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/pgwire"
)

// SQLSTATE codes of errors that are sent to clients.
const (
	codeProtocolViolation   = "08P01"
	codeFeatureNotSupported = "0A000"
	codeTooManyConnections  = "53300"
	codeQueryCanceled       = "57014"
	codeCannotConnectNow    = "57P03"
	codeSystemError         = "58000"
)

// maxMessagesWithoutRPC is how many messages without a valid RPC a client may send.
const maxMessagesWithoutRPC = 8

// queryTextOffset is the offset of a query's text in its message, which starts with the kind and the length.
const queryTextOffset = 5

// client is one client connection. It serves one RPC at a time, whose message stays in the stream's buffer until the RPC ends.
// It implements front.Handler.
type client struct {
	*front.Connection
	front              *Front
	started            bool // the startup message was answered
	cancelKey          uint32
	messagesWithoutRPC int

	busy         bool // an RPC is in service
	admitting    bool // the RPC is being admitted: the call of Take has not returned
	rpc          driver.RPC
	id           string
	request      driver.MemberRequest
	messageSize  int    // bytes of the RPC's message
	textOffset   int    // of the statement in the message
	budgetSpan   [2]int // start and end of the remaining time in the statement
	checkedBytes int    // bytes of the unread messages that are known to be supported
}

// Busy implements front.Handler.
func (c *client) Busy() bool { return c.busy }

// RejectIncomplete implements front.Handler.
func (c *client) RejectIncomplete() {
	c.reject(codeProtocolViolation, "half of a message came and no more")
}

// RejectUnstarted implements front.Handler.
func (c *client) RejectUnstarted() {
	c.Stream.Send(pgwire.AppendError(nil, true, codeCannotConnectNow, "the driver is shutting down", -1))
	c.Close(front.ClosedShutdown)
}

// Opened implements eventloop.Handler.
func (c *client) Opened() {}

// Closed implements eventloop.Handler.
func (c *client) Closed(cause error) {
	c.Connection.Release(cause)
	c.leave()
}

// Panicked implements eventloop.Handler. The client gets an error, as the RPC in service may have run.
func (c *client) Panicked(cause error) {
	if !c.Ended {
		c.Stream.Send(pgwire.AppendError(nil, true, codeSystemError, "aborted", -1))
	}
	c.abandon()
	c.Close(front.ClosedPanic)
}

// HalfClosed implements eventloop.HalfCloser. It returns a parameter status message, which a client that still reads ignores.
func (c *client) HalfClosed(pending bool) []byte {
	if !c.started || c.Ended || !c.busy && !pending && len(c.Stream.Unread()) == 0 {
		return nil
	}
	if c.busy {
		c.front.handler.ClientHalfClosed(c.rpc)
	}
	return pgwire.AppendParameter(nil, "client_encoding", "UTF8")
}

// Input implements eventloop.Handler. It takes one message at a time.
func (c *client) Input(in []byte) int {
	size := c.takeMessage(in)
	c.consumed(size)
	return size
}

// consumed records that bytes at the start of the input were consumed.
func (c *client) consumed(size int) { c.checkedBytes = max(c.checkedBytes-size, 0) }

func (c *client) takeMessage(in []byte) int {
	if c.Ended {
		return len(in)
	}
	if c.busy {
		c.checkPipelined(in)
		return 0
	}
	if !c.BeginRead() {
		return 0
	}
	if !c.started {
		return c.startup(in)
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		c.reject(codeProtocolViolation, err.Error())
		return len(in)
	}
	if !supported(kind) {
		c.reject(codeProtocolViolation, "only simple queries are served")
		return len(in)
	}
	if size == 0 {
		return 0
	}
	if kind == 'X' {
		c.Close(front.ClosedByClient)
		return len(in)
	}
	text, ok := pgwire.QueryText(body)
	if !ok {
		c.reject(codeProtocolViolation, "a query without its end")
		return len(in)
	}
	return c.query(text, size)
}

// supported reports whether messages of the kind are supported. Kind 0 stands for an incomplete header.
func supported(kind byte) bool { return kind == 'Q' || kind == 'X' || kind == 0 }

// checkPipelined checks the messages received after the RPC in service. An unsupported one closes the connection at once.
func (c *client) checkPipelined(in []byte) {
	for c.checkedBytes < len(in) {
		kind, _, size, err := pgwire.Next(in[c.checkedBytes:])
		if err != nil || !supported(kind) {
			c.reject(codeProtocolViolation, "what came behind the query cannot be read")
			return
		}
		if size == 0 {
			return
		}
		c.checkedBytes += size
	}
}

// startup handles a message before the session: a request for encryption, a cancellation, or the startup message.
func (c *client) startup(in []byte) int {
	code, size, err := pgwire.First(in)
	switch {
	case err != nil:
		c.reject(codeProtocolViolation, err.Error())
		return len(in)
	case size == 0:
		return 0
	case (code == pgwire.TLS || code == pgwire.GSS) && c.messagesWithoutRPC < maxMessagesWithoutRPC:
		c.messagesWithoutRPC++
		c.Stream.Send([]byte{'N'})
	case code == pgwire.Cancel:
		if process, cancelKey, ok := pgwire.ParseCancelRequest(in[:size]); ok {
			c.front.cancel(driver.Client(process), cancelKey)
		}
		c.Close(front.ClosedByClient)
	case code>>16 != pgwire.Version3>>16:
		c.reject(codeFeatureNotSupported, "only version 3 of the protocol is spoken")
	default:
		c.started = true
		c.Stream.Send(pgwire.AppendAuthenticationOK(nil, uint32(c.Handle), c.cancelKey))
	}
	return size
}

// reject answers a violation of the protocol and closes the connection, even if an RPC is in service on it.
func (c *client) reject(code, message string) {
	c.front.handler.Count("clients_rejected")
	c.leave()
	c.Stream.Send(pgwire.AppendError(nil, true, code, message, -1))
	c.Close(front.ClosedUnreadable)
}

// rejectMessage answers a message without a valid RPC. The connection is closed if the client sends too many of them.
func (c *client) rejectMessage(message string) {
	c.front.handler.Count("clients_invalid_messages")
	if c.messagesWithoutRPC++; c.messagesWithoutRPC > maxMessagesWithoutRPC {
		c.reject(codeProtocolViolation, message)
		return
	}
	c.Stream.Send(pgwire.AppendError(nil, false, codeProtocolViolation, message, -1), pgwire.AppendReady(nil))
}

// leave ends the RPC in service, if there is one, without an answer. Its id is not to run again.
func (c *client) leave() {
	if c.busy {
		c.front.ids.Leave(c.id, c.front.loop.Now())
	}
	c.abandon()
}

// abandon ends the RPC in service, if there is one, as its client has disconnected.
func (c *client) abandon() {
	if c.busy {
		c.endRPC()
		c.front.handler.ClientLeft(c.rpc)
	}
}

func (c *client) endRPC() {
	c.busy = false
	c.Connection.EndRequest()
	c.front.ids.End(c.id)
}
