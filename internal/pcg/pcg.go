// Package pcg is a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 out).
package pcg

import "math/bits"

// Source is one stream of random numbers; equal seeds give equal streams.
type Source struct{ state uint64 }

const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// New returns a stream that is determined by its seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + increment}
	s.Uint32()
	return s
}

// Uint32 returns the next 32 random bits.
func (s *Source) Uint32() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Below gives a number from 0 to n-1.
func (s *Source) Below(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }

// Float gives a number in [0, 1).
func (s *Source) Float() float64 { return float64(s.Uint32()) / (1 << 32) }
