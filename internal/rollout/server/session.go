package server

import (
	"encoding/json"
	"strconv"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/linkedlist"
)

// Header fields of requests and answers.
const (
	VersionField     = "Version"     // version of the text in an answer; in a publication, the version that the text is based on
	PublicationField = "Publication" // the ID of a publication in hex, the same for each retry
)

// session is a connection of a driver, a publisher or another machine. Its requests are handled one at a time.
type session struct {
	server *Server
	stream *eventloop.Stream
	timer  eventloop.Timer // idle timeout, or the end of a long poll; nil: none

	waiting      bool                         // a request waits for a newer version or for the outcome of a publication
	knownVersion uint64                       // newest version that the driver has in force or has rejected
	watcherLink  linkedlist.Element[*session] // element of Server.watchers
	requestID    uint64                       // key in Server.publishers; 0: none yet
}

// Opened implements eventloop.Handler.
func (c *session) Opened() {}

// Panicked implements eventloop.Handler.
func (c *session) Panicked(error) { c.close() }

// Closed implements eventloop.Handler.
func (c *session) Closed(error) { c.detach() }

// startIdleTimer restarts the timer that closes the connection if no complete request arrives within idleTimeout.
func (c *session) startIdleTimer() {
	l := c.server.loop
	l.Cancel(c.timer)
	c.timer = l.At(l.Now()+idleTimeout, c.close)
}

// detach cancels the timer and removes the session from the watchers and publishers.
func (c *session) detach() {
	c.server.loop.Cancel(c.timer)
	c.watcherLink.Remove()
	c.server.publishers.remove(c.requestID)
}

func (c *session) close() {
	c.detach()
	c.stream.Close()
}

// Input implements eventloop.Handler. While a request waits, the following ones stay in the buffer.
func (c *session) Input(in []byte) (consumed int) {
	for !c.waiting {
		r, fault := httpwire.Next(in[consumed:], limits)
		if fault != nil {
			c.reject(fault.Status, fault.Reason)
			return len(in)
		}
		if r.Size == 0 {
			break
		}
		consumed += r.Size
		c.startIdleTimer()
		c.server.counters[counterBytesReceived] += r.Size
		if !c.handle(r) {
			return len(in)
		}
	}
	return consumed
}

// handle handles a request. It returns false if the connection is closed.
func (c *session) handle(r httpwire.Request) bool {
	s := c.server
	switch target := string(r.Verb) + " " + string(r.Target); target {
	case "POST /machine":
		if !s.receive(r.Body) {
			return c.rejectInvalid(400, "no message of this fleet's machines")
		}
		c.respond(204, "", nil)
	case "POST /watch":
		return c.handleWatch(r.Body)
	case "POST /publish":
		return c.handlePublish(r)
	case "GET /status":
		body, err := json.Marshal(s.status())
		if err != nil {
			c.reject(500, err.Error())
			return false
		}
		c.respond(200, "", body)
	case "GET /configuration":
		e := s.machine.Committed()
		c.respond(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	default:
		return c.rejectInvalid(404, "there is no "+target)
	}
	return true
}

// respond sends an answer. If version is empty, the answer has no version field.
func (c *session) respond(status int, version string, body []byte) {
	out := httpwire.AppendStatus(nil, status)
	if version != "" {
		out = httpwire.AppendField(out, VersionField, version)
	}
	if status == 204 {
		out = append(out, "\r\n"...)
	} else {
		out = append(httpwire.AppendLength(out, len(body)), body...)
	}
	c.server.counters[counterBytesSent] += len(out)
	c.stream.Send(out)
}

// reject answers with an error and closes the connection.
func (c *session) reject(status int, reason string) {
	body, _ := json.Marshal(PublishResult{Error: reason})
	out := httpwire.AppendField(httpwire.AppendStatus(nil, status), "Connection", "close")
	c.detach()
	c.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
	c.stream.CloseWhenSent()
}

// rejectInvalid counts and rejects an invalid request. It returns false, the result of handle for a closed connection.
func (c *session) rejectInvalid(status int, reason string) bool {
	c.server.counters[counterInvalidRequests]++
	c.reject(status, reason)
	return false
}

// resume continues with the requests that arrived while one waited.
func (c *session) resume() {
	c.waiting = false
	c.watcherLink.Remove()
	c.startIdleTimer()
	c.server.loop.Defer(c.stream.DeliverInput)
}
