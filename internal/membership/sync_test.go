package membership

import (
	"testing"
	"time"
)

// Two lists that differ in one driver of 200 transfer it in one message each way, and a request without checksums, as of older builds, gets all.
func TestSyncTransfersOnlyDifferences(t *testing.T) {
	t.Parallel()
	sim := newSimulation(12, 200)
	sim.startAll(time.Second)
	sim.advance(30 * time.Second)
	if why := sim.disagreement(); why != "" {
		t.Fatal(why)
	}
	behind, ahead := sim.hosts[1].list, sim.hosts[2].list
	changed := ahead.nodes.get(NodeIDOf("d9"))
	changed.Refutation++
	ahead.nodes.invalidateChecksum()
	var datagram []byte
	behind.host = &capturingHost{simHost: sim.hosts[1], datagram: &datagram}
	ahead.host = &capturingHost{simHost: sim.hosts[2], datagram: &datagram}
	found := 0
	for range 8 { // by chance two checksums are equal, one time in 256
		behind.sync.after, behind.sync.source = 0, 2
		behind.sendNextSyncRequest()
		request, ok := decodeMessage(datagram)
		if !ok || len(request.rangeChecksums) != syncRanges || len(datagram) > MaxDatagramSize {
			t.Fatalf("%d bytes, %+v", len(datagram), request)
		}
		ahead.sendSyncResponse(1, request)
		response, ok := decodeMessage(datagram)
		if !ok || len(response.entries) > 12 || response.more && len(response.entries) < 4 {
			t.Fatalf("%+v", response)
		}
		for _, e := range response.entries {
			if e.ID == changed.ID && e.Refutation == changed.Refutation {
				found++
			}
		}
	}
	if found < 6 {
		t.Errorf("the difference is transferred %d times of 8", found)
	}
	count, request := 0, message{header: header{kind: kindSyncRequest}}
	for more := true; more; {
		ahead.sendSyncResponse(1, request)
		response, ok := decodeMessage(datagram)
		if !ok || len(response.entries) == 0 {
			t.Fatalf("%+v", response)
		}
		count += len(response.entries)
		more, request.target = response.more, response.entries[len(response.entries)-1].ID
	}
	if count != len(sim.hosts)-1 {
		t.Errorf("without checksums %d are transferred", count)
	}
}

// Regions that were apart for so long that each has forgotten the other's drivers converge soon: a driver that is believed dead learns of it from the
// first one it meets, and all accept its refutation.
func TestRegionsMergeAfterTheDeadExpire(t *testing.T) {
	sim := newSimulation(14, 40)
	sim.startAll(time.Second)
	sim.advance(15 * time.Second)
	sim.partitioned = func(from, to int) bool { return (from < 17) != (to < 17) }
	sim.advance((deadRetentionProbes + 60) * probeInterval)
	if known := len(sim.hosts[0].list.nodes.byID); known != 17 {
		t.Fatalf("%d are known in its region", known)
	}
	sim.partitioned = nil
	healed := sim.converge(2 * time.Minute)
	t.Logf("converged after %v", healed)
	if healed < 0 || healed > 25*time.Second {
		t.Errorf("after %v: %s", healed, sim.disagreement())
	}
}
