// Package rules is passtack's decision module: every decision of a driver is in this file.
//
// A host (internal/node on sockets, cmd/simhost on the bench) makes one Router per driver with New and calls
// one method for each thing that happens: ListBegins, Listed, ListEnds, Take, Ended, Probed, Told,
// ClientLeft, ClientParts and Wake. The Router acts by calling the host (driver.Host). Rest tells a host
// which ticks it may leave out.
// docs/design.md tells what the design settles.
package rules

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/chain"
	"passtack/internal/due"
	"passtack/internal/pcg"
	"passtack/internal/settings"
)

// What follows is tuned. Each value says what it stands for; none belongs to one deployment.
const (
	pinLimit     = 10 * time.Second       // a session stays on the primary no longer after its last write
	primaryShare = 0.1                    // of the reads that a replica could serve
	atEase       = 1.5                    // times the usual latency: the most a primary shows that takes a share
	silence      = 4                      // usual latencies without any answer make a busy member suspect
	memory       = 0.25                   // weight of the newest of a member's connections
	failing      = 0.65                   // part of the connections that fail at a member that is down
	askAgain     = 200 * time.Millisecond // before a member that failed, said replica or is unheard of is asked
	lastPause    = 2 * time.Second        // between trickles to a member set aside, which double up to this
	trusted      = 16                     // a trickle that has doubled past this is no longer held back
	coldPart     = 0.4                    // of the cold budget; the rest is for bursts and for what was not seen
	beat         = 50 * time.Millisecond  // between two looks at every member; later means a halt of this driver
	lull         = 5 * beat               // between them while nothing is under way
	exploring    = 0.2                    // of the reads that may go to a replica unheard of
	probePart    = 0.25                   // probes for each RPC taken
	probeCredit  = 20.0                   // probes that may be saved up, and sent at the start
	kept         = 5 * time.Minute        // in which a session's write is remembered
	scatter      = 1.5                    // latencies up to this much over the predicted one are reckoned with
	ranking      = 0.25                   // how strongly utility for work ranks RPCs; 0: not at all
	fading       = 3 * time.Second        // in which a latency that was not seen again loses its meaning
	outlier      = 3                      // times the predicted latency: more counts no more
	smoothing    = 0.1                    // weight of the newest latency
	early        = 5 * time.Millisecond   // rounding of positions and late ticks
	way          = 20 * time.Millisecond  // to a member, from the moment at which an RPC is written
)

// What a method needs of its member's data: any, bounded, session, fresh or write.
const anyAge, bounded, session, fresh, write = "any", "bounded", "session", "fresh", "write"

// holdPart is how much of an RPC's time may pass before it is sent.
var holdPart = map[string]float64{anyAge: 0.15, bounded: 0.15, session: 0.15, fresh: 0.45, write: 0.45}

var absent = map[bool]time.Duration{true: kept, false: pinLimit} // of one off the list, by its use
var distance = map[bool]float64{true: 1, false: 1.3}             // as it seems, by sharing our zone

type method struct {
	need                       string
	idempotent, tokened        bool
	everywhere, zoned          bool // every member drops its repeats, or those of a zone do; else the group's
	window, soft, bound, limit time.Duration
	usual, timedAt, tryLasts   time.Duration // latency of late; when seen; length of a try
	trySure                    int           // times seen so, less times not
	utility, late              float64
	fades                      fade
}

type member struct {
	id                        driver.Member
	zone                      driver.Zone
	group                     *group
	listed, drains, sendable  bool              // drains: seen draining since its latest start
	missed                    bool              // its latest single RPC got no answer in time
	started, doubtAt, asideAt time.Duration     // latest start listed; when it was dropped, set aside
	pos, posAt                time.Duration     // it has applied all commits up to pos; when that was told
	replicaAt                 time.Duration     // latest proof that it is a replica
	heard                     time.Duration     // latest answer, or start of being busy
	ratio, depth              float64           // its latencies against the usual; attempts out then
	fails                     float64           // part of its latest attempts without a connection
	load, shown               float64           // recent work: load is sent while cold, else answered
	out                       chain.Chain[*rpc] // in the order in which they were sent
	fades                     fade
	trickle                   int           // attempts it may hold, 0: trusted
	pause, nextTry            time.Duration // between trickles that fail
	timedAt, loadAt, probedAt time.Duration // latest latency, work and probe
	shownAt                   time.Duration
}

type group struct {
	members   []*member // in the order in which they were first listed
	primary   *member
	primaryAt time.Duration // when the primary was proven so
	scouts    int
	dice      float64 // which RPCs go to its cold members now: one for all, as each RPC goes to one of them
	diceAt    time.Duration
}

type attempt struct {
	to          *member
	sent        time.Duration
	depth       int
	turned      time.Duration // when it was turned away or found nobody
	open, scout bool
}

type rpc struct {
	id                         driver.RPC
	method                     *method
	group                      *group
	session                    driver.Session
	arrived, until, by         time.Duration // by: when it must be whole at a member, if at any
	tenant                     driver.Tenant
	wanted, token              time.Duration // wanted: since when, over all tries
	calls                      []attempt
	out                        int           // attempts without an outcome yet
	ranAt, holdUntil           time.Duration // send of the first attempt that may have run; end of its wait
	ranIn                      driver.Zone
	mayHaveRun, held, answered bool
	place                      chain.Link[*rpc] // among what its member holds
}

