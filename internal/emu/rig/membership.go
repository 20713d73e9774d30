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
	p := &membershipPoller{startedAt: time.Now(), stop: make(chan struct{})}
	if f.script.View == 0 {
		return p
	}
	for _, d := range f.drivers {
		address := f.operatorParams[d.number].Control.String()
		p.pollers.Go(func() {
			for {
				select {
				case <-p.stop:
					return
				case <-time.After(membershipPollInterval):
				}
				var s node.FleetStatus
				if control.Query(address, "fleet", &s) != nil {
					continue // the driver is down or paused
				}
				sample := play.ViewSample{At: time.Since(p.startedAt), Driver: d.number, Statuses: make(map[string]string)}
				for _, k := range s.Drivers {
					sample.Statuses[k.Name] = k.Status
				}
				p.mutex.Lock()
				p.samples = append(p.samples, sample)
				p.mutex.Unlock()
			}
		})
	}
	return p
}

// finish stops polling and returns the samples in order of time.
func (p *membershipPoller) finish() []play.ViewSample {
	close(p.stop)
	p.pollers.Wait()
	slices.SortFunc(p.samples, func(a, b play.ViewSample) int { return int(a.At - b.At) })
	return p.samples
}
