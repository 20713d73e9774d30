package chain

import (
	"slices"
	"testing"

	"passtack/internal/seeded"
	"pgregory.net/rapid"
)

// A chain is compared with a slice after every step.
func TestListAgainstSlice(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		chains, want := [2]List[int]{}, [2][]int{}
		links := make([]Element[int], 8)
		for i := range links {
			links[i].Value = i
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 23), 1, 100).Draw(t, "steps") {
			l, act := step%8, step/8
			for c := range want {
				want[c] = slices.DeleteFunc(want[c], func(v int) bool { return v == l })
			}
			if act < 2 {
				chains[act].PushBack(&links[l])
				want[act] = append(want[act], l)
			} else {
				links[l].Remove()
			}
			for c := range chains {
				var got []int
				for at := chains[c].Front(); at != nil; at = at.Next() {
					got = append(got, at.Value)
				}
				if !slices.Equal(got, want[c]) || chains[c].Len() != len(got) ||
					links[l].InList(&chains[c]) != slices.Contains(got, l) {
					t.Fatalf("chain %d holds %v, want %v", c, got, want[c])
				}
			}
		}
	})
}
