package fleet

import (
	"slices"
	"testing"
	"time"

	"passtack/driver"
)

// A drain is passed on once for each life of a member, whoever tells of it; what another says keeps from sending but never from the last one of a
// group, nor for another life, and the next list goes over it.
func TestDrainsAreToldOnAndNotBlindlyBelieved(t *testing.T) {
	d := NewDrains()
	ready := func(started time.Duration) Member { return Member{Group: 1, Started: started, Standing: driver.Ready} }
	for n := range uint64(3) {
		if d.Listed(n, ready(time.Hour), true) {
			t.Error("a ready member is news")
		}
	}
	if act, pass := d.Heard(Drain{0, time.Hour}); !act || !pass {
		t.Error("a drain that another tells of is not honoured, or not passed on")
	}
	if act, pass := d.Heard(Drain{0, time.Hour}); act || pass {
		t.Error("it is passed on twice")
	}
	if act, _ := d.Heard(Drain{1, 2 * time.Hour}); act {
		t.Error("a drain of another life is honoured")
	}
	if act, _ := d.Heard(Drain{9, time.Hour}); act {
		t.Error("a drain of a member that nobody listed is honoured")
	}
	if act, _ := d.Heard(Drain{1, time.Hour}); !act {
		t.Error("a second one is not honoured")
	}
	if act, pass := d.Heard(Drain{2, time.Hour}); act || pass {
		t.Error("the last one of a group is taken out on another's word")
	}
	draining := ready(time.Hour)
	draining.Standing = driver.Draining
	if d.Listed(2, draining, false) || !d.Listed(2, draining, true) || d.Listed(2, draining, true) {
		t.Error("what a list says is news once, and what an old one says never")
	}
	d.Listed(5, ready(time.Hour), true) // another of the group
	d.Listed(0, ready(time.Hour), true) // the list knows better
	if act, pass := d.Heard(Drain{0, time.Hour}); !act || pass {
		t.Error("after the list said otherwise it is told again: act once more, pass on no more")
	}
	d.Listed(0, ready(3*time.Hour), true)
	if act, pass := d.Heard(Drain{0, 3 * time.Hour}); !act || !pass {
		t.Error("the drain of its next life is not news")
	}
	d.Listed(0, Member{Standing: driver.Gone}, true)
	if act, _ := d.Heard(Drain{0, 3 * time.Hour}); act {
		t.Error("one that is gone is remembered")
	}
	all := []Drain{{1, time.Hour}, {2, driver.LongAgo}}
	if got, ok := ReadDrains(AppendDrains(nil, all)); !ok || !slices.Equal(got, all) {
		t.Errorf("%v", got)
	}
	for _, spoilt := range [][]byte{nil, make([]byte, 15), make([]byte, Most/16*16+16)} {
		if _, ok := ReadDrains(spoilt); ok {
			t.Errorf("%d bytes are read", len(spoilt))
		}
	}
}
