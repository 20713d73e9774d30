// Package soak plays drivers as real processes through shutdowns, with troubled members, clients that keep using their
// connections until the kill, signals in series and processes that are held up. It holds tests only.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	seeds = flag.Int("soak.seeds", 10, "how many seeds are played")
	first = flag.Uint64("soak.first", 1, "the first of them")
)

// scenario is what is drawn from a seed.
type scenario struct {
	seed     uint64
	longest  time.Duration // deadline of any class
	window   time.Duration
	members  []trouble
	clients  map[habit]int
	sockets  int
	hold     time.Duration   // that the driver is stopped for at each of the moments below
	holds    []time.Duration // since SIGTERM, below 0: before it
	series   []syscall.Signal
	serves   time.Duration // that each life serves before SIGTERM
	drainAt  time.Duration // since SIGTERM; 0: never
	shutdown int           // how many of the lives end by SIGTERM
}

func draw(seed uint64) scenario {
	chance := rand.New(rand.NewPCG(seed, 7))
	pick := func(spans ...time.Duration) time.Duration { return spans[chance.IntN(len(spans))] }
	const ms = time.Millisecond
	s := scenario{
		seed: seed, longest: pick(400*ms, 700*ms, 1200*ms, 2300*ms, 3000*ms, 4000*ms), window: 1200 * ms, sockets: 1024, shutdown: 2,
		clients: map[habit]int{steady: 8, eager: 4, pipeline: 2, slow: 3, leaver: 3, canceler: 2, halfway: 2, silent: 3},
	}
	hung := chance.IntN(3) // none, a third, or all but one
	for i := range 4 {
		m := trouble{latency: pick(2*ms, 10*ms, 40*ms)}
		switch hung {
		case 1:
			m.hangs = i%3 == int(seed%3)
		case 2:
			m.hangs = i != int(seed%4)
		}
		if chance.IntN(3) == 0 {
			m.hangsFrom = time.Duration(chance.IntN(1500)) * ms
		}
		if chance.IntN(3) == 0 {
			m.lateWelcome = time.Duration(chance.IntN(1500)) * ms
		}
		if chance.IntN(3) == 0 {
			m.stops, m.resets = 0.05, 0.05
		}
		s.members = append(s.members, m)
	}
	if chance.IntN(3) == 0 { // idle clients fill the descriptors
		s.clients[silent] = 100
		s.sockets = 128
	}
	if chance.IntN(2) == 0 {
		s.hold = 150 * ms
		kill := min(s.longest, 3*time.Second) + 700*ms
		for _, at := range []time.Duration{-time.Duration(chance.IntN(140)) * ms, kill - 400*ms, kill - time.Duration(160+chance.IntN(140))*ms} {
			if chance.IntN(2) == 0 {
				s.holds = append(s.holds, at)
			}
		}
	}
	for range []int{0, 2, 5, 40}[chance.IntN(4)] {
		s.series = append(s.series, []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM}[chance.IntN(3)])
	}
	s.serves = pick(900*ms, 900*ms, 300*ms, 0)
	if chance.IntN(3) == 0 {
		s.drainAt = time.Duration(1+chance.IntN(800)) * ms
	}
	return s
}

// run is one scenario under way.
type run struct {
	scenario
	t         *testing.T
	record    *record
	crowd     *crowd
	discovery *discovery
	processes []*process
	site      string
	operator  string
}

func (s scenario) play(t *testing.T) *run {
	r := &run{scenario: s, t: t, record: newRecord()}
	chance := rand.New(rand.NewPCG(s.seed, 11))
	next := func() *rand.Rand { return rand.New(rand.NewPCG(chance.Uint64(), 3)) }
	var members []*member
	for i, what := range s.members {
		members = append(members, startMember(t, i, r.record, what, next()))
	}
	r.discovery = startDiscovery(t, r.record, members)
	address := freeAddress(t)
	r.write(address)
	r.crowd = &crowd{record: r.record, address: address, stop: make(chan struct{}), name: fmt.Sprintf("s%d", s.seed),
		limits: []time.Duration{s.longest, s.longest * 3 / 4, s.longest / 2}}
	for number := range s.shutdown {
		p := startDriver(t, r.record, "--site", r.site, "--operator", r.operator)
		r.processes = append(r.processes, p)
		r.crowd.deal(number, true)
		if number == 0 {
			for how := range habits {
				for range s.clients[how] {
					r.crowd.add(how, next())
				}
			}
		}
		time.Sleep(s.serves)
		r.shutDown(p, number)
	}
	close(r.crowd.stop)
	r.crowd.done.Wait()
	return r
}

