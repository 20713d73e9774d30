package batch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/seeded"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play lets every item end as told and notes the rounds in which they went, side by side in one round.
func play(t *testing.T, p *Plan, ends map[int]End) (rounds string) {
	t.Helper()
	now := time.Duration(0)
	for {
		var round []int
		for i, until, _, ok := p.Next(now); ok; i, until, _, ok = p.Next(now) {
			if until <= now || until > p.until {
				t.Fatalf("item %d goes at %v until %v", i, now, until)
			}
			round = append(round, i)
		}
		if len(round) == 0 {
			break
		}
		rounds += fmt.Sprint(round)
		now += 10 * ms
		for _, i := range round {
			p.Ended(i, ends[i], 0, now)
		}
	}
	if !p.Done() {
		t.Fatalf("after %s some have no outcome", rounds)
	}
	return rounds
}

func read(g driver.Group, needs ...int) Item { return Item{Group: g, Needs: needs, Soft: 100 * ms} }
func write(g driver.Group, needs ...int) Item {
	return Item{Write: true, Group: g, Needs: needs, Soft: 50 * ms}
}

func TestWhoGoesWhen(t *testing.T) {
	for _, c := range []struct {
		what          string
		items         []Item
		ordered, goOn bool
		ends          map[int]End
		rounds        string
		skips         []Skip
	}{
		{"reads go side by side", []Item{read(0), read(0), read(1)}, true, false, nil, "[0 1 2]", nil},
		{"in order writes part them", []Item{read(0), write(0), read(1), read(0)}, true, false, nil, "[0][1][2 3]", nil},
		{"without an order groups do not wait for each other", []Item{write(0), write(1), read(0), read(1)}, false, false, nil, "[0 1][2 3]", nil},
		{"what is needed comes first", []Item{read(0), read(1, 0), read(2, 1)}, false, false, nil, "[0][1][2]", nil},
		{"one that fails stops those behind it", []Item{read(0), write(0), read(0), write(0)}, true, false, map[int]End{1: Refused},
			"[0][1]", []Skip{Goes, Goes, Stopped, Stopped}},
		{"unless the batch goes on", []Item{write(0), read(0), read(1, 0)}, true, true, map[int]End{0: Aborted},
			"[0][1]", []Skip{Goes, Goes, Needed}},
		{"what needs one that was skipped is skipped", []Item{write(0), read(1, 0), read(1, 1)}, false, true, map[int]End{0: Refused},
			"[0]", []Skip{Goes, Needed, Needed}},
		{"a void one counts as not ok", []Item{{Void: true}, read(0)}, true, false, nil, "", []Skip{Goes, Stopped}},
		{"and is gone past where the batch goes on", []Item{{Void: true}, read(0)}, true, true, nil, "[1]", nil},
	} {
		p, err := New(c.items, c.ordered, c.goOn, 8, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got := play(t, p, c.ends); got != c.rounds {
			t.Errorf("%s: went %s, want %s", c.what, got, c.rounds)
		}
		for i, want := range c.skips {
			if got := p.Skipped(i); got != want {
				t.Errorf("%s: item %d is skipped for %d, want %d", c.what, i, got, want)
			}
		}
	}
}

func TestNeedsMustComeBefore(t *testing.T) {
	for _, items := range [][]Item{{read(0, 0)}, {read(0, 1), read(0)}, {read(0, -1)}} {
		if _, err := New(items, false, false, 1, time.Second); !errors.Is(err, ErrNeeds) {
			t.Errorf("%v: %v", items, err)
		}
	}
}

func TestReadsSeeWhatWasWrittenBefore(t *testing.T) {
	p, _ := New([]Item{write(0), read(0), read(1), write(0), read(0)}, true, true, 8, 10*time.Second)
	next := func(want int, floor time.Duration) {
		t.Helper()
		if i, _, got, ok := p.Next(time.Second); !ok || i != want || got != floor {
			t.Fatalf("item %d goes with floor %v, want %d with %v", i, got, want, floor)
		}
	}
	next(0, 0)
	p.Ended(0, OK, 700*ms, time.Second)
	next(1, 700*ms)
	next(2, 0) // another group's
	p.Ended(1, OK, 0, time.Second)
	p.Ended(2, OK, 0, time.Second)
	next(3, 700*ms)
	p.Ended(3, Aborted, 0, 2*time.Second) // it may commit as late as that
	next(4, 2*time.Second)
}

func TestTimeIsShared(t *testing.T) {
	p, _ := New([]Item{write(0), write(0), write(0)}, true, true, 1, 300*ms)
	_, until, _, _ := p.Next(0)
	if until != 100*ms {
		t.Errorf("the first of three has until %v of 300 ms", until)
	}
	p.Ended(0, OK, 0, 150*ms)
	if _, until, _, _ = p.Next(150 * ms); until != 225*ms {
		t.Errorf("the second has until %v", until)
	}
	p.Ended(1, OK, 0, 300*ms)
	if _, _, _, ok := p.Next(300 * ms); ok || p.Skipped(2) != TooLate || !p.Done() {
		t.Error("the third goes though the time is over")
	}
}

// Whatever a batch holds and however its items end: each has exactly one outcome, none goes before what it needs or
// overtakes a write of its group, and no more go at once than allowed.
func TestAnyBatchEnds(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range rapid.IntRange(1, 12).Draw(t, "items") {
			item := Item{Write: rapid.Bool().Draw(t, "write"), Group: driver.Group(rapid.IntRange(0, 2).Draw(t, "group")), Soft: 100 * ms}
			if i > 0 && rapid.Bool().Draw(t, "needs") {
				item.Needs = []int{rapid.IntRange(0, i-1).Draw(t, "need")}
			}
			item.Void = rapid.IntRange(0, 9).Draw(t, "void") == 0
			items = append(items, item)
		}
		ordered, goOn, abreast := rapid.Bool().Draw(t, "ordered"), rapid.Bool().Draw(t, "goOn"), rapid.IntRange(1, 4).Draw(t, "abreast")
		p, err := New(items, ordered, goOn, abreast, 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		var out []int
		ended := make([]bool, len(items))
		ok := make([]bool, len(items))
		went := make([]bool, len(items))
		for {
			i, until, _, more := p.Next(now)
			if !more {
				if len(out) == 0 {
					break
				}
				n := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				i = out[n]
				out = slices.Delete(out, n, n+1)
				how := End(rapid.IntRange(0, 2).Draw(t, "how"))
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "takes")) * ms
				ended[i], ok[i] = true, how == OK
				p.Ended(i, how, 0, now)
				continue
			}
			if went[i] || items[i].Void || until <= now || until > 2*time.Second || len(out) >= abreast {
				t.Fatalf("item %d goes, %d are out, until %v at %v", i, len(out), until, now)
			}
			for _, n := range items[i].Needs {
				if !ok[n] {
					t.Fatalf("item %d goes though %d is not ok", i, n)
				}
			}
			for j := range i {
				if (items[j].Write || items[i].Write) && items[j].Group == items[i].Group && went[j] && !ended[j] {
					t.Fatalf("item %d goes beside %d", i, j)
				}
				if !goOn && ended[j] && !ok[j] {
					t.Fatalf("item %d goes though %d before it is not ok", i, j)
				}
			}
			went[i] = true
			out = append(out, i)
		}
		if !p.Done() {
			t.Fatalf("some have no outcome: %+v", p)
		}
		for i := range items {
			if went[i] == (p.Skipped(i) != Goes || items[i].Void) {
				t.Fatalf("item %d: went %t, skipped for %d", i, went[i], p.Skipped(i))
			}
		}
	})
}
