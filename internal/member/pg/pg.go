// Package pg speaks version 3 of PostgreSQL's protocol with members, in simple queries.
package pg

import (
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/member"
	"passtack/internal/pgwire"
)

// The SQLSTATE codes of members that have a meaning of their own.
const (
	codeReadOnlyTransaction = "25006" // a write at a replica
	codeSnapshotTooOld      = "72000" // the replica is too far behind
	codeTooManyConnections  = "53300"
)

// Protocol encodes simple queries and parses their responses.
type Protocol struct {
	Load   member.LoadReportParser
	parts  [5][]byte
	header [32]byte // of the query, and the time that is left
}

// Greeting implements member.Protocol. It returns the startup message.
func (*Protocol) Greeting() []byte { return pgwire.AppendStartup(nil, "app", "shop") }

var terminator = []byte{0}

// EncodeRequest implements member.Protocol. It returns a simple query with the time that is left in its comment.
func (t *Protocol) EncodeRequest(request *driver.Ask, left time.Duration) [][]byte {
	budget := strconv.AppendInt(t.header[8:8], int64(left/time.Millisecond), 10)
	header := pgwire.AppendHead(t.header[:0], 'Q', len(request.Before)+len(budget)+len(request.After)+1)
	t.parts = [5][]byte{header, request.Before, budget, request.After, terminator}
	return t.parts[:]
}

// EncodeProbe implements member.Protocol. It returns the empty query.
func (*Protocol) EncodeProbe() []byte { return append(pgwire.AppendHead(nil, 'Q', 1), 0) }

// ParseResponse implements member.Protocol. A response is a description, one row of one column, and a tag, or an error; then
// the member is ready for the next query.
func (t *Protocol) ParseResponse(in []byte, greeted, probing, ended bool, now time.Duration, r *member.Response) {
	at, last, code := 0, byte(0), "" // last: the kind of the latest message of the response proper
	r.Outcome = driver.OK
	for last != 'Z' {
		kind, body, size, err := pgwire.Next(in[at:])
		if err != nil {
			r.Malformed = true
			return
		}
		if size == 0 {
			r.Started = r.Started || kind != 0 && kind != 'S' && kind != 'N'
			return
		}
		var valid bool
		switch kind {
		case 'S':
			valid = t.parseParameter(body, now, r)
		case 'D':
			if valid = last == 'T' && pgwire.IsDataRow(body); valid {
				r.Answer.Value = body[6:]
			}
		case 'E':
			code = parseCode(body)
			valid = last != 'C' && last != 'E' && code != ""
			r.ErrorReceived, r.Outcome = valid, outcomeOf(code)
		default:
			valid = follows(kind, last, body, greeted, probing)
		}
		if !valid { // which also discredits an error before it
			r.ErrorReceived = false
		}
		if !valid || !greeted && code != "" {
			r.Malformed = true
			return
		}
		if at += size; kind == 'T' || kind == 'D' || kind == 'C' {
			r.Answer.Parts = append(r.Answer.Parts, in[at-size:at])
		}
		if kind != 'R' && kind != 'K' && kind != 'N' && kind != 'S' {
			r.Started, last = true, kind
		}
	}
	r.Size = at
}

// follows reports whether a message that carries nothing for the response is valid, and may follow the last one.
func follows(kind, last byte, body []byte, greeted, probing bool) bool {
	switch kind {
	case 'R', 'K':
		return !greeted
	case 'N':
		return true
	case 'I':
		return probing && last == 0
	case 'T':
		return last == 0 && pgwire.IsRowDescription(body)
	case 'C':
		return last == 'D' && pgwire.IsCommandComplete(body)
	case 'Z':
		answered := last == 'C' || last == 'E' || last == 'I' && probing
		return pgwire.IsReadyForQuery(body) && (answered || !greeted && last == 0)
	}
	return false
}

// ParseUnsolicited implements member.Protocol. It skips parameters and notices.
func (*Protocol) ParseUnsolicited(in []byte) (size int, ok bool) {
	kind, _, size, err := pgwire.Next(in)
	return size, err == nil && (kind == 'S' || kind == 'N' || kind == 0)
}

// parseCode returns the SQLSTATE code of an error message, "" if it has no valid one.
func parseCode(body []byte) (code string) {
	ok := pgwire.Fields(body, func(field byte, value []byte) {
		if field == 'C' {
			code = string(value)
		}
	})
	odd := func(r rune) bool { return (r < '0' || r > '9') && (r < 'A' || r > 'Z') }
	if !ok || len(code) != 5 || strings.ContainsFunc(code, odd) {
		return ""
	}
	return code
}

// parseParameter takes what a parameter message reports of the member. It reports whether the message is valid.
func (t *Protocol) parseParameter(body []byte, now time.Duration, r *member.Response) bool {
	name, value, ok := pgwire.Parameter(body)
	switch string(name) {
	case "replay_position":
		r.Answer.Position = member.PlausiblePosition(value, now, r.Answer.Position)
		r.Answer.Told = member.ParsePosition(value)
	case "node_role":
		r.Role = member.ParseRole(value, r.Role)
	case "server_load":
		r.LoadReport = t.Load.Parse(string(value), r.LoadReport)
	}
	return ok
}

// outcomeOf returns what an error of the member means for the attempt.
func outcomeOf(code string) driver.Outcome {
	switch code {
	case codeReadOnlyTransaction, codeSnapshotTooOld:
		return driver.Miss
	case codeTooManyConnections:
		return driver.Full
	}
	return driver.Failed
}
