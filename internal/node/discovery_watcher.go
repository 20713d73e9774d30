package node

import (
	"encoding/binary"
	"time"

	"passtack/driver"
	"passtack/internal/discovery"
	"passtack/internal/lease"
	"passtack/internal/loop"
	"passtack/internal/peers"
)

const (
	announceInterval     = 300 * time.Millisecond // between two messages of the holder while its list does not change
	holderTimeout        = time.Second            // after which drivers watch for themselves if the holder is silent
	revisionPollInterval = 20 * time.Millisecond  // in which the holder notices that its list has changed
	maxPauseOfPolls      = discovery.MaxWatch     // after which a paused driver asks discovery all the same, as the holder may be wrong
)

// discoveryWatcher is the task of watching discovery for all drivers: the holder announces the revision of its endpoint list, and the other
// drivers pause their own watch and ask discovery only once the announced revision is newer than theirs. Each driver gets the list itself
// from discovery. While the holder is silent, or has no list from discovery, all drivers watch for themselves.
type discoveryWatcher struct {
	leases            *leaseService
	candidate         *lease.Candidate
	holding           bool
	announcedRevision int64
	timer             loop.Timer    // the holder's next check, or the end of another driver's pause
	paused            bool          // this driver's own watch
	lastActive        time.Duration // when the holder last announced, or another driver last asked discovery or began a pause
}

// DiscoveryWatcherStatus is the status of the task on one driver.
type DiscoveryWatcherStatus struct {
	Paused   bool  `json:"rests"`    // its own watch of discovery is paused
	Revision int64 `json:"revision"` // of its endpoint list
}

func (w *discoveryWatcher) acquired() {
	w.holding = true
	w.setPaused(false)
	w.announce()
}

func (w *discoveryWatcher) lost() {
	w.holding = false
	w.leases.node.loop.Cancel(w.timer)
}

// announce tells the other drivers the revision of the holder's list, at once where it is new, and checks it again soon.
func (w *discoveryWatcher) announce() {
	n := w.leases.node
	if !w.holding {
		return
	}
	if _, ok := w.candidate.Held(w.leases.clock()); !ok {
		return
	}
	now := n.loop.Now()
	if revision := n.discovery.Revision(); n.discovery.Fresh() && (revision != w.announcedRevision || now-w.lastActive >= announceInterval) {
		w.announcedRevision, w.lastActive = revision, now
		n.Count("revisions_sent")
		w.leases.messenger.send(driver.EveryPeer, peers.Revision, encodeRevision(revision))
	}
	n.loop.Cancel(w.timer) // a driver that lost the lease and acquired it again has one already
	w.timer = n.loop.At(now+revisionPollInterval, w.announce)
}

// receive takes the holder's announcement.
func (w *discoveryWatcher) receive(_ lease.Node, m peers.Message) {
	revision, ok := decodeRevision(m)
	if !ok || w.holding {
		return
	}
	n := w.leases.node
	now := n.loop.Now()
	n.loop.Cancel(w.timer)
	w.timer = n.loop.At(now+holderTimeout, func() { w.setPaused(false) })
	if revision > n.discovery.Revision() || now-w.lastActive >= maxPauseOfPolls {
		w.lastActive = now
		n.discovery.Poll()
	}
	w.setPaused(true)
}

// setPaused pauses or resumes this driver's own watch.
func (w *discoveryWatcher) setPaused(paused bool) {
	if w.paused == paused {
		return
	}
	w.paused = paused
	if paused {
		w.lastActive = w.leases.node.loop.Now()
	}
	w.leases.node.discovery.SetPaused(paused)
}

func (w *discoveryWatcher) status() any {
	return DiscoveryWatcherStatus{Paused: w.paused, Revision: w.leases.node.discovery.Revision()}
}

func encodeRevision(revision int64) []byte {
	return binary.LittleEndian.AppendUint64(nil, uint64(revision))
}

func decodeRevision(m peers.Message) (revision int64, ok bool) {
	if m.Kind != peers.Revision || len(m.Body) != 8 {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(m.Body)), true
}