// Router is the decision module of one driver.
type Router struct {
	host                 driver.Host
	chance               *pcg.Source
	terms                settings.Settings
	methods              []*method
	groups               map[driver.Group]*group
	members              map[driver.Member]*member
	all                  []*member // as first heard of
	rpcs                 map[driver.RPC]*rpc
	quota, room          []float64 // by tenant: RPCs a second in its share here; those it may send now
	tokens               map[driver.Session]time.Duration
	dues                 due.Queue[func()]
	columns              []string // of load reports
	zone                 driver.Zone
	checks, lax          bool // members turn away reads that they are too far behind for; only draining binds
	tick                 time.Duration
	woken, halted, every time.Duration // latest timer; latest end of a halt of this driver; between latencies
	beatAt, paced        time.Duration // next look at every member; when pace was learned
	rests                time.Duration // ticks before that may be left out
	fades                fade
	pace, failing        float64 // latest latencies against the usual; part of the members that fail
	probes, borne        float64 // that may be sent now; what warm members bear from here, as member.load
	came, fresh, ready   float64 // recent work asked for, of it by first tries; members to send to
	cameAt               time.Duration
	held                 []*rpc
	reason               Reason        // of the latest RPC that was given up
	offset, doubt        time.Duration // of the members' clock: ahead of the host's, and perhaps behind that
}

const never = driver.LongAgo // before all other times

// ListPause is the longest until discovery is asked again after a failed call: internal/list has the sum.
const ListPause = 500 * time.Millisecond

// New returns a router that acts through the host and decides by the settings.
func New(host driver.Host, seed uint64, values map[string]string) *Router {
	r := &Router{
		host: host, chance: pcg.New(seed), probes: probeCredit, pace: 1,
		groups: make(map[driver.Group]*group), members: make(map[driver.Member]*member),
		rpcs: make(map[driver.RPC]*rpc), tokens: make(map[driver.Session]time.Duration),
		columns: strings.Split(values["report.columns"], ","),
	}
	r.Change(values)
	r.zone, r.tick = driver.Zone(r.terms.Number("zone", 0)), max(r.terms.Duration("tick"), 5*time.Millisecond)
	if err := r.terms.Validate(); err != nil {
		host.Fault(err.Error())
	}
	r.woken, r.halted, r.paced = host.Now(), never, host.Now()
	host.WakeAfter(r.tick)
	if values["list"] == "asked" {
		host.Watch(true)
	}
	return r
}

// Change takes over other settings, but for what only a restart changes: the driver's zone, its tick, columns
// and how it hears lists. Methods keep their number, and RPCs under way the method that they began with.
func (r *Router) Change(values map[string]string) {
	r.checks, r.lax = values["family_info.checks"] != "none", values["rules.only_draining_binds"] == "true"
	before, t := r.methods, settings.New(values)
	r.terms, r.methods, r.quota, r.room = t, nil, nil, nil
	for i := range int(t.Number("methods.count", 0)) {
		at := "methods." + strconv.Itoa(i) + "."
		m := &method{usual: t.Duration(at+"soft_deadline") / 4}
		if i < len(before) {
			*m = *before[i] // with what was learned
		}
		m.utility, m.late = t.Number(at+"utility", 1), t.Number(at+"late_utility", 0)
		m.idempotent, m.tokened = values[at+"effect"] == "idempotent", values[at+"effect"] == "tokened"
		m.everywhere, m.zoned = values[at+"repeats"] == "all", values[at+"repeats"] == "zone"
		m.window, m.soft, m.limit = t.Duration(at+"window"), t.Duration(at+"soft_deadline"), t.Duration(at+"limit")
		m.need = t.ListItem("family_info.needs", i)
		m.bound, _ = time.ParseDuration(t.ListItem("family_info.bounds", i) + "us")
		r.methods = append(r.methods, m)
	}
	for i := range int(t.Number("tenants.count", 0)) {
		quota := t.Number("tenants."+strconv.Itoa(i)+".quota", 0) / t.Number("drivers", 1)
		r.quota, r.room = append(r.quota, quota), append(r.room, quota)
	}
}

// Take is the ordinary path's start: a client's RPC, which came whole a while ago, gets one final answer.
func (r *Router) Take(id driver.RPC, meth driver.Method, in driver.Group, whose driver.Tenant,
	who driver.Session, came, until, wrote time.Duration, repeat bool) {
	now := r.host.Now()
	if int(meth) >= len(r.methods) {
		r.host.PushBack(id, 0)
		return
	}
	q := &rpc{id: id, method: r.methods[meth], group: r.groupOf(in), session: who, arrived: now, until: until,
		by: until}
	r.rpcs[id], q.token, q.tenant, q.place.Value = q, never, whose, q
	r.catchUp(now)
	r.noticeHalt(now)
	r.probes = min(r.probes+probePart, probeCredit)
	q.wanted = r.firstSeen(q.method, now, came, until, repeat)
	r.came, r.fresh = r.recent(r.came, now-r.cameAt)+q.method.usual.Seconds(), r.recent(r.fresh, now-r.cameAt)
	if r.cameAt = now; q.wanted == came {
		r.fresh += q.method.usual.Seconds()
	}
	if token, ok := r.tokens[who]; ok {
		q.token = token
	} else if wrote > 0 {
		q.token = now - wrote + time.Millisecond
	}
	r.route(q)
}

