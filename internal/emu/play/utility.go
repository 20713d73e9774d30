package play

import "time"

// sliceLength is the resolution of UtilitySeries.
const sliceLength = 100 * time.Millisecond

// utilitySum is requested and served utility.
type utilitySum struct{ asked, got float64 }

// UtilitySeries is the utility of the RPCs that began in each slice of time, by the driver to which their first try
// was sent.
type UtilitySeries struct{ drivers [][]utilitySum }

func newUtilitySeries(drivers int) UtilitySeries { return UtilitySeries{make([][]utilitySum, drivers)} }

func (u *UtilitySeries) at(began time.Duration, driver int) *utilitySum {
	n := int(began / sliceLength)
	for len(u.drivers[driver]) <= n {
		u.drivers[driver] = append(u.drivers[driver], utilitySum{})
	}
	return &u.drivers[driver][n]
}

func (u *UtilitySeries) asked(began time.Duration, driver int, utility float64) {
	u.at(began, driver).asked += utility
}

func (u *UtilitySeries) got(began time.Duration, driver int, utility float64) {
	u.at(began, driver).got += utility
}

// AllDrivers stands for all drivers together.
const AllDrivers = -1

// ServedShare returns the served part of the utility that was requested by RPCs that began from one time to another,
// of one driver or of all; 1 if none began.
func (u *UtilitySeries) ServedShare(driver int, from, to time.Duration) float64 {
	var sum utilitySum
	for d, pieces := range u.drivers {
		if driver != AllDrivers && d != driver {
			continue
		}
		for n := max(int(from/sliceLength), 0); n < min(int(to/sliceLength), len(pieces)); n++ {
			sum.asked, sum.got = sum.asked+pieces[n].asked, sum.got+pieces[n].got
		}
	}
	if sum.asked == 0 {
		return 1
	}
	return sum.got / sum.asked
}

const (
	recoveryWindow = 2 * time.Second // for which service must stay at the level
	recoveryMargin = 0.05            // part of the level before by which service may fall short of it
)

// RecoveryTime returns the time until service recovered: RPCs that begin in the following two seconds get at least 95%
// of the level before, and those in the first half second 90%. It is negative if service did not recover by the end.
func (u *UtilitySeries) RecoveryTime(driver int, level float64, after, end time.Duration) time.Duration {
	for at := (after + sliceLength - 1).Truncate(sliceLength); at+recoveryWindow <= end; at += sliceLength {
		if u.ServedShare(driver, at, at+recoveryWindow) >= level*(1-recoveryMargin) && u.ServedShare(driver, at, at+recoveryWindow/4) >= level*(1-2*recoveryMargin) {
			return at - after
		}
	}
	return -1
}
