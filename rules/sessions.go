package rules

import (
	"slices"
	"time"

	"passtack/driver"
)

const (
	maxSessionPin   = 10 * time.Second // a session stays on the primary no longer after its last write
	commitRetention = 5 * time.Minute  // in which a session's write is remembered
)

// allPast tells whether every replica of the group is known to have applied past the token.
func (g *group) replicasCaughtUp(token time.Duration) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m.available && m != g.primary && m.position < token && !m.presumedGone()
	})
}

func (r *Router) rememberCommit(who driver.Session, commit time.Duration) {
	r.sessionCommits[who] = max(commit, r.sessionCommits[who])
	r.host.Remembered(who, r.sessionCommits[who])
}

// RecallToken takes the write of a session back into memory, for what is left of the time it is kept.
func (r *Router) RestoreSessionCommit(who driver.Session, commit time.Duration) {
	if now := r.host.Now(); commit <= now && now-commit < commitRetention {
		r.rememberCommit(who, commit)
	}
}
