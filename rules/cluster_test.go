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

// newSettledCluster returns a cluster after some traffic, in which the router has found both primaries.
func newSettledCluster(t *testing.T, checks string, more ...string) *cluster {
	c := newCluster(t, 1, checks, more...)
	c.traffic(60, 5*ms, 2, 4)
	if c.router.groups[0].primary == nil || c.router.groups[1].primary == nil {
		t.Fatal("no primary was found though writes were sent")
	}
	return c
}

// sentTo requests an RPC and returns the member that it is sent to. The test fails if it is not sent at once.
func (c *cluster) sentTo(t *testing.T, method int, commit time.Duration) driver.Member {
	t.Helper()
	id := c.request(method, commit)
	if c.rpcs[id].lastAttempt < 0 {
		t.Fatalf("RPC of method %d was not sent at once", method)
	}
	return c.rpcs[id].member
}

const ms = time.Millisecond

// simulatedMember is the actual state of a member, whatever the router knows about it.
type simulatedMember struct {
	position, lag             time.Duration
	reportedPosition          time.Duration // the latest position that was reported to the router
	wasPrimary, deniedPrimary bool          // the member has been primary; its latest answer reported that it is not
	state                     driver.MemberState
	leavingSince, startedAt   time.Duration // when the router was told that it drains or is gone, -1: not told; its start
	attemptTimes              []time.Duration
	attemptLoads              []float64
	answerTimes               []time.Duration
	maxServedLoad             float64 // largest amount of work that it answered in a window since its latest start
	servedSinceStart          time.Duration
	capacity, capacityLeft    float64 // RPCs per second that it serves when warm, 0: unlimited; RPCs that it can answer now
}

// simulatedRPC is the host's state of an RPC.
type simulatedRPC struct {
	method, group             int
	arrivedAt, deadline       time.Duration
	commit                    time.Duration
	openAttempts, lastAttempt int // attempts in flight, at most 1; number of the latest attempt, -1: none
	member                    driver.Member
	sentAt, timeoutAt         time.Duration // of the latest attempt: when it was sent; when it times out
	mayHaveRun                bool
	firstRunZone              driver.Zone
	firstRunAt                time.Duration
	answered, cancelled       bool
	key                       driver.Key
	duplicatesUntil           time.Duration // when members forget an earlier try of its key that may have run, 0: there is none
}

// cluster is a simulated host with eight members in two groups. It checks at each action of the router that the rules of the decision module
// hold.
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
	skipsTicks            bool // the host skips ticks as WakeDelay permits
	ticks                 int
	probes                []driver.Member
	sessionCommits        map[driver.Session]time.Duration
	forgotten             []driver.Member
	membersCheckFreshness bool
	mixed                 bool // groups have members in both zones
	onlyDrainingBinds     bool // a member that was listed as draining stays so until its next start
	watches               int
	pushedBack            map[driver.RPC]time.Duration
	aborted               map[driver.RPC]bool
	attempts              int
	unreachable           []driver.Member
	unavailable           map[driver.Member]bool // as the router told the host
	keyRuns               map[runKey]knownRuns
	minDeadlineMillis     int // shortest timeout of a client
	groupOfRequests       int // 1 more than the group of each request; 0: at random
	nextKey               driver.Key
	nextTimeout           time.Duration // of the next request; 0: at random
	maxWarmLoad           float64       // largest amount of work that was sent to a warm member in eight windows
}

const drainGrace, loadWindow, slowStartDuration, retryWindow = 250 * ms, time.Second, 10 * time.Second, 1200 * ms

// knownRuns is when the first and the last run of a key were sent, of those that may have taken effect and that members may remember.
type knownRuns struct{ firstAt, lastAt time.Duration }

func (q *simulatedRPC) runKey() runKey { return runKey{driver.Group(q.group), q.key} }

var testMethods = []struct{ need, effect, repeats string }{
	{"bounded", "idempotent", "all"}, {"session", "idempotent", "all"}, {"any", "idempotent", "all"},
	{"fresh", "idempotent", "all"}, {"write", "tokened", "group"}, {"write", "non-idempotent", "all"},
	{"write", "tokened", "all"}, {"write", "tokened", "zone"},
}

