// Package rules is passtack's decision module: every decision of a driver is made here.
//
// A host (internal/node on sockets, cmd/simhost on the bench) makes one Router per driver with New and calls
// one method for each thing that happens: ListBegins, Listed, ListEnds, Take, Ended, Probed, Told,
// ClientLeft, ClientParts and Wake. The Router acts by calling the host (driver.Host). Rest tells a host
// which ticks it may leave out. docs/design.md explains the design.
package rules

import (
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/due"
	"passtack/internal/pcg"
	"passtack/internal/settings"
)

const never = driver.LongAgo // before all other times

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
