package member

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against using fields of a malformed load report. Such a report may be part of a valid response.
func TestUnreadableLoadReportsAreIgnored(t *testing.T) {
	parser := LoadReportParser{Columns: []string{"x0", "util"}, Translate: strings.ToLower}
	for text, want := range map[string][]float64{
		"x0=7.5,UTIL=0.25": {7.5, 0.25}, "x0=7.5,new=1": {7.5, 0}, "util=NaN,x0=7": {}, "x0=7,util=Inf": {},
		"x0=-7,util=1": {}, "x0=1e999": {}, "x0=7,util": {}, "x0=7,,": {}, "": {}, "x0=\xff\x00": {}, "x0=7;util=1": {},
	} {
		if got := parser.Parse(text, nil); !slices.Equal(got, want) {
			t.Errorf("%q: read %v", text, got)
		}
	}
}

// Guards against a position ahead of the members' clock, which no replica would ever reach.
func TestImplausiblePositionsAreIgnored(t *testing.T) {
	now := time.Duration(1767225600123) * time.Millisecond
	for text, accepted := range map[string]bool{"1767225600123": true, "99999999999999": false, "-5": false, "soon": false} {
		if position := PlausiblePosition([]byte(text), now, 0); position > 0 != accepted {
			t.Errorf("%s: position %v", text, position)
		}
	}
}
