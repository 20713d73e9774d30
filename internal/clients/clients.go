// Package clients is the side of the driver that clients speak with.
package clients

import (
	"container/list"
	"hash/fnv"
	"net/netip"
	"strconv"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/pgwire"
	"passtack/internal/slots"
)

// Host takes the RPCs that clients send.
type Host interface {
	Take(from slots.Handle, method driver.Method, group driver.Group, session driver.Session,
		until, wrote time.Duration, repeat bool) driver.RPC
	ClientLeft(rpc driver.RPC)
	Count(what string)
}

// Front is all that clients are connected to.
type Front struct {
	loop     *loop.Loop
	host     Host
	methods  map[string]driver.Method
	sessions map[driver.Method]bool // methods whose quoted key names the session
	tokened  map[driver.Method]bool
	open     map[string]bool // ids of the RPCs that clients wait for
	clients  slots.Table[*client]
	listener *loop.Listener
	leaving  bool                // connections end between RPCs
	waiting  map[bool]*list.List // the clients that no RPC is served for, in the order of idle, by asked
	patrols  bool                // a look at the first of them is due
}

const (
	patience = 2 * time.Second        // a client that says or reads nothing, or half of it, is kept so long
	telling  = 10 * time.Millisecond  // which it may take to tell a client, and by which the kernel rounds
	bearable = 8                      // messages of no use that a client may send
	hesitant = 200 * time.Millisecond // since its start a client may take to ask, before it makes room for others
)

type client struct {
	front    *Front
	handle   slots.Handle
	stream   *loop.Stream
	started  bool
	gone     bool
	rpc      driver.RPC // that is being served
	serving  bool
	asking   bool // the host is being asked to take it
	size     int  // bytes of the message that asked for it
	text     int  // where the statement starts in the message
	id       string
	budget   [2]int
	checked  int // bytes from there on in which only whole heads were found
	unclear  int // messages that were of no use
	asked    bool
	answered time.Duration // when it last was
	idle     time.Duration // since when nothing is asked, or half of it
	begun    bool          // half of a message has come
	unsent   int           // bytes that it had not read when last looked at
	place    *list.Element // in the front's waiting
}

// Listen starts to take clients in. The methods are named in their order.
func Listen(l *loop.Loop, host Host, at netip.AddrPort, methods []string, sessions, tokened []bool) (*Front, error) {
	f := &Front{
		loop: l, host: host, methods: make(map[string]driver.Method), sessions: make(map[driver.Method]bool),
		tokened: make(map[driver.Method]bool), open: make(map[string]bool),
		waiting: map[bool]*list.List{false: list.New(), true: list.New()},
	}
	for i, name := range methods {
		number := driver.Method(i)
		f.methods[name], f.sessions[number], f.tokened[number] = number, sessions[i], tokened[i]
	}
	var err error
	f.listener, err = l.Listen(at, pgwire.Most+1, f.accept, f.yield)
	return f, err
}

func (f *Front) accept(open func(loop.Owner) *loop.Stream) {
	c := &client{front: f}
	if c.stream = open(c); c.stream == nil {
		return
	}
	if c.handle = f.clients.Put(c); c.handle == 0 {
		c.stream.Close()
		return
	}
	f.host.Count("clients_accepted")
	f.wait(c)
}

// wait puts the client behind the others that wait, from now on.
func (f *Front) wait(c *client) {
	f.waitsNoMore(c)
	c.idle, c.begun, c.place = f.loop.Now(), false, f.waiting[c.asked].PushBack(c)
	if !f.patrols {
		f.patrols = true
		f.loop.At(c.idle+patience, f.patrol)
	}
}

func (f *Front) waitsNoMore(c *client) {
	if c.place != nil {
		f.waiting[c.asked].Remove(c.place)
		c.place = nil
	}
}

// patrol ends the connections of those who were waited for too long.
func (f *Front) patrol() {
	f.patrols = false
	f.lookOver(f.waiting[false])
	f.lookOver(f.waiting[true])
}

