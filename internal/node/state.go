package node

import (
	"errors"
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/background"
	odatafront "passtack/internal/front/odata"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// learned is what the driver keeps in a folder, where the operator gives it one.
type learned struct {
	store                     *storage.Store
	saver                     *persist.Saver
	recalled                  *persist.LearnedState
	unlisted                  time.Duration // until when what was recalled of members that nobody has listed is kept on
	at                        int           // place of the round over the members; 0: a new one begins
	begun                     bool
	discovery                 persist.ListVersion // whose list the entries that are kept are of
	entries                   map[string]bool     // of the list, that are kept
	quiet                     time.Duration       // until when failures are not logged
	recalling                 bool                // what the module is told is kept already
	saving, compacting, aging background.JobID
}

const (
	quietFor     = 5 * time.Second
	opening      = 2 * time.Second       // that a folder may take to be read before the driver goes on without
	membersATime = 64                    // of a slice of saving
	savingPart   = 20 * time.Millisecond // of a second, that saving may take of the loop and its worker
	mostBackOff  = time.Minute           // between tries to save that fail
	unlistedFor  = time.Minute
)

// recall opens the folder and takes back what an earlier life has saved. A folder that cannot be used is told, and stops nothing.
func (n *Node) recall() {
	t := n.config.State
	if t == nil {
		return
	}
	store, found, err := n.openFolder(t.DataDir, t.MaxBytes)
	if err != nil {
		slog.Warn("state_unusable", "folder", t.DataDir, "cause", err)
		n.Count("state_unusable")
		return
	}
	for _, lost := range found.Unreadable {
		slog.Warn("state_lost", "file", lost)
	}
	now := n.loop.Now()
	k := &learned{store: store, saver: persist.NewSaver(store, t.MaxBytes), recalled: persist.Restore(store), unlisted: now + unlistedFor, recalling: true, entries: make(map[string]bool)}
	n.learned = k
	r := k.recalled
	persist.ForEachSessionWrite(store, n.module.RecallToken)
	k.recalling = false
	if r.SavedAt > 0 {
		slog.Info("state_recalled", "members", len(r.Members), "sessions", r.SessionWrites, "listed", len(r.Endpoints), "age_ms", (now - r.SavedAt).Milliseconds(),
			"lost", len(found.Unreadable))
	}
	n.module.Usual(r.UsualLatencies...)
	n.list.Keep = n.keepList
	k.saving = n.chore(background.Job{Name: "save", Priority: 1, Period: t.SaveInterval, Deadline: 5 * time.Second, Budget: background.Usage{Time: savingPart}, MinBackoff: t.SaveInterval, MaxBackoff: mostBackOff}, n.save)
	k.compacting = n.chore(background.Job{Name: "compact", MinBackoff: time.Second, MaxBackoff: mostBackOff}, n.compact)
	k.aging = n.chore(background.Job{Name: "forget-repeats", Period: time.Second}, n.forgetRepeats)
}

// openFolder opens the folder, where the loop turns already or a disk that stalls would hold the start up.
func (n *Node) openFolder(path string, most int) (*storage.Store, storage.RecoveryReport, error) {
	type opened struct {
		store *storage.Store
		found storage.RecoveryReport
		err   error
	}
	if n.simulated {
		return persist.Open(path, n.site.Name, most)
	}
	read := make(chan opened, 1)
	go func() {
		s, found, err := persist.Open(path, n.site.Name, most)
		read <- opened{s, found, err}
	}()
	select {
	case o := <-read:
		return o.store, o.found, o.err
	case <-time.After(opening):
		go func() { // nobody uses it any more
			if o := <-read; o.err == nil {
				o.store.Close()
			}
		}()
		return nil, storage.RecoveryReport{}, errors.New("the disk does not answer")
	}
}

// recallList takes the list that was kept, where it is newer than the one the driver was started with and of the same discovery. It is
// perhaps out of date, so the whole list is asked for first.
func (n *Node) recallList() {
	if n.learned == nil {
		return
	}
	r := n.learned.recalled
	body := r.EndpointList()
	r.Endpoints = nil
	if body == nil || r.ListVersion.Discovery != n.site.Discovery || r.ListVersion.Revision <= n.list.Rev() {
		return
	}
	if err := n.list.Know(body); err != nil {
		slog.Warn("kept_list_unusable", "cause", err)
		return
	}
	n.Count("state_lists")
	n.list.Fetch()
}

// keepList takes over what discovery says.
func (n *Node) keepList(rev int64, whole bool, entries map[string][]byte) {
	k := n.learned
	if whole {
		for uid := range k.entries {
			if entries[uid] == nil {
				entries[uid] = nil
			}
		}
	}
	for uid, text := range entries {
		if k.saver.SetEndpoint(uid, text); text == nil {
			delete(k.entries, uid)
		} else {
			k.entries[uid] = true
		}
	}
	if now := (persist.ListVersion{Revision: rev, Discovery: n.site.Discovery}); now != k.discovery {
		k.discovery = now
		k.saver.SetListVersion(now)
	}
}

// recallRepeats takes back what a front remembered of repeatable requests, and keeps what it will.
func (n *Node) recallRepeats(name string, f *odatafront.Front) {
	k := n.learned
	if k == nil {
		return
	}
	if known := f.Repeats().Restore(k.recalled.Requests[name], n.loop.Now()); known > 0 {
		slog.Info("repeats_recalled", "front", name, "requests", known)
	}
	f.Repeats().Persist = func(key string, e []byte) { k.saver.SetRequest(name, xxh3.HashString(key), e) }
}

// forgetRepeats lets go of answers to repeats that nobody may ask for any more.
func (n *Node) forgetRepeats() (background.Usage, background.Outcome) {
	for _, d := range n.listeners.all {
		if f, ok := d.front.(*odatafront.Front); ok {
			f.Repeats().Expire(n.loop.Now())
		}
	}
	return background.Usage{}, background.Done
}

// recallMember gives the module what was saved of a member that is listed for the first time.
func (n *Node) recallMember(m driver.Member, uid string) {
	if n.learned == nil {
		return
	}
	if k, known := n.learned.recalled.Members[uid]; known {
		n.module.Recall(m, k, n.learned.recalled.SavedAt)
		delete(n.learned.recalled.Members, uid)
	}
}

// Remembered keeps the latest write of a session.
func (n *Node) Remembered(who driver.Session, commit time.Duration) {
	if n.learned != nil && !n.learned.recalling {
		n.learned.saver.SessionWrote(who, commit)
	}
}

// look takes a part of what the module knows into the round, and tells whether that was the last.
func (n *Node) look(most int) (last bool) {
	k := n.learned
	if !k.begun {
		k.begun, k.at = true, 0
		k.saver.BeginRound()
	}
	k.at = n.module.Learned(k.at, most, func(m driver.Member, known driver.Known) { k.saver.SaveMember(n.members.uids[m], known) })
	if k.at > 0 {
		return false
	}
	k.begun = false
	k.saver.SaveUsualLatencies(n.module.Usual())
	if n.loop.Now() < k.unlisted {
		for uid := range k.recalled.Members {
			k.saver.KeepMember(uid)
		}
	} else {
		clear(k.recalled.Members)
	}
	return true
}

// save looks at what has changed, and lets it be written.
func (n *Node) save() (background.Usage, background.Outcome) {
	if !n.look(membersATime) {
		return background.Usage{}, background.More
	}
	k := n.learned
	changes := k.saver.FinishRound(n.loop.Now())
	if changes == nil {
		return background.Usage{}, background.Done
	}
	bytes := 0
	for _, c := range changes {
		bytes += len(c.Name) + len(c.Value)
	}
	worth := false // the store is asked by the worker only: it waits for whoever has the disk
	n.carry(func() error {
		err := k.store.Commit(changes)
		worth = err == nil && k.store.CompactionDue()
		return err
	}, func(err error, took time.Duration) {
		k.saver.Committed(err)
		n.saved(err)
		n.returned(k.saving, background.Usage{Time: took, Bytes: bytes, Operations: 1}, err)
		if worth {
			n.askFor(k.compacting)
		}
	})
	return background.Usage{}, background.OnWorker
}

// compact lets a snapshot take the place of a long log.
func (n *Node) compact() (background.Usage, background.Outcome) {
	k := n.learned
	size := 0
	n.carry(func() error {
		err := k.store.Compact()
		size = k.store.Size()
		return err
	}, func(err error, took time.Duration) {
		n.saved(err)
		n.returned(k.compacting, background.Usage{Time: took, Bytes: size, Operations: 1}, err)
	})
	return background.Usage{}, background.OnWorker
}

func (n *Node) saved(err error) {
	now := n.loop.Now()
	if err == nil {
		n.Count("state_saves")
		return
	}
	n.Count("state_failures")
	if now >= n.learned.quiet {
		n.learned.quiet = now + quietFor
		slog.Warn("state_not_saved", "folder", n.config.State.DataDir, "cause", err)
	}
}

// LetGo gives the folder up, as the end of the process would, where the driver ran in another's.
func (n *Node) LetGo() {
	if n.learned != nil {
		n.learned.store.Close()
	}
	if n.leases != nil {
		n.leases.promises.close()
	}
	if n.configuration != nil {
		n.configuration.close()
	}
}

// saveRest writes what came since the latest commit, once the driver serves no more.
func (n *Node) saveRest() {
	k := n.learned
	if k == nil || k.saver.Committing() { // what is out is on a disk that does not answer
		return
	}
	for !n.look(membersATime) {
	}
	over := make(chan struct{})
	changes := k.saver.FinishRound(n.loop.Now())
	go func() {
		defer close(over)
		if changes != nil {
			if err := k.store.Commit(changes); err != nil && !errors.Is(err, storage.ErrTooLarge) {
				slog.Warn("state_not_saved", "folder", n.config.State.DataDir, "cause", err)
			}
		}
		n.LetGo()
	}()
	select {
	case <-over:
	case <-time.After(lastWords): // a disk that does not answer keeps no process
	}
}
