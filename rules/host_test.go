package rules

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

const ms = time.Millisecond

type simulatedMember struct {
	position, lag             time.Duration
	reportedPosition          time.Duration // the position that the driver was last told
	wasPrimary, deniedPrimary bool          // it has been primary; an answer has said that it is none
	state                     driver.Standing
	leavingSince, startedAt   time.Duration // leftAt: when the driver was told that it drains or is gone
	attemptTimes              []time.Duration
	attemptLoads              []float64
	answerTimes               []time.Duration
	maxServedLoad             float64 // the most work that it answered in a window since its latest start
	servedSinceStart          time.Duration
	capacity, capacityLeft    float64 // RPCs a second that it can do when it is warm, 0: all; that it can answer now
}

type simulatedRPC struct {
	method, group             int
	arrivedAt, deadline       time.Duration
	commit                    time.Duration
	openAttempts, lastAttempt int // attempts still out: at most one here; number of the last
	member                    driver.Member
	sentAt, timeoutAt         time.Duration // over: when the latest attempt is waited for no more
	mayHaveRun                bool
	firstRunZone              driver.Zone
	firstRunAt                time.Duration
	answered, cancelled       bool
}

type cluster struct {
	t                     testing.TB
	now                   time.Duration
	random                *pcg.Source
	router                *Router
	members               map[driver.Member]*simulatedMember
	ids                   []driver.Member
	primaries             [2]driver.Member
	rpcs                  map[driver.RPC]*simulatedRPC
	openRPCs              []driver.RPC
	lastRPC               driver.RPC
	wakeAt                time.Duration
	skipsTicks            bool // the host leaves out the ticks that it may
	ticks                 int
	probes                []driver.Member
	sessionCommits        map[driver.Session]time.Duration
	forgotten             []driver.Member
	membersCheckFreshness bool
	mixed                 bool // groups have members in both zones
	onlyDrainingBinds     bool // only draining binds, until the next start
	watches               int
	pushedBack            map[driver.RPC]time.Duration
	aborted               map[driver.RPC]bool
	attempts              int
	unreachable           []driver.Member
	minDeadlineMillis     int     // milliseconds that a client waits at least
	maxWarmLoad           float64 // work that a warm member was ever sent in eight windows
}

const drainGrace, loadWindow, slowStartDuration = 250 * ms, time.Second, 10 * time.Second

var testMethods = []struct{ need, effect, repeats string }{
	{"bounded", "idempotent", "all"}, {"session", "idempotent", "all"}, {"any", "idempotent", "all"},
	{"fresh", "idempotent", "all"}, {"write", "tokened", "group"}, {"write", "non-idempotent", "all"},
	{"write", "tokened", "all"}, {"write", "tokened", "zone"},
}

func newCluster(t testing.TB, seed uint64, checks string, more ...string) *cluster {
	w := &cluster{t: t, minDeadlineMillis: 1000, now: time.Second, random: pcg.New(seed ^ 0x9e3779b97f4a7c15), membersCheckFreshness: checks != "none",
		members: map[driver.Member]*simulatedMember{}, rpcs: map[driver.RPC]*simulatedRPC{},
		pushedBack: map[driver.RPC]time.Duration{}, aborted: map[driver.RPC]bool{}}
	settings := testSettings(checks, more...)
	w.mixed = settings["mixed"] == "true"
	w.onlyDrainingBinds = settings["rules.only_draining_binds"] == "true"
	w.router = New(w, seed, settings)
	for i := range 8 {
		w.addMember(driver.Member(100+i), driver.LongAgo)
	}
	w.primaries = [2]driver.Member{100, 101}
	w.members[100].wasPrimary, w.members[101].wasPrimary = true, true
	w.announce(driver.Cached)
	return w
}

// settingsOf are those of a world, in which some lines stand over the usual ones.
func testSettings(checks string, more ...string) map[string]string {
	settings := map[string]string{
		"family_info.checks": checks, "family_info.token": "carried", "caps.cancel": "true", "caps.probe": "true",
		"caps.attempts": "8", "caps.longest_wait": "1000000", "rules.cold_window": "1000000", "drivers": "1",
		"rules.cold_lasts": "10000000", "rules.cold_share": "0.25", "rules.cold_multiple": "3", "tick": "5000",
		"report.columns": "x0,x1", "rules.drain_grace": "250000", "list": "pushed",
	}
	var needs, bounds []string
	for i, m := range testMethods {
		at := fmt.Sprintf("methods.%d.", i)
		needs, bounds = append(needs, m.need), append(bounds, "500000")
		settings[at+"effect"], settings[at+"repeats"], settings[at+"utility"] = m.effect, m.repeats, "2"
		settings[at+"soft_deadline"], settings[at+"window"] = "600000", "1200000"
		settings[at+"late_utility"] = fmt.Sprint(0.3 * float64(i%2))
	}
	settings["methods.count"] = fmt.Sprint(len(testMethods))
	settings["family_info.needs"], settings["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	for _, line := range more {
		name, value, _ := strings.Cut(line, "=")
		settings[name] = value
	}
	return settings
}

