// Package terms reads values out of the plain map that a driver is given at its start.
package settings

import (
	"strconv"
	"strings"
	"time"
)

// Terms is what a driver is told at its start: names and values, with the numbers among them read once.
type Settings struct {
	values  map[string]string
	numbers map[string]float64
}

func New(values map[string]string) Settings {
	t := Settings{values, make(map[string]float64)}
	for name, value := range values {
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			t.numbers[name] = v
		}
	}
	return t
}

// Number gives the value as a number, or otherwise where there is none.
func (t Settings) Number(name string, fallback float64) float64 {
	if v, ok := t.numbers[name]; ok {
		return v
	}
	return fallback
}

// Span gives a value in microseconds as a span of time, 0 where there is none.
func (t Settings) Duration(name string) time.Duration {
	return time.Duration(t.Number(name, 0)) * time.Microsecond
}

// Text gives the value as it stands.
func (t Settings) Text(name string) string { return t.values[name] }

// Item gives one of several values parted by commas, nothing where there are not so many.
func (t Settings) ListItem(name string, i int) string {
	if items := strings.Split(t.values[name], ","); i < len(items) {
		return items[i]
	}
	return ""
}

// Yes tells whether the value is "true".
func (t Settings) Bool(name string) bool { return t.values[name] == "true" }
