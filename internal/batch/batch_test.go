package batch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/proptest"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// run completes every item with its outcome in outcomes, OK if it has none there, and returns the rounds in which the items were sent.
func run(t *testing.T, p *Plan, outcomes map[int]Outcome) (rounds string) {
	t.Helper()
	now := time.Duration(0)
	for {
		var round []int
		for i, deadline, _, ok := p.Next(now); ok; i, deadline, _, ok = p.Next(now) {
			if deadline <= now || deadline > p.deadline {
				t.Fatalf("item %d is sent at %v with the deadline %v", i, now, deadline)
			}
			round = append(round, i)
		}
		if len(round) == 0 {
			break
		}
		rounds += fmt.Sprint(round)
		now += 10 * ms
		for _, i := range round {
			p.Complete(i, outcomes[i], 0, now)
		}
	}
	if !p.Done() {
		t.Fatalf("after the rounds %s some items have no outcome", rounds)
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
		name                     string
		items                    []Item
		ordered, continueOnError bool
		outcomes                 map[int]Outcome
		rounds                   string
		skips                    []SkipReason
	}{
		{"reads of an ordered batch are in flight at the same time", []Item{read(0), read(0), read(1)}, true, false, nil, "[0 1 2]", nil},
		{"a write of an ordered batch is in flight alone", []Item{read(0), write(0), read(1), read(0)}, true, false, nil, "[0][1][2 3]", nil},
		{"in an unordered batch groups do not wait for each other", []Item{write(0), write(1), read(0), read(1)}, false, false, nil, "[0 1][2 3]", nil},
		{"dependencies are sent first", []Item{read(0), read(1, 0), read(2, 1)}, false, false, nil, "[0][1][2]", nil},
		{"items after a failure are skipped", []Item{read(0), write(0), read(0), write(0)}, true, false, map[int]Outcome{1: NotRun},
			"[0][1]", []SkipReason{NotSkipped, NotSkipped, EarlierFailed, EarlierFailed}},
		{"items after a failure are sent if the batch continues on errors", []Item{write(0), read(0), read(1, 0)}, true, true, map[int]Outcome{0: Uncertain},
			"[0][1]", []SkipReason{NotSkipped, NotSkipped, DependencyFailed}},
		{"an item that depends on a skipped one is skipped", []Item{write(0), read(1, 0), read(1, 1)}, false, true, map[int]Outcome{0: NotRun},
			"[0]", []SkipReason{NotSkipped, DependencyFailed, DependencyFailed}},
		{"an item rejected in parsing counts as failed", []Item{{Answered: true}, read(0)}, true, false, nil, "", []SkipReason{NotSkipped, EarlierFailed}},
		{"items after a rejected one are sent if the batch continues on errors", []Item{{Answered: true}, read(0)}, true, true, nil, "[1]", nil},
	} {
		p, err := New(c.items, c.ordered, c.continueOnError, 8, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got := run(t, p, c.outcomes); got != c.rounds {
			t.Errorf("%s: sent %s, want %s", c.name, got, c.rounds)
		}
		for i, want := range c.skips {
			if got := p.Skipped(i); got != want {
				t.Errorf("%s: item %d has skip reason %d, want %d", c.name, i, got, want)
			}
		}
	}
}

func TestDependenciesMustPrecedeTheirItem(t *testing.T) {
	for _, items := range [][]Item{{read(0, 0)}, {read(0, 1), read(0)}, {read(0, -1)}} {
		if _, err := New(items, false, false, 1, time.Second); !errors.Is(err, ErrDependency) {
			t.Errorf("items %v: %v, want ErrDependency", items, err)
		}
	}
}

func TestReadsSeeEarlierWrites(t *testing.T) {
	p, _ := New([]Item{write(0), read(0), read(1), write(0), read(0)}, true, true, 8, 10*time.Second)
	next := func(want int, minPosition time.Duration) {
		t.Helper()
		if i, _, got, ok := p.Next(time.Second); !ok || i != want || got != minPosition {
			t.Fatalf("item %d is sent with the minimum position %v, want item %d with %v", i, got, want, minPosition)
		}
	}
	next(0, 0)
	p.Complete(0, OK, 700*ms, time.Second)
	next(1, 700*ms)
	next(2, 0) // of another group
	p.Complete(1, OK, 0, time.Second)
	p.Complete(2, OK, 0, time.Second)
	next(3, 700*ms)
	p.Complete(3, Uncertain, 0, 2*time.Second) // it may have committed as late as that
	next(4, 2*time.Second)
}

func TestRemainingTimeIsDivided(t *testing.T) {
	p, _ := New([]Item{write(0), write(0), write(0)}, true, true, 1, 300*ms)
	_, deadline, _, _ := p.Next(0)
	if deadline != 100*ms {
		t.Errorf("the first of three items has the deadline %v, want 100ms", deadline)
	}
	p.Complete(0, OK, 0, 150*ms)
	if _, deadline, _, _ = p.Next(150 * ms); deadline != 225*ms {
		t.Errorf("the second item has the deadline %v, want 225ms", deadline)
	}
	p.Complete(1, OK, 0, 300*ms)
	if _, _, _, ok := p.Next(300 * ms); ok || p.Skipped(2) != DeadlinePassed || !p.Done() {
		t.Error("the third item is not skipped after the deadline of the batch")
	}
}

// For any batch and any outcomes: each item must get exactly one outcome, none may be sent before its dependencies have succeeded or
// before an earlier write to its group has ended, and no more may be in flight than allowed.
func TestEveryBatchCompletes(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range rapid.IntRange(1, 12).Draw(t, "items") {
			item := Item{Write: rapid.Bool().Draw(t, "write"), Group: driver.Group(rapid.IntRange(0, 2).Draw(t, "group")), Expected: 100 * ms}
			if i > 0 && rapid.Bool().Draw(t, "needs") {
				item.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "need")}
			}
			item.Answered = rapid.IntRange(0, 9).Draw(t, "rejected in parsing") == 0
			items = append(items, item)
		}
		ordered, continueOnError, maxInFlight := rapid.Bool().Draw(t, "ordered"), rapid.Bool().Draw(t, "continue on error"), rapid.IntRange(1, 4).Draw(t, "abreast")
		p, err := New(items, ordered, continueOnError, maxInFlight, 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		var inFlight []int
		ended := make([]bool, len(items))
		ok := make([]bool, len(items))
		sent := make([]bool, len(items))
		for {
			i, deadline, _, more := p.Next(now)
			if !more {
				if len(inFlight) == 0 {
					break
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				i = inFlight[n]
				inFlight = slices.Delete(inFlight, n, n+1)
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "how"))
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "duration")) * ms
				ended[i], ok[i] = true, outcome == OK
				p.Complete(i, outcome, 0, now)
				continue
			}
			if sent[i] || items[i].Answered || deadline <= now || deadline > 2*time.Second || len(inFlight) >= maxInFlight {
				t.Fatalf("item %d is sent, %d are in flight, deadline %v at %v", i, len(inFlight), deadline, now)
			}
			for _, n := range items[i].DependsOn {
				if !ok[n] {
					t.Fatalf("item %d is sent although its dependency %d did not succeed", i, n)
				}
			}
			for j := range i {
				if (items[j].Write || items[i].Write) && items[j].Group == items[i].Group && sent[j] && !ended[j] {
					t.Fatalf("item %d is in flight together with %d", i, j)
				}
				if !continueOnError && ended[j] && !ok[j] {
					t.Fatalf("item %d is sent although the earlier item %d did not succeed", i, j)
				}
			}
			sent[i] = true
			inFlight = append(inFlight, i)
		}
		if !p.Done() {
			t.Fatalf("some items have no outcome: %+v", p)
		}
		for i := range items {
			if sent[i] == (p.Skipped(i) != NotSkipped || items[i].Answered) {
				t.Fatalf("item %d: sent %t, skip reason %d", i, sent[i], p.Skipped(i))
			}
		}
	})
}
