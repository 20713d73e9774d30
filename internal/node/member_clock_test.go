package node

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/pgwire"
)

// A driver may start with a wall clock that is wrong by seconds or by an hour. After some responses it must serve sessions by the
// members' clock, and accept positions that are in the future or very old by its own clock.
func TestWrongWallClockIsCorrectedFromMemberPositions(t *testing.T) {
	for _, clockError := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(clockError.String(), func(t *testing.T) {
			s := newScenarioOn(t, nil, 256, "", func(h *sim.Host) eventloop.System {
				h.ClockOffset = clockError
				return h
			})
			for _, m := range s.members {
				m.respond = func(c *scriptedMemberConn, id string, _ func()) {
					c.stream.Send(pgwire.AppendReady(s.appendPosition(rowResponse("value of " + id))))
				}
			}
			sent := 0
			var sendNext func()
			sendNext = func() {
				if sent++; sent < 100 {
					id := fmt.Sprint("w", sent)
					s.client.stream.Send(queryMessage(fmt.Sprintf(payStatement, id, "order", id, "x")))
					s.client.loop.At(s.world.Now()+50*ms, sendNext)
				}
			}
			s.at(100*ms, func() { s.client.loop.At(s.world.Now(), sendNext) })
			s.world.Run(epoch + 4*time.Second)
			if got := s.node.memberClock.Offset(); (got + clockError).Abs() > 50*ms {
				t.Fatalf("the estimated offset of the members' clock is %v, want %v", got, -clockError)
			}
			before := len(s.client.received)
			after := (s.world.Now() - 10*ms) / ms
			s.send(4100*ms, fmt.Sprintf(`/* id=r1,c=own,d=2000,cluster=0,after=%d */ SELECT doc FROM items WHERE id = '7'`, after))
			s.world.Run(epoch + 5*time.Second)
			if received := s.client.received[before:]; !slices.Contains(received, "value of r1") {
				t.Errorf("a read after a commit of its session received %q", received)
			}
			if s.node.counters["clock_corrections"] > 1 {
				t.Errorf("the clock was corrected %d times, want once at most", s.node.counters["clock_corrections"])
			}
		})
	}
}

// appendPosition appends the report of a primary whose log position is the current time.
func (s *scenario) appendPosition(out []byte) []byte {
	out = pgwire.AppendParameter(out, "node_role", "leader")
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(int64(s.world.Now()/ms), 10))
}
