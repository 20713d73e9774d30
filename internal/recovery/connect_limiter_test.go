package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/seeded"
)

const ms = time.Millisecond

// Many drivers start at once, and each opens far more connections to one member than it needs. No handshake waits beyond the
// connect timeout at the member, and all connections come up about as fast as the member can do handshakes. Without the
// window handshakes wait for seconds.
func TestManyDriversThatStartTogetherDoNotOverloadAMember(t *testing.T) {
	const handshakeTime, cores, perDriver, drivers = 5 * ms, 4, 20, 100
	simulate := func(bounded bool) (longest, over time.Duration) {
		limiters, members, missing := make([]ConnectLimiter, drivers), make([]MemberConnections, drivers), make([]int, drivers)
		type handshake struct {
			driver int
			opened time.Duration
		}
		var queue []handshake
		for i := range limiters {
			limiters[i], missing[i] = NewConnectLimiter(250*ms), perDriver
		}
		for now, left := time.Duration(0), drivers*perDriver; left > 0 && now < time.Minute; now += handshakeTime / cores { // one ends in each step
			for i := range limiters {
				for missing[i] > 0 && (!bounded || limiters[i].MayConnect(&members[i])) {
					missing[i]--
					limiters[i].Started(&members[i])
					queue = append(queue, handshake{i, now})
				}
			}
			if len(queue) > 0 {
				h := queue[0]
				queue = queue[1:]
				longest = max(longest, now-h.opened)
				limiters[h.driver].Established(&members[h.driver], now-h.opened, now)
				left--
			}
			over = now
		}
		return longest, over
	}
	longest, over := simulate(true)
	if without, _ := simulate(false); longest > 250*ms || without < 2*time.Second {
		t.Errorf("a handshake waits %v, without the window %v", longest, without)
	}
	if least := drivers * perDriver * handshakeTime / cores; over > least+least/10 {
		t.Errorf("all are up after %v, the member can do it in %v", over, least)
	}
}

// A single driver with a quick member needs only a few rounds of handshakes to open many connections.
func TestTheWindowOfOneDriverGrowsQuickly(t *testing.T) {
	o, d := NewConnectLimiter(250*ms), MemberConnections{}
	up, rounds := 0, 0
	for ; up < 64; rounds++ {
		n := 0
		for ; o.MayConnect(&d); n++ {
			o.Started(&d)
		}
		for range n {
			o.Established(&d, 2*ms, time.Duration(rounds)*2*ms)
			up++
		}
	}
	if rounds > 8 {
		t.Errorf("64 connections took %d rounds of handshakes", rounds)
	}
}

// Whatever happens, no connection counts as pending once all have come up or failed, and one may be opened then.
func TestOneConnectionMayAlwaysBeOpened(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		o, d, now, out := NewConnectLimiter(250*ms), MemberConnections{}, time.Duration(0), 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			took := min(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
			switch how := rapid.IntRange(0, 3).Draw(t, "what"); {
			case how <= 1 && o.MayConnect(&d):
				o.Started(&d)
				out++
			case how == 2 && out > 0:
				o.Established(&d, took, now)
				out--
			case how == 3 && out > 0:
				o.Failed(&d, took, now)
				out--
			}
			if o.window < 1 || o.window > maxWindow {
				t.Fatalf("%v may be opened at once", o.window)
			}
		}
		for ; out > 0; out-- {
			o.Failed(&d, ms, now)
		}
		if !o.MayConnect(&d) {
			t.Fatal("no connection may be opened though none is coming up")
		}
	})
}
