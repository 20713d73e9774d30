// Package settings reads the settings of a driver: from the file that it is given at its start, and from the configuration that is published
// for its fleet. Both have the platform's names; everywhere else settings have the project's, as a flat map from path to value.
package settings

import (
	"strconv"
	"strings"
	"time"
)

// Settings are a driver's settings by path, with the numbers among their values parsed once.
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

// Number returns a value as a number, or the fallback if it is none.
func (s Settings) Number(path string, fallback float64) float64 {
	if number, ok := s.numbers[path]; ok {
		return number
	}
	return fallback
}

// Duration returns a value in microseconds as a duration, or 0 if it is no number.
func (s Settings) Duration(path string) time.Duration {
	return time.Duration(s.Number(path, 0)) * time.Microsecond
}

// Text returns a value as it is, or "" if there is none.
func (s Settings) Text(path string) string { return s.values[path] }

// ListItem returns one item of a value with commas, or "" if there are fewer.
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

// methodPath returns the beginning of the paths of a method.
func methodPath(i int) string { return "methods." + strconv.Itoa(i) + "." }