// firstSeen tells since when the client wants the answer. A try lasts as usual or until the client's limit
// for all tries: another length gives an earlier try away. What waited out a halt of this driver is older.
func (r *Router) firstSeen(m *method, now, came, until time.Duration, repeat bool) time.Duration {
	usual := (until - came - m.tryLasts).Abs() < 2*r.tick
	if !usual && now != r.halted {
		if m.trySure--; m.trySure < 0 {
			m.tryLasts, m.trySure, usual = until-came, 1, true
		}
	} else if usual {
		m.trySure = min(m.trySure+1, trusted)
	}
	if usual && repeat {
		return came - m.soft/4 // the time to come back is that at most
	} else if usual {
		return came
	} else if now == r.halted {
		return min(came, until-m.tryLasts)
	}
	return min(came, until-m.limit)
}

// route is the ordinary path: it sends the RPC where the design says, holds it briefly, or gives it up.
func (r *Router) route(q *rpc) {
	now, g, m := r.host.Now(), q.group, q.method
	if now >= q.by-r.tick {
		r.giveUp(q, 0, NoTimeLeft)
		return
	}
	primary := g.primary
	if primary != nil && !r.open(primary, q, now) {
		primary = nil
	}
	var to *member
	switch m.need {
	case write:
		to = primary
		if to == nil && g.scouts == 0 {
			to = r.scout(q, now)
		}
	case fresh:
		to = primary
		if to == nil {
			to = r.companion(q, q.arrived+early, now)
		}
	case session:
		if now-q.token < pinLimit && !g.allPast(q.token) {
			to = primary
		}
		if to == nil {
			to = r.companion(q, q.token, now)
		}
	case bounded:
		to = r.companion(q, now-m.bound+early, now)
		if primary != nil && (to == nil || r.chance.Float() < primaryShare) && r.slowness(primary, now) < atEase {
			to = primary
		}
	case anyAge:
		to = r.companion(q, never, now)
	}
	if to == nil && (m.need == session || m.need == anyAge) {
		to = primary
	}
	if to == nil {
		r.hold(q)
		return
	}
	scout := m.need == write && to != primary
	left, utility := min(q.wanted+m.soft, q.until)-now, m.utility
	if left <= 0 && m.late > 0 {
		left, utility = q.until-now, m.late*m.utility
	}
	if int(q.tenant) < len(r.room) && r.room[q.tenant] < 1 {
		utility *= r.terms.Number("over_share", 1)
	}
	if predicted := r.cautious(to, m, utility); predicted > left && !scout {
		to = r.other(q, to, primary, now)
		if to == nil || r.cautious(to, m, utility) > left {
			r.giveUp(q, min(predicted-left, m.soft/4), TooSlow)
			return
		}
	}
	timeout := time.Duration(0)
	if m.late == 0 && m.idempotent {
		timeout = min(q.arrived+m.soft, q.until) - now
	}
	r.send(q, to, timeout, scout)
}

// other is where an RPC may go that would be shed: a pinned read to a replica known past its token, a read
// for replicas to the primary at ease. It keeps neither from its ordinary path.
func (r *Router) other(q *rpc, to, primary *member, now time.Duration) *member {
	need := q.method.need
	if need == session && to == primary {
		return r.companion(q, q.token, now)
	}
	if (need == bounded || need == anyAge) && primary != nil && r.slowness(primary, now) < atEase {
		return primary
	}
	return nil
}

func (r *Router) send(q *rpc, to *member, timeout time.Duration, scout bool) {
	now := r.host.Now()
	if to.out.Count() == 0 {
		to.heard = max(to.heard, now)
	}
	c := attempt{to: to, sent: now, depth: to.out.Count(), turned: never, open: true, scout: scout}
	q.calls = append(q.calls, c)
	q.out++
	to.out.Push(&q.place)
	if r.cold(to, now) {
		to.load, to.loadAt = r.loadOf(to, now)+q.method.usual.Seconds(), now
	}
	if scout {
		q.group.scouts++
	}
	if len(q.calls) == 1 && int(q.tenant) < len(r.room) {
		r.room[q.tenant] = max(r.room[q.tenant]-1, 0)
	}
	r.host.Attempt(q.id, to.id, q.by, timeout)
}

// allPast tells whether every replica of the group is known to have applied past the token.
func (g *group) allPast(token time.Duration) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m.sendable && m != g.primary && m.pos < token && !m.doubted()
	})
}

// doubted tells of a member that the list dropped and that has said nothing since.
func (m *member) doubted() bool { return m.doubtAt > m.posAt }

// open tells whether a member may get this RPC now: it is ready, its trickle and its cold budget have room.
func (r *Router) open(m *member, q *rpc, now time.Duration) bool {
	if !m.sendable || m.doubted() && m.out.Count() > 0 || q.mayHaveRun && q.method.zoned && m.zone != q.ranIn ||
		m.trickle > 0 && (m.out.Count() >= m.trickle || now < m.nextTry) {
		return false
	}
	lately := func(c attempt) bool { return c.to == m && c.turned > now-askAgain*time.Duration(len(q.calls)) }
	return !slices.ContainsFunc(q.calls, lately) && r.coldRoom(m, q, now)
}

