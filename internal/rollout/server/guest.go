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
type Call struct {
	Fleet   string   `json:"fleet"`
	Driver  string   `json:"driver"`
	From    uint64   `json:"from"` // the version in force
	Refused uint64   `json:"refused,omitempty"`
	Why     string   `json:"why,omitempty"`
	Restart []string `json:"needs_restart,omitempty"`
	HoldMS  int      `json:"hold_ms"` // for which the answer may be held back
}

// Fields of requests and answers.
const (
	VersionField     = "Version"     // of a text; of a publication the one that it was made from
	PublicationField = "Publication" // its number in hex, the same for each try
)

// guest is one connection that came in.
type guest struct {
	server *Server
	stream *loop.Stream
	due    loop.Due // end of patience, or of holding an answer back
	place  chain.Link[*guest]
	from   uint64
	holds  bool // an answer is held back, or a publication is being decided
	ticket uint64
}

func (g *guest) Opened()        {}
func (g *guest) Panicked(error) { g.end() }
func (g *guest) Closed(error)   { g.gone() }

// await gives whoever is connected a while to say something whole.
func (g *guest) await() {
	g.server.loop.Forget(g.due)
	g.due = g.server.loop.At(g.server.loop.Now()+patience, g.end)
}

func (g *guest) gone() {
	g.server.loop.Forget(g.due)
	g.place.Leave()
	delete(g.server.tickets, g.ticket)
}

func (g *guest) end() {
	g.gone()
	g.stream.Close()
}

func (g *guest) Input(in []byte) (taken int) {
	for !g.holds {
		r, fault := httpwire.Next(in[taken:], limits)
		if fault != nil {
			g.refuse(fault.Status, fault.Reason)
			return len(in)
		}
		if r.Size == 0 {
			break
		}
		taken += r.Size
		g.await()
		g.server.counts["bytes_taken"] += r.Size
		if !g.serve(r) {
			return len(in)
		}
	}
	return taken
}

