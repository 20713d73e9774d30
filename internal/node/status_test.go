package node

import (
	"encoding/json"
	"testing"
)

// The JSON keys of the status answer do not change, because operators' scripts read them.
func TestStatusKeysAreUnchanged(t *testing.T) {
	got, err := json.Marshal(Status{
		Name: "n0", RecoveryStage: "whole", Ready: 1, Counters: map[string]int{"state_saves": 2},
		Jobs: []JobStatus{{Name: "save", State: "idle", BlockedBy: "not due", SkipReason: "yields", ForMS: 3, Runs: 4, Failed: 5, StartedLate: 6, SkippedRuns: 7,
			Slices: 8, Bytes: 9, Operations: 10, UsedMS: 11.5, LongestSliceMS: 12.5, LongestWorkerMS: 13.5}},
	})
	const want = `{"Name":"n0","Comeback":"whole","Ready":1,"Counters":{"state_saves":2},"Chores":[{"Name":"save","State":"idle","Why":"not due",` +
		`"Skipped":"yields","ForMS":3,"Runs":4,"Failed":5,"Late":6,"Skips":7,"Slices":8,"Bytes":9,"Operations":10,"SpentMS":11.5,` +
		`"LongestMS":12.5,"SlowestMS":13.5}],"Configuration":null}`
	if err != nil || string(got) != want {
		t.Errorf("the status is encoded as %s, %v, want %s", got, err, want)
	}
}
