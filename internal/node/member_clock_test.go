package node

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/pgwire"
)

// A driver that starts with a wall clock off by seconds or an hour serves sessions by the members' clock after some responses:
// positions that are in the future or very old by its own clock are taken for what they are.
func TestWrongWallClockIsCorrectedFromMemberPositions(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			s := newScenarioOn(t, nil, 256, "", func(h *sim.Host) loop.System {
				h.ClockOffset = ahead
				return h
			})
			for _, m := range s.members {
				m.respond = func(c *scriptedMemberConn, id string, _ func()) {
					c.stream.Send(pgwire.AppendReady(s.position(rowResponse("value of " + id))))
				}
			}
			asked := 0
			var ask func()
			ask = func() {
				if asked++; asked < 100 {
					id := fmt.Sprint("w", asked)
					s.client.stream.Send(queryMessage(fmt.Sprintf(payStatement, id, "order", id, "x")))
					s.client.loop.At(s.world.Now()+50*ms, ask)
				}
			}
			s.at(100*ms, func() { s.client.loop.At(s.world.Now(), ask) })
			s.world.Run(epoch + 4*time.Second)
			if got := s.node.memberClock.Offset(); (got + ahead).Abs() > 50*ms {
				t.Fatalf("the members' clock is taken to be %v ahead, it is %v", got, -ahead)
			}
			before := len(s.client.received)
			after := (s.world.Now() - 10*ms) / ms
			s.send(4100*ms, fmt.Sprintf(`/* id=r1,c=own,d=2000,cluster=0,after=%d */ SELECT doc FROM items WHERE id = '7'`, after))
			s.world.Run(epoch + 5*time.Second)
			if heard := s.client.received[before:]; !slices.Contains(heard, "value of r1") {
				t.Errorf("a read behind a commit of its session hears %q", heard)
			}
			if s.node.counters["clock_corrections"] > 1 {
				t.Errorf("%d corrections", s.node.counters["clock_corrections"])
			}
		})
	}
}

// position tells of a primary that all committed till now is applied.
func (s *scenario) position(out []byte) []byte {
	out = pgwire.AppendParameter(out, "node_role", "leader")
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(s.world.Now()/ms), 10))
}
