package rules

import (
	"slices"
	"time"

	"passtack/driver"
)

const (
	pinLimit = 10 * time.Second // a session stays on the primary no longer after its last write
	kept     = 5 * time.Minute  // in which a session's write is remembered
)

// allPast tells whether every replica of the group is known to have applied past the token.
func (g *group) allPast(token time.Duration) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m.sendable && m != g.primary && m.pos < token && !m.doubted()
	})
}

func (r *Router) remember(who driver.Session, commit time.Duration) {
	r.tokens[who] = max(commit, r.tokens[who])
	r.host.Remembered(who, r.tokens[who])
}

// RecallToken takes the write of a session back into memory, for what is left of the time it is kept.
func (r *Router) RecallToken(who driver.Session, commit time.Duration) {
	if now := r.host.Now(); commit <= now && now-commit < kept {
		r.remember(who, commit)
	}
}
