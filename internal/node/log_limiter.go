package node

import "time"

// logLimitInterval is the time for which a logLimiter suppresses log lines after one that it allowed.
const logLimitInterval = 5 * time.Second

// logLimiter allows one log line in logLimitInterval. The zero value allows the first line.
type logLimiter struct{ suppressedUntil time.Duration }

func (l *logLimiter) allow(now time.Duration) bool {
	if now < l.suppressedUntil {
		return false
	}
	l.suppressedUntil = now + logLimitInterval
	return true
}