func (w *cluster) addMember(m driver.Member, started time.Duration) {
	w.members[m] = &simulatedMember{state: driver.Ready, startedAt: started, lag: 10 * ms, leavingSince: -1}
	w.ids = append(w.ids, m)
}

func (w *cluster) announce(how driver.Listing, only ...driver.Member) {
	if how != driver.Changes {
		only = w.ids
	}
	w.router.ListBegins(how)
	for _, m := range only {
		n := w.members[m]
		if n.state != driver.Ready && n.leavingSince < 0 && (!w.onlyDrainingBinds || n.state == driver.Draining) {
			n.leavingSince = w.now
		} else if n.state == driver.Ready && !w.onlyDrainingBinds {
			n.leavingSince = -1
		}
		w.router.EndpointListed(m, w.zoneOf(m), driver.Group(m%2), n.state, 1, n.startedAt, false)
	}
	w.resumeTicks()
	w.router.ListEnds(how)
}

// zoneOf lets each group be in a zone of its own, or in both where they are mixed.
func (w *cluster) zoneOf(m driver.Member) driver.Zone {
	if w.mixed {
		m /= 2
	}
	return driver.Zone(m % 2)
}

func (w *cluster) Now() time.Duration        { return w.now }
func (w *cluster) CloseIdle(driver.Member)   {}
func (w *cluster) Watch(bool)                { w.watches++ }
func (w *cluster) FetchList()                {}
func (w *cluster) Tell(driver.Peer, []byte)  {}
func (w *cluster) WakeAfter(d time.Duration) { w.wakeAt = w.now + d }
func (w *cluster) Log(string)                {}
func (w *cluster) Fault(why string)          { w.t.Fatal("fault: ", why) }
func (w *cluster) Probe(m driver.Member)     { w.probes = append(w.probes, m) }
func (w *cluster) PushBack(id driver.RPC, d time.Duration) {
	w.pushedBack[id] = d
	w.recordAnswer(id, true)
}
func (w *cluster) Abort(id driver.RPC) { w.aborted[id] = true; w.recordAnswer(id, false) }

func (w *cluster) recordAnswer(id driver.RPC, harmless bool) {
	q := w.rpcs[id]
	if q == nil || q.answered {
		w.t.Fatalf("rule 1: second answer to %d", id)
	}
	q.answered = true
	m := testMethods[q.method]
	if harmless && (q.mayHaveRun || q.openAttempts > 0) && (m.effect == "non-idempotent" || m.effect == "tokened" && m.repeats != "all") {
		w.t.Fatalf("rule 2: %d pushed back after it may have run", id)
	}
}

func (w *cluster) Cancel(id driver.RPC, n int) {
	q := w.rpcs[id]
	if n > q.lastAttempt {
		w.t.Fatalf("cancel of an attempt never sent")
	}
	q.cancelled = true
}

