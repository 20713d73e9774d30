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

const unknownTime = driver.LongAgo // before all other times

// Router is the decision module of one driver.
type Router struct {
	host                                          driver.Host
	random                                        *pcg.Source
	settings                                      settings.Settings
	methods                                       []*method
	groups                                        map[driver.Group]*group
	members                                       map[driver.Member]*member
	memberList                                    []*member // as first heard of
	rpcs                                          map[driver.RPC]*rpc
	quotas, quotaLeft                             []float64 // by tenant: RPCs a second in its share here; those it may send now
	sessionCommits                                map[driver.Session]time.Duration
	timers                                        due.Queue[func()]
	reportColumns                                 []string // of load reports
	zone                                          driver.Zone
	membersCheckFreshness, onlyDrainingBinds      bool // members turn away reads that they are too far behind for; only draining binds
	tick                                          time.Duration
	lastWakeAt, resumedAt, sampleInterval         time.Duration // latest timer; latest end of a halt of this driver; between latencies
	nextScanAt, paceSampledAt                     time.Duration // next look at every member; when pace was learned
	wakeDueAt                                     time.Duration // ticks before that may be left out
	paceDecay                                     decayCache
	pace, failingShare                            float64 // latest latencies against the usual; part of the members that fail
	healthCheckBudget, carriedLoad                float64 // that may be sent now; what warm members bear from here, as member.load
	requestedLoad, firstTryLoad, availableMembers float64 // recent work asked for, of it by first tries; members to send to
	requestedLoadAt                               time.Duration
	queue                                         []*rpc
	lastReason                                    Reason        // of the latest RPC that was given up
	clockOffset, clockUncertainty                 time.Duration // of the members' clock: ahead of the host's, and perhaps behind that
}

// New returns a router that acts through the host and decides by the settings.
func New(host driver.Host, seed uint64, values map[string]string) *Router {
	r := &Router{
		host: host, random: pcg.New(seed), healthCheckBudget: maxHealthCheckBudget, pace: 1,
		groups: make(map[driver.Group]*group), members: make(map[driver.Member]*member),
		rpcs: make(map[driver.RPC]*rpc), sessionCommits: make(map[driver.Session]time.Duration),
		reportColumns: strings.Split(values["report.columns"], ","),
	}
	r.ApplySettings(values)
	r.zone, r.tick = driver.Zone(r.settings.Number("zone", 0)), max(r.settings.Duration("tick"), 5*time.Millisecond)
	if err := r.settings.Validate(); err != nil {
		host.Fault(err.Error())
	}
	r.lastWakeAt, r.resumedAt, r.paceSampledAt = host.Now(), unknownTime, host.Now()
	host.WakeAfter(r.tick)
	if values["list"] == "asked" {
		host.Watch(true)
	}
	return r
}
