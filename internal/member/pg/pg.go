// Package pg speaks version 3 of PostgreSQL's protocol with members.
package pg

import (
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/member"
	"passtack/internal/pgwire"
)

// Tongue words simple queries.
type Tongue struct {
	Load  member.Load
	parts [5][]byte
	head  [32]byte
}

// Hello implements member.Tongue: the startup message.
func (*Tongue) Hello() []byte { return pgwire.AppendFirst(nil, "app", "shop") }

var end = []byte{0}

// Call implements member.Tongue: a simple query with the time that is left in its comment.
func (t *Tongue) Call(ask *driver.Ask, left time.Duration) [][]byte {
	budget := strconv.AppendInt(t.head[8:8], int64(left/time.Millisecond), 10)
	head := pgwire.AppendHead(t.head[:0], 'Q', len(ask.Before)+len(budget)+len(ask.After)+1)
	t.parts = [5][]byte{head, ask.Before, budget, ask.After, end}
	return t.parts[:]
}

// Probe is the empty query.
func (*Tongue) Probe() []byte { return append(pgwire.AppendHead(nil, 'Q', 1), 0) }

// Hear takes the messages of one answer in their order: a description, one row of one column, a tag; or an error.
func (t *Tongue) Hear(in []byte, greeted, probing, ended bool, now time.Duration, h *member.Heard) {
	seen, at, code := byte(0), 0, "" // seen: the kind of the latest message of the answer proper
	h.How = driver.OK
	for seen != 'Z' {
		kind, body, size, err := pgwire.Next(in[at:])
		if err != nil {
			h.Spoilt = true
			return
		}
		if size == 0 {
			h.Begun = h.Begun || kind != 0 && kind != 'S' && kind != 'N'
			return
		}
		fits := true
		switch kind {
		case 'R', 'K':
			fits = !greeted
		case 'N':
		case 'S':
			fits = t.parameter(body, now, h)
		case 'I':
			fits = probing && seen == 0
		case 'T':
			fits = seen == 0 && pgwire.Described(body)
		case 'D':
			if fits = seen == 'T' && pgwire.Row(body); fits {
				h.Answer.Value = body[6:]
			}
		case 'C':
			fits = seen == 'D' && pgwire.Tag(body)
		case 'E':
			code = codeOf(body)
			fits = seen != 'C' && seen != 'E' && code != ""
			h.Failed, h.How = fits, outcomeOf(code)
		case 'Z':
			answered := seen == 'C' || seen == 'E' || seen == 'I' && probing
			fits = pgwire.Ready(body) && (answered || !greeted && seen == 0)
		default:
			fits = false
		}
		if !fits { // then an error that came before it proves nothing
			h.Failed = false
		}
		if !fits || !greeted && code != "" {
			h.Spoilt = true
			return
		}
		if at += size; kind == 'T' || kind == 'D' || kind == 'C' {
			h.Answer.Parts = append(h.Answer.Parts, in[at-size:at])
		}
		if kind != 'R' && kind != 'K' && kind != 'N' && kind != 'S' {
			h.Begun, seen = true, kind
		}
	}
	h.Size = at
}

// Chat passes over what an idle member may say unasked.
func (*Tongue) Chat(in []byte) (size int, ok bool) {
	kind, _, size, err := pgwire.Next(in)
	return size, err == nil && (kind == 'S' || kind == 'N' || kind == 0)
}

// codeOf reads the code of an error, nothing where there is none that could be one.
func codeOf(body []byte) (code string) {
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

func (t *Tongue) parameter(body []byte, now time.Duration, h *member.Heard) bool {
	name, value, ok := pgwire.Parameter(body)
	switch string(name) {
	case "replay_position":
		h.Answer.Position = member.Position(value, now, h.Answer.Position)
		h.Answer.Told = member.Told(value)
	case "node_role":
		h.Role = member.Role(value, h.Role)
	case "server_load":
		h.Report = t.Load.Read(string(value), h.Report)
	}
	return ok
}

// outcomeOf reads the code of a member's error.
func outcomeOf(code string) driver.Outcome {
	switch code {
	case "25006", "72000":
		return driver.Miss
	case "53300":
		return driver.Full
	}
	return driver.Failed
}
