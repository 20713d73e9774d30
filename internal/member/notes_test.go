package member

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// What a member says of itself may be spoilt although its answer is good; then none of it is believed.
func TestReportsThatCannotBeRead(t *testing.T) {
	l := Load{Columns: []string{"x0", "util"}, Word: strings.ToLower}
	for text, want := range map[string][]float64{
		"x0=7.5,UTIL=0.25": {7.5, 0.25}, "x0=7.5,new=1": {7.5, 0}, "util=NaN,x0=7": {}, "x0=7,util=Inf": {},
		"x0=-7,util=1": {}, "x0=1e999": {}, "x0=7,util": {}, "x0=7,,": {}, "": {}, "x0=\xff\x00": {}, "x0=7;util=1": {},
	} {
		if got := l.Read(text, nil); !slices.Equal(got, want) {
			t.Errorf("%q: read %v", text, got)
		}
	}
}

func TestPositionsThatCannotBe(t *testing.T) {
	now := time.Duration(1767225600123) * time.Millisecond
	for text, believed := range map[string]bool{"1767225600123": true, "99999999999999": false, "-5": false, "soon": false} {
		if pos := Position([]byte(text), now, 0); pos > 0 != believed {
			t.Errorf("%s: position %v", text, pos)
		}
	}
}