func (f *Front) lookOver(waiting *list.List) {
	for e := waiting.Front(); e != nil; e = waiting.Front() {
		c := e.Value.(*client)
		if c.idle+patience > f.loop.Now() {
			if !f.patrols {
				f.patrols = true
				f.loop.At(c.idle+patience, f.patrol)
			}
			return
		}
		f.waitsNoMore(c)
		switch left := c.stream.Unsent(); {
		case left > 0 && (c.unsent == 0 || left < c.unsent): // it reads, if slowly
			c.unsent = left
			f.wait(c)
		case left > 0:
			f.host.Count("clients_stuck")
			c.stream.Close()
			c.Closed(nil)
		case len(c.stream.Unread()) > 0:
			c.fail("08P01", "half of a message came and no more")
		case c.stream.Alive():
			f.host.Count("clients_closed_idle")
			c.close()
		default: // something has come just now
			f.wait(c)
		}
	}
}

func (c *client) Opened() {}

func (c *client) Closed(cause error) {
	c.front.clients.Drop(c.handle)
	c.front.waitsNoMore(c)
	c.gone = true
	c.letGo()
}

// letGo tells that nobody waits for the RPC that is served, if there is one.
func (c *client) letGo() {
	if c.serving {
		c.served()
		c.front.host.ClientLeft(c.rpc)
	}
}

func (c *client) served() {
	c.serving = false
	delete(c.front.open, c.id)
}

// Panicked aborts what was being served: it may have run.
func (c *client) Panicked(cause error) {
	if !c.gone {
		c.stream.Send(pgwire.AppendError(nil, true, "58000", "aborted", -1))
	}
	c.letGo()
	c.close()
}

// close ends the connection once what was said has been written.
func (c *client) close() {
	c.gone = true
	c.front.waitsNoMore(c)
	c.stream.CloseWhenSent()
}

// fail ends what cannot be read, whatever is served on it.
func (c *client) fail(code, message string) {
	c.front.host.Count("clients_refused")
	c.letGo()
	c.stream.Send(pgwire.AppendError(nil, true, code, message, -1))
	c.close()
}

func (c *client) Input(in []byte) int {
	if c.gone {
		return len(in)
	}
	if c.serving {
		c.foresee(in)
		return 0
	}
	if c.stream.Unsent() > 0 { // who does not read gets nothing more to read
		return 0
	}
	if c.asked && !c.begun {
		c.front.wait(c)
	}
	c.begun = true
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
		c.close()
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
	c.front.host.Count("clients_unclear")
	if c.unclear++; c.unclear > bearable {
		c.fail("08P01", message)
		return
	}
	c.stream.Send(pgwire.AppendError(nil, false, "08P01", message, -1), pgwire.AppendReady(nil))
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
		c.stream.Send([]byte{'N'})
	case code == pgwire.Cancel:
		c.close()
	case code>>16 != pgwire.Version3>>16:
		c.fail("0A000", "only version 3 of the protocol is spoken")
	default:
		c.started = true
		c.stream.Send(pgwire.AppendWelcome(nil, uint32(c.handle)))
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
	if none != nil || commit < 0 || commit > int64((f.loop.Now()+time.Second)/time.Millisecond) { // nobody has it yet
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
	session := driver.Session(0)
	if key := pgwire.Quoted(rest); f.sessions[number] && key != nil {
		hash := fnv.New64a()
		hash.Write(key)
		session = driver.Session(max(1, hash.Sum64()))
	}
	if commit > 0 {
		wrote = max(1, f.loop.Now()-time.Duration(commit)*time.Millisecond)
	}
	// Its time counts from its last byte, but not while an earlier one is answered.
	until := max(f.loop.Now()-c.stream.Age(), c.answered) + time.Duration(millis)*time.Millisecond - telling
	f.waitsNoMore(c)
	c.serving, c.asking, c.asked, c.size, c.text, c.checked = true, true, true, size, 5, size
	c.id = string(id)
	f.open[c.id] = true
	c.rpc = f.host.Take(c.handle, number, driver.Group(in), session, until, wrote, repeat)
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
		c.stream.Send(pgwire.AppendEmpty(nil))
	case "SET", "RESET", "DISCARD":
		c.stream.Send(pgwire.AppendDone(nil, word))
	default:
		c.useless("a statement without a comment")
	}
}

