package node

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var updateFleetStatus = flag.Bool("update-fleet-status", false, "rewrite the golden file of the fleet's status")

// The keys of what the control endpoint tells of the fleet stay, and are read as the same fields.
func TestGoldenFleetStatus(t *testing.T) {
	const path = "testdata/fleet_status.json"
	status := FleetStatus{Name: "driver-a", Living: 2, Part: 7, Whole: true, Sum: 1<<63 + 5, Halts: 1, Sent: 200, Bytes: 30_000, Taken: 190, Unread: 3,
		All: []SeenDriver{
			{Name: "driver-a", Status: "alive", Self: true, Life: 1_700_000_000_000_000_001, ForMS: 5000, Ready: 1, Load: 120, Revision: 9},
			{Name: "driver-b", Status: "suspect", Cause: "no answer to driver-a", Life: 1_700_000_000_000_000_002, Incarnation: 4, ForMS: 700, HeardMS: 1200, Ready: 0.25, Load: 3, Revision: 8},
		}}
	text, err := json.MarshalIndent(status, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if *updateFleetStatus {
		if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != string(text)+"\n" {
		t.Errorf("written as %s", text)
	}
	var read FleetStatus
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	if again, _ := json.MarshalIndent(read, "", "  "); string(again) != string(text) {
		t.Errorf("read as %+v", read)
	}
}