func (w *cluster) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	w.attempts++
	q, n := w.rpcs[id], w.members[to]
	if q == nil || n == nil || int(to%2) != q.group {
		w.t.Fatalf("attempt of %d to %d of another group", id, to)
	}
	if q.answered || w.now > q.deadline {
		w.t.Fatalf("rule 1: attempt of %d after its end", id)
	}
	m := testMethods[q.method]
	if q.openAttempts > 0 {
		w.t.Fatalf("two attempts of %d at once", id)
	}
	if q.mayHaveRun && (m.effect == "non-idempotent" || m.effect == "tokened" && w.now >= q.firstRunAt+1200*ms) {
		w.t.Fatalf("rule 2: %d sent again after it may have run", id)
	}
	if q.mayHaveRun && m.repeats == "zone" && w.zoneOf(to) != q.firstRunZone {
		w.t.Fatalf("rule 2: %d sent to another zone after it may have run", id)
	}
	if q.mayHaveRun && m.effect == "tokened" && by >= q.firstRunAt+1200*ms {
		w.t.Fatalf("rule 2: %d may reach its member %v after it may have run", id, by-q.firstRunAt)
	}
	if by <= w.now || by > q.deadline {
		w.t.Fatalf("%d is to be sent by %v, at %v", id, by, w.now)
	}
	if n.leavingSince >= 0 && w.now > n.leavingSince+drainGrace {
		w.t.Fatalf("rule 3: attempt to %d, told to be leaving %v ago", to, w.now-n.leavingSince)
	}
	if !w.membersCheckFreshness && (!n.wasPrimary || n.deniedPrimary) {
		floor := map[string]time.Duration{"bounded": w.now - 500*ms, "session": q.commit, "fresh": q.arrivedAt}[m.need]
		if n.reportedPosition < floor {
			w.t.Fatalf("rule 5: %s read sent to data told to stand at %v, wanted %v", m.need, n.reportedPosition, floor)
		}
	}
	n.attemptTimes, n.attemptLoads = append(n.attemptTimes, w.now), append(n.attemptLoads, w.router.methods[q.method].typical.value.Seconds())
	w.checkSlowStart(to)
	q.openAttempts, q.lastAttempt, q.member, q.sentAt, q.timeoutAt = 1, q.lastAttempt+1, to, w.now, q.deadline
	if timeout > 0 {
		q.timeoutAt = min(q.deadline, w.now+timeout)
	}
	w.openRPCs = append(w.openRPCs, id)
}

// cold checks rule 4 by what warm members bore: the true capacity is at least that.
func (w *cluster) checkSlowStart(to driver.Member) {
	n := w.members[to]
	age := w.now - n.startedAt
	sum := func(since time.Duration) (work float64) {
		for i, at := range n.attemptTimes {
			if at > since {
				work += n.attemptLoads[i]
			}
		}
		return work
	}
	if n.startedAt == driver.LongAgo || age >= slowStartDuration {
		w.maxWarmLoad = max(w.maxWarmLoad, sum(w.now-8*loadWindow))
		return
	}
	heaviest := slices.MaxFunc(w.router.methods, func(a, b *method) int { return int(a.typical.value - b.typical.value) }).typical.value.Seconds()
	share := 0.25 + 0.75*float64(max(0, age-loadWindow))/float64(slowStartDuration)
	if got := sum(w.now - loadWindow); got > 3*max(share*w.maxWarmLoad, n.maxServedLoad)+2*heaviest {
		w.t.Fatalf("rule 4: %.2f s of work in a window to a member %v old, warm ones had %.2f in eight, it showed %.2f", got, age, w.maxWarmLoad, n.maxServedLoad)
	}
}

func (w *cluster) request(method int, token time.Duration) driver.RPC {
	w.lastRPC++
	q := &simulatedRPC{method: method, group: w.random.Below(2), arrivedAt: w.now, lastAttempt: -1, commit: driver.LongAgo}
	q.deadline = w.now + time.Duration(w.minDeadlineMillis+w.random.Below(2000-w.minDeadlineMillis))*ms
	w.rpcs[w.lastRPC] = q
	sinceWrite := time.Duration(0)
	if token > 0 {
		q.commit, sinceWrite = token, w.now-token
	}
	w.resumeTicks()
	w.router.Take(Request{
		ID: w.lastRPC, Method: driver.Method(method), Group: driver.Group(q.group), Session: 7,
		ArrivedAt: w.now, Deadline: q.deadline, SinceWrite: sinceWrite,
	})
	return w.lastRPC
}