// write writes the files that the driver is started with.
func (r *run) write(address string) {
	dir := r.t.TempDir()
	r.site, r.operator = filepath.Join(dir, "site.json"), filepath.Join(dir, "operator.hcl")
	var texts []string
	for _, c := range classes {
		text := fmt.Sprintf(`{"name":%q,"effect":%q,"points":1,"target_us":%d,"hard_limit_us":%d`, c.name, c.effect, r.longest.Microseconds()/2, r.longest.Microseconds())
		if c.effect == "keyed" {
			text += fmt.Sprintf(`,"group":"cell","window_us":%d`, r.window.Microseconds())
		}
		texts = append(texts, text+"}")
	}
	r.discovery.mutex.Lock()
	known := r.discovery.list(0)
	r.discovery.mutex.Unlock()
	site := fmt.Sprintf(siteText, address, r.discovery.listener.Addr(), r.seed, r.sockets, known, strings.Join(texts, ","))
	if err := os.WriteFile(r.site, []byte(site), 0o600); err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(r.operator, []byte(operatorText), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// shutDown ends one life: SIGTERM among other signals, and SIGKILL at the earliest moment.
func (r *run) shutDown(p *process, number int) {
	var early, late []time.Duration
	for _, at := range r.holds {
		if at < 0 {
			early = append(early, at)
		} else {
			late = append(late, at)
		}
	}
	for _, at := range early {
		p.hold(r.hold)
		time.Sleep(-at)
	}
	for _, s := range r.series {
		if s != syscall.SIGTERM {
			p.signal(s)
		}
	}
	r.record.mutex.Lock()
	p.life.terminated = time.Now()
	r.record.mutex.Unlock()
	p.signal(syscall.SIGTERM)
	kill := p.life.terminated.Add(min(r.longest, 3*time.Second) + 700*time.Millisecond)
	for _, s := range r.series {
		p.signal(s)
	}
	for _, at := range late {
		time.AfterFunc(time.Until(p.life.terminated.Add(at)), func() { p.hold(r.hold) })
	}
	if r.drainAt > 0 && number == 0 {
		time.AfterFunc(r.drainAt, func() { r.discovery.drain(2) })
	}
	time.AfterFunc(300*time.Millisecond, func() { r.crowd.deal(number, false) })
	time.Sleep(time.Until(kill))
	r.record.mutex.Lock()
	p.life.killed = time.Now()
	r.record.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// report fails the test for each breach of the rules.
func (r *run) report() {
	broken := r.record.broken(r.window, r.hold)
	asked, ok, refused, failed, left, unread := r.record.count()
	r.t.Logf("seed %d: longest %v, hung %s, holds %v, %d signals, serves %v: %d asked, %d ok, %d refused, %d failed, %d left, %d unread, %d broken",
		r.seed, r.longest, hung(r.members), r.holds, len(r.series), r.serves, asked, ok, refused, failed, left, unread, len(broken))
	for i, line := range broken {
		if i == 8 {
			r.t.Errorf("and %d more", len(broken)-i)
			break
		}
		id, _, _ := strings.Cut(line, " ")
		about := ""
		for _, p := range r.processes {
			about += p.about(id)
		}
		r.t.Errorf("%s\n%s", line, about)
	}
	for _, p := range r.processes {
		if n := p.logged("level=ERROR"); n > 0 {
			r.t.Errorf("%d lines of level ERROR", n)
		}
		if p.logged(`event="graceful shutdown started"`) != 1 {
			r.t.Errorf("a driver did not hear SIGTERM once: %d times", p.logged(`event="graceful shutdown started"`))
		}
	}
	if ok == 0 && r.serves > 0 && len(broken) == 0 {
		r.t.Errorf("nothing was served")
	}
}

func hung(members []trouble) string {
	out := ""
	for _, m := range members {
		switch {
		case !m.hangs:
			out += "-"
		case m.hangsFrom > 0:
			out += "h"
		default:
			out += "H"
		}
	}
	return out
}

// TestShutdownAnswersAllBeforeTheEarliestKill plays seeded shutdowns: every request that a driver reads gets its final
// answer before the earliest SIGKILL, and no other rule breaks meanwhile.
func TestShutdownAnswersAllBeforeTheEarliestKill(t *testing.T) {
	abreast := make(chan struct{}, 3)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			abreast <- struct{}{}
			defer func() { <-abreast }()
			draw(seed).play(t).report()
		})
	}
}
