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

// run completes every item with the outcome given, and returns the rounds in which they were sent.
func run(t *testing.T, p *Plan, ends map[int]Outcome) (rounds string) {
	t.Helper()
	now := time.Duration(0)
	for {
		var round []int
		for i, until, _, ok := p.Next(now); ok; i, until, _, ok = p.Next(now) {
			if until <= now || until > p.deadline {
				t.Fatalf("item %d is sent at %v until %v", i, now, until)
			}
			round = append(round, i)
		}
		if len(round) == 0 {
			break
		}
		rounds += fmt.Sprint(round)
		now += 10 * ms
		for _, i := range round {
			p.Complete(i, ends[i], 0, now)
		}
	}
	if !p.Done() {
		t.Fatalf("after %s some have no outcome", rounds)
	}
	return rounds
}

func read(g driver.Group, needs ...int) Item {
	return Item{Group: g, DependsOn: needs, Expected: 100 * ms}
}
func write(g driver.Group, needs ...int) Item {
	return Item{Write: true, Group: g, DependsOn: needs, Expected: 50 * ms}
}

func TestOrderOfRequests(t *testing.T) {
	for _, c := range []struct {
		what          string
		items         []Item
		ordered, goOn bool
		ends          map[int]Outcome
		rounds        string
		skips         []SkipReason
	}{
		{"reads are sent at the same time", []Item{read(0), read(0), read(1)}, true, false, nil, "[0 1 2]", nil},
		{"writes of an ordered batch separate them", []Item{read(0), write(0), read(1), read(0)}, true, false, nil, "[0][1][2 3]", nil},
		{"without an order groups do not wait for each other", []Item{write(0), write(1), read(0), read(1)}, false, false, nil, "[0 1][2 3]", nil},
		{"dependencies come first", []Item{read(0), read(1, 0), read(2, 1)}, false, false, nil, "[0][1][2]", nil},
		{"a failure stops those after it", []Item{read(0), write(0), read(0), write(0)}, true, false, map[int]Outcome{1: NotRun},
			"[0][1]", []SkipReason{NotSkipped, NotSkipped, EarlierFailed, EarlierFailed}},
		{"unless the batch continues on errors", []Item{write(0), read(0), read(1, 0)}, true, true, map[int]Outcome{0: Uncertain},
			"[0][1]", []SkipReason{NotSkipped, NotSkipped, DependencyFailed}},
		{"one that depends on a skipped one is skipped", []Item{write(0), read(1, 0), read(1, 1)}, false, true, map[int]Outcome{0: NotRun},
			"[0]", []SkipReason{NotSkipped, DependencyFailed, DependencyFailed}},
		{"one that was rejected counts as failed", []Item{{Answered: true}, read(0)}, true, false, nil, "", []SkipReason{NotSkipped, EarlierFailed}},
		{"and is passed if the batch continues on errors", []Item{{Answered: true}, read(0)}, true, true, nil, "[1]", nil},
	} {
		p, err := New(c.items, c.ordered, c.goOn, 8, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got := run(t, p, c.ends); got != c.rounds {
			t.Errorf("%s: sent %s, want %s", c.what, got, c.rounds)
		}
		for i, want := range c.skips {
			if got := p.Skipped(i); got != want {
				t.Errorf("%s: item %d is skipped for %d, want %d", c.what, i, got, want)
			}
		}
	}
}

func TestDependenciesMustComeBefore(t *testing.T) {
	for _, items := range [][]Item{{read(0, 0)}, {read(0, 1), read(0)}, {read(0, -1)}} {
		if _, err := New(items, false, false, 1, time.Second); !errors.Is(err, ErrDependency) {
			t.Errorf("%v: %v", items, err)
		}
	}
}

func TestReadsSeeEarlierWrites(t *testing.T) {
	p, _ := New([]Item{write(0), read(0), read(1), write(0), read(0)}, true, true, 8, 10*time.Second)
	next := func(want int, floor time.Duration) {
		t.Helper()
		if i, _, got, ok := p.Next(time.Second); !ok || i != want || got != floor {
			t.Fatalf("item %d goes with floor %v, want %d with %v", i, got, want, floor)
		}
	}
	next(0, 0)
	p.Complete(0, OK, 700*ms, time.Second)
	next(1, 700*ms)
	next(2, 0) // another group's
	p.Complete(1, OK, 0, time.Second)
	p.Complete(2, OK, 0, time.Second)
	next(3, 700*ms)
	p.Complete(3, Uncertain, 0, 2*time.Second) // it may commit as late as that
	next(4, 2*time.Second)
}

func TestTheRemainingTimeIsDivided(t *testing.T) {
	p, _ := New([]Item{write(0), write(0), write(0)}, true, true, 1, 300*ms)
	_, until, _, _ := p.Next(0)
	if until != 100*ms {
		t.Errorf("the first of three has until %v of 300 ms", until)
	}
	p.Complete(0, OK, 0, 150*ms)
	if _, until, _, _ = p.Next(150 * ms); until != 225*ms {
		t.Errorf("the second has until %v", until)
	}
	p.Complete(1, OK, 0, 300*ms)
	if _, _, _, ok := p.Next(300 * ms); ok || p.Skipped(2) != DeadlinePassed || !p.Done() {
		t.Error("the third goes though the time is over")
	}
}

// In any batch and with any outcomes: each item has exactly one outcome, none is sent before its dependencies or a write of its
// group before it, and no more are in flight than allowed.
func TestEveryBatchCompletes(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range rapid.IntRange(1, 12).Draw(t, "items") {
			item := Item{Write: rapid.Bool().Draw(t, "write"), Group: driver.Group(rapid.IntRange(0, 2).Draw(t, "group")), Expected: 100 * ms}
			if i > 0 && rapid.Bool().Draw(t, "needs") {
				item.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "need")}
			}
			item.Answered = rapid.IntRange(0, 9).Draw(t, "void") == 0
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
				how := Outcome(rapid.IntRange(0, 2).Draw(t, "how"))
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "takes")) * ms
				ended[i], ok[i] = true, how == OK
				p.Complete(i, how, 0, now)
				continue
			}
			if went[i] || items[i].Answered || until <= now || until > 2*time.Second || len(out) >= abreast {
				t.Fatalf("item %d goes, %d are out, until %v at %v", i, len(out), until, now)
			}
			for _, n := range items[i].DependsOn {
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
			if went[i] == (p.Skipped(i) != NotSkipped || items[i].Answered) {
				t.Fatalf("item %d: went %t, skipped for %d", i, went[i], p.Skipped(i))
			}
		}
	})
}
