package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"passtack/internal/chain"
	"passtack/internal/httpwire"
	"passtack/internal/loop"
	"passtack/internal/rollout"
	"passtack/internal/terms"
)

// Call is what a driver says when it asks for a newer version.
type WatchRequest struct {
	Fleet           string   `json:"fleet"`
	Driver          string   `json:"driver"`
	Version         uint64   `json:"from"` // the version in force
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	NeedsRestart    []string `json:"needs_restart,omitempty"`
	MaxWaitMS       int      `json:"hold_ms"` // for which the answer may be held back
}

// Fields of requests and answers.
const (
	VersionField     = "Version"     // of a text; of a publication the one that it was made from
	PublicationField = "Publication" // its number in hex, the same for each try
)

// guest is one connection that came in.
type session struct {
	server       *Server
	stream       *loop.Stream
	timer        loop.Due // end of patience, or of holding an answer back
	watcherLink  chain.Link[*session]
	knownVersion uint64
	waiting      bool // an answer is held back, or a publication is being decided
	requestID    uint64
}

func (g *session) Opened()        {}
func (g *session) Panicked(error) { g.close() }
func (g *session) Closed(error)   { g.detach() }

// await gives whoever is connected a while to say something whole.
func (g *session) startIdleTimer() {
	g.server.loop.Forget(g.timer)
	g.timer = g.server.loop.At(g.server.loop.Now()+idleTimeout, g.close)
}

func (g *session) detach() {
	g.server.loop.Forget(g.timer)
	g.watcherLink.Leave()
	delete(g.server.publishers, g.requestID)
}

func (g *session) close() {
	g.detach()
	g.stream.Close()
}

func (g *session) Input(in []byte) (taken int) {
	for !g.waiting {
		r, fault := httpwire.Next(in[taken:], limits)
		if fault != nil {
			g.reject(fault.Status, fault.Reason)
			return len(in)
		}
		if r.Size == 0 {
			break
		}
		taken += r.Size
		g.startIdleTimer()
		g.server.counters["bytes_taken"] += r.Size
		if !g.handle(r) {
			return len(in)
		}
	}
	return taken
}