func newCluster(t testing.TB, seed uint64, checks string, more ...string) *cluster {
	c := &cluster{t: t, minDeadlineMillis: 1000, now: time.Second, random: pcg.New(seed ^ 0x9e3779b97f4a7c15), membersCheckFreshness: checks != "none",
		members: map[driver.Member]*simulatedMember{}, rpcs: map[driver.RPC]*simulatedRPC{},
		pushedBack: map[driver.RPC]time.Duration{}, aborted: map[driver.RPC]bool{}, unavailable: map[driver.Member]bool{},
		keyRuns: map[runKey]knownRuns{}}
	settings := testSettings(checks, more...)
	c.mixed = settings["mixed"] == "true"
	c.onlyDrainingBinds = settings["rules.only_draining_binds"] == "true"
	c.router = New(c, seed, settings)
	for i := range 8 {
		c.addMember(driver.Member(100+i), driver.LongAgo)
	}
	c.primaries = [2]driver.Member{100, 101}
	c.members[100].wasPrimary, c.members[101].wasPrimary = true, true
	c.announce(driver.Cached)
	return c
}

// testSettings returns the settings of a cluster; the path=value items of more replace or add some.
func testSettings(checks string, more ...string) map[string]string {
	settings := map[string]string{
		"family_info.checks": checks, "family_info.token": "carried", "caps.cancel": "true", "caps.probe": "true",
		"caps.attempts": "8", "caps.longest_wait": "1000000", "rules.cold_window": "1000000", "drivers": "1",
		"rules.cold_lasts": "10000000", "rules.cold_share": "0.25", "rules.cold_multiple": "3", "tick": "5000",
		"report.columns": "x0,x1", "rules.drain_grace": "250000", "list": "pushed",
	}
	var needs, bounds []string
	for i, m := range testMethods {
		path := fmt.Sprintf("methods.%d.", i)
		needs, bounds = append(needs, m.need), append(bounds, "500000")
		settings[path+"effect"], settings[path+"repeats"], settings[path+"utility"] = m.effect, m.repeats, "2"
		settings[path+"soft_deadline"], settings[path+"window"] = "600000", "1200000"
		settings[path+"late_utility"] = fmt.Sprint(0.3 * float64(i%2))
	}
	settings["methods.count"] = fmt.Sprint(len(testMethods))
	settings["family_info.needs"], settings["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	for _, line := range more {
		name, value, _ := strings.Cut(line, "=")
		settings[name] = value
	}
	return settings
}

func (c *cluster) addMember(m driver.Member, started time.Duration) {
	c.members[m] = &simulatedMember{state: driver.Ready, startedAt: started, lag: 10 * ms, leavingSince: -1}
	c.ids = append(c.ids, m)
}

// announce sends an update of the endpoint list to the router, with the changed members or with all.
func (c *cluster) announce(kind driver.ListKind, changed ...driver.Member) {
	if kind != driver.Changes {
		changed = c.ids
	}
	c.router.ListBegins(kind)
	for _, m := range changed {
		n := c.members[m]
		if n.state != driver.Ready && n.leavingSince < 0 && (!c.onlyDrainingBinds || n.state == driver.Draining) {
			n.leavingSince = c.now
		} else if n.state == driver.Ready && !c.onlyDrainingBinds {
			n.leavingSince = -1
		}
		c.router.EndpointListed(m, c.zoneOf(m), driver.Group(m%2), n.state, 1, n.startedAt, false)
	}
	c.resumeTicks()
	c.router.ListEnds(kind)
}

// zoneOf returns the zone of a member: each group has its own zone, or members in both zones if groups are mixed.
func (c *cluster) zoneOf(m driver.Member) driver.Zone {
	if c.mixed {
		m /= 2
	}
	return driver.Zone(m % 2)
}

func (c *cluster) Now() time.Duration { return c.now }

func (c *cluster) CloseIdle(driver.Member) {}

