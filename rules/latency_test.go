package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

func TestTimeoutsRaisePredictionButOneOutlierDoesNot(t *testing.T) {
	c := newSettledCluster(t, "wait")
	m, meth := c.router.members[c.ids[4]], c.router.methods[0]
	m.latency.ratio, meth.typical.value, m.latency.sampledAt, meth.typical.sampledAt = 1, 80*ms, c.now, c.now
	for n := range 9 {
		c.router.recordOutcome(&rpc{method: meth}, &attempt{member: m}, driver.TimedOut, false, 3*time.Second, c.now)
		if got := c.router.predictLatency(m, meth); n == 0 && got > 150*ms || n == 8 && got < 300*ms {
			t.Fatalf("predicted %v after %d attempts of 3 s without an answer", got, n+1)
		}
	}
	if c.advance(10 * time.Second); c.router.predictLatency(m, meth) > 50*ms || c.router.latencyRatio(m, c.now) < 0.9 {
		t.Fatalf("predicted %v, ratio %v ten seconds on", c.router.predictLatency(m, meth), c.router.latencyRatio(m, c.now))
	}
	if meth.typical.value = ms; c.router.requiredTime(m, meth, meth.Utility) > c.router.predictLatency(m, meth) {
		t.Fatal("a margin is required of the most useful method at an idle member")
	}
	for i := range 4000 { // rare samples make members look fast or slow by random, which must not raise the typical latency
		c.now += 300 * ms
		c.router.recordLatency(meth, c.router.memberList[i%8], time.Duration(c.random.Below(200))*ms)
	}
	if meth.typical.value > 120*ms {
		t.Fatalf("the typical latency is %v, the mean 100 ms", meth.typical.value)
	}
}
