package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"passtack/internal/httpwire"
	"passtack/internal/rollout"
	"passtack/internal/settings"
)

// PublishResult is the answer to a publisher.
type PublishResult struct {
	Version uint64          `json:"version,omitempty"`
	Outcome rollout.Outcome `json:"outcome,omitempty"`
	Writer  string          `json:"writer,omitempty"` // name of the machine that is the writer
	Error   string          `json:"error,omitempty"`
}

// outcomeStatus is the HTTP status of each outcome.
var outcomeStatus = map[rollout.Outcome]int{
	rollout.Published: 200,
	rollout.Outdated:  409,
	rollout.NotWriter: 421,
	rollout.Unknown:   503,
	rollout.Busy:      503,
	rollout.Exhausted: 409,
}

// publishers holds the sessions that wait for the outcome of a publication, by request ID.
type publishers struct {
	sessions      map[uint64]*session
	lastRequestID uint64
}

// add registers a session and returns its new request ID.
func (p *publishers) add(c *session) uint64 {
	p.lastRequestID++
	p.sessions[p.lastRequestID] = c
	return p.lastRequestID
}

// remove removes a request and returns its session, or nil if the request is not registered.
func (p *publishers) remove(requestID uint64) *session {
	c := p.sessions[requestID]
	delete(p.sessions, requestID)
	return c
}

// handlePublish validates a publication and passes it to the replica. It returns false if the connection is closed.
func (c *session) handlePublish(r httpwire.Request) bool {
	s := c.server
	baseText, idText := r.Fields.Text(VersionField), r.Fields.Text(PublicationField)
	base, baseErr := strconv.ParseUint(baseText, 10, 64)
	id, idErr := strconv.ParseUint(idText, 16, 64)
	switch {
	case baseErr != nil:
		c.reject(400, fmt.Sprintf("%s is %q: the version that the text was made from is wanted", VersionField, baseText))
		return false
	case idErr != nil || id == 0:
		c.reject(400, fmt.Sprintf("%s is %q: a number in hex is wanted", PublicationField, idText))
		return false
	case len(r.Body) > rollout.MaxTextBytes:
		c.reject(413, fmt.Sprintf("%d bytes are over the %d that a configuration may have", len(r.Body), rollout.MaxTextBytes))
		return false
	case !utf8.Valid(r.Body):
		c.reject(400, "the text is no UTF-8")
		return false
	}
	if _, err := settings.ParsePublished(r.Body); err != nil {
		s.counters[counterRejectedTexts]++
		c.reject(400, err.Error())
		return false
	}
	var text bytes.Buffer
	if err := json.Compact(&text, r.Body); err != nil {
		c.reject(400, err.Error())
		return false
	}
	c.waiting = true
	c.requestID = s.publishers.add(c)
	s.loop.Cancel(c.timer)
	c.timer = nil
	s.machine.Publish(rollout.PublishRequest{RequestID: c.requestID, PublicationID: id, BaseVersion: base, Text: text.String()})
	return true
}

// publishDone answers the publisher with the outcome.
func (c *session) publishDone(o rollout.Outcome, version uint64) {
	c.server.counters[counterPublishPrefix+string(o)]++
	body, _ := json.Marshal(PublishResult{Version: version, Outcome: o, Writer: c.server.writer()})
	c.respond(outcomeStatus[o], "", body)
	c.resume()
}
