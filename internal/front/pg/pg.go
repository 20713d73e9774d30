// Package pg is the front for clients that speak version 3 of PostgreSQL's protocol: simple queries, no password.
package pg

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/loop"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
	"passtack/internal/slots"
)

// Front is all that clients are connected to.
type Front struct {
	loop        *loop.Loop
	clerk       driver.Clerk
	methods     map[string]driver.Method
	sessions    map[driver.Method]bool // methods whose quoted key names the session
	tokened     map[driver.Method]bool
	open        front.Ids
	connections *front.Connections
	secrets     *pcg.Source
}

const bearable = 8 // messages of no use that a client may send

type client struct {
	*front.Connection
	front   *Front
	started bool
	rpc     driver.RPC // that is being served
	serving bool
	asking  bool // the host is being asked to take it
	ask     driver.Ask
	size    int // bytes of the message that asked for it
	text    int // where the statement starts in the message
	id      string
	budget  [2]int
	checked int    // bytes from there on in which only whole heads were found
	unclear int    // messages that were of no use
	secret  uint32 // by which it may cancel
}

// Listen starts to take clients in. The methods are named in their order.
func Listen(l *loop.Loop, clerk driver.Clerk, at netip.AddrPort, door loop.Door, open front.Ids, methods []string,
	sessions, tokened []bool, seed uint64) (*Front, error) {
	f := &Front{secrets: pcg.New(seed), loop: l, clerk: clerk, open: open}
	f.Methods(methods, sessions, tokened)
	var err error
	f.connections, err = front.Listen(l, at, pgwire.Most+1, door, clerk.Count, func(s *front.Connection) front.Handler {
		return &client{Connection: s, front: f, secret: f.secrets.Uint32()}
	})
	return f, err
}

// Methods changes which methods may be asked for, by number; one without a name may not.
func (f *Front) Methods(names []string, sessions, tokened []bool) {
	f.methods, f.sessions, f.tokened = make(map[string]driver.Method), make(map[driver.Method]bool), make(map[driver.Method]bool)
	for i, name := range names {
		if number := driver.Method(i); name != "" {
			f.methods[name], f.sessions[number], f.tokened[number] = number, sessions[i], tokened[i]
		}
	}
}

// Asking tells that an RPC is served.
func (c *client) Asking() bool { return c.serving }

// Half answers half of a message.
func (c *client) Half() { c.fail("08P01", "half of a message came and no more") }

// Refuse answers what was read and not begun.
func (c *client) Refuse() {
	c.Stream.Send(pgwire.AppendError(nil, true, "57P03", "the driver is shutting down", -1))
	c.Close(front.ClosedShutdown)
}

// Opened implements loop.Handler.
func (c *client) Opened() {}

// Closed implements loop.Handler.
func (c *client) Closed(cause error) {
	c.Connection.Leave(cause)
	c.letGo()
}

// letGo tells that nobody waits for the RPC that is served, if there is one.
func (c *client) letGo() {
	if c.serving {
		c.served()
		c.front.clerk.ClientLeft(c.rpc)
	}
}

// Parting: a status is skipped by who reads on.
func (c *client) Parting(pending bool) []byte {
	if !c.started || c.Gone || !c.serving && !pending && len(c.Stream.Unread()) == 0 {
		return nil
	}
	if c.serving {
		c.front.clerk.ClientParts(c.rpc)
	}
	return pgwire.AppendParameter(nil, "client_encoding", "UTF8")
}

// cancel ends the RPC of a client that asks for it by another connection.
func (f *Front) cancel(of driver.Client, secret uint32) {
	if c := f.client(of); c != nil && c.secret == secret {
		f.clerk.Count("clients_cancelled")
		f.end(of, pgwire.AppendError(nil, false, "57014", "cancelled", -1), ready)
		f.clerk.ClientLeft(c.rpc)
	}
}

func (c *client) served() {
	c.serving = false
	c.Connection.Served()
	delete(c.front.open, c.id)
}

// Panicked aborts what was being served: it may have run.
func (c *client) Panicked(cause error) {
	if !c.Gone {
		c.Stream.Send(pgwire.AppendError(nil, true, "58000", "aborted", -1))
	}
	c.letGo()
	c.Close(front.ClosedPanic)
}

