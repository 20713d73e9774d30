package due

import (
	"slices"
	"testing"
	"time"

	"passtack/internal/pcg"
)

// Against a plain list: what is taken back never comes, and the rest comes in order.
func TestRandomQueues(t *testing.T) {
	for seed := range uint64(50) {
		chance := pcg.New(seed)
		var q Queue[int]
		var model []*Item[int] // in order
		for step := range 2000 {
			switch chance.Below(4) {
			case 0, 1:
				item := q.Push(time.Duration(chance.Below(100)), step)
				at, _ := slices.BinarySearchFunc(model, item, func(a, b *Item[int]) int {
					if a.at != b.at {
						return int(a.at - b.at)
					}
					return int(a.order) - int(b.order)
				})
				model = slices.Insert(model, at, item)
			case 2:
				if len(model) > 0 {
					i := chance.Below(len(model))
					q.Remove(model[i])
					q.Remove(model[i])
					model = slices.Delete(model, i, i+1)
				}
			default:
				now := time.Duration(chance.Below(100))
				value, ok := q.Pop(now)
				if due := len(model) > 0 && model[0].at <= now; ok != due || due && value != model[0].value {
					t.Fatalf("seed %d: took %d, %t", seed, value, ok)
				} else if due {
					model = model[1:]
				}
			}
			if at, ok := q.First(); q.Count() != len(model) || ok && at != model[0].at {
				t.Fatalf("seed %d: %d values, the first at %d", seed, q.Count(), at)
			}
		}
	}
}
