package rules

import (
	"strconv"
	"time"

	"passtack/internal/settings"
)

// What a method needs of its member's data: any, bounded, session, fresh or write.
const anyAge, bounded, session, fresh, write = "any", "bounded", "session", "fresh", "write"

type method struct {
	freshness                                           string
	idempotent, keyed                                   bool
	allDeduplicate, zoneDeduplicates                    bool // every member drops its repeats, or those of a zone do; else the group's
	retryWindow, softDeadline, maxStaleness, totalLimit time.Duration
	typical, typicalAt, attemptTimeout                  time.Duration // latency of late; when seen; length of a try
	timeoutVotes                                        int           // times seen so, less times not
	utility, lateUtility                                float64
	typicalDecay                                        decayCache
}

// Change takes over other settings, but for what only a restart changes: the driver's zone, its tick, columns
// and how it hears lists. Methods keep their number, and RPCs under way the method that they began with.
func (r *Router) ApplySettings(values map[string]string) {
	r.membersCheckFreshness, r.onlyDrainingBinds = values["family_info.checks"] != "none", values["rules.only_draining_binds"] == "true"
	before, t := r.methods, settings.New(values)
	r.settings, r.methods, r.quotas, r.quotaLeft = t, nil, nil, nil
	for i := range int(t.Number("methods.count", 0)) {
		at := "methods." + strconv.Itoa(i) + "."
		m := &method{typical: t.Duration(at+"soft_deadline") / 4}
		if i < len(before) {
			*m = *before[i] // with what was learned
		}
		m.utility, m.lateUtility = t.Number(at+"utility", 1), t.Number(at+"late_utility", 0)
		m.idempotent, m.keyed = values[at+"effect"] == "idempotent", values[at+"effect"] == "tokened"
		m.allDeduplicate, m.zoneDeduplicates = values[at+"repeats"] == "all", values[at+"repeats"] == "zone"
		m.retryWindow, m.softDeadline, m.totalLimit = t.Duration(at+"window"), t.Duration(at+"soft_deadline"), t.Duration(at+"limit")
		m.freshness = t.ListItem("family_info.needs", i)
		m.maxStaleness, _ = time.ParseDuration(t.ListItem("family_info.bounds", i) + "us")
		r.methods = append(r.methods, m)
	}
	for i := range int(t.Number("tenants.count", 0)) {
		quota := t.Number("tenants."+strconv.Itoa(i)+".quota", 0) / t.Number("drivers", 1)
		r.quotas, r.quotaLeft = append(r.quotas, quota), append(r.quotaLeft, quota)
	}
}
