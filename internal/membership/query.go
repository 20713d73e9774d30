package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
)

// NodeStatus is the status of one driver according to this driver's list.
type NodeStatus struct {
	Entry
	Self           bool
	StatusAge      time.Duration // time since its status changed last
	LastSeenAgo    time.Duration
	Reason         string // for the latest change of its status
	SuspectorCount int    // number of drivers whose own probes of it failed
}

// Nodes returns all known drivers, ordered by name.
func (l *List) Nodes(now time.Duration) []NodeStatus {
	var all []NodeStatus
	for _, node := range l.nodes.sorted {
		all = append(all, NodeStatus{
			Entry:          node.Entry,
			Self:           node == l.self,
			StatusAge:      now - node.statusSince,
			LastSeenAgo:    now - node.lastSeenAt,
			Reason:         node.reason,
			SuspectorCount: len(node.suspicion.suspectors),
		})
	}
	slices.SortFunc(all, func(a, b NodeStatus) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	return all
}

// Lookup returns the entry of one driver; known is false if the list does not have it.
func (l *List) Lookup(id NodeID) (e Entry, known bool) {
	if node := l.nodes.get(id); node != nil {
		return node.Entry, true
	}
	return Entry{}, false
}

// ActiveCount returns the number of drivers, including this one, that are neither dead nor have left.
func (l *List) ActiveCount() int { return l.nodes.activeCount() }

// Checksum returns the checksum over the active drivers: equal lists have equal checksums.
func (l *List) Checksum() uint64 { return l.nodes.activeChecksum() }

// Stats returns the counters.
func (l *List) Stats() Stats { return l.stats }

// Owner returns the name of the alive driver that owns a key, by rendezvous hashing: few keys migrate when drivers come and go. Drivers whose
// lists differ may return different owners.
func (l *List) Owner(key string) (name string) {
	best := uint64(0)
	for _, node := range l.nodes.sorted {
		if node.Status != Alive {
			continue
		}
		if weight := xxh3.HashStringSeed(key, uint64(node.ID)); name == "" || weight > best {
			best, name = weight, node.Name
		}
	}
	return name
}

// SampleAlive returns the addresses of other alive drivers, limit at most: a new random sample on each call.
func (l *List) SampleAlive(limit int) []driver.Peer {
	var addresses []driver.Peer
	for _, node := range l.nodes.sorted {
		if node != l.self && node.Status == Alive && node.reachable {
			addresses = append(addresses, node.address)
		}
	}
	shuffle(addresses, l.random)
	return slices.Clip(addresses[:min(limit, len(addresses))])
}
