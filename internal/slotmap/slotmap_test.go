package slotmap

import (
	"testing"

	"passtack/internal/pcg"
)

// A stale handle, whose value was removed, neither returns nor removes the value that now occupies the same slot.
func FuzzStaleHandles(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := pcg.New(seed)
		var m Map[int]
		live, removed := make(map[Handle]int), []Handle{0}
		for step := 1; step < 500; step++ {
			if random.Float() < 0.55 {
				h := m.Insert(step)
				if _, inUse := live[h]; inUse || h == 0 {
					t.Fatalf("step %d: Insert returned handle %x, which is 0 or in use", step, h)
				}
				live[h] = step
			} else {
				for h := range live {
					m.Remove(h)
					delete(live, h)
					removed = append(removed, h)
					break
				}
			}
			stale := removed[random.Below(len(removed))]
			m.Remove(stale) // must have no effect
			if m.Get(stale) != 0 {
				t.Fatalf("step %d: Get of stale handle %x returned %d", step, stale, m.Get(stale))
			}
			for h, value := range live {
				if m.Get(h) != value {
					t.Fatalf("step %d: handle %x holds %d, want %d", step, h, m.Get(h), value)
				}
			}
			if m.Len() != len(live) {
				t.Fatalf("step %d: Len is %d, want %d", step, m.Len(), len(live))
			}
		}
	})
}

func TestFullTableReturnsNoHandle(t *testing.T) {
	var m Map[int]
	for i := range maxSlots {
		if m.Insert(i+1) == 0 {
			t.Fatalf("Insert failed after %d values", i)
		}
	}
	if h := m.Insert(1); h != 0 {
		t.Fatalf("Insert into a full map returned handle %x", h)
	}
}
