package node

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"passtack/internal/logs"
)

// telemetry holds the counters of a driver and its log.
type telemetry struct {
	counters  counters
	lines     *logs.LineWriter
	moduleLog moduleLog
}

func newTelemetry() telemetry {
	return telemetry{counters: make(counters), lines: new(logs.LineWriter), moduleLog: moduleLog{recent: make(map[string]bool)}}
}

// counters holds the number of events since the start of the process, by name.
type counters map[string]int

// Count adds one to a counter.
func (n *Node) Count(name string) { n.counters[name]++ }

// Counted returns the value of a counter.
func (n *Node) Counted(name string) int { return n.counters[name] }

// logCounters logs all counters and gauges as one line.
func (n *Node) logCounters() {
	descriptors, maxDescriptors := n.loop.DescriptorCounts()
	line := []any{
		"rpcs_in_service", n.rpcs.Len(),
		"clients_open", n.listeners.openClients(),
		"members_open", n.members.openConnections(),
		"descriptors", descriptors,
		"descriptors_max", maxDescriptors,
		"timers", n.loop.PendingTimers(),
		"log_lines_lost", n.lines.Dropped.Load(),
		"log_lines_sampled", n.lines.RateLimited.Load(),
		"recovery", n.recovery.Stage(),
		"ready", fmt.Sprintf("%.2f", n.recovery.Ready()),
	}
	line = append(line, n.listeners.gauges()...)
	for _, name := range slices.Sorted(maps.Keys(n.counters)) {
		line = append(line, name, n.counters[name])
	}
	slog.Info("counters", line...)
}
