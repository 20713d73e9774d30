package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// words renames the parts of a setting's path, and its values, from the wire's words to the project's.
var projectNames = map[string]string{
	"classes": "methods", "target_us": "soft_deadline", "hard_limit_us": "limit", "points": "utility",
	"late_worth": "late_utility", "window_us": "window", "safe": "idempotent", "keyed": "tokened",
	"unsafe": "non-idempotent", "cell": "group", "group": "repeats",
	"class_read": "needs", "update": "write", "latest": "fresh", "own_writes": "session",
	"recent": "bounded", "loose": "any", "lag_allowed_us": "bounds", "behind": "checks",
	"off": "none", "reject": "refuse", "hold": "wait", "write_marks": "token", "client": "carried",
	"router": "remembered", "answers_stamped": "stamped", "role_listed": "role", "delayed": "late",
	"automatic": "pushed", "subscribe": "asked", "registry_mode": "list", "balancers": "drivers",
	"position": "driver", "locality": "zone", "areas": "zones", "tick_us": "tick",
	"quota_rps": "quota", "over_share_worth": "over_share", "may_cancel": "cancel",
	"may_probe": "probe", "peers": "tell", "second_copies": "overlap", "most_tries": "attempts",
	"max_retry_after_us": "longest_wait", "idle_close_us": "idle_close", "drain_grace_us": "drain_grace", "cold_us": "cold_lasts",
	"start_capacity": "cold_share", "fall_multiple": "cold_multiple", "tip_after_us": "cold_window",
	"answer_slack_us": "answer_slack", "ask_within_us": "ask_within", "load_share": "util",
	"concurrent": "inflight", "depth": "queue", "mean_ms": "latency", "tps": "rate",
	"err_ps": "errors", "soft_removal": "only_draining_binds", "retry_after": "timed_pushback",
}

// rename leaves alone what it has no word for.
func renameParts(text, separator string) string {
	parts := strings.Split(text, separator)
	for i, part := range parts {
		if word, ok := projectNames[part]; ok {
			parts[i] = word
		}
	}
	return strings.Join(parts, separator)
}

// Word gives the project's word for one of the platform's, or that one itself.
func ProjectName(text string) string { return renameParts(text, ".") }

// Lines reads pairs of the form path=value, one a line.
func ParseLines(text string) map[string]string {
	pairs := make(map[string]string)
	for line := range strings.Lines(text) {
		name, value, found := strings.Cut(strings.TrimRight(line, "\r\n"), "=")
		if found {
			putRenamed(pairs, name, value)
		}
	}
	return pairs
}

// Nested reads the same pairs out of a JSON object, whose numbers are json.Number.
func Flatten(object map[string]any) map[string]string {
	pairs := make(map[string]string)
	flattenInto(pairs, "", object)
	return pairs
}

var separators = strings.NewReplacer(" ", "_", ",", "_")

func flattenInto(pairs map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flattenInto(pairs, strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		var texts []string
		for i, item := range v {
			if _, nested := item.(map[string]any); nested {
				putRenamed(pairs, path+".count", strconv.Itoa(len(v)))
				flattenInto(pairs, path+"."+strconv.Itoa(i), item)
			} else {
				texts = append(texts, scalarText(item))
			}
		}
		if len(texts) == len(v) {
			putRenamed(pairs, path, strings.Join(texts, ","))
		}
	default:
		putRenamed(pairs, path, scalarText(v))
	}
}

// put renames all but what somebody chose as a name.
func putRenamed(pairs map[string]string, path, value string) {
	if path = renameParts(path, "."); !strings.HasSuffix(path, ".name") {
		value = renameParts(value, ",")
	}
	pairs[path] = value
}

func scalarText(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case json.Number:
		return v.String()
	case string:
		return separators.Replace(v)
	}
	return fmt.Sprint(value)
}
