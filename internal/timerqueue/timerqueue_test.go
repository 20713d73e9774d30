package timerqueue

import (
	"slices"
	"testing"
	"time"

	"passtack/internal/pcg"
)

// Random calls on the queue are compared with a sorted slice: removed items are never popped, and the others are popped in
// order of their due time.
func TestQueueAgainstModel(t *testing.T) {
	for seed := range uint64(50) {
		random := pcg.New(seed)
		var queue Queue[int]
		var model []*Item[int] // sorted by due time
		for step := range 2000 {
			switch random.Below(4) {
			case 0, 1:
				item := queue.Push(time.Duration(random.Below(100)), step)
				at, _ := slices.BinarySearchFunc(model, item, func(a, b *Item[int]) int {
					if a.dueAt != b.dueAt {
						return int(a.dueAt - b.dueAt)
					}
					return int(a.sequence) - int(b.sequence)
				})
				model = slices.Insert(model, at, item)
			case 2:
				if len(model) > 0 {
					i := random.Below(len(model))
					queue.Remove(model[i])
					queue.Remove(model[i])
					model = slices.Delete(model, i, i+1)
				}
			default:
				now := time.Duration(random.Below(100))
				value, ok := queue.PopDue(now)
				if due := len(model) > 0 && model[0].dueAt <= now; ok != due || due && value != model[0].value {
					t.Fatalf("seed %d: PopDue returned %d, %t", seed, value, ok)
				} else if due {
					model = model[1:]
				}
			}
			if at, ok := queue.NextDue(); queue.Len() != len(model) || ok && at != model[0].dueAt {
				t.Fatalf("seed %d: the queue holds %d values, the first due at %d", seed, queue.Len(), at)
			}
		}
	}
}