func (r *Router) loadOf(m *member, now time.Duration) float64 { return r.recent(m.load, now-m.loadAt) }

// recent is what still counts of work after some time.
func (r *Router) recent(work float64, age time.Duration) float64 {
	if work == 0 {
		return 0
	}
	return work * math.Exp(-float64(age)/float64(max(r.terms.Duration("rules.cold_window"), r.tick)))
}

func (r *Router) cold(m *member, now time.Duration) bool {
	return m.started != never && r.age(m, now) < r.terms.Duration("rules.cold_lasts")
}

// age is how long ago a member started, at least: starts are told by another clock.
func (r *Router) age(m *member, now time.Duration) time.Duration { return now - r.doubt - m.started }

// coldRoom keeps the fourth rule: what a cold member gets stays within this driver's part of a budget taken
// from what warm ones answer, rounded to whole RPCs by dice that are cast once a window. A driver that has
// an RPC for it in few windows only would use little of its part: there the dice count for what it asks of
// the member in a window, more where all ask for more, this RPC has waited or has few members left to go to.
// Where nothing warm is known, half of what clients ask for holds until more is shown, parted among all that
// there were of late: the few that are left can do no more for being few. What a member has
// answered in a window it can do, and root(k) times that in the next is under k times it, bursts and all.
func (r *Router) coldRoom(m *member, q *rpc, now time.Duration) bool {
	if !r.cold(m, now) {
		return true
	}
	window := max(r.terms.Duration("rules.cold_window"), r.tick)
	if g := m.group; now-g.diceAt > window {
		g.dice, g.diceAt = r.chance.Float(), now
	}
	multiple, share := r.terms.Number("rules.cold_multiple", 1), r.terms.Number("rules.cold_share", 1)
	share += (1 - share) * max(0, float64(r.age(m, now))/float64(r.terms.Duration("rules.cold_lasts")))
	all, left := m.group.takers(q)
	work, borne := q.method.usual.Seconds(), max(r.borne, r.recent(r.fresh, now-r.cameAt)/float64(len(r.all))/2)
	asked := max(borne, (r.recent(r.came, now-r.cameAt)-work)/max(r.ready, 1)) * all / left
	asked *= 1 + max(0, (now-q.wanted).Seconds()/window.Seconds())
	room := max(coldPart*share*multiple*borne, math.Sqrt(multiple)*r.recent(m.shown, now-m.shownAt))
	return r.loadOf(m, now)+min(work, asked)*m.group.dice <= room
}

// takers are how many of the group's members RPCs like this one go to on usual days, and to how many of them
// this one still may.
func (g *group) takers(q *rpc) (all, left float64) {
	for _, m := range g.members {
		if m.sendable && (m == g.primary) == (q.method.need == write || q.method.need == fresh) {
			all++
			if m.trickle == 0 && !slices.ContainsFunc(q.calls, func(c attempt) bool { return c.to == m }) {
				left++
			}
		}
	}
	return max(all, 1), max(left, 1)
}

// survey measures how often members fail and what warm ones bear. Once none is left, what they bore holds.
func (r *Router) survey(now time.Duration) {
	total, count := make(map[bool]float64), make(map[bool]float64) // of replicas and of primaries
	r.failing, r.ready = 0, 0
	for _, m := range r.all {
		if m.sendable {
			r.ready++
		}
		r.failing += math.Ceil(m.fails-memory/2) / float64(len(r.all)) // 1 for each that failed of late
		if m.sendable && m.trickle == 0 && !r.cold(m, now) {
			kind := m == m.group.primary
			total[kind] += r.loadOf(m, now)
			count[kind]++
		}
	}
	if len(count) > 0 {
		r.borne = max(total[false]/max(count[false], 1), total[true]/max(count[true], 1))
	}
}

// companion picks the replica for a read: the quickest known past the floor, but one idle and unheard of goes
// first, or what it knows would be forgotten; after some seconds even unproven, where it checks by itself.
func (r *Router) companion(q *rpc, floor, now time.Duration) *member {
	var best *member
	all := q.group.members
	for n, start := 0, r.chance.Below(len(all)+1); n < len(all); n++ {
		m := all[(start+n)%len(all)]
		unheard := m.out.Count() == 0 && now-m.posAt > askAgain
		mayAsk := r.checks && unheard && now-m.posAt > lastPause
		reach := m.pos
		if r.checks && m.posAt != never { // it turns the read away if it fell behind meanwhile
			reach += now - m.posAt
		}
		if m == q.group.primary || reach < floor && !mayAsk || !r.open(m, q, now) {
			continue
		}
		if unheard && r.chance.Float() < exploring && 2*r.predict(m, q.method) < q.method.soft {
			return m
		}
		if best == nil || r.cost(m, q.method) < r.cost(best, q.method) {
			best = m
		}
	}
	return best
}

func (r *Router) cost(m *member, meth *method) float64 {
	return float64(r.predict(m, meth)) * distance[m.zone == r.zone]
}

// predict tells how long the method would take at the member, fuller now or emptier than it was.
func (r *Router) predict(m *member, meth *method) time.Duration {
	return r.predictAt(meth, r.slowness(m, r.host.Now()), r.host.Now())
}

