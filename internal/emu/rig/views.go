package rig

import (
	"slices"
	"sync"
	"time"

	"passtack/internal/control"
	"passtack/internal/emu/play"
	"passtack/internal/node"
)

// viewers ask all drivers again and again how they see their fleet.
type viewers struct {
	began   time.Time
	end     chan struct{}
	all     sync.WaitGroup
	mutex   sync.Mutex
	samples []play.ViewSample
}

const viewing = 100 * time.Millisecond // between two questions to one driver

func (f *fleet) watchViews() *viewers {
	v := &viewers{began: time.Now(), end: make(chan struct{})}
	if f.script.View == 0 {
		return v
	}
	for _, d := range f.drivers {
		at := f.places[d.number].Control.String()
		v.all.Go(func() {
			for {
				select {
				case <-v.end:
					return
				case <-time.After(viewing):
				}
				var s node.FleetStatus
				if control.Query(at, "fleet", &s) != nil {
					continue // it is down, or stands still
				}
				sample := play.ViewSample{At: time.Since(v.began), Driver: d.number, Is: make(map[string]string)}
				for _, k := range s.Drivers {
					sample.Is[k.Name] = k.Status
				}
				v.mutex.Lock()
				v.samples = append(v.samples, sample)
				v.mutex.Unlock()
			}
		})
	}
	return v
}

// over ends the questions and gives what was told.
func (v *viewers) over() []play.ViewSample {
	close(v.end)
	v.all.Wait()
	slices.SortFunc(v.samples, func(a, b play.ViewSample) int { return int(a.At - b.At) })
	return v.samples
}
