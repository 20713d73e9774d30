package comeback

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

const ms = time.Millisecond

// Many drivers start in one instant, and each wants far more connections to one member than it needs, at once. What the
// member has to do stays bounded by what it can do, and all come up in the end; without the window it would not be so.
func TestOpensOfManyDriversLeaveTheMemberRoom(t *testing.T) {
	const work, cores, each, drivers = 5 * ms, 4, 20, 100
	play := func(bounded bool) (longest, over time.Duration) {
		fleet, doors, wants := make([]Opens, drivers), make([]Door, drivers), make([]int, drivers)
		type handshake struct {
			driver int
			opened time.Duration
		}
		var queue []handshake
		for i := range fleet {
			fleet[i], wants[i] = NewOpens(250*ms), each
		}
		for now, left := time.Duration(0), drivers*each; left > 0 && now < time.Minute; now += work / cores { // one ends in each step
			for i := range fleet {
				for wants[i] > 0 && (!bounded || fleet[i].May(&doors[i])) {
					wants[i]--
					fleet[i].Opening(&doors[i])
					queue = append(queue, handshake{i, now})
				}
			}
			if len(queue) > 0 {
				h := queue[0]
				queue = queue[1:]
				longest = max(longest, now-h.opened)
				fleet[h.driver].Up(&doors[h.driver], now-h.opened, now)
				left--
			}
			over = now
		}
		return longest, over
	}
	longest, over := play(true)
	if without, _ := play(false); longest > 250*ms || without < 2*time.Second {
		t.Errorf("a handshake waits %v, without the window %v", longest, without)
	}
	if least := drivers * each * work / cores; over > least+least/10 {
		t.Errorf("all are up after %v, the member can do it in %v", over, least)
	}
}

// A driver alone, whose member is quick, is held up by a handful of handshakes only.
func TestOpensOfOneDriverGrow(t *testing.T) {
	o, d := NewOpens(250*ms), Door{}
	up, rounds := 0, 0
	for ; up < 64; rounds++ {
		n := 0
		for ; o.May(&d); n++ {
			o.Opening(&d)
		}
		for range n {
			o.Up(&d, 2*ms, time.Duration(rounds)*2*ms)
			up++
		}
	}
	if rounds > 8 {
		t.Errorf("64 connections took %d rounds of handshakes", rounds)
	}
}

// Whatever happens, what is counted as opening comes to nothing in the end, and one may always be opened then.
func TestOpensAlwaysLeaveOne(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		o, d, now, out := NewOpens(250*ms), Door{}, time.Duration(0), 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			took := min(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
			switch how := rapid.IntRange(0, 3).Draw(t, "what"); {
			case how <= 1 && o.May(&d):
				o.Opening(&d)
				out++
			case how == 2 && out > 0:
				o.Up(&d, took, now)
				out--
			case how == 3 && out > 0:
				o.Failed(&d, took, now)
				out--
			}
			if o.window < 1 || o.window > mostOpens {
				t.Fatalf("%v may be opened at once", o.window)
			}
		}
		for ; out > 0; out-- {
			o.Failed(&d, ms, now)
		}
		if !o.May(&d) {
			t.Fatal("no connection may be opened though none is coming up")
		}
	})
}
