package member

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
)

// Load knows the columns of a load report, and how to translate the names of its fields.
type Load struct {
	Columns []string
	Word    func(string) string
}

// Read puts the fields of a load report into the order of the columns. One that cannot be read tells nothing.
func (l *Load) Read(text string, into []float64) []float64 {
	into = append(into[:0], make([]float64, len(l.Columns))...)
	for field := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(field, "=")
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || !(value >= 0) || math.IsInf(value, 1) {
			return into[:0]
		}
		if i := slices.Index(l.Columns, l.Word(name)); i >= 0 {
			into[i] = value
		}
	}
	return into
}

// Told reads a position in milliseconds, 0 where there is none.
func Told(text []byte) time.Duration {
	millis, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || millis <= 0 || millis > math.MaxInt64/int64(time.Millisecond) {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// Position reads a position in milliseconds; one that cannot be is not believed.
func Position(text []byte, now, otherwise time.Duration) time.Duration {
	told := Told(text)
	if told == 0 || told > now+Ahead {
		return otherwise
	}
	return told
}

// Role reads what a member says that it is.
func Role(text []byte, otherwise driver.Role) driver.Role {
	switch string(text) {
	case "leader":
		return driver.Primary
	case "follower":
		return driver.Replica
	}
	return otherwise
}
