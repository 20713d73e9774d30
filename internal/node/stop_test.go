package node

import (
	"slices"
	"testing"
	"time"
)

// earliestKill is when SIGKILL may come after SIGTERM was sent, with the deadlines of the scene's settings.
func (s *scene) earliestKill() time.Duration {
	return min(s.node.site.longest(), 3*time.Second) + 700*ms
}

// hang lets members take everything and answer nothing.
func (s *scene) hang() {
	for _, m := range s.members {
		m.act = func(*acted, string, func()) {}
	}
}

// A client that asks again as soon as it was answered, whose members hang, has all its answers and the end of its connection
// well before the earliest kill, however late in the stop it asks, and also where the driver was held up as the signal came.
// Nothing is forwarded in the last 0.35 s.
func TestAPlannedStopEndsABusyConnection(t *testing.T) {
	for name, held := range map[string]time.Duration{"at once": 0, "held up": 150 * ms} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, nil, 256)
			s.hang()
			const sent = 500 * ms
			kill := sent + s.earliestKill()
			for after := 100 * ms; after < kill; after += 70 * ms { // there is always another behind
				s.ask(after, timed("r"+after.String(), "look", 900))
			}
			if held > 0 {
				s.at(sent-ms, func() { s.driver.Pause(epoch + sent - ms + held) })
			}
			s.at(sent, func() { s.driver.Do(s.node.leave) })
			s.world.Run(epoch + kill)
			if s.client.closed == 0 || s.client.closed > epoch+kill-100*ms {
				t.Errorf("its connection ended %v before the kill", epoch+kill-s.client.closed)
			}
			for id, at := range s.sent {
				if at[0] > epoch+kill-350*ms {
					t.Errorf("%s was forwarded %v before the kill", id, epoch+kill-at[0])
				}
			}
			if s.node.rpcs.Count() != 0 || !s.node.loop.Stopped() {
				t.Errorf("%d RPCs are left, stopped: %t", s.node.rpcs.Count(), s.node.loop.Stopped())
			}
			if len(s.client.heard) < len(s.sent) {
				t.Errorf("%d answers to %d that were forwarded", len(s.client.heard), len(s.sent))
			}
		})
	}
}

// A request of which half has come when all must be over is refused: it was not forwarded. So is an RPC with a longer
// deadline than the settings have, which members hold.
func TestAPlannedStopRefusesWhatItHasNotBegun(t *testing.T) {
	s := newScene(t, nil, 256)
	const sent = 300 * ms
	kill := sent + s.earliestKill()
	half := asQuery(timed("half", "look", 900))
	s.at(sent, func() { s.driver.Do(s.node.leave) })
	s.ask(900*ms, timed("whole", "look", 900))
	s.send(1550*ms, half[:len(half)/2])
	s.world.Run(epoch + kill)
	if want := []string{"value of whole", "57P03"}; !slices.Equal(s.client.heard, want) {
		t.Errorf("half a request hears %q, want %q", s.client.heard, want)
	}

	s = newScene(t, nil, 256)
	s.hang()
	s.ask(100*ms, timed("long", "look", 30000))
	s.at(sent, func() { s.driver.Do(s.node.leave) })
	s.world.Run(epoch + kill)
	if want := []string{"53300"}; !slices.Equal(s.client.heard, want) || s.client.closed > epoch+kill-100*ms {
		t.Errorf("a request of 30 s hears %q, want %q, and its end %v before the kill", s.client.heard, want, epoch+kill-s.client.closed)
	}
}

// A module that fails at every call holds no planned stop back.
func TestAPlannedStopEndsThoughTheModuleFails(t *testing.T) {
	s := newScene(t, nil, 256)
	s.hang()
	s.ask(100*ms, timed("a", "look", 30000))
	s.at(200*ms, func() { s.node.module = nil })
	s.at(300*ms, func() { s.driver.Do(s.node.leave) })
	s.world.Run(epoch + 300*ms + s.earliestKill())
	if want := []string{"58000"}; !slices.Equal(s.client.heard, want) || !s.node.loop.Stopped() {
		t.Errorf("heard %q, want %q; stopped: %t", s.client.heard, want, s.node.loop.Stopped())
	}
}
