package rollout

import (
	"fmt"
	"testing"
	"time"
)

func TestMachineSelectionIsBalanced(t *testing.T) {
	names := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"}
	var first, second [3]int
	for d := range 470 {
		f := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		first[f.Current()]++
		if f.Current() == 0 {
			f.Failed(time.Second)
			second[f.Current()]++
		}
	}
	for n, count := range first {
		if count < 120 || count > 195 {
			t.Errorf("machine %d is polled by %d of 470 drivers", n, count)
		}
	}
	if second[1] < first[0]/3 || second[2] < first[0]/3 {
		t.Errorf("of the %d drivers of a failed machine the others get %v", first[0], second)
	}
}

// A driver whose machine has failed polls another within a tenth of a second, at a random moment, and returns later. It polls at most four times
// a second while no machine answers.
func TestMachineSelectorBacksOff(t *testing.T) {
	names := []string{"a", "b", "c"}
	tenths := make(map[time.Duration]int)
	for d := range 470 {
		f := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		own := f.Current()
		wait := f.Failed(0)
		if wait > maxFailoverDelay || f.Current() == own {
			t.Fatalf("driver %d waits %v and polls machine %d", d, wait, f.Current())
		}
		tenths[wait/(maxFailoverDelay/10)]++
		f.Succeeded(minReturnDelay - 1)
		if f.Current() == own {
			t.Fatal("it returned too early")
		}
		if f.Succeeded(2 * minReturnDelay); f.Current() != own {
			t.Fatal("it has not returned")
		}
		now, calls := 2*minReturnDelay, 0
		for end := now + 10*time.Second; now < end; calls++ {
			now += f.Failed(now)
		}
		if calls > 45 {
			t.Fatalf("%d calls in 10 s", calls)
		}
	}
	for at, count := range tenths {
		if count > 80 {
			t.Errorf("%d of 470 poll in the tenth %d", count, at)
		}
	}
}
