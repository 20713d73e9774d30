package settings

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// valueKind is a set of valid values.
type valueKind struct {
	description string // of the valid values, for error messages
	valid       func(value string) bool
}

// numberKind returns the kind of the finite numbers for which valid is true.
func numberKind(description string, valid func(v float64) bool) valueKind {
	return valueKind{description, func(value string) bool {
		v, err := strconv.ParseFloat(value, 64)
		return err == nil && !math.IsInf(v, 0) && !math.IsNaN(v) && valid(v)
	}}
}

// enumKind returns the kind of the listed values. The description lists their names on the platform.
func enumKind(description string, values ...string) valueKind {
	return valueKind{description, func(value string) bool { return slices.Contains(values, value) }}
}

var (
	positiveNumber    = numberKind("a number above 0", func(v float64) bool { return v > 0 })
	nonNegativeNumber = numberKind("a number from 0 on", func(v float64) bool { return v >= 0 })
	positiveInteger   = numberKind("a whole number from 1 on", func(v float64) bool { return v >= 1 && v == math.Trunc(v) && v <= 1<<20 })
	fraction          = numberKind("a number from 0 to 1", func(v float64) bool { return v >= 0 && v <= 1 })
	boolean           = enumKind("true or false", "true", "false")
	identifier        = valueKind{"a word of letters, digits, dots and dashes", regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`).MatchString}
	wordList          = valueKind{"a list of different words", func(value string) bool {
		items := strings.Split(value, ",")
		slices.Sort(items)
		return !slices.Contains(items, "") && len(slices.Compact(items)) == strings.Count(value, ",")+1
	}}
	anyValue = valueKind{"", func(string) bool { return true }}
)

// schema lists the settings that may be published, with their valid values. An asterisk stands for an index. A path without an entry has the
// kind of the object that contains it. Settings that the program does not read may have any value.
var schema = map[string]valueKind{
	"methods.*.name":            identifier,
	"methods.*.utility":         positiveNumber,
	"methods.*.late_utility":    fraction,
	"methods.*.soft_deadline":   positiveNumber,
	"methods.*.limit":           positiveNumber,
	"methods.*.window":          nonNegativeNumber,
	"methods.*.effect":          enumKind("safe, keyed or unsafe", "idempotent", "tokened", "non-idempotent"),
	"methods.*.repeats":         enumKind("all, zone or cell", "", "all", "zone", "group"),
	"methods.*":                 anyValue,
	"methods.count":             positiveInteger,
	"methods":                   {"a list of objects", func(string) bool { return false }},
	"caps.attempts":             positiveInteger,
	"caps.longest_wait":         nonNegativeNumber,
	"caps.connect_timeout":      positiveNumber,
	"caps.idle_close":           positiveNumber,
	"caps.cancel":               boolean,
	"caps.probe":                boolean,
	"caps":                      anyValue,
	"rules.cold_window":         positiveNumber,
	"rules.cold_lasts":          nonNegativeNumber,
	"rules.cold_multiple":       positiveNumber,
	"rules.cold_share":          fraction,
	"rules.drain_grace":         nonNegativeNumber,
	"rules.answer_slack":        nonNegativeNumber,
	"rules.ask_within":          positiveNumber,
	"rules.only_draining_binds": boolean,
	"rules":                     anyValue,
	"family_info.checks":        enumKind("off, reject or hold", "none", "refuse", "wait"),
	"family_info.token":         enumKind("client or router", "carried", "remembered"),
	"family_info":               anyValue,
	"tenants.*.quota":           nonNegativeNumber,
	"tenants.*.name":            identifier,
	"tenants.*":                 anyValue,
	"tenants.count":             positiveInteger,
	"tenants":                   enumKind("a list of objects", ""),
	"drivers":                   positiveInteger,
	"over_share":                fraction,
	"zones":                     wordList,
	"list":                      enumKind("automatic or subscribe", "pushed", "asked"),
	"tick":                      positiveNumber,
	"report":                    anyValue,
	"prices":                    anyValue,
	"goal":                      anyValue,
	"client_habits":             anyValue,
	"host_types":                anyValue,
	"stages":                    anyValue,
	"weights":                   anyValue,
	"worth_by":                  anyValue,
	"family":                    anyValue,
}

// driverSettings are specific to each driver and cannot be published.
var driverSettings = []string{"driver", "zone", "tier"}

// mergedObjects are objects whose keys are merged one by one. All other published settings replace the local ones as a whole.
var mergedObjects = []string{"caps", "rules", "family_info", "report"}

var indexPattern = regexp.MustCompile(`\.\d+`)

// lookupKind returns the kind of a path, or of the innermost enclosing object that has one.
func lookupKind(path string) (kind valueKind, known bool) {
	for pattern := indexPattern.ReplaceAllString(path, ".*"); ; {
		if kind, known = schema[pattern]; known {
			return kind, true
		}
		last := strings.LastIndexByte(pattern, '.')
		if last < 0 {
			return valueKind{}, false
		}
		pattern = pattern[:last]
	}
}
