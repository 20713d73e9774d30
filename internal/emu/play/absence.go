package play

import (
	"slices"
	"time"
)

func endsDrivers(t Trouble) bool { return t.Kind == "driver_kill" || t.Kind == "driver_stop" }

// Return tells when the last driver that the script ends is to start again; 0: it ends none.
func (s *Script) Return() (last time.Duration) {
	last = s.spared
	for _, t := range s.Troubles {
		if endsDrivers(t) {
			last = max(last, t.At+t.Lasts+t.Within)
		}
	}
	return last
}

const (
	quietAfter = 2 * time.Second // drivers that are away for longer are so almost without load
	almostNone = 0.001           // times the load
	seen       = 12 * time.Second
)

// Absent lets the drivers that the script ends stay away for so long. The script goes on for some seconds after that.
func (s *Script) Absent(down time.Duration) {
	from := time.Duration(0)
	for i := range s.Troubles {
		if t := &s.Troubles[i]; endsDrivers(*t) {
			t.Lasts, from = down, max(from, t.At)
		}
	}
	s.Lasts = s.Return() + seen
	if down > quietAfter {
		s.Surges = append(s.Surges, Surge{from + quietAfter/4, s.Return() - quietAfter/4, almostNone})
	}
}

// Spare lets no driver end. Return still tells when the last would be back.
func (s *Script) Spare() {
	s.spared = s.Return()
	s.Troubles = slices.DeleteFunc(s.Troubles, endsDrivers)
}
