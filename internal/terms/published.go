package terms

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
type kind struct {
	want string
	fits func(value string) bool
}

func number(want string, fits func(v float64) bool) kind {
	return kind{want, func(value string) bool {
		v, err := strconv.ParseFloat(value, 64)
		return err == nil && !math.IsInf(v, 0) && !math.IsNaN(v) && fits(v)
	}}
}

func oneOf(want string, values ...string) kind {
	return kind{want, func(value string) bool { return slices.Contains(values, value) }}
}

var (
	positive  = number("a number above 0", func(v float64) bool { return v > 0 })
	amount    = number("a number from 0 on", func(v float64) bool { return v >= 0 })
	whole     = number("a whole number from 1 on", func(v float64) bool { return v >= 1 && v == math.Trunc(v) && v <= 1<<20 })
	part      = number("a number from 0 to 1", func(v float64) bool { return v >= 0 && v <= 1 })
	truth     = oneOf("true or false", "true", "false")
	plainWord = kind{"a word of letters, digits, dots and dashes", regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`).MatchString}
	several   = kind{"a list of different words", func(value string) bool {
		items := strings.Split(value, ",")
		slices.Sort(items)
		return !slices.Contains(items, "") && len(slices.Compact(items)) == strings.Count(value, ",")+1
	}}
	anything = kind{"", func(string) bool { return true }}
)

// kinds are the settings that a fleet may be given, with the values that they may have. What the program does not read may be anything.
var kinds = map[string]kind{
	"methods.*.name": plainWord, "methods.*.utility": positive, "methods.*.late_utility": part, "methods.*.soft_deadline": positive,
	"methods.*.limit": positive, "methods.*.window": amount, "methods.*.effect": oneOf("safe, keyed or unsafe", "idempotent", "tokened", "non-idempotent"),
	"methods.*.repeats": oneOf("all, zone or cell", "", "all", "zone", "group"), "methods.*": anything, "methods.count": whole,
	"methods":       {"a list of objects", func(string) bool { return false }},
	"caps.attempts": whole, "caps.longest_wait": amount, "caps.connect_timeout": positive, "caps.idle_close": positive,
	"caps.cancel": truth, "caps.probe": truth, "caps": anything,
	"rules.cold_window": positive, "rules.cold_lasts": amount, "rules.cold_multiple": positive, "rules.cold_share": part,
	"rules.drain_grace": amount, "rules.answer_slack": amount, "rules.ask_within": positive, "rules.only_draining_binds": truth, "rules": anything,
	"family_info.checks": oneOf("off, reject or hold", "none", "refuse", "wait"), "family_info.token": oneOf("client or router", "carried", "remembered"), "family_info": anything,
	"tenants.*.quota": amount, "tenants.*.name": plainWord, "tenants.*": anything, "tenants.count": whole, "tenants": oneOf("a list of objects", ""),
	"drivers": whole, "over_share": part, "zones": several, "list": oneOf("automatic or subscribe", "pushed", "asked"), "tick": positive, "report": anything,
	"prices": anything, "goal": anything, "client_habits": anything, "host_types": anything, "stages": anything, "weights": anything, "worth_by": anything, "family": anything,
}

// own are settings that differ from driver to driver.
var own = []string{"driver", "zone", "tier"}

// merged are objects of which each key goes over a driver's own file by itself.
var merged = []string{"caps", "rules", "family_info", "report"}

// wireOf gives the platform's word for one of the project's, where only one stands for it.
func wireOf(word string) string {
	found := ""
	for wire, of := range words {
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
func wirePath(path string) string {
	parts := strings.Split(path, ".")
	for i, p := range parts {
		parts[i] = wireOf(p)
	}
	return strings.Join(parts, ".")
}

var index = regexp.MustCompile(`\.\d+`)

// kindOf looks the whole path up first, then what it is a part of.
func kindOf(path string) (kind, bool) {
	for at := index.ReplaceAllString(path, ".*"); ; {
		if k, known := kinds[at]; known {
			return k, true
		}
		last := strings.LastIndexByte(at, '.')
		if last < 0 {
			return kind{}, false
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
		return nil, unreadable(text, err, decoder.InputOffset())
	}
	end := decoder.InputOffset()
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("%s: more follows the object", place(text, end))
	}
	p := &Published{settings: Nested(told.Settings)}
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
		if slices.Contains(own, top) {
			return nil, fmt.Errorf("settings.%s is %q: it is each driver's own", wirePath(path), value)
		}
		k, known := kindOf(path)
		if !known {
			return nil, fmt.Errorf("settings.%s is %q: there is no such setting", wirePath(path), value)
		}
		if !k.fits(value) {
			return nil, fmt.Errorf("settings.%s is %q: %s is wanted", wirePath(path), wireOf(value), k.want)
		}
	}
	return p, nil
}

// unreadable names the place of what is no such JSON.
func unreadable(text []byte, err error, offset int64) error {
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
		return fmt.Errorf("%s: %s stands where %s is wanted", place(text, max(typed.Offset-1, 0)), strings.TrimSpace(typed.Field+" "+typed.Value), want)
	}
	return fmt.Errorf("%s: %w", place(text, offset), err)
}

// place gives line and column.
func place(text []byte, offset int64) string {
	before := text[:min(int(offset), len(text))]
	return fmt.Sprintf("%d:%d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n'))
}

// Over gives the settings of a driver whose own file has base, or what it cannot serve by.
func (p *Published) Over(base map[string]string) (map[string]string, error) {
	all := maps.Clone(base)
	for path := range p.settings {
		top, _, inner := strings.Cut(path, ".")
		if inner && slices.Contains(merged, top) {
			continue
		}
		maps.DeleteFunc(all, func(name, _ string) bool { return name == top || strings.HasPrefix(name, top+".") })
	}
	maps.Copy(all, p.settings)
	t := New(all)
	if err := t.Unusable(); err != nil {
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
		if limit, soft := t.Span(at+"limit"), t.Span(at+"soft_deadline"); limit < soft {
			return nil, fmt.Errorf("settings.classes.%d.hard_limit_us is %q: it is under target_us, %q", i, t.Text(at+"limit"), t.Text(at+"soft_deadline"))
		}
	}
	return all, nil
}

// Restart names the settings by which a driver that runs goes on as it began: a change of them waits for its restart. All others hold at
// once, or for what begins later.
func Restart(began, now map[string]string) (names []string) {
	for _, path := range waiting(began, now) {
		names = append(names, wirePath(path))
	}
	return names
}

func waiting(began, now map[string]string) (paths []string) {
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
