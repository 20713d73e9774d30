package node

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"passtack/internal/config"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/pgwire"
	"passtack/internal/settings"
)

// What follows lets a client go while its RPC rests at each place where one can, and looks at what still reaches members.

const ms = time.Millisecond

// scene is one driver, two members of one group and a client, in simulated time.
type scene struct {
	t       *testing.T
	world   *sim.World
	driver  *sim.Host
	node    *Node
	members [2]*actor
	client  *caller
	sent    map[string][]time.Duration // when members had each RPC whole
}

// actor is a member that does as it is told.
type actor struct {
	scene  *scene
	loop   *loop.Loop
	at     netip.AddrPort
	greets time.Duration                            // after so long it lets a connection in
	act    func(c *acted, id string, answer func()) // at each query; answer gives the row
	told   func(text string)                        // sees each query before act does
	reads  int                                      // bytes of one query that it takes
	ended  int                                      // connections that the driver ended
}

type acted struct {
	actor  *actor
	stream *loop.Stream
	began  bool
}

func (c *acted) Opened()        {}
func (c *acted) Closed(error)   { c.actor.ended++ }
func (c *acted) Panicked(error) {}

func (c *acted) Input(in []byte) int {
	a := c.actor
	if !c.began {
		if _, size, err := pgwire.First(in); err != nil || size == 0 {
			return 0
		}
		c.began = true
		a.loop.At(a.loop.Now()+a.greets, func() { c.stream.Send(pgwire.AppendWelcome(nil, 1, 1)) })
		return len(in)
	}
	_, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 {
		return 0
	}
	id := field(string(body[:len(body)-1]), "id")
	s := a.scene
	s.sent[id] = append(s.sent[id], s.world.Now())
	a.told(string(body[:len(body)-1]))
	a.act(c, id, func() { c.stream.Send(pgwire.AppendReady(note(rows("value of "+id), "leader"))) })
	return size
}

func (c *acted) refuse(code string) {
	c.stream.Send(pgwire.AppendReady(note(pgwire.AppendError(nil, false, code, "no", -1), "leader")))
}

// caller is a client whose bytes the test writes.
type caller struct {
	loop   *loop.Loop
	stream *loop.Stream
	heard  []string // each message's kind, and what an error or a row says
	closed time.Duration
	secret [8]byte
	again  func()
}

func (c *caller) Opened() {}
func (c *caller) Closed(error) {
	if c.closed = c.loop.Now(); c.again != nil {
		c.loop.At(c.closed+100*ms, c.again)
	}
}
func (c *caller) Panicked(error) {}

func (c *caller) Input(in []byte) int {
	kind, body, size, err := pgwire.Next(in)
	if err != nil || size == 0 {
		return 0
	}
	switch kind {
	case 'K':
		copy(c.secret[:], body)
	case 'E':
		pgwire.Fields(body, func(f byte, value []byte) {
			if f == 'C' {
				c.heard = append(c.heard, string(value))
			}
		})
	case 'D':
		c.heard = append(c.heard, string(body[6:]))
	}
	return size
}

func newScene(t *testing.T, change func(map[string]string), descriptors int) *scene {
	return newSceneWith(t, change, descriptors, "")
}

// newSceneWith gives the driver a file of its operator too.
func newSceneWith(t *testing.T, change func(map[string]string), descriptors int, wanted string) *scene {
	return newSceneOn(t, change, descriptors, wanted, func(h *sim.Host) loop.System { return h })
}

