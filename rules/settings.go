package rules

import (
	"strconv"
	"time"

	"passtack/internal/settings"
)

// What a method needs of its member's data: any, bounded, session, fresh or write.
const anyAge, bounded, session, fresh, write = "any", "bounded", "session", "fresh", "write"

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
