package play

import (
	"slices"
	"time"
)

func endsDriver(f Fault) bool { return f.Kind == "driver_kill" || f.Kind == "driver_stop" }

// LastDriverStart returns when the last driver that the script ends starts again; 0: it ends none.
func (s *Script) LastDriverStart() (last time.Duration) {
	last = s.removedStart
	for _, f := range s.Faults {
		if endsDriver(f) {
			last = max(last, f.At+f.Duration+f.Within)
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
		if f := &s.Faults[i]; endsDriver(*f) {
			f.Duration, from = down, max(from, f.At)
		}
	}
	s.Duration = s.LastDriverStart() + observedAfter
	if down > longDowntime {
		s.LoadChanges = append(s.LoadChanges, LoadChange{from + longDowntime/4, s.LastDriverStart() - longDowntime/4, downtimeLoad})
	}
}

// RemoveDriverEnds removes all faults that end drivers. LastDriverStart still returns when the last would have started
// again.
func (s *Script) RemoveDriverEnds() {
	s.removedStart = s.LastDriverStart()
	s.Faults = slices.DeleteFunc(s.Faults, endsDriver)
}
