// Package soak tests the shutdown of drivers as real processes, with faulty members, clients that use their connections
// until SIGKILL, repeated signals and paused processes. It contains only tests.
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

	"passtack/internal/testaddress"
)

var (
	seedCount = flag.Int("soak.seeds", 10, "number of seeds to play")
	firstSeed = flag.Uint64("soak.first", 1, "first seed to play")
)

// scenario is a random test case, determined by its seed.
type scenario struct {
	seed              uint64
	maxDeadline       time.Duration // longest deadline of a request
	idempotencyWindow time.Duration
	memberFaults      []memberFaults
	clientCounts      map[behavior]int
	sockets           int
	pauseDuration     time.Duration   // how long the driver is paused at each of pauseTimes
	pauseTimes        []time.Duration // relative to SIGTERM; negative: before it
	extraSignals      []syscall.Signal
	servingTime       time.Duration // how long each process serves before SIGTERM
	drainAfter        time.Duration // delay after SIGTERM at which a member drains; 0: never
	shutdowns         int           // number of processes, each of which is shut down by SIGTERM
}

func drawScenario(seed uint64) scenario {
	rng := rand.New(rand.NewPCG(seed, 7))
	pick := func(spans ...time.Duration) time.Duration { return spans[rng.IntN(len(spans))] }
	const ms = time.Millisecond
	s := scenario{
		seed: seed, maxDeadline: pick(400*ms, 700*ms, 1200*ms, 2300*ms, 3000*ms, 4000*ms), idempotencyWindow: 1200 * ms, sockets: 1024, shutdowns: 2,
		clientCounts: map[behavior]int{steady: 8, eager: 4, pipeline: 2, slow: 3, leaver: 3, canceler: 2, partial: 2, silent: 3},
	}
	hangMode := rng.IntN(3) // 0: no member hangs; 1: about a third of them; 2: all but one
	for i := range 4 {
		m := memberFaults{latency: pick(2*ms, 10*ms, 40*ms)}
		switch hangMode {
		case 1:
			m.hangs = i%3 == int(seed%3)
		case 2:
			m.hangs = i != int(seed%4)
		}
		if rng.IntN(3) == 0 {
			m.hangsFrom = time.Duration(rng.IntN(1500)) * ms
		}
		if rng.IntN(3) == 0 {
			m.handshakeDelay = time.Duration(rng.IntN(1500)) * ms
		}
		if rng.IntN(3) == 0 {
			m.truncatedFraction, m.resetFraction = 0.05, 0.05
		}
		s.memberFaults = append(s.memberFaults, m)
	}
	if rng.IntN(3) == 0 { // idle clients use all descriptors
		s.clientCounts[silent] = 100
		s.sockets = 128
	}
	if rng.IntN(2) == 0 {
		s.pauseDuration = 150 * ms
		kill := min(s.maxDeadline, 3*time.Second) + 700*ms
		for _, at := range []time.Duration{-time.Duration(rng.IntN(140)) * ms, kill - 400*ms, kill - time.Duration(160+rng.IntN(140))*ms} {
			if rng.IntN(2) == 0 {
				s.pauseTimes = append(s.pauseTimes, at)
			}
		}
	}
	for range []int{0, 2, 5, 40}[rng.IntN(4)] {
		s.extraSignals = append(s.extraSignals, []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM}[rng.IntN(3)])
	}
	s.servingTime = pick(900*ms, 900*ms, 300*ms, 0)
	if rng.IntN(3) == 0 {
		s.drainAfter = time.Duration(1+rng.IntN(800)) * ms
	}
	return s
}

// run is a running scenario.
type run struct {
	scenario
	t            *testing.T
	record       *record
	clients      *clientGroup
	discovery    *discovery
	processes    []*process
	siteFile     string
	operatorFile string
}

func (s scenario) play(t *testing.T) *run {
	r := &run{scenario: s, t: t, record: newRecord()}
	rng := rand.New(rand.NewPCG(s.seed, 11))
	newRNG := func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), 3)) }
	var members []*member
	for i, faults := range s.memberFaults {
		members = append(members, startMember(t, i, r.record, faults, newRNG()))
	}
	r.discovery = startDiscovery(t, r.record, members)
	address := testaddress.Reserve(t)
	r.writeFiles(address)
	r.clients = &clientGroup{record: r.record, address: address, stop: make(chan struct{}), name: fmt.Sprintf("s%d", s.seed),
		deadlines: []time.Duration{s.maxDeadline, s.maxDeadline * 3 / 4, s.maxDeadline / 2}}
	for number := range s.shutdowns {
		p := startDriver(t, r.record, "--site", r.siteFile, "--operator", r.operatorFile)
		r.processes = append(r.processes, p)
		r.clients.directTo(number, true)
		if number == 0 {
			for behavior := range behaviorCount {
				for range s.clientCounts[behavior] {
					r.clients.add(behavior, newRNG())
				}
			}
		}
		time.Sleep(s.servingTime)
		r.shutDown(p, number)
	}
	close(r.clients.stop)
	r.clients.running.Wait()
	return r
}

