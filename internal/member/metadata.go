package member

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
)

// MaxPositionAhead is how far a valid log position may be ahead of the members' clock, as both are rounded.
const MaxPositionAhead = time.Second

// LoadReportParser parses the load reports of members.
type LoadReportParser struct {
	Columns   []string            // the names of the fields, in the order of the results
	Translate func(string) string // a field's name on the wire to its name in Columns
}

// Parse returns the fields of a load report in the order of the columns, 0 where one is missing. It reuses into. The result is
// empty if any field is malformed.
func (l *LoadReportParser) Parse(text string, into []float64) []float64 {
	into = append(into[:0], make([]float64, len(l.Columns))...)
	for field := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(field, "=")
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || !(value >= 0) || math.IsInf(value, 1) {
			return into[:0]
		}
		if i := slices.Index(l.Columns, l.Translate(name)); i >= 0 {
			into[i] = value
		}
	}
	return into
}

// ParsePosition parses a log position in milliseconds. It returns 0 if there is none.
func ParsePosition(text []byte) time.Duration {
	millis, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || millis <= 0 || millis > math.MaxInt64/int64(time.Millisecond) {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// PlausiblePosition parses a log position in milliseconds. It returns the fallback if there is none, or if it is more
// than MaxPositionAhead ahead of now, the time by the members' clock.
func PlausiblePosition(text []byte, now, fallback time.Duration) time.Duration {
	position := ParsePosition(text)
	if position == 0 || position > now+MaxPositionAhead {
		return fallback
	}
	return position
}

// ParseRole parses the role that a member reports. It returns the fallback if the role is unknown.
func ParseRole(text []byte, fallback driver.Role) driver.Role {
	switch string(text) {
	case "leader":
		return driver.Primary
	case "follower":
		return driver.Replica
	}
	return fallback
}
