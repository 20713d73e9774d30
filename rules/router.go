// Package rules is passtack's decision module: every decision of a driver is made here.
//
// A host (internal/node on sockets, cmd/simhost on the bench) makes one Router per driver with New and calls a method for each
// event. The Router acts by calling the host (driver.Host). docs/design.md explains the design.
package rules

import (
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/due"
	"passtack/internal/pcg"
	"passtack/internal/settings"
)

const unknownTime = driver.LongAgo // lies before all other times

// method is one method of the settings and what was learned of it.
type method struct {
	settings.Method
	typical       typicalLatency
	clientTimeout time.Duration // for which clients usually wait for one try
	timeoutVotes  int           // tries with this timeout less those with another
}

// Router is the decision module of one driver. Its methods are called from one goroutine.
type Router struct {
	host                                     driver.Host
	random                                   *pcg.Source
	settings                                 settings.Settings
	methods                                  []*method // by driver.Method
	quotas, quotaLeft                        []float64 // this driver's parts of the tenants' quotas: RPCs a second; RPCs that may be sent now
	membersCheckFreshness, onlyDrainingBinds bool      // members reject reads for which they lag too far; members off the list may be used
	zone                                     driver.Zone
	reportColumns                            []string // of load reports
	groups                                   map[driver.Group]*group
	members                                  map[driver.Member]*member
	memberList                               []*member // in the order in which they were first listed
	rpcs                                     map[driver.RPC]*rpc
	queue                                    []*rpc                           // wait for a member
	sessionCommits                           map[driver.Session]time.Duration // position of each session's latest write
	timers                                   due.Queue[func()]
	ticks                                    ticks
	clockOffset, clockUncertainty            time.Duration // of the members' clock: ahead of the host's; by how much it may be behind that
	pace                                     paceEstimate
	load                                     driverLoad
	healthCheckBudget                        float64 // health checks that may be sent now
	lastReason                               Reason  // of the latest RPC that was given up
}

// New returns a router that acts through the host and decides by the settings.
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

// ApplySettings replaces the settings but for those that need a restart: the driver's zone, its tick, the report columns and the way
// endpoint lists arrive. Methods keep their number and what was learned; RPCs in flight keep the method that they began with.
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
