package rules

import (
	"time"

	"passtack/driver"
	"passtack/internal/linkedlist"
	"passtack/internal/settings"
)

// A client that repeats a keyed RPC sends another RPC with the same key. Members recognize the duplicate for the retry window of the first
// run, so the attempts of the repeat end with that window too, and the repeat is not rejected with a promise that a retry is harmless.

// maxFirstRuns bounds the number of keys whose first run is remembered. The oldest are forgotten first.
const maxFirstRuns = 8192

// runKey identifies all RPCs that the members of a group take for one.
type runKey struct {
	group driver.Group
	key   driver.Key
}

// firstRun is the first run of a key that may have taken effect. Members recognize duplicates of it until forgottenAt.
type firstRun struct {
	key             runKey
	at, forgottenAt time.Duration
	zone            driver.Zone
	link            linkedlist.Element[*firstRun] // in firstRuns.oldest
}

// firstRuns holds the first runs that members still recognize duplicates of. Its zero value is empty.
type firstRuns struct {
	byKey  map[runKey]*firstRun
	oldest linkedlist.List[*firstRun] // in the order in which they were added
}

// find returns the first run of a key, or nil if members recognize no duplicate of it now.
func (f *firstRuns) find(key runKey, now time.Duration) *firstRun {
	run := f.byKey[key]
	if run == nil || now >= run.forgottenAt {
		return nil
	}
	return run
}

// add adds a run. It removes those that members have forgotten, and the oldest if there are too many.
func (f *firstRuns) add(run *firstRun, now time.Duration) {
	if f.byKey == nil {
		f.byKey = make(map[runKey]*firstRun)
	}
	if former := f.byKey[run.key]; former != nil {
		former.link.Remove()
	}
	f.byKey[run.key], run.link.Value = run, run
	f.oldest.PushBack(&run.link)
	for {
		first := f.oldest.Front().Value
		if now < first.forgottenAt && f.oldest.Len() <= maxFirstRuns {
			return
		}
		first.link.Remove()
		delete(f.byKey, first.key)
		if f.oldest.Len() == 0 {
			return
		}
	}
}

// rememberFirstRun remembers an attempt that may have run, unless an earlier one of its key is known.
func (r *Router) rememberFirstRun(q *rpc, a *attempt) {
	key, now := runKey{q.Group, q.Key}, r.host.Now()
	if q.Key == 0 || q.method.Effect != settings.Keyed || r.firstRuns.find(key, now) != nil {
		return
	}
	r.firstRuns.add(&firstRun{key: key, at: a.sentAt, forgottenAt: a.sentAt + q.method.RetryWindow, zone: a.member.zone}, now)
}

// boundByFirstRun treats an RPC as one that may have run if its client has sent it before and that try may have.
func (r *Router) boundByFirstRun(q *rpc, now time.Duration) {
	if q.Key == 0 || q.method.Effect != settings.Keyed {
		return
	}
	if run := r.firstRuns.find(runKey{q.Group, q.Key}, now); run != nil {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, run.at, run.zone
		q.boundByRetryWindow()
	}
}

// EarlierTryMayHaveRun reports whether a try of a keyed RPC may have run, and members still recognize duplicates of it. A host that rejects
// a repeat itself must not promise then that a retry is harmless: members may have forgotten the try by that time.
func (r *Router) EarlierTryMayHaveRun(group driver.Group, key driver.Key) bool {
	return key != 0 && r.firstRuns.find(runKey{group, key}, r.host.Now()) != nil
}

// boundByRetryWindow limits the time for further attempts of a keyed RPC that may have run.
func (q *rpc) boundByRetryWindow() {
	if q.mayHaveRun && q.method.Effect == settings.Keyed {
		q.sendBy = min(q.sendBy, q.firstRunAt+q.method.RetryWindow-deliveryTime)
	}
}
