package slots

import (
	"testing"

	"passtack/internal/pcg"
)

// Handles of removed values are stale: they find nothing and change nothing.
func FuzzStaleHandles(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := pcg.New(seed)
		var table Map[int]
		live, released := make(map[Handle]int), []Handle{0}
		for step := 1; step < 500; step++ {
			if random.Float() < 0.55 {
				h := table.Insert(step)
				if _, taken := live[h]; taken || h == 0 {
					t.Fatalf("step %d: handle %x was given out twice", step, h)
				}
				live[h] = step
			} else {
				for h := range live {
					table.Remove(h)
					delete(live, h)
					released = append(released, h)
					break
				}
			}
			stale := released[random.Below(len(released))]
			table.Remove(stale) // a stale handle changes nothing
			if table.Get(stale) != 0 {
				t.Fatalf("step %d: stale handle %x finds %d", step, stale, table.Get(stale))
			}
			for h, value := range live {
				if table.Get(h) != value {
					t.Fatalf("step %d: handle %x holds %d, not %d", step, h, table.Get(h), value)
				}
			}
			if table.Len() != len(live) {
				t.Fatalf("step %d: %d counted, %d live", step, table.Len(), len(live))
			}
		}
	})
}

func TestFullTableReturnsNoHandle(t *testing.T) {
	var table Map[int]
	for i := range maxSlots {
		if table.Insert(i+1) == 0 {
			t.Fatalf("no slot after %d", i)
		}
	}
	if h := table.Insert(1); h != 0 {
		t.Fatalf("handle %x beyond the last slot", h)
	}
}
