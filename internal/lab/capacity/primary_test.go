package capacity

import (
	"context"
	"log/slog"
	"slices"
	"testing"
)

// playedAt plays a sweep at one size and returns its values by measure.
func playedAt(t *testing.T, all []Sweep, name string, size int) map[string]float64 {
	t.Helper()
	i := slices.IndexFunc(all, func(s Sweep) bool { return s.Name == name })
	if i < 0 {
		t.Fatalf("no sweep named %q", name)
	}
	values := make(map[string]float64)
	if err := all[i].Play(context.Background(), size, 1, func(p Point) { values[p.Measure] = p.Value }); err != nil {
		t.Fatal(err)
	}
	return values
}

// For each failure of a primary, every driver writes at the new primary within the limit. Drivers that a partition cut off do so
// within 3 s of its end.
func TestPrimaryChangesWithinTimeLimit(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, kind := range primaryFailures {
		v := playedAt(t, primarySweeps(), "primary-"+kind+"-ordinary", 12)
		if v["all_worst"] > maxChangeTime.Seconds() || v["never"] != 0 || v["all_p50"] < v["group_part"] || v["driver_part_worst"] > 3 {
			t.Errorf("%s: %v", kind, v)
		}
		v = playedAt(t, primarySweeps(), "primary-"+kind+"-asked-apart", 12)
		if v["all_worst"] > maxChangeTime.Seconds() || v["never"] != 0 || v["cut_off_never"] != 0 || v["cut_off_since_healed_worst"] > 3 {
			t.Errorf("%s apart: %v", kind, v)
		}
	}
	if v := playedAt(t, primarySweeps(), "primary-hang-lone", 120); v["changes"] != 6 || v["all_worst"] > maxChangeTime.Seconds() || v["never"] != 0 {
		t.Errorf("one driver: %v", v)
	}
}
