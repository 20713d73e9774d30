package settings

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// RetiredKey marks a method that is no longer served while RPCs of it may still be in flight. Its value is "true".
const RetiredKey = "retired"

// maxMethods is the maximum number of methods of a running driver, including retired ones.
const maxMethods = 256

// NeedsRestart returns the changed settings, under the platform's names, that take effect only when a driver that was started with other
// values restarts. All other settings take effect at once or for RPCs that begin later.
func NeedsRestart(started, fresh map[string]string) (names []string) {
	for _, path := range restartPaths(started, fresh) {
		names = append(names, platformPath(path))
	}
	return names
}

// restartPaths returns the changed paths that need a restart.
func restartPaths(started, fresh map[string]string) (paths []string) {
	all := maps.Clone(started)
	maps.Copy(all, fresh)
	for _, path := range slices.Sorted(maps.Keys(all)) {
		top, _, _ := strings.Cut(path, ".")
		needed := top == "tick" || top == "list" || top == "report"
		if top == "zones" { // members keep the index of their zone
			needed = !strings.HasPrefix(fresh[path]+",", started[path]+",")
		}
		if needed && fresh[path] != started[path] {
			paths = append(paths, path)
		}
	}
	return paths
}

// MergeRunning adapts fresh settings to a running driver: methods keep their indexes, removed methods are marked as retired, and new ones are
// appended. Settings that need a restart keep their running values.
func MergeRunning(running, fresh map[string]string) (map[string]string, error) {
	methods := mergeMethods(New(running), New(fresh))
	count := len(methods.needs)
	if count > maxMethods {
		return nil, fmt.Errorf("settings.classes: %d methods, including those removed since the driver started; at most %d are allowed until it restarts", count, maxMethods)
	}
	merged := maps.Clone(fresh)
	maps.DeleteFunc(merged, func(path, _ string) bool { return strings.HasPrefix(path, "methods.") })
	maps.Copy(merged, methods.values)
	merged["methods.count"] = strconv.Itoa(count)
	merged["family_info.needs"] = strings.Join(methods.needs, ",")
	merged["family_info.bounds"] = strings.Join(methods.bounds, ",")
	for _, path := range restartPaths(running, fresh) {
		if value, exists := running[path]; exists {
			merged[path] = value
		} else {
			delete(merged, path)
		}
	}
	return merged, nil
}

// methodList collects the settings of methods under new indexes.
type methodList struct {
	values        map[string]string
	needs, bounds []string // by index
}

// add appends a method and its settings.
func (l *methodList) add(from Settings, method map[string]string, index int, retired bool) {
	path := methodPath(len(l.needs))
	for key, value := range method {
		l.values[path+key] = value
	}
	if retired {
		l.values[path+RetiredKey] = "true"
	}
	l.needs = append(l.needs, from.ListItem("family_info.needs", index))
	l.bounds = append(l.bounds, from.ListItem("family_info.bounds", index))
}

func mergeMethods(running, fresh Settings) *methodList {
	merged := &methodList{values: make(map[string]string)}
	before, after := running.methodSettings(), fresh.methodSettings()
	names, _ := running.methodNames()
	_, indexes := fresh.methodNames()
	for i, name := range names {
		if index, stays := indexes[name]; stays {
			merged.add(fresh, after[index], index, false)
			delete(indexes, name)
		} else {
			merged.add(running, before[i], i, true)
		}
	}
	for i := range fresh.methodCount() {
		if _, added := indexes[fresh.Text(methodPath(i)+"name")]; added {
			merged.add(fresh, after[i], i, false)
		}
	}
	return merged
}

// methodNames returns the names of all methods by index, and the indexes by name of those that are not retired.
func (s Settings) methodNames() (names []string, indexes map[string]int) {
	indexes = make(map[string]int)
	for i := range s.methodCount() {
		path := methodPath(i)
		name := s.Text(path + "name")
		names = append(names, name)
		if !s.Bool(path + RetiredKey) {
			indexes[name] = i
		}
	}
	return names, indexes
}

// methodSettings returns the settings of each method by its index.
func (s Settings) methodSettings() map[int]map[string]string {
	all := make(map[int]map[string]string)
	for path, value := range s.values {
		rest, isMethod := strings.CutPrefix(path, "methods.")
		number, key, nested := strings.Cut(rest, ".")
		i, err := strconv.Atoi(number)
		if !isMethod || !nested || err != nil {
			continue
		}
		if all[i] == nil {
			all[i] = make(map[string]string)
		}
		all[i][key] = value
	}
	return all
}
