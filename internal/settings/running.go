package settings

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// Retired marks a method that a driver which runs is no longer asked for: what is under way may still be of it.
const RetiredKey = "retired"

// mostMethods bounds the numbers that a driver gives to methods while it runs.
const maxMethods = 256

// methodsOf gives the place of each method by its name, but for retired ones.
func (t Settings) methodNames() (names []string, at map[string]int) {
	at = make(map[string]int)
	for i := range int(t.Number("methods.count", 0)) {
		path := "methods." + strconv.Itoa(i) + "."
		name := t.Text(path + "name")
		if names = append(names, name); !t.Bool(path + RetiredKey) {
			at[name] = i
		}
	}
	return names, at
}

// byMethod gives the settings of each method.
func (t Settings) methodSettings() map[int]map[string]string {
	all := make(map[int]map[string]string)
	for path, value := range t.values {
		rest, of := strings.CutPrefix(path, "methods.")
		number, key, inner := strings.Cut(rest, ".")
		if i, err := strconv.Atoi(number); of && inner && err == nil {
			if all[i] == nil {
				all[i] = make(map[string]string)
			}
			all[i][key] = value
		}
	}
	return all
}

// Running gives fresh settings as a driver can take them over that runs by others: methods keep the numbers that they have by now, those that
// there are no more are marked as retired, new ones come behind. What waits for a restart stays as it was.
func MergeRunning(by, fresh map[string]string) (map[string]string, error) {
	old, next := New(by), New(fresh)
	names, _ := old.methodNames()
	_, places := next.methodNames()
	all := maps.Clone(fresh)
	maps.DeleteFunc(all, func(path, _ string) bool { return strings.HasPrefix(path, "methods.") })
	count := 0
	var needs, bounds []string
	before, after := old.methodSettings(), next.methodSettings()
	take := func(from Settings, of map[string]string, i int, retired bool) {
		is := "methods." + strconv.Itoa(count) + "."
		for key, value := range of {
			all[is+key] = value
		}
		if retired {
			all[is+RetiredKey] = "true"
		}
		needs, bounds = append(needs, from.ListItem("family_info.needs", i)), append(bounds, from.ListItem("family_info.bounds", i))
		count++
	}
	for i, name := range names {
		if place, stays := places[name]; stays {
			take(next, after[place], place, false)
			delete(places, name)
		} else {
			take(old, before[i], i, true)
		}
	}
	for i := range int(next.Number("methods.count", 0)) {
		name := next.Text("methods." + strconv.Itoa(i) + ".name")
		if _, comes := places[name]; comes {
			take(next, after[i], i, false)
		}
	}
	if count > maxMethods {
		return nil, fmt.Errorf("settings.classes: with those of before there are %d while the driver runs, %d are the most", count, maxMethods)
	}
	all["methods.count"] = strconv.Itoa(count)
	all["family_info.needs"], all["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	for _, path := range restartPaths(by, fresh) {
		if was, had := by[path]; had {
			all[path] = was
		} else {
			delete(all, path)
		}
	}
	return all, nil
}
