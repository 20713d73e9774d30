// Package odata speaks OData over HTTP/1.1 with members: one request at a time on a connection.
package odata

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/member"
)

// limits bound an answer; its body may hold what a client may ask for.
var limits = httpwire.Limits{Head: 16 << 10, Fields: 100, Body: member.Most - 32<<10}

// Tongue words requests.
type Tongue struct {
	Load  member.Load
	Host  string // what members are asked for
	parts [4][]byte
	head  []byte
	tail  []byte
}

// Hello is nothing: a connection that is up is ready.
func (*Tongue) Hello() []byte { return nil }

// Call implements member.Tongue: a request with the time that is left as a field.
func (t *Tongue) Call(ask *driver.Ask, left time.Duration) [][]byte {
	t.head = httpwire.AppendRequest(t.head[:0], ask.Verb, ask.Path)
	t.head = httpwire.AppendField(t.head, "Host", t.Host)
	t.tail = strconv.AppendInt(append(t.tail[:0], "Deadline-Ms: "...), int64(left/time.Millisecond), 10)
	t.tail = append(t.tail, "\r\n"...)
	if len(ask.Body) > 0 || ask.Verb != "GET" && ask.Verb != "HEAD" && ask.Verb != "DELETE" {
		t.tail = httpwire.AppendLength(t.tail, len(ask.Body))
	} else {
		t.tail = append(t.tail, "\r\n"...)
	}
	t.parts = [4][]byte{t.head, ask.Fields, t.tail, ask.Body}
	return t.parts[:]
}

// Probe asks for the service document without its body.
func (t *Tongue) Probe() []byte {
	out := httpwire.AppendRequest(nil, "HEAD", "/")
	return append(httpwire.AppendField(out, "Host", t.Host), "\r\n"...)
}

// Hear reads one answer. What the status says of the attempt: done, also where the entity is missing or another than
// wanted; 421 and 425 turned away untouched, as no primary and too far behind; 429 and 503 turned away unseen; what is
// left has failed and may have run.
func (t *Tongue) Hear(in []byte, greeted, probing, ended bool, now time.Duration, h *member.Heard) {
	r, fault := httpwire.NextReply(in, probing, ended, limits)
	h.Begun = h.Begun || len(in) > 0
	if fault != nil {
		h.Spoilt = true
		return
	}
	if r.Size == 0 {
		return
	}
	h.How = outcomeOf(r.Status)
	if h.How == driver.OK && !probing && !whole(&r) {
		h.Spoilt = true
		return
	}
	h.Size, h.Last = r.Size, r.Last
	h.Answer.Form, h.Answer.Status, h.Answer.Fields, h.Answer.Value = driver.Requests, r.Status, r.Fields, r.Body
	if text, _ := r.Fields.Get("replay-position"); text != nil {
		h.Answer.Position = member.Position(text, now, 0)
		h.Answer.Told = member.Told(text)
	}
	if text, _ := r.Fields.Get("node-role"); text != nil {
		h.Role = member.Role(text, driver.Unknown)
	}
	if text, _ := r.Fields.Get("server-load"); text != nil {
		h.Report = t.Load.Read(string(text), h.Report)
	}
}

// whole tells whether the body is what its type says.
func whole(r *httpwire.Reply) bool {
	media, _, _ := strings.Cut(r.Fields.Text("content-type"), ";")
	if strings.EqualFold(strings.TrimSpace(media), "application/json") {
		return json.Valid(r.Body)
	}
	return len(r.Body) > 0 || r.Status != 200
}

func outcomeOf(status int) driver.Outcome {
	switch {
	case status == 421 || status == 425:
		return driver.Miss
	case status == 429 || status == 503:
		return driver.Full
	case status < 500 && status != 408:
		return driver.OK
	}
	return driver.Failed
}

// Chat implements member.Tongue: a member that sends something unasked for gets no further request on that connection.
func (*Tongue) Chat(in []byte) (size int, ok bool) { return 0, false }
