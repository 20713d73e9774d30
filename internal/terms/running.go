package terms

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// Retired marks a method that a driver which runs is no longer asked for: what is under way may still be of it.
const Retired = "retired"

// mostMethods bounds the numbers that a driver gives to methods while it runs.
const mostMethods = 256

// methodsOf gives the place of each method by its name, but for retired ones.
func (t Terms) methodsOf() (names []string, at map[string]int) {
	at = make(map[string]int)
	for i := range int(t.Number("methods.count", 0)) {
		path := "methods." + strconv.Itoa(i) + "."
		name := t.Text(path + "name")
		if names = append(names, name); !t.Yes(path + Retired) {
			at[name] = i
		}
	}
	return names, at
}

// byMethod gives the settings of each method.
func (t Terms) byMethod() map[int]map[string]string {
	all := make(map[int]map[string]string)
	for path, value := range t.text {
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
func Running(by, fresh map[string]string) (map[string]string, error) {
	old, next := New(by), New(fresh)
	names, _ := old.methodsOf()
	_, places := next.methodsOf()
	all := maps.Clone(fresh)
	maps.DeleteFunc(all, func(path, _ string) bool { return strings.HasPrefix(path, "methods.") })
	count := 0
	var needs, bounds []string
	before, after := old.byMethod(), next.byMethod()
	take := func(from Terms, of map[string]string, i int, retired bool) {
		is := "methods." + strconv.Itoa(count) + "."
		for key, value := range of {
			all[is+key] = value
		}
		if retired {
			all[is+Retired] = "true"
		}
		needs, bounds = append(needs, from.Item("family_info.needs", i)), append(bounds, from.Item("family_info.bounds", i))
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
	if count > mostMethods {
		return nil, fmt.Errorf("settings.classes: with those of before there are %d while the driver runs, %d are the most", count, mostMethods)
	}
	all["methods.count"] = strconv.Itoa(count)
	all["family_info.needs"], all["family_info.bounds"] = strings.Join(needs, ","), strings.Join(bounds, ",")
	for _, path := range waiting(by, fresh) {
		if was, had := by[path]; had {
			all[path] = was
		} else {
			delete(all, path)
		}
	}
	return all, nil
}
