package capacity

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// measured gives the measures of what is counted at one size.
func measured(t *testing.T, count func(size int, point func(measure, unit string, value float64)) error, size int) map[string]float64 {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	values := make(map[string]float64)
	if err := count(size, func(measure, _ string, value float64) { values[measure] = value }); err != nil {
		t.Fatal(err)
	}
	return values
}

// flat fails where a measure at the larger size is beyond that at the smaller one and a little, or beyond its most.
func flat(t *testing.T, measure string, small, large map[string]float64, most float64) {
	t.Helper()
	from, to := small[measure], large[measure]
	t.Logf("%s: %.1f, then %.1f", measure, from, to)
	if from <= 0 || to > 1.3*from || to > most {
		t.Errorf("%s is %.1f at the small size and %.1f at the large one, %.1f at most", measure, from, to, most)
	}
}

// What a driver holds for one member, one group, one session that wrote and one RPC under way does not depend on how many members
// there are: a table of members by members, of one byte each, is beyond what maps and slices leave free as they grow.
func TestStateOfAMemberIsFlat(t *testing.T) {
	small, large := measured(t, membersState, 150), measured(t, membersState, 1200)
	flat(t, "rules_members_each", small, large, 600)
	flat(t, "pool_members_each", small, large, 300)
	flat(t, "driver_members_each", small, large, 1200)
	flat(t, "driver_members_view_each", small, large, 1500)
	flat(t, "rules_rpc", small, large, 500)
	flat(t, "rules_session", small, large, 200)
	flat(t, "rules_rpc_objects", small, large, 4)
	flat(t, "rules_rpc_allocated", small, large, 400)
}

// What a driver holds for one client, one RPC under way and one connection to a member that rests does not depend on how many
// there are.
func TestStateOfAClientIsFlat(t *testing.T) {
	small, large := measured(t, clientsState, 50), measured(t, clientsState, 400)
	flat(t, "client", small, large, 1500)
	flat(t, "rpc_under_way", small, large, 12000)
	flat(t, "member_connection", small, large, 12000)
}

// A whole list costs in proportion to its entries. A change costs as much in a large fleet as in a small one.
func TestCostOfAListGrowsWithItsEntries(t *testing.T) {
	small, large := measured(t, listCost, 100), measured(t, listCost, 800)
	for _, values := range []map[string]float64{small, large} {
		members := 100.0
		if values["whole_bytes"] > small["whole_bytes"] {
			members = 800
		}
		for _, measure := range []string{"whole_bytes", "whole_objects", "whole_allocated"} {
			values[measure] /= members
		}
	}
	flat(t, "whole_bytes", small, large, 150)
	flat(t, "whole_objects", small, large, 5)
	flat(t, "whole_allocated", small, large, 600)
	flat(t, "change_bytes", small, large, 200)
	flat(t, "change_objects", small, large, 20)
	flat(t, "change_allocated", small, large, 1000)
}

// Four times the members, clients and statements take four times the connections, and each member is met as often.
func TestConnectionsGrowWithMembers(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	met := func(members int) map[string]float64 {
		m := met{members: members, clients: 3 * members, rate: 1.6 * float64(members), warm: 10 * time.Second, lasts: 10 * time.Second}
		if err := m.play(context.Background(), 5); err != nil {
			t.Fatal(err)
		}
		values := make(map[string]float64)
		m.points(func(measure, _ string, value float64) { values[measure] = value })
		values["connections_each"] = values["connections"] / float64(members)
		return values
	}
	small, large := met(30), met(120)
	flat(t, "connections_each", small, large, 2)
	flat(t, "attempts_member", small, large, 2)
	flat(t, "pin_p50", small, large, 3000)
}