func (c *cluster) SetAvailable(m driver.Member, available bool) { c.unavailable[m] = !available }

func (c *cluster) Watch(bool) { c.watches++ }

func (c *cluster) FetchList() {}

func (c *cluster) Tell(driver.Peer, []byte) {}

func (c *cluster) WakeAfter(d time.Duration) { c.wakeAt = c.now + d }

func (c *cluster) Log(string) {}

func (c *cluster) Fault(reason string) { c.t.Fatal("fault: ", reason) }

func (c *cluster) Probe(m driver.Member) { c.probes = append(c.probes, m) }

func (c *cluster) PushBack(id driver.RPC, d time.Duration) {
	c.pushedBack[id] = d
	c.recordAnswer(id, true)
}

func (c *cluster) Abort(id driver.RPC) { c.aborted[id] = true; c.recordAnswer(id, false) }

func (c *cluster) request(method int, commit time.Duration) driver.RPC {
	c.lastRPC++
	q := &simulatedRPC{method: method, group: c.random.Below(2), arrivedAt: c.now, lastAttempt: -1, commit: driver.LongAgo}
	q.deadline = c.now + time.Duration(c.minDeadlineMillis+c.random.Below(2000-c.minDeadlineMillis))*ms
	if c.groupOfRequests > 0 {
		q.group = c.groupOfRequests - 1
	}
	if c.nextTimeout > 0 {
		q.deadline = c.now + c.nextTimeout
	}
	c.rpcs[c.lastRPC] = q
	q.key = c.nextKey
	if runs, known := c.keyRuns[q.runKey()]; known && c.now < runs.lastAt+retryWindow {
		q.duplicatesUntil = runs.firstAt + retryWindow
	}
	sinceWrite := time.Duration(0)
	if commit > 0 {
		q.commit, sinceWrite = commit, c.now-commit
	}
	c.resumeTicks()
	c.router.Take(Request{
		ID: c.lastRPC, Method: driver.Method(method), Group: driver.Group(q.group), Session: 7, Key: c.nextKey,
		ArrivedAt: c.now, Deadline: q.deadline, SinceWrite: sinceWrite,
	})
	return c.lastRPC
}

// endAttempt ends the attempt in flight of an RPC. A write that a replica would have served ends as a miss.
func (c *cluster) endAttempt(id driver.RPC, outcome driver.Outcome) {
	q := c.rpcs[id]
	n := c.members[q.member]
	role, pos := driver.Unknown, time.Duration(0)
	isPrimary := c.primaries[q.group] == q.member
	if m := testMethods[q.method]; outcome == driver.OK && m.need == "write" && !isPrimary {
		outcome = driver.Misdirected
	}
	if outcome == driver.OK || outcome == driver.Misdirected || outcome == driver.Full || outcome == driver.Failed {
		role, pos = driver.Replica, n.position
		n.deniedPrimary = !isPrimary
		if isPrimary {
			role, pos = driver.Primary, c.now
		}
		n.reportedPosition = max(n.reportedPosition, pos.Truncate(ms))
	}
	for i, o := range c.openRPCs {
		if o == id {
			c.openRPCs = append(c.openRPCs[:i], c.openRPCs[i+1:]...)
			break
		}
	}
	q.openAttempts = 0
	if outcome.MayHaveRun() && !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, q.sentAt, c.zoneOf(q.member)
	}
	if outcome.MayHaveRun() && q.key != 0 {
		runs, known := c.keyRuns[q.runKey()]
		if !known || c.now >= runs.lastAt+retryWindow {
			runs = knownRuns{q.sentAt, q.sentAt}
		}
		c.keyRuns[q.runKey()] = knownRuns{min(runs.firstAt, q.sentAt), max(runs.lastAt, q.sentAt)}
	}
	if n.servedSinceStart != n.startedAt {
		n.maxServedLoad, n.servedSinceStart = 0, n.startedAt
	}
	if outcome == driver.OK {
		n.answerTimes = append(slices.DeleteFunc(n.answerTimes, func(at time.Duration) bool { return at <= c.now-loadWindow || at < n.startedAt }), c.now)
		n.maxServedLoad = max(n.maxServedLoad, float64(len(n.answerTimes))*c.router.methods[q.method].typical.value.Seconds())
	}
	complete := q.answered || outcome == driver.OK
	q.answered = complete
	c.router.AttemptEnded(id, q.lastAttempt, q.member, outcome, c.now-q.sentAt, complete, pos.Truncate(ms), role, nil)
}

