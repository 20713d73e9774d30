package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
)

// For the first 4 s system calls of the driver fail in all the ways that Linux documents. Each RPC that is read gets one final
// answer by its deadline, no unsafe one runs twice, and once the calls succeed again all RPCs are served.
func TestFailingSystemCalls(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			faultRate := []float64{0.02, 0.1, 0.3}[seed%3]
			var faults *sim.Faults
			s := newScenarioOn(t, nil, 256, "", func(h *sim.Host) eventloop.System {
				faults = sim.NewFaults(h, seed, faultRate)
				return faults
			})
			const faultsEnd, clientCount = 4 * time.Second, 12
			s.at(faultsEnd, func() { faults.Rate = 0 })
			var all []*retryingClient
			for i := range clientCount {
				a := &retryingClient{scenario: s, name: fmt.Sprint("c", i)}
				all = append(all, a)
				s.at(time.Duration(i)*10*ms, a.connect)
			}
			s.world.Run(epoch + faultsEnd + 3*time.Second)
			answers, unserved := 0, 0
			for _, a := range all {
				answers += len(a.received)
				for _, violation := range a.violations {
					t.Error(violation)
				}
				if a.sent-a.finished() > 1 {
					t.Errorf("%s: %d RPCs sent, %d answered or lost", a.name, a.sent, a.finished())
				}
				if slices.ContainsFunc(a.received[max(len(a.received)-5, 0):], func(answer string) bool { return !strings.HasPrefix(answer, "value") }) {
					unserved++
				}
			}
			for id, times := range s.receivedAt {
				if strings.Contains(id, "once") && len(times) > 1 {
					t.Errorf("%s reached members %d times", id, len(times))
				}
			}
			if answers < 100 || unserved > 0 || len(faults.Counts) < 15 {
				t.Errorf("%d answers, %d of %d clients are not served after the faults have ended; faults by system call: %v", answers, unserved, clientCount, faults.Counts)
			}
		})
	}
}

// retryingClient sends one RPC after the other, and reconnects when its connection ends.
type retryingClient struct {
	scenario *scenario
	name     string
	*scriptedClient
	sent, lost int    // numbers of RPCs; lost: those without an answer when their connection ended
	pending    string // id of the RPC in flight
	violations []string
}

// finished returns the number of RPCs, over all connections, that were answered or lost.
func (a *retryingClient) finished() int { return len(a.received) + a.lost }

func (a *retryingClient) connect() {
	s := a.scenario
	received := []string(nil)
	if a.scriptedClient != nil {
		received = a.received
	}
	l := s.client.loop
	a.scriptedClient = &scriptedClient{loop: l, received: received}
	a.scriptedClient.reconnect = func() {
		if a.pending != "" { // the request was not read, or a fault broke the client's own connection
			a.lost++
			if len(s.receivedAt[a.pending]) > 0 {
				a.violations = append(a.violations, a.pending+": the connection ended without an answer although a member received the RPC")
			}
			a.pending = ""
		}
		a.connect()
	}
	c := s.dial(l)
	c.reconnect, c.received = a.scriptedClient.reconnect, received
	a.scriptedClient = c
	l.Defer(a.sendNext)
}

func (a *retryingClient) sendNext() {
	s, c := a.scenario, a.scriptedClient
	if c.stream == nil || c.closedAt != 0 {
		return
	}
	a.sent++
	method := []string{"look", "own", "order"}[a.sent%3]
	a.pending = fmt.Sprintf("%s-%d", a.name, a.sent)
	c.stream.Send(queryMessage(queryWithDeadline(a.pending, method, 1000)))
	sentAt, before := s.world.Now(), len(c.received)
	var wait func()
	wait = func() {
		switch now := s.world.Now(); {
		case c.closedAt != 0:
		case len(c.received) > before:
			a.pending = ""
			c.loop.At(now+5*ms, a.sendNext)
		case now-sentAt > 1500*ms:
			a.violations = append(a.violations, fmt.Sprintf("%s: no answer after %v", a.pending, now-sentAt))
		default:
			c.loop.At(now+5*ms, wait)
		}
	}
	c.loop.At(sentAt+5*ms, wait)
}
