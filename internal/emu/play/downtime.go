package play

import (
	"slices"
	"time"
)

func endsDriver(t Fault) bool { return t.Kind == "driver_kill" || t.Kind == "driver_stop" }

// LastDriverStart returns when the last driver that the script ends starts again; 0: it ends none.
func (s *Script) LastDriverStart() (last time.Duration) {
	last = s.removedStart
	for _, t := range s.Faults {
		if endsDriver(t) {
			last = max(last, t.At+t.Lasts+t.Within)
		}
	}
	return last
}

const (
	longDowntime  = 2 * time.Second // a longer downtime is played almost without load
	downtimeLoad  = 0.001           // factor on the rate
	observedAfter = 12 * time.Second
)

// SetDowntime sets how long the drivers that the script ends stay down. The script goes on for observedAfter after the
// last restart.
func (s *Script) SetDowntime(down time.Duration) {
	from := time.Duration(0)
	for i := range s.Faults {
		if t := &s.Faults[i]; endsDriver(*t) {
			t.Lasts, from = down, max(from, t.At)
		}
	}
	s.Lasts = s.LastDriverStart() + observedAfter
	if down > longDowntime {
		s.Surges = append(s.Surges, Surge{from + longDowntime/4, s.LastDriverStart() - longDowntime/4, downtimeLoad})
	}
}

// RemoveDriverEnds removes all faults that end drivers. LastDriverStart still returns when the last would have started
// again.
func (s *Script) RemoveDriverEnds() {
	s.removedStart = s.LastDriverStart()
	s.Faults = slices.DeleteFunc(s.Faults, endsDriver)
}