// newSceneOn lets the driver run on a system of the test's own.
func newSceneOn(t *testing.T, change func(map[string]string), descriptors int, wanted string, system func(*sim.Host) loop.System) *scene {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	s := &scene{t: t, world: sim.New(1, epoch), sent: make(map[string][]time.Duration)}
	on := func(h *sim.Host) *loop.Loop {
		l, err := loop.On(h, 1000, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	var targets []string
	for i := range s.members {
		a := &actor{scene: s, at: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:5432", i+1)), reads: 1 << 20}
		a.loop = on(s.world.Host(fmt.Sprint("m", i)))
		a.act = func(_ *acted, _ string, answer func()) { answer() }
		a.told = func(string) {}
		if _, err := a.loop.Listen(a.at, 1<<20, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
			c := &acted{actor: a}
			c.stream = open(c)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		s.members[i] = a
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, i, a.at))
	}
	site := &Site{
		Name: "d", Listen: netip.MustParseAddrPort("10.0.0.1:6543"), Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: 5,
		Descriptors: descriptors, Memory: 64 << 20, InitialList: []byte(listOf(1, true, targets...)), Settings: settings.Flatten(simSettings(t)),
	}
	if change != nil {
		change(site.Settings)
	}
	s.driver = s.world.Host("d")
	l, err := loop.On(system(s.driver), descriptors, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	wants := config.Default()
	if wanted != "" {
		site.ConfigFile = filepath.Join(t.TempDir(), "passtack.hcl")
		os.WriteFile(site.ConfigFile, []byte(wanted), 0o600)
		if wants, err = site.ReadConfig(); err != nil {
			t.Fatal(err)
		}
	}
	if s.node, err = On(l, site, wants); err != nil {
		t.Fatal(err)
	}
	s.driver.Serve(l, func() {})
	s.client = s.dial(on(s.world.Host("c")))
	return s
}

func (s *scene) dial(l *loop.Loop) *caller {
	c := &caller{loop: l}
	l.Later(func() {
		var err error
		if c.stream, err = l.Dial(s.node.site.Listen, c, 1<<20); err != nil {
			s.t.Fatal(err)
		}
		c.stream.Send(pgwire.AppendFirst(nil, "app", "shop"))
	})
	return c
}

// at does something so long after the start.
func (s *scene) at(after time.Duration, act func()) { s.world.At(epoch+after, act) }

// ask lets the client send statements at once.
func (s *scene) ask(after time.Duration, texts ...string) {
	s.at(after, func() {
		s.client.loop.At(s.world.Now(), func() {
			var all []byte
			for _, text := range texts {
				all = append(all, asQuery(text)...)
			}
			s.client.stream.Send(all)
		})
	})
}

// ways are those in which a client goes; the other side of a half-close reads on, and is no such.
var ways = map[string]func(s *scene){
	"closes": func(s *scene) { s.client.stream.Close() },
	"resets": func(s *scene) { s.client.stream.Reset() },
	"cancels": func(s *scene) {
		by := &caller{loop: s.client.loop}
		stream, err := by.loop.Dial(s.node.site.Listen, by, 1<<10)
		if err != nil {
			s.t.Fatal(err)
		}
		ask := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.Cancel)
		stream.Send(append(ask, s.client.secret[:]...))
	},
}

// goes lets the client go.
func (s *scene) goes(after time.Duration, how func(*scene)) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { how(s) }) })
}

const pays = `/* id=%s,c=%s,d=2000,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('7', '%s')`

func order(id string) string { return fmt.Sprintf(pays, id, "order", id, "x") }

