package capacity

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// measuredValues returns the values of a counting function at one size, by measure.
func measuredValues(t *testing.T, count func(size int, point func(measure, unit string, value float64)) error, size int) map[string]float64 {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	values := make(map[string]float64)
	if err := count(size, func(measure, _ string, value float64) { values[measure] = value }); err != nil {
		t.Fatal(err)
	}
	return values
}

// checkFlat fails if a measure is not positive, is over 30% larger at the large size than at the small one, or exceeds its limit.
func checkFlat(t *testing.T, measure string, small, large map[string]float64, limit float64) {
	t.Helper()
	from, to := small[measure], large[measure]
	t.Logf("%s: %.1f, then %.1f", measure, from, to)
	if from <= 0 || to > 1.3*from || to > limit {
		t.Errorf("%s is %.1f at the small size and %.1f at the large one; want at most 1.3 times the small one and at most %.1f", measure, from, to, limit)
	}
}

// Guards against state per member, group, session or RPC that grows with the number of members. A table with one byte for each pair
// of members already fails: it exceeds the spare capacity of growing maps and slices.
func TestMemberStateDoesNotGrowWithMembers(t *testing.T) {
	small, large := measuredValues(t, membersState, 150), measuredValues(t, membersState, 1200)
	checkFlat(t, "rules_members_each", small, large, 600)
	checkFlat(t, "pool_members_each", small, large, 300)
	checkFlat(t, "driver_members_each", small, large, 1200)
	checkFlat(t, "driver_members_view_each", small, large, 1500)
	checkFlat(t, "rules_rpc", small, large, 500)
	checkFlat(t, "rules_session", small, large, 200)
	checkFlat(t, "rules_rpc_objects", small, large, 4)
	checkFlat(t, "rules_rpc_allocated", small, large, 400)
}

// Guards against state per client, RPC in flight or idle member connection that grows with their number.
func TestClientStateDoesNotGrowWithClients(t *testing.T) {
	small, large := measuredValues(t, clientsState, 50), measuredValues(t, clientsState, 400)
	checkFlat(t, "client", small, large, 1500)
	checkFlat(t, "rpc_under_way", small, large, 12000)
	checkFlat(t, "member_connection", small, large, 12000)
}

// A complete endpoint list costs in proportion to its entries. Guards against a change whose cost grows with the size of the fleet.
func TestEndpointListCostGrowsWithEntries(t *testing.T) {
	small, large := measuredValues(t, listCost, 100), measuredValues(t, listCost, 800)
	for _, values := range []map[string]float64{small, large} {
		members := 100.0
		if values["whole_bytes"] > small["whole_bytes"] {
			members = 800
		}
		for _, measure := range []string{"whole_bytes", "whole_objects", "whole_allocated"} {
			values[measure] /= members
		}
	}
	checkFlat(t, "whole_bytes", small, large, 150)
	checkFlat(t, "whole_objects", small, large, 5)
	checkFlat(t, "whole_allocated", small, large, 600)
	checkFlat(t, "change_bytes", small, large, 200)
	checkFlat(t, "change_objects", small, large, 20)
	checkFlat(t, "change_allocated", small, large, 1000)
}

// With four times the members, clients and statements, connections grow about in proportion. Guards against attempts per member and
// pins of session reads that grow with the fleet.
func TestConnectionsGrowWithMembers(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	valuesAt := func(members int) map[string]float64 {
		m := simulatedRun{members: members, clients: 3 * members, rate: 1.6 * float64(members), warmUp: 10 * time.Second, duration: 10 * time.Second}
		if err := m.play(context.Background(), 5); err != nil {
			t.Fatal(err)
		}
		values := make(map[string]float64)
		m.points(func(measure, _ string, value float64) { values[measure] = value })
		values["connections_each"] = values["connections"] / float64(members)
		return values
	}
	small, large := valuesAt(30), valuesAt(120)
	checkFlat(t, "connections_each", small, large, 2)
	checkFlat(t, "attempts_member", small, large, 2)
	checkFlat(t, "pin_p50", small, large, 3000)
}