// serve takes a request; false: the connection is of no more use.
func (g *guest) serve(r httpwire.Request) bool {
	s := g.server
	switch target := string(r.Verb) + " " + string(r.Target); target {
	case "POST /machine":
		if !s.hear(r.Body) {
			s.counts["strangers"]++
			g.refuse(400, "no message of this fleet's machines")
			return false
		}
		g.answer(204, "", nil)
	case "POST /watch":
		return g.watch(r.Body)
	case "POST /publish":
		return g.publish(r)
	case "GET /status":
		body, err := json.Marshal(s.status())
		if err != nil {
			g.refuse(500, err.Error())
			return false
		}
		g.answer(200, "", body)
	case "GET /configuration":
		e := s.register.Newest()
		g.answer(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	default:
		s.counts["strangers"]++
		g.refuse(404, "there is no "+target)
		return false
	}
	return true
}

func (g *guest) answer(status int, version string, body []byte) {
	out := httpwire.AppendStatus(nil, status)
	if version != "" {
		out = httpwire.AppendField(out, VersionField, version)
	}
	if status == 204 {
		out = append(out, "\r\n"...)
	} else {
		out = append(httpwire.AppendLength(out, len(body)), body...)
	}
	g.server.counts["bytes_sent"] += len(out)
	g.stream.Send(out)
}

// refuse says why and ends the connection.
func (g *guest) refuse(status int, why string) {
	body, _ := json.Marshal(Told{Error: why})
	out := httpwire.AppendField(httpwire.AppendStatus(nil, status), "Connection", "close")
	g.gone()
	g.stream.Send(append(httpwire.AppendLength(out, len(body)), body...))
	g.stream.CloseWhenSent()
}

// watch answers at once with a newer version, and else when there is one or the time is over.
func (g *guest) watch(body []byte) bool {
	var c Call
	s, now := g.server, g.server.loop.Now()
	if err := json.Unmarshal(body, &c); err != nil || c.Fleet != s.place.Fleet || c.Driver == "" || len(c.Driver) > rollout.LongestName {
		s.counts["strangers"]++
		g.refuse(400, "no call of a driver of this fleet")
		return false
	}
	s.counts["calls"]++
	g.from = max(c.From, c.Refused)
	if !s.register.Ahead(g.from) { // a number that was refused is not to be used again either
		s.counts["strangers"]++
		g.refuse(400, fmt.Sprintf("from is %d: there is no such version", g.from))
		return false
	}
	s.roster.Tell(rollout.Standing{Driver: c.Driver, Version: c.From, Refused: c.Refused, Why: c.Why, Restart: c.Restart}, now)
	if g.tell() {
		return true
	}
	g.holds, g.place.Value = true, g
	s.watching.Push(&g.place)
	s.loop.Forget(g.due)
	g.due = s.loop.At(now+min(max(time.Duration(c.HoldMS)*time.Millisecond, 0), mostHold), func() {
		if s.register.Fresh(s.loop.Now()) {
			g.answer(204, "", nil)
		} else {
			s.counts["unsure"]++
			g.answer(503, "", nil)
		}
		g.released()
	})
	return true
}

// tell gives a version that is newer than the driver's; false: there is none.
func (g *guest) tell() bool {
	e := g.server.register.Newest()
	if e.Version <= g.from {
		return false
	}
	g.answer(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	return true
}

// wakes answers who waits for a newer version.
func (g *guest) wakes() {
	if g.tell() {
		g.released()
	}
}

// released goes on with what came meanwhile.
func (g *guest) released() {
	g.holds = false
	g.place.Leave()
	g.await()
	g.server.loop.Later(g.stream.Look)
}

// Told is what a publisher hears.
type Told struct {
	Version uint64          `json:"version,omitempty"`
	Outcome rollout.Outcome `json:"outcome,omitempty"`
	Writer  string          `json:"writer,omitempty"` // who to ask
	Error   string          `json:"error,omitempty"`
}

// publish checks a text and hands it to the register.
func (g *guest) publish(r httpwire.Request) bool {
	s := g.server
	base, err := strconv.ParseUint(r.Fields.Text(VersionField), 10, 64)
	id, wrong := strconv.ParseUint(r.Fields.Text(PublicationField), 16, 64)
	switch {
	case err != nil:
		g.refuse(400, fmt.Sprintf("%s is %q: the version that the text was made from is wanted", VersionField, r.Fields.Text(VersionField)))
		return false
	case wrong != nil || id == 0:
		g.refuse(400, fmt.Sprintf("%s is %q: a number in hex is wanted", PublicationField, r.Fields.Text(PublicationField)))
		return false
	case len(r.Body) > rollout.LongestText:
		g.refuse(413, fmt.Sprintf("%d bytes are over the %d that a configuration may have", len(r.Body), rollout.LongestText))
		return false
	case !utf8.Valid(r.Body):
		g.refuse(400, "the text is no UTF-8")
		return false
	}
	if _, err := terms.ParsePublished(r.Body); err != nil {
		s.counts["refused"]++
		g.refuse(400, err.Error())
		return false
	}
	var text bytes.Buffer
	if err := json.Compact(&text, r.Body); err != nil {
		g.refuse(400, err.Error())
		return false
	}
	s.ticket++
	g.ticket, g.holds = s.ticket, true
	s.tickets[g.ticket] = g
	s.loop.Forget(g.due)
	g.due = nil
	s.register.Publish(rollout.Publish{Ticket: g.ticket, ID: id, Base: base, Text: text.String()})
	return true
}

var statuses = map[rollout.Outcome]int{rollout.Published: 200, rollout.Outdated: 409, rollout.Elsewhere: 421, rollout.Unknown: 503, rollout.Busy: 503, rollout.Exhausted: 409}

func (g *guest) published(o rollout.Outcome, version uint64) {
	g.server.counts["publish_"+string(o)]++
	body, _ := json.Marshal(Told{Version: version, Outcome: o, Writer: g.server.writer()})
	g.answer(statuses[o], "", body)
	g.released()
}
