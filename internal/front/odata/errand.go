package odata

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/loop"
	"passtack/internal/member"
	"passtack/internal/odata"
	"passtack/internal/slots"
)

// errand is one RPC from its request to its answer, or one that waits for the answer of another.
type errand struct {
	front     *Front
	question  *question
	work      *work // nil once nobody waits
	index     int   // in the batch of its work
	handle    slots.Handle
	rpc       driver.RPC
	id        string
	resource  odata.Resource
	act       odata.Act
	operation *odata.Operation
	group     driver.Group
	form      driver.Form
	ask       driver.Ask
	key       odata.Value
	values    map[string]odata.Value
	format    string
	minimal   bool   // metadata
	match     string // If-Match
	noneMatch string
	version   string // that must be there
	returns   string // what the client prefers of a write's answer: minimal, representation or nothing

	repeatKey string // "": it is not repeatable
	repeatID  string
	firstSent time.Duration
	entry     *idempotency.Entry // of its own run
	joined    *idempotency.Entry // of the run that it waits for
	giveUp    loop.Due
	ended     bool
}

// send takes the errand to the host, unless its answer is known or must be a refusal. A read has to see what was
// committed up to floor.
func (f *Front) send(e *errand, until, floor time.Duration, method driver.Method) {
	now := f.loop.Now()
	if e.handle = f.errands.Put(e); e.handle == 0 {
		e.end(idempotency.NotRun, pushedBack(0), 0)
		return
	}
	token := ""
	if e.repeatKey != "" {
		if !f.judgeRepeat(e, now, until) {
			return
		}
		until = min(until, e.entry.Deadline)
		token = tokenOf(e.repeatKey, e.repeatID)
	}
	e.id = f.newID()
	if token == "" && e.act.Writes() {
		token = e.id
	}
	f.open[e.id] = true
	session := front.SessionOf([]byte(e.key.Text))
	if name := e.question.fields.Text("session-id"); name != "" {
		session = front.SessionOf([]byte(name))
	} else if e.key.Text == "" {
		session = 0
	}
	position := member.PlausiblePosition([]byte(e.question.fields.Text("session-position")), f.clerk.MembersNow(), 0)
	if position = max(position, floor); e.act.Writes() {
		position = 0
	}
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request", "id", e.id, "client", e.handle, "method", f.methods[method], "left_ms", (until - now).Milliseconds())
	}
	e.word(method, token, position)
	wrote := time.Duration(0)
	if position > 0 {
		wrote = max(1, f.clerk.MembersNow()-position)
	}
	e.rpc = f.clerk.Take(f, driver.Client(e.handle), method, e.group, session, e.question.came, until, wrote, false)
}

// newID gives an id that no RPC has which is served.
func (f *Front) newID() string {
	for {
		id := fmt.Sprintf("%08x%08x", uint32(f.chance.Uint32()), uint32(f.chance.Uint32()))
		if !f.open[id] {
			return id
		}
	}
}

