package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/internal/persist"
	"passtack/internal/storage"
)

// folderOpenTimeout is how long a folder may take to be read before the driver starts without it.
const directoryOpenTimeout = 2 * time.Second

var errDiskStalled = errors.New("the disk does not respond")

// folder is a folder of the operator's file, and how its troubles are reported.
type dataDirectory struct {
	path            string
	maxSize         int    // bytes
	unusableEvent   string // log event
	damagedEvent    string // log event, for each file of which something could not be read
	unusableCounter string // of starts without the folder
}

// openFolder opens a folder and reports what is wrong with it. A driver does not need its folders to serve: the store is nil if the folder
// cannot be used.
func (n *Node) openDataDirectory(f dataDirectory) (*storage.Store, storage.RecoveryReport) {
	store, report, err := n.openStore(f)
	if err != nil {
		slog.Warn(f.unusableEvent, "folder", f.path, "cause", err)
		n.Count(f.unusableCounter)
		return nil, report
	}
	for _, file := range report.Unreadable {
		slog.Warn(f.damagedEvent, "file", file)
	}
	return store, report
}

// openStore opens a folder. On a real disk it does so on another goroutine, since a disk that stalls would hold up the start.
func (n *Node) openStore(f dataDirectory) (*storage.Store, storage.RecoveryReport, error) {
	if n.simulated {
		return persist.Open(f.path, n.site.Name, f.maxSize)
	}
	type result struct {
		store  *storage.Store
		report storage.RecoveryReport
		err    error
	}
	opened := make(chan result, 1)
	go func() {
		store, report, err := persist.Open(f.path, n.site.Name, f.maxSize)
		opened <- result{store, report, err}
	}()
	select {
	case r := <-opened:
		return r.store, r.report, r.err
	case <-time.After(directoryOpenTimeout):
		go func() { // nobody will use the store
			if r := <-opened; r.err == nil {
				r.store.Close()
			}
		}()
		return nil, storage.RecoveryReport{}, errDiskStalled
	}
}

// CloseStores releases the folders of a driver, as the end of its process would.
func (n *Node) CloseStores() {
	n.learned.close()
	if n.leases != nil {
		n.leases.promises.close()
	}
	if n.configuration != nil && n.configuration.store != nil {
		n.configuration.store.Close()
	}
}
