package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/linkedlist"
	"passtack/internal/settings"
)

// A client that repeats a keyed RPC sends another RPC with the same key. Members recognize the duplicate for the retry window of the first
// run, so the attempts of the repeat end with that window too, and the repeat is not rejected with a promise that a retry is harmless.

// maxRunKeys bounds the number of keys whose runs are remembered. The oldest are forgotten first.
const maxRunKeys = 8192

// runKey identifies all RPCs that the members of a group take for one.
type runKey struct {
	group driver.Group
	key   driver.Key
}

// keyRuns are the runs of a key that may have taken effect, over all tries of its client.
type keyRuns struct {
	key         runKey
	firstAt     time.Duration // when the first one was sent
	firstZone   driver.Zone
	forgottenAt time.Duration                // when members forget the last one
	link        linkedlist.Element[*keyRuns] // in runsByKey.oldest
}

// runsByKey holds the runs that members still recognize duplicates of. Its zero value is empty.
type runsByKey struct {
	keys   map[runKey]*keyRuns
	oldest linkedlist.List[*keyRuns] // in the order of their latest runs
}

// find returns the runs of a key, or nil if members recognize no duplicate of it now.
func (b *runsByKey) find(key runKey, now time.Duration) *keyRuns {
	runs := b.keys[key]
	if runs == nil || now >= runs.forgottenAt {
		return nil
	}
	return runs
}

// add adds or updates the runs of a key. It removes those that members have forgotten, and the oldest if there are too many.
func (b *runsByKey) add(runs *keyRuns, now time.Duration) {
	if b.keys == nil {
		b.keys = make(map[runKey]*keyRuns)
	}
	if former := b.keys[runs.key]; former != nil {
		former.link.Remove()
	}
	b.keys[runs.key], runs.link.Value = runs, runs
	b.oldest.PushBack(&runs.link)
	for link := b.oldest.Front(); link != nil && (now >= link.Value.forgottenAt || b.oldest.Len() > maxRunKeys); link = b.oldest.Front() {
		link.Remove()
		delete(b.keys, link.Value.key)
	}
}

// rememberRun remembers an attempt of a keyed RPC that may have run.
func (r *Router) rememberRun(q *rpc, a *attempt) {
	if q.Key == 0 || q.method.Effect != settings.Keyed {
		return
	}
	key, now := runKey{q.Group, q.Key}, r.host.Now()
	runs := r.runs.find(key, now)
	if runs == nil {
		runs = &keyRuns{key: key, firstAt: a.sentAt, firstZone: a.member.zone}
	}
	if a.sentAt < runs.firstAt {
		runs.firstAt, runs.firstZone = a.sentAt, a.member.zone
	}
	runs.forgottenAt = max(runs.forgottenAt, a.sentAt+q.method.RetryWindow)
	r.runs.add(runs, now)
}

// boundByEarlierTries treats an RPC as one that may have run if its client has sent it before and that try may have.
func (r *Router) boundByEarlierTries(q *rpc, now time.Duration) {
	if q.Key == 0 || q.method.Effect != settings.Keyed {
		return
	}
	if runs := r.runs.find(runKey{q.Group, q.Key}, now); runs != nil {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, runs.firstAt, runs.firstZone
		q.boundByRetryWindow()
	}
}

// EarlierTryMayHaveRun reports whether a try of a keyed RPC may have run, and members still recognize duplicates of it. A host that rejects
// a repeat itself must not promise then that a retry is harmless: members may have forgotten the try by that time.
func (r *Router) EarlierTryMayHaveRun(group driver.Group, key driver.Key) bool {
	return key != 0 && r.runs.find(runKey{group, key}, r.host.Now()) != nil
}

// boundByRetryWindow limits the time for further attempts of a keyed RPC that may have run.
func (q *rpc) boundByRetryWindow() {
	if q.mayHaveRun && q.method.Effect == settings.Keyed {
		q.sendBy = min(q.sendBy, q.firstRunAt+q.method.RetryWindow-deliveryTime)
	}
}
