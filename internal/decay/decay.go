// Package decay weights measured values by their age, with exponential decay.
package decay

import (
	"math"
	"time"
)

// Factor returns the weight of a value of this age: 1 at age 0 or less, 1/e at the time constant.
func Factor(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}

// Cache caches the latest factor, for callers that need the same one several times in a row. Its zero value is empty.
type Cache struct {
	age    time.Duration
	factor float64 // 0: nothing cached
}

// Factor returns Factor(age, timeConstant). The time constant must be the same in all calls.
func (c *Cache) Factor(age, timeConstant time.Duration) float64 {
	if c.factor == 0 || c.age != age {
		c.age, c.factor = age, Factor(age, timeConstant)
	}
	return c.factor
}

// Sum is a sum of values, each weighted by its age. Its zero value is empty.
type Sum struct {
	value float64
	at    time.Duration // time as of which value is weighted
}

// At returns the sum with the weights as of now.
func (s Sum) At(now, timeConstant time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now-s.at)/float64(timeConstant))
}

// Add adds a value measured at now.
func (s *Sum) Add(value float64, now, timeConstant time.Duration) {
	s.value, s.at = s.At(now, timeConstant)+value, now
}
