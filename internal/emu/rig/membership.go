package rig

import (
	"slices"
	"sync"
	"time"

	"passtack/internal/control"
	"passtack/internal/emu/play"
	"passtack/internal/node"
)

// membershipPoller polls the membership lists of all drivers while a play runs.
type membershipPoller struct {
	startedAt time.Time
	stop      chan struct{}
	pollers   sync.WaitGroup
	mutex     sync.Mutex
	samples   []play.ViewSample
}

const membershipPollInterval = 100 * time.Millisecond // between two queries to the same driver

func (f *fleet) pollMembership() *membershipPoller {
	v := &membershipPoller{startedAt: time.Now(), stop: make(chan struct{})}
	if f.script.View == 0 {
		return v
	}
	for _, d := range f.drivers {
		address := f.operatorParams[d.number].Control.String()
		v.pollers.Go(func() {
			for {
				select {
				case <-v.stop:
					return
				case <-time.After(membershipPollInterval):
				}
				var s node.FleetStatus
				if control.Query(address, "fleet", &s) != nil {
					continue // the driver is down or paused
				}
				sample := play.ViewSample{At: time.Since(v.startedAt), Driver: d.number, Is: make(map[string]string)}
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

// finish stops polling and returns the samples in order of time.
func (v *membershipPoller) finish() []play.ViewSample {
	close(v.stop)
	v.pollers.Wait()
	slices.SortFunc(v.samples, func(a, b play.ViewSample) int { return int(a.At - b.At) })
	return v.samples
}
