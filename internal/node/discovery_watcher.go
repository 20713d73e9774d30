package node

import (
	"encoding/binary"
	"time"

	"passtack/driver"
	"passtack/internal/discovery"
	"passtack/internal/eventloop"
	"passtack/internal/lease"
	"passtack/internal/peers"
)

const (
	announceInterval     = 300 * time.Millisecond // time between two announcements of the holder while its list does not change
	holderTimeout        = time.Second            // time without an announcement after which drivers watch discovery themselves
	revisionPollInterval = 20 * time.Millisecond  // time between two checks of the holder for a change of its list
	maxPauseOfPolls      = discovery.MaxWatch     // time without a poll of its own after which a paused driver polls discovery once, as the holder may be wrong
)

// discoveryWatcher is the task of watching discovery for all drivers. The driver that holds the task's lease announces the revision of its
// endpoint list. The other drivers pause their own watch and poll discovery only if the announced revision is newer than theirs. Each driver
// fetches the list from discovery itself. While the holder sends no announcements, or has no list from discovery, all drivers watch
// discovery themselves.
type discoveryWatcher struct {
	leases            *leaseService
	candidate         *lease.Candidate
	holding           bool            // whether this driver holds the lease
	announcedRevision int64           // as announced last by this driver
	timer             eventloop.Timer // the next check if this driver is the holder, otherwise the end of the pause
	paused            bool            // whether this driver's own watch is paused
	lastActive        time.Duration   // when the holder last sent an announcement, or another driver last polled discovery or paused its watch
}

// DiscoveryWatcherStatus is the status of the discovery watcher task on one driver.
type DiscoveryWatcherStatus struct {
	Paused   bool  `json:"rests"`    // whether its own watch of discovery is paused
	Revision int64 `json:"revision"` // revision of its endpoint list
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

// announce sends the revision of the holder's list to the other drivers if it is new or announceInterval has passed, and schedules the
// next check.
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
	n.loop.Cancel(w.timer) // a driver that lost the lease and acquired it again already has a timer
	w.timer = n.loop.At(now+revisionPollInterval, w.announce)
}

// receive handles an announcement of the holder.
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
