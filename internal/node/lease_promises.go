package node

import (
	"log/slog"
	"slices"
	"time"

	"passtack/internal/lease"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

const maxPromiseStorage = 1 << 20 // bytes

// promiseStorage stores a voter's promises. Promises that arrive during a commit are written together by the next one.
type promiseStorage struct {
	node           *Node
	directory      string
	store          *storage.Store
	pending        []pendingPromise // not stored yet, oldest first
	writing        int              // number of promises at the start of pending that are being committed
	afterCommit    func()
	failureWarning logLimiter
}

type pendingPromise struct {
	lease   string
	promise lease.Promise
	done    func(error)
}

// openPromises opens the storage and reads the promises in it. Without a directory, or if the storage cannot be used, it returns nil. The
// voter may run without storage, since it grants nothing after a start until all earlier grants have expired. afterCommit is called after
// each commit.
func (n *Node) openPromises(directory string, afterCommit func()) (*promiseStorage, map[string]lease.Promise) {
	if directory == "" {
		return nil, nil
	}
	store, _ := n.openDataDirectory(dataDirectory{
		path: directory, maxSize: maxPromiseStorage,
		unusableEvent: "lease storage unusable", damagedEvent: "lease storage lost a file", unusableCounter: "lease_storage_unusable",
	})
	if store == nil {
		return nil, nil
	}
	return &promiseStorage{node: n, directory: directory, store: store, afterCommit: afterCommit}, persist.RestorePromises(store)
}

// persist stores a promise and calls done, in a later iteration of the loop.
func (s *promiseStorage) persist(name string, p lease.Promise, done func(error)) {
	s.pending = append(s.pending, pendingPromise{name, p, done})
	s.commit()
}

// commit writes all pending promises. If a commit is in progress, they are written when it has ended.
func (s *promiseStorage) commit() {
	if s.writing > 0 || len(s.pending) == 0 {
		return
	}
	s.writing = len(s.pending)
	var changes []storage.Change
	for _, p := range s.pending {
		changes = append(changes, persist.PromiseChange(p.lease, p.promise))
	}
	s.node.workers.run(func() error { return s.store.Commit(changes) }, func(err error, _ time.Duration) { s.committed(err) })
}

func (s *promiseStorage) committed(err error) {
	done := s.pending[:s.writing]
	s.pending, s.writing = slices.Clone(s.pending[s.writing:]), 0
	if err != nil {
		s.node.Count("lease_promises_not_stored")
		if s.failureWarning.allow(s.node.loop.Now()) {
			slog.Warn("lease promises not stored", "folder", s.directory, "cause", err)
		}
	}
	for _, p := range done {
		p.done(err)
	}
	s.commit()
	s.afterCommit()
}

// close closes the directory, so that another process may use it. The receiver may be nil.
func (s *promiseStorage) close() {
	if s != nil {
		s.store.Close()
	}
}
