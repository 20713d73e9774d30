package decay

import (
	"math"
	"testing"
	"time"
)

func near(got, want float64) bool { return math.Abs(got-want) < 1e-12 }

func TestFactorFallsToOneOverEInTheTimeConstant(t *testing.T) {
	var cached Cache
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{-time.Second, 1}, {0, 1}, {2 * time.Second, 1 / math.E}, {2 * time.Second, 1 / math.E}, {4 * time.Second, 1 / (math.E * math.E)}, {0, 1}} {
		if got := Factor(c.age, 2*time.Second); !near(got, c.want) {
			t.Errorf("Factor(%v) is %v, want %v", c.age, got, c.want)
		}
		if got := cached.Factor(c.age, 2*time.Second); got != Factor(c.age, 2*time.Second) {
			t.Errorf("cached factor of age %v is %v, not %v", c.age, got, Factor(c.age, 2*time.Second))
		}
	}
}

func TestSumWeighsEachValueByItsAge(t *testing.T) {
	var s Sum
	if got := s.At(time.Hour, time.Second); got != 0 {
		t.Errorf("an empty sum is %v", got)
	}
	s.Add(3, time.Second, time.Second)
	s.Add(5, 2*time.Second, time.Second)
	if got, want := s.At(4*time.Second, time.Second), 3*math.Exp(-3)+5*math.Exp(-2); !near(got, want) {
		t.Errorf("the sum is %v, want %v", got, want)
	}
}
