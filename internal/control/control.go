// Package control answers operators' questions about one driver, on an address of the driver's own machine. A client connects, sends a
// question as one line, and receives one JSON value. Questions change nothing.
package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"passtack/internal/loop"
)

const (
	maxQuestionBytes = 64
	maxConnections   = 8
	questionTimeout  = 2 * time.Second // for a complete question
)

// Handlers returns the answer to each question, as a value that JSON can encode. They are called on the event loop.
type Handlers map[string]func() any

// connection is a client that may ask one question.
type connection struct {
	loop     *loop.Loop
	handlers Handlers
	stream   *loop.Stream
	timer    loop.Timer // closes the connection
}

// Listen answers questions at the address until the listener is closed.
func Listen(l *loop.Loop, address netip.AddrPort, handlers Handlers) (*loop.Listener, error) {
	limiter := loop.AcceptLimiter{Descriptors: func(int) int { return maxConnections }}
	return l.Listen(address, maxQuestionBytes, limiter, func(open func(loop.Handler) *loop.Stream) {
		c := &connection{loop: l, handlers: handlers}
		c.stream = open(c)
		if c.stream != nil {
			c.timer = l.At(l.Now()+questionTimeout, c.close)
		}
	}, func(bool) {})
}

// Opened implements loop.Handler.
func (c *connection) Opened() {}

// Panicked implements loop.Handler.
func (c *connection) Panicked(error) { c.close() }

// Closed implements loop.Handler.
func (c *connection) Closed(error) { c.stopTimer() }

func (c *connection) stopTimer() { c.loop.Cancel(c.timer) }

func (c *connection) close() {
	c.stopTimer()
	c.stream.Close()
}

// Input implements loop.Handler.
func (c *connection) Input(in []byte) int {
	line, _, complete := bytes.Cut(in, []byte("\n"))
	if !complete {
		if len(in) >= maxQuestionBytes {
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

// answer returns the answer to a question, or an object with an error, as JSON.
func (c *connection) answer(question string) []byte {
	var value any
	if handler := c.handlers[question]; handler != nil {
		value = handler()
	} else {
		value = map[string]string{"error": fmt.Sprintf("there is nothing to tell of %q", question)}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Appendf(nil, `{"error":%q}`, err)
	}
	return text
}
