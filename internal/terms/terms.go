// Package terms reads values out of the plain map that a driver is given at its start.
package terms

import (
	"strconv"
	"time"
)

// Terms is what a driver is told at its start: names and values as text.
type Terms map[string]string

// Number gives the value as a number, or otherwise where there is none.
func (t Terms) Number(name string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(t[name], 64); err == nil {
		return v
	}
	return otherwise
}

// Span gives a value in microseconds as a span of time, 0 where there is none.
func (t Terms) Span(name string) time.Duration {
	return time.Duration(t.Number(name, 0)) * time.Microsecond
}

// Yes tells whether the value is "true".
func (t Terms) Yes(name string) bool { return t[name] == "true" }