func (r *Router) predictAt(meth *method, slowness float64, now time.Duration) time.Duration {
	pace := 1 + (r.pace-1)*r.fades.of(now-r.paced)
	return time.Duration(float64(meth.usual) * pace * meth.fades.of(now-meth.timedAt-fading) * slowness)
}

func (r *Router) slowness(m *member, now time.Duration) float64 {
	return r.usually(m, now) * (float64(m.out.Count()) + 1) / (m.depth + 1)
}

// usually is the member's ratio, of which an old one fades into 1, more slowly where members are met seldom:
// the longest unseen would look best otherwise, and no jam would show.
func (r *Router) usually(m *member, now time.Duration) float64 {
	longer := max(1, float64(2*len(r.all))*r.every.Seconds()/fading.Seconds())
	return 1 + (m.ratio-1)*m.fades.of(time.Duration(float64(now-m.timedAt)/longer))
}

// faded is what is left of an old latency: without it a small driver sheds for good after a short jam.
func faded(age time.Duration) float64 { return math.Exp(-float64(max(age, 0)) / float64(fading)) }

// fade keeps what is left at the age that was asked for last: one RPC asks for the same several times.
type fade struct {
	age  time.Duration
	left float64 // 0: not yet asked for
}

func (f *fade) of(age time.Duration) float64 {
	if f.left == 0 || f.age != age {
		f.age, f.left = age, faded(age)
	}
	return f.left
}

// cautious is the time that must be left for an RPC to be taken: latencies scatter, and what brings less for
// its work makes room first. What brings most needs no time to spare where this driver holds nothing.
func (r *Router) cautious(to *member, meth *method, utility float64) time.Duration {
	most := 0.0
	for _, m := range r.methods {
		if to == to.group.primary || m.need != write && m.need != fresh {
			most = max(most, m.utility/m.usual.Seconds())
		}
	}
	rank := math.Pow(most*meth.usual.Seconds()/utility, ranking)
	if to.out.Count() == 0 && rank < 1.01 {
		return r.predict(to, meth)
	}
	return time.Duration(float64(r.predict(to, meth)) * scatter * rank)
}

// scout picks the member most likely to be the primary that nobody has told of yet.
func (r *Router) scout(q *rpc, now time.Duration) *member {
	var best *member
	for _, m := range q.group.members {
		if m != q.group.primary && now-m.replicaAt >= askAgain && r.open(m, q, now) &&
			(best == nil || m.replicaAt < best.replicaAt) {
			best = m
		}
	}
	return best
}

func (r *Router) hold(q *rpc) {
	now := r.host.Now()
	if q.holdUntil == 0 {
		q.holdUntil = now + time.Duration(holdPart[q.method.need]*float64(q.until-now))
	}
	if now >= q.holdUntil {
		r.giveUp(q, askAgain, NoMember)
		return
	}
	q.held = true
	r.held = append(r.held, q)
}

// giveUp gives the final answer to an RPC that gets no more attempts.
func (r *Router) giveUp(q *rpc, wait time.Duration, why Reason) {
	r.reason = why
	r.callOff(q)
	if q.method.idempotent || !q.mayHaveRun && q.out == 0 || q.method.tokened && q.method.everywhere {
		r.host.PushBack(q.id, min(max(wait, 0), r.terms.Duration("caps.longest_wait")))
	} else {
		r.host.Abort(q.id)
	}
	r.forget(q)
}

func (r *Router) forget(q *rpc) {
	if q.answered && q.out == 0 {
		delete(r.rpcs, q.id)
	}
}

func (r *Router) callOff(q *rpc) {
	q.answered, q.held = true, false
	for i, c := range q.calls {
		if c.open && r.terms.Bool("caps.cancel") {
			r.host.Cancel(q.id, i)
		}
	}
}

func neverRan(o driver.Outcome) bool {
	return o == driver.Full || o == driver.NoConnection || o == driver.Moot || o == driver.Miss
}

// Ended tells how an attempt ended, and what the member said of itself.
func (r *Router) Ended(id driver.RPC, n int, from driver.Member, how driver.Outcome, took time.Duration,
	complete bool, pos time.Duration, role driver.Role, report []float64) {
	now := r.host.Now()
	q := r.rpcs[id]
	if q == nil || n >= len(q.calls) || !q.calls[n].open {
		return
	}
	r.noticeHalt(now)
	c := &q.calls[n]
	c.open = false
	q.out--
	m := c.to
	lost := !q.place.In(&m.out) && !m.missed
	q.place.Leave()
	if c.scout {
		q.group.scouts--
	}
	r.learn(q, c, how, lost, took, now)
	if role != driver.Unknown {
		m.pos, m.posAt = max(m.pos, pos), now
		r.toldRole(m, role, now)
	}
	r.reported(m, report)
	if how == driver.OK && q.method.need == write && r.terms.Text("family_info.token") == "remembered" {
		r.remember(q.session, max(pos, c.sent))
	}
	q.answered = q.answered || complete
	if neverRan(how) {
		c.turned = now
	} else if !q.mayHaveRun {
		q.mayHaveRun, q.ranAt, q.ranIn = true, c.sent, m.zone
	}
	if q.answered {
		r.forget(q)
		return
	}
	r.again(q, how, now)
}

