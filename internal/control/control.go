// Package control answers operators' queries about one driver, on a local address of the driver's machine. A client connects, sends a query as
// one line, and receives one JSON value. Queries are read-only.
package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"passtack/internal/eventloop"
)

const (
	maxQueryBytes  = 64
	maxConnections = 8
	receiveTimeout = 2 * time.Second // to receive a complete query
)

// Handlers maps each query to a function that returns the answer, a value that JSON can encode. The functions are called on the event loop.
type Handlers map[string]func() any

// connection is a connection of a client, which may send one query.
type connection struct {
	loop     *eventloop.Loop
	handlers Handlers
	stream   *eventloop.Stream
	timer    eventloop.Timer // closes the connection after receiveTimeout
}

// Listen answers queries at the address until the listener is closed.
func Listen(l *eventloop.Loop, address netip.AddrPort, handlers Handlers) (*eventloop.Listener, error) {
	limiter := eventloop.AcceptLimiter{Descriptors: func(int) int { return maxConnections }}
	return l.Listen(address, maxQueryBytes, limiter, func(open func(eventloop.Handler) *eventloop.Stream) {
		c := &connection{loop: l, handlers: handlers}
		c.stream = open(c)
		if c.stream != nil {
			c.timer = l.At(l.Now()+receiveTimeout, c.close)
		}
	}, func(bool) {})
}

// Opened implements eventloop.Handler.
func (c *connection) Opened() {}

// Panicked implements eventloop.Handler.
func (c *connection) Panicked(error) { c.close() }

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) { c.stopTimer() }

func (c *connection) stopTimer() { c.loop.Cancel(c.timer) }

func (c *connection) close() {
	c.stopTimer()
	c.stream.Close()
}

// Input implements eventloop.Handler.
func (c *connection) Input(in []byte) int {
	line, _, complete := bytes.Cut(in, []byte("\n"))
	if !complete {
		if len(in) >= maxQueryBytes {
			c.close()
		}
		return 0
	}
	answer := c.answer(strings.TrimSpace(string(line)))
	c.stopTimer()
	c.stream.Send(append(answer, '\n'))
	c.stream.CloseWhenSent()
	return len(in)
}

// answer returns the answer to a query, or an object with an error, as JSON.
func (c *connection) answer(query string) []byte {
	var value any
	if handler := c.handlers[query]; handler != nil {
		value = handler()
	} else {
		value = map[string]string{"error": fmt.Sprintf("there is nothing to tell of %q", query)}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Appendf(nil, `{"error":%q}`, err)
	}
	return text
}
