package rollout

import (
	"fmt"
	"testing"
	"time"
)

// The drivers are spread evenly over the machines, and those of a failed machine over the other two.
func TestMachineSelectionIsBalanced(t *testing.T) {
	names := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"}
	var first, second [3]int
	for d := range 470 {
		selector := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		first[selector.Current()]++
		if selector.Current() == 0 {
			selector.Failed(time.Second)
			second[selector.Current()]++
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

// A driver whose machine has failed polls another one after a random delay of at most 100 ms, and returns to its preferred machine later. While
// no machine answers it polls at most four times a second.
func TestMachineSelectorBacksOff(t *testing.T) {
	names := []string{"a", "b", "c"}
	tenths := make(map[time.Duration]int)
	for d := range 470 {
		selector := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		preferred := selector.Current()
		wait := selector.Failed(0)
		if wait > maxFailoverDelay || selector.Current() == preferred {
			t.Fatalf("driver %d waits %v and polls machine %d", d, wait, selector.Current())
		}
		tenths[wait/(maxFailoverDelay/10)]++
		selector.Succeeded(minReturnDelay - 1)
		if selector.Current() == preferred {
			t.Fatal("the driver returned too early")
		}
		if selector.Succeeded(2 * minReturnDelay); selector.Current() != preferred {
			t.Fatal("the driver has not returned")
		}
		now, polls := 2*minReturnDelay, 0
		for end := now + 10*time.Second; now < end; polls++ {
			now += selector.Failed(now)
		}
		if polls > 45 {
			t.Fatalf("%d polls in 10 s", polls)
		}
	}
	for tenth, count := range tenths {
		if count > 80 {
			t.Errorf("%d of 470 poll in the tenth %d", count, tenth)
		}
	}
}