func (r *Router) again(q *rpc, how driver.Outcome, now time.Duration) {
	m := q.method
	switch {
	case how == driver.TimedOut, how == driver.Cancelled:
		r.giveUp(q, r.terms.Duration("caps.longest_wait"), NoAnswer)
	case how != driver.Moot && len(q.calls) < int(r.terms.Number("caps.attempts", 1)) &&
		(!q.mayHaveRun || m.idempotent || m.tokened):
		if q.mayHaveRun && !m.idempotent {
			q.by = min(q.by, q.ranAt+m.window-way)
		}
		r.route(q)
	default:
		r.giveUp(q, 0, NoRetry)
	}
}

func (r *Router) remember(who driver.Session, commit time.Duration) {
	r.tokens[who] = max(commit, r.tokens[who])
	r.host.Remembered(who, r.tokens[who])
}

// learn keeps the member's latencies and health.
func (r *Router) learn(q *rpc, c *attempt, how driver.Outcome, lost bool, took, now time.Duration) {
	m := c.to
	switch how {
	case driver.OK:
		// What others overtook by far was probably lost on its way back: it is neither slow nor held any more.
		r.overtaken(m, c.sent, now)
		r.latency(q.method, m, took)
		m.depth += smoothing * (float64(c.depth) - m.depth)
		m.heard, m.missed, m.fails, m.pause = now, false, m.fails*(1-memory), askAgain
		if work := q.method.usual.Seconds(); r.cold(m, now) {
			m.shown, m.shownAt = r.recent(m.shown, now-m.shownAt)+work, now
		} else {
			m.load, m.loadAt = r.loadOf(m, now)+work, now
		}
		if m.trickle > 0 { // one more for each that goes well doubles it each time around
			if m.trickle++; m.trickle > trusted || c.sent < m.asideAt {
				m.trickle = 0 // what it held is answered after all: it had only paused
			}
		}
	case driver.Miss, driver.Full:
		m.heard = now
	case driver.Failed, driver.Broken, driver.NoConnection:
		// Now and then it is the network's doing, or the RPC's, which then fails elsewhere too; quick errors draw
		// RPCs. Where most members fail it is the fault of none, and a trickle for each would make it worse.
		if m.fails += memory / float64(len(q.calls)) * (1 - m.fails); m.fails > failing && r.failing < 0.5 {
			r.setAside(m, now, "fails or takes no connections")
		}
	case driver.TimedOut, driver.Cancelled:
		// It would have taken longer still. With the quick ones alone a jam would look like a fair day.
		if float64(took) > float64(q.method.usual)*m.ratio && !lost {
			r.latency(q.method, m, took)
		}
		if m.trickle > 0 && m.heard <= c.sent {
			r.setAside(m, now, "still silent")
		}
	}
}

// overtaken lets go what was sent to the member long before what it has just answered.
func (r *Router) overtaken(m *member, sent, now time.Duration) {
	slowness, least := r.slowness(m, now), time.Duration(math.MaxInt64)
	for _, meth := range r.methods {
		least = min(least, r.predictAt(meth, slowness, now))
	}
	for at := m.out.First(); at != nil && at.Value.lastSent()+2*least < sent; {
		q, next := at.Value, at.Next()
		if q.lastSent()+2*r.predictAt(q.method, slowness, now) < sent {
			at.Leave()
		}
		at = next
	}
}

func (q *rpc) lastSent() time.Duration { return q.calls[len(q.calls)-1].sent }

func (r *Router) latency(meth *method, m *member, took time.Duration) {
	now := r.host.Now()
	if r.halted == now {
		return
	}
	took = min(took, time.Duration(outlier*m.ratio*float64(meth.usual)))
	part := float64(took) / float64(meth.usual)
	r.every += time.Duration(smoothing / 2 * float64(now-r.paced-r.every))
	r.pace, r.paced = r.pace+max(smoothing/2, 1-faded(now-r.paced))*(part/max(m.ratio, 1)-r.pace), now
	meth.usual += time.Duration(smoothing / 2 * (float64(took)/max(m.ratio, 1) - float64(meth.usual)))
	meth.usual, meth.timedAt = max(meth.usual, time.Millisecond), now
	weight := max(smoothing, (1-faded(now-m.timedAt))/2)
	m.ratio, m.timedAt = max(0.2, m.ratio+weight*(part-m.ratio)), now
}

// setAside leaves a member that does not answer a trickle, which finds the first one back of a whole group.
func (r *Router) setAside(m *member, now time.Duration, why string) {
	if m.trickle == 0 {
		m.asideAt = now
		r.host.Log(fmt.Sprintf("member %012x set aside: it %s", uint64(m.id), why))
	}
	if m.trickle /= 2; m.trickle == 0 {
		m.trickle, m.nextTry = 1, now+m.pause
		m.pause = min(2*m.pause, lastPause)
	}
}

// toldRole keeps the newest proof of who is primary.
func (r *Router) toldRole(m *member, role driver.Role, at time.Duration) {
	g := m.group
	if role == driver.Replica {
		m.replicaAt = max(m.replicaAt, at)
		if g.primary == m && at >= g.primaryAt {
			g.primary = nil
		}
	} else if at >= g.primaryAt && at >= m.replicaAt {
		if g.primary != m {
			r.host.Log(fmt.Sprintf("member %012x is primary of its group", uint64(m.id)))
		}
		g.primary, g.primaryAt = m, at
	}
}

