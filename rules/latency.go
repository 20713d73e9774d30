package rules

import (
	"math"
	"time"
)

const (
	fading    = 3 * time.Second // in which a latency that was not seen again loses its meaning
	outlier   = 3               // times the predicted latency: more counts no more
	smoothing = 0.1             // weight of the newest latency
)

func (r *Router) latency(meth *method, m *member, took time.Duration) {
	now := r.host.Now()
	if r.halted == now {
		return
	}
	took = min(took, time.Duration(outlier*m.ratio*float64(meth.usual)))
	part := float64(took) / float64(meth.usual)
	r.every += time.Duration(smoothing / 2 * float64(now-r.paced-r.every))
	r.pace, r.paced = r.pace+max(smoothing/2, 1-faded(now-r.paced))*(part/max(m.ratio, 1)-r.pace), now
	meth.usual += time.Duration(smoothing / 2 * (float64(took)/max(m.ratio, 1) - float64(meth.usual)))
	meth.usual, meth.timedAt = max(meth.usual, time.Millisecond), now
	weight := max(smoothing, (1-faded(now-m.timedAt))/2)
	m.ratio, m.timedAt = max(0.2, m.ratio+weight*(part-m.ratio)), now
}

// predict tells how long the method would take at the member, fuller now or emptier than it was.
func (r *Router) predict(m *member, meth *method) time.Duration {
	return r.predictAt(meth, r.slowness(m, r.host.Now()), r.host.Now())
}

func (r *Router) predictAt(meth *method, slowness float64, now time.Duration) time.Duration {
	pace := 1 + (r.pace-1)*r.fades.of(now-r.paced)
	return time.Duration(float64(meth.usual) * pace * meth.fades.of(now-meth.timedAt-fading) * slowness)
}

func (r *Router) slowness(m *member, now time.Duration) float64 {
	return r.usually(m, now) * (float64(m.out.Count()) + 1) / (m.depth + 1)
}

// usually is the member's ratio, of which an old one fades into 1, more slowly where members are met seldom:
// the longest unseen would look best otherwise, and no jam would show.
func (r *Router) usually(m *member, now time.Duration) float64 {
	longer := max(1, float64(2*len(r.all))*r.every.Seconds()/fading.Seconds())
	return 1 + (m.ratio-1)*m.fades.of(time.Duration(float64(now-m.timedAt)/longer))
}

// faded is what is left of an old latency: without it a small driver sheds for good after a short jam.
func faded(age time.Duration) float64 { return math.Exp(-float64(max(age, 0)) / float64(fading)) }

// fade keeps what is left at the age that was asked for last: one RPC asks for the same several times.
type fade struct {
	age  time.Duration
	left float64 // 0: not yet asked for
}

func (f *fade) of(age time.Duration) float64 {
	if f.left == 0 || f.age != age {
		f.age, f.left = age, faded(age)
	}
	return f.left
}
