package quota

import (
	"testing"
	"time"

	"passtack/internal/proptest"
	"pgregory.net/rapid"
)

func newAllocator(weights ...float64) *Allocator {
	a := &Allocator{}
	for _, w := range weights {
		a.Add(Config{Weight: w})
	}
	return a
}

func TestOnlyListenerGetsAll(t *testing.T) {
	a := newAllocator(3)
	if got := a.Capacity(0, Connections, 625); got != 625 {
		t.Errorf("the only listener may use %d of 625", got)
	}
}

// Whatever the listeners request in whatever order, together they use no more than the total. A listener that becomes busy during a flood
// gets half of its share at once, and all of it once the borrowers have released their excess.
func TestFloodsLeaveTheOthersTheirShare(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(20, 2000).Draw(t, "total")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 5).Draw(t, "weights")
		a, used := newAllocator(weights...), make([]int, len(weights))
		now := time.Second
		use := func(i, n int) {
			used[i] = n
			a.SetUsage(i, Connections, n)
			sum := 0
			for _, u := range used {
				sum += u
			}
			if sum > total {
				t.Fatalf("%v are used of %d", used, total)
			}
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 999), 1, 60).Draw(t, "steps") {
			i, want := step%len(weights), step*total/999
			use(i, max(used[i], min(want, a.Capacity(i, Connections, total))))
		}
		late := rapid.IntRange(0, len(weights)-1).Draw(t, "late")
		use(late, 0)
		for i := range weights {
			if i != late {
				use(i, max(used[i], a.Capacity(i, Connections, total)))
			}
		}
		share := a.FairShare(late, Connections, total)
		if got := a.Capacity(late, Connections, total); got < share/2 {
			t.Fatalf("the late listener may use %d, its share is %d", got, share)
		}
		for range 50 * len(weights) { // the late listener takes what it may use, and the others release their excess
			use(late, min(share, max(used[late], a.Capacity(late, Connections, total))))
			a.ReportShortage(late, Connections, now)
			for i := range weights {
				use(i, used[i]-a.Excess(i, Connections, total, now))
			}
		}
		if used[late] < share {
			t.Fatalf("in the end the late listener uses %d of its share of %d: %v", used[late], share, used)
		}
		for i := range weights {
			if excess := a.Excess(i, Connections, total, now); excess > 0 {
				t.Fatalf("listener %d should still release %d", i, excess)
			}
		}
		if excess := a.Excess(late, Connections, total, now); excess != 0 {
			t.Fatalf("a listener with its share should release %d", excess)
		}
	})
}

func TestNoExcessWithoutAShortage(t *testing.T) {
	a := newAllocator(1, 1)
	a.SetUsage(0, Connections, 75)
	if got := a.Excess(0, Connections, 100, 0); got != 0 {
		t.Errorf("there is no shortage, yet %d should be released", got)
	}
	a.SetUsage(1, Connections, 25)
	a.ReportShortage(1, Connections, 0)
	if got := a.Excess(0, Connections, 100, shortageDuration/2); got != 25 {
		t.Errorf("25 are missing, %d should be released", got)
	}
	if got := a.Excess(0, Connections, 100, 2*shortageDuration); got != 0 {
		t.Errorf("the shortage is over, yet %d should be released", got)
	}
}

func TestLimitOfAListener(t *testing.T) {
	a := newAllocator(1, 1)
	a.Update(0, Config{Weight: 1, Limits: [resourceCount]int{RPCs: 10}})
	if own, other := a.Capacity(0, RPCs, 100), a.Capacity(1, RPCs, 100); own != 10 || other != 95 {
		t.Errorf("the listener limited to 10 may use %d, the other %d", own, other)
	}
}
