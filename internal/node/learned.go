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

// unlistedRetention is how long after a start the saved state of members that are not on the endpoint list is retained.
const unlistedRetention = time.Minute

// learnedState saves the state that the driver learns in a folder and restores it at the next start. A driver without a folder has a nil
// *learnedState, whose methods do nothing.
type learnedState struct {
	node  *Node
	store *storage.Store

	restored            *persist.LearnedState // its Members are those not passed to the module yet
	retainUnlistedUntil time.Duration

	saver          *persist.Saver
	round          memberRound
	endpoints      savedEndpoints
	jobs           learnedJobs
	failureWarning logLimiter
}

// savedEndpoints identifies the endpoint list that was last passed to the saver.
type savedEndpoints struct {
	version persist.ListVersion
	uids    map[string]bool
}

// restoreLearned opens the folder of learned state, if the operator's file names one, and restores everything that the module receives at
// its start. A folder that cannot be used is logged and otherwise ignored.
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
	n.learned = l // set last: from now on writes of sessions are saved, and the restored ones are stored already
}

func (l *learnedState) logRestored(now time.Duration, unreadable int) {
	r := l.restored
	if r.SavedAt > 0 {
		slog.Info("learned state restored", "members", len(r.Members), "sessions", r.SessionWrites, "endpoints", len(r.Endpoints),
			"age_ms", (now - r.SavedAt).Milliseconds(), "lost", unreadable)
	}
}

// restoreList passes the saved endpoint list to discovery, if it comes from the same discovery and is newer than the list that the driver
// was started with. It may be out of date, so the complete list is requested at once.
func (l *learnedState) restoreList() {
	if l == nil {
		return
	}
	n, r := l.node, l.restored
	body := r.EndpointList()
	r.Endpoints = nil // frees the memory
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

// restoreRequests passes the saved idempotent requests to a front, and saves the requests that the front completes from now on.
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

// restoreMember passes the saved state of a member to the module when the member is listed for the first time.
func (l *learnedState) restoreMember(member driver.Member, uid string) {
	if l == nil {
		return
	}
	if saved, found := l.restored.Members[uid]; found {
		l.node.module.RestoreMember(member, saved, l.restored.SavedAt)
		delete(l.restored.Members, uid)
	}
}

// close closes the folder, so that another process may use it.
func (l *learnedState) close() {
	if l != nil {
		l.store.Close()
	}
}
