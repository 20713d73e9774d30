package linkedlist

import (
	"slices"
	"testing"

	"passtack/internal/proptest"
	"pgregory.net/rapid"
)

// Random PushBack and Remove calls on two lists are compared with slices after every step.
func TestListAgainstSlice(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		lists, want := [2]List[int]{}, [2][]int{}
		elements := make([]Element[int], 8)
		for i := range elements {
			elements[i].Value = i
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 23), 1, 100).Draw(t, "steps") {
			e, operation := step%8, step/8 // operations 0 and 1 append the element to that list, 2 removes it
			for k := range want {
				want[k] = slices.DeleteFunc(want[k], func(v int) bool { return v == e })
			}
			if operation < 2 {
				lists[operation].PushBack(&elements[e])
				want[operation] = append(want[operation], e)
			} else {
				elements[e].Remove()
			}
			for k := range lists {
				var got []int
				for element := lists[k].Front(); element != nil; element = element.Next() {
					got = append(got, element.Value)
				}
				if !slices.Equal(got, want[k]) || lists[k].Len() != len(got) ||
					elements[e].InList(&lists[k]) != slices.Contains(got, e) {
					t.Fatalf("list %d holds %v, want %v", k, got, want[k])
				}
			}
		}
	})
}