// fail ends what cannot be read, whatever is served on it.
func (c *client) fail(code, message string) {
	c.front.clerk.Count("clients_refused")
	c.letGo()
	c.Stream.Send(pgwire.AppendError(nil, true, code, message, -1))
	c.Close(front.ClosedUnreadable)
}

// Input implements loop.Handler: it reads one message at a time.
func (c *client) Input(in []byte) int {
	if c.Gone {
		return len(in)
	}
	if c.serving {
		c.foresee(in)
		return 0
	}
	if !c.Hears() {
		return 0
	}
	if !c.started {
		return c.start(in)
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil {
		c.fail("08P01", err.Error())
		return len(in)
	}
	if !spoken(kind) {
		c.fail("08P01", "only simple queries are served")
		return len(in)
	}
	if size == 0 {
		return 0
	}
	if kind == 'X' {
		c.Close(front.ClosedByClient)
		return len(in)
	}
	text, ok := pgwire.Text(body)
	if !ok {
		c.fail("08P01", "a query without its end")
		return len(in)
	}
	return c.query(text, size)
}

// spoken tells whether messages of the kind are served; 0 stands for one whose head is not whole.
func spoken(kind byte) bool { return kind == 'Q' || kind == 'X' || kind == 0 }

// foresee looks behind the RPC that is served: what cannot be read there ends the connection at once.
func (c *client) foresee(in []byte) {
	for c.checked < len(in) {
		kind, _, size, err := pgwire.Next(in[c.checked:])
		if err != nil || !spoken(kind) {
			c.fail("08P01", "what came behind the query cannot be read")
			return
		}
		if size == 0 {
			return
		}
		c.checked += size
	}
}

// useless answers a message that nothing can be done with; who sends too many of them is let go.
func (c *client) useless(message string) {
	c.front.clerk.Count("clients_unclear")
	if c.unclear++; c.unclear > bearable {
		c.fail("08P01", message)
		return
	}
	c.Stream.Send(pgwire.AppendError(nil, false, "08P01", message, -1), pgwire.AppendReady(nil))
}

func (c *client) start(in []byte) int {
	code, size, err := pgwire.First(in)
	switch {
	case err != nil:
		c.fail("08P01", err.Error())
		return len(in)
	case size == 0:
		return 0
	case (code == pgwire.TLS || code == pgwire.GSS) && c.unclear < bearable:
		c.unclear++
		c.Stream.Send([]byte{'N'})
	case code == pgwire.Cancel:
		if process, secret, ok := pgwire.Cancelled(in[:size]); ok {
			c.front.cancel(driver.Client(process), secret)
		}
		c.Close(front.ClosedByClient)
	case code>>16 != pgwire.Version3>>16:
		c.fail("0A000", "only version 3 of the protocol is spoken")
	default:
		c.started = true
		c.Stream.Send(pgwire.AppendWelcome(nil, uint32(c.Handle), c.secret))
	}
	return size
}

func (c *client) query(text []byte, size int) int {
	f := c.front
	var id, method, limit, group, after, token []byte
	repeat, odd, wrote := false, false, time.Duration(0)
	once := func(field *[]byte, value []byte) {
		odd = odd || *field != nil
		*field = value
	}
	rest, ok := pgwire.Comment(text, func(name, value []byte, from, to int) {
		switch string(name) {
		case "id":
			once(&id, value)
		case "c":
			once(&method, value)
		case "d":
			once(&limit, value)
			c.budget = [2]int{from, to}
		case "k":
			once(&token, value)
		case "cluster":
			once(&group, value)
		case "after":
			once(&after, value)
		case "r":
			repeat = string(value) == "1"
		}
	})
	if !ok {
		c.bare(text)
		return size
	}
	number, known := f.methods[string(method)]
	millis, err := strconv.ParseInt(string(limit), 10, 32)
	in, wrong := strconv.ParseUint(string(group), 10, 16)
	commit, none := strconv.ParseInt(string(after), 10, 64)
	if none != nil || commit < 0 || commit > int64((f.clerk.MembersNow()+time.Second)/time.Millisecond) { // nobody has it yet
		odd = odd || len(after) > 0
	}
	if !known || err != nil || millis <= 0 || wrong != nil || odd || len(rest) == 0 || len(id) == 0 ||
		f.tokened[number] && len(token) == 0 {
		c.useless("the comment of the statement is of no use")
		return size
	}
	if f.open[string(id)] {
		c.useless("an RPC of this id is being served")
		return size
	}
	if f.clerk.FormOf(driver.Group(in)) != driver.Statements {
		c.useless("the members of this group take no statements")
		return size
	}
	session := driver.Session(0)
	if key := pgwire.Quoted(rest); f.sessions[number] && key != nil {
		session = front.SessionOf(key)
	}
	if commit > 0 {
		wrote = max(1, f.clerk.MembersNow()-time.Duration(commit)*time.Millisecond)
	}
	// Its time counts from its last byte, also while it waits behind another: its client leaves by its own clock.
	came := c.Stream.Came(size)
	until := came + time.Duration(millis)*time.Millisecond - front.Telling
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request", "id", string(id), "client", c.Handle, "method", string(method), "left_ms", (until - f.loop.Now()).Milliseconds())
	}
	c.Serve()
	c.serving, c.asking, c.size, c.text, c.checked = true, true, size, 5, size
	c.id = string(id)
	f.open[c.id] = true
	c.rpc = f.clerk.Take(f, driver.Client(c.Handle), number, driver.Group(in), session, came, until, wrote, repeat)
	if c.asking = false; c.serving {
		return 0
	}
	return size
}

