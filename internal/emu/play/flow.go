package play

import "time"

// piece is how finely Flow parts time.
const piece = 100 * time.Millisecond

// share is utility asked for and got.
type share struct{ asked, got float64 }

// Flow is the utility of the RPCs that began in each piece of time, by the driver that each went to first.
type Flow struct{ drivers [][]share }

func newFlow(drivers int) Flow { return Flow{make([][]share, drivers)} }

func (f *Flow) at(began time.Duration, driver int) *share {
	n := int(began / piece)
	for len(f.drivers[driver]) <= n {
		f.drivers[driver] = append(f.drivers[driver], share{})
	}
	return &f.drivers[driver][n]
}

func (f *Flow) asked(began time.Duration, driver int, utility float64) {
	f.at(began, driver).asked += utility
}

func (f *Flow) got(began time.Duration, driver int, utility float64) {
	f.at(began, driver).got += utility
}

// Every names no single driver.
const Every = -1

// Part is the utility got of what RPCs asked for that began from one time to another, of one driver or of all; 1 where
// none began.
func (f *Flow) Part(driver int, from, to time.Duration) float64 {
	var sum share
	for d, pieces := range f.drivers {
		if driver != Every && d != driver {
			continue
		}
		for n := max(int(from/piece), 0); n < min(int(to/piece), len(pieces)); n++ {
			sum.asked, sum.got = sum.asked+pieces[n].asked, sum.got+pieces[n].got
		}
	}
	if sum.asked == 0 {
		return 1
	}
	return sum.got / sum.asked
}

const (
	steady = 2 * time.Second // for which service must be whole to count
	dent   = 0.05            // of the level before, by which it may be under it then
)

// Whole tells when service was whole again after a time: from then on RPCs that begin get, for two seconds, no less than
// a twentieth under the level before. It is under 0 where that never came until the end.
func (f *Flow) Whole(driver int, level float64, after, end time.Duration) time.Duration {
	for at := (after + piece - 1).Truncate(piece); at+steady <= end; at += piece {
		if f.Part(driver, at, at+steady) >= level*(1-dent) && f.Part(driver, at, at+steady/4) >= level*(1-2*dent) {
			return at - after
		}
	}
	return -1
}
