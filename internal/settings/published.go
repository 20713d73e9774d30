package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Published is a configuration as operators publish it for a fleet: a JSON object with settings, as the platform's file has them, and limits.
// What stands in it goes over a driver's own file: of caps, rules, family_info and report each key by itself, of all others the whole.
type Published struct {
	settings map[string]string // the project's names
	MemoryMB int64             // 0: as the driver's own file has it
	Sockets  int
}

// kind is what a value may be.
type valueKind struct {
	description string
	valid       func(value string) bool
}

func numberKind(want string, fits func(v float64) bool) valueKind {
	return valueKind{want, func(value string) bool {
		v, err := strconv.ParseFloat(value, 64)
		return err == nil && !math.IsInf(v, 0) && !math.IsNaN(v) && fits(v)
	}}
}

func enumKind(want string, values ...string) valueKind {
	return valueKind{want, func(value string) bool { return slices.Contains(values, value) }}
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
	anything = valueKind{"", func(string) bool { return true }}
)

// kinds are the settings that a fleet may be given, with the values that they may have. What the program does not read may be anything.
var schema = map[string]valueKind{
	"methods.*.name": identifier, "methods.*.utility": positiveNumber, "methods.*.late_utility": fraction, "methods.*.soft_deadline": positiveNumber,
	"methods.*.limit": positiveNumber, "methods.*.window": nonNegativeNumber, "methods.*.effect": enumKind("safe, keyed or unsafe", "idempotent", "tokened", "non-idempotent"),
	"methods.*.repeats": enumKind("all, zone or cell", "", "all", "zone", "group"), "methods.*": anything, "methods.count": positiveInteger,
	"methods":       {"a list of objects", func(string) bool { return false }},
	"caps.attempts": positiveInteger, "caps.longest_wait": nonNegativeNumber, "caps.connect_timeout": positiveNumber, "caps.idle_close": positiveNumber,
	"caps.cancel": boolean, "caps.probe": boolean, "caps": anything,
	"rules.cold_window": positiveNumber, "rules.cold_lasts": nonNegativeNumber, "rules.cold_multiple": positiveNumber, "rules.cold_share": fraction,
	"rules.drain_grace": nonNegativeNumber, "rules.answer_slack": nonNegativeNumber, "rules.ask_within": positiveNumber, "rules.only_draining_binds": boolean, "rules": anything,
	"family_info.checks": enumKind("off, reject or hold", "none", "refuse", "wait"), "family_info.token": enumKind("client or router", "carried", "remembered"), "family_info": anything,
	"tenants.*.quota": nonNegativeNumber, "tenants.*.name": identifier, "tenants.*": anything, "tenants.count": positiveInteger, "tenants": enumKind("a list of objects", ""),
	"drivers": positiveInteger, "over_share": fraction, "zones": wordList, "list": enumKind("automatic or subscribe", "pushed", "asked"), "tick": positiveNumber, "report": anything,
	"prices": anything, "goal": anything, "client_habits": anything, "host_types": anything, "stages": anything, "weights": anything, "worth_by": anything, "family": anything,
}

// own are settings that differ from driver to driver.
var driverSettings = []string{"driver", "zone", "tier"}

// merged are objects of which each key goes over a driver's own file by itself.
var mergedObjects = []string{"caps", "rules", "family_info", "report"}

// wireOf gives the platform's word for one of the project's, where only one stands for it.
func platformName(word string) string {
	found := ""
	for wire, of := range projectNames {
		if of == word && (found == "" || wire < found) {
			found = wire
		}
	}
	if found == "" {
		return word
	}
	return found
}

// wirePath is wireOf for each part of a path.
func platformPath(path string) string {
	parts := strings.Split(path, ".")
	for i, p := range parts {
		parts[i] = platformName(p)
	}
	return strings.Join(parts, ".")
}

var indexPattern = regexp.MustCompile(`\.\d+`)

// kindOf looks the whole path up first, then what it is a part of.
func lookupKind(path string) (valueKind, bool) {
	for at := indexPattern.ReplaceAllString(path, ".*"); ; {
		if k, known := schema[at]; known {
			return k, true
		}
		last := strings.LastIndexByte(at, '.')
		if last < 0 {
			return valueKind{}, false
		}
		at = at[:last]
	}
}

