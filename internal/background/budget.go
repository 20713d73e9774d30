package background

import "time"

// maxSavedBudget is the time for which a job may accumulate unused budget.
const maxSavedBudget = time.Second

// resources holds the fields of a Usage: nanoseconds, bytes, operations.
type resources [3]float64

func (u Usage) resources() resources {
	return resources{float64(u.Time), float64(u.Bytes), float64(u.Operations)}
}

// budget is a token bucket for each resource. The usage of a slice is only known after it has run, so a bucket may fall below 0. The
// job then waits until it is above 0 again.
type budget struct {
	perSecond resources // 0: unlimited
	left      resources // tokens
	filledAt  time.Duration
}

func newBudget(perSecond Usage, now time.Duration) budget {
	r := perSecond.resources()
	return budget{perSecond: r, left: r, filledAt: now}
}

// refill adds the tokens accrued since the last call.
func (b *budget) refill(now time.Duration) {
	seconds := float64(now-b.filledAt) / float64(time.Second)
	b.filledAt = now
	for i, rate := range b.perSecond {
		b.left[i] = min(b.left[i]+seconds*rate, rate*maxSavedBudget.Seconds())
	}
}

// exhausted reports whether a limited resource is used up.
func (b *budget) exhausted() bool {
	for i, rate := range b.perSecond {
		if rate > 0 && b.left[i] <= 0 {
			return true
		}
	}
	return false
}

func (b *budget) spend(used Usage) {
	for i, amount := range used.resources() {
		b.left[i] -= amount
	}
}