// writeFiles writes the site file and the operator file of the driver.
func (r *run) writeFiles(address string) {
	dir := r.t.TempDir()
	r.siteFile, r.operatorFile = filepath.Join(dir, "site.json"), filepath.Join(dir, "operator.hcl")
	var texts []string
	for _, c := range methods {
		text := fmt.Sprintf(`{"name":%q,"effect":%q,"points":1,"target_us":%d,"hard_limit_us":%d`, c.name, c.effect, r.maxDeadline.Microseconds()/2, r.maxDeadline.Microseconds())
		if c.effect == "keyed" {
			text += fmt.Sprintf(`,"group":"cell","window_us":%d`, r.idempotencyWindow.Microseconds())
		}
		texts = append(texts, text+"}")
	}
	r.discovery.mutex.Lock()
	known := r.discovery.list(0)
	r.discovery.mutex.Unlock()
	site := fmt.Sprintf(siteText, address, r.discovery.listener.Addr(), r.seed, r.sockets, known, strings.Join(texts, ","))
	if err := os.WriteFile(r.siteFile, []byte(site), 0o600); err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(r.operatorFile, []byte(operatorText), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// shutDown ends one process of the driver: it sends SIGTERM among other signals, and SIGKILL at the earliest time at which a platform may send it.
func (r *run) shutDown(p *process, number int) {
	var beforeTerm, afterTerm []time.Duration
	for _, at := range r.pauseTimes {
		if at < 0 {
			beforeTerm = append(beforeTerm, at)
		} else {
			afterTerm = append(afterTerm, at)
		}
	}
	for _, at := range beforeTerm {
		p.pause(r.pauseDuration)
		time.Sleep(-at)
	}
	for _, s := range r.extraSignals {
		if s != syscall.SIGTERM {
			p.signal(s)
		}
	}
	r.record.mutex.Lock()
	p.times.terminated = time.Now()
	r.record.mutex.Unlock()
	p.signal(syscall.SIGTERM)
	kill := p.times.terminated.Add(min(r.maxDeadline, 3*time.Second) + 700*time.Millisecond)
	for _, s := range r.extraSignals {
		p.signal(s)
	}
	for _, at := range afterTerm {
		time.AfterFunc(time.Until(p.times.terminated.Add(at)), func() { p.pause(r.pauseDuration) })
	}
	if r.drainAfter > 0 && number == 0 {
		time.AfterFunc(r.drainAfter, func() { r.discovery.drain(2) })
	}
	time.AfterFunc(300*time.Millisecond, func() { r.clients.directTo(number, false) })
	time.Sleep(time.Until(kill))
	r.record.mutex.Lock()
	p.times.killed = time.Now()
	r.record.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// report fails the test for each violation of the rules.
func (r *run) report() {
	violations := r.record.violations(r.idempotencyWindow, r.pauseDuration)
	sent, ok, pushedBack, failed, left, unread := r.record.countOutcomes()
	r.t.Logf("seed %d: longest deadline %v, hanging members %s, pauses %v, %d signals, serving for %v: %d requests, %d ok, %d pushed back, %d failed, %d left by the client, %d unread, %d violations",
		r.seed, r.maxDeadline, hangPattern(r.memberFaults), r.pauseTimes, len(r.extraSignals), r.servingTime, sent, ok, pushedBack, failed, left, unread, len(violations))
	for i, line := range violations {
		if i == 8 {
			r.t.Errorf("and %d more violations", len(violations)-i)
			break
		}
		id, _, _ := strings.Cut(line, " ")
		logLines := ""
		for _, p := range r.processes {
			logLines += p.linesAbout(id)
		}
		r.t.Errorf("%s\n%s", line, logLines)
	}
	for _, p := range r.processes {
		if n := p.countLines("level=ERROR"); n > 0 {
			r.t.Errorf("the driver logged %d lines of level ERROR", n)
		}
		if p.countLines(`event="graceful shutdown started"`) != 1 {
			r.t.Errorf("a driver started its graceful shutdown %d times, want once", p.countLines(`event="graceful shutdown started"`))
		}
	}
	if ok == 0 && r.servingTime > 0 && len(violations) == 0 {
		r.t.Errorf("no request was answered with ok, although each process served for %v", r.servingTime)
	}
}

// hangPattern shows each member by a letter: - never hangs, H hangs from its start on, h from later on.
func hangPattern(members []memberFaults) string {
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

// Guards against requests that a driver reads and does not answer before the earliest SIGKILL, and against violations of the rules for deadlines,
// drains and duplicates during a shutdown. Each seed gives one random scenario.
func TestShutdownAnswersAllBeforeTheEarliestKill(t *testing.T) {
	slots := make(chan struct{}, 3) // limits the scenarios that run at the same time
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			drawScenario(seed).play(t).report()
		})
	}
}
