package node

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var updateFleetStatus = flag.Bool("update-fleet-status", false, "rewrite the golden file of the fleet status")

// The fleet status of the control endpoint is encoded as in the golden file, and decoded to the same fields.
func TestGoldenFleetStatus(t *testing.T) {
	const path = "testdata/fleet_status.json"
	status := FleetStatus{Name: "driver-a", ActiveCount: 2, ConnectionShard: 7, InMajority: true, Checksum: 1<<63 + 5, Pauses: 1, Sent: 200, SentBytes: 30_000, Received: 190, Malformed: 3,
		Drivers: []DriverStatus{
			{Name: "driver-a", Status: "alive", Self: true, Incarnation: 1_700_000_000_000_000_001, StatusAgeMS: 5000, Ready: 1, RequestRate: 120, ListRevision: 9},
			{Name: "driver-b", Status: "suspect", Reason: "no answer to driver-a", Incarnation: 1_700_000_000_000_000_002, Refutation: 4, StatusAgeMS: 700, LastSeenMS: 1200, Ready: 0.25, RequestRate: 3, ListRevision: 8},
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
		t.Errorf("encoded as %s, which differs from the golden file", text)
	}
	var read FleetStatus
	if err := json.Unmarshal(want, &read); err != nil {
		t.Fatal(err)
	}
	if again, _ := json.MarshalIndent(read, "", "  "); string(again) != string(text) {
		t.Errorf("decoded as %+v, which is encoded differently", read)
	}
}
