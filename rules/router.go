// Package rules is passtack's decision module: it makes every decision of a driver.
//
// A host (internal/node on sockets, cmd/simhost on the bench) creates one Router per driver with New and calls one of its methods
// for each event. The Router acts by calling the host (driver.Host). docs/design.md explains the design.
package rules

import (
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
	"passtack/internal/settings"
	"passtack/internal/timerqueue"
)

const unknownTime = driver.LongAgo // earlier than all other times

// method is a configured method and what the router has learned about it.
type method struct {
	settings.Method
	typical       typicalLatency
	clientTimeout time.Duration // how long clients usually wait for one try
	timeoutVotes  int           // tries with clientTimeout minus those with another timeout, at most maxTimeoutVotes
	voters        voterLimiter
}

// Router is the decision module of one driver. Its methods are called from one goroutine.
type Router struct {
	host                                     driver.Host
	random                                   *pcg.Source
	settings                                 settings.Settings
	methods                                  []*method // by driver.Method
	quotas, quotaLeft                        []float64 // this driver's parts of the tenants' quotas: RPCs per second; RPCs that may be sent now
	membersCheckFreshness, onlyDrainingBinds bool      // members check the freshness of reads themselves; unlisted members may be used
	zone                                     driver.Zone
	reportColumns                            []string // columns of load reports
	groups                                   map[driver.Group]*group
	members                                  map[driver.Member]*member
	memberList                               []*member // in the order of their first listing
	rpcs                                     map[driver.RPC]*rpc
	queue                                    []*rpc                           // RPCs that wait for a member
	sessionCommits                           map[driver.Session]time.Duration // position of each session's latest write
	runs                                     runsByKey                        // of keyed RPCs
	timers                                   timerqueue.Queue[func()]
	ticks                                    ticks
	clockOffset, clockUncertainty            time.Duration // how far the members' clock is ahead of the host's; how far it may be behind that
	pace                                     paceEstimate
	load                                     driverLoad
	healthCheckBudget                        float64 // number of health checks that may be sent now
	lastReason                               Reason  // why the latest RPC was given up
}

// New returns a router that acts through the host and decides according to the settings.
func New(host driver.Host, seed uint64, values map[string]string) *Router {
	r := &Router{
		host: host, random: pcg.New(seed), healthCheckBudget: maxHealthCheckBudget,
		groups: make(map[driver.Group]*group), members: make(map[driver.Member]*member),
		rpcs: make(map[driver.RPC]*rpc), sessionCommits: make(map[driver.Session]time.Duration),
		pace: paceEstimate{value: 1, sampledAt: host.Now()},
	}
	r.ApplySettings(values)
	r.zone, r.reportColumns = driver.Zone(r.settings.Number("zone", 0)), strings.Split(values["report.columns"], ",")
	r.ticks = ticks{interval: max(r.settings.Duration("tick"), minTick), lastWakeAt: host.Now(), resumedAt: unknownTime}
	if err := r.settings.Validate(); err != nil {
		host.Fault(err.Error())
	}
	host.WakeAfter(r.ticks.interval)
	if values["list"] == "asked" {
		host.Watch(true)
	}
	return r
}

// ApplySettings replaces all settings except those that need a restart: the driver's zone, its tick, the report columns and how it gets
// endpoint lists. Methods keep their index and what was learned about them; RPCs in flight keep the method settings that they began with.
func (r *Router) ApplySettings(values map[string]string) {
	before, s := r.methods, settings.New(values)
	r.settings, r.methods, r.quotas, r.quotaLeft = s, nil, s.TenantQuotas(), s.TenantQuotas()
	r.membersCheckFreshness, r.onlyDrainingBinds = s.Text("family_info.checks") != "none", s.Bool("rules.only_draining_binds")
	for i, configured := range s.Methods() {
		meth := &method{typical: typicalLatency{value: configured.SoftDeadline / 4}}
		if i < len(before) {
			*meth = *before[i]
		}
		meth.Method = configured
		r.methods = append(r.methods, meth)
	}
}
