// Package front is what every protocol with clients needs once: who is connected, who waits for what and for how
// long, who is let go when others need the room, and which ids are being served.
package front

import (
	"hash/fnv"
	"log/slog"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
	"passtack/internal/loop"
	"passtack/internal/slots"
)

const (
	patience = 2 * time.Second        // a client that has yet to ask, or says or reads half of something, is kept so long
	hesitant = 200 * time.Millisecond // since its start a client may take to ask, before it makes room for others
)

// Telling is the time which it may take to tell a client, and by which the kernel rounds.
const Telling = 10 * time.Millisecond

// Ids are those of the RPCs that clients wait for, at all fronts together.
type Ids map[string]bool

// SessionOf names the session by its key, at every front alike, so that a client may move between them.
func SessionOf(key []byte) driver.Session {
	hash := fnv.New64a()
	hash.Write(key)
	return driver.Session(max(1, hash.Sum64()))
}

// Handler is one connection's protocol. Asking tells that something of it is served; Half tells the client that half of
// something came and no more, and ends the connection. Refuse tells it that what came last was not begun, as the driver
// shuts down, and ends the connection.
type Handler interface {
	loop.Handler
	Asking() bool
	Half()
	Refuse()
}

// Connection is what the room knows of one connection.
type Connection struct {
	Stream *loop.Stream
	Handle slots.Handle
	Gone   bool // nothing more is read or said
	Begun  bool // half of a message has come
	Asked  bool // it has asked for something already

	room    *Connections
	handler Handler
	idle    time.Duration // since when nothing is asked, or half of it
	unsent  int           // bytes that it had not read when last looked at
	place   chain.Link[*Connection]
}

// Connections holds the connections of one listener.
type Connections struct {
	loop     *loop.Loop
	count    func(what string)
	open     slots.Table[*Connection]
	listener *loop.Listener
	leaving  bool                        // connections end between RPCs
	waiting  [2]chain.Chain[*Connection] // those that nothing is served for, in the order of idle: who never asked, who has of late
	resting  chain.Chain[*Connection]    // who has asked and nothing since, longer than that: they are kept while there is room
	asking   int                         // those that something is served for
	patrols  bool                        // a look at the first of them is due
	owed     int                         // connections that another room needs, to end once they are answered
	welcome  func(connection *Connection) Handler
}

// Listen takes connections in. Each brings no more than most bytes that are not taken; welcome makes its handler.
func Listen(l *loop.Loop, at netip.AddrPort, most int, door loop.Door, count func(what string),
	welcome func(*Connection) Handler) (*Connections, error) {
	r := &Connections{loop: l, count: count, welcome: welcome}
	var err error
	r.listener, err = l.Listen(at, most, door, r.accept, func(urgent bool) { r.yield(urgent) })
	return r, err
}

// Held tells how many connections there are, and what bytes past the common size they hold.
func (r *Connections) Held() (connections, bytes int) { return r.listener.Held() }

// Bear changes how many bytes that are not taken each new connection may bring.
func (r *Connections) Bear(most int) { r.listener.Bear(most) }

// Yield ends so many connections that another room needs: of those that ask nothing, else the next that are answered.
func (r *Connections) Yield(count int) {
	r.owed = 0
	for range count {
		if !r.yield(true) {
			r.owed++
		}
	}
}

// GiveWay ends a connection that asks nothing, if there is one.
func (r *Connections) GiveWay() bool { return r.yield(true) }

func (r *Connections) accept(open func(loop.Handler) *loop.Stream) {
	s := &Connection{room: r}
	s.place.Value = s
	s.handler = r.welcome(s)
	if s.Stream = open(s.handler); s.Stream == nil {
		return
	}
	if s.Handle = r.open.Put(s); s.Handle == 0 {
		s.Stream.Close()
		return
	}
	r.count("clients_accepted")
	s.Wait()
}

func (s *Connection) chain() *chain.Chain[*Connection] {
	if s.Asked {
		return &s.room.waiting[1]
	}
	return &s.room.waiting[0]
}

// Wait puts the client behind the others that wait, from now on.
func (s *Connection) Wait() {
	r := s.room
	s.idle, s.Begun = r.loop.Now(), false
	s.chain().Push(&s.place)
	if !r.patrols {
		r.patrols = true
		r.loop.At(s.idle+patience, r.patrol)
	}
}

// Serve tells that something is served for the client; Served that nothing is any more, and what it was told.
func (s *Connection) Serve() {
	s.place.Leave()
	s.Asked = true
	s.room.asking++
}

// Served notes that the request that was being served has its answer.
func (s *Connection) Served() {
	s.room.asking--
	s.unsent = 0
}

// Hears tells whether the client may be read from: who does not read gets nothing more to read. Where it may, it
// has begun to ask.
func (s *Connection) Hears() bool {
	if s.Stream.Unsent() > 0 || s.Stream.Weighs() {
		return false
	}
	if s.Asked && !s.Begun {
		s.Wait()
	}
	s.Begun = true
	return true
}

// patrol ends the connections of those who were waited for too long.
func (r *Connections) patrol() {
	r.patrols = false
	for i := range r.waiting {
		r.lookOver(&r.waiting[i])
	}
}

