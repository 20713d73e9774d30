package rules

import (
	"time"

	"passtack/internal/decay"
)

const (
	latencyDecayTime  = 3 * time.Second  // time constant with which a measured latency loses weight until the next sample
	maxSampleRatio    = 3                // a sample counts for at most this many times the expected latency
	sampleWeight      = 0.1              // minimum weight of the newest sample in a member's estimate; half of it in estimates over all members
	minTypicalLatency = time.Millisecond // lower bound for a method
	minLatencyRatio   = 0.2              // lower bound for a member
)

// latencyEstimate relates a member's latencies to the typical ones.
type latencyEstimate struct {
	ratio     float64 // member's latency / typical latency
	depth     float64 // attempts in flight at the member when its samples were sent, smoothed
	sampledAt time.Duration
	decay     decay.Cache
}

// typicalLatency is the latency of a method at a typical member.
type typicalLatency struct {
	value, sampledAt time.Duration
	decay            decay.Cache
}

// paceEstimate relates the latest latencies of all methods to the typical ones.
type paceEstimate struct {
	value               float64       // latest latencies / typical latencies
	interval, sampledAt time.Duration // interval: between samples, smoothed
	decay               decay.Cache
}

// recordLatency learns from the duration of an attempt. Samples at the end of a pause of the driver are ignored, as they include the pause.
func (r *Router) recordLatency(meth *method, m *member, took time.Duration) {
	now, typical, pace, latency := r.host.Now(), &meth.typical, &r.pace, &m.latency
	if r.ticks.resumedAt == now {
		return
	}
	took = min(took, time.Duration(maxSampleRatio*latency.ratio*float64(typical.value)))
	ratio := float64(took) / float64(typical.value)
	pace.interval += time.Duration(sampleWeight / 2 * float64(now-pace.sampledAt-pace.interval))
	paceWeight := max(sampleWeight/2, 1-decay.Factor(now-pace.sampledAt, latencyDecayTime))
	pace.value, pace.sampledAt = pace.value+paceWeight*(ratio/max(latency.ratio, 1)-pace.value), now
	typical.value += time.Duration(sampleWeight / 2 * (float64(took)/max(latency.ratio, 1) - float64(typical.value)))
	typical.value, typical.sampledAt = max(typical.value, minTypicalLatency), now
	weight := max(sampleWeight, (1-decay.Factor(now-latency.sampledAt, latencyDecayTime))/2)
	latency.ratio, latency.sampledAt = max(minLatencyRatio, latency.ratio+weight*(ratio-latency.ratio)), now
}

// predictLatency predicts how long the method would take at the member with the attempts that are in flight there now.
func (r *Router) predictLatency(m *member, meth *method) time.Duration {
	return r.predictLatencyAt(meth, r.slowdown(m, r.host.Now()), r.host.Now())
}

// predictLatencyAt predicts how long the method would take at a member with this slowdown.
func (r *Router) predictLatencyAt(meth *method, slowdown float64, now time.Duration) time.Duration {
	pace := 1 + (r.pace.value-1)*r.pace.decay.Factor(now-r.pace.sampledAt, latencyDecayTime)
	methodDecay := meth.typical.decay.Factor(now-meth.typical.sampledAt-latencyDecayTime, latencyDecayTime)
	return time.Duration(float64(meth.typical.value) * pace * methodDecay * slowdown)
}

// slowdown returns the member's expected latency / typical latency with the attempts that are in flight there now.
func (r *Router) slowdown(m *member, now time.Duration) float64 {
	return r.latencyRatio(m, now) * (float64(m.inFlight.Len()) + 1) / (m.latency.depth + 1)
}

// latencyRatio returns the member's ratio. It decays to 1, more slowly where samples are rare; otherwise the member that has been unused for
// longest would look best.
func (r *Router) latencyRatio(m *member, now time.Duration) float64 {
	stretch := max(1, float64(2*len(r.memberList))*r.pace.interval.Seconds()/latencyDecayTime.Seconds())
	return 1 + (m.latency.ratio-1)*m.latency.decay.Factor(time.Duration(float64(now-m.latency.sampledAt)/stretch), latencyDecayTime)
}

// TypicalLatencies returns the methods' typical latencies, after restoring those of a previous process if one is given for each.
func (r *Router) TypicalLatencies(restored ...time.Duration) (all []time.Duration) {
	for i, meth := range r.methods {
		if len(restored) == len(r.methods) {
			meth.typical.value = max(restored[i], minTypicalLatency)
		}
		all = append(all, meth.typical.value)
	}
	return all
}