// placesToRest are where an RPC can be when its client goes at 150 ms; each gives what is asked at 100 ms. RPC b is looked at.
var placesToRest = map[string]func(s *scene) []string{
	"unread behind another": func(s *scene) []string {
		for _, m := range s.members {
			m.act = func(_ *acted, id string, answer func()) { m.loop.At(s.world.Now()+200*ms, answer) }
		}
		return []string{order("a"), order("b")}
	},
	"held by the module": func(s *scene) []string {
		for _, m := range s.members {
			m.act = func(c *acted, id string, _ func()) { c.refuse("25006") } // nobody is the primary
		}
		return []string{order("b")}
	},
	"waiting for a connection to come up": func(s *scene) []string {
		for _, m := range s.members {
			m.greets = 200 * ms
		}
		return []string{order("b")}
	},
	"between two attempts, in one turn": func(s *scene) []string {
		for _, m := range s.members {
			m.act = func(c *acted, id string, _ func()) { m.loop.At(epoch+140*ms, func() { c.refuse("53300") }) }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"unread behind one that is held, in one turn": func(s *scene) []string {
		for _, m := range s.members {
			m.act = func(c *acted, id string, _ func()) { c.refuse("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("a"), order("b")}
	},
	"held, and both are due in one turn": func(s *scene) []string {
		for _, m := range s.members {
			m.act = func(c *acted, id string, _ func()) { c.refuse("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"come up and gone in one turn": func(s *scene) []string {
		for _, m := range s.members {
			m.greets = 35 * ms
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 320*ms) })
		return []string{order("b")}
	},
	"written in part": func(s *scene) []string {
		slow := sim.Plain
		slow.Rate = 300 << 10
		for i := range s.members {
			s.world.OneWay(s.driver, s.world.Hosts()[i], slow)
		}
		return []string{fmt.Sprintf(pays, "b", "order", "b", strings.Repeat("x", 200<<10))}
	},
}

// No attempt begins over 0.1 s after the client has gone, in whatever way and wherever its RPC rests, also where running
// attempts may not be cancelled. A turn that finds both hears the client first.
func TestNothingIsSentForWhoHasGone(t *testing.T) {
	for place, prepare := range placesToRest {
		for way, leave := range ways {
			for _, may := range []string{"true", "false"} {
				// A cancel ends what is served, not what waits behind it; and it comes by a connection of its own, which must be
				// taken in and read: after a halt that is one turn late.
				if way == "cancels" && (strings.HasPrefix(place, "unread") || strings.HasSuffix(place, "one turn")) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/cancel=%s", place, way, may), func(t *testing.T) {
					s := newScene(t, func(settings map[string]string) { settings["caps.cancel"] = may }, 256)
					asked := prepare(s)
					s.ask(100*ms, asked...)
					s.goes(150*ms, leave)
					s.world.Run(epoch + 4*time.Second)
					for _, at := range s.sent["b"] {
						if at > epoch+250*ms {
							t.Errorf("a member had it whole %v after its client had gone", at-epoch-150*ms)
						}
					}
					if s.node.rpcs.Len() != 0 || s.node.members.pools[0].Out() != 0 || s.node.members.pools[0].Waiting() != 0 {
						t.Errorf("%d RPCs are left, %d attempts out, %d waiting", s.node.rpcs.Len(), s.node.members.pools[0].Out(), s.node.members.pools[0].Waiting())
					}
				})
			}
		}
	}
}

// Who ends only the sending side and reads on hears one answer to each RPC that was sent, and then the end. On real sockets.
func TestWhoOnlyEndsItsSendingSideHearsItsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		asked []string
		out   bool // the first is at the member before the end comes
	}{
		"one that is out": {[]string{"b"}, true}, "two behind each other": {[]string{"c", "d"}, true},
		"one that comes with the end": {[]string{"e"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan bool, 9), make(chan bool, 9)
			m := startMember(t, func(c net.Conn, q *query) bool {
				arrived <- true
				<-release
				return leader(c, q)
			})
			d := start(t, freeAddress(t), 100, listOf(1, true, target(0, 0, m.listener.Addr(), "in_service")))
			client := dial(t, d.at)
			client.SetReadDeadline(time.Now().Add(5 * time.Second))
			for kind := byte(0); kind != 'Z'; { // it is let in
				var err error
				if kind, _, err = message(client.r); err != nil {
					t.Fatal(err)
				}
			}
			var all []byte
			for _, id := range c.asked {
				all = append(all, asQuery(statement(id, "look", 2000, 0))...)
			}
			client.Write(all)
			if c.out {
				<-arrived
			}
			if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The driver asks who is there with a status: it has noticed.
			if kind, _, err := message(client.r); kind != 'S' || err != nil {
				t.Fatalf("a message %q came, %v", kind, err)
			}
			for _, id := range c.asked {
				release <- true
				// What had not gone out when the end came may be pushed back.
				if got := client.answer(); got != "ok value of "+id && (c.out || got != "53300") {
					t.Errorf("%s was answered %q", id, got)
				}
			}
			if n, err := client.r.Read(make([]byte, 10)); n > 0 || err != io.EOF {
				t.Errorf("%d bytes came behind the answers, %v", n, err)
			}
		})
	}
}

// A cancel by somebody else, or with another secret, is none.
func TestACancelNeedsTheSecret(t *testing.T) {
	s := newScene(t, nil, 256)
	for _, m := range s.members {
		m.act = func(_ *acted, id string, answer func()) { m.loop.At(s.world.Now()+200*ms, answer) }
	}
	s.ask(100*ms, order("b"))
	s.at(140*ms, func() { s.client.secret[7]++ })
	s.goes(150*ms, ways["cancels"])
	s.world.Run(epoch + time.Second)
	if got := strings.Join(s.client.heard, " "); got != "value of b" {
		t.Errorf("it heard %q", got)
	}
}

// Idle clients fill the descriptors while discovery is down. At its return the list is fetched at once and work is served.
func TestIdleClientsDoNotKeepTheListAway(t *testing.T) {
	s := newScene(t, nil, 48)
	crowd, err := loop.On(s.world.Host("crowd"), 1000, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s.world.Hosts()[len(s.world.Hosts())-1].Serve(crowd, func() {})
	var come func()
	come = func() { s.dial(crowd).again = come } // they say nothing, and come again when they are let go
	for range 60 {
		come()
	}
	fetched := time.Duration(0)
	s.at(5*time.Second, func() {
		l, err := loop.On(s.world.Host("agent"), 100, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		s.world.Hosts()[len(s.world.Hosts())-1].Serve(l, func() {})
		if _, err := l.Listen(s.node.site.Discovery, 1<<12, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
			open(&fetchedBy{at: &fetched, loop: l})
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
	})
	s.ask(5500*ms, order("b"))
	s.at(5400*ms, func() { s.client = s.dial(s.client.loop) })
	s.world.Run(epoch + 7*time.Second)
	if fetched == 0 || fetched > epoch+5600*ms {
		t.Errorf("the list was asked for %v after discovery came back", fetched-epoch-5*time.Second)
	}
	if got := strings.Join(s.client.heard, " "); got != "value of b" {
		t.Errorf("a client that came then heard %q", got)
	}
	if now, _ := s.node.loop.Open(); now > 48 {
		t.Errorf("%d descriptors are open", now)
	}
}

type fetchedBy struct {
	at   *time.Duration
	loop *loop.Loop
}

func (f *fetchedBy) Opened()        {}
func (f *fetchedBy) Closed(error)   {}
func (f *fetchedBy) Panicked(error) {}
func (f *fetchedBy) Input(in []byte) int {
	if *f.at == 0 {
		*f.at = f.loop.Now()
	}
	return len(in)
}

// Where a descriptor is wanted and none is free, a client that asks nothing gives way, and a member's connection that
// rests goes at once.
func TestIdleClientsGiveWayToWork(t *testing.T) {
	s := newScene(t, nil, 48)
	for range 5 {
		s.dial(s.client.loop)
	}
	s.ask(100*ms, order("a"))
	s.at(500*ms, func() {
		s.node.loop.At(s.world.Now(), func() {
			for range 2 {
				s.node.evictIdle()
			}
		})
	})
	s.at(450*ms, func() {
		if clients, members := s.node.listeners.openClients(), s.node.members.pools[0].Open(); clients != 6 || members != 1 {
			t.Errorf("%d clients and %d connections to members before", clients, members)
		}
	})
	s.at(700*ms, func() {
		if clients, members := s.node.listeners.openClients(), s.node.members.pools[0].Open(); clients != 4 || members != 0 {
			t.Errorf("%d clients and %d connections to members are left", clients, members)
		}
	})
	s.world.Run(epoch + time.Second)
	if got := strings.Join(s.client.heard, " "); got != "value of a" {
		t.Errorf("it heard %q", got)
	}
}

// A client that has asked is kept while there is room, however long it rests; one that has yet to ask, or says half of something after its rest, is not.
func TestClientsThatRestAreKept(t *testing.T) {
	s := newScene(t, nil, 100)
	silent := s.dial(s.client.loop)
	halves := s.dial(s.client.loop)
	say := func(c *caller, at time.Duration, text []byte) {
		s.at(at, func() { c.loop.At(s.world.Now(), func() { c.stream.Send(text) }) })
	}
	s.ask(100*ms, order("a"))
	say(halves, 100*ms, asQuery(order("h")))
	say(halves, 15*time.Second, asQuery("")) // which is no RPC
	say(halves, 20*time.Second, asQuery(order("i"))[:30])
	s.ask(30*time.Second, order("b"))
	s.world.Run(epoch + 31*time.Second)
	if got := strings.Join(s.client.heard, " "); got != "value of a value of b" || s.client.closed != 0 {
		t.Errorf("who rests hears %q, and is let go after %v", got, s.client.closed-epoch)
	}
	if late := silent.closed - epoch; late < 2*time.Second || late > 2500*ms {
		t.Errorf("who never asked is let go after %v", late)
	}
	if late := halves.closed - epoch; late < 21900*ms || late > 22500*ms {
		t.Errorf("who said half of something after 20 s is let go after %v", late)
	}
	if s.node.counters["clients_accepted"] != 3 {
		t.Errorf("%d connections were taken in", s.node.counters["clients_accepted"])
	}
}

// Where many rest, the one that has rested for longest goes first once they hold their part.
func TestWhoRestsForLongestMakesRoom(t *testing.T) {
	s := newScene(t, nil, 100)
	all := make([]*caller, 40)
	for i := range all {
		s.at(time.Duration(100+i*100)*ms, func() {
			c := s.dial(s.client.loop)
			all[i] = c
			c.loop.Later(func() { c.stream.Send(asQuery(order(fmt.Sprint("o", i)))) })
		})
	}
	s.world.Run(epoch + 10*time.Second)
	kept := 0
	for i, c := range all {
		if len(c.heard) != 1 || c.heard[0] != fmt.Sprint("value of o", i) {
			t.Errorf("client %d hears %v", i, c.heard)
		}
		if c.closed == 0 {
			kept++
		} else if kept > 0 {
			t.Errorf("client %d is let go, and one that has rested for longer is kept", i)
		}
	}
	if kept < 15 || kept > 21 {
		t.Errorf("%d are kept, a fifth of 100 descriptors are allowed", kept)
	}
}
