package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/internal/persist"
	"passtack/internal/storage"
)

// directoryOpenTimeout is the longest time for reading a data directory. After it the driver starts without the directory.
const directoryOpenTimeout = 2 * time.Second

var errDiskStalled = errors.New("data directory not read in time: the disk does not respond")

// dataDirectory describes a folder named in the operator's file, and how its faults are reported.
type dataDirectory struct {
	path            string
	maxSize         int    // bytes
	unusableEvent   string // log event
	damagedEvent    string // log event for each file that could not be read completely
	unusableCounter string // counts starts without the directory
}

// openDataDirectory opens a data directory and logs its faults. If the directory cannot be used, the store is nil and the driver serves
// without it.
func (n *Node) openDataDirectory(d dataDirectory) (*storage.Store, storage.RecoveryReport) {
	store, report, err := n.openStore(d)
	if err != nil {
		slog.Warn(d.unusableEvent, "folder", d.path, "cause", err)
		n.Count(d.unusableCounter)
		return nil, report
	}
	for _, file := range report.Unreadable {
		slog.Warn(d.damagedEvent, "file", file)
	}
	return store, report
}

// openStore opens a data directory. For a real disk it uses another goroutine, since a disk that stalls would block the start.
func (n *Node) openStore(d dataDirectory) (*storage.Store, storage.RecoveryReport, error) {
	if n.simulated {
		return persist.Open(d.path, n.site.Name, d.maxSize)
	}
	type result struct {
		store  *storage.Store
		report storage.RecoveryReport
		err    error
	}
	opened := make(chan result, 1)
	go func() {
		store, report, err := persist.Open(d.path, n.site.Name, d.maxSize)
		opened <- result{store, report, err}
	}()
	select {
	case r := <-opened:
		return r.store, r.report, r.err
	case <-time.After(directoryOpenTimeout):
		go func() { // closes the store if the directory is opened after the timeout
			if r := <-opened; r.err == nil {
				r.store.Close()
			}
		}()
		return nil, storage.RecoveryReport{}, errDiskStalled
	}
}

// CloseStores closes the data directories of a driver, as the end of its process would.
func (n *Node) CloseStores() {
	n.learned.close()
	if n.leases != nil {
		n.leases.promises.close()
	}
	if n.configuration != nil {
		n.configuration.close()
	}
}