// ParsePublished reads a text and checks what can be checked without a driver's own file. It tells the first thing that is wrong, with its
// place and value.
func ParsePublished(text []byte) (*Published, error) {
	var told struct {
		Settings map[string]any
		Limits   struct {
			Memory  *int64 `json:"memory_mb"`
			Sockets *int
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&told); err != nil {
		return nil, syntaxError(text, err, decoder.InputOffset())
	}
	end := decoder.InputOffset()
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("%s: more follows the object", position(text, end))
	}
	p := &Published{settings: Flatten(told.Settings)}
	if m := told.Limits.Memory; m != nil {
		if p.MemoryMB = *m; *m < 16 || *m > 1<<20 {
			return nil, fmt.Errorf("limits.memory_mb is %d: a number of MB from 16 on is wanted", *m)
		}
	}
	if n := told.Limits.Sockets; n != nil {
		if p.Sockets = *n; *n < 32 || *n > 1<<20 {
			return nil, fmt.Errorf("limits.sockets is %d: a number from 32 on is wanted", *n)
		}
	}
	for _, path := range slices.Sorted(maps.Keys(p.settings)) {
		value := p.settings[path]
		top, _, _ := strings.Cut(path, ".")
		if slices.Contains(driverSettings, top) {
			return nil, fmt.Errorf("settings.%s is %q: it is each driver's own", platformPath(path), value)
		}
		k, known := lookupKind(path)
		if !known {
			return nil, fmt.Errorf("settings.%s is %q: there is no such setting", platformPath(path), value)
		}
		if !k.valid(value) {
			return nil, fmt.Errorf("settings.%s is %q: %s is wanted", platformPath(path), platformName(value), k.description)
		}
	}
	return p, nil
}

// unreadable names the place of what is no such JSON.
func syntaxError(text []byte, err error, offset int64) error {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = max(syntax.Offset-1, 0) // it counts the byte at fault
	case errors.As(err, &typed):
		want := map[reflect.Kind]string{reflect.Int: "a whole number", reflect.Int64: "a whole number"}[typed.Type.Kind()]
		if want == "" {
			want = "an object"
		}
		return fmt.Errorf("%s: %s stands where %s is wanted", position(text, max(typed.Offset-1, 0)), strings.TrimSpace(typed.Field+" "+typed.Value), want)
	}
	return fmt.Errorf("%s: %w", position(text, offset), err)
}

// place gives line and column.
func position(text []byte, offset int64) string {
	before := text[:min(int(offset), len(text))]
	return fmt.Sprintf("%d:%d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n'))
}

// Over gives the settings of a driver whose own file has base, or what it cannot serve by.
func (p *Published) MergeOver(base map[string]string) (map[string]string, error) {
	all := maps.Clone(base)
	for path := range p.settings {
		top, _, inner := strings.Cut(path, ".")
		if inner && slices.Contains(mergedObjects, top) {
			continue
		}
		maps.DeleteFunc(all, func(name, _ string) bool { return name == top || strings.HasPrefix(name, top+".") })
	}
	maps.Copy(all, p.settings)
	t := New(all)
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	names := make(map[string]int)
	for i := range int(t.Number("methods.count", 0)) {
		at := "methods." + strconv.Itoa(i) + "."
		if name := t.Text(at + "name"); name == "" {
			return nil, fmt.Errorf("settings.classes.%d.name is missing", i)
		} else if before, twice := names[name]; twice {
			return nil, fmt.Errorf("settings.classes.%d.name is %q: class %d has that name", i, name, before)
		} else {
			names[name] = i
		}
		if limit, soft := t.Duration(at+"limit"), t.Duration(at+"soft_deadline"); limit < soft {
			return nil, fmt.Errorf("settings.classes.%d.hard_limit_us is %q: it is under target_us, %q", i, t.Text(at+"limit"), t.Text(at+"soft_deadline"))
		}
	}
	return all, nil
}

// Restart names the settings by which a driver that runs goes on as it began: a change of them waits for its restart. All others hold at
// once, or for what begins later.
func NeedsRestart(began, now map[string]string) (names []string) {
	for _, path := range restartPaths(began, now) {
		names = append(names, platformPath(path))
	}
	return names
}

func restartPaths(began, now map[string]string) (paths []string) {
	both := maps.Clone(began)
	maps.Copy(both, now)
	for _, path := range slices.Sorted(maps.Keys(both)) {
		top, _, _ := strings.Cut(path, ".")
		waits := top == "tick" || top == "list" || top == "report"
		if top == "zones" { // members keep the number of their zone
			waits = !strings.HasPrefix(now[path]+",", began[path]+",")
		}
		if waits && now[path] != began[path] {
			paths = append(paths, path)
		}
	}
	return paths
}
