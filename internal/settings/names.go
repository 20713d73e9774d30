package settings

import "strings"

// projectNames maps the platform's names to the project's, in the paths of settings and in their values.
var projectNames = map[string]string{
	"classes":            "methods",
	"target_us":          "soft_deadline",
	"hard_limit_us":      "limit",
	"points":             "utility",
	"late_worth":         "late_utility",
	"window_us":          "window",
	"safe":               "idempotent",
	"keyed":              "tokened",
	"unsafe":             "non-idempotent",
	"cell":               "group",
	"group":              "repeats",
	"class_read":         "needs",
	"update":             "write",
	"latest":             "fresh",
	"own_writes":         "session",
	"recent":             "bounded",
	"loose":              "any",
	"lag_allowed_us":     "bounds",
	"behind":             "checks",
	"off":                "none",
	"reject":             "refuse",
	"hold":               "wait",
	"write_marks":        "token",
	"client":             "carried",
	"router":             "remembered",
	"answers_stamped":    "stamped",
	"role_listed":        "role",
	"delayed":            "late",
	"automatic":          "pushed",
	"subscribe":          "asked",
	"registry_mode":      "list",
	"balancers":          "drivers",
	"position":           "driver",
	"locality":           "zone",
	"areas":              "zones",
	"tick_us":            "tick",
	"quota_rps":          "quota",
	"over_share_worth":   "over_share",
	"may_cancel":         "cancel",
	"may_probe":          "probe",
	"peers":              "tell",
	"second_copies":      "overlap",
	"most_tries":         "attempts",
	"max_retry_after_us": "longest_wait",
	"idle_close_us":      "idle_close",
	"drain_grace_us":     "drain_grace",
	"cold_us":            "cold_lasts",
	"start_capacity":     "cold_share",
	"fall_multiple":      "cold_multiple",
	"tip_after_us":       "cold_window",
	"answer_slack_us":    "answer_slack",
	"ask_within_us":      "ask_within",
	"load_share":         "util",
	"concurrent":         "inflight",
	"depth":              "queue",
	"mean_ms":            "latency",
	"tps":                "rate",
	"err_ps":             "errors",
	"soft_removal":       "only_draining_binds",
	"retry_after":        "timed_pushback",
}

// ProjectName translates each part of a path from the platform's name to the project's. Parts without a translation stay.
func ProjectName(text string) string { return renameParts(text, ".") }

func renameParts(text, separator string) string {
	parts := strings.Split(text, separator)
	for i, part := range parts {
		if name, ok := projectNames[part]; ok {
			parts[i] = name
		}
	}
	return strings.Join(parts, separator)
}

// platformName translates one of the project's names to the platform's, the alphabetically first if there are several.
func platformName(name string) string {
	found := ""
	for platform, project := range projectNames {
		if project == name && (found == "" || platform < found) {
			found = platform
		}
	}
	if found == "" {
		return name
	}
	return found
}

// platformPath translates each part of a path with platformName.
func platformPath(path string) string {
	parts := strings.Split(path, ".")
	for i, part := range parts {
		parts[i] = platformName(part)
	}
	return strings.Join(parts, ".")
}