func (r *Connections) lookOver(waiting *chain.Chain[*Connection]) {
	for at := waiting.First(); at != nil; at = waiting.First() {
		s := at.Value
		if s.idle+patience > r.loop.Now() {
			if !r.patrols {
				r.patrols = true
				r.loop.At(s.idle+patience, r.patrol)
			}
			return
		}
		at.Leave()
		switch left := s.Stream.Unsent(); {
		case left > 0 && (s.unsent == 0 || left < s.unsent): // it reads, if slowly
			s.unsent = left
			s.Wait()
		case left > 0:
			r.count("clients_stuck")
			s.closing(ClosedStuck)
			s.Stream.Close()
			s.handler.Closed(nil)
		case len(s.Stream.Unread()) > 0:
			s.handler.Half()
		case s.Stream.Alive() && s.Asked:
			s.Begun = false
			r.resting.Push(&s.place)
		case s.Stream.Alive():
			s.Close(ClosedIdle)
		default: // something has come just now
			s.Wait()
		}
	}
}

// Leave forgets a connection that is gone.
func (s *Connection) Leave(cause error) {
	slog.Debug("client_gone", "client", s.Handle, "cause", cause)
	s.room.open.Drop(s.Handle)
	s.place.Leave()
	s.Gone = true
}

// Close ends the connection once what was said has been written.
func (s *Connection) Close(reason CloseReason) {
	s.closing(reason)
	s.Gone = true
	s.place.Leave()
	s.Stream.CloseWhenSent()
}

// Rest ends the connection if nothing more is served, and tells whether it did; else more may have come behind what
// was answered, and others may need the room.
func (s *Connection) Rest() (ended bool) {
	r := s.room
	if s.Stream.Spent() && len(s.Stream.Unread()) == 0 { // it sends no more
		s.Close(ClosedByClient)
		return true
	}
	if (r.leaving || r.owed > 0) && len(s.Stream.Unread()) == 0 && s.Stream.Alive() {
		r.owed = max(r.owed-1, 0)
		if r.leaving {
			s.Close(ClosedShutdown)
		} else {
			s.Close(ClosedShare)
		}
		return true
	}
	r.loop.Later(s.Stream.Look)
	r.spread()
	return false
}

// quiet tells of a client that asks nothing and has nothing to hear.
func (s *Connection) quiet() bool {
	return !s.handler.Asking() && !s.Gone && len(s.Stream.Unread()) == 0 && s.Stream.Unsent() == 0 && s.Stream.Alive()
}

// spread ends the connection that has asked nothing for longest once those who ask hold a fifth of the descriptors, or
// as much of this room's part. A third is all that they may, some never close, and many may come at once: others would
// find none left.
func (r *Connections) spread() {
	if r.resting.Count()+r.waiting[1].Count()+r.asking <= r.listener.Allowed()*8/25 {
		return
	}
	if !r.end(&r.resting, 0) {
		r.end(&r.waiting[1], 0)
	}
}

// end ends the connection that has asked nothing for longest of a chain, and for so long at least. It tells whether there was one.
func (r *Connections) end(of *chain.Chain[*Connection], least time.Duration) bool {
	for at := of.First(); at != nil; at = at.Next() {
		s := at.Value
		if r.loop.Now()-s.idle < least {
			return false
		}
		if s.quiet() {
			s.Close(ClosedIdle)
			return true
		}
	}
	return false
}

// yield ends the connection that has asked nothing for longest, of those that never have if there is one. Those that
// have yet to ask get a moment: their query may be on its way. The others get one unless that is urgent. It tells whether there was one.
func (r *Connections) yield(urgent bool) bool {
	least := hesitant
	if urgent {
		least = 0
	}
	return r.end(&r.waiting[0], hesitant) || r.end(&r.resting, 0) || r.end(&r.waiting[1], least)
}

// Leave ends each connection as soon as nothing of it is served.
func (r *Connections) Leave() { r.leaving = true }

// Shut takes no new connections; those that wait to be taken in still are.
func (r *Connections) Shut() { r.listener.Drain() }

// Sweep ends what has asked nothing for some time. It counts the clients that remain, and those that may yet be taken in
// as one.
func (r *Connections) Sweep(idle time.Duration) int {
	r.open.Each(func(_ slots.Handle, s *Connection) {
		if s.quiet() && r.loop.Now()-s.idle >= idle {
			s.Close(ClosedShutdown)
		}
	})
	if !r.listener.Closed() {
		return r.open.Count() + 1
	}
	return r.open.Count()
}

// Finish ends all connections on which nothing is served, without reading on. What was read of a request is refused: it was
// not forwarded. What has not been read is left so, by which its client knows that it may ask elsewhere.
func (r *Connections) Finish() {
	r.listener.Close()
	r.open.Each(func(_ slots.Handle, s *Connection) {
		switch {
		case s.Gone || s.handler.Asking():
		case len(s.Stream.Unread()) > 0:
			s.handler.Refuse()
		default:
			s.Close(ClosedShutdown)
		}
	})
}

// Handler gives who has the handle, nil where nobody does.
func (r *Connections) Handler(h slots.Handle) Handler {
	if s := r.open.Get(h); s != nil {
		return s.handler
	}
	return nil
}

// Count tells how many are connected.
func (r *Connections) Count() int { return r.open.Count() }
