// Package pg speaks version 3 of PostgreSQL's protocol with members, using simple queries.
package pg

import (
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/member"
	"passtack/internal/pgwire"
)

// SQLSTATE codes of members that say more than that the statement failed.
const (
	codeReadOnlyTransaction = "25006" // a write at a replica
	codeSnapshotTooOld      = "72000" // the replica is too far behind
	codeTooManyConnections  = "53300"
)

// Protocol encodes simple queries and parses their responses.
type Protocol struct {
	Load   member.LoadReportParser
	parts  [5][]byte
	header [32]byte // buffer for the head of the query message and the time that is left
}

// Greeting implements member.Protocol. It returns the startup message.
func (*Protocol) Greeting() []byte { return pgwire.AppendStartup(nil, "app", "shop") }

var terminator = []byte{0}

// EncodeRequest implements member.Protocol. It returns a simple query with the time that is left in its comment.
func (p *Protocol) EncodeRequest(request *driver.MemberRequest, left time.Duration) [][]byte {
	budget := strconv.AppendInt(p.header[8:8], int64(left/time.Millisecond), 10)
	header := pgwire.AppendHead(p.header[:0], 'Q', len(request.Before)+len(budget)+len(request.After)+1)
	p.parts = [5][]byte{header, request.Before, budget, request.After, terminator}
	return p.parts[:]
}

// EncodeProbe implements member.Protocol. It returns the empty query.
func (*Protocol) EncodeProbe() []byte { return append(pgwire.AppendHead(nil, 'Q', 1), 0) }

// ParseResponse implements member.Protocol. A response consists of a row description, one row of one column and a command tag,
// or of an error. It ends with the message that the member is ready for the next query.
func (p *Protocol) ParseResponse(in []byte, greeted, probing, ended bool, now time.Duration, r *member.Response) {
	offset, last, code := 0, byte(0), "" // last: kind of the latest message but authentication, key data, notices and parameters
	r.Outcome = driver.OK
	for last != 'Z' {
		kind, body, size, err := pgwire.Next(in[offset:])
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
			valid = p.parseParameter(body, now, r)
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
		if !valid { // an error that was received before is not trusted either
			r.ErrorReceived = false
		}
		if !valid || !greeted && code != "" {
			r.Malformed = true
			return
		}
		if offset += size; kind == 'T' || kind == 'D' || kind == 'C' {
			r.Answer.Parts = append(r.Answer.Parts, in[offset-size:offset])
		}
		if kind != 'R' && kind != 'K' && kind != 'N' && kind != 'S' {
			r.Started, last = true, kind
		}
	}
	r.Size = offset
}

// follows reports whether a message of which the response keeps no content is valid, and may follow one of the kind last.
func follows(kind, last byte, body []byte, greeted, probing bool) bool {
	switch kind {
	case 'R', 'K':
		return !greeted
	case 'N':
		return true
	case 'I':
		return probing && last == 0
	case 'T':
		return !probing && last == 0 && pgwire.IsRowDescription(body)
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
	invalid := func(r rune) bool { return (r < '0' || r > '9') && (r < 'A' || r > 'Z') }
	if !ok || len(code) != 5 || strings.ContainsFunc(code, invalid) {
		return ""
	}
	return code
}

// parseParameter records the position, role or load in a parameter message. It reports whether the message is valid.
func (p *Protocol) parseParameter(body []byte, now time.Duration, r *member.Response) bool {
	name, value, ok := pgwire.Parameter(body)
	switch string(name) {
	case "replay_position":
		r.Answer.Position = member.PlausiblePosition(value, now, r.Answer.Position)
		r.Answer.ReportedPosition = member.ParsePosition(value)
	case "node_role":
		r.Role = member.ParseRole(value, r.Role)
	case "server_load":
		r.LoadReport = p.Load.Parse(string(value), r.LoadReport)
	}
	return ok
}

// outcomeOf returns the outcome of an attempt for the SQLSTATE code of the member's error.
func outcomeOf(code string) driver.Outcome {
	switch code {
	case codeReadOnlyTransaction, codeSnapshotTooOld:
		return driver.Misdirected
	case codeTooManyConnections:
		return driver.Full
	}
	return driver.Failed
}