// tokenOf gives the mark by which a group knows a repeat: the client's id as it is, where it may stand in a statement's
// comment and no client's name makes it another.
func tokenOf(key, id string) string {
	plain := len(id) <= 64 && strings.HasPrefix(key, "\x00")
	for i := range len(id) {
		b := id[i]
		plain = plain && (b == '-' || b == '_' || b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z')
	}
	if plain {
		return id
	}
	sum := xxh3.HashString128(key)
	return fmt.Sprintf("%016x%016x", sum.Hi, sum.Lo)
}

// always is the window of a method that may run again.
const always = 1 << 20 * time.Hour

// judgeRepeat asks the memory; false: the errand has its answer, or waits for it.
func (f *Front) judgeRepeat(e *errand, now, until time.Duration) bool {
	digest := xxh3.New()
	digest.WriteString(e.question.verb + "\x00" + e.resource.Set.Name + "\x00" + odata.KeyOf(e.key) + "\x00" + e.match + "\x00")
	digest.Write(e.question.body)
	window := e.operation.Window
	if e.operation.Repeats { // running again does no harm at any time
		window = always
	}
	verdict, entry := f.memory.Begin(idempotency.Request{Key: e.repeatKey, Digest: digest.Sum64(), FirstSent: e.firstSent, Window: window}, now)
	refuse := func(counter string, status int, code, text string) {
		f.clerk.Count(counter)
		r := failure(fault(status, code, "%s", text))
		r.fields = httpwire.AppendField(r.fields, "Repeatability-Result", "rejected")
		e.end(idempotency.NotRun, r, 0)
	}
	switch verdict {
	case idempotency.Run:
		e.entry, entry.Runner = entry, uint32(e.handle)
		return true
	case idempotency.Join:
		f.clerk.Count("repeats_joined")
		e.joined = entry
		entry.Waiters = append(entry.Waiters, uint32(e.handle))
		e.giveUp = f.loop.At(until, func() { e.end(idempotency.Uncertain, aborted(), 0) })
	case idempotency.Replay:
		f.clerk.Count("repeats_told")
		e.end(idempotency.Completed, decode(entry.Response), 0)
	case idempotency.TooLate:
		refuse("repeats_refused", 412, "TooLate", "it may have been done, and a repeat is no longer known; look before asking anew under another id")
	case idempotency.KeyReused:
		refuse("repeats_refused", 412, "OtherRequest", "this Repeatability-Request-ID was used for another request")
	case idempotency.FromFuture:
		refuse("repeats_refused", 400, "BadRequest", "Repeatability-First-Sent lies in the future")
	case idempotency.AtCapacity:
		f.clerk.Count("repeats_no_room")
		e.end(idempotency.NotRun, pushedBack(0), 0)
	}
	return false
}

// word writes what a member is asked.
func (e *errand) word(method driver.Method, token string, position time.Duration) {
	f := e.front
	e.ask.Form = e.form
	if e.form == driver.Requests {
		e.wordRequest(token, position)
		return
	}
	head := fmt.Appendf(nil, "/* id=%s,c=%s,d=", e.id, f.methods[method])
	tail := []byte{}
	if token != "" {
		tail = fmt.Appendf(tail, ",k=%s", token)
	}
	tail = fmt.Appendf(tail, ",cluster=%d", e.group)
	if position > 0 {
		tail = fmt.Appendf(tail, ",after=%d", (position+time.Millisecond-1)/time.Millisecond)
	}
	tail = append(tail, " */ "...)
	set := e.resource.Set
	fill := &odata.Fill{
		Key: e.key, Body: e.question.body, Values: e.values, Filter: e.resource.Filter, Order: e.resource.Order,
		Skip: e.resource.Skip, Top: e.limit() + 1, Match: e.version, Set: set, Count: e.resource.Count,
	}
	if e.resource.Top >= 0 && e.resource.Top <= set.Page { // no more is wanted: none tells of a next page
		fill.Top = e.resource.Top
	}
	e.ask.Before, e.ask.After = head, e.operation.Statement.Append(tail, fill)
}

// limit is how many items the answer may hold.
func (e *errand) limit() int {
	if e.resource.Top >= 0 {
		return min(e.resource.Top, e.resource.Set.Page)
	}
	return e.resource.Set.Page
}

// wordRequest passes a request on as it came, below the root of the members.
func (e *errand) wordRequest(token string, position time.Duration) {
	q, f := e.question, e.front
	e.ask.Verb, e.ask.Body = q.verb, append([]byte(nil), q.body...)
	if q.verb == "HEAD" { // the body tells how long it would be
		e.ask.Verb = "GET"
	}
	path := q.target
	if _, rest, found := strings.Cut(path, "://"); found && !strings.HasPrefix(path, "/") {
		path = rest[max(strings.IndexByte(rest, '/'), 0):]
	}
	path = strings.TrimPrefix(path, f.offer.Root)
	e.ask.Path = f.members + strings.TrimPrefix(path, "/")
	out := httpwire.AppendField(nil, "Request-Id", e.id)
	if token != "" {
		out = httpwire.AppendField(out, "Repeatability-Request-ID", token)
	}
	if position > 0 {
		out = httpwire.AppendField(out, "Session-Position", strconv.FormatInt(int64((position+time.Millisecond-1)/time.Millisecond), 10))
	}
	if len(q.body) > 0 {
		out = httpwire.AppendField(out, "Content-Type", "application/json")
	}
	for _, name := range []string{"Accept", "Prefer", "If-Match", "If-None-Match", "OData-Version", "OData-MaxVersion"} {
		if value := q.fields.Text(name); value != "" {
			out = httpwire.AppendField(out, name, value)
		}
	}
	e.ask.Fields = out
}

// end gives the errand its one answer, to all who wait for it.
func (e *errand) end(how idempotency.Outcome, r *reply, position time.Duration) {
	if e.ended {
		return
	}
	f := e.front
	e.ended = true
	f.errands.Drop(e.handle)
	f.loop.Forget(e.giveUp)
	if e.id != "" {
		delete(f.open, e.id)
	}
	if e.joined != nil {
		e.joined.RemoveWaiter(uint32(e.handle))
	}
	if e.entry != nil {
		r.fields = httpwire.AppendField(r.fields, "Repeatability-Result", "accepted")
		for _, h := range f.memory.Finish(e.entry, how, encode(r, f.offer.Idempotency.MaxBytes/8), f.loop.Now()) {
			if waiter := f.errands.Get(slots.Handle(h)); waiter != nil {
				waiter.joined = nil
				waiter.end(how, r, position)
			}
		}
	}
	switch w := e.work; {
	case w == nil:
	case w.batch != nil:
		w.batch.ended(e, how, r, position)
	default:
		w.finish(r)
	}
}

// leave tells that the client of the errand has left. What it may ask for again is waited for where it is out, so that a
// repeat finds the outcome; no further attempt begins unless somebody else waits for the same.
func (e *errand) leave() {
	if e.ended {
		return
	}
	f := e.front
	if e.work = nil; e.entry != nil {
		f.clerk.Count("repeats_left_running")
		e.part()
		return
	}
	e.ended = true
	f.errands.Drop(e.handle)
	f.loop.Forget(e.giveUp)
	delete(f.open, e.id)
	if e.joined != nil {
		e.joined.RemoveWaiter(uint32(e.handle))
		if runner := f.errands.Get(slots.Handle(e.joined.Runner)); runner != nil {
			runner.part()
		}
		return
	}
	f.clerk.ClientLeft(e.rpc)
}

// part lets nothing more be sent for an errand that nobody waits for.
func (e *errand) part() {
	if e.work == nil && len(e.entry.Waiters) == 0 {
		e.front.clerk.ClientParts(e.rpc)
	}
}

// encode keeps an answer to be told again; of one that is too long what matters is kept.
func encode(r *reply, most int) []byte {
	if len(r.fields)+len(r.body) > most {
		r = &reply{204, httpwire.AppendField(nil, "Preference-Applied", "return=minimal"), nil}
	}
	out := binary.BigEndian.AppendUint16(nil, uint16(r.status))
	out = binary.BigEndian.AppendUint32(out, uint32(len(r.fields)))
	return append(append(out, r.fields...), r.body...)
}

func decode(kept []byte) *reply {
	n := binary.BigEndian.Uint32(kept[2:])
	return &reply{int(binary.BigEndian.Uint16(kept)), kept[6 : 6+n : 6+n], kept[6+n:]}
}
