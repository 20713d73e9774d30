// Package odata speaks OData over HTTP/1.1 with members, one request at a time on a connection.
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

// limits bounds a response. The 32 KiB of MaxResponseBytes beyond the body are for the header and chunk sizes.
var limits = httpwire.Limits{Head: 16 << 10, Fields: 100, Body: member.MaxResponseBytes - 32<<10}

// Protocol encodes requests and parses their responses.
type Protocol struct {
	Load    member.LoadReportParser
	Host    string // value of the Host field of requests
	parts   [4][]byte
	header  []byte
	trailer []byte
}

// Greeting implements member.Protocol. There is none: a connection is ready once it is open.
func (*Protocol) Greeting() []byte { return nil }

// EncodeRequest implements member.Protocol. It returns a request with the time that is left in a header field.
func (p *Protocol) EncodeRequest(request *driver.MemberRequest, left time.Duration) [][]byte {
	p.header = httpwire.AppendRequest(p.header[:0], request.Verb, request.Path)
	p.header = httpwire.AppendField(p.header, "Host", p.Host)
	p.trailer = strconv.AppendInt(append(p.trailer[:0], "Deadline-Ms: "...), int64(left/time.Millisecond), 10)
	p.trailer = append(p.trailer, "\r\n"...)
	if len(request.Body) > 0 || request.Verb != "GET" && request.Verb != "HEAD" && request.Verb != "DELETE" {
		p.trailer = httpwire.AppendLength(p.trailer, len(request.Body))
	} else {
		p.trailer = append(p.trailer, "\r\n"...)
	}
	p.parts = [4][]byte{p.header, request.Fields, p.trailer, request.Body}
	return p.parts[:]
}

// EncodeProbe implements member.Protocol. It requests the header of the service document.
func (p *Protocol) EncodeProbe() []byte {
	out := httpwire.AppendRequest(nil, "HEAD", "/")
	return append(httpwire.AppendField(out, "Host", p.Host), "\r\n"...)
}

// ParseResponse implements member.Protocol.
func (p *Protocol) ParseResponse(in []byte, greeted, probing, ended bool, now time.Duration, response *member.Response) {
	reply, fault := httpwire.NextReply(in, probing, ended, limits)
	response.Started = response.Started || len(in) > 0
	if fault != nil {
		response.Malformed = true
		return
	}
	if reply.Size == 0 {
		return
	}
	response.Outcome = outcomeOf(reply.Status)
	if response.Outcome == driver.OK && !probing && !validBody(&reply) {
		response.Malformed = true
		return
	}
	response.Size, response.CloseAfter = reply.Size, reply.CloseAfter
	response.Answer.Form, response.Answer.Status, response.Answer.Fields, response.Answer.Value = driver.Requests, reply.Status, reply.Fields, reply.Body
	if text, _ := reply.Fields.Get("replay-position"); text != nil {
		response.Answer.Position = member.PlausiblePosition(text, now, 0)
		response.Answer.ReportedPosition = member.ParsePosition(text)
	}
	if text, _ := reply.Fields.Get("node-role"); text != nil {
		response.Role = member.ParseRole(text, driver.Unknown)
	}
	if text, _ := reply.Fields.Get("server-load"); text != nil {
		response.LoadReport = p.Load.Parse(string(text), response.LoadReport)
	}
}

// validBody reports whether a body of JSON is valid JSON, and whether a response with status 200 has a body at all.
func validBody(r *httpwire.Reply) bool {
	media, _, _ := strings.Cut(r.Fields.Text("content-type"), ";")
	if strings.EqualFold(strings.TrimSpace(media), "application/json") {
		return json.Valid(r.Body)
	}
	return len(r.Body) > 0 || r.Status != 200
}

// outcomeOf returns the outcome of an attempt for the status of its response. A missing entity or a failed precondition (4xx) is a
// success: the member has served the request. With 421 (not the primary) and 425 (too far behind), and with 429 and 503
// (overloaded), the request has not run. With any other status it may have run.
func outcomeOf(status int) driver.Outcome {
	switch {
	case status == 421 || status == 425:
		return driver.Misdirected
	case status == 429 || status == 503:
		return driver.Full
	case status < 500 && status != 408:
		return driver.OK
	}
	return driver.Failed
}

// ParseUnsolicited implements member.Protocol. HTTP has no unsolicited messages, so the connection is not used again.
func (*Protocol) ParseUnsolicited(in []byte) (size int, ok bool) { return 0, false }