// serve takes a request; false: the connection is of no more use.
func (g *session) handle(r httpwire.Request) bool {
	s := g.server
	switch target := string(r.Verb) + " " + string(r.Target); target {
	case "POST /machine":
		if !s.receive(r.Body) {
			s.counters["strangers"]++
			g.reject(400, "no message of this fleet's machines")
			return false
		}
		g.respond(204, "", nil)
	case "POST /watch":
		return g.handleWatch(r.Body)
	case "POST /publish":
		return g.handlePublish(r)
	case "GET /status":
		body, err := json.Marshal(s.status())
		if err != nil {
			g.reject(500, err.Error())
			return false
		}
		g.respond(200, "", body)
	case "GET /configuration":
		e := s.machine.Committed()
		g.respond(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	default:
		s.counters["strangers"]++
		g.reject(404, "there is no "+target)
		return false
	}
	return true
}

func (g *session) respond(status int, version string, body []byte) {
	out := httpwire.AppendStatus(nil, status)
	if version != "" {
		out = httpwire.AppendField(out, VersionField, version)
	}
	if status == 204 {
		out = append(out, "\r\n"...)
	} else {
		out = append(httpwire.AppendLength(out, len(body)), body...)
	}
	g.server.counters["bytes_sent"] += len(out)
	g.stream.Send(out)
}

// refuse says why and ends the connection.
func (g *session) reject(status int, why string) {
	body, _ := json.Marshal(PublishResult{Error: why})
	out := httpwire.AppendField(httpwire.AppendStatus(nil, status), "Connection", "close")
	g.detach()
	g.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
	g.stream.CloseWhenSent()
}

// watch answers at once with a newer version, and else when there is one or the time is over.
func (g *session) handleWatch(body []byte) bool {
	var c WatchRequest
	s, now := g.server, g.server.loop.Now()
	if err := json.Unmarshal(body, &c); err != nil || c.Fleet != s.config.Fleet || c.Driver == "" || len(c.Driver) > rollout.MaxNameBytes {
		s.counters["strangers"]++
		g.reject(400, "no call of a driver of this fleet")
		return false
	}
	s.counters["calls"]++
	g.knownVersion = max(c.Version, c.RejectedVersion)
	if !s.machine.ObserveVersion(g.knownVersion) { // a number that was refused is not to be used again either
		s.counters["strangers"]++
		g.reject(400, fmt.Sprintf("from is %d: there is no such version", g.knownVersion))
		return false
	}
	s.roster.Report(rollout.DriverReport{Driver: c.Driver, Version: c.Version, RejectedVersion: c.RejectedVersion, RejectReason: c.RejectReason, NeedsRestart: c.NeedsRestart}, now)
	if g.sendNewerVersion() {
		return true
	}
	g.waiting, g.watcherLink.Value = true, g
	s.watchers.Push(&g.watcherLink)
	s.loop.Forget(g.timer)
	g.timer = s.loop.At(now+min(max(time.Duration(c.MaxWaitMS)*time.Millisecond, 0), maxLongPoll), func() {
		if s.machine.IsFresh(s.loop.Now()) {
			g.respond(204, "", nil)
		} else {
			s.counters["unsure"]++
			g.respond(503, "", nil)
		}
		g.resume()
	})
	return true
}

// tell gives a version that is newer than the driver's; false: there is none.
func (g *session) sendNewerVersion() bool {
	e := g.server.machine.Committed()
	if e.Version <= g.knownVersion {
		return false
	}
	g.respond(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	return true
}

// wakes answers who waits for a newer version.
func (g *session) versionCommitted() {
	if g.sendNewerVersion() {
		g.resume()
	}
}

// released goes on with what came meanwhile.
func (g *session) resume() {
	g.waiting = false
	g.watcherLink.Leave()
	g.startIdleTimer()
	g.server.loop.Later(g.stream.Look)
}

// Told is what a publisher hears.
type PublishResult struct {
	Version uint64          `json:"version,omitempty"`
	Outcome rollout.Outcome `json:"outcome,omitempty"`
	Writer  string          `json:"writer,omitempty"` // who to ask
	Error   string          `json:"error,omitempty"`
}

// publish checks a text and hands it to the register.
func (g *session) handlePublish(r httpwire.Request) bool {
	s := g.server
	base, err := strconv.ParseUint(r.Fields.Text(VersionField), 10, 64)
	id, wrong := strconv.ParseUint(r.Fields.Text(PublicationField), 16, 64)
	switch {
	case err != nil:
		g.reject(400, fmt.Sprintf("%s is %q: the version that the text was made from is wanted", VersionField, r.Fields.Text(VersionField)))
		return false
	case wrong != nil || id == 0:
		g.reject(400, fmt.Sprintf("%s is %q: a number in hex is wanted", PublicationField, r.Fields.Text(PublicationField)))
		return false
	case len(r.Body) > rollout.MaxTextBytes:
		g.reject(413, fmt.Sprintf("%d bytes are over the %d that a configuration may have", len(r.Body), rollout.MaxTextBytes))
		return false
	case !utf8.Valid(r.Body):
		g.reject(400, "the text is no UTF-8")
		return false
	}
	if _, err := terms.ParsePublished(r.Body); err != nil {
		s.counters["refused"]++
		g.reject(400, err.Error())
		return false
	}
	var text bytes.Buffer
	if err := json.Compact(&text, r.Body); err != nil {
		g.reject(400, err.Error())
		return false
	}
	s.lastRequestID++
	g.requestID, g.waiting = s.lastRequestID, true
	s.publishers[g.requestID] = g
	s.loop.Forget(g.timer)
	g.timer = nil
	s.machine.Publish(rollout.PublishRequest{RequestID: g.requestID, PublicationID: id, BaseVersion: base, Text: text.String()})
	return true
}

var outcomeStatus = map[rollout.Outcome]int{rollout.Published: 200, rollout.Outdated: 409, rollout.NotWriter: 421, rollout.Unknown: 503, rollout.Busy: 503, rollout.Exhausted: 409}

func (g *session) publishDone(o rollout.Outcome, version uint64) {
	g.server.counters["publish_"+string(o)]++
	body, _ := json.Marshal(PublishResult{Version: version, Outcome: o, Writer: g.server.writer()})
	g.respond(outcomeStatus[o], "", body)
	g.resume()
}
