package lease

import (
	"maps"
	"math"
	"time"
)

// injectFault lets a random fault begin, and end after a random time.
func (s *simulation) injectFault() {
	pick := func() int { return s.random.Below(len(s.drivers)) }
	duration := time.Duration(math.Pow(10, 1+2.7*s.random.Float())) * ms // 10 ms to 5 s
	d := s.drivers[pick()]
	switch s.random.Below(9) {
	case 0, 1:
		if !d.running {
			return
		}
		storageFate := s.random.Below(3)
		s.note("driver %d is killed for %v, its storage fate is %d", d.number, duration, storageFate)
		d.kill()
		switch {
		case d.storage == nil:
		case storageFate == 1:
			d.storage = make(map[string]Promise)
		case storageFate == 2 && d.olderStorage != nil:
			d.storage = maps.Clone(d.olderStorage)
		}
		d.olderStorage = maps.Clone(d.storage)
		s.after(duration, d.start)
	case 2:
		s.note("driver %d is paused for %v", d.number, duration)
		d.pausedUntil = s.now + duration
	case 3, 4:
		other := s.drivers[pick()]
		oneWay := s.random.Below(2) == 0
		s.note("%d to %d is cut for %v, one way: %v", d.number, other.number, duration, oneWay)
		for _, link := range [][2]int{{d.number, other.number}, {other.number, d.number}} {
			if s.disconnected[link] = true; oneWay {
				break
			}
		}
		s.after(duration, func() {
			s.disconnected[[2]int{d.number, other.number}], s.disconnected[[2]int{other.number, d.number}] = false, false
		})
	case 5:
		island := s.random.Below(1 << len(s.drivers))
		s.note("a partition %b for %v", island, duration)
		for i := range s.drivers {
			for j := range s.drivers {
				if island>>i&1 != island>>j&1 {
					s.disconnected[[2]int{i, j}] = true
				}
			}
		}
		s.after(duration, func() { clear(s.disconnected) })
	case 6:
		s.note("messages are lost, duplicated and delayed for %v", duration)
		s.loss, s.duplication, s.maxDelay = 0.3, 0.3, 1500*ms
		s.after(duration, func() { s.loss, s.duplication, s.maxDelay = 0, 0, 5*ms })
	case 7:
		if s.random.Below(4) == 0 {
			s.note("all are killed for %v", duration)
			for _, d := range s.drivers {
				if d.running {
					d.kill()
					s.after(duration, d.start)
				}
			}
		}
	case 8:
		if d.running {
			s.note("driver %d resigns", d.number)
			d.whenRunning(func() { d.candidate.Resign(d.clock()) })
			s.after(duration, func() { d.whenRunning(func() { d.candidate.Campaign(d.clock()) }) })
		}
	}
}

// runWithFaults injects faults, a second each on average, and then runs without any: in the end some driver has to hold the lease.
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
	for s.now < end+quiet+2*simulatedTTL { // a paused driver may have lost it just now
		if s.holder() != nil {
			return
		}
		s.run(s.now + 20*ms)
	}
	s.violate("%v after the last fault nobody holds the lease", quiet)
}