func (w *cluster) endAttempt(id driver.RPC, how driver.Outcome) {
	q := w.rpcs[id]
	n := w.members[q.member]
	role, pos := driver.Unknown, time.Duration(0)
	isPrimary := w.primaries[q.group] == q.member
	if m := testMethods[q.method]; how == driver.OK && m.need == "write" && !isPrimary {
		how = driver.Miss
	}
	if how == driver.OK || how == driver.Miss || how == driver.Full || how == driver.Failed {
		role, pos = driver.Replica, n.position
		n.deniedPrimary = !isPrimary
		if isPrimary {
			role, pos = driver.Primary, w.now
		}
		n.reportedPosition = max(n.reportedPosition, pos.Truncate(ms))
	}
	for i, o := range w.openRPCs {
		if o == id {
			w.openRPCs = append(w.openRPCs[:i], w.openRPCs[i+1:]...)
			break
		}
	}
	q.openAttempts = 0
	if !surelyNotRun(how) && !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, q.sentAt, w.zoneOf(q.member)
	}
	if n.servedSinceStart != n.startedAt {
		n.maxServedLoad, n.servedSinceStart = 0, n.startedAt
	}
	if how == driver.OK {
		n.answerTimes = append(slices.DeleteFunc(n.answerTimes, func(at time.Duration) bool { return at <= w.now-loadWindow || at < n.startedAt }), w.now)
		n.maxServedLoad = max(n.maxServedLoad, float64(len(n.answerTimes))*w.router.methods[q.method].typical.value.Seconds())
	}
	complete := q.answered || how == driver.OK
	q.answered = complete
	w.router.AttemptEnded(id, q.lastAttempt, q.member, how, w.now-q.sentAt, complete, pos.Truncate(ms), role, nil)
}

func (w *cluster) Forget(m driver.Member) { w.forgotten = append(w.forgotten, m) }

func (w *cluster) Remembered(who driver.Session, commit time.Duration) {
	if w.sessionCommits == nil {
		w.sessionCommits = make(map[driver.Session]time.Duration)
	}
	w.sessionCommits[who] = commit
}

func (w *cluster) advance(by time.Duration) {
	for target := w.now + by; w.now < target; {
		w.now += 5 * ms
		for _, m := range w.ids {
			if n := w.members[m]; w.primaries[m%2] == m {
				n.position = w.now
			} else {
				n.position = max(n.position, w.now-n.lag)
			}
		}
		for _, id := range slices.Clone(w.openRPCs) {
			if q := w.rpcs[id]; q.cancelled {
				q.cancelled = false
				w.endAttempt(id, driver.Cancelled)
			} else if w.now >= q.timeoutAt {
				w.endAttempt(id, driver.TimedOut)
			}
		}
		if w.now >= w.wakeAt {
			w.ticks++
			if w.router.Wake(); w.skipsTicks {
				w.wakeAt = w.now + w.router.WakeDelay()
			}
		}
		for id, q := range w.rpcs {
			if !q.answered && w.now > q.deadline+20*ms {
				w.t.Fatalf("rule 1: %d (method %d) never answered", id, q.method)
			}
		}
	}
}

// stir ends a rest with the next tick.
func (w *cluster) resumeTicks() { w.wakeAt = min(w.wakeAt, w.now+5*ms) }

func (w *cluster) trafficWithOutcomes(times int, wait time.Duration, fate func(q *simulatedRPC) driver.Outcome, methods ...int) {
	for range times {
		for _, method := range methods {
			w.request(method, 0)
		}
		w.advance(wait)
		for _, id := range slices.Clone(w.openRPCs) {
			if how := fate(w.rpcs[id]); how != noAnswer {
				w.endAttempt(id, how)
			}
		}
	}
}

const noAnswer = driver.Outcome(255) // no answer, until the time-out

func (w *cluster) traffic(times int, wait time.Duration, methods ...int) {
	w.trafficWithOutcomes(times, wait, func(*simulatedRPC) driver.Outcome { return driver.OK }, methods...)
}

// arrivals lets RPCs of all kinds come at random at a rate a second, each answered after 100 ms.
func (w *cluster) randomTraffic(rate float64, lasts time.Duration) {
	next := func() time.Duration {
		return time.Duration(-math.Log(1-w.random.Float()) / rate * float64(time.Second))
	}
	end, due := w.now+lasts, w.now+next()
	for w.now < end {
		for ; due <= w.now; due += next() {
			w.request([]int{0, 0, 0, 2, 4, 4}[w.random.Below(6)], 0)
		}
		w.advance(5 * ms)
		for _, n := range w.members {
			n.capacityLeft = min(n.capacityLeft+n.capacity*(0.25+0.75*min(1, (w.now-n.startedAt).Seconds()/slowStartDuration.Seconds()))*0.005, max(1, n.capacity/10))
		}
		for _, id := range slices.Clone(w.openRPCs) {
			if q := w.rpcs[id]; slices.Contains(w.unreachable, q.member) {
				w.endAttempt(id, driver.NoConnection)
			} else if n := w.members[q.member]; w.now-q.sentAt >= 100*ms && (n.capacity == 0 || n.capacityLeft >= 1) {
				n.capacityLeft--
				w.endAttempt(id, driver.OK)
			}
		}
	}
}
