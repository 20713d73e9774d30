package pg

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/pgwire"
)

// maxIDLength bounds the id of an RPC, in bytes.
const maxIDLength = 256

// header is the comment in front of a statement. Its slices point into the message.
type header struct {
	id         []byte
	method     []byte
	budget     []byte // milliseconds until the client stops waiting
	group      []byte
	after      []byte // position in milliseconds of the commit that a read must see
	key        []byte // for idempotency
	repeat     bool   // the client has sent this RPC before
	duplicate  bool   // a field occurs twice
	budgetSpan [2]int // start and end of the budget in the text
}

// parseHeader parses the comment of a statement and returns the statement. ok is false if there is no comment.
func parseHeader(text []byte, h *header) (statement []byte, ok bool) {
	set := func(field *[]byte, value []byte) {
		h.duplicate = h.duplicate || *field != nil
		*field = value
	}
	return pgwire.Comment(text, func(name, value []byte, from, to int) {
		switch string(name) {
		case "id":
			set(&h.id, value)
		case "c":
			set(&h.method, value)
		case "d":
			set(&h.budget, value)
			h.budgetSpan = [2]int{from, to}
		case "k":
			set(&h.key, value)
		case "cluster":
			set(&h.group, value)
		case "after":
			set(&h.after, value)
		case "r":
			h.repeat = string(value) == "1"
		}
	})
}

// rpcFields are the values of a valid header.
type rpcFields struct {
	method driver.Method
	group  driver.Group
	budget time.Duration
	commit time.Duration // position that a read must see; 0: none
	key    driver.Key
}

// validate converts the values of a header. ok is false if one is missing or malformed.
func (f *Front) validate(h *header, statement []byte) (fields rpcFields, ok bool) {
	method, known := f.methods[string(h.method)]
	budget, err := strconv.ParseInt(string(h.budget), 10, 32)
	if !known || err != nil || budget <= 0 || h.duplicate || len(statement) == 0 || len(h.id) == 0 || len(h.id) > maxIDLength ||
		f.keyed[method] && len(h.key) == 0 {
		return fields, false
	}
	group, err := strconv.ParseUint(string(h.group), 10, 16)
	if err != nil {
		return fields, false
	}
	commit, err := strconv.ParseInt(string(h.after), 10, 64)
	plausible := err == nil && commit >= 0 && commit <= int64((f.handler.MembersNow()+time.Second)/time.Millisecond)
	if !plausible && len(h.after) > 0 { // malformed, or a commit in the future
		return fields, false
	}
	return rpcFields{
		method: method, group: driver.Group(group), budget: time.Duration(budget) * time.Millisecond,
		commit: time.Duration(commit) * time.Millisecond, key: f.keyOf(method, h),
	}, true
}

// keyOf returns the checksum of the idempotency key if the method needs one, else 0.
func (f *Front) keyOf(method driver.Method, h *header) driver.Key {
	if !f.keyed[method] {
		return 0
	}
	return driver.Key(xxh3.Hash(h.key))
}

// query handles a query message. It returns how many bytes of the input to consume: none while its RPC is in service.
func (c *client) query(text []byte, size int) int {
	f := c.front
	var h header
	statement, ok := parseHeader(text, &h)
	if !ok {
		c.answerCommand(text)
		return size
	}
	fields, ok := f.validate(&h, statement)
	switch {
	case !ok:
		c.rejectMessage("the comment of the statement is of no use")
		return size
	case f.ids.Active(string(h.id)):
		c.rejectMessage("an RPC of this id is being served")
		return size
	case f.ids.MayHaveRun(string(h.id), f.loop.Now()):
		c.rejectMessage("an RPC of this id may have run; its client has left")
		return size
	case f.handler.FormOf(fields.group) != driver.Statements:
		c.rejectMessage("the members of this group take no statements")
		return size
	}
	session := driver.Session(0)
	if key := pgwire.FirstLiteral(statement); f.sessions[fields.method] && key != nil {
		session = front.SessionOf(key)
	}
	sinceCommit := time.Duration(0)
	if fields.commit > 0 {
		sinceCommit = max(1, f.handler.MembersNow()-fields.commit)
	}
	// The budget starts when the last byte of the message arrives, even if the RPC then waits for the one before it, as the
	// client measures its own waiting time.
	receivedAt := c.Stream.ArrivedAt(size)
	deadline := receivedAt + fields.budget - front.DeliveryMargin
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request received", "id", string(h.id), "client", c.Handle, "method", string(h.method),
			"left_ms", (deadline - f.loop.Now()).Milliseconds())
	}
	c.BeginRequest()
	c.busy, c.admitting = true, true
	c.messageSize, c.textOffset, c.checkedBytes, c.budgetSpan = size, queryTextOffset, max(c.checkedBytes, size), h.budgetSpan
	c.id = string(h.id)
	f.ids.Begin(c.id)
	c.rpc = f.handler.Take(f, driver.Client(c.Handle), &driver.IncomingRPC{
		Method: fields.method, Group: fields.group, Session: session, Key: fields.key,
		ArrivedAt: receivedAt, Deadline: deadline, SinceWrite: sinceCommit, ClientRetry: h.repeat,
	})
	if c.admitting = false; c.busy {
		return 0
	}
	return size
}

// answerCommand answers a query without a comment: the empty query, which clients send to check that the driver is ready, and
// commands that have no effect here.
func (c *client) answerCommand(text []byte) {
	switch word := firstWord(text); word {
	case "":
		c.Stream.Send(pgwire.AppendEmptyQueryResponse(nil))
	case "SET", "RESET", "DISCARD":
		c.Stream.Send(pgwire.AppendCommandComplete(nil, word))
	default:
		c.rejectMessage("a statement without a comment")
	}
}

// firstWord returns the first word of a query in upper case, "" for an empty query, "?" if it does not begin with a word.
func firstWord(text []byte) (word string) {
	for _, b := range text {
		switch {
		case b|0x20 >= 'a' && b|0x20 <= 'z':
			word += string(b &^ 0x20)
		case word != "":
			return word
		case b != ' ' && b != ';' && b != '\n' && b != '\t' && b != '\r':
			return "?"
		}
	}
	return word
}
