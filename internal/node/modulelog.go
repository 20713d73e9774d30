package node

import (
	"log/slog"
	"time"
)

// moduleLogInterval is the time within which an equal line of the module is logged once.
const moduleLogInterval = 5 * time.Second

// moduleLog logs what the decision module reports and suppresses repetitions: a member whose role alternates would fill the log.
type moduleLog struct {
	recent map[string]bool // lines logged in this interval
	since  time.Duration   // when the interval began
}

// write logs a line and reports whether it was one that this interval had not seen.
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
