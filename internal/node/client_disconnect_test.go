package node

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop/sim"
	"passtack/internal/pgwire"
	"passtack/internal/testaddress"
)

// disconnections are the ways in which a client can leave. A half-close is not among them, as such a client still reads.
var disconnections = map[string]func(s *scenario){
	"closes": func(s *scenario) { s.client.stream.Close() },
	"resets": func(s *scenario) { s.client.stream.Reset() },
	"cancels": func(s *scenario) {
		canceller := &scriptedClient{loop: s.client.loop}
		stream, err := canceller.loop.Dial(s.node.site.Listen, canceller, 1<<10)
		if err != nil {
			s.t.Fatal(err)
		}
		request := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.Cancel)
		stream.Send(append(request, s.client.secret[:]...))
	},
}

// rpcStates are the states in which RPC b can be when its client leaves at 150 ms. Each function prepares the scenario and returns the
// statements to send at 100 ms. In states whose names end with "one iteration" the driver is paused meanwhile, so that it sees several
// events in one iteration of its loop.
var rpcStates = map[string]func(s *scenario) []string{
	"unread behind another": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(_ *scriptedMemberConn, id string, answer func()) { m.loop.At(s.world.Now()+200*ms, answer) }
		}
		return []string{order("a"), order("b")}
	},
	"held by the module": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) { c.respondError("25006") } // no member is the primary
		}
		return []string{order("b")}
	},
	"waiting for a connection to open": func(s *scenario) []string {
		for _, m := range s.members {
			m.connectDelay = 200 * ms
		}
		return []string{order("b")}
	},
	"between two attempts, in one iteration": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) {
				m.loop.At(epoch+140*ms, func() { c.respondError("53300") })
			}
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"unread behind one that is held, in one iteration": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) { c.respondError("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("a"), order("b")}
	},
	"held, and both due in one iteration": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) { c.respondError("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"connection opened and client disconnected in one iteration": func(s *scenario) []string {
		for _, m := range s.members {
			m.connectDelay = 35 * ms
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 320*ms) })
		return []string{order("b")}
	},
	"partly written": func(s *scenario) []string {
		slow := sim.LocalLink
		slow.BytesPerSecond = 300 << 10
		for i := range s.members {
			s.world.SetLinkOneWay(s.driver, s.world.Hosts()[i], slow)
		}
		return []string{fmt.Sprintf(payStatement, "b", "order", "b", strings.Repeat("x", 200<<10))}
	},
}

// No attempt may begin more than 0.1 s after its client has left, however the client leaves and whatever state its RPC is in, also
// if attempts in flight may not be cancelled. An iteration of the loop with both events must handle the client's first.
func TestNoAttemptForADisconnectedClient(t *testing.T) {
	for state, prepare := range rpcStates {
		for way, leave := range disconnections {
			for _, cancelAllowed := range []string{"true", "false"} {
				// A CancelRequest ends only the RPC that is being served, not those behind it. It arrives on a connection of its own
				// that must be accepted and read, so after a pause of the driver it is one iteration late.
				if way == "cancels" && (strings.HasPrefix(state, "unread") || strings.HasSuffix(state, "one iteration")) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/cancel=%s", state, way, cancelAllowed), func(t *testing.T) {
					s := newScenario(t, func(settings map[string]string) { settings["caps.cancel"] = cancelAllowed }, 256)
					statements := prepare(s)
					s.send(100*ms, statements...)
					s.disconnect(150*ms, leave)
					s.world.Run(epoch + 4*time.Second)
					for _, receivedAt := range s.receivedAt["b"] {
						if receivedAt > epoch+250*ms {
							t.Errorf("a member received the complete RPC %v after the client left, want at most 100 ms", receivedAt-epoch-150*ms)
						}
					}
					if s.node.rpcs.Len() != 0 || s.node.members.pools[0].InFlight() != 0 || s.node.members.pools[0].Waiting() != 0 {
						t.Errorf("left over: %d RPCs, %d attempts in flight, %d waiting", s.node.rpcs.Len(), s.node.members.pools[0].InFlight(), s.node.members.pools[0].Waiting())
					}
				})
			}
		}
	}
}

// A client that closes only its sending side must receive one answer to each RPC that it sent, and then the end of the connection.
// This test uses real sockets.
func TestHalfClosedClientReceivesItsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		ids      []string
		inFlight bool // whether a member has the first RPC before the client half-closes
	}{
		"one in flight": {[]string{"b"}, true}, "two pipelined": {[]string{"c", "d"}, true},
		"one sent together with the half-close": {[]string{"e"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan bool, 9), make(chan bool, 9)
			m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
				arrived <- true
				<-release
				return respondAsLeader(c, q)
			})
			d := startDriver(t, testaddress.Reserve(t), 100, endpointList(1, true, endpointEntry(0, 0, m.listener.Addr(), "in_service")))
			client := dialPG(t, d.address)
			client.SetReadDeadline(time.Now().Add(5 * time.Second))
			for kind := byte(0); kind != 'Z'; { // the startup is accepted
				var err error
				if kind, _, err = readMessage(client.r); err != nil {
					t.Fatal(err)
				}
			}
			var all []byte
			for _, id := range c.ids {
				all = append(all, queryMessage(taggedStatement(id, "look", 2000, 0))...)
			}
			client.Write(all)
			if c.inFlight {
				<-arrived
			}
			if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The driver sends a parameter status to find out whether the client still reads: it has noticed the half-close.
			if kind, _, err := readMessage(client.r); kind != 'S' || err != nil {
				t.Fatalf("after the half-close: message %q, error %v, want a parameter status", kind, err)
			}
			for _, id := range c.ids {
				release <- true
				// An RPC that was not in flight at the half-close may be rejected.
				if got := client.readAnswer(); got != "ok value of "+id && (c.inFlight || got != "53300") {
					t.Errorf("%s: the client received %q", id, got)
				}
			}
			if n, err := client.r.Read(make([]byte, 10)); n > 0 || err != io.EOF {
				t.Errorf("after the answers: %d bytes, error %v, want 0 bytes and EOF", n, err)
			}
		})
	}
}

// A CancelRequest with a wrong secret must have no effect: any client could cancel RPCs of others otherwise.
func TestCancelRequestNeedsTheSecret(t *testing.T) {
	s := newScenario(t, nil, 256)
	for _, m := range s.members {
		m.respond = func(_ *scriptedMemberConn, id string, answer func()) { m.loop.At(s.world.Now()+200*ms, answer) }
	}
	s.send(100*ms, order("b"))
	s.at(140*ms, func() { s.client.secret[7]++ })
	s.disconnect(150*ms, disconnections["cancels"])
	s.world.Run(epoch + time.Second)
	if got := strings.Join(s.client.received, " "); got != "value of b" {
		t.Errorf("the client received %q", got)
	}
}