// reported reads a load report. Its position is also how old it is at most as a proof of the role.
func (r *Router) reported(m *member, report []float64) {
	x0, x1 := slices.Index(r.columns, "x0"), slices.Index(r.columns, "x1")
	if x0 < 0 || max(x0, x1) >= len(report) || report[x0] <= 0 || report[x0] > (r.host.Now()+r.offset).Seconds()+1 {
		return // nobody has applied what was not written yet
	}
	pos := time.Duration(report[x0]*float64(time.Second)) - time.Millisecond - r.offset
	m.pos = max(m.pos, pos)
	if x1 >= 0 {
		role := driver.Replica
		if report[x1] == 1 {
			role = driver.Primary
		}
		r.toldRole(m, role, pos)
	}
}

// Probed brings the result of a probe; Told brings another driver's words, which are not needed here.
func (r *Router) Probed(id driver.Member, ok bool, took time.Duration, report []float64) {
	if m := r.members[id]; m != nil && ok {
		m.posAt = r.host.Now()
		r.reported(m, report)
	}
}

// Told takes a message of another driver. No decision needs one.
func (r *Router) Told(from driver.Peer, text []byte) {}

// ClientLeft ends an RPC for which nobody waits any more.
func (r *Router) ClientLeft(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		r.callOff(q)
		r.forget(q)
	}
}

// CutOff gives an RPC its final answer now: the driver ends before its client's deadline.
func (r *Router) CutOff(id driver.RPC) {
	if q := r.rpcs[id]; q != nil && !q.answered {
		r.giveUp(q, 0, ShuttingDown)
	}
}

// ClientParts takes what is out as the last attempt of an RPC.
func (r *Router) ClientParts(id driver.RPC) {
	if q := r.rpcs[id]; q != nil {
		if q.by = r.host.Now(); q.held {
			r.giveUp(q, 0, ClientParted)
		}
	}
}

// noticeHalt tells a halt of this driver by its late timer. What came meanwhile is handled all at once:
// neither the members' silence nor the latencies of that moment mean anything.
func (r *Router) noticeHalt(now time.Duration) {
	r.woken, r.rests = max(r.woken, min(now, r.rests-r.tick)), 0 // what was left out counts as come
	if now-r.woken > beat {
		r.halted = now
	}
}

// Wake is the one periodic timer.
func (r *Router) Wake() {
	now := r.host.Now()
	r.catchUp(now - r.tick)
	r.noticeHalt(now)
	r.woken = now
	r.host.WakeAfter(r.tick)
	for act, ok := r.dues.Pop(now); ok; act, ok = r.dues.Pop(now) {
		act()
	}
	if now >= r.beatAt { // with hundreds of drivers and members a look at each at every tick takes too long
		r.beatAt = now + beat
		r.survey(now)
		for i, first := 0, r.chance.Below(len(r.all)+1); i < len(r.all); i++ {
			r.watchOver(r.all[(first+i)%len(r.all)], now)
		}
	}
	for i, quota := range r.quota {
		r.room[i] = min(r.room[i]+quota*r.tick.Seconds(), quota)
	}
	waiting := r.held
	r.held = nil
	for _, q := range waiting {
		if q.held {
			q.held = false
			r.route(q)
		}
	}
}

// Rest tells after its call of Wake how long a host may leave the ticks out unless an RPC or a list comes:
// they would do nothing before the next look at every member, which itself may wait where nobody is watched
// over. A later tick still tells a halt.
func (r *Router) Rest() time.Duration {
	if r.rests = r.woken + r.tick; len(r.rpcs) == 0 && slices.Equal(r.room, r.quota) {
		if r.rests = max(r.rests, r.beatAt); r.idle() {
			r.rests += lull - beat
		}
		if at, ok := r.dues.First(); ok {
			r.rests = min(r.rests, max(at, r.woken+r.tick))
		}
	}
	return r.rests - r.woken
}

// idle tells that no member holds anything, and that none may be probed: what was learned only fades.
func (r *Router) idle() bool {
	return len(r.rpcs) == 0 && (r.probes < 1 || !r.terms.Bool("caps.probe"))
}

// catchUp takes the latest of the looks that were left out, before what ends the rest changes anything.
func (r *Router) catchUp(now time.Duration) {
	if now = min(now, r.rests-r.tick); r.rests > 0 && now >= r.beatAt {
		for ; now >= r.beatAt; r.beatAt += beat {
			r.chance.Below(len(r.all) + 1) // the dice of each
		}
		r.survey(r.beatAt - beat)
	}
}

// watchOver sets aside a member that has gone silent: with what it holds, answers should have come several
// times over. A single RPC may be slow or its answer lost: it no longer counts, and the next one must tell.
// It also probes what was not heard of, for a part of the RPCs taken: many drivers' probes would add up.
func (r *Router) watchOver(m *member, now time.Duration) {
	if m.sendable && now-max(m.posAt, m.probedAt) > askAgain && r.probes >= 1 && r.terms.Bool("caps.probe") {
		r.probes--
		m.probedAt = now
		r.host.Probe(m.id)
	}
	patience := time.Duration(0)
	for at := m.out.First(); at != nil; at = at.Next() {
		patience = max(patience, silence*at.Value.method.usual)
	}
	silent := m.trickle == 0 && now-max(m.heard, r.halted) > patience
	if silent && m.out.Count() == 1 && !m.missed {
		m.missed = true
		m.out.First().Leave()
	} else if silent && m.out.Count() > 0 {
		r.setAside(m, now, "has gone silent")
	}
}

