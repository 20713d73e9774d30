package node

import "time"

// logLimitInterval is the pause after a log line that a logLimiter lets pass.
const logLimitInterval = 5 * time.Second

// logLimiter lets one log line pass in logLimitInterval. The zero value lets the first one pass.
type logLimiter struct{ mutedUntil time.Duration }

func (l *logLimiter) allow(now time.Duration) bool {
	if now < l.mutedUntil {
		return false
	}
	l.mutedUntil = now + logLimitInterval
	return true
}
