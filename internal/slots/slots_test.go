package slots

import (
	"testing"

	"passtack/internal/pcg"
)

func FuzzLateHandles(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		chance := pcg.New(seed)
		var table Table[int]
		live, gone := make(map[Handle]int), []Handle{0}
		for step := 1; step < 500; step++ {
			if chance.Float() < 0.55 {
				h := table.Put(step)
				if _, taken := live[h]; taken || h == 0 {
					t.Fatalf("step %d: handle %x was given out twice", step, h)
				}
				live[h] = step
			} else {
				for h := range live {
					table.Drop(h)
					delete(live, h)
					gone = append(gone, h)
					break
				}
			}
			late := gone[chance.Below(len(gone))]
			table.Drop(late) // a late event changes nothing
			if table.Get(late) != 0 {
				t.Fatalf("step %d: late handle %x meets %d", step, late, table.Get(late))
			}
			for h, value := range live {
				if table.Get(h) != value {
					t.Fatalf("step %d: handle %x holds %d, not %d", step, h, table.Get(h), value)
				}
			}
			if table.Count() != len(live) {
				t.Fatalf("step %d: %d counted, %d live", step, table.Count(), len(live))
			}
		}
	})
}

func TestFullTableGivesNoHandle(t *testing.T) {
	var table Table[int]
	for i := range most {
		if table.Put(i+1) == 0 {
			t.Fatalf("no slot after %d", i)
		}
	}
	if h := table.Put(1); h != 0 {
		t.Fatalf("handle %x beyond the last slot", h)
	}
}