func (c *cluster) Forget(m driver.Member) { c.forgotten = append(c.forgotten, m) }

func (c *cluster) SessionWrote(session driver.Session, commit time.Duration) {
	if c.sessionCommits == nil {
		c.sessionCommits = make(map[driver.Session]time.Duration)
	}
	c.sessionCommits[session] = commit
}

func (c *cluster) advance(by time.Duration) {
	for target := c.now + by; c.now < target; {
		c.now += 5 * ms
		for _, m := range c.ids {
			if n := c.members[m]; c.primaries[m%2] == m {
				n.position = c.now
			} else {
				n.position = max(n.position, c.now-n.lag)
			}
		}
		for _, id := range slices.Clone(c.openRPCs) {
			if q := c.rpcs[id]; q.cancelled {
				q.cancelled = false
				c.endAttempt(id, driver.Cancelled)
			} else if c.now >= q.timeoutAt {
				c.endAttempt(id, driver.TimedOut)
			}
		}
		if c.now >= c.wakeAt {
			c.ticks++
			if c.router.Wake(); c.skipsTicks {
				c.wakeAt = c.now + c.router.WakeDelay()
			}
		}
		for id, q := range c.rpcs {
			if !q.answered && c.now > q.deadline+20*ms {
				c.t.Fatalf("rule 1: %d (method %d) not answered by its deadline", id, q.method)
			}
		}
	}
}

// resumeTicks ends the skipping of ticks: the next tick comes within 5 ms.
func (c *cluster) resumeTicks() { c.wakeAt = min(c.wakeAt, c.now+5*ms) }

func (c *cluster) trafficWithOutcomes(times int, wait time.Duration, outcomeOf func(q *simulatedRPC) driver.Outcome, methods ...int) {
	for range times {
		for _, method := range methods {
			c.request(method, 0)
		}
		c.advance(wait)
		for _, id := range slices.Clone(c.openRPCs) {
			if outcome := outcomeOf(c.rpcs[id]); outcome != noAnswer {
				c.endAttempt(id, outcome)
			}
		}
	}
}

const noAnswer = driver.Outcome(255) // leaves the attempt unanswered until its timeout

func (c *cluster) traffic(times int, wait time.Duration, methods ...int) {
	c.trafficWithOutcomes(times, wait, func(*simulatedRPC) driver.Outcome { return driver.OK }, methods...)
}

// randomTraffic sends RPCs of several methods at random times, on average rate per second. Each is answered after 100 ms, or later if the
// member has no capacity left.
func (c *cluster) randomTraffic(rate float64, duration time.Duration) {
	next := func() time.Duration {
		return time.Duration(-math.Log(1-c.random.Float()) / rate * float64(time.Second))
	}
	end, due := c.now+duration, c.now+next()
	for c.now < end {
		for ; due <= c.now; due += next() {
			c.request([]int{0, 0, 0, 2, 4, 4}[c.random.Below(6)], 0)
		}
		c.advance(5 * ms)
		for _, n := range c.members {
			n.capacityLeft = min(n.capacityLeft+n.capacity*(0.25+0.75*min(1, (c.now-n.startedAt).Seconds()/slowStartDuration.Seconds()))*0.005, max(1, n.capacity/10))
		}
		for _, id := range slices.Clone(c.openRPCs) {
			if q := c.rpcs[id]; slices.Contains(c.unreachable, q.member) {
				c.endAttempt(id, driver.NoConnection)
			} else if n := c.members[q.member]; c.now-q.sentAt >= 100*ms && (n.capacity == 0 || n.capacityLeft >= 1) {
				n.capacityLeft--
				c.endAttempt(id, driver.OK)
			}
		}
	}
}