// bare answers what is no statement of an RPC: the empty query, by which the front sees that this driver is
// ready, and commands that change nothing here.
func (c *client) bare(text []byte) {
	word := ""
	for _, b := range text {
		if b|0x20 >= 'a' && b|0x20 <= 'z' {
			word += string(b &^ 0x20)
		} else if word != "" {
			break
		} else if b != ' ' && b != ';' && b != '\n' && b != '\t' && b != '\r' {
			word = "?"
			break
		}
	}
	switch word {
	case "":
		c.Stream.Send(pgwire.AppendEmpty(nil))
	case "SET", "RESET", "DISCARD":
		c.Stream.Send(pgwire.AppendDone(nil, word))
	default:
		c.useless("a statement without a comment")
	}
}

func (f *Front) client(of driver.Client) *client {
	if c, ok := f.connections.Handler(slots.Handle(of)).(*client); ok && c.serving {
		return c
	}
	return nil
}

// Ask is the statement of the RPC that the client waits for, before and after the time it gives.
func (f *Front) Ask(from driver.Client) *driver.Ask {
	c := f.client(from)
	if c == nil {
		return nil
	}
	text := c.Stream.Unread()[c.text : c.size-1]
	c.ask.Before, c.ask.After = text[:c.budget[0]], text[c.budget[1]:]
	return &c.ask
}

var ready = pgwire.AppendReady(nil)

// Answer passes a member's rows on.
func (f *Front) Answer(to driver.Client, a *driver.Answer) { f.end(to, append(a.Parts, ready)...) }

// PushBack tells the client that it may come again, after some time if one is given.
func (f *Front) PushBack(to driver.Client, comeBack time.Duration) {
	detail := -1
	if comeBack > 0 {
		detail = int((comeBack + time.Millisecond - 1) / time.Millisecond)
	}
	f.end(to, pgwire.AppendError(nil, false, "53300", "pushed back", detail), ready)
}

// Abort tells the client that the RPC failed and may have run.
func (f *Front) Abort(to driver.Client) {
	f.end(to, pgwire.AppendError(nil, false, "58000", "aborted", -1), ready)
}

func (f *Front) end(to driver.Client, parts ...[]byte) {
	c := f.client(to)
	if c == nil {
		return
	}
	c.served()
	c.Wait()
	c.Stream.Send(parts...)
	if c.asking {
		return
	}
	c.Stream.Skip(c.size)
	c.Rest()
}

// Connections gives those that it holds.
func (f *Front) Connections() *front.Connections { return f.connections }

// Shut implements driver.Front.
func (f *Front) Shut() { f.connections.Shut() }

// Leave implements driver.Front.
func (f *Front) Leave() { f.connections.Leave() }

// Sweep implements driver.Front.
func (f *Front) Sweep(idle time.Duration) int { return f.connections.Sweep(idle) }

// Finish implements driver.Front.
func (f *Front) Finish() { f.connections.Finish() }

// Open implements driver.Front.
func (f *Front) Open() int { return f.connections.Count() }
