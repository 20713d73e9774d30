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

// System calls of the driver fail in all the ways that Linux documents, from the start and for a while. Each RPC that it reads
// gets one final answer in its time, no unsafe one runs twice, and once the trouble is over all are served again.
func TestSystemCallsThatFail(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			part := []float64{0.02, 0.1, 0.3}[seed%3]
			var faults *sim.Faults
			s := newSceneOn(t, nil, 256, "", func(h *sim.Host) loop.System {
				faults = sim.NewFaults(h, seed, part)
				return faults
			})
			const trouble, callers = 4 * time.Second, 12
			s.at(trouble, func() { faults.Part = 0 })
			var all []*asker
			for i := range callers {
				a := &asker{scene: s, name: fmt.Sprint("c", i)}
				all = append(all, a)
				s.at(time.Duration(i)*10*ms, a.come)
			}
			s.world.Run(epoch + trouble + 3*time.Second)
			answers, late := 0, 0
			for _, a := range all {
				answers += len(a.heard)
				for _, wrong := range a.wrong {
					t.Error(wrong)
				}
				if a.asked-a.answered() > 1 {
					t.Errorf("%s: %d RPCs, %d answers", a.name, a.asked, a.answered())
				}
				if slices.ContainsFunc(a.heard[max(len(a.heard)-5, 0):], func(h string) bool { return !strings.HasPrefix(h, "value") }) {
					late++
				}
			}
			for id, sent := range s.sent {
				if strings.Contains(id, "once") && len(sent) > 1 {
					t.Errorf("%s reached members %d times", id, len(sent))
				}
			}
			if answers < 100 || late > 0 || len(faults.Failed) < 15 {
				t.Errorf("%d answers, %d of %d clients are not served after the trouble; %v", answers, late, callers, faults.Failed)
			}
		})
	}
}

// asker is a client that asks one RPC after the other, and comes again where its connection ends.
type asker struct {
	scene *scene
	name  string
	*caller
	asked, lost int
	open        string
	wrong       []string
}

// answered counts the answers over all connections.
func (a *asker) answered() int { return len(a.heard) + a.lost }

func (a *asker) come() {
	s := a.scene
	heard := []string(nil)
	if a.caller != nil {
		heard = a.heard
	}
	l := s.client.loop
	a.caller = &caller{loop: l, heard: heard}
	a.caller.again = func() {
		if a.open != "" { // unread, or broken by a fault of the client's own connection
			a.lost++
			if len(s.sent[a.open]) > 0 {
				a.wrong = append(a.wrong, a.open+": its connection ended without an answer, and a member has had it")
			}
			a.open = ""
		}
		a.come()
	}
	c := s.dial(l)
	c.again, c.heard = a.caller.again, heard
	a.caller = c
	l.Later(a.ask)
}

func (a *asker) ask() {
	s, c := a.scene, a.caller
	if c.stream == nil || c.closed != 0 {
		return
	}
	a.asked++
	method := []string{"look", "own", "order"}[a.asked%3]
	a.open = fmt.Sprintf("%s-%d", a.name, a.asked)
	c.stream.Send(asQuery(timed(a.open, method, 1000)))
	asked, before := s.world.Now(), len(c.heard)
	var wait func()
	wait = func() {
		switch now := s.world.Now(); {
		case c.closed != 0:
		case len(c.heard) > before:
			a.open = ""
			c.loop.At(now+5*ms, a.ask)
		case now-asked > 1500*ms:
			a.wrong = append(a.wrong, fmt.Sprintf("%s: no answer after %v", a.open, now-asked))
		default:
			c.loop.At(now+5*ms, wait)
		}
	}
	c.loop.At(asked+5*ms, wait)
}
