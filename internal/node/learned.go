package node

import (
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/idempotency"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// keepUnlistedFor is how long after a start what is saved of members is kept that are not on the endpoint list.
const unlistedRetention = time.Minute

// learnedState saves in a folder what the driver learns and restores it at the next start. A driver without a folder has a nil
// *learnedState, whose methods do nothing.
type learnedState struct {
	node  *Node
	store *storage.Store

	restored            *persist.LearnedState // of members: what the module has not taken over yet
	retainUnlistedUntil time.Duration

	saver          *persist.Saver
	round          memberRound
	endpoints      savedEndpoints
	jobs           learnedJobs
	failureWarning logLimiter
}

// savedEndpoints is what the saver has been told of the endpoint list.
type savedEndpoints struct {
	version persist.ListVersion
	uids    map[string]bool
}

// restoreLearned opens the folder of learned state, if the operator's file names one, and restores all that the module takes at its
// start. A folder that cannot be used is reported and otherwise ignored.
func (n *Node) restoreLearned() {
	config := n.config.State
	if config == nil {
		return
	}
	store, report := n.openDataDirectory(dataDirectory{
		path: config.DataDir, maxSize: config.MaxBytes,
		unusableEvent: "learned state unusable", damagedEvent: "learned state damaged", unusableCounter: "state_unusable",
	})
	if store == nil {
		return
	}
	now := n.loop.Now()
	l := &learnedState{
		node: n, store: store,
		restored: persist.Restore(store), retainUnlistedUntil: now + unlistedRetention,
		saver: persist.NewSaver(store, config.MaxBytes), endpoints: savedEndpoints{uids: make(map[string]bool)},
	}
	persist.ForEachSessionWrite(store, n.module.RestoreSessionCommit)
	n.module.TypicalLatencies(l.restored.UsualLatencies...)
	l.logRestored(now, len(report.Unreadable))
	n.discovery.OnList = l.saveEndpoints
	l.addJobs(config.SaveInterval)
	n.learned = l // from now on writes of sessions are saved: the restored ones are stored already
}

func (l *learnedState) logRestored(now time.Duration, unreadable int) {
	r := l.restored
	if r.SavedAt > 0 {
		slog.Info("learned state restored", "members", len(r.Members), "sessions", r.SessionWrites, "endpoints", len(r.Endpoints),
			"age_ms", (now - r.SavedAt).Milliseconds(), "lost", unreadable)
	}
}

// restoreList gives discovery the saved endpoint list, if it is of the same discovery and newer than the one that the driver was
// started with. It may be out of date, so the complete list is fetched first.
func (l *learnedState) restoreList() {
	if l == nil {
		return
	}
	n, r := l.node, l.restored
	body := r.EndpointList()
	r.Endpoints = nil // the memory is not needed any more
	if body == nil || r.ListVersion.Discovery != n.site.Discovery || r.ListVersion.Revision <= n.discovery.Revision() {
		return
	}
	if err := n.discovery.Restore(body); err != nil {
		slog.Warn("saved endpoint list unusable", "cause", err)
		return
	}
	n.Count("state_lists")
	n.discovery.Fetch()
}

// restoreRequests gives a front the saved idempotent requests, and saves those that it finishes from now on.
func (l *learnedState) restoreRequests(front string, requests *idempotency.Registry) {
	if l == nil {
		return
	}
	if restored := requests.Restore(l.restored.Requests[front], l.node.loop.Now()); restored > 0 {
		slog.Info("idempotent requests restored", "front", front, "requests", restored)
	}
	requests.Persist = func(key string, entry []byte) {
		l.saver.SetRequest(front, xxh3.HashString(key), entry)
	}
}

// restoreMember gives the module what was saved of a member that is listed for the first time.
func (l *learnedState) restoreMember(member driver.Member, uid string) {
	if l == nil {
		return
	}
	if k, found := l.restored.Members[uid]; found {
		l.node.module.RestoreMember(member, k, l.restored.SavedAt)
		delete(l.restored.Members, uid)
	}
}

// close releases the folder for another process.
func (l *learnedState) close() {
	if l != nil {
		l.store.Close()
	}
}
