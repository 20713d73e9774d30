// Package pcg implements a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 bits of output).
package pcg

import "math/bits"

// Source generates a stream of pseudo-random numbers that is determined by its seed.
type Source struct{ state uint64 }

const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// New returns a source with the given seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + increment}
	s.Uint32()
	return s
}

// Uint32 returns the next 32 pseudo-random bits.
func (s *Source) Uint32() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Below returns a pseudo-random number in [0, n).
func (s *Source) Below(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }

// Float returns a pseudo-random number in [0, 1).
func (s *Source) Float() float64 { return float64(s.Uint32()) / (1 << 32) }
