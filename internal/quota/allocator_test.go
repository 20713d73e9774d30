package quota

import (
	"testing"
	"time"

	"passtack/internal/seeded"
	"pgregory.net/rapid"
)

func of(weights ...float64) *Allocator {
	s := &Allocator{}
	for _, w := range weights {
		s.Add(Config{Weight: w})
	}
	return s
}

func TestOneListenerHasAll(t *testing.T) {
	s := of(3)
	if got := s.Capacity(0, Connections, 625); got != 625 {
		t.Errorf("the only listener may hold %d of 625", got)
	}
}

// Whatever the listeners ask for and in whatever order, together they hold no more than there is; and one that comes
// late to a flood finds half of its part at once, and all of it once the borrowers have let go.
func TestFloodsLeaveTheOthersTheirPart(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(20, 2000).Draw(t, "most")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 5).Draw(t, "weights")
		s, held := of(weights...), make([]int, len(weights))
		now := time.Second
		hold := func(i, n int) {
			held[i] = n
			s.SetUsage(i, Connections, n)
			sum := 0
			for _, h := range held {
				sum += h
			}
			if sum > most {
				t.Fatalf("%v are held of %d", held, most)
			}
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 999), 1, 60).Draw(t, "steps") {
			i, want := step%len(weights), step*most/999
			hold(i, max(held[i], min(want, s.Capacity(i, Connections, most))))
		}
		late := rapid.IntRange(0, len(weights)-1).Draw(t, "late")
		hold(late, 0)
		for i := range weights {
			if i != late {
				hold(i, max(held[i], s.Capacity(i, Connections, most)))
			}
		}
		part := s.FairShare(late, Connections, most)
		if got := s.Capacity(late, Connections, most); got < part/2 {
			t.Fatalf("who comes late finds %d, its part is %d", got, part)
		}
		for range 50 * len(weights) { // it takes what it finds, and the others are asked
			hold(late, min(part, max(held[late], s.Capacity(late, Connections, most))))
			s.ReportShortage(late, Connections, now)
			for i := range weights {
				hold(i, held[i]-s.Excess(i, Connections, most, now))
			}
		}
		if held[late] < part {
			t.Fatalf("in the end it holds %d of its part of %d: %v", held[late], part, held)
		}
		for i := range weights {
			if over := s.Excess(i, Connections, most, now); over > 0 {
				t.Fatalf("listener %d should still let go of %d", i, over)
			}
		}
		if over := s.Excess(late, Connections, most, now); over != 0 {
			t.Fatalf("who has its part should let go of %d", over)
		}
	})
}

func TestNobodyLetsGoUnlessSomebodyWants(t *testing.T) {
	s := of(1, 1)
	s.SetUsage(0, Connections, 75)
	if got := s.Excess(0, Connections, 100, 0); got != 0 {
		t.Errorf("nobody wants any, yet %d should go", got)
	}
	s.SetUsage(1, Connections, 25)
	s.ReportShortage(1, Connections, 0)
	if got := s.Excess(0, Connections, 100, shortageDuration/2); got != 25 {
		t.Errorf("25 are wanted, %d should go", got)
	}
	if got := s.Excess(0, Connections, 100, 2*shortageDuration); got != 0 {
		t.Errorf("nobody has wanted any for long, yet %d should go", got)
	}
}

func TestALimitOfItsOwn(t *testing.T) {
	s := of(1, 1)
	s.Update(0, Config{Weight: 1, Limits: [resourceCount]int{RPCs: 10}})
	if own, other := s.Capacity(0, RPCs, 100), s.Capacity(1, RPCs, 100); own != 10 || other != 95 {
		t.Errorf("the one limited to 10 may hold %d, the other %d", own, other)
	}
}
