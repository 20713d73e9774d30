package due

import (
	"slices"
	"testing"
	"time"

	"passtack/internal/pcg"
)

// The queue is compared with a sorted slice: removed items never come out, the others come out in order.
func TestQueueAgainstModel(t *testing.T) {
	for seed := range uint64(50) {
		random := pcg.New(seed)
		var queue Queue[int]
		var model []*Item[int] // in order
		for step := range 2000 {
			switch random.Below(4) {
			case 0, 1:
				item := queue.Push(time.Duration(random.Below(100)), step)
				index, _ := slices.BinarySearchFunc(model, item, func(a, b *Item[int]) int {
					if a.dueAt != b.dueAt {
						return int(a.dueAt - b.dueAt)
					}
					return int(a.sequence) - int(b.sequence)
				})
				model = slices.Insert(model, index, item)
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
					t.Fatalf("seed %d: popped %d, %t", seed, value, ok)
				} else if due {
					model = model[1:]
				}
			}
			if index, ok := queue.NextDue(); queue.Len() != len(model) || ok && index != model[0].dueAt {
				t.Fatalf("seed %d: %d values, the first at %d", seed, queue.Len(), index)
			}
		}
	}
}