func (r *Router) groupOf(id driver.Group) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{primaryAt: never, diceAt: never}
		r.groups[id] = g
	}
	return g
}

// ListBegins starts an update of the endpoint list; Listed follows for each entry, then ListEnds.
func (r *Router) ListBegins(how driver.Listing) {
	r.catchUp(r.host.Now())
	for _, m := range r.all {
		m.listed = m.listed && how != driver.Whole && how != driver.Cached
	}
}

// Listed takes one entry of the endpoint list.
func (r *Router) Listed(id driver.Member, zone driver.Zone, in driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	m := r.members[id]
	g := r.groupOf(in)
	if m == nil {
		m = &member{
			id: id, zone: zone, group: g, pos: never, posAt: never, replicaAt: never, heard: never,
			ratio: 1, timedAt: r.host.Now(), pause: askAgain, probedAt: never, loadAt: never / 2,
			started: started, doubtAt: never,
		}
		r.members[id] = m
		r.all = append(r.all, m)
		g.members = append(g.members, m)
	}
	if started > m.started {
		m.ratio, m.depth, m.load, m.shown, m.drains = 1, 0, 0, 0, false
	}
	m.started = max(m.started, started)
	m.drains = state == driver.Draining || m.drains && (r.lax || state == driver.Gone)
	m.listed = state != driver.Gone
	if primary && m.listed && !m.drains && g.primary == nil && m.replicaAt == never {
		g.primary = m
	}
}

// forgotten drops a member that was off the list and silent for long, but no drain that may still bind.
func (r *Router) forgotten(m *member) bool {
	silent := r.host.Now() - max(m.doubtAt, m.posAt)
	if m.listed || m.out.Count() > 0 || r.lax && m.drains || silent < absent[r.lax] {
		return false
	}
	delete(r.members, m.id)
	r.host.Forget(m.id)
	m.group.members = slices.DeleteFunc(m.group.members, func(o *member) bool { return o == m })
	return true
}

// ListEnds judges who may be sent to. Where only draining binds, being left out proves nothing: such a member
// gets one RPC at a time until it says something. So an empty, shrunken or old list stops no service.
func (r *Router) ListEnds(how driver.Listing) {
	for _, m := range r.all {
		if m.listed {
			m.doubtAt = never
		} else if m.doubtAt == never {
			m.doubtAt = r.host.Now()
		}
		if m.sendable = !m.drains && (m.listed || r.lax); !m.sendable && m.group.primary == m {
			m.group.primary = nil
		}
	}
	r.all = slices.DeleteFunc(r.all, r.forgotten)
	maps.DeleteFunc(r.groups, func(_ driver.Group, g *group) bool { return len(g.members) == 0 })
	maps.DeleteFunc(r.tokens, func(_ driver.Session, at time.Duration) bool { return r.host.Now()-at >= kept })
	if how == driver.NoList {
		wait := time.Duration((1 + r.chance.Float()) / 2 * float64(ListPause))
		r.dues.Push(r.host.Now()+wait, func() { r.host.Watch(true) })
	}
}

// Learned gives what may outlast this driver, of some members from that place on; next is 0 at the end.
func (r *Router) Learned(from, most int, each func(driver.Member, driver.Known)) (next int) {
	to := min(from+most, len(r.all))
	for _, m := range r.all[min(from, to):to] {
		each(m.id, driver.Known{Position: m.pos, Replica: m.replicaAt, Timed: m.timedAt, Ratio: m.ratio})
	}
	return to % max(len(r.all), 1)
}

// Recall takes what an earlier life of this driver learned of a member until it was saved, unless that has
// started since. None of it proves anything: who was a replica is asked last for the primary, who was primary
// is asked first and alone as any scout is; positions only go forward; a latency fades by its age.
func (r *Router) Recall(id driver.Member, k driver.Known, saved time.Duration) {
	m, now := r.members[id], r.host.Now()
	if m == nil || m.started >= saved || max(saved, k.Position, k.Replica, k.Timed) > now {
		return
	}
	m.pos, m.replicaAt = max(m.pos, k.Position), max(m.replicaAt, k.Replica)
	if m.heard == never {
		m.ratio, m.timedAt = k.Ratio, k.Timed
	}
}

// Usual gives the methods' usual latencies, after it has taken over those that an earlier life gave, if any.
func (r *Router) Usual(recalled ...time.Duration) (all []time.Duration) {
	for i, m := range r.methods {
		if len(recalled) == len(r.methods) {
			m.usual = max(recalled[i], time.Millisecond)
		}
		all = append(all, m.usual)
	}
	return all
}

// RecallToken takes the write of a session back into memory, for what is left of the time it is kept.
func (r *Router) RecallToken(who driver.Session, commit time.Duration) {
	if now := r.host.Now(); commit <= now && now-commit < kept {
		r.remember(who, commit)
	}
}
