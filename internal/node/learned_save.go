package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/background"
	odatafront "passtack/internal/front/odata"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

const (
	membersPerSlice    = 64
	saveDeadline       = 5 * time.Second
	saveTimePerSecond  = 20 * time.Millisecond // time of the event loop for saving, per second
	compactMinBackoff  = time.Second
	maxSaveBackoff     = time.Minute // longest backoff of saving and of compacting
	expirationInterval = time.Second // time between two removals of expired idempotent requests
)

// learnedJobs holds the background jobs that are triggered or whose slices end on a worker.
type learnedJobs struct {
	save, compact background.JobID
}

// memberRound is a round over the module's members in slices, in which the saver receives the learned state of each.
type memberRound struct {
	begun bool
	next  int // index of the next member
}

func (l *learnedState) addJobs(saveInterval time.Duration) {
	jobs := l.node.background
	l.jobs.save = jobs.add(background.Job{
		Name: "save", Priority: 1, Period: saveInterval, Deadline: saveDeadline,
		Budget:     background.Usage{Time: saveTimePerSecond},
		MinBackoff: saveInterval, MaxBackoff: maxSaveBackoff,
	}, l.saveSlice)
	l.jobs.compact = jobs.add(background.Job{
		Name: "compact", MinBackoff: compactMinBackoff, MaxBackoff: maxSaveBackoff,
	}, l.compactSlice)
	jobs.add(background.Job{Name: "forget-repeats", Period: expirationInterval}, l.expireRequests)
}

// saveEndpoints passes an endpoint list to the saver. Entries of endpoints that are gone are nil.
func (l *learnedState) saveEndpoints(revision int64, complete bool, entries map[string][]byte) {
	saved := &l.endpoints
	if complete {
		for uid := range saved.uids {
			if entries[uid] == nil {
				entries[uid] = nil // present, so that it is deleted below
			}
		}
	}
	for uid, entry := range entries {
		l.saver.SetEndpoint(uid, entry)
		if entry == nil {
			delete(saved.uids, uid)
		} else {
			saved.uids[uid] = true
		}
	}
	version := persist.ListVersion{Revision: revision, Discovery: l.node.site.Discovery}
	if version != saved.version {
		saved.version = version
		l.saver.SetListVersion(version)
	}
}

// sessionWrote saves the latest write of a session.
func (l *learnedState) sessionWrote(session driver.Session, writtenAt time.Duration) {
	if l != nil {
		l.saver.SessionWrote(session, writtenAt)
	}
}

// saveMembers passes up to membersPerSlice more members to the saver and reports whether the round is complete.
func (l *learnedState) saveMembers() (complete bool) {
	n, r := l.node, &l.round
	if !r.begun {
		r.begun = true
		l.saver.BeginRound()
	}
	r.next = n.module.LearnedMembers(r.next, membersPerSlice, func(m driver.Member, snapshot driver.MemberSnapshot) {
		l.saver.SaveMember(n.members.uids[m], snapshot)
	})
	if r.next > 0 {
		return false
	}
	r.begun = false
	l.saver.SaveUsualLatencies(n.module.TypicalLatencies())
	l.retainUnlisted()
	return true
}

// retainUnlisted retains the saved state of members that are not on the endpoint list, until unlistedRetention is over.
func (l *learnedState) retainUnlisted() {
	if l.node.loop.Now() >= l.retainUnlistedUntil {
		clear(l.restored.Members)
		return
	}
	for uid := range l.restored.Members {
		l.saver.KeepMember(uid)
	}
}

// saveSlice is a slice of the job "save": it collects changes and lets a worker commit them.
func (l *learnedState) saveSlice() (background.Usage, background.Outcome) {
	if !l.saveMembers() {
		return background.Usage{}, background.More
	}
	changes := l.saver.FinishRound(l.node.loop.Now())
	if changes == nil {
		return background.Usage{}, background.Done
	}
	compactionDue := false // read from the store by the worker only: the store blocks during a commit
	commit := func() error {
		err := l.store.Commit(changes)
		compactionDue = err == nil && l.store.CompactionDue()
		return err
	}
	l.node.workers.run(commit, func(err error, took time.Duration) {
		l.saver.Committed(err)
		l.reportCommit(err)
		l.workerReturned(l.jobs.save, took, size(changes), err)
		if compactionDue {
			l.node.background.trigger(l.jobs.compact)
		}
	})
	return background.Usage{}, background.OnWorker
}

// size returns the total length of the names and values of changes in bytes.
func size(changes []storage.Change) (bytes int) {
	for _, c := range changes {
		bytes += len(c.Name) + len(c.Value)
	}
	return bytes
}

// compactSlice is the job "compact": a worker replaces a long log by a snapshot.
func (l *learnedState) compactSlice() (background.Usage, background.Outcome) {
	size := 0
	compact := func() error {
		err := l.store.Compact()
		size = l.store.Size()
		return err
	}
	l.node.workers.run(compact, func(err error, took time.Duration) {
		l.reportCommit(err)
		l.workerReturned(l.jobs.compact, took, size, err)
	})
	return background.Usage{}, background.OnWorker
}

func (l *learnedState) workerReturned(job background.JobID, took time.Duration, bytes int, err error) {
	l.node.background.workerReturned(job, background.Usage{Time: took, Bytes: bytes, Operations: 1}, err)
}

// reportCommit counts the outcome of a commit or a compaction, and logs failures.
func (l *learnedState) reportCommit(err error) {
	if err == nil {
		l.node.Count("state_saves")
		return
	}
	l.node.Count("state_failures")
	if l.failureWarning.allow(l.node.loop.Now()) {
		l.logNotSaved(err)
	}
}

func (l *learnedState) logNotSaved(err error) {
	slog.Warn("learned state not saved", "folder", l.node.config.State.DataDir, "cause", err)
}

// expireRequests is the job "forget-repeats": it removes idempotent requests whose retention is over from the fronts.
func (l *learnedState) expireRequests() (background.Usage, background.Outcome) {
	for _, listener := range l.node.listeners.all {
		if f, ok := listener.front.(*odatafront.Front); ok {
			f.Registry().Expire(l.node.loop.Now())
		}
	}
	return background.Usage{}, background.Done
}

// saveRemaining commits the changes since the last commit, after the driver has stopped serving, and closes all stores. It waits for
// workerTimeout at most. If a commit is still in progress, the disk does not respond, and nothing is saved or closed.
func (l *learnedState) saveRemaining() {
	if l == nil || l.saver.Committing() {
		return
	}
	for !l.saveMembers() {
	}
	changes := l.saver.FinishRound(l.node.loop.Now())
	ended := make(chan struct{}, 1)
	go func() {
		l.commitRemaining(changes)
		l.node.CloseStores()
		ended <- struct{}{}
	}()
	awaitAll(ended, 1, workerTimeout)
}

func (l *learnedState) commitRemaining(changes []storage.Change) {
	if changes == nil {
		return
	}
	if err := l.store.Commit(changes); err != nil && !errors.Is(err, storage.ErrTooLarge) {
		l.logNotSaved(err)
	}
}
