package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/keep"
	"passtack/internal/state"
)

// learned is what the driver keeps in a folder, where the operator gives it one.
type learned struct {
	store    *keep.Store
	saver    *state.Saver
	recalled *state.Recalled
	carry    func(commit func() error, then func(error)) // lets a worker write
	quiet    time.Duration                               // until when failures are not logged
}

const (
	lookingToSave = 100 * time.Millisecond
	quietFor      = 5 * time.Second
)

// recall opens the folder and takes back what an earlier life has saved. A folder that cannot be used is told, and stops nothing.
func (n *Node) recall() {
	t := n.wants.State
	if t == nil {
		return
	}
	store, found, err := state.Open(t.Folder, n.site.Name, t.Bytes)
	if err != nil {
		slog.Warn("state_unusable", "folder", t.Folder, "cause", err)
		n.Count("state_unusable")
		return
	}
	for _, lost := range found.Lost {
		slog.Warn("state_lost", "file", lost)
	}
	n.learned = &learned{store: store, saver: state.NewSaver(store, t.Every, n.loop.Now()), recalled: state.Read(store)}
	n.learned.carry = func(commit func() error, then func(error)) { then(commit()) }
	r := n.learned.recalled
	for who, commit := range r.Sessions {
		n.module.RecallToken(who, commit)
	}
	if r.Saved > 0 {
		slog.Info("state_recalled", "members", len(r.Members), "sessions", len(r.Sessions), "age_ms", (n.loop.Now() - r.Saved).Milliseconds(), "lost", len(found.Lost))
	}
	n.loop.At(n.loop.Now()+lookingToSave, n.save)
}

// recallMember gives the module what was saved of a member that is listed for the first time.
func (n *Node) recallMember(m driver.Member, uid string) {
	if n.learned == nil {
		return
	}
	if k, known := n.learned.recalled.Members[uid]; known {
		n.module.Recall(m, k, n.learned.recalled.Saved)
		delete(n.learned.recalled.Members, uid)
	}
}

// save lets what has changed be written, when it is time.
func (n *Node) save() {
	if changes := n.learned.saver.Collect(n.loop.Now(), n.all); changes != nil {
		n.learned.carry(func() error { return n.learned.store.Commit(changes) }, n.saved)
	}
	n.loop.At(n.loop.Now()+lookingToSave, n.save)
}

// all gives what the module has learned, members by their uids.
func (n *Node) all(member func(string, driver.Known), session func(driver.Session, time.Duration)) {
	n.module.Learned(func(m driver.Member, k driver.Known) { member(n.uids[m], k) }, session)
}

func (n *Node) saved(err error) {
	now := n.loop.Now()
	n.learned.saver.Committed(now, err)
	if err == nil {
		n.Count("state_saves")
		return
	}
	n.Count("state_failures")
	if now >= n.learned.quiet {
		n.learned.quiet = now + quietFor
		slog.Warn("state_not_saved", "folder", n.wants.State.Folder, "cause", err)
	}
}

// LetGo gives the folder up, as the end of the process would, where the driver ran in another's.
func (n *Node) LetGo() {
	if n.learned != nil {
		n.learned.store.Close()
	}
}

// work lets a goroutine of its own write from now on, one commit after the other; it rings the loop.
func (n *Node) work(posted chan<- func()) (end func()) {
	if n.learned == nil {
		return func() {}
	}
	type job struct {
		commit func() error
		then   func(error)
	}
	jobs, over := make(chan job, 1), make(chan struct{})
	n.learned.carry = func(commit func() error, then func(error)) { jobs <- job{commit, then} }
	go func() {
		defer close(over)
		for j := range jobs {
			err := j.commit()
			posted <- func() { j.then(err) }
			n.loop.Ring()
		}
	}()
	return func() {
		close(jobs)
		<-over
		// what came since the latest commit, once the driver serves no more
		if changes := n.learned.saver.Rest(n.loop.Now(), n.all); changes != nil {
			if err := n.learned.store.Commit(changes); err != nil && !errors.Is(err, keep.ErrTooMuch) {
				slog.Warn("state_not_saved", "folder", n.wants.State.Folder, "cause", err)
			}
		}
		n.LetGo()
	}
}
