package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
)

// NodeStatus is one driver as this one sees it.
type NodeStatus struct {
	Entry
	Self           bool
	StatusAge      time.Duration // how long it has had its status
	LastSeenAgo    time.Duration
	Reason         string // why its status changed last
	SuspectorCount int    // whose own probes failed
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

// Lookup returns what is known of one driver; false: nothing.
func (l *List) Lookup(id NodeID) (e Entry, known bool) {
	if node := l.nodes.get(id); node != nil {
		return node.Entry, true
	}
	return Entry{}, false
}

// ActiveCount is how many drivers, this one included, are neither dead nor have left.
func (l *List) ActiveCount() int { return l.nodes.activeCount() }

// Checksum is over the active drivers: equal lists have equal checksums.
func (l *List) Checksum() uint64 { return l.nodes.activeChecksum() }

// Stats returns the counters.
func (l *List) Stats() Stats { return l.stats }

// Owner returns the name of the alive driver that a key belongs to, by rendezvous hashing: few keys migrate when drivers come and go. Two drivers
// whose lists differ may name two.
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

// SampleAlive returns the addresses of other alive drivers, drawn anew each time, no more than limit.
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
