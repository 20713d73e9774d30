package members

import (
	"slices"
	"strings"
	"testing"

	"passtack/internal/loop"
)

// What a member says of itself may be spoilt although its answer is good; then none of it is believed.
func TestReportsThatCannotBeRead(t *testing.T) {
	p := &Pool{columns: []string{"x0", "util"}, word: strings.ToLower}
	for text, want := range map[string][]float64{
		"x0=7.5,UTIL=0.25": {7.5, 0.25}, "x0=7.5,new=1": {7.5, 0}, "util=NaN,x0=7": {}, "x0=7,util=Inf": {},
		"x0=-7,util=1": {}, "x0=1e999": {}, "x0=7,util": {}, "x0=7,,": {}, "": {}, "x0=\xff\x00": {}, "x0=7;util=1": {},
	} {
		if p.load(text); !slices.Equal(p.report, want) {
			t.Errorf("%q: read %v", text, p.report)
		}
	}
}

func TestPositionsThatCannotBe(t *testing.T) {
	l, err := loop.New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	k := &conn{pool: &Pool{loop: l}}
	for text, believed := range map[string]bool{"1767225600123": true, "99999999999999": false, "-5": false, "soon": false} {
		if pos, _, ok := k.parameter([]byte("replay_position\x00"+text+"\x00"), 0, 0); !ok || pos > 0 != believed {
			t.Errorf("%s: position %v, readable %t", text, pos, ok)
		}
	}
}
