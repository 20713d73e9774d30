package node

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"passtack/internal/loop/sim"
	"passtack/internal/pgwire"
)

// disconnections are the ways in which a client leaves. A half-close is none: that client still reads.
var disconnections = map[string]func(s *scenario){
	"closes": func(s *scenario) { s.client.stream.Close() },
	"resets": func(s *scenario) { s.client.stream.Reset() },
	"cancels": func(s *scenario) {
		by := &scriptedClient{loop: s.client.loop}
		stream, err := by.loop.Dial(s.node.site.Listen, by, 1<<10)
		if err != nil {
			s.t.Fatal(err)
		}
		ask := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.Cancel)
		stream.Send(append(ask, s.client.secret[:]...))
	},
}

// waitingPlaces are where RPC b can be when its client leaves at 150 ms. Each function prepares the scenario and returns the
// statements to send at 100 ms.
var waitingPlaces = map[string]func(s *scenario) []string{
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
	"waiting for a connection to come up": func(s *scenario) []string {
		for _, m := range s.members {
			m.connectDelay = 200 * ms
		}
		return []string{order("b")}
	},
	"between two attempts, in one turn": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) {
				m.loop.At(epoch+140*ms, func() { c.respondError("53300") })
			}
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"unread behind one that is held, in one turn": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) { c.respondError("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("a"), order("b")}
	},
	"held, and both are due in one turn": func(s *scenario) []string {
		for _, m := range s.members {
			m.respond = func(c *scriptedMemberConn, id string, _ func()) { c.respondError("25006") }
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 400*ms) })
		return []string{order("b")}
	},
	"come up and gone in one turn": func(s *scenario) []string {
		for _, m := range s.members {
			m.connectDelay = 35 * ms
		}
		s.at(120*ms, func() { s.driver.Pause(epoch + 320*ms) })
		return []string{order("b")}
	},
	"written in part": func(s *scenario) []string {
		slow := sim.LocalLink
		slow.BytesPerSecond = 300 << 10
		for i := range s.members {
			s.world.SetLinkOneWay(s.driver, s.world.Hosts()[i], slow)
		}
		return []string{fmt.Sprintf(payStatement, "b", "order", "b", strings.Repeat("x", 200<<10))}
	},
}

// No attempt begins over 0.1 s after the client has left, in whatever way and wherever its RPC waits, also if attempts in
// flight may not be cancelled. An iteration of the loop that has both events handles the client's first.
func TestNoAttemptForADisconnectedClient(t *testing.T) {
	for place, prepare := range waitingPlaces {
		for way, leave := range disconnections {
			for _, may := range []string{"true", "false"} {
				// A cancel ends what is served, not what waits behind it; and it comes by a connection of its own, which must be
				// accepted and read: after a suspension that is one iteration late.
				if way == "cancels" && (strings.HasPrefix(place, "unread") || strings.HasSuffix(place, "one turn")) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/cancel=%s", place, way, may), func(t *testing.T) {
					s := newScenario(t, func(settings map[string]string) { settings["caps.cancel"] = may }, 256)
					asked := prepare(s)
					s.send(100*ms, asked...)
					s.disconnect(150*ms, leave)
					s.world.Run(epoch + 4*time.Second)
					for _, at := range s.receivedAt["b"] {
						if at > epoch+250*ms {
							t.Errorf("a member had it whole %v after its client had gone", at-epoch-150*ms)
						}
					}
					if s.node.rpcs.Len() != 0 || s.node.members.pools[0].InFlight() != 0 || s.node.members.pools[0].Waiting() != 0 {
						t.Errorf("%d RPCs are left, %d attempts out, %d waiting", s.node.rpcs.Len(), s.node.members.pools[0].InFlight(), s.node.members.pools[0].Waiting())
					}
				})
			}
		}
	}
}

// A client that closes only its sending side receives one answer to each RPC that it sent, and then the end of the
// connection. On real sockets.
func TestHalfClosedClientReceivesItsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		asked []string
		out   bool // the first is at the member before the end comes
	}{
		"one that is out": {[]string{"b"}, true}, "two behind each other": {[]string{"c", "d"}, true},
		"one that comes with the end": {[]string{"e"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan bool, 9), make(chan bool, 9)
			m := startFakeMember(t, func(c net.Conn, q *receivedQuery) bool {
				arrived <- true
				<-release
				return respondAsLeader(c, q)
			})
			d := startDriver(t, freeAddress(t), 100, endpointList(1, true, endpointEntry(0, 0, m.listener.Addr(), "in_service")))
			client := dialPG(t, d.address)
			client.SetReadDeadline(time.Now().Add(5 * time.Second))
			for kind := byte(0); kind != 'Z'; { // the startup is accepted
				var err error
				if kind, _, err = readMessage(client.r); err != nil {
					t.Fatal(err)
				}
			}
			var all []byte
			for _, id := range c.asked {
				all = append(all, queryMessage(taggedStatement(id, "look", 2000, 0))...)
			}
			client.Write(all)
			if c.out {
				<-arrived
			}
			if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The driver asks who is there with a status: it has noticed.
			if kind, _, err := readMessage(client.r); kind != 'S' || err != nil {
				t.Fatalf("a message %q came, %v", kind, err)
			}
			for _, id := range c.asked {
				release <- true
				// What had not gone out when the end came may be pushed back.
				if got := client.readAnswer(); got != "ok value of "+id && (c.out || got != "53300") {
					t.Errorf("%s was answered %q", id, got)
				}
			}
			if n, err := client.r.Read(make([]byte, 10)); n > 0 || err != io.EOF {
				t.Errorf("%d bytes came behind the answers, %v", n, err)
			}
		})
	}
}

// A CancelRequest with another secret, or for another connection, has no effect.
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
		t.Errorf("it heard %q", got)
	}
}