// Statement is the text of the RPC that the client waits for, before and after the time it gives.
func (f *Front) Statement(h slots.Handle) (before, after []byte) {
	c := f.clients.Get(h)
	if c == nil || !c.serving {
		return nil, nil
	}
	text := c.stream.Unread()[c.text : c.size-1]
	return text[:c.budget[0]], text[c.budget[1]:]
}

// Answer passes a member's rows on.
func (f *Front) Answer(h slots.Handle, rows ...[]byte) {
	f.end(h, append(rows, pgwire.AppendReady(nil))...)
}

// PushBack tells the client that it may come again, after some time if one is given.
func (f *Front) PushBack(h slots.Handle, comeBack time.Duration) {
	detail := -1
	if comeBack > 0 {
		detail = int((comeBack + time.Millisecond - 1) / time.Millisecond)
	}
	f.end(h, pgwire.AppendError(nil, false, "53300", "pushed back", detail), pgwire.AppendReady(nil))
}

// Abort tells the client that the RPC failed and may have run.
func (f *Front) Abort(h slots.Handle) {
	f.end(h, pgwire.AppendError(nil, false, "58000", "aborted", -1), pgwire.AppendReady(nil))
}

func (f *Front) end(h slots.Handle, parts ...[]byte) {
	c := f.clients.Get(h)
	if c == nil || !c.serving {
		return
	}
	c.served()
	c.answered, c.unsent = f.loop.Now(), 0
	f.wait(c)
	c.stream.Send(parts...)
	if c.asking {
		return
	}
	c.stream.Skip(c.size)
	if f.leaving && len(c.stream.Unread()) == 0 && c.stream.Alive() {
		c.close()
		return
	}
	f.loop.Later(c.stream.Look) // more may have come behind it
	f.spread()
}

// quiet tells of a client that asks nothing and has nothing to hear.
func (c *client) quiet() bool {
	return !c.serving && !c.gone && len(c.stream.Unread()) == 0 && c.stream.Unsent() == 0 && c.stream.Alive()
}

// spread ends the connection that has asked nothing for longest once those who ask hold a fifth of the descriptors.
// A third is all that they may, some never close, and many may come at once: others would find none left.
func (f *Front) spread() {
	if f.waiting[true].Len()+len(f.open) <= f.loop.Most()/5 {
		return
	}
	for e := f.waiting[true].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); c.quiet() {
			f.host.Count("clients_closed_idle")
			c.close()
			return
		}
	}
}

// yield ends the connection that has asked nothing for longest, of those that never have if there is one. Those that
// have yet to ask get a moment: their query may be on its way. The others get one unless that is urgent.
func (f *Front) yield(urgent bool) {
	for _, asked := range []bool{false, true} {
		for e := f.waiting[asked].Front(); e != nil; e = e.Next() {
			c := e.Value.(*client)
			if f.loop.Now()-c.idle < hesitant && !(asked && urgent) {
				break
			}
			if c.quiet() {
				f.host.Count("clients_closed_idle")
				c.close()
				return
			}
		}
	}
}

// Leave ends connections between RPCs from now on; new ones are still served.
func (f *Front) Leave() {
	f.leaving = true
	f.clients.Each(func(_ slots.Handle, c *client) {
		if c.started && c.quiet() {
			c.close()
		}
	})
}

// Shut takes no new connections; those that wait to be taken in still are.
func (f *Front) Shut() { f.listener.Drain() }

// Sweep ends what has asked nothing for some time, and what has not moved for longer. It counts the clients that
// remain.
func (f *Front) Sweep(idle, patience time.Duration) int {
	f.clients.Each(func(_ slots.Handle, c *client) {
		if c.quiet() && f.loop.Now()-c.idle >= idle {
			c.close()
		} else if !c.serving && f.loop.Now()-c.idle > patience {
			c.stream.Close()
			f.clients.Drop(c.handle)
		}
	})
	return f.clients.Count()
}

// Open counts the clients that are connected.
func (f *Front) Open() int { return f.clients.Count() }
