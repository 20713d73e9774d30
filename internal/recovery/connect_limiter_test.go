package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/internal/proptest"
)

const ms = time.Millisecond

// Many drivers start at once, and each opens far more connections to one member than it needs. Without the window, handshakes wait
// at the member for seconds. With it, none may wait longer than the connect timeout, and all connections must be established about as
// fast as the member can do handshakes.
func TestManyDriversThatStartTogetherDoNotOverloadAMember(t *testing.T) {
	const handshakeTime, cores, perDriver, drivers = 5 * ms, 4, 20, 100
	simulate := func(bounded bool) (longestWait, finishedAt time.Duration) {
		limiters, members, missing := make([]ConnectLimiter, drivers), make([]MemberConnections, drivers), make([]int, drivers)
		type handshake struct {
			driver int
			opened time.Duration
		}
		var queue []handshake
		for i := range limiters {
			limiters[i], missing[i] = NewConnectLimiter(250*ms), perDriver
		}
		for now, left := time.Duration(0), drivers*perDriver; left > 0 && now < time.Minute; now += handshakeTime / cores { // one handshake ends in each step
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
				longestWait = max(longestWait, now-h.opened)
				limiters[h.driver].Established(&members[h.driver], now-h.opened, now)
				left--
			}
			finishedAt = now
		}
		return longestWait, finishedAt
	}
	longestWait, finishedAt := simulate(true)
	if without, _ := simulate(false); longestWait > 250*ms || without < 2*time.Second {
		t.Errorf("a handshake waits %v, without the window %v", longestWait, without)
	}
	if least := drivers * perDriver * handshakeTime / cores; finishedAt > least+least/10 {
		t.Errorf("all connections are established after %v, the member can do the handshakes in %v", finishedAt, least)
	}
}

// A single driver must need only a few rounds of handshakes to open many connections to a fast member.
func TestWindowOfOneDriverGrowsQuickly(t *testing.T) {
	limiter, member := NewConnectLimiter(250*ms), MemberConnections{}
	established, rounds := 0, 0
	for ; established < 64; rounds++ {
		n := 0
		for ; limiter.MayConnect(&member); n++ {
			limiter.Started(&member)
		}
		for range n {
			limiter.Established(&member, 2*ms, time.Duration(rounds)*2*ms)
			established++
		}
	}
	if rounds > 8 {
		t.Errorf("64 connections took %d rounds of handshakes", rounds)
	}
}

// After any sequence of events, once every connection was established or has failed, none may count as pending and another may be
// opened.
func TestOneConnectionMayAlwaysBeOpened(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		limiter, member, now, pending := NewConnectLimiter(250*ms), MemberConnections{}, time.Duration(0), 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			took := min(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
			switch event := rapid.IntRange(0, 3).Draw(t, "what"); {
			case event <= 1 && limiter.MayConnect(&member):
				limiter.Started(&member)
				pending++
			case event == 2 && pending > 0:
				limiter.Established(&member, took, now)
				pending--
			case event == 3 && pending > 0:
				limiter.Failed(&member, took, now)
				pending--
			}
			if limiter.window < 1 || limiter.window > maxWindow {
				t.Fatalf("the window is %v", limiter.window)
			}
		}
		for ; pending > 0; pending-- {
			limiter.Failed(&member, ms, now)
		}
		if !limiter.MayConnect(&member) {
			t.Fatal("no connection may be opened although none is pending")
		}
	})
}
