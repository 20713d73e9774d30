// Package decay weighs what was measured by its age: exponentially less the older it is.
package decay

import (
	"math"
	"time"
)

// Factor returns the weight of a value of this age, 1 for one that is not older than 0. It falls to 1/e in the time constant.
func Factor(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}

// Cache keeps the latest factor, for callers that need the same one several times in a row. Its zero value is empty.
type Cache struct {
	age    time.Duration
	factor float64 // 0: none yet
}

// Factor returns Factor(age, timeConstant). The time constant must be the same in all calls.
func (c *Cache) Factor(age, timeConstant time.Duration) float64 {
	if c.factor == 0 || c.age != age {
		c.age, c.factor = age, Factor(age, timeConstant)
	}
	return c.factor
}

// Sum is a sum of values, each weighed by its age. Its zero value is empty.
type Sum struct {
	value float64
	at    time.Duration // as of which value is weighed
}

// At returns the sum as it is now.
func (s Sum) At(now, timeConstant time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now-s.at)/float64(timeConstant))
}

// Add adds a value that was measured now.
func (s *Sum) Add(value float64, now, timeConstant time.Duration) {
	s.value, s.at = s.At(now, timeConstant)+value, now
}
