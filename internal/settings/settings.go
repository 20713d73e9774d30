// Package settings reads the settings of a driver: from its own file at its start, and from the configuration that is published for its
// fleet. Both use the platform's names; all other code uses the project's names, in a flat map from path to value.
package settings

import (
	"strconv"
	"strings"
	"time"
)

// Settings holds a driver's settings by path. Values that are numbers are parsed once.
type Settings struct {
	values  map[string]string
	numbers map[string]float64
}

// New returns the settings of a flat map, which must not change afterwards.
func New(values map[string]string) Settings {
	s := Settings{values, make(map[string]float64)}
	for path, value := range values {
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			s.numbers[path] = number
		}
	}
	return s
}

// Number returns a value as a number, or the fallback if it is not a number.
func (s Settings) Number(path string, fallback float64) float64 {
	if number, ok := s.numbers[path]; ok {
		return number
	}
	return fallback
}

// Duration returns a value in microseconds as a duration, or 0 if it is not a number.
func (s Settings) Duration(path string) time.Duration {
	return time.Duration(s.Number(path, 0)) * time.Microsecond
}

// Text returns a value as text, or "" if it is not set.
func (s Settings) Text(path string) string { return s.values[path] }

// ListItem returns one item of a comma-separated value, or "" if it has fewer items.
func (s Settings) ListItem(path string, i int) string {
	if items := strings.Split(s.values[path], ","); i < len(items) {
		return items[i]
	}
	return ""
}

// Bool reports whether a value is "true".
func (s Settings) Bool(path string) bool { return s.values[path] == "true" }

// methodCount returns the number of methods, including retired ones.
func (s Settings) methodCount() int { return int(s.Number("methods.count", 0)) }

// methodPath returns the prefix of the paths of a method.
func methodPath(i int) string { return "methods." + strconv.Itoa(i) + "." }
