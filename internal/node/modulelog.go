package node

import (
	"log/slog"
	"time"
)

// moduleLogInterval is the time within which equal lines of the module are logged only once.
const moduleLogInterval = 5 * time.Second

// moduleLog logs the lines of the decision module and suppresses repetitions, as a member whose role alternates would fill the log.
type moduleLog struct {
	recent map[string]bool // lines logged in the current interval
	since  time.Duration   // start of the current interval
}

// write logs a line unless it was already logged in the current interval, and reports whether it was logged.
func (m *moduleLog) write(line string, now time.Duration) (logged bool) {
	if now-m.since > moduleLogInterval {
		clear(m.recent)
		m.since = now
	}
	if m.recent[line] {
		return false
	}
	m.recent[line] = true
	slog.Info("decision module", "text", line)
	return true
}
