package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/loop/sim"
)

// System calls of the driver fail in all the ways that Linux documents, from the start and for a while. Each RPC that is read
// gets one final answer by its deadline, no unsafe one runs twice, and once the calls succeed again all RPCs are served.
func TestFailingSystemCalls(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			part := []float64{0.02, 0.1, 0.3}[seed%3]
			var faults *sim.Faults
			s := newScenarioOn(t, nil, 256, "", func(h *sim.Host) loop.System {
				faults = sim.NewFaults(h, seed, part)
				return faults
			})
			const trouble, callers = 4 * time.Second, 12
			s.at(trouble, func() { faults.Rate = 0 })
			var all []*retryingClient
			for i := range callers {
				a := &retryingClient{scene: s, name: fmt.Sprint("c", i)}
				all = append(all, a)
				s.at(time.Duration(i)*10*ms, a.connect)
			}
			s.world.Run(epoch + trouble + 3*time.Second)
			answers, late := 0, 0
			for _, a := range all {
				answers += len(a.received)
				for _, wrong := range a.wrong {
					t.Error(wrong)
				}
				if a.asked-a.answered() > 1 {
					t.Errorf("%s: %d RPCs, %d answers", a.name, a.asked, a.answered())
				}
				if slices.ContainsFunc(a.received[max(len(a.received)-5, 0):], func(h string) bool { return !strings.HasPrefix(h, "value") }) {
					late++
				}
			}
			for id, sent := range s.receivedAt {
				if strings.Contains(id, "once") && len(sent) > 1 {
					t.Errorf("%s reached members %d times", id, len(sent))
				}
			}
			if answers < 100 || late > 0 || len(faults.Counts) < 15 {
				t.Errorf("%d answers, %d of %d clients are not served after the trouble; %v", answers, late, callers, faults.Counts)
			}
		})
	}
}

// retryingClient sends one RPC after the other, and reconnects when its connection ends.
type retryingClient struct {
	scene *scenario
	name  string
	*scriptedClient
	asked, lost int
	open        string
	wrong       []string
}

// answered counts the answers over all connections.
func (a *retryingClient) answered() int { return len(a.received) + a.lost }

func (a *retryingClient) connect() {
	s := a.scene
	heard := []string(nil)
	if a.scriptedClient != nil {
		heard = a.received
	}
	l := s.client.loop
	a.scriptedClient = &scriptedClient{loop: l, received: heard}
	a.scriptedClient.reconnect = func() {
		if a.open != "" { // unread, or broken by a fault of the client's own connection
			a.lost++
			if len(s.receivedAt[a.open]) > 0 {
				a.wrong = append(a.wrong, a.open+": its connection ended without an answer, and a member has had it")
			}
			a.open = ""
		}
		a.connect()
	}
	c := s.dial(l)
	c.reconnect, c.received = a.scriptedClient.reconnect, heard
	a.scriptedClient = c
	l.Defer(a.sendNext)
}

func (a *retryingClient) sendNext() {
	s, c := a.scene, a.scriptedClient
	if c.stream == nil || c.closedAt != 0 {
		return
	}
	a.asked++
	method := []string{"look", "own", "order"}[a.asked%3]
	a.open = fmt.Sprintf("%s-%d", a.name, a.asked)
	c.stream.Send(queryMessage(queryWithDeadline(a.open, method, 1000)))
	asked, before := s.world.Now(), len(c.received)
	var wait func()
	wait = func() {
		switch now := s.world.Now(); {
		case c.closedAt != 0:
		case len(c.received) > before:
			a.open = ""
			c.loop.At(now+5*ms, a.sendNext)
		case now-asked > 1500*ms:
			a.wrong = append(a.wrong, fmt.Sprintf("%s: no answer after %v", a.open, now-asked))
		default:
			c.loop.At(now+5*ms, wait)
		}
	}
	c.loop.At(asked+5*ms, wait)
}
