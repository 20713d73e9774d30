package membership

import (
	"testing"
	"time"
)

// TestSyncTransfersOnlyDifferences checks that two lists that differ in one driver of 200 sync it with one message in each direction, and that a request
// without checksums, as from older builds, is answered with all entries.
func TestSyncTransfersOnlyDifferences(t *testing.T) {
	t.Parallel()
	sim := newSimulation(12, 200)
	sim.startAll(time.Second)
	sim.advance(30 * time.Second)
	if difference := sim.disagreement(); difference != "" {
		t.Fatal(difference)
	}
	behind, ahead := sim.hosts[1].list, sim.hosts[2].list
	changed := ahead.nodes.get(NodeIDOf("d9"))
	changed.Refutation++
	ahead.nodes.invalidateChecksum()
	var datagram []byte
	behind.host = &capturingHost{simHost: sim.hosts[1], datagram: &datagram}
	ahead.host = &capturingHost{simHost: sim.hosts[2], datagram: &datagram}
	found := 0
	for range 8 { // one time in 256 two checksums that should differ are equal by chance
		behind.sync.after, behind.sync.source = 0, 2
		behind.sendNextSyncRequest()
		request, ok := decodeMessage(datagram)
		if !ok || len(request.rangeChecksums) != syncRanges || len(datagram) > MaxDatagramSize {
			t.Fatalf("sync request of %d bytes is not decoded as expected: %+v", len(datagram), request)
		}
		ahead.sendSyncResponse(1, request)
		response, ok := decodeMessage(datagram)
		if !ok || len(response.entries) > 12 || response.more && len(response.entries) < 4 {
			t.Fatalf("sync response to a request with checksums is not decoded or has an unexpected number of entries: %+v", response)
		}
		for _, e := range response.entries {
			if e.ID == changed.ID && e.Refutation == changed.Refutation {
				found++
			}
		}
	}
	if found < 6 {
		t.Errorf("the difference is transferred %d times of 8, want at least 6", found)
	}
	count, request := 0, message{header: header{kind: kindSyncRequest}}
	for more := true; more; {
		ahead.sendSyncResponse(1, request)
		response, ok := decodeMessage(datagram)
		if !ok || len(response.entries) == 0 {
			t.Fatalf("sync response to a request without checksums is not decoded or has no entries: %+v", response)
		}
		count += len(response.entries)
		more, request.target = response.more, response.entries[len(response.entries)-1].ID
	}
	if count != len(sim.hosts)-1 {
		t.Errorf("in response to requests without checksums %d entries are transferred, want all but the sender's own", count)
	}
}

// TestRegionsMergeAfterTheDeadExpire checks that after a partition so long that each side has removed the other's drivers from its lists, the lists
// converge soon: a driver learns that it is believed dead from the first driver that it reaches, and all drivers accept its refutation.
func TestRegionsMergeAfterTheDeadExpire(t *testing.T) {
	sim := newSimulation(14, 40)
	sim.startAll(time.Second)
	sim.advance(15 * time.Second)
	sim.partitioned = func(from, to int) bool { return (from < 17) != (to < 17) }
	sim.advance((deadRetentionProbes + 60) * probeInterval)
	if known := len(sim.hosts[0].list.nodes.byID); known != 17 {
		t.Fatalf("%d drivers are known in the first region, want 17", known)
	}
	sim.partitioned = nil
	healed := sim.converge(2 * time.Minute)
	t.Logf("converged after %v", healed)
	if healed < 0 || healed > 25*time.Second {
		t.Errorf("converged after %v, want 0 to 25 s: %s", healed, sim.disagreement())
	}
}
