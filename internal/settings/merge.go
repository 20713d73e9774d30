package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MergeOver merges the published settings over the local ones of a driver's own file. In mergedObjects each published key replaces the local
// one; all other settings are replaced as a whole. It returns an error if a driver could not serve with the result.
func (p *Published) MergeOver(local map[string]string) (map[string]string, error) {
	merged := maps.Clone(local)
	for path := range p.settings {
		top, _, nested := strings.Cut(path, ".")
		if nested && slices.Contains(mergedObjects, top) {
			continue
		}
		maps.DeleteFunc(merged, func(path, _ string) bool { return path == top || strings.HasPrefix(path, top+".") })
	}
	maps.Copy(merged, p.settings)
	s := New(merged)
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	if err := s.validateNamesAndLimits(); err != nil {
		return nil, err
	}
	return merged, nil
}

// validateNamesAndLimits checks that methods have distinct names and that no total limit is less than the soft deadline.
func (s Settings) validateNamesAndLimits() error {
	indexes := make(map[string]int)
	for i := range s.methodCount() {
		path := methodPath(i)
		name := s.Text(path + "name")
		if name == "" {
			return fmt.Errorf("settings.classes.%d.name is missing", i)
		}
		if other, duplicate := indexes[name]; duplicate {
			return fmt.Errorf("settings.classes.%d.name is %q: class %d has that name", i, name, other)
		}
		indexes[name] = i
		if s.Duration(path+"limit") < s.Duration(path+"soft_deadline") {
			return fmt.Errorf("settings.classes.%d.hard_limit_us is %q: it is under target_us, %q", i, s.Text(path+"limit"), s.Text(path+"soft_deadline"))
		}
	}
	return nil
}
