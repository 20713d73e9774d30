package rules

import (
	"math"
	"time"
)

const (
	latencyDecayTime = 3 * time.Second // in which a latency that was not seen again loses its meaning
	maxSampleRatio   = 3               // times the predicted latency: more counts no more
	sampleWeight     = 0.1             // weight of the newest latency
)

func (r *Router) recordLatency(meth *method, m *member, took time.Duration) {
	now := r.host.Now()
	if r.resumedAt == now {
		return
	}
	took = min(took, time.Duration(maxSampleRatio*m.ratio*float64(meth.typical)))
	part := float64(took) / float64(meth.typical)
	r.sampleInterval += time.Duration(sampleWeight / 2 * float64(now-r.paceSampledAt-r.sampleInterval))
	r.pace, r.paceSampledAt = r.pace+max(sampleWeight/2, 1-decayFactor(now-r.paceSampledAt))*(part/max(m.ratio, 1)-r.pace), now
	meth.typical += time.Duration(sampleWeight / 2 * (float64(took)/max(m.ratio, 1) - float64(meth.typical)))
	meth.typical, meth.typicalAt = max(meth.typical, time.Millisecond), now
	weight := max(sampleWeight, (1-decayFactor(now-m.sampledAt))/2)
	m.ratio, m.sampledAt = max(0.2, m.ratio+weight*(part-m.ratio)), now
}

// predict tells how long the method would take at the member, fuller now or emptier than it was.
func (r *Router) predictLatency(m *member, meth *method) time.Duration {
	return r.predictLatencyAt(meth, r.slowdown(m, r.host.Now()), r.host.Now())
}

func (r *Router) predictLatencyAt(meth *method, slowness float64, now time.Duration) time.Duration {
	pace := 1 + (r.pace-1)*r.paceDecay.factor(now-r.paceSampledAt)
	return time.Duration(float64(meth.typical) * pace * meth.typicalDecay.factor(now-meth.typicalAt-latencyDecayTime) * slowness)
}

func (r *Router) slowdown(m *member, now time.Duration) float64 {
	return r.latencyRatio(m, now) * (float64(m.inFlight.Count()) + 1) / (m.typicalDepth + 1)
}

// usually is the member's ratio, of which an old one fades into 1, more slowly where members are met seldom:
// the longest unseen would look best otherwise, and no jam would show.
func (r *Router) latencyRatio(m *member, now time.Duration) float64 {
	longer := max(1, float64(2*len(r.memberList))*r.sampleInterval.Seconds()/latencyDecayTime.Seconds())
	return 1 + (m.ratio-1)*m.ratioDecay.factor(time.Duration(float64(now-m.sampledAt)/longer))
}

// faded is what is left of an old latency: without it a small driver sheds for good after a short jam.
func decayFactor(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(latencyDecayTime))
}

// fade keeps what is left at the age that was asked for last: one RPC asks for the same several times.
type decayCache struct {
	age  time.Duration
	left float64 // 0: not yet asked for
}

func (f *decayCache) factor(age time.Duration) float64 {
	if f.left == 0 || f.age != age {
		f.age, f.left = age, decayFactor(age)
	}
	return f.left
}
