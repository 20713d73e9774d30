package lease

import (
	"maps"
	"math"
	"time"
)

// injectFault starts a random fault that ends after a random time.
func (s *simulation) injectFault() {
	pick := func() int { return s.random.Below(len(s.drivers)) }
	duration := time.Duration(math.Pow(10, 1+2.7*s.random.Float())) * ms // 10 ms to 5 s
	d := s.drivers[pick()]
	switch s.random.Below(9) {
	case 0, 1:
		if !d.running {
			return
		}
		storageOutcome := s.random.Below(3)
		s.recordEvent("driver %d is killed for %v, storage outcome %d (0 kept, 1 empty, 2 an older copy)", d.number, duration, storageOutcome)
		d.kill()
		switch {
		case d.storage == nil:
		case storageOutcome == 1:
			d.storage = make(map[string]Promise)
		case storageOutcome == 2 && d.olderStorage != nil:
			d.storage = maps.Clone(d.olderStorage)
		}
		d.olderStorage = maps.Clone(d.storage)
		s.after(duration, d.start)
	case 2:
		s.recordEvent("driver %d is paused for %v", d.number, duration)
		d.pausedUntil = s.now + duration
	case 3, 4:
		other := s.drivers[pick()]
		oneWay := s.random.Below(2) == 0
		s.recordEvent("the link from driver %d to %d is cut for %v, one way: %v", d.number, other.number, duration, oneWay)
		for _, link := range [][2]int{{d.number, other.number}, {other.number, d.number}} {
			if s.disconnected[link] = true; oneWay {
				break
			}
		}
		s.after(duration, func() {
			s.disconnected[[2]int{d.number, other.number}], s.disconnected[[2]int{other.number, d.number}] = false, false
		})
	case 5:
		partition := s.random.Below(1 << len(s.drivers))
		s.recordEvent("partition %b for %v", partition, duration)
		for i := range s.drivers {
			for j := range s.drivers {
				if partition>>i&1 != partition>>j&1 {
					s.disconnected[[2]int{i, j}] = true
				}
			}
		}
		s.after(duration, func() { clear(s.disconnected) })
	case 6:
		s.recordEvent("messages are lost, duplicated and delayed by up to 1.5 s for %v", duration)
		s.loss, s.duplication, s.maxDelay = 0.3, 0.3, 1500*ms
		s.after(duration, func() { s.loss, s.duplication, s.maxDelay = 0, 0, 5*ms })
	case 7:
		if s.random.Below(4) == 0 {
			s.recordEvent("all drivers are killed for %v", duration)
			for _, d := range s.drivers {
				if d.running {
					d.kill()
					s.after(duration, d.start)
				}
			}
		}
	case 8:
		if d.running {
			s.recordEvent("driver %d resigns", d.number)
			d.whenRunning(func() { d.candidate.Resign(d.clock()) })
			s.after(duration, func() { d.whenRunning(func() { d.candidate.Campaign(d.clock()) }) })
		}
	}
}

// runWithFaults injects faults at random times, one a second on average, and then runs without faults for the time
// quiet. It records a violation if no driver holds the lease then.
func (s *simulation) runWithFaults(faults int, quiet time.Duration) {
	for range faults {
		s.after(time.Duration(s.random.Float()*float64(time.Duration(faults)*time.Second)), s.injectFault)
	}
	end := s.now + time.Duration(faults)*time.Second + 6*time.Second
	s.run(end)
	s.loss, s.duplication, s.maxDelay = 0, 0, 5*ms
	clear(s.disconnected)
	for _, d := range s.drivers {
		d.whenRunning(func() { d.candidate.Campaign(d.clock()) })
	}
	s.run(end + quiet)
	for s.now < end+quiet+2*simulatedTTL { // a driver that was paused may have just lost the lease
		if s.holder() != nil {
			return
		}
		s.run(s.now + 20*ms)
	}
	s.recordViolation("%v after the last fault nobody holds the lease", quiet)
}
